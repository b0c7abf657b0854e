package queue

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"sparnotch/internal/schema"
)

// TestReplayEquivalence checks, on random command sequences, that restoring a released
// snapshot and replaying the rest of the log gives the same state as the whole log.
func TestReplayEquivalence(t *testing.T) {
	releases := 0
	for seed := uint64(1); seed <= 150; seed++ {
		rng := rand.New(rand.NewPCG(seed, 3))
		h := newHarness()
		// Every other sequence follows the rules of a former program version.
		h.machine.settings = &schema.ApplySettings{
			JobRetentionUs: 3_000_000, SnapshotInterval: 4, MaxRequeues: 3, CommandVersion: uint32(seed%2) * CommandVersion,
		}
		random := &randomCommands{h: h, rng: rng, numbers: map[string]uint64{}}
		var lastChecked *ReleaseCursor
		for k := 0; k < 600; k++ {
			h.now += rng.Int64N(100_000)
			random.apply()
			if violation := invariantViolation(h.machine); violation != "" {
				t.Fatalf("seed %d: at index %d, %s", seed, h.index, violation)
			}
			if h.lastRelease == nil || h.lastRelease == lastChecked {
				continue
			}
			lastChecked = h.lastRelease
			releases++
			m, err := Restore("l", lastChecked.Index, lastChecked.Snapshot)
			if err != nil {
				t.Fatal(err)
			}
			for i := int(lastChecked.Index); i < len(h.log); i++ {
				if _, err := m.Apply(uint64(i+1), h.groupTimes[i], h.log[i]); err != nil {
					t.Fatal(err)
				}
			}
			if !bytes.Equal(m.Snapshot(false), h.machine.Snapshot(false)) {
				t.Fatalf("seed %d: at index %d, a replay from the snapshot at index %d gives a different state", seed, h.index, lastChecked.Index)
			}
		}
	}
	if releases < 200 {
		t.Fatalf("only %d release cursors were checked, want at least 200", releases)
	}
}

// invariantViolation compares the counts that a machine keeps with counts of its jobs, tasks
// and sessions, and describes the first difference. It returns "" if they agree.
func invariantViolation(m *Machine) string {
	waiting, checkedOut, timed := uint32(0), uint32(0), 0
	for _, j := range m.jobsInOrder() {
		if violation := jobViolation(m, j); violation != "" {
			return fmt.Sprint("job ", j.id, ": ", violation)
		}
		for s, tasks := range j.tasks {
			for t := range tasks {
				if j.status(s, t) == Ready {
					waiting++
				}
			}
		}
		if j.openedRounds < j.rounds() && j.state != schema.JobState_JOB_STOPPING {
			timed++
		}
		checkedOut += uint32(j.checkedOutCount)
	}
	pendingEnqueues := 0
	for _, s := range m.sessions {
		pendingEnqueues += len(s.pending)
	}
	counts := m.Counts()
	switch {
	case counts.Waiting != waiting || counts.Out != checkedOut || int(counts.Live) != len(m.jobs):
		return fmt.Sprint("Counts returns ", counts, ", but ", waiting, " tasks are ready and ", checkedOut, " are checked out")
	case timed != m.TimedJobs():
		return fmt.Sprint("TimedJobs returns ", m.TimedJobs(), ", but ", timed, " jobs have a round that isn't due yet")
	case pendingEnqueues != m.pendingEnqueues:
		return fmt.Sprint("pendingEnqueues is ", m.pendingEnqueues, ", but ", pendingEnqueues, " submissions are held")
	}
	return ""
}

// jobViolation does the same as invariantViolation for the counts and rounds of one job.
func jobViolation(m *Machine, j *job) string {
	checkedOut, unfinishedSteps := 0, 0
	for s, tasks := range j.tasks {
		unfinished, stepCheckedOut, failures := int(j.step(s).Tasks), 0, uint32(0)
		for t := range tasks {
			switch tasks[t].state {
			case schema.TaskState_TASK_DONE:
				unfinished--
			case schema.TaskState_TASK_CHECKED_OUT:
				stepCheckedOut++
			}
			failures += tasks[t].failures
			if j.step(s).Gang && tasks[t].state == schema.TaskState_TASK_CHECKED_OUT && tasks[t].attempt != tasks[0].attempt {
				return "members of a gang have different attempts"
			}
		}
		if unfinished != j.unfinishedTasks[s] || stepCheckedOut != j.checkedOutTasks[s] || failures != j.failures[s] {
			return fmt.Sprint("step ", s, " keeps counts of ", j.unfinishedTasks[s], " unfinished tasks, ", j.checkedOutTasks[s], " checked-out tasks and ", j.failures[s],
				" failures, but its tasks show ", unfinished, ", ", stepCheckedOut, " and ", failures)
		}
		if unfinished > 0 {
			unfinishedSteps++
		}
		checkedOut += stepCheckedOut
		if tasks != nil && j.startUs+int64(s/j.stepsPerRound())*j.spec.PeriodUs > m.now {
			return "a round is open before its time"
		}
	}
	switch {
	case checkedOut != j.checkedOutCount || unfinishedSteps != j.unfinishedSteps || unfinishedSteps == 0:
		return fmt.Sprint("the job keeps counts of ", j.checkedOutCount, " checked-out tasks and ", j.unfinishedSteps, " unfinished steps, but its tasks show ", checkedOut, " and ", unfinishedSteps)
	case j.openedRounds < j.rounds() && j.state != schema.JobState_JOB_STOPPING && j.nextRoundUs() <= m.now:
		return "a due round isn't open"
	}
	return ""
}

