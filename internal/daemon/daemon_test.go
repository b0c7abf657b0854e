package daemon

import (
	"errors"
	"os"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

func TestSignals(t *testing.T) {
	Convey("Only a warning ends a process", t, func() {
		for _, each := range []struct {
			signal    os.Signal
			isWarning bool
			spills    int
			logged    int
		}{
			{syscall.SIGTERM, true, 0, 0},
			{syscall.SIGINT, true, 0, 0},
			{syscall.SIGHUP, false, 0, 1},
			{syscall.SIGUSR1, false, 1, 1},
		} {
			core, logs := observer.New(zap.InfoLevel)
			spills := 0
			spill := func() error { spills++; return errors.New("full") }
			So(isShutdownSignal(each.signal, zap.New(core), spill), ShouldEqual, each.isWarning)
			So(spills, ShouldEqual, each.spills)
			So(logs.Len(), ShouldEqual, each.logged)
		}
	})
}
