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

func (k taskKey) ofStep() stepKey { return stepKey{k.queue, k.job, k.step} }

type attemptKey struct {
	taskKey
	attempt uint32
}

type task struct {
	key         taskKey
	standing    queue.Status
	attempt     uint32
	worker      string
	incarnation uint64
	hand        uint64
	name        string
	spec        *schema.Step
	text        string
	reserved    string // worker of a checkout on its way
	reservedAt  eventloop.Micros
	since       eventloop.Micros // ready or out since
	evict       string           // outcome to report once the worker has stopped it
	why         string           // of the placement
	lostAt      eventloop.Micros
	isLaunched  bool             // its group is decided to begin
	launchAt    eventloop.Micros // when that was proposed
	heldAt      eventloop.Micros // when the whole group was first seen held
	isOver      bool             // its end has been noted, by more than we have heard of the queue
	round, part uint32
	saved       string // progress its next start carries
	failures    uint32 // counted so far
	dueAt       eventloop.Micros
	course
	trail
}

// trail is what was seen of one attempt.
type trail struct {
	beganAt eventloop.Micros // first seen running
	movedAt eventloop.Micros // its progress was last seen to change
	savedAt eventloop.Micros // its kept progress was last seen to change
	percent int64
	seen    string           // kept progress last seen
	strikes uint32           // times it was stopped for standing still
	orderAt eventloop.Micros // its start order left last
	mark    mark
	stopAt  eventloop.Micros // it was first seen wanting to be stopped
	isLate  bool             // its stop takes too long to wait for the room
}

// keptProgress is the newest progress known, for steps that keep any.
func (t *task) keptProgress() string {
	if !t.spec.Checkpoints {
		return ""
	}
	return cmp.Or(t.seen, t.saved)
}

// band is the ready tasks of one step.
type band struct {
	key   stepKey
	spec  *schema.Step
	ready *btree.BTreeG[*task]
}

// shape is all that decides whether steps fit anywhere: where one doesn't,
// those of the same shape behind it needn't be tried.
type shape struct {
	need     amount
	labels   string
	together uint32  // members of a group
	own      stepKey // of a step whose other tasks matter
}

func shapeOf(key stepKey, spec *schema.Step) shape {
	form := shape{need: sizeOf(spec)}
	if len(spec.Labels) > 0 {
		form.labels = strings.Join(spec.Labels, " ")
	}
	if spec.Gang {
		form.together = spec.Tasks
	}
	if spec.MaxPerWorker > 0 {
		form.own = key
	}
	return form
}

// row is the ready steps of one shape, in order.
type row struct {
	form  shape
	bands *btree.BTreeG[*band]
}

func beforeBand(a, b *band) bool {
	return cmp.Or(cmp.Compare(a.key.job, b.key.job), cmp.Compare(a.key.step, b.key.step)) < 0
}

func noteKey(note *schema.TaskStatus) attemptKey {
	return attemptKey{taskKey{note.Queue, note.Job, note.Step, note.Task}, note.Attempt}
}

func lessKey(a, b taskKey) bool { return compareKeys(a, b) < 0 }

func compareKeys(a, b taskKey) int {
	return cmp.Or(cmp.Compare(a.queue, b.queue), cmp.Compare(a.job, b.job), cmp.Compare(a.step, b.step), cmp.Compare(a.task, b.task))
}
