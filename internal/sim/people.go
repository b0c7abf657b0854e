package sim

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/checker"
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
	"sparnotch/internal/gateway"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// --- workers ---

// Worker is a simulated machine that runs tasks.
type Worker struct {
	world       *World
	name, rack  string
	cell        string
	cores, mem  int64
	hand        *fakeworker.Worker
	front       *Host
	incarnation uint64
	open        int
	frozen      bool
	isCut       bool // no front answers it
	isStuck     bool // asks no other front
	run         int
}

// Hand is a machine that runs tasks, whether it asks for orders or is called.
type Hand interface {
	Name() string  // of the worker that lives there
	Place() string // of the machine
	Start()
	Crash()
	Leave()
	Cut(isCut bool)
	Freeze(span eventloop.Micros)
	Habits() *fakeworker.Behaviour
	Room(cores, memory int64) // that its next life has
}

// Name and Place are one for a worker that asks.
func (k *Worker) Name() string { return k.name }

// Place names its machine.
func (k *Worker) Place() string { return k.name }

// Habits are those of this life.
func (k *Worker) Habits() *fakeworker.Behaviour { return &k.hand.Behaviour }

// Room is what its next life has.
func (k *Worker) Room(cores, memory int64) { k.cores, k.mem = cores, memory }

// AddWorker adds a worker and starts it.
func (w *World) AddWorker(name, rack, cell string, cores, mem int64) *Worker {
	k := &Worker{world: w, name: name, rack: rack, cell: cell, cores: cores, mem: mem}
	k.Start()
	return k
}

// Start starts the worker's process anew.
func (k *Worker) Start() {
	w := k.world
	k.run++
	k.incarnation++
	k.open, k.frozen = 0, false
	k.hand = fakeworker.New(w.Now, k.name, k.rack, k.cores, k.mem, k.incarnation, rand.New(rand.NewPCG(w.Rng.Uint64(), 1)), w.Tell)
	k.front = w.pickFront(k.cell)
	k.pace(k.run)
}

// Crash ends it; its tasks end with it.
func (k *Worker) Crash() {
	k.hand.Crash(k.world.Now)
	k.run++
}

// Leave makes it say that it leaves.
func (k *Worker) Leave() { k.hand.Drain(k.world.Now) }

// Truncate cuts it off from every front, or mends that.
func (k *Worker) Cut(isCut bool) {
	k.isCut = isCut
	e := checker.Event{Kind: checker.WorkerPartitioned, Actor: k.name}
	if !isCut {
		e.State = checker.Healed
	}
	k.world.Tell(e)
}

// Freeze stops it for a span.
func (k *Worker) Freeze(span eventloop.Micros) {
	run := k.run
	k.frozen = true
	k.world.Tell(checker.Event{Kind: checker.WorkerPaused, Actor: k.name})
	k.world.After(span, func() {
		if k.run == run {
			k.frozen = false
			k.world.Tell(checker.Event{Kind: checker.WorkerResumed, Actor: k.name})
			k.hand.Tick(k.world.Now)
		}
	})
}

func (k *Worker) pace(run int) {
	w := k.world
	if k.run != run {
		return
	}
	if !k.frozen {
		k.hand.Tick(w.Now)
		if k.hand.IsHeartbeatDue(w.Now) && k.open < 2 {
			k.announce(run)
		}
	}
	w.After(5*eventloop.Millisecond, func() { k.pace(run) })
}

func (k *Worker) announce(run int) {
	w := k.world
	a := k.hand.NewHeartbeat(w.Now)
	sent := w.Now
	k.open++
	back := func(answer any) {
		if k.run != run {
			return
		}
		k.open--
		reply, isReply := answer.(gateway.Response)
		orders := &schema.WorkerOrders{}
		if k.frozen || !isReply || reply.Code != 200 || json.Unmarshal(reply.Body, orders) != nil {
			k.hand.HandleUnanswered(w.Now)
			if !k.isStuck {
				k.front = w.pickFront(k.cell)
			}
			return
		}
		k.hand.HandleOrders(w.Now, sent, a.Seq, orders)
	}
	if k.isCut {
		w.After(1200*eventloop.Millisecond, func() { back(nil) })
		return
	}
	w.Ask(k.front, 1200*eventloop.Millisecond, func(request uint64, deadline eventloop.Micros) any {
		return gateway.ForwardAnnouncement{RequestID: request, Worker: k.name, Announce: a, Deadline: deadline}
	}, func(answer any) {
		if k.isCut {
			answer = nil
		}
		back(answer)
	})
}

