package replica

// This file takes over and hands over the leadership of groups.

import (
	"math/rand/v2"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	livenessTimeout     = 2 * eventloop.Second // how long a process counts as alive after it was last heard of
	transferCooldown    = 5 * eventloop.Second // least time between two handovers of a group
	minTransferInterval = eventloop.Second     // least time between two handovers if the cooldown doesn't apply
	// deposedLeaderGrace is how long after its election a leader doesn't hand the group back to
	// the leader that it replaced, which was voted out because it didn't respond. Within this
	// time the controller notices the change and prefers another leader.
	deposedLeaderGrace  = 1500 * eventloop.Millisecond
	maxSuccessorSilence = 500 * eventloop.Millisecond // longest time since the last response of a successor
	maxSuccessorLag     = 256                         // a successor must lack fewer entries than this
	electionJitterScale = 1 << 16
	electionJitterBits  = 16
)

// electionJitter gives all groups of a node the same random part of the election
// timeout. When a node that led many groups fails, the first node whose timeout expires
// campaigns in all of them at once, so that this one node comes to lead all of them.
type electionJitter struct {
	rng      *rand.Rand
	fraction uint64 // in units of 1/electionJitterScale
}

func newElectionJitter(rng *rand.Rand) *electionJitter {
	j := &electionJitter{rng: rng}
	j.redraw()
	return j
}

// redraw draws a new random fraction.
func (j *electionJitter) redraw() { j.fraction = j.rng.Uint64N(electionJitterScale) }

// Int64N returns the current fraction of n. It implements raft.Rand.
func (j *electionJitter) Int64N(n int64) int64 { return n * int64(j.fraction) >> electionJitterBits }

// handleTimeoutNow takes over a group that its leader hands over, unless this node is
// draining or its storage takes no writes. The cooldown applies after this handover, because
// this node's copy of the cluster state or of the membership may be stale and still prefer
// the former leader.
func (h *Host) handleTimeoutNow(now eventloop.Micros, from string, m *schema.TimeoutNow) {
	if h.isDraining || h.isReadOnly() {
		return
	}
	if r := h.groups[m.Group]; r != nil {
		r.transferredAt, r.preferredAtTransfer, r.failedTransfers = now, h.preferredLeader(r), 0
	}
	h.stepGroup(now, from, m.Group, m)
}

// transferIfNeeded hands over a group that this node leads if the cluster state prefers
// another leader, if this node is draining, or if its storage is read-only or stalled.
func (h *Host) transferIfNeeded(now eventloop.Micros, r *replica) {
	preferred := h.preferredLeader(r)
	if !h.mayTransfer(now, r, preferred) {
		return
	}
	target := preferred
	isTargetReady := target != h.id && h.canTakeOver(now, r, target) && !h.isNodeReadOnly(target) && !r.isDeposed(now, target)
	mustLeave := h.isDraining || h.isStalled(now) && h.canElectAnother(now, r)
	switch {
	case isTargetReady:
	case mustLeave:
		target = h.chooseSuccessor(now, r)
	default:
		return
	}
	if target != "" {
		if preferred != r.preferredAtTransfer {
			r.failedTransfers = 0
		}
		r.transferredAt, r.preferredAtTransfer = now, preferred
		r.failedTransfers++
		r.group.TransferLeadership(now, target)
	}
}

// mayTransfer reports whether enough time has passed since the last handover of a group for
// this node to hand it over.
func (h *Host) mayTransfer(now eventloop.Micros, r *replica, preferred string) bool {
	isNewlyReadOnly := h.isReadOnly() && h.readOnly.since > r.transferredAt
	if r.transferredAt == 0 || isNewlyReadOnly {
		return true
	}
	// If the preferred leader has changed since, it gets the group without the cooldown: the
	// leases of the queue's workers have moved to it, and no other node can start tasks on
	// these workers.
	if h.isDraining || preferred != r.preferredAtTransfer {
		return now-r.transferredAt >= minTransferInterval
	}
	return now-r.transferredAt >= r.transferInterval()
}

// transferInterval returns how long this node waits before it hands over the group again to
// the same preferred leader. A node that was handed the group keeps it for transferCooldown.
// A node that still leads the group after it tried to hand it over retries after
// minTransferInterval. Each failure doubles the interval up to transferCooldown, because
// nothing is proposed during an attempt.
func (r *replica) transferInterval() eventloop.Micros {
	if r.failedTransfers == 0 {
		return transferCooldown
	}
	const maxDoublings = 8
	return min(minTransferInterval<<min(r.failedTransfers-1, maxDoublings), transferCooldown)
}

// observeLeadership records which node leads the group and, if it is this node, since when.
func (r *replica) observeLeadership(now eventloop.Micros, self string) {
	leader := r.group.Leader()
	switch {
	case leader != "" && leader != self:
		r.lastLeader, r.leadingTerm = leader, 0
	case r.group.IsLeader() && r.leadingTerm != r.group.Term():
		r.leadingTerm, r.leadingSince, r.deposedLeader = r.group.Term(), now, r.lastLeader
	}
}

// isDeposed reports whether a node led the group until this node was elected in its place,
// less than deposedLeaderGrace ago.
func (r *replica) isDeposed(now eventloop.Micros, id string) bool {
	return id == r.deposedLeader && now-r.leadingSince < deposedLeaderGrace
}

// preferredLeader returns the node that the cluster state prefers as the leader of a queue.
// It returns an empty string if there is none or r is the replica of the cluster state.
func (h *Host) preferredLeader(r *replica) string {
	if r.queue == nil {
		return ""
	}
	return clusterstate.FindQueue(h.sharedState, r.queueName).GetPreferredLeader()
}

// canTakeOver reports whether a voter can take over a group: it is alive and not draining, has
// responded within maxSuccessorSilence, and lacks fewer than maxSuccessorLag entries.
func (h *Host) canTakeOver(now eventloop.Micros, r *replica, id string) bool {
	match, lastHeard := r.group.PeerProgress(id)
	isAlive := h.membership != nil && h.membership.IsAlive(id, now, livenessTimeout) && !h.membership.Members[id].Member.Draining
	hasAnswered := lastHeard > 0 && now-lastHeard < maxSuccessorSilence
	return isAlive && hasAnswered && r.group.LastIndex()-match < maxSuccessorLag
}

// currentLeader returns the leader of a group as far as its replica knows, or the node to
// which leadership is being transferred. It returns an empty string if the leader is unknown
// or r is nil.
func currentLeader(r *replica) string {
	if r == nil {
		return ""
	}
	if next := r.group.Transferee(); next != "" {
		return next
	}
	return r.group.Leader()
}
