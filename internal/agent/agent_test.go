package agent_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sort"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/agent"
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
	"sparnotch/internal/schema"
)

const messageDelay = eventloop.Millisecond // every message takes so long

// fakeScheduler is a scripted scheduler: it wants some runs there and some not.
type fakeScheduler struct {
	id               string
	fencingToken     uint64
	lease            eventloop.Micros
	acknowledgeAfter eventloop.Micros // an end is noted so long after it was heard; below 0: never
	isUnresponsive   bool
	repeatsOrders    bool        // it orders what has ended and was noted, as it hasn't heard of that yet
	losesReply       func() bool // tells of each answer whether it is lost
	starts           []*schema.TaskOrder
	stops            []*schema.TaskOrder
	heartbeats       []*schema.WorkerHeartbeat
	firstReported    map[string]eventloop.Micros // ends, by name
	ends             []string
	openPoll         *schema.WorkerPollRequest
	pollDeadline     eventloop.Micros
	sequence         uint64
	rejected         int
	leaseEndsAt      eventloop.Micros // end of the lease as the ward must reckon it
}

func newFakeScheduler(id string, generation uint64) *fakeScheduler {
	return &fakeScheduler{id: id, fencingToken: generation, lease: 4 * eventloop.Second, firstReported: map[string]eventloop.Micros{}}
}

func attemptName(job string, round, part, task, attempt uint32) string {
	return fmt.Sprintf("%s.%d.%d.%d/%d", job, round, part, task, attempt)
}

func statusName(n *schema.TaskStatus) string {
	return attemptName(n.Name, n.Round, n.StepInRound, n.Task, n.Attempt)
}
func orderName(o *schema.TaskOrder) string {
	return attemptName(o.Name, o.Round, o.StepInRound, o.Task, o.Attempt)
}

func newOrder(act, job string, task, attempt uint32, text string) *schema.TaskOrder {
	return &schema.TaskOrder{Action: act, Name: job, Task: task, Attempt: attempt, Text: text, CoresMilli: 100}
}

// harness joins an agent, a called worker and wards in virtual time.
type harness struct {
	now                 eventloop.Micros
	events              []func()
	eventTimes          []eventloop.Micros
	agent               *agent.Agent
	worker              *fakeworker.CalledWorker
	schedulers          map[string]*fakeScheduler
	calls               []agent.Call
	callTimes           []eventloop.Micros
	log                 []string // calls and announces in the order they were sent
	registrations       int
	startCounts         map[string]int
	startTimes          map[string]eventloop.Micros
	onStart             func(key string)
	messageDelay        func(body any) eventloop.Micros // how long a message takes; nil: a hop
	withholdsHeartbeats bool                            // the worker sends no beats
	isFrozen            bool
	mailbox             []eventloop.Message
	nextHeartbeat       eventloop.Micros
	nextTick            eventloop.Micros
	clusterState        *schema.ClusterState
	pollTimes           map[uint64]eventloop.Micros // announces
}

func newHarness(setup fakeworker.Config, bounds *schema.Bounds) *harness {
	b := &harness{
		now: 20 * eventloop.Second, agent: agent.New(bounds, 1000), schedulers: map[string]*fakeScheduler{}, startCounts: map[string]int{}, startTimes: map[string]eventloop.Micros{},
		clusterState: &schema.ClusterState{Version: 1}, pollTimes: map[uint64]eventloop.Micros{},
	}
	setup.Bounds, setup.Address = bounds, "side:1"
	if setup.Cores == 0 {
		setup.Cores, setup.Memory = 1000, 1000
	}
	setup.OnEvent = func(now eventloop.Micros, kind string, run fakeworker.RunID, how string) {
		if kind == "begin" {
			key := attemptName(run.Task.Job, run.Task.Round, run.Task.StepInRound, run.Task.Task, run.Attempt)
			b.startCounts[key]++
			b.startTimes[key] = now
			if b.onStart != nil {
				b.onStart(key)
			}
		}
	}
	b.worker = fakeworker.NewCalledWorker(b.now, "w1", setup, nil)
	return b
}

// newDefaultHarness is a bench with one ward that the cluster state knows.
func newDefaultHarness(setup fakeworker.Config, bounds *schema.Bounds) (*harness, *fakeScheduler) {
	b := newHarness(setup, bounds)
	w := b.addScheduler("p1", 5, "w1")
	return b, w
}

func (h *harness) addScheduler(id string, generation uint64, worker string) *fakeScheduler {
	w := newFakeScheduler(id, generation)
	h.schedulers[id] = w
	h.moveLease(id, generation, worker)
	return w
}

// moveLease puts a worker in the cluster state's words.
func (h *harness) moveLease(id string, generation uint64, worker string) {
	state := proto.Clone(h.clusterState).(*schema.ClusterState)
	state.Version++
	state.WorkerLeases = slices.DeleteFunc(state.WorkerLeases, func(w *schema.WorkerLease) bool { return w.Worker == worker })
	state.WorkerLeases = append(state.WorkerLeases, &schema.WorkerLease{Worker: worker, Scheduler: id, FencingToken: generation})
	// The cluster state lists them by worker, and they are searched for so.
	slices.SortFunc(state.WorkerLeases, func(x, y *schema.WorkerLease) int { return cmp.Compare(x.Worker, y.Worker) })
	h.clusterState = state
	h.publishClusterState()
}

