package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"

	"sparnotch/internal/replica"
)

// printEntry prints what one node says of itself.
type showCommand struct {
	nodeClient
	endpoint string
}

func (c *showCommand) Name() string { return c.endpoint }
func (c *showCommand) Synopsis() string {
	return map[string]string{
		"belief":     "print what one node believes",
		"placements": "print where a scheduler has put tasks, and why",
		"counts":     "print what one process has done so far",
		"ready":      "say whether a node can serve",
	}[c.endpoint]
}
func (c *showCommand) Usage() string {
	return fmt.Sprintf("sparnotchctl %s -nodes IP:PORT\n%s", c.endpoint, exitHelp)
}
func (c *showCommand) SetFlags(set *flag.FlagSet) { c.register(set) }
func (c *showCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	path := "/v1/" + c.endpoint
	if c.endpoint == "ready" {
		path = "/readyz"
	}
	data, status := c.call("GET", path, nil)
	if status == subcommands.ExitSuccess {
		os.Stdout.Write(data)
	}
	return status
}

// compareCommand sets two nodes' beliefs side by side.
type compareCommand struct {
	timeout time.Duration
}

func (*compareCommand) Name() string     { return "compare" }
func (*compareCommand) Synopsis() string { return "say in what two nodes' beliefs differ" }
func (*compareCommand) Usage() string {
	return "sparnotchctl compare IP:PORT IP:PORT\n  Nodes are asked a moment apart, so indexes may differ by what happened between;\n  two digests of one group at one applied index must be the same.\n  Exits with 4 when they differ.\n" + exitHelp
}
func (c *compareCommand) SetFlags(set *flag.FlagSet) {
	set.DurationVar(&c.timeout, "span", 5*time.Second, "how long each may take to answer")
}
func (c *compareCommand) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if set.NArg() != 2 {
		printError("two addresses are needed")
		return exitUsage
	}
	var states [2]*replica.NodeStateView
	for k := range states {
		code, data, err := sendOnce(c.timeout, "GET", set.Arg(k), "/v1/belief", nil)
		states[k] = &replica.NodeStateView{}
		if err == nil && code == 200 {
			err = json.Unmarshal(data, states[k])
		}
		if err != nil || code != 200 {
			printError("%s: answers %d, %v", set.Arg(k), code, err)
			return exitFailed
		}
	}
	lines := diffStates(states[0], states[1])
	if len(lines) == 0 {
		fmt.Println("the two agree")
		return subcommands.ExitSuccess
	}
	fmt.Println(strings.Join(lines, "\n"))
	return exitDiffers
}

func diffStates(a, b *replica.NodeStateView) []string {
	var lines []string
	addLine := func(what string, x, y any) {
		if fmt.Sprint(x) != fmt.Sprint(y) {
			lines = append(lines, fmt.Sprintf("%s: %v | %v", what, x, y))
		}
	}
	addLine("cluster state version", a.ClusterStateVersion, b.ClusterStateVersion)
	addLine("plan generation", a.ConfigurationRevision, b.ConfigurationRevision)
	addLine("cluster state fresh", a.IsClusterStateFresh, b.IsClusterStateFresh)
	addLine("controller", a.Controller, b.Controller)
	addLine("controller lease", a.ControllerLease, b.ControllerLease)
	groups := map[string][2]*replica.GroupStateView{}
	for k, state := range []*replica.NodeStateView{a, b} {
		for _, group := range state.Groups {
			pair := groups[group.Group]
			pair[k] = group
			groups[group.Group] = pair
		}
	}
	names := slices.Sorted(maps.Keys(groups))
	for _, name := range names {
		x, y := groups[name][0], groups[name][1]
		if x == nil || y == nil {
			addLine(name+" is held", x != nil, y != nil)
			continue
		}
		addLine(name+" leader", x.Leader, y.Leader)
		addLine(name+" term", x.Term, y.Term)
		addLine(name+" voters", x.Voters, y.Voters)
		addLine(name+" learners", x.Learners, y.Learners)
		if x.Applied == y.Applied && x.Digest != y.Digest {
			lines = append(lines, fmt.Sprintf("%s STATE at %d: %s | %s", name, x.Applied, x.Digest, y.Digest))
		}
		addLine(name+" applied", x.Applied, y.Applied)
	}
	leases := map[string][2]string{}
	for k, state := range []*replica.NodeStateView{a, b} {
		for _, lease := range state.WorkerLeases {
			pair := leases[lease.Worker]
			pair[k] = fmt.Sprintf("%s@%d", lease.Scheduler, lease.FencingToken)
			leases[lease.Worker] = pair
		}
	}
	workers := slices.Sorted(maps.Keys(leases))
	for _, worker := range workers {
		addLine("ward of "+worker, leases[worker][0], leases[worker][1])
	}
	members := map[string][2]bool{}
	for k, state := range []*replica.NodeStateView{a, b} {
		for _, member := range state.Members {
			pair := members[member.Id+" at "+member.InternalAddress]
			pair[k] = true
			members[member.Id+" at "+member.InternalAddress] = pair
		}
	}
	ids := slices.Sorted(maps.Keys(members))
	for _, id := range ids {
		addLine("member "+id+" known", members[id][0], members[id][1])
	}
	return lines
}
