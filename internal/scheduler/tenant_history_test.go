package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// logEntry is a proposal in the log of queue l: either a checkout or another change.
type logEntry struct {
	checkout *schema.Checkout
	change   func()
}

// history drives a scheduler through random events of queue l and tracks which tasks may run.
type history struct {
	*harness
	term      uint64
	limit     resources
	tasks     map[taskKey]*queue.TaskEvent                 // tasks that are ready, checked out or stopping
	attempts  map[taskKey]uint32                           // latest attempt of each task
	log       []logEntry                                   // proposed but not committed
	running   map[string]map[attemptKey]*schema.TaskStatus // runs by the worker that lists them
	ended     map[string]map[attemptKey]*schema.TaskStatus // ends by the worker that lists them
	leadsAll  bool                                         // this node leads queue m as well as l
	sequence  uint64
	violation string // latest violation that was found; empty: none
}

var historyWorkers = []string{"v", "w"}

func newHistory() *history {
	h := &history{
		harness: newHarness(historyWorkers...), term: 1, limit: resources{1000, 1000, 2}, tasks: map[taskKey]*queue.TaskEvent{},
		attempts: map[taskKey]uint32{}, running: map[string]map[attemptKey]*schema.TaskStatus{}, ended: map[string]map[attemptKey]*schema.TaskStatus{},
	}
	for _, worker := range historyWorkers {
		h.running[worker], h.ended[worker] = map[attemptKey]*schema.TaskStatus{}, map[attemptKey]*schema.TaskStatus{}
	}
	h.setLimit(h.limit)
	h.setLeadsOtherQueue(true)
	h.resync()
	return h
}

// setLimit changes the limit of tenants t and u.
func (h *history) setLimit(limit resources) {
	h.limit = limit
	rows := []*schema.ConfigurationRow{queueRow("l", "urgency", "10"), queueRow("m", "urgency", "10")}
	for _, tenant := range []string{"t", "u"} {
		rows = append(rows, tenantRow(tenant, "max_cores_milli", limit.cores), tenantRow(tenant, "max_memory_mb", limit.memory), tenantRow(tenant, "max_accelerators", limit.accelerators))
	}
	h.configure(rows, historyWorkers...)
}

// confirm delivers a status that confirms which queues this node leads.
func (h *history) confirm() {
	terms := map[string]uint64{"l#1": h.term}
	if h.leadsAll {
		terms["m#1"] = 1
	}
	h.deliver(replica.LeadershipStatus{Terms: terms, IsClusterStateFresh: true})
}

// setLeadsOtherQueue makes this node lead queue m as well, or makes it lose queue m.
func (h *history) setLeadsOtherQueue(isLed bool) {
	h.leadsAll = isLed
	h.confirm()
	if isLed {
		h.deliver(replica.TaskEvents{Queue: "m", Group: "m#1", Term: 1, IsSnapshot: true, MaxRunning: 1000})
	} else {
		h.deliver(replica.LeadershipLost{Queue: "m"})
	}
}

// resync delivers a snapshot of the tasks of queue l.
func (h *history) resync() {
	h.confirm()
	keys := slices.SortedFunc(maps.Keys(h.tasks), compareTaskKeys)
	list := make([]*queue.TaskEvent, 0, len(keys))
	for _, key := range keys {
		list = append(list, h.tasks[key])
	}
	h.deliver(replica.TaskEvents{Queue: "l", Group: "l#1", Term: h.term, LastSequence: h.sequence, Events: list, IsSnapshot: true, MaxRunning: 1000})
}

// elect makes this node lead queue l in a new term. Proposals that aren't committed are lost.
func (h *history) elect() {
	h.term++
	h.log = nil
	h.resync()
}

// change makes the queue commit a task's new state.
func (h *history) change(key taskKey, event *queue.TaskEvent) {
	h.sequence++
	event.Sequence, event.Attempt = h.sequence, h.attempts[key]
	if event.Status == queue.Inactive {
		delete(h.tasks, key)
	} else {
		h.tasks[key] = event
	}
	h.deliver(replica.TaskEvents{Queue: "l", Group: "l#1", Term: h.term, LastSequence: h.sequence, Events: []*queue.TaskEvent{event}, MaxRunning: 1000})
}

