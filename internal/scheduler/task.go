package scheduler

// A task as the scheduler sees it, and the shapes of tasks alike.

import (
	"cmp"
	"strings"

	"github.com/google/btree"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

type taskKey struct {
	queue string
	job   uint64
	step  uint32
	task  uint32
}

// stepKey is a step of a job, of one of its rounds.
type stepKey struct {
	queue string
	job   uint64
	step  uint32
}

func (k taskKey) stepKey() stepKey { return stepKey{k.queue, k.job, k.step} }

type attemptKey struct {
	taskKey
	attempt uint32
}

type task struct {
	key                 taskKey
	state               queue.Status
	attempt             uint32
	worker              string
	incarnation         uint64
	sequence            uint64
	jobName             string
	spec                *schema.Step
	text                string
	reservedWorker      string // worker of a checkout on its way
	reservedAt          eventloop.Micros
	since               eventloop.Micros // ready or out since
	evictOutcome        string           // outcome to report once the worker has stopped it
	placementReason     string           // of the placement
	returnedAt          eventloop.Micros
	isGangStarted       bool             // its group is decided to begin
	gangStartProposedAt eventloop.Micros // when that was proposed
	gangHeldAt          eventloop.Micros // when the whole group was first seen held
	isEndAcknowledged   bool             // its end has been noted, by more than we have heard of the queue
	round, part         uint32
	initialCheckpoint   string // progress its next start carries
	failures            uint32 // counted so far
	roundDueAt          eventloop.Micros
	criticalPath
	attemptProgress
}

// attemptProgress is what was seen of one attempt.
type attemptProgress struct {
	startedAt       eventloop.Micros // first seen running
	progressedAt    eventloop.Micros // its progress was last seen to change
	checkpointedAt  eventloop.Micros // its kept progress was last seen to change
	percent         int64
	lastCheckpoint  string           // kept progress last seen
	strikes         uint32           // times it was stopped for standing still
	orderedAt       eventloop.Micros // its start order left last
	sample          progressSample
	stopRequestedAt eventloop.Micros // it was first seen wanting to be stopped
	isStopOverdue   bool             // its stop takes too long to wait for the room
}

// latestCheckpoint is the newest progress known, for steps that keep any.
func (t *task) latestCheckpoint() string {
	if !t.spec.Checkpoints {
		return ""
	}
	return cmp.Or(t.lastCheckpoint, t.initialCheckpoint)
}

// stepQueue is the ready tasks of one step.
type stepQueue struct {
	key   stepKey
	spec  *schema.Step
	ready *btree.BTreeG[*task]
}

// shape is all that decides whether steps fit anywhere: where one doesn't,
// those of the same shape behind it needn't be tried.
type shape struct {
	need     resources
	labels   string
	together uint32  // members of a group
	own      stepKey // of a step whose other tasks matter
}

func shapeOf(key stepKey, spec *schema.Step) shape {
	result := shape{need: resourcesOf(spec)}
	if len(spec.Labels) > 0 {
		result.labels = strings.Join(spec.Labels, " ")
	}
	if spec.Gang {
		result.together = spec.Tasks
	}
	if spec.MaxPerWorker > 0 {
		result.own = key
	}
	return result
}

// shapeGroup is the ready steps of one shape, in order.
type shapeGroup struct {
	shape shape
	steps *btree.BTreeG[*stepQueue]
}

func stepQueueLess(a, step *stepQueue) bool {
	return cmp.Or(cmp.Compare(a.key.job, step.key.job), cmp.Compare(a.key.step, step.key.step)) < 0
}

func attemptKeyOf(note *schema.TaskStatus) attemptKey {
	return attemptKey{taskKey{note.Queue, note.Job, note.Step, note.Task}, note.Attempt}
}

func taskKeyLess(a, b taskKey) bool { return compareTaskKeys(a, b) < 0 }

func compareTaskKeys(a, b taskKey) int {
	return cmp.Or(cmp.Compare(a.queue, b.queue), cmp.Compare(a.job, b.job), cmp.Compare(a.step, b.step), cmp.Compare(a.task, b.task))
}
