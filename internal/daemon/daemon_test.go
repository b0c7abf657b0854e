package daemon

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"sparnotch/internal/logring"
)

// receivedCounts returns how many signals the channels hold, in the order shutdown, reload, flush.
func (c signalChannels) receivedCounts() []int {
	return []int{len(c.shutdown), len(c.reload), len(c.flush)}
}

// signalSender sends signals to this process.
type signalSender struct{ delivered chan os.Signal }

func newSignalSender() signalSender {
	sender := signalSender{make(chan os.Signal, 1)}
	signal.Notify(sender.delivered, syscall.SIGUSR2)
	return sender
}

// send sends a signal and returns once all channels have been offered it. The runtime handles
// one signal after the other, so it has handled this one when it has handled a second SIGUSR2.
func (s signalSender) send(sent syscall.Signal) {
	for _, number := range []syscall.Signal{sent, syscall.SIGUSR2, syscall.SIGUSR2} {
		So(syscall.Kill(os.Getpid(), number), ShouldBeNil)
		if number == syscall.SIGUSR2 {
			<-s.delivered
		}
	}
}

func TestSignals(t *testing.T) {
	Convey("Given the signal channels of a daemon", t, func() {
		channels, sender := notifySignals(), newSignalSender()
		Convey("only some signals shut a process down", func() {
			for _, test := range []struct {
				signal   syscall.Signal
				received []int
			}{
				{syscall.SIGHUP, []int{0, 1, 0}},
				{syscall.SIGUSR1, []int{0, 1, 1}},
				{syscall.SIGTERM, []int{1, 1, 1}},
				{syscall.SIGINT, []int{2, 1, 1}},
			} {
				sender.send(test.signal)
				So(channels.receivedCounts(), ShouldResemble, test.received)
			}
		})
		// Guards against a process that is killed after its grace period, since it lost the
		// SIGTERM behind a series of other signals.
		Convey("a shutdown signal isn't lost behind others", func() {
			for range 10 {
				sender.send(syscall.SIGHUP)
				sender.send(syscall.SIGUSR1)
			}
			sender.send(syscall.SIGTERM)
			So(<-channels.shutdown, ShouldEqual, syscall.SIGTERM)
		})
	})
}

func TestFlushLog(t *testing.T) {
	Convey("SIGUSR1 writes the log ring out", t, func() {
		for _, test := range []struct {
			path   string
			logged int
		}{
			{filepath.Join(t.TempDir(), "log"), 0},
			{"/dev/full", 1},
		} {
			core, logs := observer.New(zap.InfoLevel)
			ringLog, ring := logring.New(test.path)
			ringLog.Info("entry")
			(&daemon{log: zap.New(core), ring: ring}).flushLog()
			So(logs.Len(), ShouldEqual, test.logged)
		}
	})
}

// TestSignalsDuringShutdown guards against a process that ignores signals while it waits for pending
// work: SIGUSR1 still writes the log ring out, and a second shutdown signal ends the wait.
func TestSignalsDuringShutdown(t *testing.T) {
	Convey("Given a daemon that waits for pending work", t, func() {
		path := filepath.Join(t.TempDir(), "log")
		log, ring := logring.New(path)
		log.Info("entry")
		shutdown, flush := make(chan os.Signal), make(chan os.Signal)
		d := &daemon{log: log, ring: ring, signals: signalChannels{shutdown: shutdown, flush: flush}}
		ctx, cancel := context.WithCancel(context.Background())
		Reset(cancel)
		go d.cancelOnSignal(ctx, cancel)
		flush <- syscall.SIGUSR1
		shutdown <- syscall.SIGTERM // received once the log ring has been written out
		<-ctx.Done()
		text, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		So(string(text), ShouldContainSubstring, "entry")
	})
}
