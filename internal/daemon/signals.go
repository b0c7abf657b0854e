package daemon

import (
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
)

// signalChannels receive the signals that a daemon handles. A signal is dropped if its channel is
// full, so each purpose has a channel of its own, which holds as many signals as make a difference.
type signalChannels struct {
	shutdown <-chan os.Signal // SIGTERM and SIGINT; the second one ends the wait for pending work
	reload   <-chan os.Signal // SIGHUP: the settings file has changed
	flush    <-chan os.Signal // SIGUSR1: the log ring is to be written out
}

// notifySignals has the signals of this process sent to the returned channels.
func notifySignals() signalChannels {
	notify := func(size int, signals ...os.Signal) <-chan os.Signal {
		channel := make(chan os.Signal, size)
		signal.Notify(channel, signals...)
		return channel
	}
	return signalChannels{
		shutdown: notify(2, syscall.SIGTERM, syscall.SIGINT),
		reload:   notify(1, syscall.SIGHUP),
		flush:    notify(1, syscall.SIGUSR1),
	}
}

// flushLog writes out the log ring.
func (d *daemon) flushLog() {
	if err := d.ring.Flush(); err != nil {
		d.log.Warn("the log ring couldn't be written out", zap.Error(err))
	}
}
