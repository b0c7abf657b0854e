package checker

// The rules on jobs and tasks.

import (
	"fmt"
	"sort"

	"sparnotch/internal/eventloop"
)

func (j *judge) judgeJob(a *account, closed eventloop.Micros) {
	name := a.key.queue + "/" + a.key.name
	// 1: accepted, so it ends; and until well after its end it is known.
	if a.isTaken && !a.isOver {
		j.breach(1, closed, "%s was accepted at %d and had not ended at the close", name, a.accepted)
	}
	// The end counts from when the last of it was seen to end, which may be
	// before anybody asked.
	endAt := a.endAt()
	for _, s := range a.statuses {
		isKept := !a.isOver || s.At < endAt+j.bounds.Kept
		if s.Code == 404 && s.Kind != HandInReply && a.isTaken && s.sent() > a.accepted && isKept {
			j.breach(1, s.At, "%s was accepted at %d and is unknown to %s", name, a.accepted, s.Front)
			break
		}
	}
	// A job that is made a second time was forgotten in between.
	if a.created > 1 && closed < endAt+j.bounds.Kept {
		j.breach(1, closed, "%s was made %d times", name, a.created)
	}
	// 2: one name, one job; one task, one stint at a time.
	if len(a.ids) > 1 {
		j.breach(2, a.accepted, "%s ran as %d jobs", name, len(a.ids))
	}
	ids := make([]taskId, 0, len(a.stints))
	for id := range a.stints {
		ids = append(ids, id)
	}
	sortIDs(ids)
	for _, id := range ids {
		j.judgeTask(a, id, a.stints[id], closed)
	}
	// 3: nothing runs that nobody asked for, or that was only ever turned away.
	if len(ids) > 0 && a.sent == 0 && a.isCalled {
		j.breach(3, a.stints[ids[0]][0].begin, "%s runs though nobody handed it in", name)
	}
	if len(ids) > 0 && a.sent > 0 && a.refused == a.sent {
		j.breach(3, a.stints[ids[0]][0].begin, "%s ran though every hand-in was turned away", name)
	}
	if a.spec == nil {
		return
	}
	j.judgeOrder(a, name, ids)
	j.judgeComplete(a, name)
	j.judgeGroups(a, name, closed)
	if a.isCalled {
		j.judgeCalled(a, name, ids)
	}
}

// endAt is when the job's last task ended, as far as it was seen; without any,
// when somebody was first told that it is over.
func (a *account) endAt() eventloop.Micros {
	last := eventloop.Micros(0)
	for _, list := range a.stints {
		for _, s := range list {
			if s.end > last && s.end <= a.overAt {
				last = s.end
			}
		}
	}
	if last == 0 {
		return a.overAt
	}
	return last
}

// isAmid tells whether a fault, or trouble of the worker, lies so near that
// what is asked of the system may take a whole recovery.
func (j *judge) isAmid(worker string, from, to eventloop.Micros) bool {
	for _, list := range [][]eventloop.Micros{j.faults, j.troubles[worker]} {
		for _, at := range list {
			if at > from-j.bounds.Away && at < to {
				return true
			}
		}
	}
	return false
}

func (j *judge) judgeTask(a *account, id taskId, list []*stint, closed eventloop.Micros) {
	what := fmt.Sprintf("%s/%s step %d task %d", id.queue, id.name, id.step, id.task)
	sort.SliceStable(list, func(x, y int) bool { return list[x].begin < list[y].begin })
	failures := uint32(0)
	allowed := ^uint32(0)
	if step := a.step(id.step); step != nil && !step.RunUntilCancelled {
		allowed = step.AllowedFailures
	}
	for k, s := range list {
		for _, other := range list[:k] {
			if s.end == s.begin && s.isResumed {
				continue
			}
			if other.end == 0 || other.end > s.begin {
				j.breach(2, s.begin, "%s runs on %s while it runs on %s since %d", what, s.worker, other.worker, other.begin)
			}
		}
		// 5: `failures` are those known before this stint began. What a worker
		// that is cut off hasn't been able to tell, nobody can count; from the
		// answer to its word on it counts.
		failures = 0
		for _, other := range list[:k] {
			if a.isCalled {
				break
			}
			if other.outcome == "failed" && other.reported > 0 && other.reported <= s.begin {
				failures++
			}
		}
		if failures > allowed && !s.isResumed {
			j.breach(5, s.begin, "%s runs again after %d failures, %d were allowed", what, failures, allowed)
		}
		// 8: nothing starts long after a cancel, nor runs on when told to stop.
		if a.cancelled > 0 && s.begin > a.cancelled+j.bounds.Cancel && !s.isResumed && !s.isLate {
			j.breach(8, s.begin, "%s starts %d us after its job was cancelled", what, s.begin-a.cancelled)
		}
		// What runs when the cancel is confirmed is told so, in the same span.
		if a.cancelled > 0 && !s.isLate && s.begin <= a.cancelled && (s.end == 0 || s.end > a.cancelled) && !s.isResumed {
			until := a.cancelled + j.bounds.Cancel + j.bounds.Stop
			if j.isAmid(s.worker, a.cancelled, until) {
				until += j.bounds.Away
			}
			if s.end > until || s.end == 0 && until < closed {
				j.breach(8, s.begin, "%s runs on %d us after its job was cancelled", what, max(s.end, until)-a.cancelled)
			}
		}
		if s.told > 0 && (s.end == 0 || s.end > s.told+j.bounds.Stop) {
			j.breach(8, s.told, "%s runs on after it was told to stop", what)
		}
	}
}