func (h *harness) publishClusterState() {
	h.after(messageDelay, func() {
		h.deliver("", &schema.ClusterStateResponse{State: h.clusterState, Version: h.clusterState.Version, Leaders: map[string]string{clusterstate.Group: "p1"}})
	})
}

func (h *harness) after(delay eventloop.Micros, call func()) {
	k := sort.Search(len(h.eventTimes), func(k int) bool { return h.eventTimes[k] > h.now+delay })
	h.eventTimes, h.events = slices.Insert(h.eventTimes, k, h.now+delay), slices.Insert(h.events, k, call)
}

func (h *harness) deliver(from string, body any) {
	h.mailbox = append(h.mailbox, eventloop.Message{From: from, Body: body})
}

func (h *harness) delayOf(body any) eventloop.Micros {
	if h.messageDelay == nil {
		return messageDelay
	}
	return h.messageDelay(body)
}

func (h *harness) run(duration eventloop.Micros) {
	for end := h.now + duration; h.now < end; {
		h.now += eventloop.Millisecond
		for len(h.eventTimes) > 0 && h.eventTimes[0] <= h.now {
			call := h.events[0]
			h.eventTimes, h.events = h.eventTimes[1:], h.events[1:]
			call()
		}
		h.worker.Step(h.now)
		if h.now >= h.nextHeartbeat && !h.withholdsHeartbeats && !h.worker.IsDead() {
			h.nextHeartbeat = h.now + 500*eventloop.Millisecond
			beat := h.worker.Heartbeat(h.now)
			h.after(messageDelay, func() { h.deliver("", beat) })
		}
		for _, id := range slices.Sorted(maps.Keys(h.schedulers)) {
			h.replyToPoll(h.schedulers[id])
		}
		if h.isFrozen {
			continue
		}
		mailbox := h.mailbox
		h.mailbox = nil
		for _, message := range mailbox {
			h.agent.Step(h.now, message, h)
		}
		if h.now >= h.nextTick {
			h.nextTick = h.now + agent.TickInterval
			h.agent.Step(h.now, eventloop.Message{Body: eventloop.Tick{}}, h)
		}
	}
}

func (h *harness) Dial(string, any)    {}
func (h *harness) Respond(uint64, any) {}

func (h *harness) Notify(component string, body any) {
	call := body.(agent.Call)
	h.calls, h.callTimes = append(h.calls, call), append(h.callTimes, h.now)
	h.log = append(h.log, fmt.Sprintf("call %d fence %d", call.Action, call.FencingToken))
	h.after(h.delayOf(call), func() {
		h.worker.HandleCall(h.now, call, func(reply agent.Reply) { h.after(h.delayOf(reply), func() { h.deliver("", reply) }) })
	})
}

func (h *harness) Send(to string, body any) {
	switch m := body.(type) {
	case *schema.Request:
		h.registrations++
	case *schema.WorkerPollRequest:
		h.log = append(h.log, fmt.Sprintf("announce %s ward %d", to, m.Heartbeat.FencingToken))
		h.pollTimes[m.Id] = h.now
		if w := h.schedulers[to]; w != nil {
			m = proto.Clone(m).(*schema.WorkerPollRequest)
			h.after(h.delayOf(m), func() { h.handlePoll(w, m) })
		}
	}
}

func (h *harness) handlePoll(w *fakeScheduler, m *schema.WorkerPollRequest) {
	if w.isUnresponsive {
		return
	}
	heartbeat := m.Heartbeat
	if heartbeat.Seq <= w.sequence || heartbeat.FencingToken > w.fencingToken {
		w.rejected++
		h.after(messageDelay, func() { h.deliver(w.id, &schema.WorkerPollResponse{Id: m.Id, Scheduler: w.id}) })
		return
	}
	w.sequence = heartbeat.Seq
	w.heartbeats = append(w.heartbeats, heartbeat)
	for _, note := range heartbeat.Ended {
		if key := statusName(note); w.firstReported[key] == 0 {
			w.firstReported[key] = h.now
			w.ends = append(w.ends, key+" "+note.State)
		}
	}
	w.openPoll, w.pollDeadline = m, h.now+eventloop.Micros(heartbeat.MaxWaitUs)
}

// replyToPoll holds the open announce back until there is something to say.
func (h *harness) replyToPoll(w *fakeScheduler) {
	if w.openPoll == nil || w.isUnresponsive {
		return
	}
	heartbeat := w.openPoll.Heartbeat
	orders := &schema.WorkerOrders{FencingToken: w.fencingToken, LeaseUs: int64(w.lease), Scheduler: w.id}
	running, ended := map[string]bool{}, map[string]bool{}
	for _, note := range heartbeat.Running {
		running[statusName(note)] = true
	}
	for _, note := range heartbeat.Ended {
		key := statusName(note)
		ended[key] = true
		if w.acknowledgeAfter >= 0 && h.now-w.firstReported[key] >= w.acknowledgeAfter {
			orders.Acknowledged = append(orders.Acknowledged, &schema.TaskStatus{Name: note.Name, Round: note.Round, StepInRound: note.StepInRound, Task: note.Task, Attempt: note.Attempt})
		}
	}
	for _, o := range w.starts {
		if key := orderName(o); !running[key] && !ended[key] && (w.firstReported[key] == 0 || w.repeatsOrders) {
			orders.Orders = append(orders.Orders, o)
		}
	}
	for _, o := range w.stops {
		if key := orderName(o); !ended[key] && w.firstReported[key] == 0 {
			orders.Orders = append(orders.Orders, o)
		}
	}
	if len(orders.Orders)+len(orders.Acknowledged) == 0 && h.now < w.pollDeadline {
		return
	}
	id := w.openPoll.Id
	w.openPoll = nil
	if w.losesReply != nil && w.losesReply() {
		return
	}
	w.leaseEndsAt = h.pollTimes[id] + w.lease
	reply := &schema.WorkerPollResponse{Id: id, Code: 200, Orders: orders, Scheduler: w.id}
	h.after(h.delayOf(reply), func() { h.deliver(w.id, reply) })
}

