package gateway

// The messages that a process's other tables and the outside give to its gateway.

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// HandIn is a submission from HTTP. Where no queue is named, host and path lead to
// it by the plan's entries, and what follows the prefix is the job's name.
type HandIn struct {
	Request  uint64
	Queue    string
	Host     string
	Path     string
	Client   string
	Name     string
	Digest   []byte
	Job      *schema.Job
	Deadline eventloop.Micros
}

// Ask is any other request that a group's leader answers. Where no group is
// named, host and path lead to a queue as for HandIn.
type Ask struct {
	Request  uint64
	Kind     string
	Group    string
	Host     string
	Path     string
	Name     string
	After    string
	Most     uint32
	Body     []byte
	Deadline eventloop.Micros
}

// PollIn is a worker's announce.
type PollIn struct {
	Request  uint64
	Worker   string
	Announce *schema.WorkerHeartbeat
	Deadline eventloop.Micros
}

// Ready asks whether this front can serve.
type Ready struct{ Request uint64 }

// Fronts asks for all fronts this one knows.
type Fronts struct{ Request uint64 }

// Forget says that nobody waits for a request any more.
type Forget struct{ Request uint64 }

// Warned says that this process is to leave.
type Warned struct{}

// Respond goes back to whoever waits.
type Answer struct {
	Code  int32
	Body  []byte
	Retry int // seconds, for 429 and 503
}
