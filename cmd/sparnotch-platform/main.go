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

const (
	bytesPerMB = 1_000_000
	// defaultGCPercent is the Go runtime's own.
	defaultGCPercent = 100
	// storageNodeGCPercent is for nodes that may lead; the memory limit bounds their heap all the same.
	storageNodeGCPercent = 400
)

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
		err = platform.InvalidSettings.New("%s: sparnotch-platform %s takes no arguments", set.Arg(0), c.name)
	}
	if err == nil && c.role != schema.Role_ROLE_NONE && c.role != settings.Role {
		err = platform.InvalidSettings.New("serves: doesn't fit sparnotch-platform %s", c.name)
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
	tuneCollector(settings)
	var workerClients []agent.WorkerClient
	if c.role == schema.Role_ROLE_CONTROLLER {
		workerClients = append(workerClients, platform.NewWorkerClient(settings.WorkerAddress))
	}
	return daemon.Serve("sparnotch-platform", settings.NodeSettings, c.role, platform.Open(settings), workerClients...)
}

// collectorTuning is how the garbage collector works in a process.
type collectorTuning struct {
	memoryLimit int64 // bytes, soft; 0: none
	percent     int   // by which the heap grows between two collections
}

// collectorTuningOf chooses the tuning by the limits that the platform sets and by what the
// process does. A leader's processor is scarcer than its memory: under load each collection
// delays what it schedules.
func collectorTuningOf(settings *platform.Settings) collectorTuning {
	tuning := collectorTuning{percent: defaultGCPercent}
	// The platform kills a process above its memory limit. The collector works against a
	// soft limit below it: a fifth is left for memory that the runtime doesn't count.
	if settings.MemoryMB > 0 {
		tuning.memoryLimit = settings.MemoryMB * bytesPerMB / 5 * 4
	}
	if settings.NodeSettings.DataDir != "" {
		tuning.percent = storageNodeGCPercent
	}
	return tuning
}

func tuneCollector(settings *platform.Settings) {
	tuning := collectorTuningOf(settings)
	if tuning.memoryLimit > 0 {
		debug.SetMemoryLimit(tuning.memoryLimit)
	}
	debug.SetGCPercent(tuning.percent)
}
