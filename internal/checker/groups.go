package checker

// The rules on tasks that run together.

import (
	"sparnotch/internal/eventloop"
)

// judgeGroups: 10, whoever begins sees all the others begin.
func (j *judge) judgeGroups(a *account, name string, closed eventloop.Micros) {
	for k := range a.steps() {
		step := a.step(uint32(k))
		if !step.Gang || step.Tasks < 2 || a.isCalled {
			continue
		}
		for job := range a.ids {
			for t := uint32(0); t < step.Tasks; t++ {
				for _, s := range a.stints[taskId{a.key, job, uint32(k), t}] {
					if s.begin+j.bounds.Together > closed || s.isResumed {
						continue
					}
					for other := uint32(0); other < step.Tasks; other++ {
						id := taskId{a.key, job, uint32(k), other}
						if a.beganNear(id, s.begin, j.bounds.Together) {
							continue
						}
						if !j.isUnavoidable(a, s, a.holds[id]) {
							j.breach(10, s.begin, "%s step %d: task %d begins and task %d doesn't", name, k, t, other)
						} else if until := s.begin + j.bounds.Away; s.end > until || s.end == 0 && until < closed {
							j.breach(10, s.begin, "%s step %d: task %d runs on though task %d never began", name, k, t, other)
						}
					}
				}
			}
		}
	}
}

// isUnavoidable tells whether no scheduler could have kept the group whole:
// the worker that held the other member was lost in the moment between the
// last word of it and its start, the job was being cancelled, or the member
// that did begin had failed by itself before the other's order could arrive.
func (j *judge) isUnavoidable(a *account, s *stint, holds []Event) bool {
	if a.askedEnd > 0 && a.askedEnd < s.begin+j.bounds.Together {
		return true
	}
	if s.outcome == "failed" && s.end < s.begin+100*eventloop.Millisecond {
		return true
	}
	for k := len(holds) - 1; k >= 0; k-- {
		if holds[k].At > s.begin {
			continue
		}
		for _, at := range j.troubles[holds[k].Who] {
			if at > s.begin-j.bounds.Struck && at < s.begin+j.bounds.Struck {
				return true
			}
		}
		return false
	}
	return false
}

func (a *account) beganNear(id taskId, at, span eventloop.Micros) bool {
	for _, s := range a.stints[id] {
		if s.begin > at-span && s.begin < at+span {
			return true
		}
	}
	return false
}
