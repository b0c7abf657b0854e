// Package daemon runs a node as a process: it reads the settings, starts the node and the
// server that accepts requests for it, handles signals, and shuts down gracefully.
//
// Main implements the main function of a program whose subcommands are daemons. Serve runs
// one daemon. SIGTERM and SIGINT begin a graceful shutdown, and a second such signal ends
// the wait for pending work; SIGUSR1 writes out the log ring; SIGHUP makes the daemon look at
// its settings file at once, which it otherwise does at intervals.
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
	"sparnotch/internal/settingsfile"
	"sparnotch/internal/storage"
)

// Exit codes of the daemons.
const (
	ExitFailed          = subcommands.ExitStatus(1)
	ExitInvalidSettings = subcommands.ExitStatus(2) // the settings or the data directory are invalid
)

const (
	// restartDrainTimeout limits how long requests may take to finish when a node that
	// started without its store restarts with the store.
	restartDrainTimeout = 1500 * time.Millisecond
	drainCheckInterval  = 50 * time.Millisecond

	// settingsCheckInterval is the time between two looks at the settings file, which may change
	// without a signal.
	settingsCheckInterval = time.Second
	// settingsSettleTime is the time after which a changed settings file is read again, to see
	// whether it was complete.
	settingsSettleTime = 100 * time.Millisecond
)

// Server accepts requests from clients for a node.
type Server interface {
	// StartDraining tells the server that the process will end. The server still
	// accepts requests.
	StartDraining()
	// Shutdown makes the server accept no more requests, and waits for requests in
	// progress until the context ends.
	Shutdown(ctx context.Context) error
}

// ServerFactory returns the server for a node that has started.
type ServerFactory func(node *process.Node, log *zap.Logger) (Server, error)

// daemon holds the parameters for running a node, and for restarting it with a store
// that was opened late.
type daemon struct {
	settings      *schema.Settings
	role          schema.Role
	signals       signalChannels
	log           *zap.Logger
	ring          *logring.Ring
	newServer     ServerFactory
	settingsFile  *settingsfile.Watcher // nil: the settings don't change
	workerClients []agent.WorkerClient
}

// Serve runs a node until it fails or has shut down after a signal, and returns the
// exit code. It writes errors to standard error, prefixed with name. If settingsFile isn't nil,
// the node takes changes of the file while it runs. An agent node uses the worker client, if one
// is passed, to call its worker.
func Serve(name string, settings *schema.Settings, settingsFile *settingsfile.Watcher, role schema.Role, newServer ServerFactory, workerClients ...agent.WorkerClient) subcommands.ExitStatus {
	signals := notifySignals()
	// Without this, a write to standard output or standard error would end this process if the
	// program that reads its output has ended.
	signal.Ignore(syscall.SIGPIPE)
	log, ring := logring.New(settings.TraceFile)
	// A logged error writes the ring out, so a crash is logged before the process ends.
	defer func() {
		if cause := recover(); cause != nil {
			log.Error("panic", zap.Any("cause", cause), zap.Stack("stack"))
			os.Exit(int(ExitFailed))
		}
	}()
	d := &daemon{
		settings: settings, role: role, signals: signals, log: log, ring: ring, newServer: newServer,
		settingsFile: settingsFile, workerClients: workerClients,
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

// serve runs a node. If the node started without its store and the store was opened
// later, serve stops that node and runs a new one with the store.
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

// serveOnce runs a node until the process is to end. If the store was opened late, it
// stops the node and returns the store for the restart.
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
	settingsTimer := time.NewTimer(settingsCheckInterval)
	defer settingsTimer.Stop()
	for {
		select {
		case <-settingsTimer.C:
			settingsTimer.Reset(d.checkSettings(node))
		case err := <-node.Failed:
			return nil, err
		case reopened := <-node.StoreOpened:
			d.log.Warn("the store was opened late; the node restarts with it")
			ctx, cancel := context.WithTimeout(context.Background(), restartDrainTimeout)
			d.stop(ctx, node, server)
			cancel()
			return reopened, nil
		case received := <-d.signals.shutdown:
			d.log.Info("shutting down", zap.String("signal", received.String()))
			d.shutDown(node, server)
			return nil, nil
		case <-d.signals.reload:
			// Content that has just been read is given its time to settle.
			if d.settingsFile == nil || !d.settingsFile.IsSettling() {
				settingsTimer.Reset(d.checkSettings(node))
			}
		case <-d.signals.flush:
			d.flushLog()
		}
	}
}

// shutDown drains the node, waits for requests in progress, and stops the node, all
// within the shutdown timeout in the settings. A second signal ends the wait.
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

// cancelOnSignal cancels the wait for pending work when another shutdown signal comes.
func (d *daemon) cancelOnSignal(ctx context.Context, cancel context.CancelFunc) {
	for {
		select {
		case <-d.signals.shutdown:
			cancel()
		case <-d.signals.flush:
			d.flushLog()
		case <-ctx.Done():
			return
		}
	}
}

// stop shuts down the server and stops the node.
func (d *daemon) stop(ctx context.Context, node *process.Node, server Server) {
	if err := server.Shutdown(ctx); err != nil {
		d.log.Warn("the server was shut down while requests were still in progress", zap.Error(err))
	}
	node.Stop()
}
