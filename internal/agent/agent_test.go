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

const hop = eventloop.Millisecond // every message takes so long

// ward is a scripted scheduler: it wants some runs there and some not.
type ward struct {
	id         string
	generation uint64
	lease      eventloop.Micros
	noteAfter  eventloop.Micros // an end is noted so long after it was heard; below 0: never
	isSilent   bool
	isBehind   bool        // it orders what has ended and was noted, as it hasn't heard of that yet
	loses      func() bool // tells of each answer whether it is lost
	starts     []*schema.TaskOrder
	stops      []*schema.TaskOrder
	announces  []*schema.WorkerHeartbeat
	heard      map[string]eventloop.Micros // ends, by name
	ends       []string
	poll       *schema.WorkerPollRequest
	pollUntil  eventloop.Micros
	seq        uint64
	refused    int
	granted    eventloop.Micros // end of the lease as the ward must reckon it
}

func newWard(id string, generation uint64) *ward {
	return &ward{id: id, generation: generation, lease: 4 * eventloop.Second, heard: map[string]eventloop.Micros{}}
}

func name(job string, round, part, task, attempt uint32) string {
	return fmt.Sprintf("%s.%d.%d.%d/%d", job, round, part, task, attempt)
}

func noteName(n *schema.TaskStatus) string {
	return name(n.Name, n.Round, n.StepInRound, n.Task, n.Attempt)
}
func orderName(o *schema.TaskOrder) string {
	return name(o.Name, o.Round, o.StepInRound, o.Task, o.Attempt)
}

func order(act, job string, task, attempt uint32, text string) *schema.TaskOrder {
	return &schema.TaskOrder{Action: act, Name: job, Task: task, Attempt: attempt, Text: text, CoresMilli: 100}
}

// bench joins an agent, a called worker and wards in virtual time.
type bench struct {
	now      eventloop.Micros
	events   []func()
	at       []eventloop.Micros
	table    *agent.Table
	worker   *fakeworker.Called
	wards    map[string]*ward
	calls    []agent.Call
	callAt   []eventloop.Micros
	log      []string // calls and announces in the order they were sent
	meets    int
	begun    map[string]int
	began    map[string]eventloop.Micros
	onBegin  func(key string)
	delay    func(body any) eventloop.Micros // how long a message takes; nil: a hop
	isMute   bool                            // the worker sends no beats
	isFrozen bool
	mailbox  []eventloop.Message
	beatAt   eventloop.Micros
	tickAt   eventloop.Micros
	state    *schema.ClusterState
	sent     map[uint64]eventloop.Micros // announces
}

func newBench(setup fakeworker.Setup, bounds *schema.Bounds) *bench {
	b := &bench{
		now: 20 * eventloop.Second, table: agent.New(bounds, 1000), wards: map[string]*ward{}, begun: map[string]int{}, began: map[string]eventloop.Micros{},
		state: &schema.ClusterState{Version: 1}, sent: map[uint64]eventloop.Micros{},
	}
	setup.Bounds, setup.Address = bounds, "side:1"
	if setup.Cores == 0 {
		setup.Cores, setup.Memory = 1000, 1000
	}
	setup.Tell = func(now eventloop.Micros, kind string, run fakeworker.Run, how string) {
		if kind == "begin" {
			key := name(run.Task.Job, run.Task.Round, run.Task.Part, run.Task.Task, run.Attempt)
			b.begun[key]++
			b.began[key] = now
			if b.onBegin != nil {
				b.onBegin(key)
			}
		}
	}
	b.worker = fakeworker.NewCalled(b.now, "w1", setup, nil)
	return b
}

// usual is a bench with one ward that the cluster state knows.
func usual(setup fakeworker.Setup, bounds *schema.Bounds) (*bench, *ward) {
	b := newBench(setup, bounds)
	w := b.ward("p1", 5, "w1")
	return b, w
}

func (b *bench) ward(id string, generation uint64, worker string) *ward {
	w := newWard(id, generation)
	b.wards[id] = w
	b.move(id, generation, worker)
	return w
}

// move puts a worker in the cluster state's words.
func (b *bench) move(id string, generation uint64, worker string) {
	state := proto.Clone(b.state).(*schema.ClusterState)
	state.Version++
	state.WorkerLeases = slices.DeleteFunc(state.WorkerLeases, func(w *schema.WorkerLease) bool { return w.Worker == worker })
	state.WorkerLeases = append(state.WorkerLeases, &schema.WorkerLease{Worker: worker, Scheduler: id, FencingToken: generation})
	// The cluster state lists them by worker, and they are searched for so.
	slices.SortFunc(state.WorkerLeases, func(x, y *schema.WorkerLease) int { return cmp.Compare(x.Worker, y.Worker) })
	b.state = state
	b.tellClusterState()
}

func (b *bench) tellClusterState() {
	b.after(hop, func() {
		b.mail("", &schema.ClusterStateResponse{State: b.state, Version: b.state.Version, Leaders: map[string]string{clusterstate.Group: "p1"}})
	})
}

func (b *bench) after(span eventloop.Micros, call func()) {
	k := sort.Search(len(b.at), func(k int) bool { return b.at[k] > b.now+span })
	b.at, b.events = slices.Insert(b.at, k, b.now+span), slices.Insert(b.events, k, call)
}

func (b *bench) mail(from string, body any) {
	b.mailbox = append(b.mailbox, eventloop.Message{From: from, Body: body})
}

func (b *bench) takes(body any) eventloop.Micros {
	if b.delay == nil {
		return hop
	}
	return b.delay(body)
}

