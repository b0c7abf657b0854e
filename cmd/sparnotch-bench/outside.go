package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"sparnotch/internal/checker"
	"sparnotch/internal/deployments"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
	"sparnotch/internal/schema"
)

// loadBalancer passes clients to fronts, as the users' platform does: by cell, and
// by each front's readiness, looked at every second.
type loadBalancer struct {
	client    *http.Client
	mu        sync.Mutex
	endpoints []*endpoint
	rng       *rand.Rand
}

type endpoint struct {
	address      string
	cell         string
	isReady      bool
	probes       int
	readyProbes  int
	failedProbes int // readiness answers that took longer than a second
}

func newLoadBalancer(fronts []*endpoint) *loadBalancer {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}
	return &loadBalancer{client: &http.Client{Transport: transport}, endpoints: fronts, rng: rand.New(rand.NewPCG(7, 7))}
}

func (b *loadBalancer) probe(ctx context.Context) {
	eventloop.NewQueue[int](1).Consume(ctx, eventloop.Second, nil, func() {
		b.mu.Lock()
		fronts := append([]*endpoint(nil), b.endpoints...)
		b.mu.Unlock()
		for _, g := range fronts {
			go func() {
				code, _, err := b.call(ctx, time.Second, "GET", g.address, "/readyz", nil, "")
				b.mu.Lock()
				g.probes++
				g.isReady = err == nil && code == 200
				if g.isReady {
					g.readyProbes++
				} else if err != nil {
					g.failedProbes++
				}
				b.mu.Unlock()
			}()
		}
	})
}

