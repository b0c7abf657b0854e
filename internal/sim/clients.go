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

// PollingWorker is a simulated machine that runs tasks.
type PollingWorker struct {
	sim           *Simulation
	name, rack    string
	zone          string
	cores, memory int64
	worker        *fakeworker.Worker
	gateway       *Host
	incarnation   uint64
	openPolls     int
	frozen        bool
	isPartitioned bool // no front answers it
	isPinned      bool // asks no other front
	run           int
}

// Worker is a machine that runs tasks, whether it asks for orders or is called.
type Worker interface {
	Name() string    // of the worker that lives there
	Machine() string // of the machine
	Start()
	Crash()
	Drain()
	SetPartitioned(isCut bool)
	Freeze(span eventloop.Micros)
	Habits() *fakeworker.Behaviour
	SetCapacity(cores, memory int64) // that its next life has
}

// Name and Place are one for a worker that asks.
func (w *PollingWorker) Name() string { return w.name }

// Machine names its machine.
func (w *PollingWorker) Machine() string { return w.name }

// Habits are those of this life.
func (w *PollingWorker) Habits() *fakeworker.Behaviour { return &w.worker.Behaviour }

// Capacity is what its next life has.
func (w *PollingWorker) SetCapacity(cores, memory int64) { w.cores, w.memory = cores, memory }

// AddPollingWorker adds a worker and starts it.
func (s *Simulation) AddPollingWorker(name, rack, zone string, cores, mem int64) *PollingWorker {
	worker := &PollingWorker{sim: s, name: name, rack: rack, zone: zone, cores: cores, memory: mem}
	worker.Start()
	return worker
}

// Start starts the worker's process anew.
func (w *PollingWorker) Start() {
	sim := w.sim
	w.run++
	w.incarnation++
	w.openPolls, w.frozen = 0, false
	w.worker = fakeworker.New(sim.Now, w.name, w.rack, w.cores, w.memory, w.incarnation, rand.New(rand.NewPCG(sim.Rng.Uint64(), 1)), sim.Record)
	w.gateway = sim.pickGateway(w.zone)
	w.tick(w.run)
}

// Crash ends it; its tasks end with it.
func (w *PollingWorker) Crash() {
	w.worker.Crash(w.sim.Now)
	w.run++
}

// Drain makes it say that it leaves.
func (w *PollingWorker) Drain() { w.worker.Drain(w.sim.Now) }

// Truncate cuts it off from every front, or mends that.
func (w *PollingWorker) SetPartitioned(blocked bool) {
	w.isPartitioned = blocked
	e := checker.Event{Kind: checker.WorkerPartitioned, Actor: w.name}
	if !blocked {
		e.State = checker.Healed
	}
	w.sim.Record(e)
}

// Freeze stops it for a span.
func (w *PollingWorker) Freeze(duration eventloop.Micros) {
	run := w.run
	w.frozen = true
	w.sim.Record(checker.Event{Kind: checker.WorkerPaused, Actor: w.name})
	w.sim.After(duration, func() {
		if w.run == run {
			w.frozen = false
			w.sim.Record(checker.Event{Kind: checker.WorkerResumed, Actor: w.name})
			w.worker.Tick(w.sim.Now)
		}
	})
}

func (w *PollingWorker) tick(run int) {
	sim := w.sim
	if w.run != run {
		return
	}
	if !w.frozen {
		w.worker.Tick(sim.Now)
		if w.worker.IsHeartbeatDue(sim.Now) && w.openPolls < 2 {
			w.poll(run)
		}
	}
	sim.After(5*eventloop.Millisecond, func() { w.tick(run) })
}

func (w *PollingWorker) poll(run int) {
	sim := w.sim
	a := w.worker.NewHeartbeat(sim.Now)
	sent := sim.Now
	w.openPolls++
	back := func(answer any) {
		if w.run != run {
			return
		}
		w.openPolls--
		reply, ok := answer.(gateway.Response)
		orders := &schema.WorkerOrders{}
		if w.frozen || !ok || reply.Code != 200 || json.Unmarshal(reply.Body, orders) != nil {
			w.worker.HandleUnanswered(sim.Now)
			if !w.isPinned {
				w.gateway = sim.pickGateway(w.zone)
			}
			return
		}
		w.worker.HandleOrders(sim.Now, sent, a.Seq, orders)
	}
	if w.isPartitioned {
		sim.After(1200*eventloop.Millisecond, func() { back(nil) })
		return
	}
	sim.Request(w.gateway, 1200*eventloop.Millisecond, func(request uint64, deadline eventloop.Micros) any {
		return gateway.ForwardAnnouncement{RequestID: request, Worker: w.name, Announce: a, Deadline: deadline}
	}, func(answer any) {
		if w.isPartitioned {
			answer = nil
		}
		back(answer)
	})
}

