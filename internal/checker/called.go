package checker

import (
	"slices"
	"sort"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// OfCalled are the bounds where workers are called.
var OfCalled = Bounds{
	Kept: 120 * eventloop.Second, Early: 250 * eventloop.Millisecond, Leave: 2 * eventloop.Second, Cancel: 3 * eventloop.Second,
	Stop: eventloop.Second, Plan: 2 * eventloop.Second, Away: 12 * eventloop.Second, Together: 5 * eventloop.Second, Struck: eventloop.Second, Settle: 5 * eventloop.Second,
	Idle: 3 * eventloop.Second,
}

// judgeCalled is what holds of a job whose workers are called: they name tasks
// by their job, list each end until it is noted, and have the members of a
// group wait for each other.
func (j *judge) judgeCalled(a *account, name string, ids []taskId) {
	for _, id := range ids {
		step := a.step(id.step)
		if step == nil || id.task >= step.Tasks {
			j.breach(3, a.stints[id][0].begin, "%s step %d task %d runs, which it hasn't", name, id.step, id.task)
			continue
		}
		for _, s := range a.stints[id] {
			j.judgeStart(a, name, id, step, s)
			if s.outcome == "alone" && !(a.askedEnd > 0 && a.askedEnd <= s.end) && !j.isNear(s.begin, s.end) {
				j.breach(10, s.end, "%s step %d: task %d ends alone on %s, and no trouble is near", name, id.step, id.task, s.worker)
			}
		}
	}
	j.judgeShown(a, name, ids)
}

func (j *judge) judgeStart(a *account, name string, id taskId, step *schema.Step, s *stint) {
	// 3: what is started is what was handed in, from progress of its own.
	if s.text != a.spec.Text {
		j.breach(3, s.begin, "%s step %d task %d starts with the text %q", name, id.step, id.task, s.text)
	}
	if s.saved != "" && !a.hasSaved(id, step, s.saved, s.begin) {
		j.breach(3, s.begin, "%s step %d task %d starts from %q, which isn't its progress", name, id.step, id.task, s.saved)
	}
	if step.Gang {
		for t := uint32(0); t < id.task; t++ {
			for _, other := range a.stints[taskId{id.jobKey, id.job, id.step, t}] {
				if other.attempt == s.attempt && other.saved != s.saved {
					j.breach(3, s.begin, "%s step %d: tasks %d and %d start from other progress in attempt %d", name, id.step, t, id.task, s.attempt)
				}
			}
		}
	}
	if step.RunUntilCancelled {
		return
	}
	// 2: an end that was noted, or is later, holds for good.
	members := []uint32{id.task}
	if a.isGathered(step) {
		members = nil
		for t := uint32(0); t < step.Tasks; t++ {
			members = append(members, t)
		}
	}
	failed := map[uint32]bool{}
	for _, t := range members {
		for _, other := range a.stints[taskId{id.jobKey, id.job, id.step, t}] {
			// Members of one start are told one by one.
			if other.noted == 0 || other.end > s.begin || other.attempt == s.attempt {
				continue
			}
			switch other.outcome {
			case "done":
				j.breach(2, s.begin, "%s step %d task %d starts after task %d was done at %d, noted at %d", name, id.step, id.task, t, other.end, other.noted)
			case "failed":
				failed[other.attempt] = true
			}
		}
	}
	// 5: one run of a group fails once.
	if len(failed) > int(step.AllowedFailures) {
		j.breach(5, s.begin, "%s step %d task %d starts after %d failures, %d were allowed", name, id.step, id.task, len(failed), step.AllowedFailures)
	}
}

// hasSaved tells whether a text was left by a run of the task, or of its group.
func (a *account) hasSaved(id taskId, step *schema.Step, saved string, at eventloop.Micros) bool {
	for t := uint32(0); t < step.Tasks; t++ {
		if t != id.task && !a.isGathered(step) {
			continue
		}
		for _, e := range a.kept[taskId{id.jobKey, id.job, id.step, t}] {
			if e.Saved == saved && e.At <= at {
				return true
			}
		}
	}
	return false
}

// isNear tells whether a fault or the trouble of any worker lies near.
func (j *judge) isNear(from, to eventloop.Micros) bool {
	for _, list := range [][]eventloop.Micros{j.faults, j.sick} {
		for _, at := range list {
			if at > from-j.bounds.Away && at <= to {
				return true
			}
		}
	}
	return false
}

// judgeShown: 1, a job is shown failed or cancelled only with a cause.
func (j *judge) judgeShown(a *account, name string, ids []taskId) {
	for _, s := range a.statuses {
		switch {
		case s.Code >= 300:
		case s.State == "cancelled" && (a.askedEnd == 0 || a.askedEnd > s.At):
			j.breach(1, s.At, "%s is shown cancelled, and nobody asked for that", name)
			return
		case s.State == "failed" && !a.isFailed(ids, s.At):
			j.breach(1, s.At, "%s is shown failed, and no task failed as often as allowed", name)
			return
		}
	}
}

func (a *account) isFailed(ids []taskId, at eventloop.Micros) bool {
	failed := map[taskId]map[uint32]bool{}
	for _, id := range ids {
		step := a.step(id.step)
		if step == nil {
			continue
		}
		key := id
		if a.isGathered(step) {
			key.task = 0
		}
		if failed[key] == nil {
			failed[key] = map[uint32]bool{}
		}
		for _, s := range a.stints[id] {
			if s.outcome == "failed" && s.end <= at {
				failed[key][s.attempt] = true
			}
		}
		if len(failed[key]) > int(step.AllowedFailures) {
			return true
		}
	}
	return false
}

// places: 6 as well, where a task may stand: on a worker with its labels, and
// with no more of its step than allowed.
func (j *judge) places(history []Event) {
	labels := map[string][]string{}
	count := map[string]map[taskId]int{} // by worker and step
	for k := range history {
		e := &history[k]
		if !e.IsCalled {
			continue
		}
		id := e.id()
		id.task = 0
		switch e.Kind {
		case Up:
			labels[e.Who], count[e.Who] = e.Labels, map[taskId]int{}
		case Begin:
			a := j.accounts[id.jobKey]
			step := a.step(e.Step)
			if step == nil || count[e.Who] == nil {
				continue
			}
			for _, label := range step.Labels {
				if !slices.Contains(labels[e.Who], label) {
					j.breach(6, e.At, "%s/%s step %d starts on %s, which lacks the label %s", e.Queue, e.Name, e.Step, e.Who, label)
				}
			}
			count[e.Who][id]++
			if step.MaxPerWorker > 0 && count[e.Who][id] > int(step.MaxPerWorker) {
				j.breach(6, e.At, "%s/%s step %d: %d tasks run on %s, %d may", e.Queue, e.Name, e.Step, count[e.Who][id], e.Who, step.MaxPerWorker)
			}
		case End:
			if count[e.Who] != nil {
				count[e.Who][id]--
			}
		}
	}
}

// sortIDs puts tasks in their order.
func sortIDs(ids []taskId) {
	sort.Slice(ids, func(x, y int) bool {
		if ids[x].step != ids[y].step {
			return ids[x].step < ids[y].step
		}
		return ids[x].task < ids[y].task
	})
}
