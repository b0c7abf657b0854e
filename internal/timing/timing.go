// Package timing derives the timeouts of the control side (replicas, controller,
// scheduler) from the bounds that a deployment promises and asks for. They are derived
// here alone, so that the inequalities between them hold for any bounds;
// docs/control/members.md gives the reasons.
package timing

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Timeouts are the time constants that depend on a deployment, in µs.
type Timeouts struct {
	// SuspectTimeout is how long nobody may hear from a process before it counts as
	// unresponsive: half of the time in which a machine behind a partition still counts
	// as in contact.
	SuspectTimeout eventloop.Micros
	// ReplaceByNewTimeout is how long a storage node must be unresponsive for its replicas
	// to move to a newly joined one: what the catch-up bound leaves beside a repair.
	ReplaceByNewTimeout eventloop.Micros
	// ReplaceTimeout is how long a storage node must be unresponsive for its replicas to
	// move to any other: longer than a restart and its catch-up, so that a reboot doesn't
	// cost a copy of everything.
	ReplaceTimeout eventloop.Micros
	// MaxStateAge is how old the cluster state may be for a queue's leader to act on it.
	MaxStateAge eventloop.Micros
	// FormerLeaseTimeout is how long after a worker lease has moved its former holder may
	// still have placed work: the cluster state that its leader acted on may have been
	// MaxStateAge old, and its own status of that leader MaxLeaderStatusAge.
	FormerLeaseTimeout eventloop.Micros
	// QueueRemovalDelay is how long after a queue has left the configuration its group may
	// get jobs: gateways take them until the configuration is in force, what they have
	// numbered is sent again until it is confirmed, and the report that shows the jobs is
	// as old as a report may be.
	QueueRemovalDelay eventloop.Micros
}

const (
	// MaxLeaderStatusAge is how old a scheduler's status of its queue's leader may be for
	// an order to a worker to be sent.
	MaxLeaderStatusAge = 250 * eventloop.Millisecond
	// RepairDuration is what the steps of a repair take: the report of a loss or of a new
	// node through the membership (two hops of 250 ms), and three membership changes of
	// the group, each with its commits, the copy of what the new replica lacks, and the
	// report that it is done.
	RepairDuration = 1500 * eventloop.Millisecond

	defaultContact = 3 * eventloop.Second
	defaultCatchUp = 4 * eventloop.Second
	defaultApply   = 2 * eventloop.Second

	maxSuspectTimeout      = 1500 * eventloop.Millisecond
	maxReplaceByNewTimeout = 2500 * eventloop.Millisecond
	maxReplaceTimeout      = 6 * eventloop.Second
	maxStateAge            = eventloop.Second
)

// FromBounds derives the timeouts. Bounds that are nil or 0 have their defaults; bounds
// wider than these change nothing, since being sooner than asked does no harm.
func FromBounds(bounds *schema.Bounds) Timeouts {
	contact := orDefault(bounds.GetContactTimeoutUs(), defaultContact)
	catchUp := orDefault(bounds.GetCatchUpUs(), defaultCatchUp)
	timeouts := Timeouts{
		SuspectTimeout: min(maxSuspectTimeout, contact/2),
		MaxStateAge:    min(maxStateAge, contact/3),
	}
	timeouts.ReplaceByNewTimeout = max(timeouts.SuspectTimeout, min(maxReplaceByNewTimeout, catchUp-RepairDuration))
	timeouts.ReplaceTimeout = max(timeouts.ReplaceByNewTimeout, min(maxReplaceTimeout, catchUp*3/2))
	timeouts.QueueRemovalDelay = 2 * orDefault(bounds.GetConfigApplyUs(), defaultApply)
	timeouts.FormerLeaseTimeout = timeouts.MaxStateAge + MaxLeaderStatusAge
	return timeouts
}

// CanCatchUp tells whether a repair can be completed within the catch-up bound.
func CanCatchUp(bounds *schema.Bounds) bool {
	return FromBounds(bounds).ReplaceByNewTimeout+RepairDuration <= orDefault(bounds.GetCatchUpUs(), defaultCatchUp)
}

func orDefault(us int64, fallback eventloop.Micros) eventloop.Micros {
	if us <= 0 {
		return fallback
	}
	return eventloop.Micros(us)
}
