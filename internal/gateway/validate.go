package gateway

import (
	"crypto/sha256"
	"fmt"
	"regexp"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// Limits of one job; they bound what one record may cost.
const (
	MaxText       = 4096
	MaxSteps      = 64
	MaxTasks      = 20_000 // of a whole job, all its rounds together
	MaxRounds     = 1000
	MaxDelayUs    = 400 * 24 * 3600 * 1_000_000
	maxDurationUs = 30 * 24 * 3600 * 1_000_000
	maxFailures   = 1000
	maxCores      = 1_000_000_000
	maxLabels     = 16
	minWallUs     = 1_000_000_000_000_000 // 2001
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// IsValidName tells whether a job or client may be called so.
func IsValidName(name string) bool { return namePattern.MatchString(name) }

// ValidateJob finds what is wrong with a job, whatever the plan says.
func ValidateJob(job *schema.Job) *schema.Error {
	fault := func(field, format string, args ...any) *schema.Error {
		return &schema.Error{Code: "bad_job", Field: field, Message: fmt.Sprintf(format, args...)}
	}
	switch {
	case len(job.Text) > MaxText:
		return fault("text", "at most %d bytes", MaxText)
	case !utf8.ValidString(job.Text):
		return fault("text", "must be UTF-8")
	case job.DelayUs < 0 || job.DelayUs > MaxDelayUs:
		return fault("delay_us", "must lie between 0 and %d", int64(MaxDelayUs))
	case job.StartUnixUs != 0 && job.DelayUs != 0:
		return fault("start_wall_us", "give either a delay or a start")
	case job.StartUnixUs != 0 && job.StartUnixUs < minWallUs:
		return fault("start_wall_us", "must be microseconds since 1970")
	case job.Rounds > MaxRounds:
		return fault("rounds", "at most %d", MaxRounds)
	case job.PeriodUs < 0 || job.PeriodUs > maxDurationUs:
		return fault("every_us", "must lie between 0 and %d", int64(maxDurationUs))
	case len(job.Steps) == 0:
		return fault("steps", "a job has at least one step")
	case len(job.Steps) > MaxSteps:
		return fault("steps", "at most %d steps", MaxSteps)
	}
	names := map[string]int{}
	taskCount := uint64(0)
	for k, step := range job.Steps {
		field := func(name string) string { return fmt.Sprintf("steps[%d].%s", k, name) }
		if step == nil {
			return fault(fmt.Sprintf("steps[%d]", k), "must not be null")
		}
		if taskCount += uint64(step.Tasks) * uint64(max(job.Rounds, 1)); taskCount > MaxTasks {
			return fault(field("tasks"), "a job has at most %d tasks, over all rounds", MaxTasks)
		}
		switch {
		case !IsValidName(step.Name):
			return fault(field("name"), "%q is no name: letters, digits, '.', '_', ':' and '-', at most 128", step.Name)
		case step.Tasks == 0:
			return fault(field("tasks"), "a step has at least one task")
		case step.CoresMilli <= 0 || step.CoresMilli > maxCores:
			return fault(field("cores_milli"), "must lie between 1 and %d", maxCores)
		case step.MemoryMb < 0 || step.MemoryMb > maxCores:
			return fault(field("memory_mb"), "must lie between 0 and %d", maxCores)
		case step.AllowedFailures > maxFailures:
			return fault(field("allowed_failures"), "at most %d", maxFailures)
		case step.TimeLimitUs < 0 || step.TimeLimitUs > maxDurationUs:
			return fault(field("time_limit_us"), "must lie between 0 and %d", int64(maxDurationUs))
		case step.StallTimeoutUs < 0 || step.StallTimeoutUs > maxDurationUs:
			return fault(field("still_us"), "must lie between 0 and %d", int64(maxDurationUs))
		case step.Accelerators < 0 || step.Accelerators > maxCores:
			return fault(field("accelerators"), "must lie between 0 and %d", maxCores)
		case len(step.Labels) > maxLabels:
			return fault(field("labels"), "at most %d labels", maxLabels)
		case step.DataRack != "" && !IsValidName(step.DataRack):
			return fault(field("data_rack"), "%q is no name: letters, digits, '.', '_', ':' and '-', at most 128", step.DataRack)
		case step.MaxPerWorker > maxCores:
			return fault(field("per_worker"), "at most %d", maxCores)
		case step.EstimatedRunUs < 0 || step.EstimatedRunUs > maxDurationUs:
			return fault(field("estimate_us"), "must lie between 0 and %d", int64(maxDurationUs))
		}
		for l, label := range step.Labels {
			if !IsValidName(label) {
				return fault(fmt.Sprintf("steps[%d].labels[%d]", k, l), "%q is no name: letters, digits, '.', '_', ':' and '-', at most 128", label)
			}
		}
		if _, exists := names[step.Name]; exists {
			return fault(field("name"), "%q stands twice", step.Name)
		}
		names[step.Name] = k
	}
	for k, step := range job.Steps {
		for a, name := range step.Dependencies {
			if _, exists := names[name]; !exists {
				return fault(fmt.Sprintf("steps[%d].after[%d]", k, a), "there is no step %q", name)
			}
		}
	}
	return checkCycles(job, names, fault)
}

// checkCycles finds steps that wait for each other.
func checkCycles(job *schema.Job, names map[string]int, fault func(string, string, ...any) *schema.Error) *schema.Error {
	const (
		unseen = iota
		open
		done
	)
	states := make([]int, len(job.Steps))
	var visit func(k int) *schema.Error
	visit = func(k int) *schema.Error {
		states[k] = open
		for a, name := range job.Steps[k].Dependencies {
			other := names[name]
			if states[other] == open {
				return fault(fmt.Sprintf("steps[%d].after[%d]", k, a), "steps %q and %q wait for each other", job.Steps[k].Name, name)
			}
			if states[other] == unseen {
				if fault := visit(other); fault != nil {
					return fault
				}
			}
		}
		states[k] = done
		return nil
	}
	for k := range job.Steps {
		if states[k] == unseen {
			if fault := visit(k); fault != nil {
				return fault
			}
		}
	}
	return nil
}

// Digest tells contents apart.
func Digest(job *schema.Job) []byte {
	sum := sha256.Sum256(marshal(job))
	return sum[:16]
}

func marshal(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic("gateway: " + err.Error())
	}
	return data
}