func (b *bench) run(span eventloop.Micros) {
	for end := b.now + span; b.now < end; {
		b.now += eventloop.Millisecond
		for len(b.at) > 0 && b.at[0] <= b.now {
			call := b.events[0]
			b.at, b.events = b.at[1:], b.events[1:]
			call()
		}
		b.worker.Step(b.now)
		if b.now >= b.beatAt && !b.isMute && !b.worker.IsDead() {
			b.beatAt = b.now + 500*eventloop.Millisecond
			beat := b.worker.Beat(b.now)
			b.after(hop, func() { b.mail("", beat) })
		}
		for _, id := range slices.Sorted(maps.Keys(b.wards)) {
			b.answer(b.wards[id])
		}
		if b.isFrozen {
			continue
		}
		list := b.mailbox
		b.mailbox = nil
		for _, mail := range list {
			b.table.Step(b.now, mail, b)
		}
		if b.now >= b.tickAt {
			b.tickAt = b.now + agent.Pace
			b.table.Step(b.now, eventloop.Message{Body: eventloop.Tick{}}, b)
		}
	}
}

func (b *bench) Dial(string, any)    {}
func (b *bench) Respond(uint64, any) {}

func (b *bench) Notify(table string, body any) {
	call := body.(agent.Call)
	b.calls, b.callAt = append(b.calls, call), append(b.callAt, b.now)
	b.log = append(b.log, fmt.Sprintf("call %d fence %d", call.Act, call.Fence))
	b.after(b.takes(call), func() {
		b.worker.Take(b.now, call, func(reply agent.Reply) { b.after(b.takes(reply), func() { b.mail("", reply) }) })
	})
}

func (b *bench) Send(to string, body any) {
	switch m := body.(type) {
	case *schema.Request:
		b.meets++
	case *schema.WorkerPollRequest:
		b.log = append(b.log, fmt.Sprintf("announce %s ward %d", to, m.Heartbeat.FencingToken))
		b.sent[m.Id] = b.now
		if w := b.wards[to]; w != nil {
			m = proto.Clone(m).(*schema.WorkerPollRequest)
			b.after(b.takes(m), func() { b.polled(w, m) })
		}
	}
}

func (b *bench) polled(w *ward, m *schema.WorkerPollRequest) {
	if w.isSilent {
		return
	}
	a := m.Heartbeat
	if a.Seq <= w.seq || a.FencingToken > w.generation {
		w.refused++
		b.after(hop, func() { b.mail(w.id, &schema.WorkerPollResponse{Id: m.Id, Scheduler: w.id}) })
		return
	}
	w.seq = a.Seq
	w.announces = append(w.announces, a)
	for _, note := range a.Ended {
		if key := noteName(note); w.heard[key] == 0 {
			w.heard[key] = b.now
			w.ends = append(w.ends, key+" "+note.State)
		}
	}
	w.poll, w.pollUntil = m, b.now+eventloop.Micros(a.MaxWaitUs)
}

// answer holds the open announce back until there is something to say.
func (b *bench) answer(w *ward) {
	if w.poll == nil || w.isSilent {
		return
	}
	a := w.poll.Heartbeat
	orders := &schema.WorkerOrders{FencingToken: w.generation, LeaseUs: int64(w.lease), Scheduler: w.id}
	isRunning, hasEnded := map[string]bool{}, map[string]bool{}
	for _, note := range a.Running {
		isRunning[noteName(note)] = true
	}
	for _, note := range a.Ended {
		key := noteName(note)
		hasEnded[key] = true
		if w.noteAfter >= 0 && b.now-w.heard[key] >= w.noteAfter {
			orders.Acknowledged = append(orders.Acknowledged, &schema.TaskStatus{Name: note.Name, Round: note.Round, StepInRound: note.StepInRound, Task: note.Task, Attempt: note.Attempt})
		}
	}
	for _, o := range w.starts {
		if key := orderName(o); !isRunning[key] && !hasEnded[key] && (w.heard[key] == 0 || w.isBehind) {
			orders.Orders = append(orders.Orders, o)
		}
	}
	for _, o := range w.stops {
		if key := orderName(o); !hasEnded[key] && w.heard[key] == 0 {
			orders.Orders = append(orders.Orders, o)
		}
	}
	if len(orders.Orders)+len(orders.Acknowledged) == 0 && b.now < w.pollUntil {
		return
	}
	id := w.poll.Id
	w.poll = nil
	if w.loses != nil && w.loses() {
		return
	}
	w.granted = b.sent[id] + w.lease
	reply := &schema.WorkerPollResponse{Id: id, Code: 200, Orders: orders, Scheduler: w.id}
	b.after(b.takes(reply), func() { b.mail(w.id, reply) })
}

func (b *bench) count(act agent.Act) int {
	count := 0
	for _, call := range b.calls {
		if call.Act == act {
			count++
		}
	}
	return count
}

// first is where a line stands in the log.
func (b *bench) first(line string) int { return slices.Index(b.log, line) }

func (w *ward) last() *schema.WorkerHeartbeat { return w.announces[len(w.announces)-1] }

// faults gives each call of one act the fault of its turn, and none after.
func faults(act agent.Act, list ...fakeworker.Fault) func(eventloop.Micros, agent.Call) fakeworker.Fault {
	return func(_ eventloop.Micros, call agent.Call) fakeworker.Fault {
		if call.Act != act || len(list) == 0 {
			return fakeworker.NoFault
		}
		next := list[0]
		list = list[1:]
		return next
	}
}

