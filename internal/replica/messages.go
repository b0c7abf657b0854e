package replica

// This file declares the messages that the Host exchanges with other components of the
// process.

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

// Batch asks the storage to write changes durably. The storage answers with Written or
// WriteFailed. The Host sends the next batch only after Written.
type Batch struct {
	Number  uint64
	Changes []*schema.StoreChange
}

// Written reports that the batch with this number is durable.
type Written struct {
	Number uint64
}

// WriteFailed reports that the storage couldn't write the batch with this number, and why.
// The storage retries until it succeeds. Until then the Host sends nothing that depends on
// the batch.
type WriteFailed struct {
	Number uint64
	Reason string
}

// Propose asks the Host to add a command of this node's scheduler to a queue's log. If the
// command isn't added, the Host answers with ProposalDropped, unless the group's term is no
// longer Term. A command that is added is applied in this term, unless the term ends first.
type Propose struct {
	Group   string
	Term    uint64
	Command *schema.QueueCommand
}

// ProposalDropped reports to the scheduler that its command wasn't added to the queue's log.
type ProposalDropped struct {
	Queue   string
	Term    uint64
	Command *schema.QueueCommand
}

// TaskEvents reports to the scheduler what a queue's commands have changed. If IsSnapshot is
// set, Events contains all tasks that the scheduler must know, and replaces what it knew of
// the queue.
type TaskEvents struct {
	Queue, Group string
	Term         uint64
	LastSequence uint64 // sequence number of the last event in Events, or before the snapshot
	Events       []*queue.TaskEvent
	IsSnapshot   bool
	Urgency      int64 // urgency of the queue, from the configuration
	MaxRunning   int64 // most tasks of the queue that may be checked out at once, from the configuration
}

// ResyncQueue asks for a snapshot of a queue's tasks. The scheduler sends it when it finds a
// gap in the sequence numbers of the events.
type ResyncQueue struct{ Group string }

// LeadershipLost reports to the scheduler that this node no longer leads a queue.
type LeadershipLost struct{ Queue string }

// LeadershipStatus reports to the scheduler which queues this node may act for as leader, and
// whether its copy of the cluster state is fresh. It is sent at each tick.
type LeadershipStatus struct {
	Terms               map[string]uint64 // terms of the groups of these queues, by group name
	IsClusterStateFresh bool
	TakenAt             eventloop.Micros // when the status was taken, by the process's clock; 0: when it was received
}

// TasksEnded passes workers' reports from this node's scheduler to the Host, which adds each to
// the log of the task's queue or forwards it to the queue's leader. A report is acknowledged
// once it is applied.
type TasksEnded struct{ Reports []*schema.TaskEndReport }

// TaskEndAcks passes acknowledgements of such reports to this node's scheduler.
type TaskEndAcks struct{ Acks []*schema.TaskEndAck }

// Drain starts the graceful shutdown of this node: it hands over the groups that it leads and
// no longer takes over any.
type Drain struct{}

// StateViewRequest asks for a *NodeStateView, which is the response to the client request with
// this number.
type StateViewRequest struct{ Request uint64 }