func (h *harness) count(act agent.Action) int {
	count := 0
	for _, call := range h.calls {
		if call.Action == act {
			count++
		}
	}
	return count
}

// firstCallAt is where a line stands in the log.
func (h *harness) logIndex(line string) int { return slices.Index(h.log, line) }

func (s *fakeScheduler) lastHeartbeat() *schema.WorkerHeartbeat {
	return s.heartbeats[len(s.heartbeats)-1]
}

// faultSequence gives each call of one act the fault of its turn, and none after.
func faultSequence(act agent.Action, list ...fakeworker.Fault) func(eventloop.Micros, agent.Call) fakeworker.Fault {
	return func(_ eventloop.Micros, call agent.Call) fakeworker.Fault {
		if call.Action != act || len(list) == 0 {
			return fakeworker.NoFault
		}
		next := list[0]
		list = list[1:]
		return next
	}
}

func faultOn(act agent.Action, fault fakeworker.Fault) func(eventloop.Micros, agent.Call) fakeworker.Fault {
	return func(_ eventloop.Micros, call agent.Call) fakeworker.Fault {
		if call.Action == act {
			return fault
		}
		return fakeworker.NoFault
	}
}

func TestTaskLifecycle(t *testing.T) {
	Convey("A worker is met, looked at under its ward's fence, announced, and given work whose end is noted", t, func() {
		b := newHarness(fakeworker.Config{Pool: "pool", Rack: "r1", Labels: []string{"a"}}, nil)
		b.publishClusterState()
		b.run(1200 * eventloop.Millisecond)
		So(b.registrations, ShouldBeBetweenOrEqual, 2, 3)
		So(b.calls, ShouldBeEmpty)
		w := b.addScheduler("p1", 5, "w1")
		w.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=300000")}
		w.starts[0].Round, w.starts[0].StepInRound = 2, 1
		b.run(100 * eventloop.Millisecond)
		So(b.logIndex("call 3 fence 5"), ShouldEqual, 0)
		a := w.heartbeats[0]
		So(a.TasksByName && a.GangBarrier, ShouldBeTrue)
		So([]any{a.Pool, a.Rack, a.Labels[0], a.CoresMilli, a.Incarnation, a.FencingToken}, ShouldResemble, []any{"pool", "r1", "a", int64(1000), uint64(1), uint64(5)})
		So(b.worker.RunningCount(), ShouldEqual, 1)
		So(statusName(w.lastHeartbeat().Running[0]), ShouldEqual, "j.2.1.0/1")
		start := b.calls[slices.IndexFunc(b.calls, func(c agent.Call) bool { return c.Action == agent.Start })]
		So(start.FencingToken, ShouldEqual, 5)
		So(start.Address, ShouldEqual, "side:1")
		b.run(400 * eventloop.Millisecond)
		So(w.ends, ShouldResemble, []string{"j.2.1.0/1 done"})
		b.run(200 * eventloop.Millisecond)
		So(w.lastHeartbeat().Ended, ShouldBeEmpty)
		So(b.worker.UnacknowledgedCount(), ShouldEqual, 0)
		So(b.count(agent.Start), ShouldEqual, 1)
		So(b.count(agent.Stop), ShouldEqual, 0)
	})
	Convey("An end is announced within a few messages of when it happened", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{}, nil)
		w.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=700000")}
		b.run(300 * eventloop.Millisecond)
		b.run(b.startTimes["j.0.0.0/1"] + 700*eventloop.Millisecond + 8*messageDelay - b.now)
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 done"})
	})
}

func TestHoldDuration(t *testing.T) {
	for _, drift := range []float64{1, 0.98} {
		Convey(fmt.Sprintf("The hold ends with the lease, whatever the worker's clock shows, drift %v", drift), t, func() {
			b, w := newDefaultHarness(fakeworker.Config{ClockDrift: drift}, nil)
			w.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
			b.run(5 * eventloop.Second)
			So(b.worker.RunningCount(), ShouldEqual, 1)
			for k := 0; k < 1000; k++ {
				b.run(7 * eventloop.Millisecond)
				// A clock that runs slow ends the hold later by that much of a lease.
				left := eventloop.Micros(float64(b.worker.HoldUntil()-b.worker.Clock(b.now)) / drift)
				So(b.now+left, ShouldBeLessThanOrEqualTo, w.leaseEndsAt+eventloop.Micros(float64(w.lease)*(1/drift-1))+2)
				So(left, ShouldBeGreaterThan, w.lease/3)
			}
			w.isUnresponsive = true
			b.run(w.lease + w.lease/40)
			So(b.worker.RunningCount(), ShouldEqual, 0)
		})
	}
	Convey("Without an answered announce nothing is renewed: the worker ends everything, and that is told later", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{}, nil)
		w.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		b.run(2 * eventloop.Second)
		w.isUnresponsive, w.starts = true, nil
		silentAt := b.now
		b.run(w.lease)
		So(b.worker.RunningCount(), ShouldEqual, 0)
		So(b.now, ShouldBeLessThanOrEqualTo, silentAt+w.lease)
		w.isUnresponsive = false
		b.run(eventloop.Second)
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 lapsed"})
		So(b.worker.UnacknowledgedCount(), ShouldEqual, 0)
	})
	Convey("A hold that the worker cuts short is renewed in time", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{}, &schema.Bounds{HoldMostUs: int64(1500 * eventloop.Millisecond)})
		w.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		b.run(10 * eventloop.Second)
		So(b.worker.RunningCount(), ShouldEqual, 1)
	})
}

