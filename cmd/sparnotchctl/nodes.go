package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"

	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// showCommand prints the response of one node to a GET request for a path.
type showCommand struct {
	nodeClient
	name, path, synopsis string
}

func (c *showCommand) Name() string     { return c.name }
func (c *showCommand) Synopsis() string { return c.synopsis }
func (c *showCommand) Usage() string {
	return fmt.Sprintf("sparnotchctl %s -nodes IP:PORT\n%s", c.name, exitHelp)
}
func (c *showCommand) SetFlags(set *flag.FlagSet) { c.register(set) }
func (c *showCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return c.printAnswer("GET", c.path, nil)
}

// compareCommand compares the states that two nodes report, and prints the differences.
type compareCommand struct {
	timeout time.Duration
}

func (*compareCommand) Name() string     { return "compare" }
func (*compareCommand) Synopsis() string { return "show how the states of two nodes differ" }
func (*compareCommand) Usage() string {
	return "sparnotchctl compare IP:PORT IP:PORT\n  The nodes are asked one after the other, so indexes may differ by the entries that\n  were applied in between. At the same applied index, the digests of a group must be\n  equal. The exit code is 4 if the states differ.\n" + exitHelp
}
func (c *compareCommand) SetFlags(set *flag.FlagSet) {
	set.DurationVar(&c.timeout, "span", 5*time.Second, "timeout for the response of each node")
}
func (c *compareCommand) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if set.NArg() != 2 {
		printError("exactly two addresses are required")
		return exitUsage
	}
	var states [2]*replica.NodeStateView
	for k := range states {
		code, data, err := sendOnce(c.timeout, "", "GET", set.Arg(k), "/v1/belief", nil)
		states[k] = &replica.NodeStateView{}
		if err == nil && code == 200 {
			err = json.Unmarshal(data, states[k])
		}
		if err != nil || code != 200 {
			printError("the state of node %s could not be read: status %d, error %v", set.Arg(k), code, err)
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

// stateDiff collects the differences between two nodes' states, one line for each.
type stateDiff struct{ lines []string }

// add adds a line with a name and both values, if the values differ.
func (d *stateDiff) add(name string, x, y any) {
	if fmt.Sprint(x) != fmt.Sprint(y) {
		d.lines = append(d.lines, fmt.Sprintf("%s: %v | %v", name, x, y))
	}
}

// diffStates returns the differences between two nodes' states, one line for each.
func diffStates(a, b *replica.NodeStateView) []string {
	d := &stateDiff{}
	d.add("cluster state version", a.ClusterStateVersion, b.ClusterStateVersion)
	d.add("configuration generation", a.ConfigurationRevision, b.ConfigurationRevision)
	d.add("cluster state fresh", a.IsClusterStateFresh, b.IsClusterStateFresh)
	d.add("controller", a.Controller, b.Controller)
	d.add("controller lease", a.ControllerLease, b.ControllerLease)
	d.addGroups(a, b)
	d.addWorkerLeases(a, b)
	d.addMembers(a, b)
	return d.lines
}

// byKey pairs the values of two nodes that have the same key. The function entry returns the
// key and value of an item. If a node has no item with a key, its value is the zero value.
func byKey[T, V any](x, y []T, entry func(T) (string, V)) map[string][2]V {
	pairs := map[string][2]V{}
	for k, list := range [][]T{x, y} {
		for _, item := range list {
			key, value := entry(item)
			pair := pairs[key]
			pair[k] = value
			pairs[key] = pair
		}
	}
	return pairs
}

func (d *stateDiff) addGroups(a, b *replica.NodeStateView) {
	groups := byKey(a.Groups, b.Groups, func(group *replica.GroupStateView) (string, *replica.GroupStateView) { return group.Group, group })
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		x, y := groups[name][0], groups[name][1]
		if x == nil || y == nil {
			d.add(name+" has a replica", x != nil, y != nil)
			continue
		}
		d.add(name+" leader", x.Leader, y.Leader)
		d.add(name+" term", x.Term, y.Term)
		d.add(name+" voters", x.Voters, y.Voters)
		d.add(name+" learners", x.Learners, y.Learners)
		if x.Applied == y.Applied && x.Digest != y.Digest {
			d.lines = append(d.lines, fmt.Sprintf("%s STATE at %d: %s | %s", name, x.Applied, x.Digest, y.Digest))
		}
		d.add(name+" applied", x.Applied, y.Applied)
	}
}

func (d *stateDiff) addWorkerLeases(a, b *replica.NodeStateView) {
	leases := byKey(a.WorkerLeases, b.WorkerLeases, func(lease *schema.WorkerLease) (string, string) {
		return lease.Worker, fmt.Sprintf("%s@%d", lease.Scheduler, lease.FencingToken)
	})
	for _, worker := range slices.Sorted(maps.Keys(leases)) {
		d.add("lease of "+worker, leases[worker][0], leases[worker][1])
	}
}

func (d *stateDiff) addMembers(a, b *replica.NodeStateView) {
	members := byKey(a.Members, b.Members, func(member *schema.Member) (string, bool) {
		return member.Id + " at " + member.InternalAddress, true
	})
	for _, id := range slices.Sorted(maps.Keys(members)) {
		d.add("member "+id+" known", members[id][0], members[id][1])
	}
}
