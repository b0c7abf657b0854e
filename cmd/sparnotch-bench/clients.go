package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"sparnotch/internal/checker"
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/deployments"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	requestTimeout    = 3 * time.Second
	minSubmitDelay    = 300 * time.Millisecond // between two attempts to submit a job
	firstStatusDelay  = 150 * time.Millisecond // between a job's acceptance and the first request for its status
	maxStatusInterval = time.Second
)

// statusError is the error for an unexpected HTTP status.
type statusError int32

func (e statusError) Error() string {
	return fmt.Sprintf("the gateway node answered with HTTP status %d", int32(e))
}

// requester chooses gateway nodes for a client and sends requests to them.
type requester interface {
	// pick returns the address of a gateway node, in the given zone if possible.
	pick(zone string) (address string)
	// key returns the tenant's key that the client currently sends with its requests.
	// Without a key it returns an empty string.
	key() string
	// send sends one request and returns the reply.
	send(ctx context.Context, timeout time.Duration, r request) (httpReply, error)
}

// clients submits jobs to a fleet and polls the status of each until it has ended.
type clients struct {
	balancer *loadBalancer
	history  *history
	prefix   string               // start of the names of all jobs
	openJobs sync.WaitGroup       // counts the jobs whose clients haven't finished
	mu       sync.Mutex           // guards stats
	stats    map[string]*jobStats // by the name of the job type
}

// jobStats counts the jobs of one type and records the latencies of their submissions.
type jobStats struct {
	sent, accepted, ended int                // numbers of jobs
	rejected              int                // number of jobs whose rejection was final
	givenUp               int                // number of jobs that were given up, and whose cancel was answered
	confirmTimes          []eventloop.Micros // from the first submission of a job to its acceptance
	refusalTimes          []eventloop.Micros // from each refused submission to the refusal
	codes                 map[int32]int      // number of submissions by HTTP status; 0: no answer
}

func newClients(balancer *loadBalancer, h *history, prefix string) *clients {
	return &clients{balancer: balancer, history: h, prefix: prefix, stats: map[string]*jobStats{}}
}

// load submits jobs of one type at the type's rate until the context loading ends. Each job
// has a client of its own, which continues until the job has ended or ctx ends.
func (c *clients) load(loading, ctx context.Context, t deployments.JobType, rng *rand.Rand) {
	c.mu.Lock()
	c.stats[t.Name] = &jobStats{codes: map[int32]int{}}
	c.mu.Unlock()
	for number := 0; loading.Err() == nil; number++ {
		// Exponential intervals make the arrivals a Poisson process.
		sleep(loading, time.Duration(rng.ExpFloat64()*t.MeanInterval*float64(time.Second)))
		if loading.Err() != nil {
			return
		}
		zone := zoneName(rng.IntN(zoneCount))
		j := &clientJob{
			clients: c, requester: c.balancer, jobType: t, name: fmt.Sprintf("%s-%s-%d", c.prefix, t.Name, number),
			zone: zone, client: fmt.Sprintf("%s-%s", t.Name, zone),
		}
		c.openJobs.Add(1)
		go func() {
			defer c.openJobs.Done()
			j.run(ctx)
		}()
	}
}

// updateStats changes the statistics of a job type under the lock.
func (c *clients) updateStats(t deployments.JobType, change func(*jobStats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.stats[t.Name])
}

// clientJob is one job together with the client that submits and polls it.
type clientJob struct {
	*clients
	requester requester
	jobType   deployments.JobType
	name      string // of the job
	zone      string // of the client
	client    string // name of the client
	// cancelAfter is the time from the job's acceptance until the client cancels it; 0
	// means that the client doesn't cancel it.
	cancelAfter time.Duration
	// givesUp means that the client doesn't resubmit the job after an unclear answer, but
	// cancels it through another gateway node.
	givesUp bool
}

func (j *clientJob) path() string { return "/v1/queues/" + j.jobType.Queue + "/jobs/" + j.name }

// run submits the job with retries, polls its status until the job has ended, and reads
// the status a few times more.
func (j *clientJob) run(ctx context.Context) {
	if !j.submit(ctx) {
		return
	}
	if j.cancelAfter > 0 {
		sleep(ctx, j.cancelAfter)
		j.cancel(ctx, j.zone)
	}
	for delay := firstStatusDelay; ctx.Err() == nil; delay = min(delay*3/2, maxStatusInterval) {
		sleep(ctx, delay)
		if state := j.getStatus(ctx, j.zone); state == "complete" || state == "failed" || state == "cancelled" {
			break
		}
	}
	if ctx.Err() != nil {
		return
	}
	j.updateStats(j.jobType, func(s *jobStats) { s.ended++ })
	// These reads go through any gateway node, at once and a little later, so that the
	// checker can verify that no node returns an older state than an earlier read.
	for _, delay := range []time.Duration{0, 20 * time.Millisecond, 500 * time.Millisecond} {
		sleep(ctx, delay)
		if ctx.Err() == nil {
			j.getStatus(ctx, "")
		}
	}
}