func TestInspectionRate(t *testing.T) {
	Convey("One long look at a time", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{}, nil)
		b.run(eventloop.Second)
		before := b.count(agent.Inspect)
		b.run(10 * eventloop.Second)
		So(b.count(agent.Inspect)-before, ShouldBeLessThanOrEqualTo, 6)
		w.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		b.run(2 * eventloop.Second)
		before = b.count(agent.Inspect)
		b.run(10 * eventloop.Second)
		So(b.count(agent.Inspect)-before, ShouldBeBetweenOrEqual, 9, 11)
	})
	Convey("Work that begins on a worker that had none asks for no look of its own", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{}, nil)
		b.run(20 * eventloop.Second)
		before := b.count(agent.Inspect)
		for k := uint32(0); k < 10; k++ {
			w.starts = append(w.starts, newOrder("start", "j", k, 1, "run_us=60000000"))
			b.run(20 * eventloop.Millisecond)
		}
		So(b.worker.RunningCount(), ShouldEqual, 10)
		So(b.count(agent.Inspect)-before, ShouldBeLessThanOrEqualTo, 1)
	})
	Convey("While an end waits to be noted, the worker isn't asked again and again", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{}, nil)
		w.acknowledgeAfter = -1
		w.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=100000"), newOrder("start", "j", 1, 1, "run_us=60000000")}
		b.run(eventloop.Second)
		before, announces := b.count(agent.Inspect), len(w.heartbeats)
		b.run(10 * eventloop.Second)
		So(b.count(agent.Inspect)-before, ShouldBeLessThanOrEqualTo, 26)
		So(len(w.heartbeats)-announces, ShouldBeLessThanOrEqualTo, 26)
		So(b.worker.RunningCount(), ShouldEqual, 1)
		w.acknowledgeAfter = 0
		b.run(eventloop.Second)
		So(b.worker.UnacknowledgedCount(), ShouldEqual, 0)
	})
	Convey("Many ends come in pages, and all are noted", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{Cores: 1 << 40}, nil)
		for k := uint32(0); k < 1200; k++ {
			w.starts = append(w.starts, newOrder("start", "j", k, 1, "run_us=50000"))
		}
		b.run(3 * eventloop.Second)
		So(w.ends, ShouldHaveLength, 1200)
		So(b.worker.UnacknowledgedCount(), ShouldEqual, 0)
		So(b.count(agent.Start), ShouldEqual, 1200)
		So(b.count(agent.Stop), ShouldEqual, 0)
		for _, end := range w.ends {
			So(end, ShouldEndWith, "done")
		}
	})
}

func TestLostAnswers(t *testing.T) {
	Convey("When answers of the scheduler are lost, every run begins once and every end is noted", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{}, nil)
		number := 0
		w.losesReply = func() bool { number++; return number%3 != 0 }
		for k := uint32(0); k < 6; k++ {
			w.starts = append(w.starts, newOrder("start", "j", k, 1, "run_us=200000"))
		}
		b.run(10 * eventloop.Second)
		So(w.ends, ShouldHaveLength, 6)
		So(b.worker.UnacknowledgedCount(), ShouldEqual, 0)
		So(w.lastHeartbeat().Ended, ShouldBeEmpty)
		So(b.count(agent.Start), ShouldEqual, 6)
		for seq, a := range w.heartbeats[1:] {
			So(a.Seq, ShouldBeGreaterThan, w.heartbeats[seq].Seq)
		}
	})
	Convey("An announce without an answer is sent anew within 0.7 s", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{}, nil)
		b.run(eventloop.Second)
		w.losesReply = func() bool { return true }
		before := len(w.heartbeats)
		b.run(7 * eventloop.Second)
		So(len(w.heartbeats)-before, ShouldBeBetweenOrEqual, 9, 11)
	})
	Convey("When replies of the worker are lost, nothing is begun twice and no end is missed", t, func() {
		number := 0
		lossy := func(_ eventloop.Micros, call agent.Call) fakeworker.Fault {
			number++
			return []fakeworker.Fault{fakeworker.FaultReplyLost, fakeworker.NoFault, fakeworker.FaultRequestLost, fakeworker.NoFault, fakeworker.FaultBusy, fakeworker.NoFault}[number%6]
		}
		b, w := newDefaultHarness(fakeworker.Config{Fault: lossy}, nil)
		for k := uint32(0); k < 6; k++ {
			w.starts = append(w.starts, newOrder("start", "j", k, 1, "run_us=200000"))
		}
		b.run(12 * eventloop.Second)
		So(w.ends, ShouldHaveLength, 6)
		So(b.worker.UnacknowledgedCount(), ShouldEqual, 0)
		for _, count := range b.startCounts {
			So(count, ShouldEqual, 1)
		}
	})
}

