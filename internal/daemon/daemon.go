// Package daemon runs a node as a process: it reads the settings, starts the node and the
// servers that take requests for it, handles signals, and shuts down gracefully.
//
// Main makes a program of one or more daemons, each a subcommand. Serve runs one. Signals:
// SIGTERM and SIGINT begin a graceful shutdown, and a second one ends it at once; SIGUSR1
// writes the log ring out; SIGHUP is ignored.
package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"sparnotch/internal/agent"
	"sparnotch/internal/config"
	"sparnotch/internal/logring"
	"sparnotch/internal/process"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// Exit codes of the daemons.
const (
	ExitFailed          = subcommands.ExitStatus(1)
	ExitInvalidSettings = subcommands.ExitStatus(2) // the settings or the data directory can't be used
)

const (
	// restartDrainTimeout bounds how long requests may take to finish when a node that
	// started without its store restarts with it.
	restartDrainTimeout = 1500 * time.Millisecond
	drainCheckInterval  = 50 * time.Millisecond
	signalBuffer        = 4
)

// Server takes requests from outside for a node.
type Server interface {
	// StartDraining says that the process will end. Requests are still accepted.
	StartDraining()
	// Shutdown accepts no more requests, and waits for those in progress until the
	// context ends.
	Shutdown(ctx context.Context) error
}

// ServerFactory makes the server of a node that has started.
type ServerFactory func(node *process.Node, log *zap.Logger) (Server, error)

// daemon is what serve needs to run a node, and to restart it with another store.
type daemon struct {
	settings      *schema.Settings
	role          schema.Role
	signals       <-chan os.Signal
	log           *zap.Logger
	ring          *logring.Ring
	newServer     ServerFactory
	workerClients []agent.WorkerClient
}

// Serve runs a node until it fails or has shut down after a signal, and returns the exit
// code; name precedes what is written to standard error. A worker client that is given
// makes the calls to the worker of an agent node.
func Serve(name string, options *schema.Settings, role schema.Role, newServer ServerFactory, callers ...agent.WorkerClient) subcommands.ExitStatus {
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	// The reader of our output may end before we do.
	signal.Ignore(syscall.SIGPIPE)
	log, ring := logring.New(options.TraceFile)
	// A logged error writes the ring out, so a crash is logged before the process ends.
	defer func() {
		if cause := recover(); cause != nil {
			log.Error("panic", zap.Any("cause", cause), zap.Stack("stack"))
			os.Exit(int(ExitFailed))
		}
	}()
	d := &daemon{
		settings: options, role: role, signals: signals, log: log, ring: ring, newServer: newServer, workerClients: callers,
	}
	err := d.serve()
	if err == nil {
		return subcommands.ExitSuccess
	}
	log.Error("failed", zap.Error(err))
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	if storage.IsDirRejected(err) || errorx.IsOfType(err, config.Invalid) {
		return ExitInvalidSettings
	}
	return ExitFailed
}

// serve runs a node, and a new one with the store each time that a store could be opened
// late.
func (d *daemon) serve() error {
	var opened *process.OpenedStore
	for {
		reopened, err := d.serveOnce(opened)
		if reopened == nil {
			return err
		}
		opened = reopened
	}
}

// serveOnce runs a node until the process is to end, or returns the store to restart it
// with.
func (d *daemon) serveOnce(opened *process.OpenedStore) (*process.OpenedStore, error) {
	node, err := process.StartWithStore(opened, d.settings, d.role, d.log, d.workerClients...)
	if err != nil {
		return nil, err
	}
	server, err := d.newServer(node, d.log)
	if err != nil {
		node.Stop()
		return nil, config.Invalid.Wrap(err, "outer")
	}
	for {
		select {
		case err := <-node.Failed:
			return nil, err
		case reopened := <-node.StoreOpened:
			d.log.Warn("the store could be opened: restarting the node with it")
			ctx, cancel := context.WithTimeout(context.Background(), restartDrainTimeout)
			d.stop(ctx, node, server)
			cancel()
			return reopened, nil
		case received := <-d.signals:
			if !isShutdownSignal(received, d.log, d.ring.Flush) {
				continue
			}
			d.log.Info("shutting down", zap.String("signal", received.String()))
			d.shutDown(node, server)
			return nil, nil
		}
	}
}

// isShutdownSignal says whether a signal asks for a shutdown, and handles the others.
func isShutdownSignal(received os.Signal, log *zap.Logger, flush func() error) bool {
	switch received {
	case syscall.SIGUSR1:
		if err := flush(); err != nil {
			log.Warn("the log couldn't be written out", zap.Error(err))
		}
		return false
	case syscall.SIGHUP:
		// Supervisors send it to have settings reloaded; by default it would end us.
		log.Info("ignored: settings are only read at the start", zap.String("signal", received.String()))
		return false
	}
	return true
}

// shutDown drains the node, waits for requests in progress, and stops, all within the
// shutdown timeout of the settings. A second signal ends the waiting.
func (d *daemon) shutDown(node *process.Node, server Server) {
	timeout := time.Duration(d.settings.ShutdownTimeoutUs) * time.Microsecond
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	go d.cancelOnSignal(ctx, cancel)
	node.StartDraining()
	server.StartDraining()
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for node.HasHandoverPending(ctx) && ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	d.stop(ctx, node, server)
	d.log.Info("shut down")
}

func (d *daemon) cancelOnSignal(ctx context.Context, cancel context.CancelFunc) {
	for {
		select {
		case received := <-d.signals:
			if isShutdownSignal(received, d.log, d.ring.Flush) {
				cancel()
			}
		case <-ctx.Done():
			return
		}
	}
}

// stop shuts the server down and stops the node.
func (d *daemon) stop(ctx context.Context, node *process.Node, server Server) {
	if err := server.Shutdown(ctx); err != nil {
		d.log.Warn("requests were still in progress", zap.Error(err))
	}
	node.Stop()
}