func always(act agent.Act, fault fakeworker.Fault) func(eventloop.Micros, agent.Call) fakeworker.Fault {
	return func(_ eventloop.Micros, call agent.Call) fakeworker.Fault {
		if call.Act == act {
			return fault
		}
		return fakeworker.NoFault
	}
}

func TestOrdinaryPath(t *testing.T) {
	Convey("A worker is met, looked at under its ward's fence, announced, and given work whose end is noted", t, func() {
		b := newBench(fakeworker.Setup{Pool: "pool", Rack: "r1", Labels: []string{"a"}}, nil)
		b.tellClusterState()
		b.run(1200 * eventloop.Millisecond)
		So(b.meets, ShouldBeBetweenOrEqual, 2, 3)
		So(b.calls, ShouldBeEmpty)
		w := b.ward("p1", 5, "w1")
		w.starts = []*schema.TaskOrder{order("start", "j", 0, 1, "run_us=300000")}
		w.starts[0].Round, w.starts[0].StepInRound = 2, 1
		b.run(100 * eventloop.Millisecond)
		So(b.first("call 3 fence 5"), ShouldEqual, 0)
		a := w.announces[0]
		So(a.TasksByName && a.GangBarrier, ShouldBeTrue)
		So([]any{a.Pool, a.Rack, a.Labels[0], a.CoresMilli, a.Incarnation, a.FencingToken}, ShouldResemble, []any{"pool", "r1", "a", int64(1000), uint64(1), uint64(5)})
		So(b.worker.Running(), ShouldEqual, 1)
		So(noteName(w.last().Running[0]), ShouldEqual, "j.2.1.0/1")
		start := b.calls[slices.IndexFunc(b.calls, func(c agent.Call) bool { return c.Act == agent.Start })]
		So(start.Fence, ShouldEqual, 5)
		So(start.Address, ShouldEqual, "side:1")
		b.run(400 * eventloop.Millisecond)
		So(w.ends, ShouldResemble, []string{"j.2.1.0/1 done"})
		b.run(200 * eventloop.Millisecond)
		So(w.last().Ended, ShouldBeEmpty)
		So(b.worker.Unnoted(), ShouldEqual, 0)
		So(b.count(agent.Start), ShouldEqual, 1)
		So(b.count(agent.Stop), ShouldEqual, 0)
	})
	Convey("An end is announced within a few messages of when it happened", t, func() {
		b, w := usual(fakeworker.Setup{}, nil)
		w.starts = []*schema.TaskOrder{order("start", "j", 0, 1, "run_us=700000")}
		b.run(300 * eventloop.Millisecond)
		b.run(b.began["j.0.0.0/1"] + 700*eventloop.Millisecond + 8*hop - b.now)
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 done"})
	})
}

func TestHowLongAWorkerHolds(t *testing.T) {
	for _, drift := range []float64{1, 0.98} {
		Convey(fmt.Sprintf("The hold ends with the lease, whatever the worker's clock shows, drift %v", drift), t, func() {
			b, w := usual(fakeworker.Setup{Drift: drift}, nil)
			w.starts = []*schema.TaskOrder{order("start", "j", 0, 1, "run_us=60000000")}
			b.run(5 * eventloop.Second)
			So(b.worker.Running(), ShouldEqual, 1)
			for k := 0; k < 1000; k++ {
				b.run(7 * eventloop.Millisecond)
				// A clock that runs slow ends the hold later by that much of a lease.
				left := eventloop.Micros(float64(b.worker.HeldTo()-b.worker.Clock(b.now)) / drift)
				So(b.now+left, ShouldBeLessThanOrEqualTo, w.granted+eventloop.Micros(float64(w.lease)*(1/drift-1))+2)
				So(left, ShouldBeGreaterThan, w.lease/3)
			}
			w.isSilent = true
			b.run(w.lease + w.lease/40)
			So(b.worker.Running(), ShouldEqual, 0)
		})
	}
	Convey("Without an answered announce nothing is renewed: the worker ends everything, and that is told later", t, func() {
		b, w := usual(fakeworker.Setup{}, nil)
		w.starts = []*schema.TaskOrder{order("start", "j", 0, 1, "run_us=60000000")}
		b.run(2 * eventloop.Second)
		w.isSilent, w.starts = true, nil
		silentAt := b.now
		b.run(w.lease)
		So(b.worker.Running(), ShouldEqual, 0)
		So(b.now, ShouldBeLessThanOrEqualTo, silentAt+w.lease)
		w.isSilent = false
		b.run(eventloop.Second)
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 lapsed"})
		So(b.worker.Unnoted(), ShouldEqual, 0)
	})
	Convey("A hold that the worker cuts short is renewed in time", t, func() {
		b, w := usual(fakeworker.Setup{}, &schema.Bounds{HoldMostUs: int64(1500 * eventloop.Millisecond)})
		w.starts = []*schema.TaskOrder{order("start", "j", 0, 1, "run_us=60000000")}
		b.run(10 * eventloop.Second)
		So(b.worker.Running(), ShouldEqual, 1)
	})
}

