package sim

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/gateway"
	"sparnotch/internal/schema"
)

const (
	clientTimeout    = 3 * eventloop.Second // how long a client waits for a response
	resubmitDelay    = 300 * eventloop.Millisecond
	statusRetryDelay = 400 * eventloop.Millisecond
	cancelRetryDelay = 300 * eventloop.Millisecond
	listLimit        = 200 // largest number of jobs in a list
)

// JobKind describes a kind of jobs that clients submit.
type JobKind struct {
	Name        string // prefix of the names of its jobs; empty: the queue's name
	Queue       string
	Interval    eventloop.Micros // mean time between two submissions
	Job         *schema.Job
	Draw        func(rng *rand.Rand) *schema.Job // draws each job; nil: all jobs are equal to Job
	CancelShare float64                          // share of the jobs that are cancelled
	CancelDelay eventloop.Micros                 // least time from the acceptance to the cancellation, which comes up to 300 ms later
	StartDelay  eventloop.Micros                 // time from the submission to the start, which the job specifies as a wall time; 0: no start time
	Attempts    uint32                           // attempts that the queue's configuration allows for steps that specify no number
	Tenant      string                           // tenant whose clients submit the jobs; empty: drawn for each job if there are tenants
}

// withAllowedFailures returns the job with the allowed failures that the queue's configuration
// gives to steps that specify no number.
func (k JobKind) withAllowedFailures() *schema.Job {
	if k.Attempts <= 1 {
		return k.Job
	}
	job := proto.Clone(k.Job).(*schema.Job)
	for _, step := range job.Steps {
		if step.AllowedFailures == 0 {
			step.AllowedFailures = k.Attempts - 1
		}
	}
	return job
}

// submittedJob is a job as its client knows it.
type submittedJob struct {
	queue  string
	job    *schema.Job
	tenant string // tenant of the client; empty: none
}

// GenerateLoad submits jobs of a kind at random intervals until a point in time.
func (s *Simulation) GenerateLoad(kind JobKind, until eventloop.Micros) {
	drawInterval := func() eventloop.Micros { return eventloop.Micros(s.Rng.ExpFloat64() * float64(kind.Interval)) }
	count := 0
	var next func()
	next = func() {
		if s.Now >= until {
			return
		}
		count++
		if kind.Draw != nil {
			kind.Job = kind.Draw(s.Rng)
		}
		s.Submit(kind, fmt.Sprintf("%s-%d", cmp.Or(kind.Name, kind.Queue), count))
		s.After(drawInterval(), next)
	}
	s.After(drawInterval(), next)
}

// Submit simulates a client with one job. The client submits the job until it gets a final
// response. If the job is accepted, it requests the job's status right after the acceptance,
// then until the job has ended, and some more times up to two minutes after that.
func (s *Simulation) Submit(kind JobKind, name string) {
	if kind.StartDelay > 0 {
		kind.Job = proto.Clone(kind.Job).(*schema.Job)
		kind.Job.StartUnixUs = wallZero + int64(s.Now+kind.StartDelay)
	}
	if kind.Tenant == "" {
		kind.Tenant = s.tenants.draw()
	}
	s.submitInZone(kind, name, s.randomZone(), nil)
}

// submitInZone submits a job through a gateway that pickGateway draws for a zone. If that is
// the gateway that has just failed to respond, it draws a gateway of any zone instead.
func (s *Simulation) submitInZone(kind JobKind, name, zone string, broken *Host) {
	s.submittedJobs[name] = submittedJob{kind.Queue, kind.Job, kind.Tenant}
	keyHash := s.tenants.drawKeyHash(kind.Tenant)
	s.Record(checker.Event{Kind: checker.Submit, Actor: "caller", Queue: kind.Queue, Name: name, Spec: kind.withAllowedFailures(), KeyHash: keyHash})
	node, sentAt := s.pickGateway(zone), s.Now
	if broken != nil && node == broken {
		node = s.pickGateway("")
	}
	s.Request(node, clientTimeout, s.routes.submitWithKey(kind.Queue, "c-"+node.Name, keyHash, name, kind.Job), func(answer any) {
		response := responseOf(answer)
		isLost := isConfirmed(response) && s.drawAcknowledgementLoss()
		if isLost {
			response = gateway.Response{}
		}
		e := checker.Event{Kind: checker.SubmitReply, Actor: "caller", Queue: kind.Queue, Name: name, Code: response.Code, Gateway: node.Name, SentAt: sentAt, KeyHash: keyHash}
		view := &schema.JobView{}
		if isLost {
			e.State = checker.AcknowledgementLost
		} else if response.Code < 300 && json.Unmarshal(response.Body, view) == nil {
			e.State, e.Tenant = view.State, view.Tenant
		}
		s.Record(e)
		switch {
		case isConfirmed(response):
			s.followJob(kind, name)
		case isUnclear(response):
			failed := node
			if response.Code != 0 {
				failed = nil
			}
			s.After(max(resubmitDelay, eventloop.Micros(response.RetryAfter)*eventloop.Second), func() { s.submitInZone(kind, name, zone, failed) })
		}
	})
}

