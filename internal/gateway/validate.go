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
	MaxText     = 4096
	MaxSteps    = 64
	MaxTasks    = 20_000 // of a whole job, all its rounds together
	MaxRounds   = 1000
	MaxDelayUs  = 400 * 24 * 3600 * 1_000_000
	maxSpanUs   = 30 * 24 * 3600 * 1_000_000
	maxFailures = 1000
	maxCores    = 1_000_000_000
	maxLabels   = 16
	minWallUs   = 1_000_000_000_000_000 // 2001
)

var nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// GoodName tells whether a job or client may be called so.
func GoodName(name string) bool { return nameForm.MatchString(name) }

// Check finds what is wrong with a job, whatever the plan says.
func Check(job *schema.Job) *schema.Error {
	bad := func(field, form string, args ...any) *schema.Error {
		return &schema.Error{Code: "bad_job", Field: field, Message: fmt.Sprintf(form, args...)}
	}
	switch {
	case len(job.Text) > MaxText:
		return bad("text", "at most %d bytes", MaxText)
	case !utf8.ValidString(job.Text):
		return bad("text", "must be UTF-8")
	case job.DelayUs < 0 || job.DelayUs > MaxDelayUs:
		return bad("delay_us", "must lie between 0 and %d", int64(MaxDelayUs))
	case job.StartUnixUs != 0 && job.DelayUs != 0:
		return bad("start_wall_us", "give either a delay or a start")
	case job.StartUnixUs != 0 && job.StartUnixUs < minWallUs:
		return bad("start_wall_us", "must be microseconds since 1970")
	case job.Rounds > MaxRounds:
		return bad("rounds", "at most %d", MaxRounds)
	case job.PeriodUs < 0 || job.PeriodUs > maxSpanUs:
		return bad("every_us", "must lie between 0 and %d", int64(maxSpanUs))
	case len(job.Steps) == 0:
		return bad("steps", "a job has at least one step")
	case len(job.Steps) > MaxSteps:
		return bad("steps", "at most %d steps", MaxSteps)
	}
	names := map[string]int{}
	total := uint64(0)
	for k, step := range job.Steps {
		field := func(name string) string { return fmt.Sprintf("steps[%d].%s", k, name) }
		if step == nil {
			return bad(fmt.Sprintf("steps[%d]", k), "must not be null")
		}
		if total += uint64(step.Tasks) * uint64(max(job.Rounds, 1)); total > MaxTasks {
			return bad(field("tasks"), "a job has at most %d tasks, over all rounds", MaxTasks)
		}
		switch {
		case !GoodName(step.Name):
			return bad(field("name"), "%q is no name: letters, digits, '.', '_', ':' and '-', at most 128", step.Name)
		case step.Tasks == 0:
			return bad(field("tasks"), "a step has at least one task")
		case step.CoresMilli <= 0 || step.CoresMilli > maxCores:
			return bad(field("cores_milli"), "must lie between 1 and %d", maxCores)
		case step.MemoryMb < 0 || step.MemoryMb > maxCores:
			return bad(field("memory_mb"), "must lie between 0 and %d", maxCores)
		case step.AllowedFailures > maxFailures:
			return bad(field("allowed_failures"), "at most %d", maxFailures)
		case step.TimeLimitUs < 0 || step.TimeLimitUs > maxSpanUs:
			return bad(field("time_limit_us"), "must lie between 0 and %d", int64(maxSpanUs))
		case step.StallTimeoutUs < 0 || step.StallTimeoutUs > maxSpanUs:
			return bad(field("still_us"), "must lie between 0 and %d", int64(maxSpanUs))
		case step.Accelerators < 0 || step.Accelerators > maxCores:
			return bad(field("accelerators"), "must lie between 0 and %d", maxCores)
		case len(step.Labels) > maxLabels:
			return bad(field("labels"), "at most %d labels", maxLabels)
		case step.DataRack != "" && !GoodName(step.DataRack):
			return bad(field("data_rack"), "%q is no name: letters, digits, '.', '_', ':' and '-', at most 128", step.DataRack)
		case step.MaxPerWorker > maxCores:
			return bad(field("per_worker"), "at most %d", maxCores)
		case step.EstimatedRunUs < 0 || step.EstimatedRunUs > maxSpanUs:
			return bad(field("estimate_us"), "must lie between 0 and %d", int64(maxSpanUs))
		}
		for l, label := range step.Labels {
			if !GoodName(label) {
				return bad(fmt.Sprintf("steps[%d].labels[%d]", k, l), "%q is no name: letters, digits, '.', '_', ':' and '-', at most 128", label)
			}
		}
		if _, isTwice := names[step.Name]; isTwice {
			return bad(field("name"), "%q stands twice", step.Name)
		}
		names[step.Name] = k
	}
	for k, step := range job.Steps {
		for a, name := range step.Dependencies {
			if _, isKnown := names[name]; !isKnown {
				return bad(fmt.Sprintf("steps[%d].after[%d]", k, a), "there is no step %q", name)
			}
		}
	}
	return checkRings(job, names, bad)
}

// checkRings finds steps that wait for each other.
func checkRings(job *schema.Job, names map[string]int, bad func(string, string, ...any) *schema.Error) *schema.Error {
	const (
		unseen = iota
		open
		done
	)
	marks := make([]int, len(job.Steps))
	var visit func(k int) *schema.Error
	visit = func(k int) *schema.Error {
		marks[k] = open
		for a, name := range job.Steps[k].Dependencies {
			other := names[name]
			if marks[other] == open {
				return bad(fmt.Sprintf("steps[%d].after[%d]", k, a), "steps %q and %q wait for each other", job.Steps[k].Name, name)
			}
			if marks[other] == unseen {
				if fault := visit(other); fault != nil {
					return fault
				}
			}
		}
		marks[k] = done
		return nil
	}
	for k := range job.Steps {
		if marks[k] == unseen {
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