func TestLooksAreFew(t *testing.T) {
	Convey("One long look at a time", t, func() {
		b, w := usual(fakeworker.Setup{}, nil)
		b.run(eventloop.Second)
		before := b.count(agent.Look)
		b.run(10 * eventloop.Second)
		So(b.count(agent.Look)-before, ShouldBeLessThanOrEqualTo, 6)
		w.starts = []*schema.TaskOrder{order("start", "j", 0, 1, "run_us=60000000")}
		b.run(2 * eventloop.Second)
		before = b.count(agent.Look)
		b.run(10 * eventloop.Second)
		So(b.count(agent.Look)-before, ShouldBeBetweenOrEqual, 9, 11)
	})
	Convey("Work that begins on a worker that had none asks for no look of its own", t, func() {
		b, w := usual(fakeworker.Setup{}, nil)
		b.run(20 * eventloop.Second)
		before := b.count(agent.Look)
		for k := uint32(0); k < 10; k++ {
			w.starts = append(w.starts, order("start", "j", k, 1, "run_us=60000000"))
			b.run(20 * eventloop.Millisecond)
		}
		So(b.worker.Running(), ShouldEqual, 10)
		So(b.count(agent.Look)-before, ShouldBeLessThanOrEqualTo, 1)
	})
	Convey("While an end waits to be noted, the worker isn't asked again and again", t, func() {
		b, w := usual(fakeworker.Setup{}, nil)
		w.noteAfter = -1
		w.starts = []*schema.TaskOrder{order("start", "j", 0, 1, "run_us=100000"), order("start", "j", 1, 1, "run_us=60000000")}
		b.run(eventloop.Second)
		before, announces := b.count(agent.Look), len(w.announces)
		b.run(10 * eventloop.Second)
		So(b.count(agent.Look)-before, ShouldBeLessThanOrEqualTo, 26)
		So(len(w.announces)-announces, ShouldBeLessThanOrEqualTo, 26)
		So(b.worker.Running(), ShouldEqual, 1)
		w.noteAfter = 0
		b.run(eventloop.Second)
		So(b.worker.Unnoted(), ShouldEqual, 0)
	})
	Convey("Many ends come in pages, and all are noted", t, func() {
		b, w := usual(fakeworker.Setup{Cores: 1 << 40}, nil)
		for k := uint32(0); k < 1200; k++ {
			w.starts = append(w.starts, order("start", "j", k, 1, "run_us=50000"))
		}
		b.run(3 * eventloop.Second)
		So(w.ends, ShouldHaveLength, 1200)
		So(b.worker.Unnoted(), ShouldEqual, 0)
		So(b.count(agent.Start), ShouldEqual, 1200)
		So(b.count(agent.Stop), ShouldEqual, 0)
		for _, end := range w.ends {
			So(end, ShouldEndWith, "done")
		}
	})
}

func TestLostAnswers(t *testing.T) {
	Convey("When answers of the scheduler are lost, every run begins once and every end is noted", t, func() {
		b, w := usual(fakeworker.Setup{}, nil)
		number := 0
		w.loses = func() bool { number++; return number%3 != 0 }
		for k := uint32(0); k < 6; k++ {
			w.starts = append(w.starts, order("start", "j", k, 1, "run_us=200000"))
		}
		b.run(10 * eventloop.Second)
		So(w.ends, ShouldHaveLength, 6)
		So(b.worker.Unnoted(), ShouldEqual, 0)
		So(w.last().Ended, ShouldBeEmpty)
		So(b.count(agent.Start), ShouldEqual, 6)
		for seq, a := range w.announces[1:] {
			So(a.Seq, ShouldBeGreaterThan, w.announces[seq].Seq)
		}
	})
	Convey("An announce without an answer is sent anew within 0.7 s", t, func() {
		b, w := usual(fakeworker.Setup{}, nil)
		b.run(eventloop.Second)
		w.loses = func() bool { return true }
		before := len(w.announces)
		b.run(7 * eventloop.Second)
		So(len(w.announces)-before, ShouldBeBetweenOrEqual, 9, 11)
	})
	Convey("When replies of the worker are lost, nothing is begun twice and no end is missed", t, func() {
		number := 0
		lossy := func(_ eventloop.Micros, call agent.Call) fakeworker.Fault {
			number++
			return []fakeworker.Fault{fakeworker.Unheard, fakeworker.NoFault, fakeworker.Lost, fakeworker.NoFault, fakeworker.Refused, fakeworker.NoFault}[number%6]
		}
		b, w := usual(fakeworker.Setup{Fault: lossy}, nil)
		for k := uint32(0); k < 6; k++ {
			w.starts = append(w.starts, order("start", "j", k, 1, "run_us=200000"))
		}
		b.run(12 * eventloop.Second)
		So(w.ends, ShouldHaveLength, 6)
		So(b.worker.Unnoted(), ShouldEqual, 0)
		for _, count := range b.begun {
			So(count, ShouldEqual, 1)
		}
	})
}

