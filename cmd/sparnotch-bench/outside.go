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

// platform passes clients to fronts, as the users' platform does: by cell, and
// by each front's readiness, looked at every second.
type platform struct {
	client *http.Client
	mu     sync.Mutex
	fronts []*gate
	rng    *rand.Rand
}

type gate struct {
	address string
	cell    string
	isReady bool
	asked   int
	ready   int
	slow    int // readiness answers that took longer than a second
}

func newPlatform(fronts []*gate) *platform {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}
	return &platform{client: &http.Client{Transport: transport}, fronts: fronts, rng: rand.New(rand.NewPCG(7, 7))}
}

func (p *platform) watch(ctx context.Context) {
	eventloop.NewQueue[int](1).Consume(ctx, eventloop.Second, nil, func() {
		p.mu.Lock()
		fronts := append([]*gate(nil), p.fronts...)
		p.mu.Unlock()
		for _, g := range fronts {
			go func() {
				code, _, err := p.call(ctx, time.Second, "GET", g.address, "/readyz", nil, "")
				p.mu.Lock()
				g.asked++
				g.isReady = err == nil && code == 200
				if g.isReady {
					g.ready++
				} else if err != nil {
					g.slow++
				}
				p.mu.Unlock()
			}()
		}
	})
}

// learn asks the fronts for the others, so that a client needs to know only a
// few at its start.
func (p *platform) learn(ctx context.Context) {
	eventloop.NewQueue[int](1).Consume(ctx, 3*eventloop.Second, nil, func() {
		_, data, err := p.call(ctx, 2*time.Second, "GET", p.pick(""), "/v1/fronts", nil, "")
		list := &schema.GatewayList{}
		if err != nil || json.Unmarshal(data, list) != nil {
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		known := map[string]*gate{}
		for _, g := range p.fronts {
			known[g.address] = g
		}
		for _, note := range list.Gateways {
			if known[note.Address] == nil {
				p.fronts = append(p.fronts, &gate{address: note.Address, cell: note.Zone, isReady: !note.Draining})
			} else {
				known[note.Address].cell, known[note.Address].isReady = note.Zone, !note.Draining
			}
		}
	})
}

// pick gives a ready front of the cell, else any ready one, else any.
func (p *platform) pick(cell string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var near, ready []*gate
	for _, g := range p.fronts {
		if g.isReady {
			ready = append(ready, g)
			if g.cell == cell {
				near = append(near, g)
			}
		}
	}
	for _, list := range [][]*gate{near, ready, p.fronts} {
		if len(list) > 0 {
			return list[p.rng.IntN(len(list))].address
		}
	}
	return ""
}

// reply is an answer over HTTP.
type reply struct {
	code  int32
	body  []byte
	retry time.Duration // when to come back
}

func (p *platform) call(ctx context.Context, span time.Duration, method, address, path string, body []byte, who string) (int32, []byte, error) {
	got, err := p.send(ctx, span, method, address, path, body, who)
	return got.code, got.body, err
}

func (p *platform) send(ctx context.Context, span time.Duration, method, address, path string, body []byte, who string) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	if who != "" {
		request.Header.Set("Sparnotch-Client", who)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, 16<<20))
	if err != nil {
		return reply{}, err
	}
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return reply{int32(response.StatusCode), data, time.Duration(seconds) * time.Second}, nil
}

