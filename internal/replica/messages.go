package replica

// The messages that other components of the process exchange with the Host.

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

// Batch is written to the storage; Written or WriteFailed answers it. The Host sends
// the next batch after Written only.
type Batch struct {
	Number  uint64
	Changes []*schema.StoreChange
}

// Written reports that the batch of this number is durable.
type Written struct {
	Number uint64
}

// WriteFailed reports that the storage couldn't write the batch of this number. The
// storage retries until it can; nothing that depends on the batch is sent before.
type WriteFailed struct {
	Number uint64
	Reason string
}

// Propose is a command of this node's scheduler for a queue. One that isn't added to the log
// is answered with ProposalDropped, unless the term has changed since. One that is added is
// applied in this term, or the term ends.
type Propose struct {
	Group   string
	Term    uint64
	Command *schema.QueueCommand
}

// ProposalDropped reports that a command of the scheduler wasn't added to its queue's log.
type ProposalDropped struct {
	Queue   string
	Term    uint64
	Command *schema.QueueCommand
}

// TaskEvents report to the scheduler what a queue's commands changed. A snapshot lists
// all tasks that concern the scheduler and replaces what it knew of the queue.
type TaskEvents struct {
	Queue, Group string
	Term         uint64
	LastSequence uint64 // of Events; for a snapshot, the number it was taken at
	Events       []*queue.TaskEvent
	IsSnapshot   bool
	Urgency      int64 // the queue's, from the configuration
	MaxRunning   int64 // most tasks of the queue that may run, from the configuration
}

// ResyncQueue asks for a snapshot of a queue's tasks: the scheduler saw a gap in the
// sequence numbers.
type ResyncQueue struct{ Group string }

// LeadershipLost reports that this node no longer leads a queue.
type LeadershipLost struct{ Queue string }

// LeadershipStatus reports which queues this node may act for as leader, and whether
// its copy of the cluster state is fresh. It is sent at each tick.
type LeadershipStatus struct {
	Terms               map[string]uint64 // by group, of those this node leads
	IsClusterStateFresh bool
	TakenAt             eventloop.Micros // when the status was taken, by the process's clock; 0: on receipt
}

// TaskEnded is a worker's report to the leader of the task's queue. It is acknowledged
// once it is applied.
type TaskEnded struct{ Report *schema.TaskEndReport }

// Drain begins the graceful shutdown of this node: it hands over leadership, and takes
// over none.
type Drain struct{}

// StateViewRequest asks for a *NodeStateView, which answers the request of this number.
type StateViewRequest struct{ Request uint64 }
