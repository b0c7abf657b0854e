package gateway

// This file defines the messages that other components of the process post to the gateway.
// The gateway answers each message that has a RequestID with a Response to that request,
// unless a ForgetRequest arrives first. Deadlines are points in time of the process's
// monotonic clock.

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Kinds of requests that are sent to the leader of a group.
const (
	// KindStatus reads a job. KindCancel cancels a job.
	KindStatus = "status"
	KindCancel = "cancel"
	// KindList reads a page of a queue's jobs. KindCounts reads the number of its jobs.
	KindList   = "list"
	KindCounts = "counts"
	// KindConfiguration reads the configuration. KindHistory reads its former revisions.
	KindConfiguration = "plan"
	KindHistory       = "history"
	// KindReadClusterState reads the whole cluster state. KindProposeClusterState proposes
	// a command that changes it.
	KindReadClusterState    = "state"
	KindProposeClusterState = "clusterstate"
)

// SubmitJob submits a job for a client. If Queue is empty, Host and Path are matched
// against the configuration's routes: the route determines the queue, and the rest of the
// path is the job's name.
type SubmitJob struct {
	RequestID uint64
	Queue     string
	Host      string
	Path      string
	Client    string // name of the client; its submissions to one queue form a session
	KeyHash   string // clusterstate.HashKey of the key that the call carries; empty if it carries none
	Name      string
	Digest    []byte // digest of the job as the client sent it
	Job       *schema.Job
	Deadline  eventloop.Micros
}

// LeaderRequest is a request, other than a submission, to the leader of a group. If Group
// is empty, Host and Path are matched against the configuration's routes, as for SubmitJob.
type LeaderRequest struct {
	RequestID uint64
	Kind      string // KindStatus, KindCancel and so on
	Group     string // name of a queue, or clusterstate.GroupName
	Host      string
	Path      string
	Name      string // name of a job
	KeyHash   string // as in SubmitJob; set only in requests of clients
	After     string // name of the last job on the previous page; for KindList
	Limit     uint32 // maximum number of jobs on a page; for KindList
	Body      []byte // marshalled command; for KindProposeClusterState
	Deadline  eventloop.Micros
}

// ForwardHeartbeat forwards a worker's heartbeat to the scheduler that holds the worker's
// lease. The body of the response contains the scheduler's orders.
type ForwardHeartbeat struct {
	RequestID uint64
	Worker    string
	Heartbeat *schema.WorkerHeartbeat
	Deadline  eventloop.Micros
}

// CheckReadiness requests whether the gateway accepts requests.
type CheckReadiness struct{ RequestID uint64 }

// ListGateways requests the addresses of all gateways that are known to be alive.
type ListGateways struct{ RequestID uint64 }

// ForgetRequest reports that the client no longer waits for the response to a request.
type ForgetRequest struct{ RequestID uint64 }

// StartDraining makes the gateway report that it isn't ready, although it continues to serve
// requests.
type StartDraining struct{}

// Response is an HTTP response.
type Response struct {
	Code       int32 // HTTP status
	Body       []byte
	RetryAfter int // seconds; 0 if the client isn't told when to retry
}
