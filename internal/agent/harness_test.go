package agent_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sort"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/agent"
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
	"sparnotch/internal/schema"
)

// messageDelay is the default time that a message takes.
const messageDelay = eventloop.Millisecond

// fakeScheduler is a scripted scheduler. It repeats its orders of starts and stops until
// polls show that they have been carried out.
type fakeScheduler struct {
	id               string
	fencingToken     uint64
	lease            eventloop.Micros
	acknowledgeAfter eventloop.Micros // time from the first report of an end to its acknowledgement; below 0: ends are never acknowledged
	inspectionPause  eventloop.Micros // sent with all orders
	isUnresponsive   bool
	repeatsOrders    bool        // it orders attempts again even after it has acknowledged their end
	losesReply       func() bool // reports whether the next answer is lost; nil: none is lost
	starts           []*schema.TaskOrder
	stops            []*schema.TaskOrder
	heartbeats       []*schema.WorkerHeartbeat
	firstReported    map[string]eventloop.Micros // when each end was first reported
	ends             []string                    // reported ends, each once: attempt name and state
	openPoll         *schema.WorkerPollRequest   // poll that isn't answered yet; nil: none is open
	pollDeadline     eventloop.Micros            // when openPoll must be answered
	sequence         uint64                      // sequence number of the last accepted poll
	rejected         int                         // number of rejected polls
	leaseEndsAt      eventloop.Micros            // end of the run lease that the last answer granted, by the scheduler's clock
}

func newFakeScheduler(id string, token uint64) *fakeScheduler {
	return &fakeScheduler{id: id, fencingToken: token, lease: 4 * eventloop.Second, firstReported: map[string]eventloop.Micros{}}
}

func attemptName(job string, round, stepInRound, task, attempt uint32) string {
	return fmt.Sprintf("%s.%d.%d.%d/%d", job, round, stepInRound, task, attempt)
}

func statusName(status *schema.TaskStatus) string {
	return attemptName(status.Name, status.Round, status.StepInRound, status.Task, status.Attempt)
}
func orderName(order *schema.TaskOrder) string {
	return attemptName(order.Name, order.Round, order.StepInRound, order.Task, order.Attempt)
}

func newOrder(action, job string, task, attempt uint32, text string) *schema.TaskOrder {
	return &schema.TaskOrder{Action: action, Name: job, Task: task, Attempt: attempt, Text: text, CoresMilli: 100}
}

// harness connects an agent, a worker that the agent calls, and fake schedulers. They run
// in virtual time.
type harness struct {
	now                 eventloop.Micros
	events              []func() // pending events in the order of eventTimes
	eventTimes          []eventloop.Micros
	agent               *agent.Agent
	worker              *fakeworker.CalledWorker
	schedulers          map[string]*fakeScheduler
	relays              map[string]*fakeRelay
	calls               []agent.Call
	callTimes           []eventloop.Micros
	log                 []string                    // calls and polls in the order they were sent
	registrations       int                         // number of requests to register the worker
	startCounts         map[string]int              // number of starts at the worker, by attempt name
	startTimes          map[string]eventloop.Micros // time of the last start at the worker, by attempt name
	onStart             func(key string)
	messageDelay        func(body any) eventloop.Micros // returns the time that a message takes; nil: the constant messageDelay for all
	withholdsHeartbeats bool                            // the worker sends no heartbeats
	isPaused            bool                            // the agent takes no steps
	mailbox             []eventloop.Message
	nextHeartbeat       eventloop.Micros
	nextTick            eventloop.Micros
	clusterState        *schema.ClusterState
	pollTimes           map[uint64]eventloop.Micros // when each poll was sent, by sequence number
}

func newHarness(config fakeworker.Config, bounds *schema.Bounds) *harness {
	h := &harness{
		now: 20 * eventloop.Second, agent: agent.New(bounds, 1000), schedulers: map[string]*fakeScheduler{}, startCounts: map[string]int{}, startTimes: map[string]eventloop.Micros{},
		clusterState: &schema.ClusterState{Version: 1}, pollTimes: map[uint64]eventloop.Micros{},
	}
	config.Bounds, config.Address = bounds, "side:1"
	if config.Cores == 0 {
		config.Cores, config.Memory = 1000, 1000
	}
	config.OnEvent = func(now eventloop.Micros, kind string, run fakeworker.RunID, state string) {
		if kind == fakeworker.EventBegin {
			key := attemptName(run.Task.Job, run.Task.Round, run.Task.StepInRound, run.Task.Task, run.Attempt)
			h.startCounts[key]++
			h.startTimes[key] = now
			if h.onStart != nil {
				h.onStart(key)
			}
		}
	}
	h.worker = fakeworker.NewCalledWorker(h.now, "w1", config, nil)
	return h
}