// --- the platform ---

// watch asks every front each second whether it is ready, as the users'
// platform does, and passes clients accordingly.
func (w *World) watch(h *Host) {
	w.Ask(h, eventloop.Second, func(request uint64, _ eventloop.Micros) any { return gateway.CheckReadiness{RequestID: request} }, func(answer any) {
		reply, _ := answer.(gateway.Response)
		h.isReady = reply.Code == 200
	})
	w.After(eventloop.Second, func() { w.watch(h) })
}

// pickFront gives a ready front of a cell, else any ready one, else any: the
// platform looks every second, so it may be wrong.
func (w *World) pickFront(cell string) *Host {
	var near, ready []*Host
	fronts := w.Fronts()
	for _, h := range fronts {
		if h.isReady {
			ready = append(ready, h)
			if h.Cell == cell {
				near = append(near, h)
			}
		}
	}
	for _, list := range [][]*Host{near, ready, fronts} {
		if len(list) > 0 {
			return list[w.Rng.IntN(len(list))]
		}
	}
	return nil
}

// anyCell is where a caller happens to be.
func (w *World) anyCell() string { return w.Hosts[w.Rng.IntN(min(3, len(w.Hosts)))].Cell }

// --- callers ---

// Kind is a sort of job.
type Kind struct {
	Name   string // start of its jobs' names; empty: the queue's
	Queue  string
	Every  eventloop.Micros
	Job    *schema.Job
	Cancel float64          // share that is cancelled again
	Wall   eventloop.Micros // starts so long after it is handed in, by the wall clock

	CancelAfter eventloop.Micros // when a cancelled one is; 0: within 300 ms
	Attempts    uint32           // that its queue's row allows where a step says nothing
}

