package scheduler

import (
	"fmt"
	"testing"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// startBenchmark drives a scheduler whose workers are full, in steps of 1 ms.
type startBenchmark struct {
	*harness
	workers        []string
	shapes         int // number of task shapes, which differ in memory
	specs          int // step specs created so far
	sequence       uint64
	running, ended map[string][]*schema.TaskStatus // by worker
}

func newStartBenchmark(workers, shapes, queues int) *startBenchmark {
	s := &startBenchmark{shapes: shapes, running: map[string][]*schema.TaskStatus{}, ended: map[string][]*schema.TaskStatus{}}
	for k := range workers {
		s.workers = append(s.workers, fmt.Sprintf("w%02d", k))
	}
	s.harness = newHarness(s.workers...)
	s.lastJob = 0
	for _, worker := range s.workers {
		s.reportRuns(worker)
		s.reportRuns(worker)
	}
	s.deliverEvents(true, 0)
	for k := 1; k < queues; k++ {
		s.deliver(replica.TaskEvents{Queue: fmt.Sprint("idle", k), Group: fmt.Sprint("idle", k, "#1"), Term: 1, IsSnapshot: true})
	}
	return s
}

func (s *startBenchmark) reportRuns(worker string) {
	s.sendHeartbeat(worker, func(a *schema.WorkerHeartbeat) {
		a.TasksByName, a.Running, a.Ended = true, s.running[worker], s.ended[worker]
	})
}

func (s *startBenchmark) deliverEvent(job uint64, status queue.Status, worker string) {
	s.specs++
	step := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 100, MemoryMb: int64(10 + s.specs%s.shapes)}
	s.sequence++
	s.deliverEvents(false, s.sequence, newEvent(s.sequence, job, 0, status, worker, step))
}

func (s *startBenchmark) addReadyTask() {
	s.lastJob++
	s.deliverEvent(s.lastJob, queue.Ready, "")
}

// commit acts as the queue's leader: it commits a checkout that the scheduler has proposed, or an end
// that it has reported.
func (s *startBenchmark) commit(notified any) {
	switch m := notified.(type) {
	case replica.Propose:
		for _, placement := range m.Command.GetCheckout().GetPlacements() {
			s.deliverEvent(placement.Key.Job, queue.CheckedOut, placement.Worker)
			s.running[placement.Worker] = append(s.running[placement.Worker], &schema.TaskStatus{Name: fmt.Sprint("j", placement.Key.Job), Attempt: 1, State: "running"})
			s.reportRuns(placement.Worker)
		}
	case replica.TasksEnded:
		for _, report := range m.Reports {
			s.deliverEvent(report.Key.Job, queue.Inactive, "")
			s.deliver(&schema.TaskEndAck{Queue: "l", Key: report.Key, Attempt: report.Attempt, Worker: report.Worker})
			s.ended[report.Worker] = nil
			s.reportRuns(report.Worker)
		}
	}
}

// step adds one ready task, commits what the scheduler has proposed and reported, and ends one task
// of a worker; successive values of k go round the workers.
func (s *startBenchmark) step(k int) {
	s.addReadyTask()
	notified := s.notified
	s.notified = nil
	for _, body := range notified {
		s.commit(body)
	}
	s.replies = s.replies[:0]
	worker := s.workers[k%len(s.workers)]
	if list := s.running[worker]; len(list) > 0 {
		s.running[worker], s.ended[worker] = list[1:], append(s.ended[worker], list[0])
	}
	s.ended[worker] = s.ended[worker][:len(s.ended[worker]):len(s.ended[worker])]
	s.reportRuns(worker)
	s.now += eventloop.Millisecond
	if k%20 == 0 {
		s.confirmLeadership(true)
		s.deliver(eventloop.Tick{})
	}
}

// BenchmarkStart measures one task from its first event to its acknowledged end, on 40 full workers,
// with and without a backlog.
func BenchmarkStart(b *testing.B) {
	for _, size := range []struct{ backlog, shapes, queues int }{{0, 1, 1}, {0, 1, 50}, {2000, 1, 1}, {4000, 400, 1}} {
		b.Run(fmt.Sprint("backlog ", size.backlog, " of ", size.shapes, " queues ", size.queues), func(b *testing.B) {
			s := newStartBenchmark(40, size.shapes, size.queues)
			for k := 0; k < 300+size.backlog; k++ {
				s.addReadyTask()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for k := 0; k < b.N; k++ {
				s.step(k)
			}
			b.ReportMetric(float64(s.scheduler.counts.Starts)/float64(b.N), "starts/op")
		})
	}
}

// BenchmarkBacklogPass measures one pass over a backlog of jobs with estimates and 240 workers, of
// which only four are large enough for any of the tasks.
func BenchmarkBacklogPass(b *testing.B) {
	const workers, jobs, tasks = 240, 400, 8
	var ids []string
	for k := range workers {
		ids = append(ids, fmt.Sprintf("w%03d", k))
	}
	h := newHarness(ids...)
	h.deliverEvents(true, 0)
	rows := []*schema.ConfigurationRow{{Kind: "queue", Name: "l", Key: "stretch_milli", Value: "1500"}, {Kind: "queue", Name: "l", Key: "target_ms", Value: "250"}}
	h.configure(rows, ids...)
	sequence := uint64(0)
	for job := range uint64(jobs) {
		step := &schema.Step{Name: "s", Tasks: tasks, CoresMilli: 10_000 + int64(job)*10, MemoryMb: 100, EstimatedRunUs: 200_000 + int64(job)*100}
		path := []queue.PathStep{{EstimateUs: step.EstimatedRunUs, CoresMilli: step.CoresMilli * tasks, Tasks: tasks}}
		for k := range uint32(tasks) {
			sequence++
			event := newEvent(sequence, job+1, k, queue.Ready, "", step)
			event.CriticalPath, event.RemainingPath = path, path
			h.deliverEvents(false, sequence, event)
		}
	}
	for _, id := range ids {
		h.sendHeartbeat(id, func(a *schema.WorkerHeartbeat) { a.CoresMilli = 9_000 })
	}
	for _, id := range ids[:4] {
		h.sendHeartbeat(id, func(a *schema.WorkerHeartbeat) { a.CoresMilli = 64_000 })
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		h.notified = h.notified[:0]
		h.scheduler.runPass(h.now, h)
		for _, q := range h.scheduler.queues {
			for _, t := range q.reserved {
				h.scheduler.unreserve(q, t)
				q.addReady(t)
			}
		}
	}
	b.ReportMetric(float64(len(h.placements())), "placed/pass")
}
