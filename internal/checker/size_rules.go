package checker

import (
	"cmp"
	"fmt"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Parameters of the rule on sizes: of the largest tenth of a queue's jobs, and of the next
// fifth by size, at least half as large a share must be served as of all jobs.
const (
	largestPart    = 0.1
	nextPart       = 0.2
	minServedRatio = 0.5
	servedFactor   = 3 // a job counts as served up to this multiple of its latency target
)

// LatencyTarget is the target for the time from the submission to the end of a queue's jobs:
// Stretch times the critical path of the job, plus Slack.
type LatencyTarget struct {
	Stretch float64
	Slack   eventloop.Micros
}

// SizeClass holds the number of jobs in one class of sizes, and how many of them were served.
type SizeClass struct {
	Name         string
	Served, Jobs int
}

// ratio returns the share of the jobs that were served.
func (c SizeClass) ratio() float64 { return float64(c.Served) / float64(max(c.Jobs, 1)) }

func (c SizeClass) String() string {
	return fmt.Sprintf("%s: %d of %d served", c.Name, c.Served, c.Jobs)
}

// CheckSizes checks the rule on sizes for the jobs of a queue that were submitted before until.
// It returns three classes, which are all jobs, the largest tenth and the next fifth, and the
// violations. Jobs that were cancelled, or reported as failed, don't count.
func CheckSizes(history []Event, queue string, target LatencyTarget, until eventloop.Micros) (classes []SizeClass, violations []Violation) {
	a := &analysis{
		history: history, jobs: map[jobKey]*jobRecord{}, jobOfTask: map[taskID]*jobRecord{}, workerFaults: map[string][]eventloop.Micros{},
		tenantOfJob: map[jobKey]string{},
	}
	a.readHistory()
	jobs := a.finishedBySize(queue, until)
	largest, next := int(largestPart*float64(len(jobs))), int(nextPart*float64(len(jobs)))
	classes = []SizeClass{
		countServed("all", jobs, target),
		countServed("the largest tenth", jobs[len(jobs)-largest:], target),
		countServed("the fifth beneath it", jobs[len(jobs)-largest-next:len(jobs)-largest], target),
	}
	for _, class := range classes[1:] {
		if class.Jobs > 0 && class.ratio() < minServedRatio*classes[0].ratio() {
			violations = append(violations, Violation{ruleSizes, until, fmt.Sprintf("%s: %v, %v", queue, class, classes[0])})
		}
	}
	return classes, violations
}

// finishedBySize returns the queue's accepted jobs that were submitted before until and neither
// cancelled nor reported as failed, ordered by their work.
func (a *analysis) finishedBySize(queue string, until eventloop.Micros) []*jobRecord {
	var jobs []*jobRecord
	for _, job := range a.sortedJobs {
		if job.key.queue == queue && job.isAccepted && job.firstSubmittedAt < until && job.cancelRequestedAt == 0 && !job.wasShown(stateFailed) {
			jobs = append(jobs, job)
		}
	}
	slices.SortStableFunc(jobs, func(x, y *jobRecord) int { return cmp.Compare(workOf(x.spec), workOf(y.spec)) })
	return jobs
}

func (r *jobRecord) wasShown(state string) bool {
	return slices.ContainsFunc(r.statuses, func(e Event) bool { return e.Code < 300 && e.State == state })
}

// workOf returns the estimated work of a job, in thousandths of a core times µs.
func workOf(job *schema.Job) (work float64) {
	for _, step := range job.GetSteps() {
		work += float64(step.Tasks) * float64(step.CoresMilli) * float64(step.EstimatedRunUs)
	}
	return work
}

func countServed(name string, jobs []*jobRecord, target LatencyTarget) SizeClass {
	class := SizeClass{Name: name, Jobs: len(jobs)}
	for _, job := range jobs {
		if job.isServed(target) {
			class.Served++
		}
	}
	return class
}

// isServed reports whether all tasks of the job completed within servedFactor times its latency
// target. The critical path is computed as the sum of the longest successful runs of the steps,
// which is correct only for steps that run one after another.
func (r *jobRecord) isServed(target LatencyTarget) bool {
	chain, end := eventloop.Micros(0), eventloop.Micros(0)
	for k, step := range r.spec.Steps {
		longest, lastEnd, done := r.runsDone(uint32(k), step)
		if !done {
			return false
		}
		chain += longest
		end = max(end, lastEnd)
	}
	allowed := target.Stretch*float64(chain) + float64(target.Slack)
	return float64(end-r.firstSubmittedAt) <= servedFactor*allowed
}

// runsDone returns the duration of the longest successful run of a step, the end of the last
// one, and whether every task of the step has completed.
func (r *jobRecord) runsDone(number uint32, step *schema.Step) (longest, lastEnd eventloop.Micros, done bool) {
	runsOf := map[uint32]*taskRun{}
	for id, runs := range r.runs {
		if id.step != number {
			continue
		}
		for _, run := range runs {
			if run.outcome == outcomeDone {
				runsOf[id.task] = run
			}
		}
	}
	for _, run := range runsOf {
		longest, lastEnd = max(longest, run.end-run.start), max(lastEnd, run.end)
	}
	return longest, lastEnd, len(runsOf) == int(step.Tasks)
}