// newDefaultHarness returns a harness with one scheduler, which holds the worker's lease.
func newDefaultHarness(config fakeworker.Config, bounds *schema.Bounds) (*harness, *fakeScheduler) {
	h := newHarness(config, bounds)
	s := h.addScheduler("p1", 5, "w1")
	return h, s
}

func (h *harness) addScheduler(id string, token uint64, worker string) *fakeScheduler {
	s := newFakeScheduler(id, token)
	h.schedulers[id] = s
	h.moveLease(id, token, worker)
	return s
}

// moveLease gives the worker's lease to a scheduler, and publishes the cluster state.
func (h *harness) moveLease(id string, token uint64, worker string) {
	state := proto.Clone(h.clusterState).(*schema.ClusterState)
	state.Version++
	state.WorkerLeases = slices.DeleteFunc(state.WorkerLeases, func(w *schema.WorkerLease) bool { return w.Worker == worker })
	state.WorkerLeases = append(state.WorkerLeases, &schema.WorkerLease{Worker: worker, Scheduler: id, FencingToken: token})
	// Worker leases must be sorted by worker, because the lookup is a binary search.
	slices.SortFunc(state.WorkerLeases, func(x, y *schema.WorkerLease) int { return cmp.Compare(x.Worker, y.Worker) })
	h.clusterState = state
	h.publishClusterState()
}