func TestStarts(t *testing.T) {
	long := func(w *fakeScheduler) {
		w.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
	}
	Convey("A start that was done though nothing came back is found done", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{Fault: faultSequence(agent.Start, fakeworker.FaultReplyLost)}, nil)
		long(w)
		b.run(3 * eventloop.Second)
		So(b.startCounts["j.0.0.0/1"], ShouldEqual, 1)
		So(b.worker.RunningCount(), ShouldEqual, 1)
		So(w.ends, ShouldBeEmpty)
		So(b.count(agent.Stop), ShouldEqual, 0)
	})
	Convey("A start that stays silent is stopped and told, and carried out later it does nothing", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{Fault: faultOn(agent.Start, fakeworker.FaultDelayed), FaultDelay: 3 * eventloop.Second}, nil)
		long(w)
		b.run(2 * eventloop.Second)
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(b.count(agent.Stop), ShouldEqual, 1)
		b.run(5 * eventloop.Second)
		So(b.startCounts, ShouldBeEmpty)
		So(w.lastHeartbeat().Running, ShouldBeEmpty)
	})
	Convey("A silent start that was carried out before the stop ends there, and only then is told", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{
			Fault:        faultOn(agent.Start, fakeworker.FaultReplyLost),
			StopDuration: func(agent.TaskName, uint32) eventloop.Micros { return 700 * eventloop.Millisecond },
		}, &schema.Bounds{StopUs: int64(eventloop.Second)})
		long(w)
		b.run(1300 * eventloop.Millisecond)
		So(b.count(agent.Stop), ShouldEqual, 1)
		So(w.ends, ShouldBeEmpty)
		So(w.lastHeartbeat().Running, ShouldHaveLength, 1)
		b.run(eventloop.Second)
		So(b.startCounts["j.0.0.0/1"], ShouldEqual, 1)
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(b.worker.RunningCount(), ShouldEqual, 0)
	})
	Convey("What finds no room is told as stopped", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{EnforcesCapacity: true}, nil)
		w.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "cores=1001")}
		b.run(eventloop.Second)
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(b.startCounts, ShouldBeEmpty)
	})
	Convey("What finds no room after a silent try is stopped first", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{EnforcesCapacity: true, Fault: faultSequence(agent.Start, fakeworker.FaultDelayed)}, nil)
		b.run(12 * eventloop.Second)
		So(b.count(agent.Stop), ShouldEqual, 0)
		w.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "cores=1001")}
		b.run(2 * eventloop.Second)
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(b.count(agent.Stop), ShouldEqual, 1)
	})
	Convey("A worker that is busy is tried again, and given up after 0.9 s", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{Fault: faultSequence(agent.Start, fakeworker.FaultBusy, fakeworker.FaultBusy, fakeworker.FaultBusy)}, nil)
		long(w)
		b.run(eventloop.Second)
		So(b.worker.RunningCount(), ShouldEqual, 1)
		So(b.count(agent.Start), ShouldEqual, 4)
		b, w = newDefaultHarness(fakeworker.Config{Fault: faultOn(agent.Start, fakeworker.FaultBusy)}, nil)
		b.run(12 * eventloop.Second)
		long(w)
		b.run(1200 * eventloop.Millisecond)
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(b.count(agent.Stop), ShouldEqual, 0)
		So(b.count(agent.Start), ShouldBeBetweenOrEqual, 9, 18)
	})
	Convey("What was given up is never tried again, whoever orders it", t, func() {
		isBusy := true
		b, w := newDefaultHarness(fakeworker.Config{Fault: func(_ eventloop.Micros, call agent.Call) fakeworker.Fault {
			if call.Action == agent.Start && isBusy {
				return fakeworker.FaultBusy
			}
			return fakeworker.NoFault
		}}, nil)
		b.run(12 * eventloop.Second)
		w.repeatsOrders = true
		long(w)
		b.run(1500 * eventloop.Millisecond)
		isBusy = false
		b.run(3 * eventloop.Second)
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(b.count(agent.Start), ShouldBeLessThan, 20)
		So(b.startCounts, ShouldBeEmpty)
		w.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 2, "run_us=60000000")}
		b.run(2 * eventloop.Second)
		So(b.startCounts["j.0.0.0/2"], ShouldEqual, 1)
	})
	Convey("Past a start: whether it ended is the next look's to say", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{}, nil)
		b.run(100 * eventloop.Millisecond)
		b.worker.HandleCall(b.now, agent.Call{Action: agent.Stop, Worker: "w1", Task: agent.TaskName{Job: "j"}, Attempt: 1, FencingToken: 5}, func(agent.Reply) {})
		long(w)
		b.run(eventloop.Second)
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(b.startCounts, ShouldBeEmpty)
	})
}

func TestStops(t *testing.T) {
	bounds := &schema.Bounds{StopUs: int64(2 * eventloop.Second), SaveUs: int64(eventloop.Second)}
	Convey("A stopped run is told when the worker lists its end, with what was saved", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{StopDuration: func(agent.TaskName, uint32) eventloop.Micros { return 600 * eventloop.Millisecond }}, bounds)
		w.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000 saves=1")}
		b.run(2500 * eventloop.Millisecond)
		So(w.lastHeartbeat().Running[0].Checkpoint, ShouldStartWith, "work=")
		w.starts, w.stops = nil, []*schema.TaskOrder{newOrder("stop", "j", 0, 1, "")}
		b.run(500 * eventloop.Millisecond)
		So(w.ends, ShouldBeEmpty)
		b.run(300 * eventloop.Millisecond)
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(b.count(agent.Stop), ShouldEqual, 1)
	})
	Convey("A stop that isn't heard is sent until it is", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{Fault: faultSequence(agent.Stop, fakeworker.FaultRequestLost, fakeworker.FaultBusy, fakeworker.FaultRequestLost)}, bounds)
		w.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		b.run(eventloop.Second)
		w.starts, w.stops = nil, []*schema.TaskOrder{newOrder("stop", "j", 0, 1, "")}
		b.run(3 * eventloop.Second)
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(b.count(agent.Stop), ShouldEqual, 4)
	})
	Convey("A stop of what was never there is told as stopped, and nothing of it can begin any more", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{}, bounds)
		b.run(eventloop.Second)
		w.stops = []*schema.TaskOrder{newOrder("stop", "j", 0, 1, "")}
		b.run(100 * eventloop.Millisecond)
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(b.count(agent.Stop), ShouldEqual, 1)
	})
}

