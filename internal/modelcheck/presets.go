package modelcheck

import "fmt"

// presets holds the limits of the worlds that the tests explore, by name.
var presets = map[string]Limits{
	// For exhaustive searches: three replicas and two operators.
	"whole": {
		Machines: 3, Voters: 3, Operators: 2, Operations: 6, Messages: 64,
		Crashes: 1, Duplicates: 1, Proposals: 3,
	},
	"synced": {
		Machines: 3, Voters: 3, Operators: 2, Operations: 6, Messages: 64,
		Crashes: 1, Proposals: 3, SyncAtOnce: true,
	},
	"members": {
		Machines: 4, Voters: 3, Operators: 2, Operations: 4, Messages: 64,
		Crashes: 1, Wipes: 1, Proposals: 3, SyncAtOnce: true, MembershipChanges: true,
	},
	// For schedules that package rapid draws.
	"drawn": {
		Machines: 4, Voters: 3, Operators: 2, Operations: 12, Messages: 64,
		Crashes: 3, Wipes: 1, Duplicates: 6, Proposals: 12, MembershipChanges: true,
	},
	// For random walks, with membership changes and with crashes that cut file writes short.
	"walk3": walkLimits(3, 5),
	"walk4": walkLimits(4, 6),
	"walk5": walkLimits(5, 7),
	"walk6": walkLimits(6, 7),
	"walk7": walkLimits(7, 8),
	// For random walks in which some configurations don't fit in one message.
	"large": largeLimits(),
	// For random walks with one clock for all machines, so that leader leases can be checked.
	"timed": timedLimits(),
}

func walkLimits(voters, machines int) Limits {
	return Limits{
		Machines: machines, Voters: voters, Operators: 3, Operations: 60, Messages: 400,
		Crashes: 1 << 20, Wipes: 6, Duplicates: 1 << 20, Proposals: 1 << 20, FileDisks: true, MembershipChanges: true,
	}
}

func largeLimits() Limits {
	limits := walkLimits(3, 4)
	limits.LargeBytes, limits.Operations = 24<<10, 16
	return limits
}

func timedLimits() Limits {
	limits := walkLimits(3, 3)
	limits.SharedClock, limits.MembershipChanges, limits.Wipes = true, false, 0
	return limits
}

func preset(name string) (Limits, error) {
	limits, found := presets[name]
	if !found {
		return limits, fmt.Errorf("there is no preset of a world named %q", name)
	}
	limits.Name = name
	return limits, nil
}