// randomCommands applies random commands to a machine.
type randomCommands struct {
	h       *harness
	rng     *rand.Rand
	numbers map[string]uint64 // latest submission number of each client
}

// apply applies one random command.
func (r *randomCommands) apply() {
	switch r.rng.IntN(15) {
	case 14:
		k := r.task()
		var attempts []uint32
		for _, task := range r.tasksOfStep(k) {
			attempts = append(attempts, task.attempt)
		}
		r.h.startGang(k.Job, k.Step, attempts...)
	case 0, 1:
		r.enqueue()
	case 2, 3, 4, 5:
		r.checkout()
	case 6, 7, 8, 9:
		k := r.task()
		if r.rng.IntN(2) == 0 {
			r.h.settleGang(k, r.attempt(k))
			return
		}
		r.h.settle(k, r.attempt(k))
	case 10:
		k := r.task()
		checkpoint := ""
		if r.rng.IntN(2) == 0 {
			checkpoint = fmt.Sprint("at ", r.h.index)
		}
		r.h.returnWithCheckpoint(k, r.attempt(k), schema.ReturnCause(1+r.rng.IntN(3)), checkpoint)
	case 11:
		r.h.cancel(fmt.Sprint("j", r.rng.IntN(200)))
	case 12:
		if r.rng.IntN(4) == 0 {
			r.reenqueue()
			return
		}
		r.h.tick()
	case 13:
		if r.rng.IntN(6) == 0 {
			r.endSession()
			return
		}
		r.h.tick()
	}
}

// task returns the key of a random task in one of the four oldest live jobs. The task may
// not exist.
func (r *randomCommands) task() *schema.TaskKey {
	jobs := r.h.machine.jobsInOrder()
	if len(jobs) == 0 {
		return key(1, 0, 0)
	}
	j := jobs[r.rng.IntN(min(len(jobs), 4))]
	s := r.rng.IntN(max(1, j.firstStep(j.openedRounds)))
	if len(j.tasks[s]) == 0 {
		return key(j.id, uint32(s), 0)
	}
	return key(j.id, uint32(s), uint32(r.rng.IntN(len(j.tasks[s]))))
}

// tasksOfStep returns the tasks of a key's step, or nil if the job isn't live.
func (r *randomCommands) tasksOfStep(k *schema.TaskKey) []task {
	if j := r.h.machine.jobs[k.Job]; j != nil {
		return j.tasks[k.Step]
	}
	return nil
}

// attempt returns the number of a task's latest attempt or, in one of six cases, of the attempt
// before it, so that the report is a late one.
func (r *randomCommands) attempt(k *schema.TaskKey) uint32 {
	if tasks := r.tasksOfStep(k); len(tasks) > 0 {
		return max(tasks[k.Task].attempt, 1) - uint32(r.rng.IntN(6)/5)
	}
	return 1
}

func (r *randomCommands) enqueue() {
	client := fmt.Sprint("c", r.rng.IntN(3))
	r.numbers[client]++
	number := r.numbers[client]
	if r.rng.IntN(4) == 0 {
		number += uint64(r.rng.IntN(3)) // runs ahead, so that submissions arrive out of order or leave a gap
	}
	job := simpleJob(uint32(1 + r.rng.IntN(3)))
	job.Text = fmt.Sprint("text", r.rng.IntN(2))
	if r.rng.IntN(3) == 0 {
		job.Steps = append(job.Steps, &schema.Step{Name: "t", Tasks: 2, Dependencies: []string{"s"}, Gang: true, AllowedFailures: 1})
	}
	if r.rng.IntN(5) == 0 {
		job.DelayUs = r.h.now + r.rng.Int64N(400_000)
	}
	if r.rng.IntN(3) == 0 {
		job.Rounds, job.PeriodUs = uint32(1+r.rng.IntN(4)), r.rng.Int64N(300_000)
	}
	for _, step := range job.Steps {
		step.Checkpoints, step.RunUntilCancelled = r.rng.IntN(2) == 0, r.rng.IntN(12) == 0
		step.Gang = step.Gang || r.rng.IntN(4) == 0
	}
	r.h.enqueue(client, number, fmt.Sprint("j", r.rng.IntN(200)), job)
}

// checkout checks out a random task, or its whole gang.
func (r *randomCommands) checkout() {
	k := r.task()
	keys := []*schema.TaskKey{k}
	if j := r.h.machine.jobs[k.Job]; j != nil && j.step(int(k.Step)).Gang {
		keys = nil
		for t := range j.tasks[k.Step] {
			keys = append(keys, key(k.Job, k.Step, uint32(t)))
		}
	}
	r.h.checkout(keys...)
}

func (r *randomCommands) reenqueue() {
	if id, _, payload := r.h.machine.OldestJob(); id != 0 {
		r.h.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Reenqueue{Reenqueue: &schema.Reenqueue{Job: id, Payload: payload}}})
	}
}

func (r *randomCommands) endSession() {
	client := fmt.Sprint("c", r.rng.IntN(3))
	r.h.apply(&schema.QueueCommand{Body: &schema.QueueCommand_EndSessions{EndSessions: &schema.EndSessions{Sessions: []*schema.Session{sessionOf(client)}}}})
	r.numbers[client] = 0
}
