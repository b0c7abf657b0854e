package scheduler

import (
	"fmt"
	"testing"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// BenchmarkStart measures one task from its event to its acknowledged end, on 40
// full workers and with a backlog.
func BenchmarkStart(b *testing.B) {
	for _, size := range []struct{ backlog, shapes, queues int }{{0, 1, 1}, {0, 1, 50}, {2000, 1, 1}, {4000, 400, 1}} {
		backlog, shapes := size.backlog, size.shapes
		b.Run(fmt.Sprint("backlog ", backlog, " of ", shapes, " queues ", size.queues), func(b *testing.B) {
			var ids []string
			for k := 0; k < 40; k++ {
				ids = append(ids, fmt.Sprintf("w%02d", k))
			}
			h := newHarness(ids...)
			made := 0
			spec := func() *schema.Step {
				made++
				return &schema.Step{Name: "s", Tasks: 1, CoresMilli: 100, MemoryMb: int64(10 + made%shapes)}
			}
			running := map[string][]*schema.TaskStatus{}
			ended := map[string][]*schema.TaskStatus{}
			sendHeartbeats := func(id string) {
				h.sendHeartbeat(id, func(a *schema.WorkerHeartbeat) { a.TasksByName, a.Running, a.Ended = true, running[id], ended[id] })
			}
			for _, id := range ids {
				sendHeartbeats(id)
				sendHeartbeats(id)
			}
			h.deliverEvents(true, 0)
			for k := 1; k < size.queues; k++ {
				h.deliver(replica.TaskEvents{Queue: fmt.Sprint("idle", k), Group: fmt.Sprint("idle", k, "#1"), Term: 1, IsSnapshot: true})
			}
			sequence, job := uint64(0), uint64(0)
			ready := func() {
				job++
				sequence++
				h.deliverEvents(false, sequence, newEvent(sequence, job, 0, queue.Ready, "", spec()))
			}
			for k := 0; k < 300+backlog; k++ {
				ready()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for k := 0; k < b.N; k++ {
				ready()
				tells := h.notified
				h.notified = nil
				for _, tell := range tells {
					switch m := tell.(type) {
					case replica.Propose:
						for _, placement := range m.Command.GetCheckout().GetPlacements() {
							sequence++
							h.deliverEvents(false, sequence, newEvent(sequence, placement.Key.Job, 0, queue.CheckedOut, placement.Worker, spec()))
							running[placement.Worker] = append(running[placement.Worker], &schema.TaskStatus{Name: fmt.Sprint("j", placement.Key.Job), Attempt: 1, State: "running"})
							sendHeartbeats(placement.Worker)
						}
					case replica.TaskEnded:
						sequence++
						h.deliverEvents(false, sequence, newEvent(sequence, m.End.Key.Job, 0, queue.Inactive, "", spec()))
						h.deliver(&schema.TaskEndAck{Queue: "l", Key: m.End.Key, Attempt: m.End.Attempt, Worker: m.End.Worker})
						ended[m.End.Worker] = nil
						sendHeartbeats(m.End.Worker)
					}
				}
				h.replies = h.replies[:0]
				id := ids[k%len(ids)]
				if list := running[id]; len(list) > 0 {
					running[id], ended[id] = list[1:], append(ended[id], list[0])
				}
				ended[id] = ended[id][:len(ended[id]):len(ended[id])]
				sendHeartbeats(id)
				h.now += eventloop.Millisecond
				if k%20 == 0 {
					h.confirmLeadership(true)
					h.deliver(eventloop.Tick{})
				}
			}
			b.ReportMetric(float64(h.scheduler.counts.Starts)/float64(b.N), "starts/op")
		})
	}
}
