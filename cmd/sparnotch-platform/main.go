// Command sparnotch-platform runs the product's processes on the users' platform: what they
// are told comes from the settings file that the environment names.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/google/subcommands"

	"sparnotch/internal/agent"
	"sparnotch/internal/daemon"
	"sparnotch/internal/schema"
	"sparnotch/platform"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&command{name: "front", synopsis: "run a front process", role: schema.Role_ROLE_SERVER}, "")
	subcommands.Register(&command{name: "side", synopsis: "run a side process, the agent of the worker there", role: schema.Role_ROLE_CONTROLLER}, "")
	subcommands.Register(&command{name: "check", synopsis: "check the settings and start nothing"}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

type command struct {
	name, synopsis string
	role           schema.Role // none: only a check
}

func (c *command) Name() string             { return c.name }
func (c *command) Synopsis() string         { return c.synopsis }
func (c *command) SetFlags(_ *flag.FlagSet) {}

func (c *command) Usage() string {
	return fmt.Sprintf("sparnotch-platform %s\n  %s, by the settings file that %s names.\n  Exit codes: 0 left when warned, 1 failed, 2 bad settings (the setting is named).\n",
		c.name, c.synopsis, platform.SettingsVariable)
}

func (c *command) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	settings, err := platform.Load()
	if err == nil && set.NArg() > 0 {
		err = platform.Invalid.New("%s: sparnotch-platform %s takes no arguments", set.Arg(0), c.name)
	}
	if err == nil && c.role != schema.Role_ROLE_NONE && c.role != settings.Role {
		err = platform.Invalid.New("serves: doesn't fit sparnotch-platform %s", c.name)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "sparnotch-platform: %v\n", err)
		return daemon.ExitOptions
	}
	if c.role == schema.Role_ROLE_NONE {
		fmt.Println("settings are good")
		return subcommands.ExitSuccess
	}
	// The settings may change under us; whatever counts is read at the next start.
	signal.Ignore(syscall.SIGHUP)
	// Above the limit the process is killed, so the collector works harder
	// before: a fifth is left for what the runtime doesn't count.
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(settings.MemoryMB * 1_000_000 / 5 * 4)
	}
	var workerClients []agent.WorkerClient
	if c.role == schema.Role_ROLE_CONTROLLER {
		workerClients = append(workerClients, platform.NewWorkerClient(settings.WorkerAddress))
	}
	return daemon.Serve("sparnotch-platform", settings.Options, c.role, platform.Open(settings), workerClients...)
}