// discover asks the fronts for the others, so that a client needs to know only a
// few at its start.
func (b *loadBalancer) discover(ctx context.Context) {
	eventloop.NewQueue[int](1).Consume(ctx, 3*eventloop.Second, nil, func() {
		_, data, err := b.call(ctx, 2*time.Second, "GET", b.pick(""), "/v1/fronts", nil, "")
		list := &schema.GatewayList{}
		if err != nil || json.Unmarshal(data, list) != nil {
			return
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		known := map[string]*endpoint{}
		for _, g := range b.endpoints {
			known[g.address] = g
		}
		for _, note := range list.Gateways {
			if known[note.Address] == nil {
				b.endpoints = append(b.endpoints, &endpoint{address: note.Address, cell: note.Zone, isReady: !note.Draining})
			} else {
				known[note.Address].cell, known[note.Address].isReady = note.Zone, !note.Draining
			}
		}
	})
}

// pick gives a ready front of the cell, else any ready one, else any.
func (b *loadBalancer) pick(cell string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var near, ready []*endpoint
	for _, g := range b.endpoints {
		if g.isReady {
			ready = append(ready, g)
			if g.cell == cell {
				near = append(near, g)
			}
		}
	}
	for _, list := range [][]*endpoint{near, ready, b.endpoints} {
		if len(list) > 0 {
			return list[b.rng.IntN(len(list))].address
		}
	}
	return ""
}

// httpReply is an answer over HTTP.
type httpReply struct {
	code       int32
	body       []byte
	retryAfter time.Duration // when to come back
}

func (b *loadBalancer) call(ctx context.Context, span time.Duration, method, address, path string, body []byte, who string) (int32, []byte, error) {
	got, err := b.send(ctx, span, method, address, path, body, who)
	return got.code, got.body, err
}

func (b *loadBalancer) send(ctx context.Context, span time.Duration, method, address, path string, body []byte, who string) (httpReply, error) {
	ctx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return httpReply{}, err
	}
	if who != "" {
		request.Header.Set("Sparnotch-Client", who)
	}
	response, err := b.client.Do(request)
	if err != nil {
		return httpReply{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, 16<<20))
	if err != nil {
		return httpReply{}, err
	}
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return httpReply{int32(response.StatusCode), data, time.Duration(seconds) * time.Second}, nil
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// --- workers ---

type workerRunner struct {
	balancer       *loadBalancer
	history        *history
	cell           string
	mu             sync.Mutex
	worker         *fakeworker.Worker
	isDisconnected bool // reaches no front
}

func (w *workerRunner) setDisconnected(disconnected bool) {
	w.mu.Lock()
	w.isDisconnected = disconnected
	w.mu.Unlock()
}

// run drives one stand-in worker until the context ends, which is its crash,
// or until it has left.
func (w *workerRunner) run(ctx context.Context) {
	defer func() {
		w.mu.Lock()
		w.worker.Crash(w.history.now())
		w.mu.Unlock()
	}()
	front := w.balancer.pick(w.cell)
	wake := make(chan struct{}, 1)
	inFlight := make(chan struct{}, 2)
	for ctx.Err() == nil {
		w.mu.Lock()
		now := w.history.now()
		w.worker.Tick(now)
		due := w.worker.IsHeartbeatDue(now)
		var heartbeat *schema.WorkerHeartbeat
		if due {
			select {
			case inFlight <- struct{}{}:
				heartbeat = w.worker.NewHeartbeat(now)
			default:
			}
		}
		next, address := w.worker.NextEventAt(), front
		w.mu.Unlock()
		if heartbeat != nil {
			go func(address string) {
				defer func() {
					<-inFlight
					select {
					case wake <- struct{}{}:
					default:
					}
				}()
				if !w.sendHeartbeat(ctx, address, heartbeat, now) {
					w.mu.Lock()
					front = w.balancer.pick(w.cell)
					w.mu.Unlock()
				}
			}(address)
			continue
		}
		timer := time.NewTimer(max(next-now, 2*eventloop.Millisecond).Duration())
		select {
		case <-ctx.Done():
		case <-wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (w *workerRunner) sendHeartbeat(ctx context.Context, front string, heartbeat *schema.WorkerHeartbeat, sent eventloop.Micros) bool {
	body, err := json.Marshal(heartbeat)
	if err != nil {
		return false
	}
	w.mu.Lock()
	disconnected := w.isDisconnected
	w.mu.Unlock()
	if disconnected {
		sleep(ctx, 1200*time.Millisecond)
		w.mu.Lock()
		w.worker.HandleUnanswered(w.history.now())
		w.mu.Unlock()
		return false
	}
	code, data, err := w.balancer.call(ctx, 1200*time.Millisecond, "POST", front, "/v1/workers/"+w.worker.Name+"/announce", body, "")
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.history.now()
	if ctx.Err() != nil {
		return false
	}
	orders := &schema.WorkerOrders{}
	if w.isDisconnected || err != nil || code != 200 || json.Unmarshal(data, orders) != nil {
		w.worker.HandleUnanswered(now)
		return false
	}
	w.worker.HandleOrders(now, sent, heartbeat.Seq, orders)
	return true
}

// --- callers ---

type clients struct {
	balancer *loadBalancer
	history  *history
	prefix   string
	open     sync.WaitGroup
	mu       sync.Mutex
	stats    map[string]*jobStats
}

type jobStats struct {
	sent, accepted, ended int
	rejected              int // for good
	confirmTimes          []eventloop.Micros
	refusalTimes          []eventloop.Micros // how long until a hand-in was turned away
	codes                 map[int32]int
}

func newClients(p *loadBalancer, h *history, prefix string) *clients {
	return &clients{balancer: p, history: h, prefix: prefix, stats: map[string]*jobStats{}}
}

// load hands in one kind of job at its rate until the context ends.
func (c *clients) load(ctx, whole context.Context, k deployments.JobType, rng *rand.Rand) {
	c.mu.Lock()
	c.stats[k.Name] = &jobStats{codes: map[int32]int{}}
	c.mu.Unlock()
	cells := []string{"c1", "c2", "c3"}
	for number := 0; ctx.Err() == nil; number++ {
		// Arrivals are independent of each other, as people are.
		sleep(ctx, time.Duration(rng.ExpFloat64()*k.MeanInterval*float64(time.Second)))
		if ctx.Err() != nil {
			return
		}
		name := fmt.Sprintf("%s-%s-%d", c.prefix, k.Name, number)
		cell := cells[rng.IntN(len(cells))]
		c.open.Add(1)
		go func() {
			defer c.open.Done()
			c.job(whole, k, name, cell, fmt.Sprintf("%s-%s", k.Name, cell))
		}()
	}
}

// job is one caller with one job: it resends after any silence, and asks how
// the job is doing until it has ended, and once more after that.
func (c *clients) job(ctx context.Context, k deployments.JobType, name, cell, who string) {
	spec := &schema.Job{Text: k.Text, Steps: k.Steps}
	body, err := json.Marshal(spec)
	if err != nil {
		return
	}
	path := "/v1/queues/" + k.Queue + "/jobs/" + name
	began := c.history.now()
	c.updateStats(k, func(s *jobStats) { s.sent++ })
	for ctx.Err() == nil {
		address, sent := c.balancer.pick(cell), c.history.now()
		c.history.add(checker.Event{At: sent, Kind: checker.Submit, Actor: who, Queue: k.Queue, Name: name, Spec: spec})
		reply, err := c.balancer.send(ctx, 3*time.Second, "PUT", address, path, body, who)
		if ctx.Err() != nil {
			break
		}
		code := reply.code
		if err != nil {
			code = 0
		}
		e := checker.Event{Kind: checker.SubmitReply, Actor: who, Queue: k.Queue, Name: name, Code: code, Gateway: address, SentAt: sent}
		view := &schema.JobView{}
		if code == 200 || code == 201 {
			if json.Unmarshal(reply.body, view) == nil {
				e.State = view.State
			}
		}
		c.history.add(e)
		c.updateStats(k, func(s *jobStats) {
			s.codes[code]++
			if code >= 400 {
				s.refusalTimes = append(s.refusalTimes, c.history.now()-sent)
			}
		})
		if code == 200 || code == 201 {
			break
		}
		if code >= 400 && code < 500 && code != 429 {
			c.updateStats(k, func(s *jobStats) { s.rejected++ })
			return
		}
		sleep(ctx, max(300*time.Millisecond, reply.retryAfter))
	}
	if ctx.Err() != nil {
		return
	}
	c.updateStats(k, func(s *jobStats) {
		s.accepted++
		s.confirmTimes = append(s.confirmTimes, c.history.now()-began)
	})
	for span := 150 * time.Millisecond; ctx.Err() == nil; span = min(span*3/2, time.Second) {
		sleep(ctx, span)
		if state := c.getStatus(ctx, k, name, cell, who, path); state == "complete" || state == "failed" || state == "cancelled" {
			break
		}
	}
	if ctx.Err() != nil {
		return
	}
	c.updateStats(k, func(s *jobStats) { s.ended++ })
	// Just after the end, through any front, and again a little later.
	for _, span := range []time.Duration{0, 20 * time.Millisecond, 500 * time.Millisecond} {
		sleep(ctx, span)
		if ctx.Err() == nil {
			c.getStatus(ctx, k, name, "", who, path)
		}
	}
}

func (c *clients) getStatus(ctx context.Context, k deployments.JobType, name, cell, who, path string) string {
	address, sent := c.balancer.pick(cell), c.history.now()
	code, data, err := c.balancer.call(ctx, 3*time.Second, "GET", address, path, nil, who)
	if ctx.Err() != nil {
		return ""
	}
	view := &schema.JobView{}
	if err != nil || code == 200 && json.Unmarshal(data, view) != nil {
		code = 0
	}
	c.history.add(checker.Event{Kind: checker.Status, Actor: who, Queue: k.Queue, Name: name, Code: code, State: view.State, Gateway: address, SentAt: sent})
	return view.State
}

func (c *clients) updateStats(k deployments.JobType, change func(*jobStats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.stats[k.Name])
}

// --- operator ---

// applyConfig sends the table until it is taken, and notes it.
func applyConfig(ctx context.Context, p *loadBalancer, h *history, who string, rows []*schema.ConfigurationRow) error {
	var last string
	for ctx.Err() == nil {
		address := p.pick("")
		code, data, err := p.call(ctx, 5*time.Second, "GET", address, "/v1/plan", nil, "")
		if err == nil && code == 200 {
			plan := &schema.Configuration{}
			if err := protojson.Unmarshal(data, plan); err != nil {
				return err
			}
			body, err := json.Marshal(map[string]any{"generation": plan.Revision, "rows": rows})
			if err != nil {
				return err
			}
			sent := h.now()
			h.add(checker.Event{At: sent, Kind: checker.ConfigurationSent, Actor: who, Rows: rows})
			code, data, err = p.call(ctx, 5*time.Second, "PUT", address, "/v1/plan", body, "")
			if err != nil {
				code = 0
			}
			if ctx.Err() != nil {
				break
			}
			e := checker.Event{Kind: checker.ConfigurationReply, Actor: who, Code: code, BaseVersion: plan.Revision, Rows: rows, Gateway: address, SentAt: sent}
			if code == 200 {
				e.Version = plan.Revision + 1
			}
			h.add(e)
			if code == 200 {
				return nil
			}
		}
		last = fmt.Sprint(code, " ", string(data), err)
		sleep(ctx, 200*time.Millisecond)
	}
	return fmt.Errorf("the plan was not taken: %s", last)
}

// readConfig notes which table a front shows.
func readConfig(ctx context.Context, p *loadBalancer, h *history, address string) {
	sent := h.now()
	code, data, err := p.call(ctx, 3*time.Second, "GET", address, "/v1/plan", nil, "")
	if ctx.Err() != nil {
		return
	}
	plan := &schema.Configuration{}
	if err != nil || code == 200 && protojson.Unmarshal(data, plan) != nil {
		code = 0
	}
	h.add(checker.Event{Kind: checker.ConfigurationRead, Actor: "reader", Gateway: address, SentAt: sent, Code: code, Version: plan.Revision, Rows: plan.Rows})
}
