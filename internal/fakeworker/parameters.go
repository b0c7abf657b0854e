package fakeworker

import (
	"strconv"
	"strings"

	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
)

// defaultRunUs is the run time, in µs, of tasks whose text doesn't specify one.
const defaultRunUs = 20_000

// parseRequirements parses the text of a task, such as "run_us=30000 cores=500 memory=100
// members=3 saves=1 one_rack=1 rack=r1". Missing parameters have their defaults.
func parseRequirements(_ agent.TaskName, text string) Requirements {
	requirements := Requirements{
		Work: eventloop.Micros(textParameter(text, "run_us", defaultRunUs)), Cores: int64(textParameter(text, "cores", 0)), Memory: int64(textParameter(text, "memory", 0)),
		Accelerators: int64(textParameter(text, "accelerators", 0)), GangSize: int(textParameter(text, "members", 0)),
		HasCheckpoints: textParameter(text, "saves", 0) > 0, NeedsOneRack: textParameter(text, "one_rack", 0) > 0,
	}
	for _, field := range strings.Fields(text) {
		if rack, found := strings.CutPrefix(field, "rack="); found {
			requirements.Rack = rack
		}
	}
	return requirements
}

// textParameter returns the number after "parameter=" in a task's text, or fallback if there is
// none.
func textParameter(text, parameter string, fallback float64) float64 {
	for _, field := range strings.Fields(text) {
		if value, found := strings.CutPrefix(field, parameter+"="); found {
			if parsed, err := strconv.ParseFloat(value, 64); err == nil {
				return parsed
			}
		}
	}
	return fallback
}
