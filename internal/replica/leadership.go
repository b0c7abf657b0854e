package replica

// Who leads the groups of this process: taking over and passing on.

import (
	"math/rand/v2"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// electionJitter is one draw for all groups of a process: whoever stops hearing a
// machine that led many calls for votes in all of them at once, so that one
// machine comes to lead them together.
type electionJitter struct {
	rng      *rand.Rand
	fraction uint64 // of 1 << 16
}

func (j *electionJitter) redraw() { j.fraction = j.rng.Uint64N(1 << 16) }

func (j *electionJitter) Int64N(n int64) int64 { return n * int64(j.fraction) >> 16 }

// handleTimeoutNow: somebody hands a group to us. Who is leaving takes none; who takes one
// doesn't hand it back at once, though its copy of the cluster state or the book may
// still speak for the one it came from.
func (h *Host) handleTimeoutNow(now eventloop.Micros, from string, m *schema.TimeoutNow) {
	if h.isDraining || h.isReadOnly() {
		return
	}
	if r := h.groups[m.Group]; r != nil {
		r.transferredAt, r.preferredAtTransfer = now, h.preferredLeader(r)
	}
	h.stepGroup(now, from, m.Group, m)
}

// transferIfNeeded hands a group over when this process is warned, when its disk
// refuses or stalls, or when the cluster state wants the queue elsewhere.
func (h *Host) transferIfNeeded(now eventloop.Micros, r *replica) {
	target := h.preferredLeader(r)
	// A leader that was named since is given the queue at once: its workers have
	// gone to it already, and nobody else can start anything on them.
	isCooledDown := now-r.transferredAt >= transferCooldown || h.isDraining || target != r.preferredAtTransfer
	isNewlyReadOnly := h.isReadOnly() && h.readOnly.since > r.transferredAt
	if r.transferredAt > 0 && !isNewlyReadOnly && (!isCooledDown || now-r.transferredAt < eventloop.Second) {
		return
	}
	preferred := target
	isTargetReady := target != h.id && h.canTakeOver(now, r, target) && !h.isNodeReadOnly(target)
	switch {
	case h.isDraining || h.isStalled(now) && h.canElectAnother(now, r):
		if !isTargetReady {
			target = h.chooseSuccessor(now, r)
		}
	case !isTargetReady:
		return
	}
	if target != "" {
		r.transferredAt, r.preferredAtTransfer = now, preferred
		r.group.TransferLeadership(now, target)
	}
}

// currentLeader is whom the cluster state names as leader of a queue.
func (h *Host) preferredLeader(r *replica) string {
	if r.queue == nil {
		return ""
	}
	return clusterstate.FindQueue(h.state, r.name).GetPreferredLeader()
}

// canTakeOver tells whether a voter is near enough to take a group over.
func (h *Host) canTakeOver(now eventloop.Micros, r *replica, id string) bool {
	match, lastHeard := r.group.PeerProgress(id)
	isKnown := h.membership != nil && h.membership.IsAlive(id, now, livenessTimeout) && !h.membership.Members[id].Member.Draining
	return isKnown && lastHeard > 0 && now-lastHeard < 500*eventloop.Millisecond && r.group.LastIndex()-match < 256
}

// currentLeader names who leads a group, or is about to.
func currentLeader(r *replica) string {
	if r == nil {
		return ""
	}
	if next := r.group.Transferee(); next != "" {
		return next
	}
	return r.group.Leader()
}