// judgeOrder: 4, steps after their dependencies, timed jobs after their time.
func (j *judge) judgeOrder(a *account, name string, ids []taskId) {
	index := map[string]int{}
	for k, step := range a.spec.Steps {
		index[step.Name] = k
	}
	for _, id := range ids {
		step := a.step(id.step)
		if step == nil {
			continue
		}
		round := int(id.step) / len(a.spec.Steps)
		for _, s := range a.stints[id] {
			due := a.firstSent + eventloop.Micros(a.spec.DelayUs+int64(round)*a.spec.PeriodUs)
			if due > a.firstSent && a.spec.StartUnixUs == 0 && s.begin < due-j.bounds.Early {
				j.breach(4, s.begin, "%s starts round %d %d us early", name, round, due-s.begin)
			}
			moment := a.spec.StartUnixUs + int64(round)*a.spec.PeriodUs
			if wall, isKnown := j.wallAt(s.begin); a.spec.StartUnixUs > 0 && isKnown && wall < moment-int64(j.bounds.Early) {
				j.breach(4, s.begin, "%s starts round %d %d us before its moment", name, round, moment-wall)
			}
			for _, dependency := range step.Dependencies {
				d := index[dependency]
				for t := uint32(0); t < a.spec.Steps[d].Tasks; t++ {
					if !a.doneBy(taskId{a.key, id.job, uint32(round*len(a.spec.Steps) + d), t}, s.begin) {
						j.breach(4, s.begin, "%s step %d starts before task %d of step %q is done", name, id.step, t, dependency)
					}
				}
			}
		}
	}
}

// wallAt is what a right clock showed at a moment.
func (j *judge) wallAt(at eventloop.Micros) (int64, bool) {
	if len(j.walls) == 0 {
		return 0, false
	}
	return j.walls[0].Wall + int64(at-j.walls[0].At), true
}

func (a *account) doneBy(id taskId, at eventloop.Micros) bool {
	if step := a.step(id.step); step != nil && a.isGathered(step) {
		for t := uint32(0); t < step.Tasks; t++ {
			id.task = t
			if a.isDoneBy(id, at) {
				return true
			}
		}
		return false
	}
	return a.isDoneBy(id, at)
}

func (a *account) isDoneBy(id taskId, at eventloop.Micros) bool {
	for _, s := range a.stints[id] {
		if s.outcome == "done" && s.end <= at {
			return true
		}
	}
	return false
}

// judgeComplete: 9, shown complete only when every task is done and none runs,
// by whatever answer shows it; and what is over stays as it ended.
func (j *judge) judgeComplete(a *account, name string) {
	for _, s := range a.statuses {
		if s.Code >= 300 || !isOver(s.State) {
			continue
		}
		for _, later := range a.statuses {
			if later.Code < 300 && later.State != "" && later.sent() > s.At && later.State != s.State {
				j.breach(9, later.At, "%s was shown %s at %d and is shown %s", name, s.State, s.At, later.State)
				return
			}
		}
		break
	}
	for _, s := range a.statuses {
		if s.Code >= 300 || s.State != "complete" {
			continue
		}
		for k := range a.steps() {
			step := a.step(uint32(k))
			for t := uint32(0); t < step.Tasks; t++ {
				isDone := false
				for id := range a.ids {
					task := taskId{a.key, id, uint32(k), t}
					isDone = isDone || a.doneBy(task, s.At)
					for _, run := range a.stints[task] {
						if !run.isResumed && !a.isGathered(step) && (run.end == 0 || run.end > s.At) {
							j.breach(9, s.At, "%s is shown complete, step %d task %d runs", name, k, t)
						}
					}
				}
				if !isDone {
					j.breach(9, s.At, "%s is shown complete, step %d task %d isn't done", name, k, t)
				}
			}
		}
		return
	}
}