// submit commits the ready tasks of a new job.
func (h *history) submit(tenant string, job uint64, step *schema.Step) {
	for k := range step.Tasks {
		h.change(taskKey{"l", job, 0, k}, forTenant(tenant, newEvent(0, job, k, queue.Ready, "", step)))
	}
}

func (h *history) propose(change func()) { h.log = append(h.log, logEntry{change: change}) }

// commit makes the queue commit the oldest proposal.
func (h *history) commit() {
	if len(h.log) == 0 {
		return
	}
	entry := h.log[0]
	h.log = h.log[1:]
	if entry.change != nil {
		entry.change()
	} else {
		h.checkOut(entry.checkout)
	}
}

// checkOut checks out those tasks of a checkout that are still ready.
func (h *history) checkOut(checkout *schema.Checkout) {
	for _, placement := range checkout.Placements {
		key := keyOfPlacement(placement)
		if t := h.tasks[key]; t != nil && t.Status == queue.Ready {
			h.attempts[key]++
			h.change(key, forTenant(t.Tenant, newEvent(0, key.job, key.task, queue.CheckedOut, placement.Worker, t.Spec)))
		}
	}
}

// startRun makes a worker list a task that is checked out to it as running.
func (h *history) startRun(key taskKey) {
	t := h.tasks[key]
	attempt := attemptKey{key, t.Attempt}
	if h.ended[t.Worker][attempt] != nil {
		return
	}
	h.running[t.Worker][attempt] = &schema.TaskStatus{
		Name: t.Name, Task: key.task, Attempt: t.Attempt, State: "running", Tenant: t.Tenant,
		CoresMilli: t.Spec.CoresMilli, MemoryMb: t.Spec.MemoryMb, Accelerators: t.Spec.Accelerators,
	}
	h.reportStatuses(t.Worker)
}

// endRun makes a worker list the end of a run.
func (h *history) endRun(worker string, attempt attemptKey) {
	status := h.running[worker][attempt]
	delete(h.running[worker], attempt)
	h.ended[worker][attempt] = &schema.TaskStatus{Name: status.Name, Task: status.Task, Attempt: status.Attempt, State: "done"}
	h.reportStatuses(worker)
}

// reportStatuses sends a heartbeat with all runs and ends that a worker lists.
func (h *history) reportStatuses(worker string) {
	h.sendHeartbeat(worker, withAmpleCapacity(func(a *schema.WorkerHeartbeat) {
		for _, key := range slices.SortedFunc(maps.Keys(h.running[worker]), attemptKey.compare) {
			a.Running = append(a.Running, h.running[worker][key])
		}
		for _, key := range slices.SortedFunc(maps.Keys(h.ended[worker]), attemptKey.compare) {
			a.Ended = append(a.Ended, h.ended[worker][key])
		}
	}))
}

// letTimePass lets time pass in ticks. The workers go on sending heartbeats, because the lease of
// a silent worker would end and its runs would no longer count.
func (h *history) letTimePass(span eventloop.Micros) {
	for end := h.now + span; h.now < end; {
		h.now += min(TickInterval, end-h.now)
		h.confirm()
		h.deliver(eventloop.Tick{})
		if h.now%(unresponsiveTimeout/2) < TickInterval {
			for _, worker := range historyWorkers {
				h.reportStatuses(worker)
			}
		}
	}
}

// unitUse holds the resources that a tenant's tasks may use, by task, or by gang since a gang runs as a whole.
type unitUse map[string]resources

func (u unitUse) add(t *queue.TaskEvent) {
	unit := t.Name
	if !t.Spec.Gang {
		unit = fmt.Sprint(t.Name, ".", t.Key.Task)
	}
	sum := u[unit]
	sum.add(resourcesOf(t.Spec))
	u[unit] = sum
}

// mayRun returns the resources of all that may run for a tenant: tasks that are checked out and not
// listed as ended, ready tasks with a proposed checkout, and other runs that workers list.
func (h *history) mayRun(tenant string) unitUse {
	use := unitUse{}
	for key, t := range h.tasks {
		if t.Tenant == tenant && t.Status != queue.Ready && h.ended[t.Worker][attemptKey{key, t.Attempt}] == nil {
			use.add(t)
		}
	}
	for key := range h.tasksWithProposedCheckout() {
		if t := h.tasks[key]; t.Tenant == tenant {
			use.add(t)
		}
	}
	for worker, runs := range h.running {
		for attempt, status := range runs {
			t := h.tasks[attempt.taskKey]
			isOut := t != nil && t.Status != queue.Ready && t.Worker == worker && t.Attempt == attempt.attempt
			if status.Tenant == tenant && !isOut {
				use[fmt.Sprint(status.Name, ".", status.Task, " attempt ", status.Attempt)] = reportedUsage(status)
			}
		}
	}
	return use
}

