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
	minSubmitDelay    = 300 * time.Millisecond // between two attempts to submit
	firstStatusDelay  = 150 * time.Millisecond
	maxStatusInterval = time.Second
)

// statusError is an unexpected HTTP status.
type statusError int32

func (e statusError) Error() string { return fmt.Sprintf("HTTP status %d", int32(e)) }

// requester chooses gateway nodes for a client and calls them.
type requester interface {
	// pick chooses a gateway node, of the zone if it can.
	pick(zone string) (address string)
	// key is the tenant's key that the client's calls carry now; empty: they carry none.
	key() string
	// send makes one request.
	send(ctx context.Context, timeout time.Duration, r request) (httpReply, error)
}

// clients submit jobs to a fleet and follow them to their end.
type clients struct {
	balancer *loadBalancer
	history  *history
	prefix   string         // of the jobs' names
	open     sync.WaitGroup // jobs that are followed
	mu       sync.Mutex
	stats    map[string]*jobStats // by the job type's name
}

// jobStats counts the jobs of one type.
type jobStats struct {
	sent, accepted, ended int
	rejected              int // for good
	confirmTimes          []eventloop.Micros
	refusalTimes          []eventloop.Micros // from each submission to its rejection
	codes                 map[int32]int      // HTTP status of submissions; 0: no answer
}

func newClients(balancer *loadBalancer, h *history, prefix string) *clients {
	return &clients{balancer: balancer, history: h, prefix: prefix, stats: map[string]*jobStats{}}
}

// load submits jobs of one type at its rate until loading ends, and follows them until
// ctx ends.
func (c *clients) load(loading, ctx context.Context, t deployments.JobType, rng *rand.Rand) {
	c.mu.Lock()
	c.stats[t.Name] = &jobStats{codes: map[int32]int{}}
	c.mu.Unlock()
	for number := 0; loading.Err() == nil; number++ {
		// A Poisson process: arrivals are independent of each other.
		sleep(loading, time.Duration(rng.ExpFloat64()*t.MeanInterval*float64(time.Second)))
		if loading.Err() != nil {
			return
		}
		zone := zoneName(rng.IntN(zoneCount))
		j := &clientJob{
			clients: c, requester: c.balancer, jobType: t, name: fmt.Sprintf("%s-%s-%d", c.prefix, t.Name, number),
			zone: zone, client: fmt.Sprintf("%s-%s", t.Name, zone),
		}
		c.open.Add(1)
		go func() {
			defer c.open.Done()
			j.run(ctx)
		}()
	}
}

func (c *clients) updateStats(t deployments.JobType, change func(*jobStats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.stats[t.Name])
}

// clientJob is one job as its client sees it.
type clientJob struct {
	*clients
	requester requester
	jobType   deployments.JobType
	name      string
	zone      string // of the client
	client    string // its name
	// cancelAfter is how long after its acceptance the job is cancelled; 0: it isn't.
	cancelAfter time.Duration
}

func (j *clientJob) path() string { return "/v1/queues/" + j.jobType.Queue + "/jobs/" + j.name }

// run submits the job, with retries, and asks for its status until it has ended, and
// a few times after that.
func (j *clientJob) run(ctx context.Context) {
	if !j.submit(ctx) {
		return
	}
	if j.cancelAfter > 0 {
		sleep(ctx, j.cancelAfter)
		j.cancel(ctx)
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
	// Right after the end, through any gateway node, and again a little later: reads
	// must not go back in time.
	for _, delay := range []time.Duration{0, 20 * time.Millisecond, 500 * time.Millisecond} {
		sleep(ctx, delay)
		if ctx.Err() == nil {
			j.getStatus(ctx, "")
		}
	}
}

// submit submits the job until it is accepted. It returns false when the job is rejected
// for good or the context ends.
func (j *clientJob) submit(ctx context.Context) bool {
	spec := &schema.Job{Text: j.jobType.Text, Steps: j.jobType.Steps}
	body, err := json.Marshal(spec)
	if err != nil {
		return false
	}
	began := j.history.now()
	j.updateStats(j.jobType, func(s *jobStats) { s.sent++ })
	for ctx.Err() == nil {
		code, retryAfter := j.submitOnce(ctx, spec, body)
		switch {
		case ctx.Err() != nil:
			return false
		case code == http.StatusOK || code == http.StatusCreated:
			j.updateStats(j.jobType, func(s *jobStats) {
				s.accepted++
				s.confirmTimes = append(s.confirmTimes, j.history.now()-began)
			})
			return true
		case code >= 400 && code < 500 && code != http.StatusTooManyRequests:
			j.updateStats(j.jobType, func(s *jobStats) { s.rejected++ })
			return false
		}
		sleep(ctx, max(minSubmitDelay, retryAfter))
	}
	return false
}

// submitOnce sends the job once and records what is answered; code 0 means no answer.
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

// getStatus asks a gateway node of a zone for the job's state, and records the answer.
func (j *clientJob) getStatus(ctx context.Context, zone string) string {
	_, state := j.ask(ctx, zone, "GET", j.path(), checker.Status)
	return state
}

// cancel asks for the job's end until that is answered.
func (j *clientJob) cancel(ctx context.Context) {
	for ctx.Err() == nil {
		j.history.add(checker.Event{Kind: checker.CancelRequest, Actor: j.client, Queue: j.jobType.Queue, Name: j.name})
		if code, _ := j.ask(ctx, j.zone, "POST", j.path()+"/cancel", checker.CancelReply); code != 0 && code < 500 && code != http.StatusUnauthorized {
			return
		}
		sleep(ctx, minSubmitDelay)
	}
}

// ask makes a request about the job at a gateway node of a zone, and records the answer as
// an event of a kind.
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

// hashOfKey is what stands for a key in histories; empty for none.
func hashOfKey(key string) string {
	if key == "" {
		return ""
	}
	return clusterstate.HashKey(key)
}
