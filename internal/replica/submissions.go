package replica

// Submissions to the queues that this process leads, and the ends of their tasks.

import (
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func (h *Host) proposeQueue(now eventloop.Micros, r *replica, command *schema.QueueCommand) uint64 {
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

func (h *Host) isBacklogFull(r *replica) bool {
	return r.group.LastIndex()-r.group.AppliedIndex() > maxUnapplied
}

func (h *Host) handleSubmit(now eventloop.Micros, from string, m *schema.SubmitRequest, effects eventloop.Effects) {
	place := clusterstate.FindQueue(h.state, m.Queue)
	if place == nil {
		return
	}
	r := h.groups[GroupName(place)]
	if r == nil || !r.group.IsLeader() || r.group.Transferee() != "" {
		effects.Send(from, &schema.SubmitResponse{Queue: m.Queue, Leader: currentLeader(r)})
		return
	}
	// What finds no place is resent by its gateway, which has numbered it.
	if h.isBacklogFull(r) || h.disk.isLow {
		return
	}
	for _, e := range m.Enqueues {
		if e.Session == nil || e.Job == nil {
			continue
		}
		stamped := &schema.Enqueue{
			Session: e.Session, Number: e.Number, Name: e.Name, Digest: e.Digest, LowestUnconfirmed: e.LowestUnconfirmed,
			Job: e.Job, StartUs: h.startTime(now, r, e.Job),
		}
		h.proposeQueue(now, r, &schema.QueueCommand{Body: &schema.QueueCommand_Enqueue{Enqueue: stamped}})
	}
}

// startTime turns a start into queue time, once.
func (h *Host) startTime(now eventloop.Micros, r *replica, job *schema.Job) int64 {
	at := r.group.GroupTime(now)
	switch {
	case job.DelayUs > 0:
		return at + job.DelayUs
	case job.StartUnixUs > 0:
		start := at + job.StartUnixUs - r.group.WallTime(now, h.wallClock())
		// The rounds of a job are counted from its start, though that be past;
		// zero alone would mean the moment of its admission.
		if job.Rounds > 1 && start != 0 {
			return start
		}
		return max(at, start)
	}
	return 0
}

func (h *Host) handleSessionsDown(now eventloop.Micros, m *schema.EndSessionsRequest) {
	if place := clusterstate.FindQueue(h.state, m.Queue); place != nil {
		if r := h.groups[GroupName(place)]; r != nil && r.group.HoldsLeaderLease(now) {
			h.proposeQueue(now, r, &schema.QueueCommand{Body: &schema.QueueCommand_EndSessions{EndSessions: &schema.EndSessions{Sessions: m.Sessions, Gateways: m.Gateways}}})
		}
	}
}

func (h *Host) handlePropose(now eventloop.Micros, m Propose) {
	r := h.groups[m.Group]
	// A scheduler that acts for an older term has an older list.
	if r == nil || r.queue == nil || r.group.Term() != m.Term || !r.group.HoldsLeaderLease(now) || h.isBacklogFull(r) {
		return
	}
	h.proposeQueue(now, r, m.Command)
}

func (h *Host) handleTaskEnd(now eventloop.Micros, from string, m *schema.TaskEndReport, effects eventloop.Effects) {
	place := clusterstate.FindQueue(h.state, m.Queue)
	if place == nil {
		// The queue is over, and with it whatever the task was for. A cluster state
		// that is still catching up says nothing of the kind.
		if h.isClusterStateFresh(now) {
			h.acknowledgeEnd(from, m, effects)
		}
		return
	}
	r := h.groups[GroupName(place)]
	if r == nil || !r.group.IsLeader() {
		if r != nil && from == "" && r.group.Leader() != "" {
			effects.Send(r.group.Leader(), m)
		}
		return
	}
	if h.isBacklogFull(r) || m.Key == nil {
		return
	}
	if index := h.proposeQueue(now, r, commandForEnd(m)); index > 0 {
		r.pendingCommands[index] = pendingReply{term: r.group.Term(), from: from, end: m}
	}
}

// commandForEnd is what a worker's report asks of the queue. Ends other than done,
// failed and lost (stopped, lapsed, broken by another member, alone without the
// others) are no fault of the task's.
func commandForEnd(m *schema.TaskEndReport) *schema.QueueCommand {
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

func (h *Host) acknowledgeEnd(from string, m *schema.TaskEndReport, effects eventloop.Effects) {
	reply := &schema.TaskEndAck{Queue: m.Queue, Key: m.Key, Attempt: m.Attempt, Worker: m.Worker}
	if from == "" {
		effects.Notify("scheduler", reply)
	} else {
		effects.Send(from, reply)
	}
}
