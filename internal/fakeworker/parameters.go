package fakeworker

import (
	"strconv"
	"strings"

	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
)

// defaultRunUs is how long a task runs whose text doesn't say.
const defaultRunUs = 20_000

// parseRequirements reads a task's text, such as "run_us=30000 cores=500 memory=100
// members=3 saves=1 one_rack=1 rack=r1".
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

// textParameter is the number after "parameter=" in a task's text.
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
