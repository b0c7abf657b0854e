package replica

// Who leads the groups of this process: taking over and passing on.

import (
	"math/rand/v2"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// patience is one draw for all groups of a process: whoever stops hearing a
// machine that led many calls for votes in all of them at once, so that one
// machine comes to lead them together.
type patience struct {
	rng   *rand.Rand
	share uint64 // of 1 << 16
}

func (p *patience) draw() { p.share = p.rng.Uint64N(1 << 16) }

func (p *patience) Int64N(n int64) int64 { return n * int64(p.share) >> 16 }

// urged: somebody hands a group to us. Who is leaving takes none; who takes one
// doesn't hand it back at once, though its copy of the cluster state or the book may
// still speak for the one it came from.
func (t *Table) urged(now eventloop.Micros, from string, m *schema.TimeoutNow) {
	if t.isWarned || t.refuses() {
		return
	}
	if r := t.groups[m.Group]; r != nil {
		r.passAt, r.leaderAt = now, t.leaderOf(r)
	}
	t.toGroup(now, from, m.Group, m)
}

// passOn hands a group over when this process is warned, when its disk
// refuses or stalls, or when the cluster state wants the queue elsewhere.
func (t *Table) passOn(now eventloop.Micros, r *replica) {
	wanted := t.leaderOf(r)
	// A leader that was named since is given the queue at once: its workers have
	// gone to it already, and nobody else can start anything on them.
	isRested := now-r.passAt >= passRest || t.isWarned || wanted != r.leaderAt
	isRefusalNew := t.refuses() && t.refusal.at > r.passAt
	if r.passAt > 0 && !isRefusalNew && (!isRested || now-r.passAt < eventloop.Second) {
		return
	}
	named := wanted
	isFit := wanted != t.id && t.isFit(now, r, wanted) && !t.isRefusing(wanted)
	switch {
	case t.isWarned || t.isStalled(now) && t.canElectAnother(now, r):
		if !isFit {
			wanted = t.heir(now, r)
		}
	case !isFit:
		return
	}
	if wanted != "" {
		r.passAt, r.leaderAt = now, named
		r.group.TransferLeadership(now, wanted)
	}
}

// leaderOf is whom the cluster state names as leader of a queue.
func (t *Table) leaderOf(r *replica) string {
	if r.queue == nil {
		return ""
	}
	return clusterstate.FindQueue(t.state, r.name).GetPreferredLeader()
}

// isFit tells whether a voter is near enough to take a group over.
func (t *Table) isFit(now eventloop.Micros, r *replica, id string) bool {
	match, heard := r.group.PeerProgress(id)
	isKnown := t.roll != nil && t.roll.IsAlive(id, now, liveSpan) && !t.roll.Members[id].Member.Draining
	return isKnown && heard > 0 && now-heard < 500*eventloop.Millisecond && r.group.LastIndex()-match < 256
}

// leaderOf names who leads a group, or is about to.
func leaderOf(r *replica) string {
	if r == nil {
		return ""
	}
	if next := r.group.Transferee(); next != "" {
		return next
	}
	return r.group.Leader()
}
