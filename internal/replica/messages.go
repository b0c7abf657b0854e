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

// Shifts tell the scheduler's table what a queue's commands did. Whole replaces
// all it knew.
type Shifts struct {
	Queue, Group string
	Term, Hand   uint64
	List         []*queue.Shift
	IsWhole      bool
	Urgency      int64
	Running      int64
}

// Query asks for the whole list: the scheduler saw a gap in the numbers.
type Query struct{ Group string }

// Lost says that this node leads a queue no more.
type Lost struct{ Queue string }

// Fresh says which queues this node may act for at this moment, and how the
// cluster state stands.
type Fresh struct {
	Groups       map[string]uint64 // group -> term
	ClusterState bool              // the cluster state's word is fresh
	At           eventloop.Micros  // when that was so, by the clock of the process; 0: now
}

// Ended is a worker's report for the queue's leader; Noted answers it.
type Ended struct{ End *schema.TaskEndReport }

// Warned says that this process is to leave.
type Warned struct{}

// Belief asks what this node believes.
type Belief struct{ Request uint64 }
