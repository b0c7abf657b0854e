package queue

import (
	"bytes"
	"fmt"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// harness applies commands to one machine. It records them as a log and keeps the latest
// release cursor.
type harness struct {
	machine     *Machine
	index       uint64
	now         int64 // group time of the next command, µs
	log         [][]byte
	groupTimes  []int64 // group time of each log entry, µs
	lastRelease *ReleaseCursor
}

func newHarness() *harness { return &harness{machine: New("l")} }

// apply appends a command to the log and applies it to the machine.
func (h *harness) apply(command *schema.QueueCommand) *Effects {
	data, err := proto.Marshal(command)
	if err != nil {
		panic(err)
	}
	h.index++
	h.log, h.groupTimes = append(h.log, data), append(h.groupTimes, h.now)
	effects, err := h.machine.Apply(h.index, h.now, data)
	if err != nil {
		panic(err)
	}
	if effects.ReleaseCursor != nil {
		h.lastRelease = effects.ReleaseCursor
	}
	return effects
}

// sessionOf returns a client's session with incarnation 1 of the gateway "i".
func sessionOf(client string) *schema.Session {
	return &schema.Session{Gateway: "i", Incarnation: 1, Client: client}
}

// simpleJob returns a job of one step whose tasks may fail once.
func simpleJob(tasks uint32) *schema.Job {
	return &schema.Job{Text: "text", Steps: []*schema.Step{{Name: "s", Tasks: tasks, CoresMilli: 1, AllowedFailures: 1}}}
}

// enqueue submits a job in a client's session. The job's delay counts from queue time 0.
func (h *harness) enqueue(client string, number uint64, name string, job *schema.Job) *Effects {
	return h.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Enqueue{Enqueue: &schema.Enqueue{
		Session: sessionOf(client), Number: number, Name: name, Digest: []byte(job.Text), Job: job, StartUs: job.DelayUs,
	}}})
}

func key(job uint64, step, task uint32) *schema.TaskKey {
	return &schema.TaskKey{Job: job, Step: step, Task: task}
}

func (h *harness) startGang(job uint64, step uint32, attempts ...uint32) *Effects {
	return h.apply(&schema.QueueCommand{Body: &schema.QueueCommand_StartGang{StartGang: &schema.StartGang{Job: job, Step: step, Attempts: attempts}}})
}

// checkout checks out tasks for incarnation 1 of the worker "w".
func (h *harness) checkout(keys ...*schema.TaskKey) *Effects {
	c := &schema.Checkout{}
	for _, k := range keys {
		c.Placements = append(c.Placements, &schema.Placement{Key: k, Worker: "w", Incarnation: 1})
	}
	return h.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Checkout{Checkout: c}})
}

func (h *harness) settle(k *schema.TaskKey, attempt uint32) *Effects {
	return h.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Settle{Settle: &schema.Settle{Key: k, Attempt: attempt}}})
}

func (h *harness) settleGang(k *schema.TaskKey, attempt uint32) *Effects {
	return h.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Settle{Settle: &schema.Settle{Key: k, Attempt: attempt, WholeGang: true}}})
}

func (h *harness) returnTask(k *schema.TaskKey, attempt uint32, cause schema.ReturnCause) *Effects {
	return h.returnWithCheckpoint(k, attempt, cause, "")
}

func (h *harness) returnWithCheckpoint(k *schema.TaskKey, attempt uint32, cause schema.ReturnCause, checkpoint string) *Effects {
	return h.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Return{Return: &schema.Return{Key: k, Attempt: attempt, Cause: cause, Checkpoint: checkpoint}}})
}

// restart replaces the machine by one that is restored from its full snapshot.
func (h *harness) restart() {
	m, err := Restore("l", h.index, h.machine.Snapshot(false))
	if err != nil {
		panic(err)
	}
	if !bytes.Equal(m.Snapshot(false), h.machine.Snapshot(false)) {
		panic("the restored machine has a different state")
	}
	h.machine = m
}

// activeTasks lists the active tasks in the form "STEPROUND.TASK-STATUS ", for example
// "a0.1-out ". The status is left out for tasks that are ready.
func (h *harness) activeTasks() string {
	events, _ := h.machine.ActiveTasks()
	text := ""
	for _, event := range events {
		suffix := map[Status]string{CheckedOut: "-out", Stopping: "-stop"}[event.Status]
		text += fmt.Sprint(event.Spec.Name, event.Round, ".", event.Key.Task, suffix, " ")
	}
	return text
}

// eventOf returns the event of an active task, or nil if the task isn't active.
func (h *harness) eventOf(k *schema.TaskKey) *TaskEvent {
	events, _ := h.machine.ActiveTasks()
	for _, event := range events {
		if proto.Equal(&event.Key, k) {
			return event
		}
	}
	return nil
}

func (h *harness) cancel(name string) *Effects {
	return h.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Cancel{Cancel: &schema.Cancel{Name: name}}})
}

func (h *harness) tick() *Effects {
	return h.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Tick{Tick: &schema.Tick{}}})
}

// state returns a job's state as callers see it, or "unknown".
func (h *harness) state(name string) string {
	view, found := h.machine.JobView(name)
	if !found {
		return "unknown"
	}
	return view.State
}
