package main

import (
	"flag"
	"fmt"
	"strings"
)

const (
	storageNodeCount = 3
	firstAgentHost   = 200 // lower host numbers belong to storage and gateway nodes
	maxHosts         = 60_000
)

// hollowConfig describes a hollow deployment and its load. Such a deployment has real storage and
// gateway nodes, but hollow agent nodes: their workers execute nothing, and many of these nodes
// share a process.
type hollowConfig struct {
	Net              string  // first two numbers of the loopback addresses
	Profile          string  // folder for a processor profile of each process; empty: no profiles
	Folder           string  // for the data of the storage nodes
	Workers          int     // number of agent nodes, each with a hollow agent and a worker
	Gateways         int     // number of gateway nodes without storage
	Queues           int     // all of them on the same three storage nodes
	StartsPerSecond  float64 // task starts
	RunUs            int64   // run time of a task
	Width            int     // number of tasks of each job, which has one step
	Gang             bool    // whether the tasks of a job are a gang
	ChangesPerMinute float64 // changes of the configuration
	Rows             int     // minimum number of rows of the configuration
	Zones            int
	PerRack          int   // workers in each rack
	Controllers      int   // number of agent nodes that are controller candidates; 0: all
	SyncUs           int64 // minimum duration of a sync of a storage node
	Regions          int   // number of regions, in the simulator only
	RegionDelayUs    int64 // one-way delay between regions, in the simulator only
	AgentProcesses   int   // number of processes of the operating system that the agent nodes share
}

// defaultHollowConfig returns the default values of the flags.
func defaultHollowConfig() hollowConfig {
	return hollowConfig{
		Net: "127.11", Workers: 24, Gateways: 2, Queues: 4, StartsPerSecond: 20, RunUs: 100_000, Width: 1, Zones: 3, PerRack: 3, SyncUs: 500, Regions: 1, RegionDelayUs: 6000, AgentProcesses: 2,
	}
}

// address returns the address of a port on a host. Hosts are numbered over all nodes.
func (c *hollowConfig) address(host, port int) string {
	return fmt.Sprintf("%s.%d.%d:%d", c.Net, host/250, host%250+1, port)
}

func (c *hollowConfig) zone(k int) string { return fmt.Sprintf("c%d", k%c.Zones+1) }

func (c *hollowConfig) seeds() []string {
	var list []string
	for k := range storageNodeCount {
		list = append(list, c.address(k, internalPort))
	}
	return list
}

// gatewayHost returns the host of the gateway node that a random number selects. Without
// gateway nodes it selects a storage node.
func (c *hollowConfig) gatewayHost(draw int) int {
	if c.Gateways == 0 {
		return draw % storageNodeCount
	}
	return storageNodeCount + draw%c.Gateways
}

// check returns an error that names the first field out of range.
func (c *hollowConfig) check() error {
	numbers := strings.Split(c.Net, ".")
	switch {
	case len(numbers) != 2 || numbers[0] != "127":
		return fmt.Errorf("net: %q is not the first two numbers of a loopback address, like 127.11", c.Net)
	case c.Workers < 1 || c.Workers > maxHosts-firstAgentHost:
		return fmt.Errorf("workers: must lie between 1 and %d", maxHosts-firstAgentHost)
	case c.Gateways < 0 || c.Gateways > firstAgentHost-storageNodeCount:
		return fmt.Errorf("fronts: must lie between 0 and %d", firstAgentHost-storageNodeCount)
	case c.Queues < 1 || c.Queues > 1000:
		return fmt.Errorf("queues: must lie between 1 and 1000")
	case c.StartsPerSecond < 0 || c.StartsPerSecond > 10_000:
		return fmt.Errorf("starts: must lie between 0 and 10000 per second")
	case c.RunUs < 1:
		return fmt.Errorf("run_us: must be 1 or more")
	case c.Width < 1 || c.Width > 1000:
		return fmt.Errorf("width: must lie between 1 and 1000")
	case c.ChangesPerMinute < 0 || c.ChangesPerMinute > 600:
		return fmt.Errorf("changes: must lie between 0 and 600 per minute")
	case c.Rows < 0 || c.Rows > 9000:
		return fmt.Errorf("rows: must lie between 0 and 9000")
	case c.Zones < 1 || c.Zones > 100:
		return fmt.Errorf("zones: must lie between 1 and 100")
	case c.Regions < 1 || c.Regions > c.Zones:
		return fmt.Errorf("regions: must lie between 1 and the number of zones, %d", c.Zones)
	case c.RegionDelayUs < 0 || c.RegionDelayUs > 1_000_000:
		return fmt.Errorf("far_us: must lie between 0 and 1000000")
	case c.PerRack < 1:
		return fmt.Errorf("per_rack: must be 1 or more")
	case c.Controllers < 0:
		return fmt.Errorf("controllers: must not be negative")
	case c.AgentProcesses < 1 || c.AgentProcesses > 100:
		return fmt.Errorf("shares: must lie between 1 and 100")
	case c.SyncUs < 0 || c.SyncUs > 60_000_000:
		return fmt.Errorf("sync_us: must lie between 0 and 60000000")
	}
	return nil
}

// register defines the flags that set the fields. Folder has no flag, and the flags for the
// regions are defined by sweepCommand alone.
func (c *hollowConfig) register(set *flag.FlagSet) {
	defaults := defaultHollowConfig()
	set.StringVar(&c.Net, "net", defaults.Net, "first two numbers of the loopback addresses to use")
	set.StringVar(&c.Profile, "profile", "", "folder for a processor profile of each process during the measurement")
	set.IntVar(&c.Workers, "workers", defaults.Workers, "number of agent nodes, each with a hollow agent and a fake worker")
	set.IntVar(&c.Gateways, "fronts", defaults.Gateways, "number of gateway nodes without storage")
	set.IntVar(&c.Queues, "queues", defaults.Queues, "number of queues")
	set.Float64Var(&c.StartsPerSecond, "starts", defaults.StartsPerSecond, "task starts per second")
	set.Int64Var(&c.RunUs, "run_us", defaults.RunUs, "run time of a task, in microseconds")
	set.IntVar(&c.Width, "width", defaults.Width, "number of tasks of each job")
	set.BoolVar(&c.Gang, "together", defaults.Gang, "the tasks of a job are a gang")
	set.Float64Var(&c.ChangesPerMinute, "changes", defaults.ChangesPerMinute, "changes of the configuration per minute")
	set.IntVar(&c.Rows, "rows", defaults.Rows, "minimum number of rows of the configuration")
	set.IntVar(&c.Zones, "zones", defaults.Zones, "number of zones, to which the nodes are assigned in turn")
	set.IntVar(&c.PerRack, "per_rack", defaults.PerRack, "number of workers in each rack")
	set.IntVar(&c.Controllers, "controllers", defaults.Controllers, "number of agent nodes that are controller candidates; 0: all")
	set.Int64Var(&c.SyncUs, "sync_us", defaults.SyncUs, "minimum duration of a sync of a storage node, in microseconds")
	set.IntVar(&c.AgentProcesses, "shares", defaults.AgentProcesses, "number of processes of the operating system that the agent nodes share")
}
