package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
)

// ReportComponent is the name of the component that receives the scheduler's reports.
const ReportComponent = "reporter"

// reportInterval is the time between two reports of a pool.
const reportInterval = 2 * eventloop.Second

// PoolReport describes how the cores of one pool are used, and how the steps that ended since the
// previous report went. The scheduler reports only pools in which work waits or has ended.
type PoolReport struct {
	Pool   string
	Cores  PoolCores
	Queues []QueueReport // sorted by name
}

// PoolCores divides the milli cores of all workers of a pool by their use.
type PoolCores struct {
	Total        int64 // of all workers
	Used         int64 // used by tasks that aren't being stopped
	Stopping     int64 // used by tasks that are being stopped
	Free         int64 // free on workers that accept new tasks
	Ejected      int64 // free on workers that are ejected or on probation
	Draining     int64 // free on draining workers
	Unresponsive int64 // free on unresponsive workers
}

// QueueReport is the part of a pool's report that concerns one queue.
type QueueReport struct {
	Queue   string
	Used    int64        // milli cores used by its tasks
	Waiting WaitingCores // milli cores wanted by ready tasks
	Sizes   []SizeReport // sorted by size, smallest first
	Preempted,
	SlowEvicted int // Preempted counts tasks stopped for more urgent ones, SlowEvicted those whose worker seemed slow
}

// WaitingCores divides the milli cores that ready tasks want by whether their jobs can meet the
// latency target.
type WaitingCores struct{ OnTime, Late, Infeasible int64 }

// SizeReport describes the ended steps of jobs of about the same size. A step whose job was
// cancelled or has failed counts as ended.
type SizeReport struct {
	// CoreSeconds is an upper bound of the work in one round of such a job. The work is at least half of this bound.
	CoreSeconds float64
	Steps       int
	// RoundsOnTime, RoundsLate and RoundsMissed count the rounds that ended within the latency
	// target, within lateFactor times the target, and later than that.
	RoundsOnTime, RoundsLate, RoundsMissed int
	// FirstPlaced, LastPlaced, MostEnded and Ended are mean durations in µs from when the first
	// task of a step became ready until its first task was placed, its last task was placed,
	// most of its tasks had ended (mostEndedRatio) and all of them had ended.
	FirstPlaced, LastPlaced, MostEnded, Ended eventloop.Micros
	Reruns                                    rerunCounts
}

// sizeTotals is a SizeReport whose times are still sums over the steps.
type sizeTotals struct{ SizeReport }

// queueTotals accumulates what the next report of a queue will contain.
type queueTotals struct {
	bySize      map[int]*sizeTotals // by workRank of the jobs' rounds
	preempted   int
	slowEvicted int
}

// reportStep adds a step that has ended to the totals of its queue; t is its last task.
func (s *Scheduler) reportStep(now eventloop.Micros, q *queueView, t *task, progress *stepProgress) {
	rank := workRank(t.roundPath)
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
	if len(t.remainingPath) == 1 {
		totals.countRound(float64(now-t.roundDueAt), s.allowedDuration(q, t)/estimateTolerance)
	}
}

// countRound counts a round by its age and its target, both in µs; target 0: none.
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

// report returns the report with means in place of sums.
func (t *sizeTotals) report() SizeReport {
	report := t.SizeReport
	steps := eventloop.Micros(report.Steps)
	report.FirstPlaced /= steps
	report.LastPlaced /= steps
	report.MostEnded /= steps
	report.Ended /= steps
	return report
}

// sendReports sends, every reportInterval, a report of each pool in which work waits or steps have ended.
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

// reportQueue returns the report of a queue and resets its totals.
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

// waitingCores sums the cores that a queue's ready tasks want. The feasibility of a step's first
// task applies to all its tasks.
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

// poolCores sums the cores of a pool's workers by their use.
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

// countEviction counts a task that is stopped although it could go on, in one of its queue's totals.
func (s *Scheduler) countEviction(t *task, count func(*queueTotals)) {
	if q := s.queues[t.key.queue]; q != nil && t.state == queue.CheckedOut {
		count(&q.totals)
	}
}

func countPreempted(totals *queueTotals) { totals.preempted++ }

func countSlowEvicted(totals *queueTotals) { totals.slowEvicted++ }