func TestLeaseChange(t *testing.T) {
	Convey("The new ward hears an inventory that was taken under its fence, and work goes on", t, func() {
		b, first := newDefaultHarness(fakeworker.Config{}, nil)
		first.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		b.run(2 * eventloop.Second)
		second := b.addScheduler("p2", 9, "w1")
		b.run(100 * eventloop.Millisecond)
		So(b.worker.FencingToken(), ShouldEqual, 9)
		So(b.logIndex("call 3 fence 9"), ShouldBeBetween, -1, b.logIndex("announce p2 ward 9"))
		So(second.heartbeats[0].Running, ShouldHaveLength, 1)
		// The former ward's word counts for nothing any more.
		orders := &schema.WorkerOrders{FencingToken: 5, LeaseUs: int64(9 * eventloop.Second), Orders: []*schema.TaskOrder{newOrder("start", "x", 0, 1, "")}}
		for id := uint64(1000); id < 1100; id++ {
			b.deliver("p1", &schema.WorkerPollResponse{Id: id, Code: 200, Orders: orders})
			b.deliver("p2", &schema.WorkerPollResponse{Id: id, Code: 200, Orders: orders})
		}
		b.run(2 * eventloop.Second)
		So(b.startCounts, ShouldHaveLength, 1)
		So(b.worker.RunningCount(), ShouldEqual, 1)
	})
	Convey("An old ward's start that is still on its way does nothing, and the new ward's order begins it once", t, func() {
		b, first := newDefaultHarness(fakeworker.Config{Fault: faultSequence(agent.Start, fakeworker.FaultDelayed), FaultDelay: 700 * eventloop.Millisecond}, nil)
		first.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		b.run(100 * eventloop.Millisecond)
		So(b.count(agent.Start), ShouldEqual, 1)
		first.isUnresponsive = true
		second := b.addScheduler("p2", 9, "w1")
		b.run(100 * eventloop.Millisecond)
		So(second.heartbeats[0].Running, ShouldBeEmpty)
		So(second.heartbeats[0].Ended, ShouldBeEmpty)
		b.run(900 * eventloop.Millisecond)
		So(b.startCounts, ShouldBeEmpty)
		second.starts = first.starts
		b.run(eventloop.Second)
		So(b.startCounts, ShouldResemble, map[string]int{"j.0.0.0/1": 1})
		So(second.ends, ShouldBeEmpty)
	})
	Convey("An answer of a ward that the cluster state's copy doesn't know yet has the worker looked at first", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{}, nil)
		b.run(eventloop.Second)
		w.fencingToken = 7
		w.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		b.run(eventloop.Second)
		So(b.logIndex("call 3 fence 7"), ShouldBeBetween, -1, b.logIndex("call 1 fence 7"))
		So(b.logIndex("call 1 fence 5"), ShouldEqual, -1)
		So(b.worker.RunningCount(), ShouldEqual, 1)
	})
}

func TestInspectionsOutOfOrder(t *testing.T) {
	Convey("A look's answer that was sent before a start was answered doesn't undo the start", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{}, nil)
		b.run(eventloop.Second)
		// The look that is open now comes back late: what it lists was so before.
		look := b.calls[len(b.calls)-1]
		b.messageDelay = func(body any) eventloop.Micros {
			if reply, isReply := body.(agent.Reply); isReply && reply.Number == look.Number {
				return 300 * eventloop.Millisecond
			}
			return messageDelay
		}
		isBack := b.callTimes[len(b.callTimes)-1] + look.Wait + messageDelay
		b.run(isBack + 10*eventloop.Millisecond - b.now)
		w.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		b.run(eventloop.Second)
		So(w.ends, ShouldBeEmpty)
		So(w.lastHeartbeat().Running, ShouldHaveLength, 1)
	})
	Convey("An older look that comes after a newer one doesn't bring back what has ended", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{}, nil)
		w.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=1400000")}
		b.run(200 * eventloop.Millisecond)
		// The first look that lists the run is held up until its end is noted.
		isHeldUp := false
		b.messageDelay = func(body any) eventloop.Micros {
			if reply, isReply := body.(agent.Reply); isReply && !isHeldUp && len(reply.Running) > 0 {
				isHeldUp = true
				return 2500 * eventloop.Millisecond
			}
			return messageDelay
		}
		w.stops = []*schema.TaskOrder{newOrder("stop", "x", 9, 1, "")} // has the worker looked at besides
		b.run(1600 * eventloop.Millisecond)
		w.stops = []*schema.TaskOrder{newOrder("stop", "y", 9, 1, "")}
		b.run(400 * eventloop.Millisecond)
		So(isHeldUp, ShouldBeTrue)
		So(w.ends, ShouldContain, "j.0.0.0/1 done")
		before := len(w.heartbeats)
		b.run(2 * eventloop.Second)
		for _, a := range w.heartbeats[before:] {
			So(a.Running, ShouldBeEmpty)
		}
		So(w.ends, ShouldHaveLength, 3)
	})
	Convey("After a pause, a list from before it doesn't count as the look that is due", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{}, nil)
		w.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		b.run(2 * eventloop.Second)
		b.isFrozen = true
		b.run(8 * eventloop.Second)
		b.isFrozen = false
		before := len(w.heartbeats)
		b.run(eventloop.Second)
		So(w.heartbeats[before].Running, ShouldBeEmpty)
		So(w.heartbeats[before].Ended, ShouldHaveLength, 1)
	})
}

