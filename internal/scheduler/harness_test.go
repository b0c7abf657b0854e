package scheduler

import (
	"fmt"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// harness drives a scheduler step by step. It stands in for the leaders of the queues and for
// the workers, and records what the scheduler sends.
type harness struct {
	scheduler *Scheduler
	now       eventloop.Micros
	notified  []any // messages to other components of the node
	replies   []*schema.WorkerPollResponse
	polls     uint64 // number of polls that workers have sent
	lastJob   uint64 // latest job that a helper such as finishTask has created
}

func (h *harness) Send(_ string, body any) {
	if reply, ok := body.(*schema.WorkerPollResponse); ok {
		h.replies = append(h.replies, reply)
	}
}

func (h *harness) SendToAddress(string, any) {}

func (h *harness) Respond(uint64, any) {}

func (h *harness) Notify(_ string, m any) { h.notified = append(h.notified, m) }

func (h *harness) deliver(body any) {
	h.scheduler.Step(h.now, eventloop.Message{From: "front", Body: body}, h)
}

// confirmLeadership confirms that this node leads queue l, and whether its cluster state is current.
func (h *harness) confirmLeadership(isClusterState bool) {
	h.deliver(replica.LeadershipStatus{Terms: map[string]uint64{"l#1": 1}, IsClusterStateFresh: isClusterState})
}

func (h *harness) lastReply() *schema.WorkerPollResponse { return h.replies[len(h.replies)-1] }

// newHarness returns a harness whose scheduler holds the leases of the workers and has no queues.
func newHarness(workers ...string) *harness {
	h := &harness{scheduler: New("me"), now: 100 * eventloop.Second, lastJob: 100}
	state := &schema.ClusterState{Version: 1, Configuration: &schema.Configuration{}}
	for k, w := range workers {
		state.WorkerLeases = append(state.WorkerLeases, &schema.WorkerLease{Worker: w, Scheduler: "me", FencingToken: uint64(k + 1)})
	}
	h.deliver(&schema.ClusterStateResponse{State: state, Version: 1})
	h.confirmLeadership(true)
	return h
}

// sendHeartbeat sends a poll with the worker's heartbeat, which change may modify.
func (h *harness) sendHeartbeat(worker string, change func(*schema.WorkerHeartbeat)) {
	h.polls++
	a := &schema.WorkerHeartbeat{Incarnation: 1, Seq: h.polls, CoresMilli: 1000, MemoryMb: 1000, Rack: "r1", MaxWaitUs: int64(maxPollWait)}
	if change != nil {
		change(a)
	}
	h.deliver(&schema.WorkerPollRequest{Id: h.polls, Worker: worker, Heartbeat: a})
}

// newEvent returns an event for a task of the first step of a job. Unless the task is ready, its attempt is 1.
func newEvent(sequence, job uint64, task uint32, state queue.Status, worker string, step *schema.Step) *queue.TaskEvent {
	attempt := uint32(0)
	if state != queue.Ready {
		attempt = 1
	}
	return &queue.TaskEvent{
		Sequence: sequence, Key: schema.TaskKey{Job: job, Task: task}, Status: state, Attempt: attempt, Worker: worker, Incarnation: 1,
		Name: fmt.Sprint("j", job), Spec: step,
	}
}

// deliverEvents delivers events of queue l, or a snapshot of all its tasks.
func (h *harness) deliverEvents(isSnapshot bool, sequence uint64, list ...*queue.TaskEvent) {
	h.deliver(replica.TaskEvents{Queue: "l", Group: "l#1", Term: 1, LastSequence: sequence, Events: list, IsSnapshot: isSnapshot, MaxRunning: 1000})
}

// placements returns the placements of all checkouts that the scheduler has proposed.
func (h *harness) placements() []*schema.Placement {
	var placements []*schema.Placement
	for _, message := range h.notified {
		if propose, ok := message.(replica.Propose); ok {
			placements = append(placements, propose.Command.GetCheckout().GetPlacements()...)
		}
	}
	return placements
}

// endReports returns the ends that the scheduler has reported to queues.
func (h *harness) endReports() []*schema.TaskEndReport {
	var list []*schema.TaskEndReport
	for _, tell := range h.notified {
		if e, ok := tell.(replica.TasksEnded); ok {
			list = append(list, e.Reports...)
		}
	}
	return list
}

var oneTask = &schema.Step{Name: "s", Tasks: 1, CoresMilli: 600, MemoryMb: 100}

// configure delivers a cluster state with these configuration rows, every queue that they
// name, and the leases of the workers.
func (h *harness) configure(rows []*schema.ConfigurationRow, workers ...string) {
	state := &schema.ClusterState{Version: 2, Configuration: &schema.Configuration{Rows: rows}}
	for k, w := range workers {
		state.WorkerLeases = append(state.WorkerLeases, &schema.WorkerLease{Worker: w, Scheduler: "me", FencingToken: uint64(k + 1)})
	}
	seen := map[string]bool{}
	for _, row := range rows {
		if row.Kind == "queue" && !seen[row.Name] {
			seen[row.Name] = true
			state.Queues = append(state.Queues, &schema.QueuePlacement{Queue: row.Name, Generation: 1})
		}
	}
	h.deliver(&schema.ClusterStateResponse{State: state, Version: 2})
}

func queueRow(name, key, value string) *schema.ConfigurationRow {
	return &schema.ConfigurationRow{Kind: "queue", Name: name, Key: key, Value: value}
}

// advance lets time pass in ticks while this node's leadership of queues l, m and k stays confirmed.
func (h *harness) advance(span eventloop.Micros) {
	for end := h.now + span; h.now < end; {
		h.now += min(TickInterval, end-h.now)
		h.deliver(replica.LeadershipStatus{Terms: map[string]uint64{"l#1": 1, "m#1": 1, "k#1": 1}, IsClusterStateFresh: true})
		h.deliver(eventloop.Tick{})
	}
}

// syncQueue confirms this node's leadership and delivers a snapshot of a queue's tasks.
func (h *harness) syncQueue(name string, urgency int64, list ...*queue.TaskEvent) {
	h.deliver(replica.LeadershipStatus{Terms: map[string]uint64{"l#1": 1, "m#1": 1, "k#1": 1}, IsClusterStateFresh: true})
	h.deliver(replica.TaskEvents{Queue: name, Group: name + "#1", Term: 1, LastSequence: 1, Events: list, IsSnapshot: true, MaxRunning: 1000, Urgency: urgency})
}

// withNames makes a heartbeat one of an agent, which identifies tasks by job name, and applies change.
func withNames(change func(*schema.WorkerHeartbeat)) func(*schema.WorkerHeartbeat) {
	return func(a *schema.WorkerHeartbeat) {
		a.TasksByName = true
		if change != nil {
			change(a)
		}
	}
}

func withRunning(statuses ...*schema.TaskStatus) func(*schema.WorkerHeartbeat) {
	return withNames(func(a *schema.WorkerHeartbeat) { a.Running = statuses })
}

func withEnded(statuses ...*schema.TaskStatus) func(*schema.WorkerHeartbeat) {
	return withNames(func(a *schema.WorkerHeartbeat) { a.Ended = statuses })
}

// ordersOf returns the orders with this action in the responses with index from and later.
func (h *harness) ordersOf(from int, action string) []*schema.TaskOrder {
	var list []*schema.TaskOrder
	for _, reply := range h.replies[from:] {
		for _, order := range reply.GetOrders().GetOrders() {
			if order.Action == action {
				list = append(list, order)
			}
		}
	}
	return list
}

// withCriticalPath sets the age of a ready task's round and a critical path of one step.
func withCriticalPath(s *queue.TaskEvent, age eventloop.Micros, estimate eventloop.Micros) *queue.TaskEvent {
	path := []queue.PathStep{{EstimateUs: int64(estimate), CoresMilli: s.Spec.CoresMilli}}
	s.RoundAgeUs, s.CriticalPath, s.RemainingPath = int64(age), path, path
	return s
}

// deliverNext delivers events of queue l one by one, each with the next sequence number.
func (h *harness) deliverNext(list ...*queue.TaskEvent) {
	for _, event := range list {
		event.Sequence = h.scheduler.queues["l"].lastSequence + 1
		h.deliverEvents(false, event.Sequence, event)
	}
}

// finishTask makes a worker report one task of a new job as done, with the given run time.
func (h *harness) finishTask(worker string, step *schema.Step, run eventloop.Micros) {
	h.lastJob++
	h.deliverNext(newEvent(0, h.lastJob, 0, queue.CheckedOut, worker, step))
	h.sendHeartbeat(worker, withEnded(&schema.TaskStatus{Name: fmt.Sprint("j", h.lastJob), Attempt: 1, State: "done", RunUs: int64(run)}))
	h.deliverNext(newEvent(0, h.lastJob, 0, queue.Inactive, "", step))
}

// newQualityHarness returns a harness with three workers a, b and c, and with unresponsive ones that
// never sent a heartbeat. Workers b and c have each finished the given number of tasks of a step,
// in a second per task.
func newQualityHarness(finished int, step *schema.Step, unresponsive ...string) *harness {
	h := newHarness(append([]string{"a", "b", "c"}, unresponsive...)...)
	h.deliverEvents(true, 0)
	for _, id := range []string{"a", "b", "c"} {
		h.sendHeartbeat(id, withNames(nil))
	}
	for range finished {
		h.finishTask("b", step, eventloop.Second)
		h.finishTask("c", step, eventloop.Second)
	}
	return h
}
