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

// turnSpan is how long calls may take to finish when a process that started
// without its store starts anew with it.
const turnSpan = 1500 * time.Millisecond

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
		subcommands.Register(&run{Command: command, program: program}, "")
		subcommands.Register(&run{Command: command, program: program, isCheck: true}, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

type run struct {
	Command
	program string
	isCheck bool
	flags   config.Flags
}

func (r *run) Name() string {
	if r.isCheck {
		return checkPrefix + r.Command.Name
	}
	return r.Command.Name
}

func (r *run) Synopsis() string {
	if r.isCheck {
		return "check the settings of a " + r.Command.Name + " and start nothing"
	}
	return r.Command.Synopsis
}

func (r *run) Usage() string {
	return fmt.Sprintf("%s %s -cell CELL -inner IP:PORT -outer IP:PORT -seeds A,B,C [flags]\n  %s.\n  Exit codes: 0 left when warned, 1 failed, 2 bad settings (the field is named).\n",
		r.program, r.Name(), r.Synopsis())
}

func (r *run) SetFlags(set *flag.FlagSet) { r.flags.Register(set, r.Role == schema.Role_ROLE_SERVER) }

func (r *run) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	loaded, err := r.flags.Load(set)
	if err == nil && r.Role == schema.Role_ROLE_CONTROLLER && loaded.Data != "" {
		err = config.Bad.New("data: a %s holds nothing durable", r.Command.Name)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", r.program, err)
		return ExitOptions
	}
	if r.isCheck {
		fmt.Println("settings are good")
		return subcommands.ExitSuccess
	}
	return Serve(r.program, loaded, r.Role, func(real *process.Real, log *zap.Logger) (Server, error) { return httpapi.Serve(real, log) })
}

// Server takes calls from outside on behalf of a process.
type Server interface {
	// Warn says that the process is to leave: calls are still taken.
	Warn()
	// Shutdown takes no more calls and lets the open ones finish until the
	// context ends.
	Shutdown(ctx context.Context) error
}

// Opening makes the server of a process that has started.
type Opening func(real *process.Real, log *zap.Logger) (Server, error)

// Serve runs a process until it fails or has left after a warning; name stands
// before what goes to standard error. The hands carry calls of a worker.
func Serve(name string, loaded *schema.Settings, role schema.Role, open Opening, hands ...agent.Caller) subcommands.ExitStatus {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	// Whoever reads our output may go away before we do.
	signal.Ignore(syscall.SIGPIPE)
	log, ring := logring.New(loaded.Trace)
	// A crash writes the ring out before it takes the process down.
	defer func() {
		if broken := recover(); broken != nil {
			log.Error("panic", zap.Any("cause", broken), zap.Stack("stack"))
			os.Exit(int(ExitFailed))
		}
	}()
	if err := serve(loaded, role, signals, log, ring, open, hands); err != nil {
		log.Error("failed", zap.Error(err))
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		if storage.IsDirRejected(err) || errorx.IsOfType(err, config.Bad) {
			return ExitOptions
		}
		return ExitFailed
	}
	return subcommands.ExitSuccess
}

func serve(loaded *schema.Settings, role schema.Role, signals chan os.Signal, log *zap.Logger, ring *logring.Ring, open Opening, hands []agent.Caller) error {
	var opened *process.Opened
	for {
		next, err := serveWith(opened, loaded, role, signals, log, ring, open, hands)
		if next == nil {
			return err
		}
		opened = next
	}
}

// serveWith serves until the process is to end, or to start anew with a store
// that it couldn't open before.
func serveWith(opened *process.Opened, loaded *schema.Settings, role schema.Role, signals chan os.Signal, log *zap.Logger, ring *logring.Ring, open Opening, hands []agent.Caller) (*process.Opened, error) {
	real, err := process.StartWith(opened, loaded, role, log, hands...)
	if err != nil {
		return nil, err
	}
	server, err := open(real, log)
	if err != nil {
		real.Stop()
		return nil, config.Bad.Wrap(err, "outer")
	}
	for {
		select {
		case err := <-real.Failed:
			return nil, err
		case next := <-real.Reopened:
			log.Warn("the store could be opened: starting anew with it")
			ctx, cancel := context.WithTimeout(context.Background(), turnSpan)
			if err := server.Shutdown(ctx); err != nil {
				log.Warn("requests were still open", zap.Error(err))
			}
			cancel()
			real.Stop()
			return next, nil
		case got := <-signals:
			if !isWarning(got, log, ring.Flush) {
				continue
			}
			log.Info("warned", zap.String("signal", got.String()))
			return nil, leave(real, server, loaded, signals, log, ring)
		}
	}
}

// isWarning tells whether a signal asks us to leave; the others are seen to.
func isWarning(got os.Signal, log *zap.Logger, spill func() error) bool {
	switch got {
	case syscall.SIGUSR1:
		if err := spill(); err != nil {
			log.Warn("the log couldn't be written out", zap.Error(err))
		}
		return false
	case syscall.SIGHUP:
		// Many a supervisor sends it, and it mustn't end us.
		log.Info("taken; the settings are read again at the next start", zap.String("signal", got.String()))
		return false
	}
	return true
}

// leave: not ready at once, leaders passed on, open requests finished, and out
// within the limit. A second signal ends it at once.
func leave(real *process.Real, server Server, loaded *schema.Settings, signals chan os.Signal, log *zap.Logger, ring *logring.Ring) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(loaded.WarnUs)*time.Microsecond)
	defer cancel()
	go func() {
		for {
			select {
			case got := <-signals:
				if isWarning(got, log, ring.Flush) {
					cancel()
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	real.Warn()
	server.Warn()
	pace := time.NewTicker(50 * time.Millisecond)
	defer pace.Stop()
	for real.IsNeeded(ctx) && ctx.Err() == nil {
		select {
		case <-pace.C:
		case <-ctx.Done():
		}
	}
	if err := server.Shutdown(ctx); err != nil {
		log.Warn("requests were still open", zap.Error(err))
	}
	real.Stop()
	log.Info("left")
	return nil
}
