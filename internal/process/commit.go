package process

// This file writes to the store of a node and reports the latency of its disk.

import (
	"context"
	"time"

	"go.uber.org/zap"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/replica"
)

// DiskHangTimeout is the duration of a sync above which the disk counts as hung. It is
// far longer than a healthy disk needs, and well before that time leaders have handed
// over because of the latency.
const DiskHangTimeout = 2 * eventloop.Second

// storageWriter is the component that queues batches for writeBatches, which may block
// on the disk.
type storageWriter Node

// Step implements eventloop.Component.
func (w *storageWriter) Step(_ eventloop.Micros, message eventloop.Message, _ eventloop.Effects) {
	if batch, isBatch := message.Body.(replica.Batch); isBatch && !w.batches.TryPut(batch) {
		// The replicas wait for each batch before they send the next.
		w.log.Error("the queue of batches is full; a batch was dropped")
	}
}

func (n *Node) writeBatches(ctx context.Context) {
	n.batches.Consume(ctx, 0, func(batch replica.Batch) { n.commit(ctx, batch) }, nil)
}

// commit writes a batch, and retries until the batch is durable or the context ends. In
// the meantime, the replicas continue in memory as if the batch were written, but
// acknowledge nothing that depends on it.
func (n *Node) commit(ctx context.Context, batch replica.Batch) {
	startedAt := n.Clock.Now()
	n.syncStartedAt.Store(int64(startedAt))
	err := n.store.Commit(batch.Changes)
	if err != nil {
		n.reportRefusedWrite(batch, err)
		for delay := minWriteRetryDelay; err != nil; delay = min(2*delay, maxWriteRetryDelay) {
			if !sleep(ctx, delay) {
				return
			}
			err = n.store.Commit(batch.Changes)
		}
		n.storeRefuses.Store(false)
		n.log.Warn("the store accepts writes again", zap.Duration("after", (n.Clock.Now()-startedAt).Duration()))
		n.reportLatency()
	}
	n.delayForTest(startedAt)
	n.syncStartedAt.Store(0)
	if duration := int64(n.Clock.Now() - startedAt); duration > n.worstSync.Load() {
		n.worstSync.Store(duration)
	}
	stats := n.store.Stats()
	n.storageStats.Store(&stats)
	n.loop.PostWait(ReplicaComponent, eventloop.Message{Body: replica.Written{Number: batch.Number}})
}

// delayForTest extends a sync to the duration in the TestSyncUs setting.
func (n *Node) delayForTest(startedAt eventloop.Micros) {
	wanted := time.Duration(n.Settings.TestSyncUs) * time.Microsecond
	if elapsed := (n.Clock.Now() - startedAt).Duration(); wanted > 0 && elapsed < wanted {
		<-time.After(wanted - elapsed)
	}
}

// reportRefusedWrite reports to the replicas and the membership component that writes
// fail.
func (n *Node) reportRefusedWrite(batch replica.Batch, err error) {
	n.log.Error("the store refuses writes; this node hands over leadership, and neither acknowledges entries nor votes", zap.Error(err))
	n.storeRefuses.Store(true)
	n.loop.PostWait(ReplicaComponent, eventloop.Message{Body: replica.WriteFailed{Number: batch.Number, Reason: err.Error()}})
	n.reportLatency()
}

// watchDisk reports the latency at regular intervals, and logs when the disk starts or
// stops hanging.
func (n *Node) watchDisk(ctx context.Context) {
	wasHung := false
	eventloop.NewQueue[int](1).Consume(ctx, latencyReportInterval, nil, func() {
		n.reportLatency()
		if isHung := n.isDiskHung() && !n.storeRefuses.Load(); isHung != wasHung {
			wasHung = isHung
			n.log.Error("the disk started or stopped hanging", zap.Bool("is_hung", isHung))
		}
		n.worstSync.Store(n.worstSync.Load() * 15 / 16)
	})
}

// isDiskHung reports whether a write has been in progress for longer than
// DiskHangTimeout.
func (n *Node) isDiskHung() bool {
	startedAt := n.syncStartedAt.Load()
	return startedAt > 0 && n.Clock.Now()-eventloop.Micros(startedAt) > DiskHangTimeout
}

// reportLatency reports the worst recent latency of this process to the membership
// component. The cluster uses these latencies to decide where to place leaders.
func (n *Node) reportLatency() {
	worst := max(n.loop.TickLatency(), eventloop.Micros(n.worstSync.Load()))
	// A write in progress counts with its duration so far.
	if startedAt := n.syncStartedAt.Load(); startedAt > 0 {
		worst = max(worst, n.Clock.Now()-eventloop.Micros(startedAt))
	}
	if n.storeRefuses.Load() || n.isDiskHung() {
		worst = membership.WritesRefusedLatency
	}
	n.loop.Post(MembershipComponent, eventloop.Message{Body: membership.LatencyReport{Max: worst}})
}
