// Command sparnotch-platform runs gateway nodes and agent nodes on the users' platform,
// with the settings of the file that an environment variable names (package platform).
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

const bytesPerMB = 1_000_000

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&command{name: "front", synopsis: "run a gateway node", role: schema.Role_ROLE_SERVER}, "")
	subcommands.Register(&command{name: "side", synopsis: "run an agent node, with the agent of its worker", role: schema.Role_ROLE_CONTROLLER}, "")
	subcommands.Register(&command{name: "check", synopsis: "check the settings and start nothing"}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// command runs a node of a role, or checks the settings.
type command struct {
	name, synopsis string
	role           schema.Role // none: check the settings only
}

func (c *command) Name() string             { return c.name }
func (c *command) Synopsis() string         { return c.synopsis }
func (c *command) SetFlags(_ *flag.FlagSet) {}

func (c *command) Usage() string {
	return fmt.Sprintf("sparnotch-platform %s\n  %s, by the settings file that %s names.\n  Exit codes: 0 shut down on request, 1 failed, 2 bad settings (the setting is named).\n",
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
		return daemon.ExitInvalidSettings
	}
	if c.role == schema.Role_ROLE_NONE {
		fmt.Println("settings are valid")
		return subcommands.ExitSuccess
	}
	// SIGHUP changes nothing: settings are read at the start only.
	signal.Ignore(syscall.SIGHUP)
	// The platform kills a process above its memory limit. The collector works against a
	// soft limit below it: a fifth is left for memory that the runtime doesn't count.
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(settings.MemoryMB * bytesPerMB / 5 * 4)
	}
	var workerClients []agent.WorkerClient
	if c.role == schema.Role_ROLE_CONTROLLER {
		workerClients = append(workerClients, platform.NewWorkerClient(settings.WorkerAddress))
	}
	return daemon.Serve("sparnotch-platform", settings.NodeSettings, c.role, platform.Open(settings), workerClients...)
}
