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
	MaxTasks      = 20_000 // in all steps and rounds together
	MaxRounds     = 1000
	MaxDelayUs    = 400 * 24 * 3600 * 1_000_000 // 400 days
	maxDurationUs = 30 * 24 * 3600 * 1_000_000  // 30 days
	maxFailures   = 1000
	maxAmount     = 1_000_000_000 // limit each on thousandths of a core, MB of memory, accelerators, and tasks per worker
	maxLabels     = 16
	minUnixUs     = 1_000_000_000_000_000 // in September 2001
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// IsValidName reports whether a job, step, label or client may have this name.
func IsValidName(name string) bool { return namePattern.MatchString(name) }

// ValidateJob checks everything in a job that doesn't depend on the configuration. It
// returns the first error, which names the invalid field, or nil if the job is valid.
func ValidateJob(job *schema.Job) *schema.Error {
	if fault := validateSchedule(job); fault != nil {
		return fault
	}
	if len(job.Steps) == 0 {
		return badJob("steps", "a job must have at least one step")
	}
	if len(job.Steps) > MaxSteps {
		return badJob("steps", "a job must have at most %d steps", MaxSteps)
	}
	indexByName := map[string]int{}
	taskCount := uint64(0)
	for index, step := range job.Steps {
		if step == nil {
			return badJob(fmt.Sprintf("steps[%d]", index), "the value must not be null")
		}
		if taskCount += uint64(step.Tasks) * uint64(max(job.Rounds, 1)); taskCount > MaxTasks {
			return badJob(stepField(index, "tasks"), "a job must have at most %d tasks in all its rounds together", MaxTasks)
		}
		if fault := validateStep(index, step); fault != nil {
			return fault
		}
		if _, exists := indexByName[step.Name]; exists {
			return badJob(stepField(index, "name"), "the name %q is used by two steps", step.Name)
		}
		indexByName[step.Name] = index
	}
	return validateDependencies(job, indexByName)
}

// badJob returns the error for an invalid field of a job.
func badJob(field, format string, args ...any) *schema.Error {
	return &schema.Error{Code: codeBadJob, Field: field, Message: fmt.Sprintf(format, args...)}
}

// stepField returns the path of a step's field, as error responses name it.
func stepField(index int, name string) string { return fmt.Sprintf("steps[%d].%s", index, name) }

func outOfRange(field string, minimum, maximum int64) *schema.Error {
	return badJob(field, "the value must lie between %d and %d", minimum, maximum)
}

func badName(field, name string) *schema.Error {
	return badJob(field, "%q is not a valid name: "+NameRule, name)
}

// validateSchedule checks a job's text, start time, period and number of rounds.
func validateSchedule(job *schema.Job) *schema.Error {
	switch {
	case len(job.Text) > MaxText:
		return badJob("text", "the value must have at most %d bytes", MaxText)
	case !utf8.ValidString(job.Text):
		return badJob("text", "the value must be valid UTF-8")
	case job.DelayUs < 0 || job.DelayUs > MaxDelayUs:
		return outOfRange("delay_us", 0, MaxDelayUs)
	case job.StartUnixUs != 0 && job.DelayUs != 0:
		return badJob("start_wall_us", "a job must not have both a delay and a start time")
	case job.StartUnixUs != 0 && job.StartUnixUs < minUnixUs:
		return badJob("start_wall_us", "the value must be a time in microseconds since 1970, not before September 2001")
	case job.Rounds > MaxRounds:
		return badJob("rounds", "the value must be at most %d", MaxRounds)
	case job.PeriodUs < 0 || job.PeriodUs > maxDurationUs:
		return outOfRange("every_us", 0, maxDurationUs)
	}
	return nil
}