func (h *harness) publishClusterState() {
	h.after(messageDelay, func() {
		h.deliver("", &schema.ClusterStateResponse{State: h.clusterState, Version: h.clusterState.Version, Leaders: map[string]string{clusterstate.GroupName: "p1"}})
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
			heartbeat := h.worker.Heartbeat(h.now)
			h.after(messageDelay, func() { h.deliver("", heartbeat) })
		}
		for _, id := range slices.Sorted(maps.Keys(h.schedulers)) {
			h.replyToPoll(h.schedulers[id])
		}
		if h.isPaused {
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

func (h *harness) SendToAddress(string, any) {}
func (h *harness) Respond(uint64, any)       {}

func (h *harness) Notify(component string, body any) {
	call := body.(agent.Call)
	h.calls, h.callTimes = append(h.calls, call), append(h.callTimes, h.now)
	h.log = append(h.log, fmt.Sprintf("call %d token %d", call.Action, call.FencingToken))
	h.after(h.delayOf(call), func() {
		h.worker.HandleCall(h.now, call, func(reply agent.Reply) { h.after(h.delayOf(reply), func() { h.deliver("", reply) }) })
	})
}

func (h *harness) Send(to string, body any) {
	switch m := body.(type) {
	case *schema.Request:
		h.registrations++
	case *schema.WorkerPollRequest:
		h.log = append(h.log, fmt.Sprintf("poll %s token %d", to, m.Heartbeat.FencingToken))
		h.pollTimes[m.Id] = h.now
		if relay := h.relays[to]; relay != nil {
			m = proto.Clone(m).(*schema.WorkerPollRequest)
			h.after(h.delayOf(m), func() { h.relayPoll(to, relay, m) })
		}
		if s := h.schedulers[to]; s != nil {
			m = proto.Clone(m).(*schema.WorkerPollRequest)
			h.after(h.delayOf(m), func() { h.handlePoll(s, m) })
		}
	}
}

func (h *harness) handlePoll(s *fakeScheduler, m *schema.WorkerPollRequest) {
	if s.isUnresponsive {
		return
	}
	heartbeat := m.Heartbeat
	if heartbeat.Seq <= s.sequence || heartbeat.FencingToken > s.fencingToken {
		s.rejected++
		h.after(messageDelay, func() { h.deliver(s.id, &schema.WorkerPollResponse{Id: m.Id, Scheduler: s.id}) })
		return
	}
	s.sequence = heartbeat.Seq
	s.heartbeats = append(s.heartbeats, heartbeat)
	for _, status := range heartbeat.Ended {
		if key := statusName(status); s.firstReported[key] == 0 {
			s.firstReported[key] = h.now
			s.ends = append(s.ends, key+" "+status.State)
		}
	}
	s.openPoll, s.pollDeadline = m, h.now+eventloop.Micros(heartbeat.MaxWaitUs)
}

// replyToPoll answers the open poll as soon as there are orders or acknowledgements, or
// at the poll's deadline.
func (h *harness) replyToPoll(s *fakeScheduler) {
	if s.openPoll == nil || s.isUnresponsive {
		return
	}
	heartbeat := s.openPoll.Heartbeat
	orders := &schema.WorkerOrders{FencingToken: s.fencingToken, LeaseUs: int64(s.lease), Scheduler: s.id, InspectionPauseUs: int64(s.inspectionPause)}
	running, ended := map[string]bool{}, map[string]bool{}
	for _, status := range heartbeat.Running {
		running[statusName(status)] = true
	}
	for _, status := range heartbeat.Ended {
		key := statusName(status)
		ended[key] = true
		if s.acknowledgeAfter >= 0 && h.now-s.firstReported[key] >= s.acknowledgeAfter {
			orders.Acknowledged = append(orders.Acknowledged, &schema.TaskStatus{Name: status.Name, Round: status.Round, StepInRound: status.StepInRound, Task: status.Task, Attempt: status.Attempt})
		}
	}
	for _, o := range s.starts {
		if key := orderName(o); !running[key] && !ended[key] && (s.firstReported[key] == 0 || s.repeatsOrders) {
			orders.Orders = append(orders.Orders, o)
		}
	}
	for _, o := range s.stops {
		if key := orderName(o); !ended[key] && s.firstReported[key] == 0 {
			orders.Orders = append(orders.Orders, o)
		}
	}
	if len(orders.Orders)+len(orders.Acknowledged) == 0 && h.now < s.pollDeadline {
		return
	}
	id := s.openPoll.Id
	if s.losesReply != nil && s.losesReply() {
		s.openPoll = nil
		return
	}
	s.leaseEndsAt = h.pollTimes[id] + s.lease
	reply := &schema.WorkerPollResponse{Id: id, Code: 200, Orders: orders, Scheduler: s.id}
	from := s.id
	if s.openPoll.Scheduler != "" {
		from = "relay"
	}
	s.openPoll = nil
	if relay := h.relays[from]; relay != nil && relay.isSilent {
		return
	}
	h.after(h.delayOf(reply), func() { h.deliver(from, reply) })
}

func (h *harness) count(action agent.Action) int {
	count := 0
	for _, call := range h.calls {
		if call.Action == action {
			count++
		}
	}
	return count
}

// logIndex returns the index of a line in the log, or -1 if the log doesn't contain it.
func (h *harness) logIndex(line string) int { return slices.Index(h.log, line) }

func (s *fakeScheduler) lastHeartbeat() *schema.WorkerHeartbeat {
	return s.heartbeats[len(s.heartbeats)-1]
}

// faultSequence returns a fault function that applies the faults, one each, to the first
// calls with the given action. Later calls and calls with other actions have no fault.
func faultSequence(action agent.Action, faults ...fakeworker.Fault) func(eventloop.Micros, agent.Call) fakeworker.Fault {
	return func(_ eventloop.Micros, call agent.Call) fakeworker.Fault {
		if call.Action != action || len(faults) == 0 {
			return fakeworker.NoFault
		}
		next := faults[0]
		faults = faults[1:]
		return next
	}
}

// faultWhile returns a fault function that loses every request while the flag is set.
func faultWhile(isUnresponsive *bool) func(eventloop.Micros, agent.Call) fakeworker.Fault {
	return func(eventloop.Micros, agent.Call) fakeworker.Fault {
		if *isUnresponsive {
			return fakeworker.FaultRequestLost
		}
		return fakeworker.NoFault
	}
}

// faultOn returns a fault function that applies the fault to every call with the given
// action.
func faultOn(action agent.Action, fault fakeworker.Fault) func(eventloop.Micros, agent.Call) fakeworker.Fault {
	return func(_ eventloop.Micros, call agent.Call) fakeworker.Fault {
		if call.Action == action {
			return fault
		}
		return fakeworker.NoFault
	}
}