func TestAgentRestart(t *testing.T) {
	Convey("An agent that has forgotten all learns it from the worker", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{}, nil)
		w.acknowledgeAfter = -1
		w.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000"), newOrder("start", "j", 1, 1, "run_us=100000")}
		b.run(eventloop.Second)
		So(w.ends, ShouldHaveLength, 1)
		b.agent = agent.New(nil, 2000)
		b.publishClusterState()
		w.heartbeats, w.ends, w.firstReported = nil, nil, map[string]eventloop.Micros{}
		b.run(eventloop.Second)
		So(w.heartbeats[0].Running, ShouldHaveLength, 1)
		So(w.heartbeats[0].Ended, ShouldHaveLength, 1)
		So(w.rejected, ShouldEqual, 0)
		w.acknowledgeAfter = 0
		b.run(eventloop.Second)
		So(b.worker.UnacknowledgedCount(), ShouldEqual, 0)
		So(b.startCounts, ShouldHaveLength, 2)
		So(b.worker.RunningCount(), ShouldEqual, 1)
	})
}

func TestWorkerRestart(t *testing.T) {
	Convey("A new life tells of the one that is over, until a scheduler has answered that", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{}, nil)
		w.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		b.run(2 * eventloop.Second)
		late := b.worker.Heartbeat(b.now)
		late.Number += 100
		b.worker.Restart(b.now, "w2")
		b.withholdsHeartbeats = true
		sent := len(w.heartbeats)
		b.run(2 * eventloop.Second)
		// Another life answers there: nothing is said for the old one, after what was on its way.
		So(len(w.heartbeats)-sent, ShouldBeLessThanOrEqualTo, 3)
		w.starts, w.losesReply = nil, func() bool { return true }
		b.withholdsHeartbeats = false
		b.moveLease("p1", 6, "w2")
		w.fencingToken, w.heartbeats = 6, nil
		b.run(2 * eventloop.Second)
		So(len(w.heartbeats), ShouldBeGreaterThan, 1)
		for _, a := range w.heartbeats {
			So(a.ReplacedWorkers, ShouldResemble, []string{"w1"})
			So(a.Running, ShouldBeEmpty)
		}
		w.losesReply = nil
		b.run(2 * eventloop.Second)
		So(w.lastHeartbeat().ReplacedWorkers, ShouldBeEmpty)
		// A late word of the dead changes nothing.
		b.deliver("", late)
		looks := b.count(agent.Inspect)
		b.run(2 * eventloop.Second)
		So(w.lastHeartbeat().ReplacedWorkers, ShouldBeEmpty)
		So(b.count(agent.Inspect)-looks, ShouldBeLessThanOrEqualTo, 2)
		for _, call := range b.calls[len(b.calls)-2:] {
			So(call.Worker, ShouldEqual, "w2")
		}
	})
	Convey("A worker that doesn't answer isn't spoken for, and is again when it does", t, func() {
		isDeaf := false
		b, w := newDefaultHarness(fakeworker.Config{Fault: func(eventloop.Micros, agent.Call) fakeworker.Fault {
			if isDeaf {
				return fakeworker.FaultRequestLost
			}
			return fakeworker.NoFault
		}}, nil)
		w.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		b.run(2 * eventloop.Second)
		isDeaf = true
		// When what it held is over, whatever its clock, that alone is told, and that
		// it has no room.
		for k := 0; k < 4000 && len(w.ends) == 0; k++ {
			b.run(eventloop.Millisecond)
		}
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 lapsed"})
		So(b.worker.RunningCount(), ShouldEqual, 0)
		So(w.lastHeartbeat().CoresMilli+w.lastHeartbeat().MemoryMb, ShouldEqual, 0)
		b.run(200 * eventloop.Millisecond)
		announces, looks := len(w.heartbeats), b.count(agent.Inspect)
		b.run(5 * eventloop.Second)
		So(len(w.heartbeats), ShouldEqual, announces)
		So(b.count(agent.Inspect)-looks, ShouldBeLessThanOrEqualTo, 8)
		isDeaf, w.starts = false, nil
		b.run(2 * eventloop.Second)
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 lapsed"})
	})
	Convey("A worker that didn't answer for a while is renewed in time when it does again", t, func() {
		isDeaf := false
		b, w := newDefaultHarness(fakeworker.Config{Fault: func(eventloop.Micros, agent.Call) fakeworker.Fault {
			if isDeaf {
				return fakeworker.FaultRequestLost
			}
			return fakeworker.NoFault
		}}, nil)
		w.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		for k := eventloop.Micros(0); k < 10; k++ {
			isDeaf = false
			b.run(3*eventloop.Second + k*100*eventloop.Millisecond)
			isDeaf = true
			b.run(1700 * eventloop.Millisecond)
		}
		So(w.ends, ShouldBeEmpty)
		So(b.worker.RunningCount(), ShouldEqual, 1)
	})
	Convey("A late word of a life that its successor's beat alone told of changes nothing", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{}, nil)
		b.run(2 * eventloop.Second)
		late := b.worker.Heartbeat(b.now)
		late.Number += 100
		b.worker.Restart(b.now, "w2")
		b.nextHeartbeat, w.fencingToken = 0, 6
		b.moveLease("p1", 6, "w2")
		b.run(eventloop.Second)
		So(w.lastHeartbeat().FencingToken, ShouldEqual, 6)
		from, calls := len(w.heartbeats), len(b.calls)
		b.deliver("", late)
		b.run(3 * eventloop.Second)
		for _, a := range w.heartbeats[from:] {
			So(a.ReplacedWorkers, ShouldBeEmpty)
		}
		for _, call := range b.calls[calls:] {
			So(call.Worker, ShouldEqual, "w2")
		}
	})
	Convey("A late word of the dead doesn't push the living aside for good, nor has it told as dead", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{}, nil)
		w.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		b.run(2 * eventloop.Second)
		for _, address := range []string{"side:1", "nowhere"} {
			b.deliver("", agent.Heartbeat{Worker: "w0-" + address, Number: 99, Clock: eventloop.Second, Address: address})
			b.run(3 * eventloop.Second)
			So(w.lastHeartbeat().ReplacedWorkers, ShouldNotContain, "w1")
			So(w.lastHeartbeat().Running, ShouldHaveLength, 1)
			So(b.calls[len(b.calls)-1].Worker, ShouldEqual, "w1")
		}
		So(b.worker.RunningCount(), ShouldEqual, 1)
	})
	Convey("Beats out of order are dropped", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{WarmUp: 10 * eventloop.Second}, nil)
		old := b.worker.Heartbeat(b.now)
		old.Cores = 7
		b.run(2 * eventloop.Second)
		b.deliver("", old)
		b.run(eventloop.Second)
		So(w.lastHeartbeat().CoresMilli, ShouldEqual, 1000)
		So(w.lastHeartbeat().WarmUpUs, ShouldBeBetween, int64(6*eventloop.Second), int64(8*eventloop.Second))
	})
}

