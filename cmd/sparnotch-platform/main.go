// Command sparnotch-platform runs a gateway node or an agent node on the users' platform. It
// reads its settings from the file whose path is in the environment variable
// platform.SettingsVariable.
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
	// defaultGCPercent is the Go runtime's default for GOGC.
	defaultGCPercent = 100
	// storageNodeGCPercent is the GOGC value of storage nodes, which may lead a queue. The
	// memory limit still bounds their heap.
	storageNodeGCPercent = 400
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&command{name: "front", synopsis: "run a gateway node", role: schema.Role_ROLE_SERVER}, "")
	subcommands.Register(&command{name: "side", synopsis: "run an agent node, which includes the agent of the worker on this machine", role: schema.Role_ROLE_CONTROLLER}, "")
	subcommands.Register(&command{name: "check", synopsis: "check the settings without starting a node"}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// command is a subcommand that runs a node with a role, or only checks the settings.
type command struct {
	name, synopsis string
	role           schema.Role // ROLE_NONE: only check the settings
}

func (c *command) Name() string             { return c.name }
func (c *command) Synopsis() string         { return c.synopsis }
func (c *command) SetFlags(_ *flag.FlagSet) {}

func (c *command) Usage() string {
	return fmt.Sprintf("sparnotch-platform %s\n  %s. Reads the settings file whose path is in $%s.\n  Exit codes: 0 shut down on request, 1 failed, 2 invalid settings (the error names the setting).\n",
		c.name, c.synopsis, platform.SettingsVariable)
}

func (c *command) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	settings, err := platform.Load()
	if err == nil && set.NArg() > 0 {
		err = platform.InvalidSettings.New("%s: sparnotch-platform %s takes no arguments", set.Arg(0), c.name)
	}
	if err == nil && c.role != schema.Role_ROLE_NONE && c.role != settings.Role {
		err = platform.InvalidSettings.New("serves: the setting gives the process another role than sparnotch-platform %s", c.name)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "sparnotch-platform: %v\n", err)
		return daemon.ExitInvalidSettings
	}
	if c.role == schema.Role_ROLE_NONE {
		fmt.Println("settings are valid")
		return subcommands.ExitSuccess
	}
	// Until the daemon handles SIGHUP, the signal would end the process.
	signal.Ignore(syscall.SIGHUP)
	tuneCollector(settings)
	var workerClients []agent.WorkerClient
	if c.role == schema.Role_ROLE_CONTROLLER {
		workerClients = append(workerClients, platform.NewWorkerClient(settings.WorkerAddress))
	}
	return daemon.Serve("sparnotch-platform", settings.NodeSettings, settings.WatchFile(), c.role, platform.Open(settings), workerClients...)
}

// collectorTuning holds the settings of a process's garbage collector.
type collectorTuning struct {
	memoryLimit int64 // soft memory limit in bytes; 0 means no limit
	percent     int   // GOGC: percentage by which the heap may grow between two collections
}

// collectorTuningOf returns the garbage collector settings for a process. They depend on the
// memory limit that the platform sets and on whether the process is a storage node. A queue's
// leader runs on a storage node and is short of CPU time rather than of memory, since under
// load each collection delays the scheduling of tasks.
func collectorTuningOf(settings *platform.Settings) collectorTuning {
	tuning := collectorTuning{percent: defaultGCPercent}
	// The platform kills a process that exceeds its memory limit. The collector's soft limit
	// is a fifth below it, which leaves room for memory that the Go runtime doesn't count.
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
