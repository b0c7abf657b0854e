package replica

// The messages that a process's other tables exchange with its replicas.

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

// Batch goes to the storage; Written comes back when it lasts.
type Batch struct {
	Number  uint64
	Changes []*schema.StoreChange
}

// Written says that the batch with this number is durable.
type Written struct {
	Number uint64
}

// Propose is a command of the scheduler on this node, for the term it knows.
type Propose struct {
	Group   string
	Term    uint64
	Command *schema.QueueCommand
}

// TaskEvents tell the scheduler's table what a queue's commands did. Whole replaces
// all it knew.
type TaskEvents struct {
	Queue, Group       string
	Term, LastSequence uint64
	Events             []*queue.TaskEvent
	IsSnapshot         bool
	Urgency            int64
	Running            int64
}

// ResyncQueue asks for the whole list: the scheduler saw a gap in the numbers.
type ResyncQueue struct{ Group string }

// LeadershipLost says that this node leads a queue no more.
type LeadershipLost struct{ Queue string }

// LeadershipStatus says which queues this node may act for at this moment, and how the
// cluster state stands.
type LeadershipStatus struct {
	Terms               map[string]uint64 // group -> term
	IsClusterStateFresh bool              // the cluster state's word is fresh
	At                  eventloop.Micros  // when that was so, by the clock of the process; 0: now
}

// TaskEnded is a worker's report for the queue's leader; Noted answers it.
type TaskEnded struct{ End *schema.TaskEndReport }

// Drain says that this process is to leave.
type Drain struct{}

// GetStateView asks what this node believes.
type GetStateView struct{ Request uint64 }