func validateStep(index int, step *schema.Step) *schema.Error {
	field := func(name string) string { return stepField(index, name) }
	switch {
	case !IsValidName(step.Name):
		return badName(field("name"), step.Name)
	case step.Tasks == 0:
		return badJob(field("tasks"), "a step must have at least one task")
	case step.CoresMilli <= 0 || step.CoresMilli > maxAmount:
		return outOfRange(field("cores_milli"), 1, maxAmount)
	case step.MemoryMb < 0 || step.MemoryMb > maxAmount:
		return outOfRange(field("memory_mb"), 0, maxAmount)
	case step.AllowedFailures > maxFailures:
		return badJob(field("allowed_failures"), "the value must be at most %d", maxFailures)
	case step.TimeLimitUs < 0 || step.TimeLimitUs > maxDurationUs:
		return outOfRange(field("time_limit_us"), 0, maxDurationUs)
	case step.StallTimeoutUs < 0 || step.StallTimeoutUs > maxDurationUs:
		return outOfRange(field("still_us"), 0, maxDurationUs)
	case step.Accelerators < 0 || step.Accelerators > maxAmount:
		return outOfRange(field("accelerators"), 0, maxAmount)
	case len(step.Labels) > maxLabels:
		return badJob(field("labels"), "a step must have at most %d labels", maxLabels)
	case step.DataRack != "" && !IsValidName(step.DataRack):
		return badName(field("data_rack"), step.DataRack)
	case step.MaxPerWorker > maxAmount:
		return badJob(field("per_worker"), "the value must be at most %d", maxAmount)
	case step.EstimatedRunUs < 0 || step.EstimatedRunUs > maxDurationUs:
		return outOfRange(field("estimate_us"), 0, maxDurationUs)
	}
	for position, label := range step.Labels {
		if !IsValidName(label) {
			return badName(fmt.Sprintf("steps[%d].labels[%d]", index, position), label)
		}
	}
	return nil
}

// validateDependencies checks that all dependencies of a job's steps exist and form no cycle.
// indexByName holds the index of each step in job.Steps.
func validateDependencies(job *schema.Job, indexByName map[string]int) *schema.Error {
	for index, step := range job.Steps {
		for position, name := range step.Dependencies {
			if _, exists := indexByName[name]; !exists {
				return badJob(fmt.Sprintf("steps[%d].after[%d]", index, position), "the job has no step %q", name)
			}
		}
	}
	search := cycleSearch{job: job, indexByName: indexByName, states: make([]visitState, len(job.Steps))}
	for index := range job.Steps {
		if fault := search.visit(index); fault != nil {
			return fault
		}
	}
	return nil
}

// cycleSearch is a depth-first search for a cycle in the dependencies of a job's steps. All
// dependencies must exist.
type cycleSearch struct {
	job         *schema.Job
	indexByName map[string]int
	states      []visitState
}

// visitState is the progress of a cycleSearch with one step.
type visitState int

const (
	unvisited visitState = iota
	visiting
	visited
)

// visit searches the direct and indirect dependencies of a step. It returns an error that
// names a dependency that closes a cycle, or nil if there is no cycle.
func (s *cycleSearch) visit(index int) *schema.Error {
	if s.states[index] == visited {
		return nil
	}
	s.states[index] = visiting
	step := s.job.Steps[index]
	for position, name := range step.Dependencies {
		dependency := s.indexByName[name]
		if s.states[dependency] == visiting {
			return badJob(fmt.Sprintf("steps[%d].after[%d]", index, position), "steps %q and %q wait for each other", step.Name, name)
		}
		if fault := s.visit(dependency); fault != nil {
			return fault
		}
	}
	s.states[index] = visited
	return nil
}

// Digest returns a digest by which jobs with different contents are told apart: the first 16
// bytes of the SHA-256 of the job's deterministic encoding.
func Digest(job *schema.Job) []byte {
	sum := sha256.Sum256(marshal(job))
	return sum[:16]
}

// marshal returns the deterministic encoding of a message.
func marshal(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic("gateway: marshalling a message failed: " + err.Error())
	}
	return data
}
