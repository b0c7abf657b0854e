package workerpath

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/agent"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// itemKind is the kind of a message in flight.
type itemKind int

const (
	pollItem     itemKind = iota + 1 // a poll, from an agent to a scheduler
	responseItem                     // the response to a poll
	callItem                         // a call, from an agent to its worker
	replyItem                        // the reply to a call
	stateItem                        // a version of the cluster state
	deposedItem                      // a replica's notice to its scheduler that it no longer leads
)

// item is a message in flight. Its number is unique in a run.
type item struct {
	number   int
	kind     itemKind
	from, to string
	body     any
}

func (w *World) send(kind itemKind, from, to string, body any) {
	w.lastItemNumber++
	w.inFlight = append(w.inFlight, &item{w.lastItemNumber, kind, from, to, body})
	if len(w.inFlight) <= maxInFlight {
		return
	}
	// Lose the oldest item of a kind that may be lost.
	k := slices.IndexFunc(w.inFlight, func(it *item) bool { return it.kind != stateItem && it.kind != deposedItem })
	w.lose(w.inFlight[k])
}

func (w *World) remove(it *item) {
	w.inFlight = slices.DeleteFunc(w.inFlight, func(other *item) bool { return other == it })
}

func (w *World) find(number int) *item {
	for _, it := range w.inFlight {
		if it.number == number {
			return it
		}
	}
	return nil
}

// deliver delivers an item to its receiver. If staysInFlight is true, the item can be delivered
// again later.
func (w *World) deliver(it *item, staysInFlight bool) {
	if !staysInFlight {
		w.remove(it)
	}
	switch it.kind {
	case pollItem:
		w.stepScheduler(w.node(it.to), it.from, proto.Clone(it.body.(proto.Message)))
	case responseItem:
		w.stepAgent(w.machine(it.to), it.from, proto.Clone(it.body.(proto.Message)))
	case callItem:
		w.handleCall(w.machine(it.to), it.body.(issuedCall))
	case replyItem:
		w.takeReply(w.machine(it.to), it.body.(issuedReply))
	case stateItem:
		w.deliverState(it.to, it.body.(*schema.ClusterStateResponse))
	case deposedItem:
		lost := it.body.(replica.LeadershipLost)
		if n := w.node(it.to); n != w.queue(lost.Queue).leader {
			w.stepScheduler(n, "", lost)
		}
	}
}

func (w *World) deliverState(to string, update *schema.ClusterStateResponse) {
	if m := w.machine(to); m != nil {
		w.stepAgent(m, "", update)
		return
	}
	n := w.node(to)
	if update.Version > n.stateVersion {
		n.stateVersion = update.Version
		w.stepScheduler(n, "", update)
	}
}

// issuedCall is a call, with the number of the agent's process that made it.
type issuedCall struct {
	call         agent.Call
	agentProcess int
}

// issuedReply is a reply, with the number of the agent's process that made the call.
type issuedReply struct {
	reply        agent.Reply
	agentProcess int
}

// handleCall passes a call to the worker. The reply becomes an item in flight. A call to a former
// incarnation of the worker is answered with agent.IncarnationMismatch.
func (w *World) handleCall(m *machine, issued issuedCall) {
	call := issued.call
	respond := func(reply agent.Reply) { w.send(replyItem, m.name, m.name, issuedReply{reply, issued.agentProcess}) }
	if call.Worker != m.worker.ID() {
		respond(agent.Reply{Number: call.Number, Outcome: agent.IncarnationMismatch})
		return
	}
	m.worker.HandleCall(w.now, call, func(reply agent.Reply) {
		if reply.Outcome != agent.TimedOut {
			respond(reply)
		}
	})
	w.observer.recordLapse(m)
}

// takeReply passes a reply to the agent if the process that made the call still runs and waits
// for the reply.
func (w *World) takeReply(m *machine, issued issuedReply) {
	if issued.agentProcess != m.agentRestarts || !m.pending[issued.reply.Number] {
		return
	}
	delete(m.pending, issued.reply.Number)
	w.stepAgent(m, "", issued.reply)
}

// lose drops an item. If it is a call or reply, the caller still waits until the call times out.
func (w *World) lose(it *item) { w.remove(it) }

// port carries out the effects of one component.
type port struct {
	world   *World
	node    *node    // the node of a scheduler; nil: the component is an agent
	machine *machine // the machine of an agent; nil: the component is a scheduler
}

// Send implements eventloop.Effects.
func (p *port) Send(to string, body any) {
	switch m := body.(type) {
	case *schema.WorkerPollRequest:
		p.world.send(pollItem, p.machine.name, to, proto.Clone(m))
	case *schema.WorkerPollResponse:
		p.world.send(responseItem, p.node.id, to, proto.Clone(m))
	}
}

// SendToAddress implements eventloop.Effects.
func (p *port) SendToAddress(string, any) {}

// Respond implements eventloop.Effects.
func (p *port) Respond(uint64, any) {}

// Notify implements eventloop.Effects.
func (p *port) Notify(_ string, body any) {
	w := p.world
	switch m := body.(type) {
	case agent.Call:
		p.machine.pending[m.Number] = true
		w.send(callItem, p.machine.name, p.machine.name, issuedCall{m, p.machine.agentRestarts})
	case replica.Propose:
		if q := w.queueOfGroup(m.Group); p.node == q.leader && m.Term == q.term {
			q.proposals = append(q.proposals, proposal{p.node, m.Term, m.Command, nil})
		}
	case replica.TasksEnded:
		for _, report := range m.Reports {
			if q := w.queue(report.Queue); p.node == q.leader {
				q.proposals = append(q.proposals, proposal{p.node, q.term, replica.CommandForEnd(report), report})
			}
		}
	case replica.ResyncQueue:
		if q := w.queueOfGroup(m.Group); p.node == q.leader {
			w.sendSnapshot(q)
		}
	}
}
