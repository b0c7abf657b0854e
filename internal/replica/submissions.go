package replica

// Submissions to the queues that this process leads, and the ends of their tasks.

import (
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func (t *Table) proposeQueue(now eventloop.Micros, r *replica, command *schema.QueueCommand) uint64 {
	data, err := proto.Marshal(command)
	if err != nil {
		return 0
	}
	index, _, err := r.group.Propose(now, data)
	if err != nil {
		return 0
	}
	return index
}

func (t *Table) isFull(r *replica) bool {
	return r.group.LastIndex()-r.group.AppliedIndex() > maxUnsettled
}

func (t *Table) submit(now eventloop.Micros, from string, m *schema.SubmitRequest, out eventloop.Effects) {
	place := clusterstate.FindQueue(t.state, m.Queue)
	if place == nil {
		return
	}
	r := t.groups[GroupOf(place)]
	if r == nil || !r.group.IsLeader() || r.group.Transferee() != "" {
		out.Send(from, &schema.SubmitResponse{Queue: m.Queue, Leader: leaderOf(r)})
		return
	}
	// What finds no place is resent by its gateway, which has numbered it.
	if t.isFull(r) || t.room.isNarrow {
		return
	}
	for _, e := range m.Enqueues {
		if e.Session == nil || e.Job == nil {
			continue
		}
		entered := &schema.Enqueue{
			Session: e.Session, Number: e.Number, Name: e.Name, Digest: e.Digest, LowestUnconfirmed: e.LowestUnconfirmed,
			Job: e.Job, StartUs: t.startOf(now, r, e.Job),
		}
		t.proposeQueue(now, r, &schema.QueueCommand{Body: &schema.QueueCommand_Enqueue{Enqueue: entered}})
	}
}

// startOf turns a start into queue time, once.
func (t *Table) startOf(now eventloop.Micros, r *replica, job *schema.Job) int64 {
	at := r.group.GroupTime(now)
	switch {
	case job.DelayUs > 0:
		return at + job.DelayUs
	case job.StartUnixUs > 0:
		start := at + job.StartUnixUs - r.group.WallTime(now, t.wall())
		// The rounds of a job are counted from its start, though that be past;
		// zero alone would mean the moment of its admission.
		if job.Rounds > 1 && start != 0 {
			return start
		}
		return max(at, start)
	}
	return 0
}

func (t *Table) quit(now eventloop.Micros, m *schema.EndSessionsRequest) {
	if place := clusterstate.FindQueue(t.state, m.Queue); place != nil {
		if r := t.groups[GroupOf(place)]; r != nil && r.group.HoldsLeaderLease(now) {
			t.proposeQueue(now, r, &schema.QueueCommand{Body: &schema.QueueCommand_EndSessions{EndSessions: &schema.EndSessions{Sessions: m.Sessions, Gateways: m.Gateways}}})
		}
	}
}

func (t *Table) propose(now eventloop.Micros, m Propose) {
	r := t.groups[m.Group]
	// A scheduler that acts for an older term has an older list.
	if r == nil || r.queue == nil || r.group.Term() != m.Term || !r.group.HoldsLeaderLease(now) || t.isFull(r) {
		return
	}
	t.proposeQueue(now, r, m.Command)
}

func (t *Table) end(now eventloop.Micros, from string, m *schema.TaskEndReport, out eventloop.Effects) {
	place := clusterstate.FindQueue(t.state, m.Queue)
	if place == nil {
		// The queue is over, and with it whatever the task was for. A cluster state
		// that is still catching up says nothing of the kind.
		if t.isClusterStateFresh(now) {
			t.endNoted(from, m, out)
		}
		return
	}
	r := t.groups[GroupOf(place)]
	if r == nil || !r.group.IsLeader() {
		if r != nil && from == "" && r.group.Leader() != "" {
			out.Send(r.group.Leader(), m)
		}
		return
	}
	if t.isFull(r) || m.Key == nil {
		return
	}
	if index := t.proposeQueue(now, r, commandOf(m)); index > 0 {
		r.waiting[index] = waiter{term: r.group.Term(), from: from, end: m}
	}
}

// commandOf is what a worker's report asks of the queue. Ends other than done,
// failed and lost (stopped, lapsed, broken by another member, alone without the
// others) are no fault of the task's.
func commandOf(m *schema.TaskEndReport) *schema.QueueCommand {
	cause := schema.ReturnCause_RETURN_CAUSE_PREEMPTED
	switch m.Outcome {
	case "done":
		return &schema.QueueCommand{Body: &schema.QueueCommand_Settle{Settle: &schema.Settle{Key: m.Key, Attempt: m.Attempt, WholeGang: m.WholeGang}}}
	case "failed":
		cause = schema.ReturnCause_RETURN_CAUSE_FAILED
	case "lost":
		cause = schema.ReturnCause_RETURN_CAUSE_WORKER_LOST
	}
	return &schema.QueueCommand{Body: &schema.QueueCommand_Return{Return: &schema.Return{Key: m.Key, Attempt: m.Attempt, Cause: cause, Checkpoint: m.Checkpoint}}}
}

func (t *Table) endNoted(from string, m *schema.TaskEndReport, out eventloop.Effects) {
	reply := &schema.TaskEndAck{Queue: m.Queue, Key: m.Key, Attempt: m.Attempt, Worker: m.Worker}
	if from == "" {
		out.Notify("scheduler", reply)
	} else {
		out.Send(from, reply)
	}
}