// takeCheckouts appends the proposed checkouts to the log, and checks the limit after each placement.
func (h *history) takeCheckouts() {
	for _, message := range h.notified {
		propose, isPropose := message.(replica.Propose)
		if !isPropose || propose.Term != h.term || propose.Command.GetCheckout() == nil {
			continue
		}
		placedCheckout, alreadyProposed := &schema.Checkout{}, h.tasksWithProposedCheckout()
		h.log = append(h.log, logEntry{checkout: placedCheckout})
		for _, placement := range propose.Command.GetCheckout().Placements {
			placedCheckout.Placements = append(placedCheckout.Placements, placement)
			// A task with an earlier proposed checkout may be placed again, even if the limit is lower now.
			if key := keyOfPlacement(placement); !alreadyProposed[key] {
				h.checkLimit(h.tasks[key])
			}
		}
	}
	h.notified = nil
}

func keyOfPlacement(placement *schema.Placement) taskKey {
	return taskKey{"l", placement.Key.Job, placement.Key.Step, placement.Key.Task}
}

// tasksWithProposedCheckout returns the ready tasks with a checkout that is proposed but not committed.
func (h *history) tasksWithProposedCheckout() map[taskKey]bool {
	tasks := map[taskKey]bool{}
	for _, entry := range h.log {
		for _, placement := range entry.checkout.GetPlacements() {
			if t := h.tasks[keyOfPlacement(placement)]; t != nil && t.Status == queue.Ready {
				tasks[keyOfPlacement(placement)] = true
			}
		}
	}
	return tasks
}

// onlyKindsNeededBy returns r with the kinds of resource set to 0 of which a task needs none.
func (r resources) onlyKindsNeededBy(need resources) resources {
	if need.cores == 0 {
		r.cores = 0
	}
	if need.memory == 0 {
		r.memory = 0
	}
	if need.accelerators == 0 {
		r.accelerators = 0
	}
	return r
}

// checkLimit records a violation if a task that was just placed exceeds its tenant's limit. A task
// or gang that is larger than the limit may run alone.
func (h *history) checkLimit(placed *queue.TaskEvent) {
	if placed.Tenant == "" {
		return
	}
	use := h.mayRun(placed.Tenant)
	var sum resources
	for _, size := range use {
		sum.add(size)
	}
	if !h.limit.covers(sum.onlyKindsNeededBy(resourcesOf(placed.Spec))) && len(use) > 1 {
		h.violation = fmt.Sprintf("job %s was placed for tenant %s, whose tasks may then use %+v; the limit is %+v", placed.Name, placed.Tenant, use, h.limit)
	}
	if !h.leadsAll {
		h.violation = fmt.Sprintf("job %s was placed although another node leads a queue", placed.Name)
	}
}

// changeCheckedOut changes the state of a task if it is checked out.
func (h *history) changeCheckedOut(key taskKey, status queue.Status) {
	if out := h.tasks[key]; out != nil && out.Status == queue.CheckedOut {
		worker := out.Worker
		if status == queue.Ready {
			worker = ""
		}
		h.change(key, forTenant(out.Tenant, newEvent(0, key.job, key.task, status, worker, out.Spec)))
	}
}

// historySteps lists the events of a history. Each entry is drawn with the same probability.
var historySteps = []string{
	"submit", "submit", "submit", "commit", "commit", "commit", "commit", "commit all", "begin", "begin", "end", "end", "settle", "settle",
	"stop", "lose", "forget", "pass", "pass long", "beat", "beat", "resync", "elect", "lead", "limit",
}