// followJob simulates the client of a job after the acceptance: it may cancel the job, and it
// polls the status.
func (s *Simulation) followJob(kind JobKind, name string) {
	if s.Rng.Float64() < kind.CancelShare {
		s.After(kind.CancelDelay+eventloop.Micros(s.Rng.Int64N(int64(300*eventloop.Millisecond))), func() { s.cancelJob(kind, name) })
	}
	// A client that knows of the acceptance may request the status at once, through any gateway.
	s.askAboutJob(kind, "status", name, nil)
	s.After(150*eventloop.Millisecond, func() { s.pollUntilTerminal(kind, name, 200*eventloop.Millisecond) })
}

// askAboutJob sends a request about a job through any ready gateway, records the response and
// passes it to the callback. Without a callback it repeats the request while it fails with a
// broken connection, a timeout or a status code from 500 on.
func (s *Simulation) askAboutJob(kind JobKind, request, name string, onResponse func(code int32, view *schema.JobView)) {
	s.askThrough(s.anyGateway(), kind.Queue, request, name, s.tenants.drawKeyHash(s.submittedJobs[name].tenant), func(code int32, view *schema.JobView) {
		switch {
		case onResponse != nil:
			onResponse(code, view)
		case code == 0 || code >= 500:
			s.After(statusRetryDelay, func() { s.askAboutJob(kind, request, name, nil) })
		}
	})
}

// askThrough sends a request about a job and the hash of a key through a gateway, records the
// response and passes it to the callback.
func (s *Simulation) askThrough(node *Host, queue, request, name, keyHash string, onResponse func(code int32, view *schema.JobView)) {
	sentAt := s.Now
	s.Request(node, clientTimeout, leaderRequest(s.routes.address(gateway.LeaderRequest{Kind: request, Group: queue, Name: name, KeyHash: keyHash})), func(answer any) {
		response, view := responseOf(answer), &schema.JobView{}
		if response.Code == 200 && json.Unmarshal(response.Body, view) != nil {
			response.Code = 0
		}
		e := checker.Event{
			Kind: checker.Status, Actor: "caller", Queue: queue, Name: name, Code: response.Code, State: view.State, Gateway: node.Name, SentAt: sentAt,
			KeyHash: keyHash, Tenant: view.Tenant,
		}
		if request == "cancel" {
			e.Kind = checker.CancelReply
		}
		s.Record(e)
		onResponse(response.Code, view)
	})
}

// pollUntilTerminal requests a job's status at growing intervals until the job has ended, and
// then some more times.
func (s *Simulation) pollUntilTerminal(kind JobKind, name string, interval eventloop.Micros) {
	s.askAboutJob(kind, "status", name, func(code int32, view *schema.JobView) {
		if code == 200 && (view.State == "complete" || view.State == "failed" || view.State == "cancelled") {
			for _, delay := range []eventloop.Micros{1, 20 * eventloop.Millisecond, 300 * eventloop.Millisecond, 10 * eventloop.Second, 118 * eventloop.Second} {
				s.After(delay, func() { s.askAboutJob(kind, "status", name, nil) })
			}
			return
		}
		s.After(interval, func() { s.pollUntilTerminal(kind, name, min(interval*3/2, eventloop.Second)) })
	})
}

// cancelJob requests the cancellation of a job until there is a final response. A rejected key
// isn't final.
func (s *Simulation) cancelJob(kind JobKind, name string) {
	s.Record(checker.Event{Kind: checker.CancelRequest, Actor: "caller", Queue: kind.Queue, Name: name})
	s.askAboutJob(kind, "cancel", name, func(code int32, _ *schema.JobView) {
		if code == 0 || code >= 500 || code == http.StatusUnauthorized {
			s.After(cancelRetryDelay, func() { s.cancelJob(kind, name) })
		}
	})
}

// ListPeriodically simulates a client that lists a queue's jobs at an interval until a point in
// time.
func (s *Simulation) ListPeriodically(queue string, interval, until eventloop.Micros) {
	if s.Now >= until {
		return
	}
	s.After(interval, func() { s.ListPeriodically(queue, interval, until) })
	node, sentAt := s.anyGateway(), s.Now
	s.Request(node, clientTimeout, leaderRequest(s.routes.address(gateway.LeaderRequest{Kind: "list", Group: queue, Limit: listLimit})), func(answer any) {
		response, list := responseOf(answer), &schema.JobList{}
		if response.Code != 200 || json.Unmarshal(response.Body, list) != nil {
			return
		}
		for _, view := range list.Jobs {
			s.Record(checker.Event{Kind: checker.Status, Actor: checker.Lister, Queue: queue, Name: view.Name, Code: 200, State: view.State, Gateway: node.Name, SentAt: sentAt})
		}
	})
}

// drawAcknowledgementLoss draws whether an acknowledgement is lost on the way to the client.
func (s *Simulation) drawAcknowledgementLoss() bool {
	return s.acknowledgementLossRate > 0 && s.Rng.Float64() < s.acknowledgementLossRate
}
