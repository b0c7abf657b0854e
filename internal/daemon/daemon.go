// Package daemon runs a daemon: settings, start, signals, and leaving when
// warned.
package daemon

import (
	"context"
	"flag"
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
	"sparnotch/internal/httpapi"
	"sparnotch/internal/logring"
	"sparnotch/internal/process"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// Exit codes of the daemons.
const (
	ExitFailed  = subcommands.ExitStatus(1)
	ExitOptions = subcommands.ExitStatus(2)
)

// restartDrainTimeout is how long calls may take to finish when a process that started
// without its store starts anew with it.
const restartDrainTimeout = 1500 * time.Millisecond

// Command is a daemon that a program runs as a subcommand.
type Command struct {
	Name     string
	Synopsis string
	Role     schema.Role
}

// checkPrefix stands before a daemon's name in the command that only checks its settings.
const checkPrefix = "check-"

// Main registers the commands of a program's daemons and runs the one asked for.
func Main(program string, commands ...Command) {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, command := range commands {
		subcommands.Register(&daemonCommand{Command: command, program: program}, "")
		subcommands.Register(&daemonCommand{Command: command, program: program, isCheck: true}, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

type daemonCommand struct {
	Command
	program string
	isCheck bool
	flags   config.Flags
}

func (r *daemonCommand) Name() string {
	if r.isCheck {
		return checkPrefix + r.Command.Name
	}
	return r.Command.Name
}

func (r *daemonCommand) Synopsis() string {
	if r.isCheck {
		return "check the settings of a " + r.Command.Name + " and start nothing"
	}
	return r.Command.Synopsis
}

func (r *daemonCommand) Usage() string {
	return fmt.Sprintf("%s %s -cell CELL -inner IP:PORT -outer IP:PORT -seeds A,B,C [flags]\n  %s.\n  Exit codes: 0 left when warned, 1 failed, 2 bad settings (the field is named).\n",
		r.program, r.Name(), r.Synopsis())
}

func (r *daemonCommand) SetFlags(set *flag.FlagSet) {
	r.flags.Register(set, r.Role == schema.Role_ROLE_SERVER)
}

func (r *daemonCommand) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	options, err := r.flags.Load(set)
	if err == nil && r.Role == schema.Role_ROLE_CONTROLLER && options.Data != "" {
		err = config.Invalid.New("data: a %s holds nothing durable", r.Command.Name)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", r.program, err)
		return ExitOptions
	}
	if r.isCheck {
		fmt.Println("settings are good")
		return subcommands.ExitSuccess
	}
	return Serve(r.program, options, r.Role, func(node *process.Node, log *zap.Logger) (Server, error) { return httpapi.Serve(node, log) })
}

// Server takes calls from outside on behalf of a process.
type Server interface {
	// Warn says that the process is to leave: calls are still taken.
	StartDraining()
	// Shutdown takes no more calls and lets the open ones finish until the
	// context ends.
	Shutdown(ctx context.Context) error
}

// ServerFactory makes the server of a process that has started.
type ServerFactory func(real *process.Node, log *zap.Logger) (Server, error)

// Serve runs a process until it fails or has left after a warning; name stands
// before what goes to standard error. The hands carry calls of a worker.
func Serve(name string, options *schema.Settings, role schema.Role, newServer ServerFactory, callers ...agent.WorkerClient) subcommands.ExitStatus {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	// Whoever reads our output may go away before we do.
	signal.Ignore(syscall.SIGPIPE)
	log, ring := logring.New(options.Trace)
	// A crash writes the ring out before it takes the process down.
	defer func() {
		if cause := recover(); cause != nil {
			log.Error("panic", zap.Any("cause", cause), zap.Stack("stack"))
			os.Exit(int(ExitFailed))
		}
	}()
	if err := serve(options, role, signals, log, ring, newServer, callers); err != nil {
		log.Error("failed", zap.Error(err))
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		if storage.IsDirRejected(err) || errorx.IsOfType(err, config.Invalid) {
			return ExitOptions
		}
		return ExitFailed
	}
	return subcommands.ExitSuccess
}

func serve(options *schema.Settings, role schema.Role, signals chan os.Signal, log *zap.Logger, ring *logring.Ring, newServer ServerFactory, callers []agent.WorkerClient) error {
	var opened *process.OpenedStore
	for {
		next, err := serveOnce(opened, options, role, signals, log, ring, newServer, callers)
		if next == nil {
			return err
		}
		opened = next
	}
}

// serveOnce serves until the process is to end, or to start anew with a store
// that it couldn't open before.
func serveOnce(opened *process.OpenedStore, options *schema.Settings, role schema.Role, signals chan os.Signal, log *zap.Logger, ring *logring.Ring, newServer ServerFactory, callers []agent.WorkerClient) (*process.OpenedStore, error) {
	node, err := process.StartWithStore(opened, options, role, log, callers...)
	if err != nil {
		return nil, err
	}
	server, err := newServer(node, log)
	if err != nil {
		node.Stop()
		return nil, config.Invalid.Wrap(err, "outer")
	}
	for {
		select {
		case err := <-node.Failed:
			return nil, err
		case next := <-node.Reopened:
			log.Warn("the store could be opened: starting anew with it")
			ctx, cancel := context.WithTimeout(context.Background(), restartDrainTimeout)
			if err := server.Shutdown(ctx); err != nil {
				log.Warn("requests were still open", zap.Error(err))
			}
			cancel()
			node.Stop()
			return next, nil
		case received := <-signals:
			if !isShutdownSignal(received, log, ring.Flush) {
				continue
			}
			log.Info("warned", zap.String("signal", received.String()))
			return nil, shutDown(node, server, options, signals, log, ring)
		}
	}
}

// isShutdownSignal tells whether a signal asks us to leave; the others are seen to.
func isShutdownSignal(received os.Signal, log *zap.Logger, spill func() error) bool {
	switch received {
	case syscall.SIGUSR1:
		if err := spill(); err != nil {
			log.Warn("the log couldn't be written out", zap.Error(err))
		}
		return false
	case syscall.SIGHUP:
		// Many a supervisor sends it, and it mustn't end us.
		log.Info("taken; the settings are read again at the next start", zap.String("signal", received.String()))
		return false
	}
	return true
}

// shutDown: not ready at once, leaders passed on, open requests finished, and out
// within the limit. A second signal ends it at once.
func shutDown(node *process.Node, server Server, options *schema.Settings, signals chan os.Signal, log *zap.Logger, ring *logring.Ring) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(options.WarnUs)*time.Microsecond)
	defer cancel()
	go func() {
		for {
			select {
			case received := <-signals:
				if isShutdownSignal(received, log, ring.Flush) {
					cancel()
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	node.StartDraining()
	server.StartDraining()
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for node.MustStay(ctx) && ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	if err := server.Shutdown(ctx); err != nil {
		log.Warn("requests were still open", zap.Error(err))
	}
	node.Stop()
	log.Info("left")
	return nil
}