// drawStep makes rapid draw the next event and carries it out.
func (h *history) drawStep(t *rapid.T, job uint64) {
	anyOf := func(status queue.Status) (taskKey, bool) {
		keys := slices.SortedFunc(maps.Keys(h.tasks), compareTaskKeys)
		keys = slices.DeleteFunc(keys, func(key taskKey) bool { return h.tasks[key].Status != status })
		if len(keys) == 0 {
			return taskKey{}, false
		}
		return rapid.SampledFrom(keys).Draw(t, "task"), true
	}
	worker := rapid.SampledFrom(historyWorkers).Draw(t, "worker")
	switch rapid.SampledFrom(historySteps).Draw(t, "step") {
	case "submit":
		tenant, step := rapid.SampledFrom([]string{"t", "t", "u", ""}).Draw(t, "tenant"), drawTask(t)
		h.propose(func() { h.submit(tenant, job, step) })
	case "commit":
		h.commit()
	case "commit all":
		for range len(h.log) {
			h.commit()
		}
	case "begin":
		if key, found := anyOf(queue.CheckedOut); found {
			h.startRun(key)
		}
	case "end":
		if runs := slices.SortedFunc(maps.Keys(h.running[worker]), attemptKey.compare); len(runs) > 0 {
			h.endRun(worker, rapid.SampledFrom(runs).Draw(t, "run"))
		}
	case "settle":
		h.propose(func() { h.settleEnds(worker) })
	case "stop":
		if key, found := anyOf(queue.CheckedOut); found {
			h.propose(func() { h.changeCheckedOut(key, queue.Stopping) })
		}
	case "lose": // the queue makes a task ready again although its attempt may still run
		if key, found := anyOf(queue.CheckedOut); found && h.running[h.tasks[key].Worker][attemptKey{key, h.tasks[key].Attempt}] != nil {
			h.propose(func() { h.changeCheckedOut(key, queue.Ready) })
		}
	case "forget": // a worker lists a run that no queue knows
		name := fmt.Sprint("gone", job)
		h.running[worker][attemptKey{taskKey{"?", job, 0, 0}, 1}] = &schema.TaskStatus{Name: name, Attempt: 1, State: "running", Tenant: "t", CoresMilli: 200, MemoryMb: 100}
		h.reportStatuses(worker)
	case "pass":
		h.letTimePass(eventloop.Micros(rapid.Int64Range(1, 800).Draw(t, "ms")) * eventloop.Millisecond)
	case "pass long":
		h.letTimePass(reservationTimeout + eventloop.Second)
	case "beat":
		h.reportStatuses(worker)
	case "resync":
		h.resync()
	case "elect":
		h.elect()
	case "lead":
		h.setLeadsOtherQueue(!h.leadsAll)
	case "limit":
		h.setLimit(resources{rapid.Int64Range(1, 3).Draw(t, "limit") * 500, 1000, 2})
	}
}

// settleEnds makes the queue commit the ends that a worker lists.
func (h *history) settleEnds(worker string) {
	for _, attempt := range slices.SortedFunc(maps.Keys(h.ended[worker]), attemptKey.compare) {
		delete(h.ended[worker], attempt)
		if t := h.tasks[attempt.taskKey]; t != nil && t.Attempt == attempt.attempt && t.Status != queue.Ready {
			h.change(attempt.taskKey, newEvent(0, attempt.job, attempt.task, queue.Inactive, "", t.Spec))
		}
	}
}

// drawTask returns a random step of one to three tasks, which may be a gang.
func drawTask(t *rapid.T) *schema.Step {
	step := &schema.Step{
		Name: "s", Tasks: uint32(rapid.IntRange(1, 3).Draw(t, "tasks")),
		CoresMilli:   rapid.SampledFrom([]int64{200, 400, 600, 1300}).Draw(t, "cores"),
		MemoryMb:     rapid.SampledFrom([]int64{10, 400}).Draw(t, "memory"),
		Accelerators: rapid.Int64Range(0, 1).Draw(t, "accelerators"),
	}
	step.Gang = step.Tasks > 1 && rapid.Bool().Draw(t, "gang")
	return step
}

// Guards against exceeding a tenant's limit after checkouts that are committed late, attempts that
// workers still run although they are no longer checked out, losses of leadership and changes of
// the limit.
func TestNoHistoryExceedsATenantsLimit(t *testing.T) {
	const maxSteps = 60
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory()
		for _, worker := range historyWorkers {
			h.reportStatuses(worker)
		}
		for job := range uint64(rapid.IntRange(5, maxSteps).Draw(t, "steps")) {
			h.drawStep(t, job+1)
			h.takeCheckouts()
			if h.violation != "" {
				t.Fatal(h.violation)
			}
		}
	})
}
