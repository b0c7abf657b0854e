package replica

// This file proposes commands for the queues that this node leads: submissions, task reports,
// and the commands of the scheduler.

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// maxUncommitted is how many entries of a queue's log may be uncommitted before the Host
// rejects submissions, task reports and commands of the scheduler.
const maxUncommitted = 8192

// Outcomes in task reports.
const (
	outcomeDone   = "done"
	outcomeFailed = "failed"
	outcomeLost   = "lost"   // reported by the scheduler, because the task's worker is gone
	outcomeLapsed = "lapsed" // the time for which the worker held the task ended without being extended
)

// proposeQueue proposes a command to a queue's group and returns its log index. It returns 0 if
// the command couldn't be proposed.
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

// isBacklogFull reports whether a group has too many uncommitted entries to accept more.
func (h *Host) isBacklogFull(r *replica) bool {
	return r.group.LastIndex()-r.group.CommitIndex() > maxUncommitted
}

// handleSubmit proposes the submissions of a gateway. It drops rejected submissions without a
// reply: the gateway has numbered its submissions and sends unconfirmed ones again.
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
	for _, submitted := range m.Enqueues {
		if submitted.Session == nil || submitted.Job == nil {
			continue
		}
		stamped := &schema.Enqueue{
			Session: submitted.Session, Number: submitted.Number, Name: submitted.Name, Digest: submitted.Digest, LowestUnconfirmed: submitted.LowestUnconfirmed,
			Job: submitted.Job, StartUs: h.startTime(now, r, submitted.Job), Tenant: submitted.Tenant,
		}
		h.proposeQueue(now, r, &schema.QueueCommand{Body: &schema.QueueCommand_Enqueue{Enqueue: stamped}})
	}
}

// startTime returns when a job starts, in µs of queue time, or 0 if it starts when it is
// admitted. The leader determines the time, so that every replica applies the same one.
func (h *Host) startTime(now eventloop.Micros, r *replica, job *schema.Job) int64 {
	at := r.group.GroupTime(now)
	switch {
	case job.DelayUs > 0:
		return at + job.DelayUs
	case job.StartUnixUs > 0:
		start := at + job.StartUnixUs - r.group.WallTime(now, h.wallClock())
		// The rounds of a job are counted from its start, even if the start has passed. A start
		// of exactly 0 can't be used, because 0 stands for the job's admission.
		if job.Rounds > 1 && start != 0 {
			return start
		}
		return max(at, start)
	}
	return 0
}

// handleEndSessions proposes to remove some sessions, and all sessions of gateways that are
// gone. A gateway may end its own sessions. To end those of others, the sender must hold the
// controller lease.
func (h *Host) handleEndSessions(now eventloop.Micros, from string, m *schema.EndSessionsRequest) {
	isAllowed := concernsOnly(m, from)
	if m.FencingToken != 0 {
		isAllowed = h.isClusterStateFresh(now) && h.stateMachine.HoldsControllerLease(m.FencingToken)
	}
	if r := h.queueReplica(m.Queue); r != nil && isAllowed && r.group.HoldsLeaderLease(now) {
		h.proposeQueue(now, r, &schema.QueueCommand{Body: &schema.QueueCommand_EndSessions{EndSessions: &schema.EndSessions{Sessions: m.Sessions, Gateways: m.Gateways}}})
	}
}

// concernsOnly reports whether all sessions that a request ends belong to the given gateway.
func concernsOnly(m *schema.EndSessionsRequest, gateway string) bool {
	isOther := func(name string) bool { return name != gateway }
	return !slices.ContainsFunc(m.Sessions, func(s *schema.Session) bool { return isOther(s.Gateway) }) &&
		!slices.ContainsFunc(m.Gateways, func(g *schema.ExpiredGateway) bool { return isOther(g.Gateway) })
}

// handlePropose proposes a command of this node's scheduler. A command for an older term is
// dropped, because the scheduler may have based it on an outdated view of the tasks.
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

// handleTaskEnd proposes a worker's task report. from is empty if the scheduler of this node
// passes the report on; such a report is forwarded if another node leads the queue. A report
// that isn't acknowledged is sent again.
func (h *Host) handleTaskEnd(now eventloop.Micros, from string, m *schema.TaskEndReport, effects eventloop.Effects) {
	placement := clusterstate.FindQueue(h.sharedState, m.Queue)
	if placement == nil {
		// A report on a task of a deleted queue is no longer needed. A stale copy of
		// the cluster state doesn't show whether the queue was deleted or isn't listed yet.
		if h.isClusterStateFresh(now) {
			h.acknowledgeTaskEnd(from, m, effects)
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

// CommandForEnd returns the queue command for a worker's task report. Outcomes other than done
// and failed aren't the task's fault and don't count as failures. A worker that was lost, or
// whose hold on the task lapsed, may still report later that the attempt had failed before.
// That failure then counts.
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

// sendSchedulerAcks sends this node's scheduler the acknowledgements of this step.
func (h *Host) sendSchedulerAcks(effects eventloop.Effects) {
	if len(h.schedulerAcks) > 0 {
		effects.Notify("scheduler", TaskEndAcks{h.schedulerAcks})
		h.schedulerAcks = nil
	}
}

// acknowledgeTaskEnd acknowledges a task report to its sender. from is empty if the scheduler of
// this node sent it.
func (h *Host) acknowledgeTaskEnd(from string, m *schema.TaskEndReport, effects eventloop.Effects) {
	ack := &schema.TaskEndAck{Queue: m.Queue, Key: m.Key, Attempt: m.Attempt, Worker: m.Worker, Outcome: m.Outcome}
	if from == "" {
		h.schedulerAcks = append(h.schedulerAcks, ack)
	} else {
		effects.Send(from, ack)
	}
}
