package process

import (
	"go.uber.org/zap"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/scheduler"
)

// reporter is the component that writes the scheduler's reports to the log.
type reporter struct{ log *zap.Logger }

// Step implements eventloop.Component.
func (r reporter) Step(_ eventloop.Micros, message eventloop.Message, _ eventloop.Effects) {
	if report, isReport := message.Body.(scheduler.PoolReport); isReport {
		r.log.Info("pool", zap.String("pool", report.Pool), zap.Any("cores_milli", report.Cores), zap.Any("queues", report.Queues))
	}
}
