package modelcheck

import "fmt"

// presets are the worlds that schedules are played in, by name.
var presets = map[string]Limits{
	// Every schedule to a depth: three replicas and two operators.
	"whole":   {Machines: 3, Voters: 3, Operators: 2, Operations: 6, Messages: 64, Crashes: 1, Twice: 1, Puts: 3},
	"synced":  {Machines: 3, Voters: 3, Operators: 2, Operations: 6, Messages: 64, Crashes: 1, Twice: 0, Puts: 3, IsSynced: true},
	"members": {Machines: 4, Voters: 3, Operators: 2, Operations: 4, Messages: 64, Crashes: 1, Wipes: 1, Puts: 3, IsSynced: true, IsChanging: true},
	"drawn":   {Machines: 4, Voters: 3, Operators: 2, Operations: 12, Messages: 64, Crashes: 3, Wipes: 1, Twice: 6, Puts: 12, IsChanging: true},
	// Random walks, with joins and leaves, on stores that crashes tear.
	"walk3": walkLimits(3, 5),
	"walk4": walkLimits(4, 6),
	"walk5": walkLimits(5, 7),
	"walk6": walkLimits(6, 7),
	"walk7": walkLimits(7, 8),
	// Some configurations are larger than what is sent in one message.
	"large": largeLimits(),
	// Time passes alike for all, so that leaders which act can be counted.
	"timed": timedLimits(),
}

func walkLimits(voters, machines int) Limits {
	return Limits{
		Machines: machines, Voters: voters, Operators: 3, Operations: 60, Messages: 400,
		Crashes: 1 << 20, Wipes: 6, Twice: 1 << 20, Puts: 1 << 20, IsFiles: true, IsChanging: true,
	}
}

func largeLimits() Limits {
	limits := walkLimits(3, 4)
	limits.Large, limits.Operations = 24<<10, 16
	return limits
}

func timedLimits() Limits {
	limits := walkLimits(3, 3)
	limits.IsTimed, limits.IsChanging, limits.Wipes = true, false, 0
	return limits
}

func preset(name string) (Limits, error) {
	limits, isKnown := presets[name]
	if !isKnown {
		return limits, fmt.Errorf("no world is called %q", name)
	}
	limits.Name = name
	return limits, nil
}