// --- the platform ---

// probeReadiness asks every front each second whether it is ready, as the users'
// platform does, and passes clients accordingly.
func (s *Simulation) probeReadiness(h *Host) {
	s.Request(h, eventloop.Second, func(request uint64, _ eventloop.Micros) any { return gateway.CheckReadiness{RequestID: request} }, func(answer any) {
		reply, _ := answer.(gateway.Response)
		h.isReady = reply.Code == 200
	})
	s.After(eventloop.Second, func() { s.probeReadiness(h) })
}

// pickGateway gives a ready front of a cell, else any ready one, else any: the
// platform looks every second, so it may be wrong.
func (s *Simulation) pickGateway(zone string) *Host {
	var near, ready []*Host
	gateways := s.Gateways()
	for _, h := range gateways {
		if h.isReady {
			ready = append(ready, h)
			if h.Zone == zone {
				near = append(near, h)
			}
		}
	}
	for _, list := range [][]*Host{near, ready, gateways} {
		if len(list) > 0 {
			return list[s.Rng.IntN(len(list))]
		}
	}
	return nil
}

// randomZone is where a caller happens to be.
func (s *Simulation) randomZone() string { return s.Hosts[s.Rng.IntN(min(3, len(s.Hosts)))].Zone }

// --- callers ---

// JobKind is a sort of job.
type JobKind struct {
	Name        string // start of its jobs' names; empty: the queue's
	Queue       string
	Interval    eventloop.Micros
	Job         *schema.Job
	CancelShare float64          // share that is cancelled again
	StartDelay  eventloop.Micros // starts so long after it is handed in, by the wall clock

	CancelDelay eventloop.Micros // when a cancelled one is; 0: within 300 ms
	Attempts    uint32           // that its queue's row allows where a step says nothing
}

// withAllowedFailures is the job with what its queue's row allows.
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

// submittedJob is a job as its caller knows it.
type submittedJob struct {
	queue string
	job   *schema.Job
}

// GenerateLoad hands in jobs of a kind until a moment.
func (s *Simulation) GenerateLoad(kind JobKind, until eventloop.Micros) {
	count := 0
	var next func()
	next = func() {
		if s.Now >= until {
			return
		}
		count++
		s.Submit(kind, fmt.Sprintf("%s-%d", cmp.Or(kind.Name, kind.Queue), count))
		s.After(eventloop.Micros(s.Rng.ExpFloat64()*float64(kind.Interval)), next)
	}
	s.After(eventloop.Micros(s.Rng.ExpFloat64()*float64(kind.Interval)), next)
}

// Submit is one caller with one job: resent after any silence, then asked for
// until it has ended, often just after that, and again much later.
func (s *Simulation) Submit(kind JobKind, name string) {
	if kind.StartDelay > 0 {
		kind.Job = proto.Clone(kind.Job).(*schema.Job)
		kind.Job.StartUnixUs = wallZero + int64(s.Now+kind.StartDelay)
	}
	s.submitVia(kind, name, s.randomZone(), nil)
}

