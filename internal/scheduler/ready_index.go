package scheduler

import (
	"cmp"
	"math"
	"strings"

	"github.com/google/btree"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// readyIndex indexes those ready tasks of a queue that aren't reserved, by shape and step.
type readyIndex struct {
	byShape    map[shape]*shapeGroup
	readyCount int
	lostSteps  map[stepKey]*stepQueue // steps with ready tasks that were lost with a worker
	byTenant   map[string]int         // number of ready tasks of each tenant
}

// shape contains everything that decides whether the tasks of a step fit on a worker. Steps of the
// same shape form an equivalence class: if one finds no capacity, the others needn't be tried.
type shape struct {
	need     resources
	labels   string
	gangSize uint32  // 0: no gang
	step     stepKey // set only for a step that limits its tasks per worker
}

func shapeOf(key stepKey, spec *schema.Step) shape {
	result := shape{need: resourcesOf(spec)}
	if len(spec.Labels) > 0 {
		result.labels = strings.Join(spec.Labels, " ")
	}
	if spec.Gang {
		result.gangSize = spec.Tasks
	}
	if spec.MaxPerWorker > 0 {
		result.step = key
	}
	return result
}

// shapeGroup holds the steps of one shape that have ready tasks, oldest job first.
type shapeGroup struct{ steps *btree.BTreeG[*stepQueue] }

// stepQueue holds the ready tasks of one step; it is never empty.
type stepQueue struct {
	key       stepKey
	spec      *schema.Step
	ready     *btree.BTreeG[*task]
	lostCount int // number of ready tasks that were lost with a worker
}

func (q *stepQueue) first() *task {
	first, _ := q.ready.Min()
	return first
}

// firstReady returns the first count ready tasks, or all if there are fewer.
func (q *stepQueue) firstReady(count int) []*task {
	tasks := make([]*task, 0, count)
	q.ready.Ascend(func(t *task) bool {
		tasks = append(tasks, t)
		return len(tasks) < count
	})
	return tasks
}

// isComplete reports whether all members of a gang are ready.
func (q *stepQueue) isComplete() bool { return q.ready.Len() == int(q.spec.Tasks) }

func stepQueueLess(a, b *stepQueue) bool {
	return cmp.Or(cmp.Compare(a.key.job, b.key.job), cmp.Compare(a.key.step, b.key.step)) < 0
}

func taskLess(a, b *task) bool { return compareTaskKeys(a.key, b.key) < 0 }

func (x *readyIndex) addReady(t *task) {
	key := shapeOf(t.key.stepKey(), t.spec)
	group := x.byShape[key]
	if group == nil {
		group = &shapeGroup{btree.NewG(16, stepQueueLess)}
		x.byShape[key] = group
	}
	step, found := group.steps.Get(&stepQueue{key: t.key.stepKey()})
	if !found {
		step = &stepQueue{key: t.key.stepKey(), spec: t.spec, ready: btree.NewG(4, taskLess)}
		group.steps.ReplaceOrInsert(step)
	}
	step.ready.ReplaceOrInsert(t)
	x.readyCount++
	x.byTenant[t.tenant]++
	if t.isLost {
		step.lostCount++
		x.lostSteps[step.key] = step
	}
}

// removeReady removes a task from the index, if it is there.
func (x *readyIndex) removeReady(t *task) {
	key := shapeOf(t.key.stepKey(), t.spec)
	group := x.byShape[key]
	if group == nil {
		return
	}
	step, found := group.steps.Get(&stepQueue{key: t.key.stepKey()})
	if !found {
		return
	}
	if _, found := step.ready.Delete(t); found {
		x.readyCount--
		if x.byTenant[t.tenant]--; x.byTenant[t.tenant] == 0 {
			delete(x.byTenant, t.tenant)
		}
		x.uncountLost(step, t)
	}
	if step.ready.Len() == 0 {
		group.steps.Delete(step)
	}
	if group.steps.Len() == 0 {
		delete(x.byShape, key)
	}
}

func (x *readyIndex) uncountLost(step *stepQueue, t *task) {
	if !t.isLost {
		return
	}
	if step.lostCount--; step.lostCount == 0 {
		delete(x.lostSteps, step.key)
	}
}

// oldestReady returns the earliest time at which the first step of any shape became ready.
func (x *readyIndex) oldestReady() eventloop.Micros {
	since := eventloop.Micros(math.MaxInt64)
	for _, group := range x.byShape {
		if step, found := group.steps.Min(); found {
			since = min(since, step.first().stateSince)
		}
	}
	return since
}