func TestStarts(t *testing.T) {
	long := func(w *ward) { w.starts = []*schema.TaskOrder{order("start", "j", 0, 1, "run_us=60000000")} }
	Convey("A start that was done though nothing came back is found done", t, func() {
		b, w := usual(fakeworker.Setup{Fault: faults(agent.Start, fakeworker.Unheard)}, nil)
		long(w)
		b.run(3 * eventloop.Second)
		So(b.begun["j.0.0.0/1"], ShouldEqual, 1)
		So(b.worker.Running(), ShouldEqual, 1)
		So(w.ends, ShouldBeEmpty)
		So(b.count(agent.Stop), ShouldEqual, 0)
	})
	Convey("A start that stays silent is stopped and told, and carried out later it does nothing", t, func() {
		b, w := usual(fakeworker.Setup{Fault: always(agent.Start, fakeworker.Belated), Belated: 3 * eventloop.Second}, nil)
		long(w)
		b.run(2 * eventloop.Second)
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(b.count(agent.Stop), ShouldEqual, 1)
		b.run(5 * eventloop.Second)
		So(b.begun, ShouldBeEmpty)
		So(w.last().Running, ShouldBeEmpty)
	})
	Convey("A silent start that was carried out before the stop ends there, and only then is told", t, func() {
		b, w := usual(fakeworker.Setup{
			Fault: always(agent.Start, fakeworker.Unheard),
			Stops: func(agent.TaskName, uint32) eventloop.Micros { return 700 * eventloop.Millisecond },
		}, &schema.Bounds{StopUs: int64(eventloop.Second)})
		long(w)
		b.run(1300 * eventloop.Millisecond)
		So(b.count(agent.Stop), ShouldEqual, 1)
		So(w.ends, ShouldBeEmpty)
		So(w.last().Running, ShouldHaveLength, 1)
		b.run(eventloop.Second)
		So(b.begun["j.0.0.0/1"], ShouldEqual, 1)
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(b.worker.Running(), ShouldEqual, 0)
	})
	Convey("What finds no room is told as stopped", t, func() {
		b, w := usual(fakeworker.Setup{IsGuarding: true}, nil)
		w.starts = []*schema.TaskOrder{order("start", "j", 0, 1, "cores=1001")}
		b.run(eventloop.Second)
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(b.begun, ShouldBeEmpty)
	})
	Convey("What finds no room after a silent try is stopped first", t, func() {
		b, w := usual(fakeworker.Setup{IsGuarding: true, Fault: faults(agent.Start, fakeworker.Belated)}, nil)
		b.run(12 * eventloop.Second)
		So(b.count(agent.Stop), ShouldEqual, 0)
		w.starts = []*schema.TaskOrder{order("start", "j", 0, 1, "cores=1001")}
		b.run(2 * eventloop.Second)
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(b.count(agent.Stop), ShouldEqual, 1)
	})
	Convey("A worker that is busy is tried again, and given up after 0.9 s", t, func() {
		b, w := usual(fakeworker.Setup{Fault: faults(agent.Start, fakeworker.Refused, fakeworker.Refused, fakeworker.Refused)}, nil)
		long(w)
		b.run(eventloop.Second)
		So(b.worker.Running(), ShouldEqual, 1)
		So(b.count(agent.Start), ShouldEqual, 4)
		b, w = usual(fakeworker.Setup{Fault: always(agent.Start, fakeworker.Refused)}, nil)
		b.run(12 * eventloop.Second)
		long(w)
		b.run(1200 * eventloop.Millisecond)
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(b.count(agent.Stop), ShouldEqual, 0)
		So(b.count(agent.Start), ShouldBeBetweenOrEqual, 9, 18)
	})
	Convey("What was given up is never tried again, whoever orders it", t, func() {
		isBusy := true
		b, w := usual(fakeworker.Setup{Fault: func(_ eventloop.Micros, call agent.Call) fakeworker.Fault {
			if call.Act == agent.Start && isBusy {
				return fakeworker.Refused
			}
			return fakeworker.NoFault
		}}, nil)
		b.run(12 * eventloop.Second)
		w.isBehind = true
		long(w)
		b.run(1500 * eventloop.Millisecond)
		isBusy = false
		b.run(3 * eventloop.Second)
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(b.count(agent.Start), ShouldBeLessThan, 20)
		So(b.begun, ShouldBeEmpty)
		w.starts = []*schema.TaskOrder{order("start", "j", 0, 2, "run_us=60000000")}
		b.run(2 * eventloop.Second)
		So(b.begun["j.0.0.0/2"], ShouldEqual, 1)
	})
	Convey("Past a start: whether it ended is the next look's to say", t, func() {
		b, w := usual(fakeworker.Setup{}, nil)
		b.run(100 * eventloop.Millisecond)
		b.worker.Take(b.now, agent.Call{Act: agent.Stop, Worker: "w1", Task: agent.TaskName{Job: "j"}, Attempt: 1, Fence: 5}, func(agent.Reply) {})
		long(w)
		b.run(eventloop.Second)
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(b.begun, ShouldBeEmpty)
	})
}

func TestStops(t *testing.T) {
	bounds := &schema.Bounds{StopUs: int64(2 * eventloop.Second), SaveUs: int64(eventloop.Second)}
	Convey("A stopped run is told when the worker lists its end, with what was saved", t, func() {
		b, w := usual(fakeworker.Setup{Stops: func(agent.TaskName, uint32) eventloop.Micros { return 600 * eventloop.Millisecond }}, bounds)
		w.starts = []*schema.TaskOrder{order("start", "j", 0, 1, "run_us=60000000 saves=1")}
		b.run(2500 * eventloop.Millisecond)
		So(w.last().Running[0].Checkpoint, ShouldStartWith, "work=")
		w.starts, w.stops = nil, []*schema.TaskOrder{order("stop", "j", 0, 1, "")}
		b.run(500 * eventloop.Millisecond)
		So(w.ends, ShouldBeEmpty)
		b.run(300 * eventloop.Millisecond)
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(b.count(agent.Stop), ShouldEqual, 1)
	})
	Convey("A stop that isn't heard is sent until it is", t, func() {
		b, w := usual(fakeworker.Setup{Fault: faults(agent.Stop, fakeworker.Lost, fakeworker.Refused, fakeworker.Lost)}, bounds)
		w.starts = []*schema.TaskOrder{order("start", "j", 0, 1, "run_us=60000000")}
		b.run(eventloop.Second)
		w.starts, w.stops = nil, []*schema.TaskOrder{order("stop", "j", 0, 1, "")}
		b.run(3 * eventloop.Second)
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(b.count(agent.Stop), ShouldEqual, 4)
	})
	Convey("A stop of what was never there is told as stopped, and nothing of it can begin any more", t, func() {
		b, w := usual(fakeworker.Setup{}, bounds)
		b.run(eventloop.Second)
		w.stops = []*schema.TaskOrder{order("stop", "j", 0, 1, "")}
		b.run(100 * eventloop.Millisecond)
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(b.count(agent.Stop), ShouldEqual, 1)
	})
}