// submit submits the job, with retries, until it is accepted. It returns false when the
// rejection of the job is final, when the client gives up, or when the context ends.
func (j *clientJob) submit(ctx context.Context) bool {
	spec := &schema.Job{Text: j.jobType.Text, Steps: j.jobType.Steps}
	body, err := json.Marshal(spec)
	if err != nil {
		return false
	}
	startedAt := j.history.now()
	j.updateStats(j.jobType, func(s *jobStats) { s.sent++ })
	for ctx.Err() == nil {
		code, retryAfter := j.submitOnce(ctx, spec, body)
		switch {
		case ctx.Err() != nil:
			return false
		case code == http.StatusOK || code == http.StatusCreated:
			j.updateStats(j.jobType, func(s *jobStats) {
				s.accepted++
				s.confirmTimes = append(s.confirmTimes, j.history.now()-startedAt)
			})
			return true
		case code >= 400 && code < 500 && code != http.StatusTooManyRequests:
			j.updateStats(j.jobType, func(s *jobStats) { s.rejected++ })
			return false
		case j.givesUp && (code == 0 || code == http.StatusGatewayTimeout):
			if j.cancel(ctx, "") {
				j.updateStats(j.jobType, func(s *jobStats) { s.givenUp++ })
			}
			return false
		}
		sleep(ctx, max(minSubmitDelay, retryAfter))
	}
	return false
}

// submitOnce sends the job once and records the answer. It returns the HTTP status, or 0
// when there was no answer, and the delay that the gateway node asks for before a retry.
func (j *clientJob) submitOnce(ctx context.Context, spec *schema.Job, body []byte) (code int32, retryAfter time.Duration) {
	address, key, sentAt := j.requester.pick(j.zone), j.requester.key(), j.history.now()
	keyHash := hashOfKey(key)
	j.history.add(checker.Event{At: sentAt, Kind: checker.Submit, Actor: j.client, Queue: j.jobType.Queue, Name: j.name, Spec: spec, KeyHash: keyHash})
	reply, err := j.requester.send(ctx, requestTimeout, request{"PUT", address, j.path(), body, j.client, key})
	if ctx.Err() != nil {
		return 0, 0
	}
	if code = reply.code; err != nil {
		code = 0
	}
	e := checker.Event{Kind: checker.SubmitReply, Actor: j.client, Queue: j.jobType.Queue, Name: j.name, Code: code, Gateway: address, SentAt: sentAt, KeyHash: keyHash}
	view := &schema.JobView{}
	if (code == http.StatusOK || code == http.StatusCreated) && json.Unmarshal(reply.body, view) == nil {
		e.State, e.Tenant = view.State, view.Tenant
	}
	j.history.add(e)
	j.updateStats(j.jobType, func(s *jobStats) {
		s.codes[code]++
		if code >= 400 {
			s.refusalTimes = append(s.refusalTimes, j.history.now()-sentAt)
		}
	})
	return code, reply.retryAfter
}

// getStatus requests the job's state from a gateway node of a zone and records the answer.
// It returns an empty state when there was no valid answer.
func (j *clientJob) getStatus(ctx context.Context, zone string) string {
	_, state := j.ask(ctx, zone, "GET", j.path(), checker.Status)
	return state
}

// cancel requests the job's cancellation through a zone until a gateway node gives a final
// answer or the context ends. It reports whether there was a final answer. A rejected key is
// final only for a client that has none.
func (j *clientJob) cancel(ctx context.Context, zone string) bool {
	for ctx.Err() == nil {
		j.history.add(checker.Event{Kind: checker.CancelRequest, Actor: j.client, Queue: j.jobType.Queue, Name: j.name})
		hasKey := j.requester.key() != ""
		code, _ := j.ask(ctx, zone, "POST", j.path()+"/cancel", checker.CancelReply)
		if code != 0 && code < 500 && (code != http.StatusUnauthorized || !hasKey) {
			return true
		}
		sleep(ctx, minSubmitDelay)
	}
	return false
}

// ask sends a request about the job to a gateway node of a zone. It records the answer as
// an event of the given kind, and returns the HTTP status (0: no valid answer) and the
// state of the job.
func (j *clientJob) ask(ctx context.Context, zone, method, path, kind string) (code int32, state string) {
	address, key, sentAt := j.requester.pick(zone), j.requester.key(), j.history.now()
	reply, err := j.requester.send(ctx, requestTimeout, request{method, address, path, nil, j.client, key})
	if ctx.Err() != nil {
		return 0, ""
	}
	view := &schema.JobView{}
	code = reply.code
	if err != nil || code == http.StatusOK && json.Unmarshal(reply.body, view) != nil {
		code = 0
	}
	j.history.add(checker.Event{
		Kind: kind, Actor: j.client, Queue: j.jobType.Queue, Name: j.name, Code: code, State: view.State, Gateway: address, SentAt: sentAt,
		KeyHash: hashOfKey(key), Tenant: view.Tenant,
	})
	return code, view.State
}

// hashOfKey returns the hash of a key, which histories contain in place of the key. It
// returns an empty string for an empty key.
func hashOfKey(key string) string {
	if key == "" {
		return ""
	}
	return clusterstate.HashKey(key)
}