// submitVia hands in through a front of a cell, rather another than one that has
// just broken off.
func (s *Simulation) submitVia(kind JobKind, name, zone string, broken *Host) {
	s.submittedJobs[name] = submittedJob{kind.Queue, kind.Job}
	s.Record(checker.Event{Kind: checker.Submit, Actor: "caller", Queue: kind.Queue, Name: name, Spec: kind.withAllowedFailures()})
	node, sent := s.pickGateway(zone), s.Now
	if broken != nil && node == broken {
		node = s.pickGateway("")
	}
	s.Request(node, 3*eventloop.Second, func(request uint64, deadline eventloop.Micros) any {
		return gateway.SubmitJob{
			RequestID: request, Queue: kind.Queue, Client: "c-" + node.Name, Name: name, Digest: gateway.Digest(kind.Job), Job: kind.Job, Deadline: deadline,
		}
	}, func(answer any) {
		reply, _ := answer.(gateway.Response)
		lost := (reply.Code == 200 || reply.Code == 201) && s.drawAcknowledgementLoss()
		if lost {
			reply = gateway.Response{}
		}
		e := checker.Event{Kind: checker.SubmitReply, Actor: "caller", Queue: kind.Queue, Name: name, Code: reply.Code, Gateway: node.Name, SentAt: sent}
		view := &schema.JobView{}
		if lost {
			e.State = checker.AcknowledgementLost
		} else if reply.Code < 300 && json.Unmarshal(reply.Body, view) == nil {
			e.State = view.State
		}
		s.Record(e)
		switch {
		case reply.Code == 200 || reply.Code == 201:
			if s.Rng.Float64() < kind.CancelShare {
				s.After(kind.CancelDelay+eventloop.Micros(s.Rng.Int64N(int64(300*eventloop.Millisecond))), func() { s.cancelJob(kind, name) })
			}
			// Who has just been told that it is taken may ask at once, anywhere.
			s.askAboutJob(kind, "status", name, nil)
			s.After(150*eventloop.Millisecond, func() { s.pollUntilTerminal(kind, name, 200*eventloop.Millisecond) })
		case reply.Code >= 400 && reply.Code < 500 && reply.Code != 429:
		default:
			if reply.Code != 0 {
				node = nil
			}
			s.After(max(300*eventloop.Millisecond, eventloop.Micros(reply.RetryAfter)*eventloop.Second), func() { s.submitVia(kind, name, zone, node) })
		}
	})
}

// askAboutJob sends a request about a job through any ready front, and notes the answer.
func (s *Simulation) askAboutJob(kind JobKind, what, name string, back func(code int32, view *schema.JobView)) {
	node, sent := s.pickGateway(s.randomZone()), s.Now
	s.Request(node, 3*eventloop.Second, func(request uint64, deadline eventloop.Micros) any {
		return gateway.LeaderRequest{RequestID: request, Kind: what, Group: kind.Queue, Name: name, Deadline: deadline}
	}, func(answer any) {
		reply, _ := answer.(gateway.Response)
		view := &schema.JobView{}
		if reply.Code == 200 && json.Unmarshal(reply.Body, view) != nil {
			reply.Code = 0
		}
		e := checker.Event{Kind: checker.Status, Actor: "caller", Queue: kind.Queue, Name: name, Code: reply.Code, State: view.State, Gateway: node.Name, SentAt: sent}
		if what == "cancel" {
			e.Kind = checker.CancelReply
		}
		s.Record(e)
		switch {
		case back != nil:
			back(reply.Code, view)
		case reply.Code == 0 || reply.Code >= 500:
			// Who gets no answer asks again.
			s.After(400*eventloop.Millisecond, func() { s.askAboutJob(kind, what, name, nil) })
		}
	})
}

// pollUntilTerminal asks how a job is doing until it has ended, and after that.
func (s *Simulation) pollUntilTerminal(kind JobKind, name string, interval eventloop.Micros) {
	s.askAboutJob(kind, "status", name, func(code int32, view *schema.JobView) {
		if code == 200 && (view.State == "complete" || view.State == "failed" || view.State == "cancelled") {
			for _, later := range []eventloop.Micros{1, 20 * eventloop.Millisecond, 300 * eventloop.Millisecond, 10 * eventloop.Second, 118 * eventloop.Second} {
				s.After(later, func() { s.askAboutJob(kind, "status", name, nil) })
			}
			return
		}
		s.After(interval, func() { s.pollUntilTerminal(kind, name, min(interval*3/2, eventloop.Second)) })
	})
}

func (s *Simulation) cancelJob(kind JobKind, name string) {
	s.Record(checker.Event{Kind: checker.CancelRequest, Actor: "caller", Queue: kind.Queue, Name: name})
	s.askAboutJob(kind, "cancel", name, func(code int32, view *schema.JobView) {
		if code == 0 || code >= 500 {
			s.After(300*eventloop.Millisecond, func() { s.cancelJob(kind, name) })
		}
	})
}

