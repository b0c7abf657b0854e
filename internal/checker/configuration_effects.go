package checker

import (
	"sort"
	"strconv"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// effectsCheck follows what runs where, against the configurations that may be in force.
type effectsCheck struct {
	*analysis
	accepted []*Event // accepted configurations, by version
	racks    map[string]string
	pools    map[string]string
	running  map[string]map[taskID]bool // by queue
	// isUnclear: a configuration was sent of which nobody knows whether it was accepted;
	// queues may then come and go as it says.
	isUnclear bool
}

// checkConfigurationEffects: what a configuration says is done everywhere soon after it was
// accepted: the coming and going of queues, racks of weight 0, the queues' pools and limits.
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
	// Who sends one again may learn late that an older one was accepted.
	sort.SliceStable(c.accepted, func(i, j int) bool { return c.accepted[i].Version < c.accepted[j].Version })
}

// holdsInEveryConfiguration reports whether something holds in every configuration that may be in force in an
// interval: those of the last propagation, and the newest before it. A configuration whose
// answer was late may be in force since it was sent.
func (c *effectsCheck) holdsInEveryConfiguration(from, to eventloop.Micros, condition func(rows []*schema.ConfigurationRow) bool) bool {
	found := false
	for k, accepted := range c.accepted {
		isSuperseded := k+1 < len(c.accepted) && c.accepted[k+1].At+c.bounds.Propagation <= from
		if isSuperseded || accepted.sentAt() > to {
			continue
		}
		if accepted.At+c.bounds.Propagation <= from {
			found = true
		}
		if !condition(accepted.Rows) {
			return false
		}
	}
	return found
}

// checkQueueKnown: a gateway knows the configuration's queues, and no others.
func (c *effectsCheck) checkQueueKnown(e *Event) {
	if c.isUnclear {
		return
	}
	has := func(rows []*schema.ConfigurationRow) bool { return hasQueue(rows, e.Queue) }
	hasNot := func(rows []*schema.ConfigurationRow) bool { return !hasQueue(rows, e.Queue) }
	if e.Code == 404 && c.holdsInEveryConfiguration(e.sentAt(), e.At, has) {
		c.report(ruleConfiguration, e.At, "%s doesn't know the queue %s, which the configuration has", e.Gateway, e.Queue)
	}
	if e.Code == 201 && c.holdsInEveryConfiguration(e.sentAt(), e.At, hasNot) {
		c.report(ruleConfiguration, e.At, "%s takes a job for the queue %s, which the configuration doesn't have", e.Gateway, e.Queue)
	}
}

// checkStartPlace: nothing starts in a rack of weight 0, nor on a called worker of another
// pool than its queue's.
func (c *effectsCheck) checkStartPlace(e *Event) {
	rack, pool := c.racks[e.Actor], c.pools[e.Actor]
	isDrained := func(rows []*schema.ConfigurationRow) bool { return rowValue(rows, "rack", rack, "weight") == "0" }
	isOtherPool := func(rows []*schema.ConfigurationRow) bool { return rowValue(rows, "queue", e.Queue, "pool") != pool }
	if c.holdsInEveryConfiguration(e.At, e.At, isDrained) {
		c.report(ruleConfiguration, e.At, "work starts on %s in rack %s, whose weight is 0", e.Actor, rack)
	}
	if e.IsCalled && c.holdsInEveryConfiguration(e.At, e.At, isOtherPool) {
		c.report(ruleConfiguration, e.At, "work of the queue %s starts on %s, whose pool is %q", e.Queue, e.Actor, pool)
	}
}

// checkRunningLimit: no more tasks of a queue run than its limit.
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

// dropEndedRuns removes the tasks that ended with their worker, which nobody reported.
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