// allowed is the job with what its queue's row allows.
func (k Kind) allowed() *schema.Job {
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

// handed is a job as its caller knows it.
type handed struct {
	queue string
	job   *schema.Job
}

// Load hands in jobs of a kind until a moment.
func (w *World) Load(kind Kind, until eventloop.Micros) {
	number := 0
	var next func()
	next = func() {
		if w.Now >= until {
			return
		}
		number++
		w.HandIn(kind, fmt.Sprintf("%s-%d", cmp.Or(kind.Name, kind.Queue), number))
		w.After(eventloop.Micros(w.Rng.ExpFloat64()*float64(kind.Every)), next)
	}
	w.After(eventloop.Micros(w.Rng.ExpFloat64()*float64(kind.Every)), next)
}

// HandIn is one caller with one job: resent after any silence, then asked for
// until it has ended, often just after that, and again much later.
func (w *World) HandIn(kind Kind, name string) {
	if kind.Wall > 0 {
		kind.Job = proto.Clone(kind.Job).(*schema.Job)
		kind.Job.StartUnixUs = wallZero + int64(w.Now+kind.Wall)
	}
	w.handIn(kind, name, w.anyCell(), nil)
}

// handIn hands in through a front of a cell, rather another than one that has
// just broken off.
func (w *World) handIn(kind Kind, name, cell string, broken *Host) {
	w.known[name] = handed{kind.Queue, kind.Job}
	w.Tell(checker.Event{Kind: checker.Submit, Actor: "caller", Queue: kind.Queue, Name: name, Spec: kind.allowed()})
	front, sent := w.pickFront(cell), w.Now
	if broken != nil && front == broken {
		front = w.pickFront("")
	}
	w.Ask(front, 3*eventloop.Second, func(request uint64, deadline eventloop.Micros) any {
		return gateway.SubmitJob{
			RequestID: request, Queue: kind.Queue, Client: "c-" + front.Name, Name: name, Digest: gateway.Digest(kind.Job), Job: kind.Job, Deadline: deadline,
		}
	}, func(answer any) {
		reply, _ := answer.(gateway.Response)
		isLost := (reply.Code == 200 || reply.Code == 201) && w.isAnswerLost()
		if isLost {
			reply = gateway.Response{}
		}
		e := checker.Event{Kind: checker.SubmitReply, Actor: "caller", Queue: kind.Queue, Name: name, Code: reply.Code, Gateway: front.Name, SentAt: sent}
		view := &schema.JobView{}
		if isLost {
			e.State = checker.AcknowledgementLost
		} else if reply.Code < 300 && json.Unmarshal(reply.Body, view) == nil {
			e.State = view.State
		}
		w.Tell(e)
		switch {
		case reply.Code == 200 || reply.Code == 201:
			if w.Rng.Float64() < kind.Cancel {
				w.After(kind.CancelAfter+eventloop.Micros(w.Rng.Int64N(int64(300*eventloop.Millisecond))), func() { w.cancel(kind, name) })
			}
			// Who has just been told that it is taken may ask at once, anywhere.
			w.ask(kind, "status", name, nil)
			w.After(150*eventloop.Millisecond, func() { w.follow(kind, name, 200*eventloop.Millisecond) })
		case reply.Code >= 400 && reply.Code < 500 && reply.Code != 429:
		default:
			if reply.Code != 0 {
				front = nil
			}
			w.After(max(300*eventloop.Millisecond, eventloop.Micros(reply.RetryAfter)*eventloop.Second), func() { w.handIn(kind, name, cell, front) })
		}
	})
}

// ask sends a request about a job through any ready front, and notes the answer.
func (w *World) ask(kind Kind, what, name string, back func(code int32, view *schema.JobView)) {
	front, sent := w.pickFront(w.anyCell()), w.Now
	w.Ask(front, 3*eventloop.Second, func(request uint64, deadline eventloop.Micros) any {
		return gateway.LeaderRequest{RequestID: request, Kind: what, Group: kind.Queue, Name: name, Deadline: deadline}
	}, func(answer any) {
		reply, _ := answer.(gateway.Response)
		view := &schema.JobView{}
		if reply.Code == 200 && json.Unmarshal(reply.Body, view) != nil {
			reply.Code = 0
		}
		e := checker.Event{Kind: checker.Status, Actor: "caller", Queue: kind.Queue, Name: name, Code: reply.Code, State: view.State, Gateway: front.Name, SentAt: sent}
		if what == "cancel" {
			e.Kind = checker.CancelReply
		}
		w.Tell(e)
		switch {
		case back != nil:
			back(reply.Code, view)
		case reply.Code == 0 || reply.Code >= 500:
			// Who gets no answer asks again.
			w.After(400*eventloop.Millisecond, func() { w.ask(kind, what, name, nil) })
		}
	})
}

// follow asks how a job is doing until it has ended, and after that.
func (w *World) follow(kind Kind, name string, span eventloop.Micros) {
	w.ask(kind, "status", name, func(code int32, view *schema.JobView) {
		if code == 200 && (view.State == "complete" || view.State == "failed" || view.State == "cancelled") {
			for _, later := range []eventloop.Micros{1, 20 * eventloop.Millisecond, 300 * eventloop.Millisecond, 10 * eventloop.Second, 118 * eventloop.Second} {
				w.After(later, func() { w.ask(kind, "status", name, nil) })
			}
			return
		}
		w.After(span, func() { w.follow(kind, name, min(span*3/2, eventloop.Second)) })
	})
}

func (w *World) cancel(kind Kind, name string) {
	w.Tell(checker.Event{Kind: checker.CancelRequest, Actor: "caller", Queue: kind.Queue, Name: name})
	w.ask(kind, "cancel", name, func(code int32, view *schema.JobView) {
		if code == 0 || code >= 500 {
			w.After(300*eventloop.Millisecond, func() { w.cancel(kind, name) })
		}
	})
}

// Lists has somebody page through a queue every so often until a moment.
func (w *World) Lists(queue string, every, until eventloop.Micros) {
	if w.Now >= until {
		return
	}
	w.After(every, func() { w.Lists(queue, every, until) })
	front, sent := w.pickFront(w.anyCell()), w.Now
	w.Ask(front, 3*eventloop.Second, func(request uint64, deadline eventloop.Micros) any {
		return gateway.LeaderRequest{RequestID: request, Kind: "list", Group: queue, Limit: 200, Deadline: deadline}
	}, func(answer any) {
		reply, _ := answer.(gateway.Response)
		list := &schema.JobList{}
		if reply.Code != 200 || json.Unmarshal(reply.Body, list) != nil {
			return
		}
		for _, view := range list.Jobs {
			w.Tell(checker.Event{Kind: checker.Status, Actor: "lister", Queue: queue, Name: view.Name, Code: 200, State: view.State, Gateway: front.Name, SentAt: sent})
		}
	})
}

// --- operators ---

// Put has an operator put a table, built on the generation it reads, until it
// is taken.
func (w *World) Put(who string, rows []*schema.ConfigurationRow) {
	if w.isNumbering {
		w.putEdition(who, rows)
		return
	}
	again := func() { w.After(200*eventloop.Millisecond, func() { w.Put(who, rows) }) }
	w.readPlan(w.pickFront(w.anyCell()), func(plan *schema.Configuration) {
		if plan == nil {
			again()
			return
		}
		if clusterstate.EqualRows(plan.Rows, rows) {
			return
		}
		generation := plan.Revision
		sheet := &schema.ConfigurationUpdate{BaseRevision: &generation, Rows: rows}
		front, sent := w.pickFront(w.anyCell()), w.Now
		w.Tell(checker.Event{Kind: checker.ConfigurationSent, Actor: who, Rows: rows})
		told := checker.Event{Kind: checker.ConfigurationReply, Actor: who, Gateway: front.Name, SentAt: sent, BaseVersion: generation, Rows: rows}
		w.Ask(front, 8*eventloop.Second, func(request uint64, deadline eventloop.Micros) any {
			return gateway.LeaderRequest{RequestID: request, Kind: "clusterstate", Group: clusterstate.Group, Deadline: deadline, Body: replica.EncodeClusterStateCommand(
				&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: sheet}}})}
		}, func(answer any) {
			reply, _ := answer.(gateway.Response)
			told.Code = reply.Code
			if reply.Code == 200 {
				told.Version = generation + 1
			}
			w.Tell(told)
			if reply.Code != 200 {
				again()
			}
		})
	})
}