func rest(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// --- workers ---

type workerRunner struct {
	platform *platform
	history  *history
	cell     string
	mu       sync.Mutex
	worker   *fakeworker.Worker
	isOff    bool // reaches no front
}

func (w *workerRunner) setOff(isOff bool) {
	w.mu.Lock()
	w.isOff = isOff
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
	front := w.platform.pick(w.cell)
	poke := make(chan struct{}, 1)
	open := make(chan struct{}, 2)
	for ctx.Err() == nil {
		w.mu.Lock()
		now := w.history.now()
		w.worker.Tick(now)
		isDue := w.worker.IsHeartbeatDue(now)
		var announce *schema.WorkerHeartbeat
		if isDue {
			select {
			case open <- struct{}{}:
				announce = w.worker.NewHeartbeat(now)
			default:
			}
		}
		next, address := w.worker.NextEventAt(), front
		w.mu.Unlock()
		if announce != nil {
			go func(address string) {
				defer func() {
					<-open
					select {
					case poke <- struct{}{}:
					default:
					}
				}()
				if !w.announce(ctx, address, announce, now) {
					w.mu.Lock()
					front = w.platform.pick(w.cell)
					w.mu.Unlock()
				}
			}(address)
			continue
		}
		timer := time.NewTimer(max(next-now, 2*eventloop.Millisecond).Duration())
		select {
		case <-ctx.Done():
		case <-poke:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (w *workerRunner) announce(ctx context.Context, front string, a *schema.WorkerHeartbeat, sent eventloop.Micros) bool {
	body, err := json.Marshal(a)
	if err != nil {
		return false
	}
	w.mu.Lock()
	isOff := w.isOff
	w.mu.Unlock()
	if isOff {
		rest(ctx, 1200*time.Millisecond)
		w.mu.Lock()
		w.worker.HandleUnanswered(w.history.now())
		w.mu.Unlock()
		return false
	}
	code, data, err := w.platform.call(ctx, 1200*time.Millisecond, "POST", front, "/v1/workers/"+w.worker.Name+"/announce", body, "")
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.history.now()
	if ctx.Err() != nil {
		return false
	}
	orders := &schema.WorkerOrders{}
	if w.isOff || err != nil || code != 200 || json.Unmarshal(data, orders) != nil {
		w.worker.HandleUnanswered(now)
		return false
	}
	w.worker.HandleOrders(now, sent, a.Seq, orders)
	return true
}

// --- callers ---

type callers struct {
	platform *platform
	history  *history
	prefix   string
	open     sync.WaitGroup
	mu       sync.Mutex
	stats    map[string]*kindStats
}

type kindStats struct {
	sent, accepted, ended int
	turnedAway            int // for good
	confirm               []eventloop.Micros
	refused               []eventloop.Micros // how long until a hand-in was turned away
	codes                 map[int32]int
}

func newCallers(p *platform, h *history, prefix string) *callers {
	return &callers{platform: p, history: h, prefix: prefix, stats: map[string]*kindStats{}}
}

// load hands in one kind of job at its rate until the context ends.
func (c *callers) load(ctx, whole context.Context, k deployments.JobType, rng *rand.Rand) {
	c.mu.Lock()
	c.stats[k.Name] = &kindStats{codes: map[int32]int{}}
	c.mu.Unlock()
	cells := []string{"c1", "c2", "c3"}
	for number := 0; ctx.Err() == nil; number++ {
		// Arrivals are independent of each other, as people are.
		rest(ctx, time.Duration(rng.ExpFloat64()*k.MeanInterval*float64(time.Second)))
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
func (c *callers) job(ctx context.Context, k deployments.JobType, name, cell, who string) {
	spec := &schema.Job{Text: k.Text, Steps: k.Steps}
	body, err := json.Marshal(spec)
	if err != nil {
		return
	}
	path := "/v1/queues/" + k.Queue + "/jobs/" + name
	began := c.history.now()
	c.count(k, func(s *kindStats) { s.sent++ })
	for ctx.Err() == nil {
		address, sent := c.platform.pick(cell), c.history.now()
		c.history.add(checker.Event{At: sent, Kind: checker.HandIn, Who: who, Queue: k.Queue, Name: name, Spec: spec})
		reply, err := c.platform.send(ctx, 3*time.Second, "PUT", address, path, body, who)
		if ctx.Err() != nil {
			break
		}
		code := reply.code
		if err != nil {
			code = 0
		}
		e := checker.Event{Kind: checker.HandInReply, Who: who, Queue: k.Queue, Name: name, Code: code, Front: address, Sent: sent}
		view := &schema.JobView{}
		if code == 200 || code == 201 {
			if json.Unmarshal(reply.body, view) == nil {
				e.State = view.State
			}
		}
		c.history.add(e)
		c.count(k, func(s *kindStats) {
			s.codes[code]++
			if code >= 400 {
				s.refused = append(s.refused, c.history.now()-sent)
			}
		})
		if code == 200 || code == 201 {
			break
		}
		if code >= 400 && code < 500 && code != 429 {
			c.count(k, func(s *kindStats) { s.turnedAway++ })
			return
		}
		rest(ctx, max(300*time.Millisecond, reply.retry))
	}
	if ctx.Err() != nil {
		return
	}
	c.count(k, func(s *kindStats) {
		s.accepted++
		s.confirm = append(s.confirm, c.history.now()-began)
	})
	for span := 150 * time.Millisecond; ctx.Err() == nil; span = min(span*3/2, time.Second) {
		rest(ctx, span)
		if state := c.ask(ctx, k, name, cell, who, path); state == "complete" || state == "failed" || state == "cancelled" {
			break
		}
	}
	if ctx.Err() != nil {
		return
	}
	c.count(k, func(s *kindStats) { s.ended++ })
	// Just after the end, through any front, and again a little later.
	for _, span := range []time.Duration{0, 20 * time.Millisecond, 500 * time.Millisecond} {
		rest(ctx, span)
		if ctx.Err() == nil {
			c.ask(ctx, k, name, "", who, path)
		}
	}
}

func (c *callers) ask(ctx context.Context, k deployments.JobType, name, cell, who, path string) string {
	address, sent := c.platform.pick(cell), c.history.now()
	code, data, err := c.platform.call(ctx, 3*time.Second, "GET", address, path, nil, who)
	if ctx.Err() != nil {
		return ""
	}
	view := &schema.JobView{}
	if err != nil || code == 200 && json.Unmarshal(data, view) != nil {
		code = 0
	}
	c.history.add(checker.Event{Kind: checker.Status, Who: who, Queue: k.Queue, Name: name, Code: code, State: view.State, Front: address, Sent: sent})
	return view.State
}

func (c *callers) count(k deployments.JobType, change func(*kindStats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.stats[k.Name])
}

// --- operator ---

// putPlan sends the table until it is taken, and notes it.
func putPlan(ctx context.Context, p *platform, h *history, who string, rows []*schema.ConfigurationRow) error {
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
			h.add(checker.Event{At: sent, Kind: checker.PlanSent, Who: who, Rows: rows})
			code, data, err = p.call(ctx, 5*time.Second, "PUT", address, "/v1/plan", body, "")
			if err != nil {
				code = 0
			}
			if ctx.Err() != nil {
				break
			}
			e := checker.Event{Kind: checker.PlanPut, Who: who, Code: code, Built: plan.Revision, Rows: rows, Front: address, Sent: sent}
			if code == 200 {
				e.Generation = plan.Revision + 1
			}
			h.add(e)
			if code == 200 {
				return nil
			}
		}
		last = fmt.Sprint(code, " ", string(data), err)
		rest(ctx, 200*time.Millisecond)
	}
	return fmt.Errorf("the plan was not taken: %s", last)
}

// readPlan notes which table a front shows.
func readPlan(ctx context.Context, p *platform, h *history, address string) {
	sent := h.now()
	code, data, err := p.call(ctx, 3*time.Second, "GET", address, "/v1/plan", nil, "")
	if ctx.Err() != nil {
		return
	}
	plan := &schema.Configuration{}
	if err != nil || code == 200 && protojson.Unmarshal(data, plan) != nil {
		code = 0
	}
	h.add(checker.Event{Kind: checker.PlanRead, Who: "reader", Front: address, Sent: sent, Code: code, Generation: plan.Revision, Rows: plan.Rows})
}
