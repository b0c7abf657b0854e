package workerpath

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Step is one action of the environment, as text. N is the number of an item in flight or of a
// call, M a machine, Q a queue and ID a node:
//
//	deliver N                     an item in flight arrives
//	repeat N                      an item arrives, and stays in flight
//	lose N                        an item is lost
//	time out M N                  the agent's client on a machine gives up waiting for a call
//	commit Q                      the oldest proposal of a queue is committed
//	elect Q                       the other node becomes the leader of a queue
//	create Q ID                   a queue is created, with a node as its leader
//	remove Q                      a queue is removed, while its jobs continue
//	move ID                       the leases of all workers move to a node
//	crash M                       a worker crashes, and its next incarnation starts
//	restart M                     a machine's agent is restarted (enabled if tenants have limits)
//	cancel NAME                   a client cancels a job
//	pass SPAN                     time passes
//	calm SPAN                     time passes, and everything is delivered and committed at once
//	settle                        like calm, for a long time, after one node became the leader of
//	                              all queues and got all leases
type Step string

// enabled lists the steps that are possible now.
func (w *World) enabled() (steps []Step) {
	add := func(format string, args ...any) { steps = append(steps, Step(fmt.Sprintf(format, args...))) }
	for _, it := range w.inFlight {
		add("deliver %d", it.number)
		switch it.kind {
		case stateItem, deposedItem:
		case pollItem, responseItem:
			add("lose %d", it.number)
			add("repeat %d", it.number)
		case callItem, replyItem:
			add("lose %d", it.number)
		}
	}
	for _, m := range w.machines {
		for _, number := range m.pendingCalls() {
			add("time out %s %d", m.name, number)
		}
		add("crash %s", m.name)
		if w.hasTenants {
			add("restart %s", m.name)
		}
	}
	for _, q := range w.queues {
		if len(q.proposals) > 0 {
			add("commit %s", q.name)
		}
	}
	for _, q := range w.queues {
		w.addQueueSteps(q, add)
	}
	for _, n := range w.nodes {
		if w.clusterState.WorkerLeases[0].Scheduler != n.id {
			add("move %s", n.id)
		}
	}
	for _, span := range []string{"100ms", "1s", "3.4s"} {
		add("pass %s", span)
	}
	return steps
}

func (w *World) addQueueSteps(q *raftQueue, add func(format string, args ...any)) {
	if q.isCreated {
		add("elect %s", q.name)
	} else {
		for _, n := range w.nodes {
			add("create %s %s", q.name, n.id)
		}
	}
	if q.isCreated && !q.isRemoved && q.name == w.laterQueue {
		add("remove %s", q.name)
	}
}

// Execute takes a step. A step that isn't possible changes nothing, so that a schedule from
// which steps were removed can still be executed.
func (w *World) Execute(step Step) {
	words := strings.Fields(string(step))
	switch words[0] {
	case "deliver", "repeat", "lose":
		w.executeItem(words[0], words[1])
	case "time":
		w.executeTimeout(words[2], words[3])
	case "commit":
		if q := w.queue(words[1]); len(q.proposals) > 0 {
			w.commit(q)
		}
	case "elect":
		if q := w.queue(words[1]); q.isCreated {
			w.elect(q)
		}
	case "create", "remove":
		w.executeQueueStep(words[0], w.queue(words[1]), words[2:])
	case "move":
		w.moveLeases(w.node(words[1]))
	case "crash":
		w.crash(w.machine(words[1]))
	case "restart":
		w.restartAgent(w.machine(words[1]))
	case "cancel":
		w.cancel(words[1])
	case "pass":
		w.pass(parseSpan(words[1]))
	case "calm":
		w.calm(parseSpan(words[1]))
	case "settle":
		w.settle()
	}
}

func (w *World) executeQueueStep(action string, q *raftQueue, leader []string) {
	switch {
	case action == "create" && !q.isCreated:
		w.create(q, w.node(leader[0]))
	case action == "remove" && q.isCreated && !q.isRemoved:
		w.removeQueue(q)
	}
}

// settle executes the step of that name: it creates the queue that doesn't exist yet, and gives
// the leadership of all queues and all worker leases to one node, as the controller does.
func (w *World) settle() {
	leader := w.queues[0].leader
	for _, q := range w.queues {
		switch {
		case !q.isCreated:
			w.create(q, leader)
		case q.leader != leader:
			w.elect(q)
		}
	}
	if w.clusterState.WorkerLeases[0].Scheduler != leader.id {
		w.moveLeases(leader)
	}
	w.calm(settleDuration)
}

func parseSpan(text string) eventloop.Micros {
	duration, err := time.ParseDuration(text)
	if err != nil {
		panic(err)
	}
	return eventloop.Micros(duration.Microseconds())
}

func (w *World) executeItem(action, number string) {
	n, _ := strconv.Atoi(number)
	it := w.find(n)
	if it == nil {
		return
	}
	if action == "lose" {
		w.lose(it)
		return
	}
	w.deliver(it, action == "repeat")
}

func (w *World) executeTimeout(name, number string) {
	n, _ := strconv.ParseUint(number, 10, 64)
	m := w.machine(name)
	if m.pending[n] {
		w.takeReply(m, issuedReply{agent.Reply{Number: n, Outcome: agent.TimedOut}, m.agentRestarts})
	}
}

// cancel lets the queue's current leader propose a client's cancel of a job.
func (w *World) cancel(name string) {
	q := w.queue(w.observer.jobs[name].queueName())
	if !q.isCreated {
		return
	}
	q.proposals = append(q.proposals, proposal{
		q.leader, q.term, &schema.QueueCommand{Body: &schema.QueueCommand_Cancel{Cancel: &schema.Cancel{Name: name}}}, nil,
	})
}

// maxExchanges limits how many items are delivered and proposals committed at one time.
const maxExchanges = 2000

// calm lets time pass while all items are delivered and all proposals committed at once. Agents
// give up calls that were lost, or whose replies were lost, after their own timeout.
func (w *World) calm(span eventloop.Micros) {
	for end := w.now + span; w.now < end; {
		for count := 0; len(w.inFlight) > 0 || w.queueToCommit() != nil; count++ {
			if count == maxExchanges {
				w.observer.report("messages are exchanged without end while no time passes")
				return
			}
			if len(w.inFlight) > 0 {
				w.deliver(w.inFlight[0], false)
			} else {
				w.commit(w.queueToCommit())
			}
		}
		w.pass(tickInterval)
	}
}

// queueToCommit returns the first queue with an uncommitted proposal; nil if there is none.
func (w *World) queueToCommit() *raftQueue {
	for _, q := range w.queues {
		if len(q.proposals) > 0 {
			return q
		}
	}
	return nil
}
