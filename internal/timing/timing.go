// Package timing derives the control side's spans from what a deployment promises and
// asks. They are made here alone, so that the sums they enter hold for any bounds; see
// docs/control/members.md.
package timing

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Timeouts are the time constants that depend on a deployment.
type Timeouts struct {
	// Suspect is how long a process may be unheard by anybody until it is taken to be
	// silent: half of the time in which a machine that is cut off still counts as in touch.
	SuspectTimeout eventloop.Micros
	// Replaced is how long a store is silent until its place goes to one that has come of
	// late: what the catch-up leaves beside the steps of a repair.
	ReplaceByNewTimeout eventloop.Micros
	// Lost is how long a store is silent until its place goes to any spare: longer than a
	// restart and its catch-up, so that a reboot doesn't cost a copy of everything.
	ReplaceTimeout eventloop.Micros
	// Fresh is how old the cluster state's word may be for a queue's leader to act.
	MaxStateAge eventloop.Micros
	// Ward is how long a former ward may still have granted something: its leader's word
	// may have been that old, and the scheduler's word of the leader besides.
	FormerLeaseTimeout eventloop.Micros
}

const (
	// MaxLeaderStatusAge is how old a leader's word may be for an order of the scheduler to leave.
	MaxLeaderStatusAge = 250 * eventloop.Millisecond
	// RepairDuration is what the steps of a repair take: the word of a loss or of a newcomer
	// through the book (two hops of 250 ms), and three changes of members, each with its
	// commits, the copy of what the newcomer lacks, and the word that it is done.
	RepairDuration = 1500 * eventloop.Millisecond

	defaultContact = 3 * eventloop.Second
	defaultCatchUp = 4 * eventloop.Second

	maxSuspectTimeout      = 1500 * eventloop.Millisecond
	maxReplaceByNewTimeout = 2500 * eventloop.Millisecond
	maxReplaceTimeout      = 6 * eventloop.Second
	maxStateAge            = eventloop.Second
)

func orDefault(us int64, fallback eventloop.Micros) eventloop.Micros {
	if us <= 0 {
		return fallback
	}
	return eventloop.Micros(us)
}

// FromBounds derives the spans; bounds that aren't told are the usual ones. Wider bounds change
// nothing: being sooner than asked is no harm.
func FromBounds(bounds *schema.Bounds) Timeouts {
	contact := orDefault(bounds.GetContactUs(), defaultContact)
	catchUp := orDefault(bounds.GetCatchUpUs(), defaultCatchUp)
	timeouts := Timeouts{
		SuspectTimeout: min(maxSuspectTimeout, contact/2),
		MaxStateAge:    min(maxStateAge, contact/3),
	}
	timeouts.ReplaceByNewTimeout = max(timeouts.SuspectTimeout, min(maxReplaceByNewTimeout, catchUp-RepairDuration))
	timeouts.ReplaceTimeout = max(timeouts.ReplaceByNewTimeout, min(maxReplaceTimeout, catchUp*3/2))
	timeouts.FormerLeaseTimeout = timeouts.MaxStateAge + MaxLeaderStatusAge
	return timeouts
}

// CanCatchUp tells whether a repair can be done within the catch-up of these bounds.
func CanCatchUp(bounds *schema.Bounds) bool {
	return FromBounds(bounds).ReplaceByNewTimeout+RepairDuration <= orDefault(bounds.GetCatchUpUs(), defaultCatchUp)
}
