package process

// This file logs the load of a node: its processor time, messages and mailboxes.

import (
	"context"
	"runtime/metrics"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/logring"
	"sparnotch/internal/transport"
)

const (
	loadReportInterval = 2 * eventloop.Second
	// collectorMetric is the processor time that the garbage collector has used. The runtime
	// updates it at the end of each collection.
	collectorMetric = "/cpu/classes/gc/total:cpu-seconds"
)

// loadReporter logs the load of a node since its last report.
type loadReporter struct {
	node          *Node
	log           *zap.Logger
	reportedAt    eventloop.Micros
	processorTime time.Duration // total at the last report
	collectorTime time.Duration // total at the last report
	counts        transport.Counts
}

// reportLoad logs the load of the node at regular intervals until the context ends.
func (n *Node) reportLoad(ctx context.Context) {
	reporter := &loadReporter{node: n, log: n.log.Named(logring.Reports), reportedAt: n.Clock.Now(), processorTime: processorTime(), collectorTime: collectorTime()}
	eventloop.NewQueue[int](1).Consume(ctx, loadReportInterval, nil, reporter.report)
}

func (r *loadReporter) report() {
	now, processor, collector, counts := r.node.Clock.Now(), processorTime(), collectorTime(), r.node.transport.Counts()
	fields := []zap.Field{
		zap.Int64("span_us", int64(now-r.reportedAt)),
		zap.Int64("processor_us", (processor - r.processorTime).Microseconds()),
		zap.Int64("collector_us", (collector - r.collectorTime).Microseconds()),
		zap.Uint64("messages_received", counts.Received-r.counts.Received),
		zap.Uint64("messages_sent", counts.Sent-r.counts.Sent),
		zap.Uint64("messages_lost", counts.Lost-r.counts.Lost),
		zap.Uint64("bytes_received", counts.BytesIn-r.counts.BytesIn),
		zap.Uint64("bytes_sent", counts.Bytes-r.counts.Bytes),
		zap.Uint64("writes", counts.Writes-r.counts.Writes),
		zap.Any("components", r.node.loop.TakeLoad()),
	}
	r.log.Info("load", fields...)
	r.reportedAt, r.processorTime, r.collectorTime, r.counts = now, processor, collector, counts
}

// processorTime returns the processor time that this process has used, in user and kernel mode.
func processorTime() time.Duration {
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// collectorTime returns the processor time that the garbage collector has used.
func collectorTime() time.Duration {
	sample := []metrics.Sample{{Name: collectorMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindFloat64 {
		return 0
	}
	return time.Duration(sample[0].Value.Float64() * float64(time.Second))
}
