// Package timing derives the control side's spans from what a deployment promises and
// asks. They are made here alone, so that the sums they enter hold for any bounds; see
// docs/control/members.md.
package timing

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Spans are the time constants that depend on a deployment.
type Spans struct {
	// Suspect is how long a process may be unheard by anybody until it is taken to be
	// silent: half of the time in which a machine that is cut off still counts as in touch.
	Suspect eventloop.Micros
	// Replaced is how long a store is silent until its place goes to one that has come of
	// late: what the catch-up leaves beside the steps of a repair.
	Replaced eventloop.Micros
	// Lost is how long a store is silent until its place goes to any spare: longer than a
	// restart and its catch-up, so that a reboot doesn't cost a copy of everything.
	Lost eventloop.Micros
	// Fresh is how old the cluster state's word may be for a queue's leader to act.
	Fresh eventloop.Micros
	// Ward is how long a former ward may still have granted something: its leader's word
	// may have been that old, and the scheduler's word of the leader besides.
	Ward eventloop.Micros
}

const (
	// ActSpan is how old a leader's word may be for an order of the scheduler to leave.
	ActSpan = 250 * eventloop.Millisecond
	// RepairSpan is what the steps of a repair take: the word of a loss or of a newcomer
	// through the book (two hops of 250 ms), and three changes of members, each with its
	// commits, the copy of what the newcomer lacks, and the word that it is done.
	RepairSpan = 1500 * eventloop.Millisecond

	usualContact = 3 * eventloop.Second
	usualCatchUp = 4 * eventloop.Second

	mostSuspect  = 1500 * eventloop.Millisecond
	mostReplaced = 2500 * eventloop.Millisecond
	mostLost     = 6 * eventloop.Second
	mostFresh    = eventloop.Second
)

func given(us int64, usual eventloop.Micros) eventloop.Micros {
	if us <= 0 {
		return usual
	}
	return eventloop.Micros(us)
}

// Of derives the spans; bounds that aren't told are the usual ones. Wider bounds change
// nothing: being sooner than asked is no harm.
func Of(bounds *schema.Bounds) Spans {
	contact := given(bounds.GetContactUs(), usualContact)
	catchUp := given(bounds.GetCatchUpUs(), usualCatchUp)
	s := Spans{
		Suspect: min(mostSuspect, contact/2),
		Fresh:   min(mostFresh, contact/3),
	}
	s.Replaced = max(s.Suspect, min(mostReplaced, catchUp-RepairSpan))
	s.Lost = max(s.Replaced, min(mostLost, catchUp*3/2))
	s.Ward = s.Fresh + ActSpan
	return s
}

// CanCatchUp tells whether a repair can be done within the catch-up of these bounds.
func CanCatchUp(bounds *schema.Bounds) bool {
	return Of(bounds).Replaced+RepairSpan <= given(bounds.GetCatchUpUs(), usualCatchUp)
}