func TestWardChange(t *testing.T) {
	Convey("The new ward hears an inventory that was taken under its fence, and work goes on", t, func() {
		b, first := usual(fakeworker.Setup{}, nil)
		first.starts = []*schema.TaskOrder{order("start", "j", 0, 1, "run_us=60000000")}
		b.run(2 * eventloop.Second)
		second := b.ward("p2", 9, "w1")
		b.run(100 * eventloop.Millisecond)
		So(b.worker.Fence(), ShouldEqual, 9)
		So(b.first("call 3 fence 9"), ShouldBeBetween, -1, b.first("announce p2 ward 9"))
		So(second.announces[0].Running, ShouldHaveLength, 1)
		// The former ward's word counts for nothing any more.
		orders := &schema.WorkerOrders{FencingToken: 5, LeaseUs: int64(9 * eventloop.Second), Orders: []*schema.TaskOrder{order("start", "x", 0, 1, "")}}
		for id := uint64(1000); id < 1100; id++ {
			b.mail("p1", &schema.WorkerPollResponse{Id: id, Code: 200, Orders: orders})
			b.mail("p2", &schema.WorkerPollResponse{Id: id, Code: 200, Orders: orders})
		}
		b.run(2 * eventloop.Second)
		So(b.begun, ShouldHaveLength, 1)
		So(b.worker.Running(), ShouldEqual, 1)
	})
	Convey("An old ward's start that is still on its way does nothing, and the new ward's order begins it once", t, func() {
		b, first := usual(fakeworker.Setup{Fault: faults(agent.Start, fakeworker.Belated), Belated: 700 * eventloop.Millisecond}, nil)
		first.starts = []*schema.TaskOrder{order("start", "j", 0, 1, "run_us=60000000")}
		b.run(100 * eventloop.Millisecond)
		So(b.count(agent.Start), ShouldEqual, 1)
		first.isSilent = true
		second := b.ward("p2", 9, "w1")
		b.run(100 * eventloop.Millisecond)
		So(second.announces[0].Running, ShouldBeEmpty)
		So(second.announces[0].Ended, ShouldBeEmpty)
		b.run(900 * eventloop.Millisecond)
		So(b.begun, ShouldBeEmpty)
		second.starts = first.starts
		b.run(eventloop.Second)
		So(b.begun, ShouldResemble, map[string]int{"j.0.0.0/1": 1})
		So(second.ends, ShouldBeEmpty)
	})
	Convey("An answer of a ward that the cluster state's copy doesn't know yet has the worker looked at first", t, func() {
		b, w := usual(fakeworker.Setup{}, nil)
		b.run(eventloop.Second)
		w.generation = 7
		w.starts = []*schema.TaskOrder{order("start", "j", 0, 1, "run_us=60000000")}
		b.run(eventloop.Second)
		So(b.first("call 3 fence 7"), ShouldBeBetween, -1, b.first("call 1 fence 7"))
		So(b.first("call 1 fence 5"), ShouldEqual, -1)
		So(b.worker.Running(), ShouldEqual, 1)
	})
}

func TestLooksOutOfOrder(t *testing.T) {
	Convey("A look's answer that was sent before a start was answered doesn't undo the start", t, func() {
		b, w := usual(fakeworker.Setup{}, nil)
		b.run(eventloop.Second)
		// The look that is open now comes back late: what it lists was so before.
		look := b.calls[len(b.calls)-1]
		b.delay = func(body any) eventloop.Micros {
			if reply, isReply := body.(agent.Reply); isReply && reply.Number == look.Number {
				return 300 * eventloop.Millisecond
			}
			return hop
		}
		isBack := b.callAt[len(b.callAt)-1] + look.Wait + hop
		b.run(isBack + 10*eventloop.Millisecond - b.now)
		w.starts = []*schema.TaskOrder{order("start", "j", 0, 1, "run_us=60000000")}
		b.run(eventloop.Second)
		So(w.ends, ShouldBeEmpty)
		So(w.last().Running, ShouldHaveLength, 1)
	})
	Convey("An older look that comes after a newer one doesn't bring back what has ended", t, func() {
		b, w := usual(fakeworker.Setup{}, nil)
		w.starts = []*schema.TaskOrder{order("start", "j", 0, 1, "run_us=1400000")}
		b.run(200 * eventloop.Millisecond)
		// The first look that lists the run is held up until its end is noted.
		isHeldUp := false
		b.delay = func(body any) eventloop.Micros {
			if reply, isReply := body.(agent.Reply); isReply && !isHeldUp && len(reply.Running) > 0 {
				isHeldUp = true
				return 2500 * eventloop.Millisecond
			}
			return hop
		}
		w.stops = []*schema.TaskOrder{order("stop", "x", 9, 1, "")} // has the worker looked at besides
		b.run(1600 * eventloop.Millisecond)
		w.stops = []*schema.TaskOrder{order("stop", "y", 9, 1, "")}
		b.run(400 * eventloop.Millisecond)
		So(isHeldUp, ShouldBeTrue)
		So(w.ends, ShouldContain, "j.0.0.0/1 done")
		before := len(w.announces)
		b.run(2 * eventloop.Second)
		for _, a := range w.announces[before:] {
			So(a.Running, ShouldBeEmpty)
		}
		So(w.ends, ShouldHaveLength, 3)
	})
	Convey("After a pause, a list from before it doesn't count as the look that is due", t, func() {
		b, w := usual(fakeworker.Setup{}, nil)
		w.starts = []*schema.TaskOrder{order("start", "j", 0, 1, "run_us=60000000")}
		b.run(2 * eventloop.Second)
		b.isFrozen = true
		b.run(8 * eventloop.Second)
		b.isFrozen = false
		before := len(w.announces)
		b.run(eventloop.Second)
		So(w.announces[before].Running, ShouldBeEmpty)
		So(w.announces[before].Ended, ShouldHaveLength, 1)
	})
}

