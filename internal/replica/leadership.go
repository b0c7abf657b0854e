package replica

// Which node leads the groups: taking over and handing over.

import (
	"math/rand/v2"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	livenessTimeout     = 2 * eventloop.Second // since the last report of a process
	transferCooldown    = 5 * eventloop.Second // between two handovers of a group
	minTransferInterval = eventloop.Second     // the same where the cooldown doesn't apply
	// deposedLeaderGrace is how long a leader that was voted out, because it didn't answer,
	// isn't handed a group again: the controller notices by then, and names another.
	deposedLeaderGrace  = 1500 * eventloop.Millisecond
	maxSuccessorSilence = 500 * eventloop.Millisecond
	maxSuccessorLag     = 256 // entries that a successor may lack
	electionJitterScale = 1 << 16
	electionJitterBits  = 16
)

// electionJitter gives all groups of a node the same random part of the election
// timeout. When a node that led many groups fails, the first other node to time out
// campaigns in all of them at once, so that one node comes to lead them together.
type electionJitter struct {
	rng      *rand.Rand
	fraction uint64 // of electionJitterScale
}

func newElectionJitter(rng *rand.Rand) *electionJitter {
	j := &electionJitter{rng: rng}
	j.redraw()
	return j
}

func (j *electionJitter) redraw() { j.fraction = j.rng.Uint64N(electionJitterScale) }

// Int64N gives the present fraction of n; it implements raft.Rand.
func (j *electionJitter) Int64N(n int64) int64 { return n * int64(j.fraction) >> electionJitterBits }

// handleTimeoutNow takes over a group that its leader hands over. A draining node
// doesn't. The handover counts for the cooldown: this node's copy of the cluster state
// or of the membership may be stale and speak for the former leader still.
func (h *Host) handleTimeoutNow(now eventloop.Micros, from string, m *schema.TimeoutNow) {
	if h.isDraining || h.isReadOnly() {
		return
	}
	if r := h.groups[m.Group]; r != nil {
		r.transferredAt, r.preferredAtTransfer, r.failedTransfers = now, h.preferredLeader(r), 0
	}
	h.stepGroup(now, from, m.Group, m)
}

// transferIfNeeded hands over a group that this node leads while it is draining, while
// its storage is read-only or stalled, or if the cluster state prefers another leader.
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

// mayTransfer reports whether enough time has passed since the last handover of a group.
func (h *Host) mayTransfer(now eventloop.Micros, r *replica, preferred string) bool {
	isNewlyReadOnly := h.isReadOnly() && h.readOnly.since > r.transferredAt
	if r.transferredAt == 0 || isNewlyReadOnly {
		return true
	}
	// A preferred leader that was named since gets the group without the cooldown: the
	// leases of the queue's workers have gone to it, and nobody else can start tasks on
	// them.
	if h.isDraining || preferred != r.preferredAtTransfer {
		return now-r.transferredAt >= minTransferInterval
	}
	return now-r.transferredAt >= r.transferInterval()
}

// transferInterval is how long a group isn't handed over again to the same node. Who was
// handed a group keeps it for transferCooldown. Who has handed it over and leads it all the
// same tries again soon, then less and less often: while it tries, nothing is proposed.
func (r *replica) transferInterval() eventloop.Micros {
	if r.failedTransfers == 0 {
		return transferCooldown
	}
	const maxDoublings = 8
	return min(minTransferInterval<<min(r.failedTransfers-1, maxDoublings), transferCooldown)
}

// observeLeadership notes who leads the group, and since when this node does.
func (r *replica) observeLeadership(now eventloop.Micros, self string) {
	leader := r.group.Leader()
	switch {
	case leader != "" && leader != self:
		r.lastLeader, r.leadingTerm = leader, 0
	case r.group.IsLeader() && r.leadingTerm != r.group.Term():
		r.leadingTerm, r.leadingSince, r.deposedLeader = r.group.Term(), now, r.lastLeader
	}
}

// isDeposed reports whether this node has only just been elected in a node's place.
func (r *replica) isDeposed(now eventloop.Micros, id string) bool {
	return id == r.deposedLeader && now-r.leadingSince < deposedLeaderGrace
}

// preferredLeader is the node that the cluster state prefers as leader of a queue;
// empty: none, or the group is the cluster state's.
func (h *Host) preferredLeader(r *replica) string {
	if r.queue == nil {
		return ""
	}
	return clusterstate.FindQueue(h.sharedState, r.queueName).GetPreferredLeader()
}

// canTakeOver reports whether a voter is alive and lacks few enough entries to take over
// a group.
func (h *Host) canTakeOver(now eventloop.Micros, r *replica, id string) bool {
	match, lastHeard := r.group.PeerProgress(id)
	isAlive := h.membership != nil && h.membership.IsAlive(id, now, livenessTimeout) && !h.membership.Members[id].Member.Draining
	hasAnswered := lastHeard > 0 && now-lastHeard < maxSuccessorSilence
	return isAlive && hasAnswered && r.group.LastIndex()-match < maxSuccessorLag
}

// currentLeader is the leader of a group as far as its replica knows, or the node that
// is taking over; empty: unknown, or r is nil.
func currentLeader(r *replica) string {
	if r == nil {
		return ""
	}
	if next := r.group.Transferee(); next != "" {
		return next
	}
	return r.group.Leader()
}