// readPlan reads the table through a front, notes what was shown, and gives it
// back; nil when it could not be read.
func (w *World) readPlan(front *Host, back func(plan *schema.Configuration)) {
	sent := w.Now
	w.Ask(front, 3*eventloop.Second, func(request uint64, deadline eventloop.Micros) any {
		return gateway.LeaderRequest{RequestID: request, Kind: "plan", Group: clusterstate.Group, Deadline: deadline}
	}, func(answer any) {
		reply, _ := answer.(gateway.Response)
		plan := &schema.Configuration{}
		if reply.Code == 200 && protojson.Unmarshal(reply.Body, plan) != nil {
			reply.Code = 0
		}
		e := checker.Event{Kind: checker.ConfigurationRead, Actor: "reader", Code: reply.Code, Version: plan.Revision, Gateway: front.Name, SentAt: sent}
		if w.isNumbering {
			e.Version = plan.Version
		}
		if reply.Code != 200 {
			plan = nil
		} else if w.shown != e.Version {
			// The same content again and again would only swell the history.
			w.shown = e.Version
			e.Rows, e.Document = plan.Rows, string(plan.Document)
		}
		w.Tell(e)
		if back != nil {
			back(plan)
		}
	})
}

// Read has an operator look at the table every so often until a moment, and
// then through every front.
func (w *World) Read(every, until eventloop.Micros) {
	if w.Now >= until {
		for _, h := range w.Fronts() {
			w.readPlan(h, nil)
		}
		return
	}
	w.readPlan(w.pickFront(w.anyCell()), nil)
	w.After(every, func() { w.Read(every, until) })
}

// Fault notes a major fault.
func (w *World) Fault(form string, args ...any) {
	w.Tell(checker.Event{Kind: checker.Fault, State: fmt.Sprintf(form, args...)})
}