func TestAgentRestart(t *testing.T) {
	Convey("An agent that has forgotten all learns it from the worker", t, func() {
		b, w := usual(fakeworker.Setup{}, nil)
		w.noteAfter = -1
		w.starts = []*schema.TaskOrder{order("start", "j", 0, 1, "run_us=60000000"), order("start", "j", 1, 1, "run_us=100000")}
		b.run(eventloop.Second)
		So(w.ends, ShouldHaveLength, 1)
		b.table = agent.New(nil, 2000)
		b.tellClusterState()
		w.announces, w.ends, w.heard = nil, nil, map[string]eventloop.Micros{}
		b.run(eventloop.Second)
		So(w.announces[0].Running, ShouldHaveLength, 1)
		So(w.announces[0].Ended, ShouldHaveLength, 1)
		So(w.refused, ShouldEqual, 0)
		w.noteAfter = 0
		b.run(eventloop.Second)
		So(b.worker.Unnoted(), ShouldEqual, 0)
		So(b.begun, ShouldHaveLength, 2)
		So(b.worker.Running(), ShouldEqual, 1)
	})
}

func TestWorkerRestart(t *testing.T) {
	Convey("A new life tells of the one that is over, until a scheduler has answered that", t, func() {
		b, w := usual(fakeworker.Setup{}, nil)
		w.starts = []*schema.TaskOrder{order("start", "j", 0, 1, "run_us=60000000")}
		b.run(2 * eventloop.Second)
		late := b.worker.Beat(b.now)
		late.Number += 100
		b.worker.Live(b.now, "w2")
		b.isMute = true
		sent := len(w.announces)
		b.run(2 * eventloop.Second)
		// Another life answers there: nothing is said for the old one, after what was on its way.
		So(len(w.announces)-sent, ShouldBeLessThanOrEqualTo, 3)
		w.starts, w.loses = nil, func() bool { return true }
		b.isMute = false
		b.move("p1", 6, "w2")
		w.generation, w.announces = 6, nil
		b.run(2 * eventloop.Second)
		So(len(w.announces), ShouldBeGreaterThan, 1)
		for _, a := range w.announces {
			So(a.ReplacedWorkers, ShouldResemble, []string{"w1"})
			So(a.Running, ShouldBeEmpty)
		}
		w.loses = nil
		b.run(2 * eventloop.Second)
		So(w.last().ReplacedWorkers, ShouldBeEmpty)
		// A late word of the dead changes nothing.
		b.mail("", late)
		looks := b.count(agent.Look)
		b.run(2 * eventloop.Second)
		So(w.last().ReplacedWorkers, ShouldBeEmpty)
		So(b.count(agent.Look)-looks, ShouldBeLessThanOrEqualTo, 2)
		for _, call := range b.calls[len(b.calls)-2:] {
			So(call.Worker, ShouldEqual, "w2")
		}
	})
	Convey("A worker that doesn't answer isn't spoken for, and is again when it does", t, func() {
		isDeaf := false
		b, w := usual(fakeworker.Setup{Fault: func(eventloop.Micros, agent.Call) fakeworker.Fault {
			if isDeaf {
				return fakeworker.Lost
			}
			return fakeworker.NoFault
		}}, nil)
		w.starts = []*schema.TaskOrder{order("start", "j", 0, 1, "run_us=60000000")}
		b.run(2 * eventloop.Second)
		isDeaf = true
		// When what it held is over, whatever its clock, that alone is told, and that
		// it has no room.
		for k := 0; k < 4000 && len(w.ends) == 0; k++ {
			b.run(eventloop.Millisecond)
		}
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 lapsed"})
		So(b.worker.Running(), ShouldEqual, 0)
		So(w.last().CoresMilli+w.last().MemoryMb, ShouldEqual, 0)
		b.run(200 * eventloop.Millisecond)
		announces, looks := len(w.announces), b.count(agent.Look)
		b.run(5 * eventloop.Second)
		So(len(w.announces), ShouldEqual, announces)
		So(b.count(agent.Look)-looks, ShouldBeLessThanOrEqualTo, 8)
		isDeaf, w.starts = false, nil
		b.run(2 * eventloop.Second)
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 lapsed"})
	})
	Convey("A worker that didn't answer for a while is renewed in time when it does again", t, func() {
		isDeaf := false
		b, w := usual(fakeworker.Setup{Fault: func(eventloop.Micros, agent.Call) fakeworker.Fault {
			if isDeaf {
				return fakeworker.Lost
			}
			return fakeworker.NoFault
		}}, nil)
		w.starts = []*schema.TaskOrder{order("start", "j", 0, 1, "run_us=60000000")}
		for k := eventloop.Micros(0); k < 10; k++ {
			isDeaf = false
			b.run(3*eventloop.Second + k*100*eventloop.Millisecond)
			isDeaf = true
			b.run(1700 * eventloop.Millisecond)
		}
		So(w.ends, ShouldBeEmpty)
		So(b.worker.Running(), ShouldEqual, 1)
	})
	Convey("A late word of a life that its successor's beat alone told of changes nothing", t, func() {
		b, w := usual(fakeworker.Setup{}, nil)
		b.run(2 * eventloop.Second)
		late := b.worker.Beat(b.now)
		late.Number += 100
		b.worker.Live(b.now, "w2")
		b.beatAt, w.generation = 0, 6
		b.move("p1", 6, "w2")
		b.run(eventloop.Second)
		So(w.last().FencingToken, ShouldEqual, 6)
		from, calls := len(w.announces), len(b.calls)
		b.mail("", late)
		b.run(3 * eventloop.Second)
		for _, a := range w.announces[from:] {
			So(a.ReplacedWorkers, ShouldBeEmpty)
		}
		for _, call := range b.calls[calls:] {
			So(call.Worker, ShouldEqual, "w2")
		}
	})
	Convey("A late word of the dead doesn't push the living aside for good, nor has it told as dead", t, func() {
		b, w := usual(fakeworker.Setup{}, nil)
		w.starts = []*schema.TaskOrder{order("start", "j", 0, 1, "run_us=60000000")}
		b.run(2 * eventloop.Second)
		for _, address := range []string{"side:1", "nowhere"} {
			b.mail("", agent.Beat{Worker: "w0-" + address, Number: 99, Clock: eventloop.Second, Address: address})
			b.run(3 * eventloop.Second)
			So(w.last().ReplacedWorkers, ShouldNotContain, "w1")
			So(w.last().Running, ShouldHaveLength, 1)
			So(b.calls[len(b.calls)-1].Worker, ShouldEqual, "w1")
		}
		So(b.worker.Running(), ShouldEqual, 1)
	})
	Convey("Beats out of order are dropped", t, func() {
		b, w := usual(fakeworker.Setup{Cold: 10 * eventloop.Second}, nil)
		old := b.worker.Beat(b.now)
		old.Cores = 7
		b.run(2 * eventloop.Second)
		b.mail("", old)
		b.run(eventloop.Second)
		So(w.last().CoresMilli, ShouldEqual, 1000)
		So(w.last().WarmUpUs, ShouldBeBetween, int64(6*eventloop.Second), int64(8*eventloop.Second))
	})
}

