package gateway

// The messages that a process's other tables and the outside give to its gateway.

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// SubmitJob is a submission from HTTP. Where no queue is named, host and path lead to
// it by the plan's entries, and what follows the prefix is the job's name.
type SubmitJob struct {
	RequestID uint64
	Queue     string
	Host      string
	Path      string
	Client    string
	Name      string
	Digest    []byte
	Job       *schema.Job
	Deadline  eventloop.Micros
}

// LeaderRequest is any other request that a group's leader answers. Where no group is
// named, host and path lead to a queue as for SubmitJob.
type LeaderRequest struct {
	RequestID uint64
	Kind      string
	Group     string
	Host      string
	Path      string
	Name      string
	After     string
	Limit     uint32
	Body      []byte
	Deadline  eventloop.Micros
}

// ForwardAnnouncement is a worker's announce.
type ForwardAnnouncement struct {
	RequestID uint64
	Worker    string
	Announce  *schema.WorkerHeartbeat
	Deadline  eventloop.Micros
}

// CheckReadiness asks whether this front can serve.
type CheckReadiness struct{ RequestID uint64 }

// ListGateways asks for all fronts this one knows.
type ListGateways struct{ RequestID uint64 }

// ForgetRequest says that nobody waits for a request any more.
type ForgetRequest struct{ RequestID uint64 }

// StartDraining says that this process is to leave.
type StartDraining struct{}

// Respond goes back to whoever waits.
type Response struct {
	Code       int32
	Body       []byte
	RetryAfter int // seconds, for 429 and 503
}
