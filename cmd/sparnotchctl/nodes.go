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

// show prints what one node says of itself.
type show struct {
	nodes
	what string
}

func (c *show) Name() string { return c.what }
func (c *show) Synopsis() string {
	return map[string]string{
		"belief":     "print what one node believes",
		"placements": "print where a scheduler has put tasks, and why",
		"counts":     "print what one process has done so far",
		"ready":      "say whether a node can serve",
	}[c.what]
}
func (c *show) Usage() string {
	return fmt.Sprintf("sparnotchctl %s -nodes IP:PORT\n%s", c.what, exitHelp)
}
func (c *show) SetFlags(set *flag.FlagSet) { c.register(set) }
func (c *show) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	path := "/v1/" + c.what
	if c.what == "ready" {
		path = "/readyz"
	}
	data, status := c.call("GET", path, nil)
	if status == subcommands.ExitSuccess {
		os.Stdout.Write(data)
	}
	return status
}

// compare sets two nodes' beliefs side by side.
type compare struct {
	span time.Duration
}

func (*compare) Name() string     { return "compare" }
func (*compare) Synopsis() string { return "say in what two nodes' beliefs differ" }
func (*compare) Usage() string {
	return "sparnotchctl compare IP:PORT IP:PORT\n  Nodes are asked a moment apart, so indexes may differ by what happened between;\n  two digests of one group at one applied index must be the same.\n  Exits with 4 when they differ.\n" + exitHelp
}
func (c *compare) SetFlags(set *flag.FlagSet) {
	set.DurationVar(&c.span, "span", 5*time.Second, "how long each may take to answer")
}
func (c *compare) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if set.NArg() != 2 {
		complain("two addresses are needed")
		return exitUsage
	}
	var beliefs [2]*replica.NodeStateView
	for k := range beliefs {
		code, data, err := once(c.span, "GET", set.Arg(k), "/v1/belief", nil)
		beliefs[k] = &replica.NodeStateView{}
		if err == nil && code == 200 {
			err = json.Unmarshal(data, beliefs[k])
		}
		if err != nil || code != 200 {
			complain("%s: answers %d, %v", set.Arg(k), code, err)
			return exitFailed
		}
	}
	lines := differences(beliefs[0], beliefs[1])
	if len(lines) == 0 {
		fmt.Println("the two agree")
		return subcommands.ExitSuccess
	}
	fmt.Println(strings.Join(lines, "\n"))
	return exitDiffers
}

func differences(a, b *replica.NodeStateView) []string {
	var lines []string
	say := func(what string, x, y any) {
		if fmt.Sprint(x) != fmt.Sprint(y) {
			lines = append(lines, fmt.Sprintf("%s: %v | %v", what, x, y))
		}
	}
	say("cluster state version", a.ClusterStateVersion, b.ClusterStateVersion)
	say("plan generation", a.ConfigurationRevision, b.ConfigurationRevision)
	say("cluster state fresh", a.IsClusterStateFresh, b.IsClusterStateFresh)
	say("controller", a.Controller, b.Controller)
	say("controller lease", a.ControllerLease, b.ControllerLease)
	groups := map[string][2]*replica.GroupStateView{}
	for k, belief := range []*replica.NodeStateView{a, b} {
		for _, group := range belief.Groups {
			pair := groups[group.Group]
			pair[k] = group
			groups[group.Group] = pair
		}
	}
	names := slices.Sorted(maps.Keys(groups))
	for _, name := range names {
		x, y := groups[name][0], groups[name][1]
		if x == nil || y == nil {
			say(name+" is held", x != nil, y != nil)
			continue
		}
		say(name+" leader", x.Leader, y.Leader)
		say(name+" term", x.Term, y.Term)
		say(name+" voters", x.Voters, y.Voters)
		say(name+" learners", x.Learners, y.Learners)
		if x.Applied == y.Applied && x.Digest != y.Digest {
			lines = append(lines, fmt.Sprintf("%s STATE at %d: %s | %s", name, x.Applied, x.Digest, y.Digest))
		}
		say(name+" applied", x.Applied, y.Applied)
	}
	wards := map[string][2]string{}
	for k, belief := range []*replica.NodeStateView{a, b} {
		for _, ward := range belief.WorkerLeases {
			pair := wards[ward.Worker]
			pair[k] = fmt.Sprintf("%s@%d", ward.Scheduler, ward.FencingToken)
			wards[ward.Worker] = pair
		}
	}
	workers := slices.Sorted(maps.Keys(wards))
	for _, worker := range workers {
		say("ward of "+worker, wards[worker][0], wards[worker][1])
	}
	members := map[string][2]bool{}
	for k, belief := range []*replica.NodeStateView{a, b} {
		for _, member := range belief.Members {
			pair := members[member.Id+" at "+member.InternalAddress]
			pair[k] = true
			members[member.Id+" at "+member.InternalAddress] = pair
		}
	}
	ids := slices.Sorted(maps.Keys(members))
	for _, id := range ids {
		say("member "+id+" known", members[id][0], members[id][1])
	}
	return lines
}
