package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
)

// ReportComponent is the component that the scheduler notifies of its reports.
const ReportComponent = "reporter"

// reportInterval is the time between two reports of a pool.
const reportInterval = 2 * eventloop.Second

// PoolReport says what the cores of one pool do, and what became of the steps that ended since
// the report before. It is made of pools in which work waits or has ended.
type PoolReport struct {
	Pool   string
	Cores  PoolCores
	Queues []QueueReport // by name
}

// PoolCores are milli cores of all workers of a pool, by what they do.
type PoolCores struct {
	Total        int64
	Used         int64 // by tasks that may stay
	Stopping     int64 // by tasks that are being stopped
	Free         int64 // on workers that get new tasks
	Ejected      int64 // free on workers that are ejected or on probation
	Draining     int64 // free on workers that drain
	Unresponsive int64 // free on workers that aren't heard
}

// QueueReport is one queue's part of a pool's report.
type QueueReport struct {
	Queue   string
	Used    int64        // milli cores
	Waiting WaitingCores // of ready tasks
	Sizes   []SizeReport // smallest first
	Preempted,
	SlowEvicted int // tasks stopped for more urgent ones, and because their worker seemed slow
}

// WaitingCores are the milli cores that ready tasks want, by whether their jobs can meet the
// latency target.
type WaitingCores struct{ OnTime, Late, Infeasible int64 }

// SizeReport is of the steps of jobs of about one size that have ended. A step whose job was
// cancelled or has failed counts as ended.
type SizeReport struct {
	// CoreSeconds bounds the work of a round of these jobs from above; it is at least half of it.
	CoreSeconds float64
	Steps       int
	// RoundsOnTime, RoundsLate and RoundsMissed are rounds that ended within the latency target,
	// within lateFactor times that, and later.
	RoundsOnTime, RoundsLate, RoundsMissed int
	// Means in µs, from the first task's being ready to the first and the last placement, to
	// the end of most tasks, and to the last end.
	FirstPlaced, LastPlaced, MostEnded, Ended eventloop.Micros
	Reruns                                    rerunCounts
}

// sizeTotals are sums for a SizeReport.
type sizeTotals struct{ SizeReport }

// queueTotals is what a queue's next report will say.
type queueTotals struct {
	bySize      map[int]*sizeTotals // by workRank of the round
	preempted   int
	slowEvicted int
}

// reportStep adds a step that has ended to the totals of its queue; t is its last task.
func (s *Scheduler) reportStep(now eventloop.Micros, q *queueView, t *task, progress *stepProgress) {
	rank := workRank(t.wholeRound)
	totals := q.totals.bySize[rank]
	if totals == nil {
		totals = &sizeTotals{SizeReport{CoreSeconds: math.Ldexp(1, rank)}}
		q.totals.bySize[rank] = totals
	}
	totals.Steps++
	totals.FirstPlaced += cmp.Or(progress.firstPlacedAt, now) - progress.readyAt
	totals.LastPlaced += cmp.Or(progress.lastPlacedAt, now) - progress.readyAt
	totals.MostEnded += cmp.Or(progress.mostEndedAt, now) - progress.readyAt
	totals.Ended += now - progress.readyAt
	totals.Reruns.add(progress.rerunCounts)
	if len(t.remaining) == 1 {
		totals.countRound(float64(now-t.roundDueAt), s.allowedDuration(q, t)/estimateTolerance)
	}
}

// countRound counts a round that took so long, in µs, by its target; 0: it has none.
func (t *sizeTotals) countRound(age, target float64) {
	switch {
	case target == 0 || age <= target:
		t.RoundsOnTime++
	case age <= lateFactor*target:
		t.RoundsLate++
	default:
		t.RoundsMissed++
	}
}

// report is the totals' report with means in place of sums.
func (t *sizeTotals) report() SizeReport {
	report := t.SizeReport
	steps := eventloop.Micros(report.Steps)
	report.FirstPlaced /= steps
	report.LastPlaced /= steps
	report.MostEnded /= steps
	report.Ended /= steps
	return report
}

// sendReports notifies of the pools in which work waits or steps have ended.
func (s *Scheduler) sendReports(now eventloop.Micros, effects eventloop.Effects) {
	if now-s.lastReportAt < reportInterval {
		return
	}
	s.lastReportAt = now
	byPool := map[string][]QueueReport{}
	for _, name := range slices.Sorted(maps.Keys(s.queues)) {
		q := s.queues[name]
		report := s.reportQueue(now, q)
		if q.readyCount > 0 || len(report.Sizes) > 0 {
			byPool[s.poolOf(q)] = append(byPool[s.poolOf(q)], report)
		}
	}
	for _, pool := range slices.Sorted(maps.Keys(byPool)) {
		effects.Notify(ReportComponent, PoolReport{Pool: pool, Cores: s.poolCores(now, pool), Queues: byPool[pool]})
	}
}

// reportQueue makes a queue's report, and its totals anew.
func (s *Scheduler) reportQueue(now eventloop.Micros, q *queueView) QueueReport {
	report := QueueReport{
		Queue: q.name, Used: q.usage.cores, Waiting: s.waitingCores(now, q),
		Preempted: q.totals.preempted, SlowEvicted: q.totals.slowEvicted,
	}
	for _, rank := range slices.Sorted(maps.Keys(q.totals.bySize)) {
		report.Sizes = append(report.Sizes, q.totals.bySize[rank].report())
	}
	q.totals = newQueueTotals()
	return report
}

func newQueueTotals() queueTotals { return queueTotals{bySize: map[int]*sizeTotals{}} }

// waitingCores sums what a queue's ready tasks want; all tasks of a step are of the class of
// its first.
func (s *Scheduler) waitingCores(now eventloop.Micros, q *queueView) (waiting WaitingCores) {
	for _, group := range q.byShape {
		group.steps.Ascend(func(step *stepQueue) bool {
			switch s.feasibilityOf(now, q, step.first()) {
			case late:
				waiting.Late += step.cores()
			case infeasible:
				waiting.Infeasible += step.cores()
			default:
				waiting.OnTime += step.cores()
			}
			return true
		})
	}
	return waiting
}

func (s *Scheduler) poolCores(now eventloop.Micros, pool string) (cores PoolCores) {
	for _, w := range s.sortedWorkers() {
		if w.pool != pool {
			continue
		}
		s.refreshUsage(w)
		cores.Total += w.cores
		cores.Used += w.used.cores - w.releasing.cores
		cores.Stopping += w.releasing.cores
		free := max(w.cores-w.used.cores, 0)
		switch {
		case !w.isResponsive(now):
			cores.Unresponsive += free
		case w.isDraining:
			cores.Draining += free
		case now < w.ejectedUntil || w.isOnProbation:
			cores.Ejected += free
		default:
			cores.Free += free
		}
	}
	return cores
}

// noteEviction counts a task that is stopped though it could go on.
func (s *Scheduler) countEviction(t *task, count func(*queueTotals)) {
	if q := s.queues[t.key.queue]; q != nil && t.state == queue.CheckedOut {
		count(&q.totals)
	}
}

func countPreempted(totals *queueTotals) { totals.preempted++ }

func countSlowEvicted(totals *queueTotals) { totals.slowEvicted++ }
