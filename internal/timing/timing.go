// Package timing derives the timeouts of the control plane (replicas, controller and
// scheduler) from the bounds in the settings of a deployment. All of them are derived in this
// package, so that the required inequalities between them hold for any bounds;
// docs/control/members.md explains the inequalities.
package timing

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Timeouts contains the timeouts that depend on the bounds of a deployment, in µs.
type Timeouts struct {
	// SuspectTimeout is the time without contact after which a process counts as
	// unresponsive. It is at most half of the contact timeout, during which a partitioned
	// machine still counts as in contact.
	SuspectTimeout eventloop.Micros
	// ReplaceByNewTimeout is the time for which a storage node must be unresponsive before
	// its replicas move to a newly joined storage node. It is at most the catch-up bound
	// minus RepairDuration, unless SuspectTimeout is longer than that.
	ReplaceByNewTimeout eventloop.Micros
	// ReplaceTimeout is the time for which a storage node must be unresponsive before its
	// replicas move to any other storage node. It is longer than a restart and the catch-up
	// after it, so that a reboot doesn't cause a copy of all data.
	ReplaceTimeout eventloop.Micros
	// MaxStateAge is the maximum age of the cluster state at which the leader of a queue acts
	// on it.
	MaxStateAge eventloop.Micros
	// FormerLeaseTimeout is the time after the move of a worker lease during which the former
	// holder of the lease, a scheduler, may still have placed work. The cluster state that the
	// leader of its queue acted on may have been MaxStateAge old, and the scheduler's status
	// of that leader may have been MaxLeaderStatusAge old.
	FormerLeaseTimeout eventloop.Micros
	// QueueRemovalDelay is the time after the removal of a queue from the configuration during
	// which its Raft group may still get jobs. Gateways accept jobs until the configuration
	// is in force, they resend the jobs that have a number until these are confirmed, and
	// the report by which the jobs become known may have the maximum age of a report.
	QueueRemovalDelay eventloop.Micros
}

const (
	// MaxLeaderStatusAge is the maximum age of a scheduler's status of its queue's leader at
	// which the scheduler still sends orders to workers.
	MaxLeaderStatusAge = 250 * eventloop.Millisecond
	// RepairDuration is the time that a repair takes. The membership reports the loss of a
	// node or a new node (two hops of 250 ms). Three membership changes of the group follow,
	// each with its commits, the copy of the data that the new replica lacks, and the
	// report of its completion.
	RepairDuration = 1500 * eventloop.Millisecond

	defaultContactTimeout = 3 * eventloop.Second
	defaultCatchUp        = 4 * eventloop.Second
	defaultConfigApply    = 2 * eventloop.Second

	maxSuspectTimeout      = 1500 * eventloop.Millisecond
	maxReplaceByNewTimeout = 2500 * eventloop.Millisecond
	maxReplaceTimeout      = 6 * eventloop.Second
	maxStateAge            = eventloop.Second
)

// FromBounds derives the timeouts from the bounds. Defaults apply if bounds is nil, and to each
// bound that is 0. A contact or catch-up bound longer than its default has no effect, because
// reacting earlier than required does no harm.
func FromBounds(bounds *schema.Bounds) Timeouts {
	contact := orDefault(bounds.GetContactTimeoutUs(), defaultContactTimeout)
	catchUp := orDefault(bounds.GetCatchUpUs(), defaultCatchUp)
	timeouts := Timeouts{
		SuspectTimeout: min(maxSuspectTimeout, contact/2),
		MaxStateAge:    min(maxStateAge, contact/3),
	}
	timeouts.ReplaceByNewTimeout = max(timeouts.SuspectTimeout, min(maxReplaceByNewTimeout, catchUp-RepairDuration))
	timeouts.ReplaceTimeout = max(timeouts.ReplaceByNewTimeout, min(maxReplaceTimeout, catchUp*3/2))
	timeouts.QueueRemovalDelay = 2 * orDefault(bounds.GetConfigApplyUs(), defaultConfigApply)
	timeouts.FormerLeaseTimeout = timeouts.MaxStateAge + MaxLeaderStatusAge
	return timeouts
}

// CanCatchUp reports whether a replica of an unresponsive storage node can be replaced by one on
// a newly joined node within the catch-up bound.
func CanCatchUp(bounds *schema.Bounds) bool {
	return FromBounds(bounds).ReplaceByNewTimeout+RepairDuration <= orDefault(bounds.GetCatchUpUs(), defaultCatchUp)
}

// orDefault converts a bound in µs to Micros. It returns the fallback if the bound isn't positive.
func orDefault(us int64, fallback eventloop.Micros) eventloop.Micros {
	if us <= 0 {
		return fallback
	}
	return eventloop.Micros(us)
}
