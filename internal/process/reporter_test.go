package process

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/scheduler"
)

func TestReportsAreLogged(t *testing.T) {
	Convey("A pool's report becomes one line of the log", t, func() {
		core, lines := observer.New(zap.InfoLevel)
		report := scheduler.PoolReport{Pool: "main", Cores: scheduler.PoolCores{Total: 8000, Free: 500}}
		reporter{zap.New(core)}.Step(0, eventloop.Message{Body: report}, nil)
		So(lines.Len(), ShouldEqual, 1)
		fields := lines.All()[0].ContextMap()
		So(fields["pool"], ShouldEqual, "main")
		So(fields["cores_milli"], ShouldResemble, report.Cores)
	})
	Convey("Other messages are ignored", t, func() {
		core, lines := observer.New(zap.InfoLevel)
		reporter{zap.New(core)}.Step(0, eventloop.Message{Body: eventloop.Tick{}}, nil)
		So(lines.Len(), ShouldEqual, 0)
	})
}
