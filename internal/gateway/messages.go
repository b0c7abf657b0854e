package gateway

// The messages that the rest of the process posts to the gateway. Each that carries a
// RequestID is answered with a Response to that request, unless a ForgetRequest comes
// first. Deadlines are instants of the process's clock.

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Kinds of requests, as they are sent to the leader of a group.
const (
	// KindStatus reads a job, KindCancel cancels it.
	KindStatus = "status"
	KindCancel = "cancel"
	// KindList reads a page of a queue's jobs, KindCounts how many there are.
	KindList   = "list"
	KindCounts = "counts"
	// KindConfiguration reads the configuration, KindHistory its former revisions.
	KindConfiguration = "plan"
	KindHistory       = "history"
	// KindReadClusterState reads the whole cluster state, KindProposeClusterState proposes a command to
	// it.
	KindReadClusterState    = "state"
	KindProposeClusterState = "clusterstate"
)

// SubmitJob submits a job for a client. Where Queue is empty, host and path are matched
// with the configuration's routes: the route gives the queue, and the rest of the path
// the job's name.
type SubmitJob struct {
	RequestID uint64
	Queue     string
	Host      string
	Path      string
	Client    string // names the session
	KeyHash   string // clusterstate.HashKey of the key that the call carries; empty: it carries none
	Name      string
	Digest    []byte // of the job as the client gave it
	Job       *schema.Job
	Deadline  eventloop.Micros
}

// LeaderRequest is any other request to the leader of a group. Where Group is empty,
// host and path are matched with the configuration's routes, as for SubmitJob.
type LeaderRequest struct {
	RequestID uint64
	Kind      string
	Group     string // a queue, or clusterstate.Group
	Host      string
	Path      string
	Name      string // of a job
	KeyHash   string // as in SubmitJob; for calls of clients
	After     string // the last job of the page before; for KindList
	Limit     uint32 // jobs on a page; for KindList
	Body      []byte // a marshalled command; for KindProposeClusterState
	Deadline  eventloop.Micros
}

// ForwardHeartbeat passes a worker's heartbeat on to the scheduler that holds the
// worker's lease. The response's body holds the scheduler's orders.
type ForwardHeartbeat struct {
	RequestID uint64
	Worker    string
	Heartbeat *schema.WorkerHeartbeat
	Deadline  eventloop.Micros
}

// CheckReadiness asks whether the gateway accepts requests.
type CheckReadiness struct{ RequestID uint64 }

// ListGateways asks for the addresses of all gateways that are known to be alive.
type ListGateways struct{ RequestID uint64 }

// ForgetRequest says that nobody waits for a response any more.
type ForgetRequest struct{ RequestID uint64 }

// StartDraining makes the gateway report itself as not ready. It goes on serving.
type StartDraining struct{}

// Response is an HTTP response.
type Response struct {
	Code       int32 // HTTP status
	Body       []byte
	RetryAfter int // seconds; 0: none
}
