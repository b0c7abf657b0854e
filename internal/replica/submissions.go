package replica

// Commands for the queues that this node leads: submissions, task reports, and those of
// the scheduler.

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// maxUncommitted is how many entries of a group may be uncommitted before more are
// rejected.
const maxUncommitted = 8192

// Outcomes of task reports.
const (
	outcomeDone   = "done"
	outcomeFailed = "failed"
	outcomeLost   = "lost"   // by the scheduler's word: its worker is gone
	outcomeLapsed = "lapsed" // the worker's hold ended without being extended
)

// proposeQueue proposes a command and gives its log index; 0: it wasn't proposed.
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

// isBacklogFull reports whether a group has too many uncommitted entries to accept
// more.
func (h *Host) isBacklogFull(r *replica) bool {
	return r.group.LastIndex()-r.group.CommitIndex() > maxUncommitted
}

// handleSubmit proposes the submissions of a gateway. Those that are rejected are
// dropped: the gateway has numbered them and sends them again.
func (h *Host) handleSubmit(now eventloop.Micros, from string, m *schema.SubmitRequest, effects eventloop.Effects) {
	placement := clusterstate.FindQueue(h.sharedState, m.Queue)
	if placement == nil {
		return
	}
	r := h.groups[GroupName(placement)]
	if r == nil || !r.group.IsLeader() || r.group.Transferee() != "" {
		effects.Send(from, &schema.SubmitResponse{Queue: m.Queue, Leader: currentLeader(r)})
		return
	}
	if h.isBacklogFull(r) || h.disk.isLow {
		return
	}
	for _, e := range m.Enqueues {
		if e.Session == nil || e.Job == nil {
			continue
		}
		stamped := &schema.Enqueue{
			Session: e.Session, Number: e.Number, Name: e.Name, Digest: e.Digest, LowestUnconfirmed: e.LowestUnconfirmed,
			Job: e.Job, StartUs: h.startTime(now, r, e.Job), Tenant: e.Tenant,
		}
		h.proposeQueue(now, r, &schema.QueueCommand{Body: &schema.QueueCommand_Enqueue{Enqueue: stamped}})
	}
}

// startTime is when a job starts, in µs of queue time; 0: when it is admitted. It is
// fixed by the leader, so that every replica applies the same.
func (h *Host) startTime(now eventloop.Micros, r *replica, job *schema.Job) int64 {
	at := r.group.GroupTime(now)
	switch {
	case job.DelayUs > 0:
		return at + job.DelayUs
	case job.StartUnixUs > 0:
		start := at + job.StartUnixUs - r.group.WallTime(now, h.wallClock())
		// The rounds of a job count from its start even where that is past, except for
		// zero, which means its admission.
		if job.Rounds > 1 && start != 0 {
			return start
		}
		return max(at, start)
	}
	return 0
}

// handleEndSessions proposes to remove sessions, or all those of gateways that are gone. A
// gateway ends its own; whoever ends those of others must hold the controller lease.
func (h *Host) handleEndSessions(now eventloop.Micros, from string, m *schema.EndSessionsRequest) {
	isAllowed := concernsOnly(m, from)
	if m.FencingToken != 0 {
		isAllowed = h.isClusterStateFresh(now) && h.stateMachine.HoldsControllerLease(m.FencingToken)
	}
	if r := h.queueReplica(m.Queue); r != nil && isAllowed && r.group.HoldsLeaderLease(now) {
		h.proposeQueue(now, r, &schema.QueueCommand{Body: &schema.QueueCommand_EndSessions{EndSessions: &schema.EndSessions{Sessions: m.Sessions, Gateways: m.Gateways}}})
	}
}

// concernsOnly reports whether all sessions of a request are those of one gateway.
func concernsOnly(m *schema.EndSessionsRequest, gateway string) bool {
	isOther := func(name string) bool { return name != gateway }
	return !slices.ContainsFunc(m.Sessions, func(s *schema.Session) bool { return isOther(s.Gateway) }) &&
		!slices.ContainsFunc(m.Gateways, func(g *schema.ExpiredGateway) bool { return isOther(g.Gateway) })
}

// handlePropose proposes a command of this node's scheduler. One that acts for an older
// term may have decided on stale tasks.
func (h *Host) handlePropose(now eventloop.Micros, m Propose, effects eventloop.Effects) {
	r := h.groups[m.Group]
	if r == nil || r.queue == nil || r.group.Term() != m.Term {
		return
	}
	if r.group.HoldsLeaderLease(now) && !h.isBacklogFull(r) && h.proposeQueue(now, r, m.Command) > 0 {
		return
	}
	effects.Notify("scheduler", ProposalDropped{Queue: r.queueName, Term: m.Term, Command: m.Command})
}

// handleTaskEnd proposes a worker's report; from is empty if the scheduler of this node
// passes it on. What isn't acknowledged is reported again.
func (h *Host) handleTaskEnd(now eventloop.Micros, from string, m *schema.TaskEndReport, effects eventloop.Effects) {
	placement := clusterstate.FindQueue(h.sharedState, m.Queue)
	if placement == nil {
		// Nobody needs the report of a deleted queue's task. A stale copy of the cluster
		// state doesn't show that the queue is deleted.
		if h.isClusterStateFresh(now) {
			h.acknowledgeEnd(from, m, effects)
		}
		return
	}
	r := h.groups[GroupName(placement)]
	if r == nil || !r.group.IsLeader() {
		if r != nil && from == "" && r.group.Leader() != "" {
			effects.Send(r.group.Leader(), m)
		}
		return
	}
	if h.isBacklogFull(r) || m.Key == nil {
		return
	}
	if index := h.proposeQueue(now, r, CommandForEnd(m)); index > 0 {
		r.pendingCommands[index] = pendingReply{term: r.group.Term(), from: from, report: m}
	}
}

// CommandForEnd is the queue command for a worker's report. Outcomes other than done and
// failed aren't the task's fault and don't count as failures. Where the worker was lost or
// its hold lapsed it may yet report that the attempt had failed before, which then counts.
func CommandForEnd(m *schema.TaskEndReport) *schema.QueueCommand {
	cause := schema.ReturnCause_RETURN_CAUSE_PREEMPTED
	switch m.Outcome {
	case outcomeDone:
		return &schema.QueueCommand{Body: &schema.QueueCommand_Settle{Settle: &schema.Settle{Key: m.Key, Attempt: m.Attempt, WholeGang: m.WholeGang}}}
	case outcomeFailed:
		cause = schema.ReturnCause_RETURN_CAUSE_FAILED
	case outcomeLost, outcomeLapsed:
		cause = schema.ReturnCause_RETURN_CAUSE_WORKER_LOST
	}
	return &schema.QueueCommand{Body: &schema.QueueCommand_Return{Return: &schema.Return{Key: m.Key, Attempt: m.Attempt, Cause: cause, Checkpoint: m.Checkpoint}}}
}

// acknowledgeEnd answers a report; from is empty for the scheduler of this node.
func (h *Host) acknowledgeEnd(from string, m *schema.TaskEndReport, effects eventloop.Effects) {
	ack := &schema.TaskEndAck{Queue: m.Queue, Key: m.Key, Attempt: m.Attempt, Worker: m.Worker, Outcome: m.Outcome}
	if from == "" {
		effects.Notify("scheduler", ack)
	} else {
		effects.Send(from, ack)
	}
}