func TestLeaving(t *testing.T) {
	Convey("A worker that leaves is told of at once and given nothing more; its runs go on until it departs", t, func() {
		b, w := usual(fakeworker.Setup{}, nil)
		w.starts = []*schema.TaskOrder{order("start", "j", 0, 1, "run_us=60000000")}
		b.run(2 * eventloop.Second)
		b.worker.Leave(b.now, 5*eventloop.Second)
		beat := b.worker.Beat(b.now)
		b.mail("", beat)
		b.run(4 * hop)
		So(w.last().Draining, ShouldBeTrue)
		So(w.last().DepartsInUs, ShouldBeBetween, int64(4900*eventloop.Millisecond), int64(5000*eventloop.Millisecond)+1)
		w.starts = append(w.starts, order("start", "j", 1, 1, "run_us=60000000"))
		b.run(2 * eventloop.Second)
		So(b.count(agent.Start), ShouldEqual, 1)
		So(w.ends, ShouldResemble, []string{"j.0.0.1/1 stopped"})
		So(b.worker.Running(), ShouldEqual, 1)
		// The last announce may be as old as its answer may be held back.
		So(w.last().DepartsInUs, ShouldBeBetween, int64(3*eventloop.Second), int64(3450*eventloop.Millisecond))
		w.starts = nil
		b.run(3 * eventloop.Second)
		b.mail("", agent.Departed{Worker: "w1"})
		b.run(4 * hop)
		So(w.ends, ShouldResemble, []string{"j.0.0.1/1 stopped", "j.0.0.0/1 stopped"})
		b.mail("", beat)
		calls := len(b.calls)
		b.run(eventloop.Second)
		So(b.calls, ShouldHaveLength, calls)
	})
}

func TestFrozenAgent(t *testing.T) {
	Convey("After a pause that its lease outlasts, the hold is renewed before it ends", t, func() {
		b, w := usual(fakeworker.Setup{}, nil)
		w.starts = []*schema.TaskOrder{order("start", "j", 0, 1, "run_us=600000000")}
		b.run(eventloop.Second)
		for k := eventloop.Micros(0); k < 20; k++ {
			b.run(3*eventloop.Second + k*70*eventloop.Millisecond)
			b.isFrozen = true
			// As late as there is time for a look, an announce and a look.
			left := b.worker.HeldTo() - b.worker.Clock(b.now)
			b.run(left - 10*hop - agent.Pace)
			b.isFrozen = false
		}
		So(w.ends, ShouldBeEmpty)
		So(b.worker.Running(), ShouldEqual, 1)
	})
	Convey("After a pause the worker is looked at before anything is announced or begun", t, func() {
		b, w := usual(fakeworker.Setup{}, nil)
		w.starts = []*schema.TaskOrder{order("start", "j", 0, 1, "run_us=60000000"), order("start", "j", 1, 1, "run_us=3000000")}
		b.run(2 * eventloop.Second)
		b.isFrozen = true
		w.starts = append(w.starts, order("start", "j", 2, 1, "run_us=60000000"))
		b.run(6 * eventloop.Second)
		b.isFrozen = false
		sent := len(b.log)
		b.run(eventloop.Second)
		So(b.log[sent], ShouldEqual, "call 3 fence 5")
		sort.Strings(w.ends)
		So(w.ends, ShouldResemble, []string{"j.0.0.0/1 lapsed", "j.0.0.1/1 done"})
		So(b.worker.Running(), ShouldEqual, 1)
		So(b.begun["j.0.0.2/1"], ShouldEqual, 1)
	})
}
