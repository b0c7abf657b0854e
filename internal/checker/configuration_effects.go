package checker

import (
	"sort"
	"strconv"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// effectsCheck tracks which tasks run on which workers, and compares them with the
// configurations that may be in force.
type effectsCheck struct {
	*analysis
	accepted []*Event                   // accepted configurations, by version
	racks    map[string]string          // by worker
	pools    map[string]string          // by worker
	running  map[string]map[taskID]bool // by queue
	// isUnclear reports that a configuration got no answer or 504, so it is unknown whether it
	// was accepted. Its queues may then exist or not.
	isUnclear bool
}

// checkConfigurationEffects checks that all nodes apply a configuration soon after it was
// accepted: which queues exist, which racks have weight 0, and the queues' pools and limits.
func (a *analysis) checkConfigurationEffects() {
	c := &effectsCheck{analysis: a, racks: map[string]string{}, pools: map[string]string{}, running: map[string]map[taskID]bool{}}
	c.readConfigurations()
	if len(c.accepted) == 0 {
		return
	}
	for k := range a.history {
		e := &a.history[k]
		switch e.Kind {
		case WorkerUp:
			c.racks[e.Actor], c.pools[e.Actor] = e.Rack, e.Pool
		case SubmitReply:
			c.checkQueueKnown(e)
		case TaskStart:
			c.checkStartPlace(e)
			c.checkRunningLimit(e)
		case TaskEnd:
			delete(c.running[e.Queue], e.taskID())
		case WorkerGone, WorkerPaused:
			c.dropEndedRuns(e)
		}
	}
}

func (c *effectsCheck) readConfigurations() {
	for k := range c.history {
		e := &c.history[k]
		if e.Kind != ConfigurationReply {
			continue
		}
		if e.Code == 200 && e.Rows != nil {
			c.accepted = append(c.accepted, e)
		}
		c.isUnclear = c.isUnclear || e.Code == 0 || e.Code == 504
	}
	// An operator that resends an older configuration may learn late that it was accepted.
	sort.SliceStable(c.accepted, func(i, j int) bool { return c.accepted[i].Version < c.accepted[j].Version })
}

// holdsInEveryConfiguration reports whether the condition is true for every configuration
// that may be in force during the interval: those accepted within the propagation time before
// it, and the newest one before those. A configuration may be in force from the time it was
// sent, because its answer may have been late. The result is false while no configuration must
// be in force yet.
func (c *effectsCheck) holdsInEveryConfiguration(from, to eventloop.Micros, condition func(rows []*schema.ConfigurationRow) bool) bool {
	found := false
	for k, accepted := range c.accepted {
		isSuperseded := k+1 < len(c.accepted) && c.accepted[k+1].At+c.tolerances.Propagation <= from
		if isSuperseded || accepted.sentAt() > to {
			continue
		}
		if accepted.At+c.tolerances.Propagation <= from {
			found = true
		}
		if !condition(accepted.Rows) {
			return false
		}
	}
	return found
}

// checkQueueKnown checks that a gateway accepts jobs for the configuration's queues only, and
// reports none of those queues as unknown.
func (c *effectsCheck) checkQueueKnown(e *Event) {
	if c.isUnclear {
		return
	}
	has := func(rows []*schema.ConfigurationRow) bool { return hasQueue(rows, e.Queue) }
	hasNot := func(rows []*schema.ConfigurationRow) bool { return !hasQueue(rows, e.Queue) }
	if e.Code == 404 && c.holdsInEveryConfiguration(e.sentAt(), e.At, has) {
		c.report(ruleConfiguration, e.At, "%s answers that the queue %s doesn't exist, but the configuration contains it", e.Gateway, e.Queue)
	}
	if e.Code == 201 && c.holdsInEveryConfiguration(e.sentAt(), e.At, hasNot) {
		c.report(ruleConfiguration, e.At, "%s accepts a job for the queue %s, which the configuration doesn't contain", e.Gateway, e.Queue)
	}
}

// checkStartPlace checks that no task starts in a rack of weight 0, nor on a called worker
// outside its queue's pool.
func (c *effectsCheck) checkStartPlace(e *Event) {
	rack, pool := c.racks[e.Actor], c.pools[e.Actor]
	isDrained := func(rows []*schema.ConfigurationRow) bool { return rowValue(rows, "rack", rack, "weight") == "0" }
	isOtherPool := func(rows []*schema.ConfigurationRow) bool { return rowValue(rows, "queue", e.Queue, "pool") != pool }
	if c.holdsInEveryConfiguration(e.At, e.At, isDrained) {
		c.report(ruleConfiguration, e.At, "a task starts on %s in rack %s, whose weight is 0", e.Actor, rack)
	}
	if e.IsCalled && c.holdsInEveryConfiguration(e.At, e.At, isOtherPool) {
		c.report(ruleConfiguration, e.At, "a task of the queue %s starts on %s, which belongs to the pool %q", e.Queue, e.Actor, pool)
	}
}

// checkRunningLimit checks that the number of running tasks of a queue stays within the
// queue's limit.
func (c *effectsCheck) checkRunningLimit(e *Event) {
	if c.running[e.Queue] == nil {
		c.running[e.Queue] = map[taskID]bool{}
	}
	c.running[e.Queue][e.taskID()] = true
	count := len(c.running[e.Queue])
	isOverLimit := func(rows []*schema.ConfigurationRow) bool {
		limit, err := strconv.Atoi(rowValue(rows, "queue", e.Queue, "running"))
		return err == nil && count > limit
	}
	if c.holdsInEveryConfiguration(e.At, e.At, isOverLimit) {
		c.report(ruleConfiguration, e.At, "%d tasks of the queue %s run, more than the configuration allows", count, e.Queue)
	}
}

// dropEndedRuns removes the tasks whose runs ended with the event's worker, because the history
// has no TaskEnd for them.
func (c *effectsCheck) dropEndedRuns(e *Event) {
	for _, tasks := range c.running {
		for id := range tasks {
			for _, run := range c.jobs[id.jobKey].runs[id] {
				if run.worker == e.Actor && run.end <= e.At && run.end > 0 {
					delete(tasks, id)
				}
			}
		}
	}
}