// ListPeriodically has somebody page through a queue every so often until a moment.
func (s *Simulation) ListPeriodically(queue string, every, until eventloop.Micros) {
	if s.Now >= until {
		return
	}
	s.After(every, func() { s.ListPeriodically(queue, every, until) })
	node, sent := s.pickGateway(s.randomZone()), s.Now
	s.Request(node, 3*eventloop.Second, func(request uint64, deadline eventloop.Micros) any {
		return gateway.LeaderRequest{RequestID: request, Kind: "list", Group: queue, Limit: 200, Deadline: deadline}
	}, func(answer any) {
		reply, _ := answer.(gateway.Response)
		list := &schema.JobList{}
		if reply.Code != 200 || json.Unmarshal(reply.Body, list) != nil {
			return
		}
		for _, view := range list.Jobs {
			s.Record(checker.Event{Kind: checker.Status, Actor: "lister", Queue: queue, Name: view.Name, Code: 200, State: view.State, Gateway: node.Name, SentAt: sent})
		}
	})
}

// --- operators ---

// PutConfiguration has an operator put a table, built on the generation it reads, until it
// is taken.
func (s *Simulation) PutConfiguration(who string, rows []*schema.ConfigurationRow) {
	if s.usesVersions {
		s.putVersion(who, rows)
		return
	}
	retry := func() { s.After(200*eventloop.Millisecond, func() { s.PutConfiguration(who, rows) }) }
	s.readConfiguration(s.pickGateway(s.randomZone()), func(current *schema.Configuration) {
		if current == nil {
			retry()
			return
		}
		if clusterstate.EqualRows(current.Rows, rows) {
			return
		}
		generation := current.Revision
		configuration := &schema.ConfigurationUpdate{BaseRevision: &generation, Rows: rows}
		node, sent := s.pickGateway(s.randomZone()), s.Now
		s.Record(checker.Event{Kind: checker.ConfigurationSent, Actor: who, Rows: rows})
		event := checker.Event{Kind: checker.ConfigurationReply, Actor: who, Gateway: node.Name, SentAt: sent, BaseVersion: generation, Rows: rows}
		s.Request(node, 8*eventloop.Second, func(request uint64, deadline eventloop.Micros) any {
			return gateway.LeaderRequest{RequestID: request, Kind: "clusterstate", Group: clusterstate.Group, Deadline: deadline, Body: replica.EncodeClusterStateCommand(
				&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: configuration}}})}
		}, func(answer any) {
			reply, _ := answer.(gateway.Response)
			event.Code = reply.Code
			if reply.Code == 200 {
				event.Version = generation + 1
			}
			s.Record(event)
			if reply.Code != 200 {
				retry()
			}
		})
	})
}

// readConfiguration reads the table through a front, notes what was shown, and gives it
// back; nil when it could not be read.
func (s *Simulation) readConfiguration(node *Host, back func(current *schema.Configuration)) {
	sent := s.Now
	s.Request(node, 3*eventloop.Second, func(request uint64, deadline eventloop.Micros) any {
		return gateway.LeaderRequest{RequestID: request, Kind: "plan", Group: clusterstate.Group, Deadline: deadline}
	}, func(answer any) {
		reply, _ := answer.(gateway.Response)
		current := &schema.Configuration{}
		if reply.Code == 200 && protojson.Unmarshal(reply.Body, current) != nil {
			reply.Code = 0
		}
		e := checker.Event{Kind: checker.ConfigurationRead, Actor: "reader", Code: reply.Code, Version: current.Revision, Gateway: node.Name, SentAt: sent}
		if s.usesVersions {
			e.Version = current.Version
		}
		if reply.Code != 200 {
			current = nil
		} else if s.shownVersion != e.Version {
			// The same content again and again would only swell the history.
			s.shownVersion = e.Version
			e.Rows, e.Document = current.Rows, string(current.Document)
		}
		s.Record(e)
		if back != nil {
			back(current)
		}
	})
}

// ReadPeriodically has an operator look at the table every so often until a moment, and
// then through every front.
func (s *Simulation) ReadPeriodically(every, until eventloop.Micros) {
	if s.Now >= until {
		for _, h := range s.Gateways() {
			s.readConfiguration(h, nil)
		}
		return
	}
	s.readConfiguration(s.pickGateway(s.randomZone()), nil)
	s.After(every, func() { s.ReadPeriodically(every, until) })
}

// RecordFault notes a major fault.
func (s *Simulation) RecordFault(form string, args ...any) {
	s.Record(checker.Event{Kind: checker.Fault, State: fmt.Sprintf(form, args...)})
}