func TestDraining(t *testing.T) {
	Convey("A worker that leaves is told of at once and given nothing more; its runs go on until it departs", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{}, nil)
		w.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		b.run(2 * eventloop.Second)
		b.worker.Drain(b.now, 5*eventloop.Second)
		beat := b.worker.Heartbeat(b.now)
		b.deliver("", beat)
		b.run(4 * messageDelay)
		So(w.lastHeartbeat().Draining, ShouldBeTrue)
		So(w.lastHeartbeat().DepartsInUs, ShouldBeBetween, int64(4900*eventloop.Millisecond), int64(5000*eventloop.Millisecond)+1)
		w.starts = append(w.starts, newOrder("start", "j", 1, 1, "run_us=60000000"))
		b.run(2 * eventloop.Second)
		So(b.count(agent.Start), ShouldEqual, 1)
		So(w.ends, ShouldResemble, []string{"j.0.0.1/1 stopped"})
		So(b.worker.RunningCount(), ShouldEqual, 1)
		// The last announce may be as old as its answer may be held back.
		So(w.lastHeartbeat().DepartsInUs, ShouldBeBetween, int64(3*eventloop.Second), int64(3450*eventloop.Millisecond))
		w.starts = nil
		b.run(3 * eventloop.Second)
		b.deliver("", agent.Departed{Worker: "w1"})
		b.run(4 * messageDelay)
		So(w.ends, ShouldResemble, []string{"j.0.0.1/1 stopped", "j.0.0.0/1 stopped"})
		b.deliver("", beat)
		calls := len(b.calls)
		b.run(eventloop.Second)
		So(b.calls, ShouldHaveLength, calls)
	})
}

func TestPausedAgent(t *testing.T) {
	Convey("After a pause that its lease outlasts, the hold is renewed before it ends", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{}, nil)
		w.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=600000000")}
		b.run(eventloop.Second)
		for k := eventloop.Micros(0); k < 20; k++ {
			b.run(3*eventloop.Second + k*70*eventloop.Millisecond)
			b.isFrozen = true
			// As late as there is time for a look, an announce and a look.
			left := b.worker.HoldUntil() - b.worker.Clock(b.now)
			b.run(left - 10*messageDelay - agent.TickInterval)
			b.isFrozen = false
		}
		So(w.ends, ShouldBeEmpty)
		So(b.worker.RunningCount(), ShouldEqual, 1)
	})
	Convey("After a pause the worker is looked at before anything is announced or begun", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{}, nil)
		w.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000"), newOrder("start", "j", 1, 1, "run_us=3000000")}
		b.run(2 * eventloop.Second)
		b.isFrozen = true
		w.starts = append(w.starts, newOrder("start", "j", 2, 1, "run_us=60000000"))
		b.run(6 * eventloop.Second)
		b.isFrozen = false
		sent := len(b.log)
		b.run(eventloop.Second)
		So(b.log[sent], ShouldEqual, "call 3 fence 5")
		sort.Strings(w.ends)
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 lapsed", "j.0.0.1/1 done"})
		So(b.worker.RunningCount(), ShouldEqual, 1)
		So(b.startCounts["j.0.0.2/1"], ShouldEqual, 1)
	})
}
