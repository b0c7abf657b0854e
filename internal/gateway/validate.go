package gateway

import (
	"crypto/sha256"
	"fmt"
	"regexp"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// Limits of one job. They bound the size of a log entry and of a queue's state.
const (
	MaxText       = 4096 // bytes
	MaxSteps      = 64
	MaxTasks      = 20_000 // of all steps and rounds together
	MaxRounds     = 1000
	MaxDelayUs    = 400 * 24 * 3600 * 1_000_000 // 400 days
	maxDurationUs = 30 * 24 * 3600 * 1_000_000  // 30 days
	maxFailures   = 1000
	maxAmount     = 1_000_000_000 // of cores, memory, accelerators and tasks per worker
	maxLabels     = 16
	minUnixUs     = 1_000_000_000_000_000 // in the year 2001
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// IsValidName says whether a job, step, label or client may have this name.
func IsValidName(name string) bool { return namePattern.MatchString(name) }

// ValidateJob returns the first thing that is wrong with a job, whatever the
// configuration; nil: nothing is. The error names the field.
func ValidateJob(job *schema.Job) *schema.Error {
	if fault := validateSchedule(job); fault != nil {
		return fault
	}
	if len(job.Steps) == 0 {
		return badJob("steps", "a job has at least one step")
	}
	if len(job.Steps) > MaxSteps {
		return badJob("steps", "at most %d steps", MaxSteps)
	}
	indexByName := map[string]int{}
	taskCount := uint64(0)
	for k, step := range job.Steps {
		if step == nil {
			return badJob(fmt.Sprintf("steps[%d]", k), "must not be null")
		}
		if taskCount += uint64(step.Tasks) * uint64(max(job.Rounds, 1)); taskCount > MaxTasks {
			return badJob(stepField(k, "tasks"), "a job has at most %d tasks, over all rounds", MaxTasks)
		}
		if fault := validateStep(k, step); fault != nil {
			return fault
		}
		if _, exists := indexByName[step.Name]; exists {
			return badJob(stepField(k, "name"), "%q is given twice", step.Name)
		}
		indexByName[step.Name] = k
	}
	return validateDependencies(job, indexByName)
}

func badJob(field, format string, args ...any) *schema.Error {
	return &schema.Error{Code: codeBadJob, Field: field, Message: fmt.Sprintf(format, args...)}
}

func stepField(index int, name string) string { return fmt.Sprintf("steps[%d].%s", index, name) }

func outOfRange(field string, minimum, maximum int64) *schema.Error {
	return badJob(field, "must lie between %d and %d", minimum, maximum)
}

func badName(field, name string) *schema.Error {
	return badJob(field, "%q is no name: "+NameRule, name)
}

// validateSchedule checks a job's text and when it is to run.
func validateSchedule(job *schema.Job) *schema.Error {
	switch {
	case len(job.Text) > MaxText:
		return badJob("text", "at most %d bytes", MaxText)
	case !utf8.ValidString(job.Text):
		return badJob("text", "must be UTF-8")
	case job.DelayUs < 0 || job.DelayUs > MaxDelayUs:
		return outOfRange("delay_us", 0, MaxDelayUs)
	case job.StartUnixUs != 0 && job.DelayUs != 0:
		return badJob("start_wall_us", "give either a delay or a start")
	case job.StartUnixUs != 0 && job.StartUnixUs < minUnixUs:
		return badJob("start_wall_us", "must be microseconds since 1970")
	case job.Rounds > MaxRounds:
		return badJob("rounds", "at most %d", MaxRounds)
	case job.PeriodUs < 0 || job.PeriodUs > maxDurationUs:
		return outOfRange("every_us", 0, maxDurationUs)
	}
	return nil
}

func validateStep(k int, step *schema.Step) *schema.Error {
	field := func(name string) string { return stepField(k, name) }
	switch {
	case !IsValidName(step.Name):
		return badName(field("name"), step.Name)
	case step.Tasks == 0:
		return badJob(field("tasks"), "a step has at least one task")
	case step.CoresMilli <= 0 || step.CoresMilli > maxAmount:
		return outOfRange(field("cores_milli"), 1, maxAmount)
	case step.MemoryMb < 0 || step.MemoryMb > maxAmount:
		return outOfRange(field("memory_mb"), 0, maxAmount)
	case step.AllowedFailures > maxFailures:
		return badJob(field("allowed_failures"), "at most %d", maxFailures)
	case step.TimeLimitUs < 0 || step.TimeLimitUs > maxDurationUs:
		return outOfRange(field("time_limit_us"), 0, maxDurationUs)
	case step.StallTimeoutUs < 0 || step.StallTimeoutUs > maxDurationUs:
		return outOfRange(field("still_us"), 0, maxDurationUs)
	case step.Accelerators < 0 || step.Accelerators > maxAmount:
		return outOfRange(field("accelerators"), 0, maxAmount)
	case len(step.Labels) > maxLabels:
		return badJob(field("labels"), "at most %d labels", maxLabels)
	case step.DataRack != "" && !IsValidName(step.DataRack):
		return badName(field("data_rack"), step.DataRack)
	case step.MaxPerWorker > maxAmount:
		return badJob(field("per_worker"), "at most %d", maxAmount)
	case step.EstimatedRunUs < 0 || step.EstimatedRunUs > maxDurationUs:
		return outOfRange(field("estimate_us"), 0, maxDurationUs)
	}
	for l, label := range step.Labels {
		if !IsValidName(label) {
			return badName(fmt.Sprintf("steps[%d].labels[%d]", k, l), label)
		}
	}
	return nil
}

// validateDependencies checks that the steps form an acyclic graph.
func validateDependencies(job *schema.Job, indexByName map[string]int) *schema.Error {
	for k, step := range job.Steps {
		for a, name := range step.Dependencies {
			if _, exists := indexByName[name]; !exists {
				return badJob(fmt.Sprintf("steps[%d].after[%d]", k, a), "there is no step %q", name)
			}
		}
	}
	search := cycleSearch{job: job, indexByName: indexByName, states: make([]visitState, len(job.Steps))}
	for k := range job.Steps {
		if fault := search.visit(k); fault != nil {
			return fault
		}
	}
	return nil
}

// cycleSearch is a depth-first search for a cycle in the dependencies of a job's steps,
// all of which exist.
type cycleSearch struct {
	job         *schema.Job
	indexByName map[string]int
	states      []visitState
}

// visitState is how far a search has come with a step.
type visitState int

const (
	unvisited visitState = iota
	visiting
	visited
)

// visit returns the dependency that closes a cycle among what a step waits for; nil:
// there is none.
func (s *cycleSearch) visit(k int) *schema.Error {
	if s.states[k] == visited {
		return nil
	}
	s.states[k] = visiting
	step := s.job.Steps[k]
	for a, name := range step.Dependencies {
		dependency := s.indexByName[name]
		if s.states[dependency] == visiting {
			return badJob(fmt.Sprintf("steps[%d].after[%d]", k, a), "steps %q and %q wait for each other", step.Name, name)
		}
		if fault := s.visit(dependency); fault != nil {
			return fault
		}
	}
	s.states[k] = visited
	return nil
}

// Digest tells the contents of jobs apart: 16 bytes of the SHA-256 of a deterministic
// encoding.
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
