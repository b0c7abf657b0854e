package scheduler

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"slices"
	"sort"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

const (
	weightData  = 2000 // of the rack that holds a step's data
	weightOne   = 1000 // of the rack that a step keeps together in
	weightSlow  = 100  // against workers, for each time their runs take longer
	weightCold  = 50   // against workers that have just started
	wideQuarter = 4    // what takes over a quarter of a worker is wide
)

// wish is what a pass knows of a step while it looks for room for it.
type wish struct {
	step      stepKey
	spec      *schema.Step
	need      amount
	workers   map[string]int // its tasks by worker
	racks     map[string]int // its tasks by rack
	favour    string         // the rack it keeps together in
	mayRest   bool           // it has waited long enough for workers that are set aside or on trial
	chance    chance
	isPatient bool // it hasn't waited long
	isBrief   bool // its tasks end about as soon as they could be stopped
	// core-microseconds that may be thrown away for one task
	worthwhile float64
}

func (t *Table) wishOf(now eventloop.Micros, v *view, b *band, list []*room) *wish {
	first, _ := b.ready.Min()
	x := &wish{
		step: b.key, spec: b.spec, need: sizeOf(b.spec), workers: map[string]int{}, racks: map[string]int{},
		isBrief: t.isBrief(v, first),
	}
	x.isPatient = now-first.since <= asideAfter
	x.mayRest = !x.isPatient && (isRoomy(list) || !t.hasHome(list, x)) || now-first.since > outAfter
	x.worthwhile = t.worthwhile(v, first)
	for id, count := range v.places[b.key] {
		x.workers[id] = count
		if w := t.workers[id]; w != nil {
			x.racks[w.rack] += count
		}
	}
	if b.spec.OneRack {
		x.favour = t.favourite(x, list)
	}
	return x
}

// favourite is the rack where most of a step stands, else the one with most
// room for it.
func (t *Table) favourite(x *wish, list []*room) string {
	counts := map[string]int64{}
	for rack, count := range x.racks {
		counts[rack] += int64(count) << 32
	}
	for _, r := range list {
		if t.suits(r, x) {
			counts[r.w.rack] += min(r.free.times(x.need), int64(x.spec.Tasks))
		}
	}
	best := ""
	for rack, count := range counts {
		if best == "" || count > counts[best] || count == counts[best] && rack < best {
			best = rack
		}
	}
	return best
}

// hasHome tells whether a worker that isn't set aside or on trial could run the
// step's tasks once it has room.
func (t *Table) hasHome(list []*room, x *wish) bool {
	return slices.ContainsFunc(list, func(r *room) bool {
		return !r.w.isOnTrial && r.w.whole().has(x.need) && t.hasLabels(r, x)
	})
}

// suits tells whether a worker may run a step's tasks at all.
func (t *Table) suits(r *room, x *wish) bool {
	if r.isClaimed || r.isAside && !x.mayRest || r.w.isOnTrial && !x.isBrief && !x.mayRest {
		return false
	}
	return t.hasLabels(r, x)
}

func (t *Table) hasLabels(r *room, x *wish) bool {
	for _, label := range x.spec.Labels {
		if !slices.Contains(r.w.labels, label) {
			return false
		}
	}
	return true
}

// hasLeave tells whether the worker may have one more of a step's tasks.
func (t *Table) hasLeave(r *room, x *wish) bool {
	if x.spec.MaxPerWorker == 0 {
		return true
	}
	count := x.workers[r.w.id]
	for key := range r.w.running {
		if key.ofStep() == x.step {
			if each := r.w.tasks[key.taskKey]; each == nil || each.attempt != key.attempt {
				count++
			}
		}
	}
	return count < int(x.spec.MaxPerWorker)
}

// isOpen tells whether a worker that is being tried again may have one more
// task: what has waited long needn't wait for the end of the trial as well.
func (r *room) isOpen(x *wish) bool { return r.mostTasks > 0 || x.mayRest && !r.isAside }

func (t *Table) fits(r *room, x *wish) bool {
	// Room that is being freed for somebody is given to nobody else.
	return r.isOpen(x) && r.free.has(x.need) && r.later.has(x.need) && t.suits(r, x) && t.hasLeave(r, x)
}

// score weighs a worker for a step: room left in its scarcer kind, spread over
// racks, failures, pace, and where the data is.
func (t *Table) score(now eventloop.Micros, r *room, x *wish) float64 {
	left := func(free, need, whole int64) float64 {
		if whole <= 0 {
			return 0
		}
		return float64(free-need) / float64(whole)
	}
	free := math.Min(left(r.free.cores, x.need.cores, r.w.cores), left(r.free.memory, max(x.need.memory, 1), r.w.memory))
	score := float64(t.plan("weight_room")) * free
	score -= float64(t.plan("weight_failures")) * failureRate(r.w)
	score -= weightSlow * math.Max(0, math.Exp(math.Min(r.w.slow, 3))-1)
	if now < r.w.coldUntil {
		score -= weightCold
	}
	// Accelerators are kept for who asks for them.
	if x.need.accelerators == 0 && r.w.accelerators > 0 {
		score -= float64(t.plan("weight_room"))
	}
	if x.spec.OneRack {
		if r.w.rack == x.favour {
			score += weightOne
		}
	} else {
		score -= float64(t.plan("weight_rack")) * float64(x.racks[r.w.rack]) / float64(max(x.spec.Tasks, 1))
	}
	if x.spec.DataRack != "" && r.w.rack == x.spec.DataRack {
		score += weightData
	}
	if score > 0 {
		score = score * float64(r.weight) / 100
	}
	return score
}

func (t *Table) best(now eventloop.Micros, list []*room, x *wish) (*room, float64) {
	var best *room
	top := math.Inf(-1)
	for _, r := range list {
		if !t.fits(r, x) {
			continue
		}
		if score := t.score(now, r, x); score > top {
			best, top = r, score
		}
	}
	return best, top
}

// put takes room for one task of a step; the answer gives it back.
func (t *Table) put(r *room, x *wish) (undo func()) {
	r.take(x.need)
	x.workers[r.w.id]++
	x.racks[r.w.rack]++
	return func() {
		r.give(x.need)
		x.workers[r.w.id]--
		x.racks[r.w.rack]--
	}
}

// pass runs over the ready tasks, most urgent queue first, and checks out what
// finds room.
func (t *Table) pass(now eventloop.Micros, out eventloop.Effects) {
	var views []*view
	oldest := map[*view]eventloop.Micros{}
	for _, v := range t.views {
		if v.waits > 0 && t.mayAct(now, v) {
			views = append(views, v)
			oldest[v] = v.oldest()
		}
	}
	if len(views) == 0 {
		return
	}
	// Among equals goes first who has waited longest.
	slices.SortFunc(views, func(a, b *view) int {
		return cmp.Or(cmp.Compare(b.urgency, a.urgency), cmp.Compare(oldest[a], oldest[b]), cmp.Compare(a.queue, b.queue))
	})
	list := t.rooms(now)
	misses := maxMisses
	if now-t.wholeAt >= wholePass {
		t.wholeAt, misses = now, math.MaxInt
	}
	p := &passage{misses: misses, least: math.MaxInt64, groups: map[stepKey]*unit{}, claims: map[string]bool{}}
	for _, v := range t.views {
		if v.out > 0 {
			p.least = min(p.least, v.urgency)
		}
	}
	own := map[string][]*room{}
	for _, r := range list {
		own[r.w.pool] = append(own[r.w.pool], r)
	}
	queues := map[*view]*[lost + 1]heads{}
	for _, v := range views {
		list := t.heads(now, v)
		queues[v] = &list
	}
	for _, each := range []chance{inTime, late, lost} {
		for _, v := range views {
			t.passQueue(now, v, each, &queues[v][each], own[t.values.Text("queue", v.queue, "pool")], list, p, out)
		}
	}
	if p.isFutile {
		t.futileAt = now
	}
}

// oldest is since when the first steps of the queue have waited.
func (v *view) oldest() eventloop.Micros {
	at := eventloop.Micros(math.MaxInt64)
	for _, r := range v.rows {
		if b, isThere := r.bands.Min(); isThere {
			if first, isReady := b.ready.Min(); isReady {
				at = min(at, first.since)
			}
		}
	}
	return at
}

// passage is what a pass has done so far.
type passage struct {
	misses   int               // of one queue, after which those behind aren't looked at
	least    int64             // lowest urgency of what is out
	claims   map[string]bool   // pools in which workers are kept free
	isFutile bool              // something that may displace found nothing to displace
	groups   map[stepKey]*unit // what may be displaced only whole
}

// heads are the first steps of each shape that are still to be looked at, in
// the queue's order.
type heads []*head

type head struct {
	bands []*band // of one shape and chance
	at    *band   // the first of them that is still to be looked at; nil: none
}

// next goes on to the step behind.
func (h *head) next() {
	if h.bands, h.at = h.bands[1:], nil; len(h.bands) > 0 {
		h.at = h.bands[0]
	}
}

func (h heads) Len() int           { return len(h) }
func (h heads) Less(a, b int) bool { return beforeBand(h[a].at, h[b].at) }
func (h heads) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *heads) Push(x any)        { *h = append(*h, x.(*head)) }
func (h *heads) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// heads sorts a queue's ready steps by their chance, in one look at each.
func (t *Table) heads(now eventloop.Micros, v *view) (queues [lost + 1]heads) {
	for _, r := range v.rows {
		var bands [lost + 1][]*band
		r.bands.Ascend(func(b *band) bool {
			first, _ := b.ready.Min()
			turn := t.chanceOf(now, v, first)
			bands[turn] = append(bands[turn], b)
			return true
		})
		for turn, list := range bands {
			if len(list) > 0 {
				queues[turn] = append(queues[turn], &head{list, list[0]})
			}
		}
	}
	for turn := range queues {
		heap.Init(&queues[turn])
	}
	return queues
}

func (t *Table) passQueue(now eventloop.Micros, v *view, turn chance, waiting *heads, list, all []*room, p *passage, out eventloop.Effects) {
	var picks []*schema.Placement
	spare := math.MaxInt64
	if turn == lost {
		spare = spareOf(list)
	}
	if waiting.Len() == 0 {
		return
	}
	head := t.headroom(v, list)
	left := int(v.running) - v.out - len(v.reserved)
	misses := 0
	for waiting.Len() > 0 && left > 0 && len(picks) < maxPicks && misses < p.misses && spare > 0 {
		h := (*waiting)[0]
		b := h.at
		if h.next(); h.at == nil {
			heap.Pop(waiting)
		} else {
			heap.Fix(waiting, 0)
		}
		x := t.wishOf(now, v, b, list)
		x.chance = turn
		var group []*task
		if b.spec.Gang {
			// Members are ready together, or the group isn't whole yet.
			if b.ready.Len() != int(b.spec.Tasks) || left < b.ready.Len() {
				continue
			}
			b.ready.Ascend(func(each *task) bool {
				group = append(group, each)
				return true
			})
		}
		isMissed := false
		// What has waited long while much is free isn't kept waiting for what may
		// come.
		mayFill := x.isBrief || !x.isPatient && isRoomy(list)
		if !mayFill && head.times(x.need) < int64(max(1, len(group))) {
			continue
		}
		for left > 0 && len(picks) < maxPicks && b.ready.Len() > 0 && spare > 0 && (mayFill || head.has(x.need)) {
			members := group
			if !b.spec.Gang {
				first, _ := b.ready.Min()
				members = []*task{first}
			}
			chosen := t.chooseFor(now, members, list, x)
			if chosen == nil {
				isMissed = true
				break
			}
			for k, member := range members {
				t.reserve(v, member, chosen[k].w.id, now)
				picks = append(picks, &schema.Placement{
					Key:    &schema.TaskKey{Job: member.key.job, Step: member.key.step, Task: member.key.task},
					Worker: chosen[k].w.id, Incarnation: chosen[k].w.incarnation,
				})
				left--
				spare -= int(x.need.cores)
				head.sub(x.need)
			}
		}
		if !isMissed {
			continue
		}
		// Whoever stands behind many that don't fit waits its turn: a long row
		// must not be looked through at every pass.
		misses++
		got := t.await(now, v, b, x, left, list, all, p)
		// Those of the same shape fit nowhere either, but room may be made for
		// them.
		if h.at == nil {
			continue
		}
		heap.Remove(waiting, slices.Index(*waiting, h))
		for k := 1; got > 0 && h.at != nil && k < maxMisses && t.mayAwait(now, v, list, p); k++ {
			if next := h.at; !next.spec.Gang || next.ready.Len() == int(next.spec.Tasks) {
				y := t.wishOf(now, v, next, list)
				y.chance = turn
				got = t.await(now, v, next, y, left, list, all, p)
			}
			h.next()
		}
	}
	if len(picks) > 0 {
		out.Notify("replica", replica.Propose{Group: v.group, Term: v.term, Command: &schema.QueueCommand{
			Body: &schema.QueueCommand_Checkout{Checkout: &schema.Checkout{Placements: picks}},
		}})
	}
}

// spareOf is how many milli cores may still be taken by what is lost.
func spareOf(list []*room) int {
	free, whole := int64(0), int64(0)
	for _, r := range list {
		free += r.free.cores
		whole += r.w.cores
	}
	return int(free) - int((1-lostShare)*float64(whole))
}

// chooseFor finds a worker for every task of the group, or none for any.
func (t *Table) chooseFor(now eventloop.Micros, group []*task, list []*room, x *wish) []*room {
	if !x.spec.Gang {
		return t.chooseAmong(now, group, list, x)
	}
	// Members wait for each other at their workers or are held: all alike.
	for _, gathers := range []bool{true, false} {
		var alike []*room
		for _, r := range list {
			if r.w.gathers == gathers {
				alike = append(alike, r)
			}
		}
		if len(alike) == 0 {
			continue
		}
		if x.spec.OneRack {
			if chosen := t.chooseRack(now, group, alike, x); chosen != nil {
				return chosen
			}
		}
		if chosen := t.chooseAmong(now, group, alike, x); chosen != nil {
			return chosen
		}
	}
	return nil
}

// chooseRack finds one rack that holds a whole group, the roomiest first.
func (t *Table) chooseRack(now eventloop.Micros, group []*task, list []*room, x *wish) []*room {
	byRack := map[string][]*room{}
	counts := map[string]int64{}
	for _, r := range list {
		if t.suits(r, x) {
			byRack[r.w.rack] = append(byRack[r.w.rack], r)
			counts[r.w.rack] += min(r.free.times(x.need), int64(len(group)))
			if r.w.rack == x.spec.DataRack {
				counts[r.w.rack] += 1 << 32
			}
		}
	}
	var racks []string
	for rack := range byRack {
		racks = append(racks, rack)
	}
	sort.Slice(racks, func(a, b int) bool {
		if counts[racks[a]] != counts[racks[b]] {
			return counts[racks[a]] > counts[racks[b]]
		}
		return racks[a] < racks[b]
	})
	for _, rack := range racks {
		if chosen := t.chooseAmong(now, group, byRack[rack], x); chosen != nil {
			return chosen
		}
	}
	return nil
}

func (t *Table) chooseAmong(now eventloop.Micros, group []*task, list []*room, x *wish) []*room {
	chosen := make([]*room, 0, len(group))
	undos := make([]func(), 0, len(group))
	for _, member := range group {
		r, score := t.best(now, list, x)
		if r == nil {
			for _, undo := range undos {
				undo()
			}
			return nil
		}
		undos = append(undos, t.put(r, x))
		member.why = fmt.Sprintf("score %.2f on %s: %d milli cores and %d MB left, rack %s has %d of this step",
			score, r.w.id, r.free.cores, r.free.memory, r.w.rack, x.racks[r.w.rack])
		chosen = append(chosen, r)
	}
	return chosen
}

// claim keeps workers free for something wide that would else wait for ever
// behind narrower work: those that are nearest to being free.
func (t *Table) claim(x *wish, count int, list []*room) bool {
	type offer struct {
		r     *room
		free  float64
		times int64
	}
	var offers []offer
	for _, r := range list {
		whole := r.w.whole()
		whole.sub(r.w.fixed)
		times := whole.times(x.need)
		if x.spec.MaxPerWorker > 0 {
			times = min(times, int64(x.spec.MaxPerWorker)-int64(x.workers[r.w.id]))
		}
		if times > 0 && t.suits(r, x) {
			offers = append(offers, offer{r, float64(r.later.cores) / float64(max(r.w.cores, 1)), times})
		}
	}
	slices.SortStableFunc(offers, func(a, b offer) int { return cmp.Compare(b.free, a.free) })
	var taken []*room
	for _, o := range offers {
		if count <= 0 {
			break
		}
		count -= int(min(o.times, math.MaxInt32))
		taken = append(taken, o.r)
	}
	if count > 0 {
		return false
	}
	for _, r := range taken {
		r.isClaimed = true
	}
	return true
}

// isWide tells whether a step's tasks can be starved by narrower ones.
func isWide(x *wish, list []*room) bool {
	if x.spec.Gang {
		return true
	}
	for _, r := range list {
		if r.w.whole().times(x.need) >= wideQuarter {
			return false
		}
	}
	return true
}

// Placement is one task's place and the reason for it.
type Placement struct {
	Queue  string `json:"queue"`
	Job    string `json:"job"`
	Step   string `json:"step"`
	Task   uint32 `json:"task"`
	Worker string `json:"worker"`
	State  string `json:"state"`
	Why    string `json:"why"`
}

// WorkerBelief is what the ward believes of a worker.
type WorkerBelief struct {
	Worker       string `json:"worker"`
	Generation   uint64 `json:"ward_generation"`
	HeardUs      int64  `json:"heard_us_ago"`
	Rack         string `json:"rack"`
	Pool         string `json:"pool"`
	Cores        int64  `json:"cores_milli"`
	Memory       int64  `json:"memory_mb"`
	Accelerators int64  `json:"accelerators"`
	Leaving      bool   `json:"leaving"`
	Over         bool   `json:"over"`
	Out          int    `json:"tasks_out"`
	Running      int    `json:"tasks_running"`
	Strange      int    `json:"tasks_unknown"`
	FailureRate  string `json:"failure_rate"`
	Pace         string `json:"times_slower"`
	SetAside     bool   `json:"set_aside"`
}

// Placements is the scheduler's belief.
type Placements struct {
	Workers []*WorkerBelief `json:"workers"`
	Tasks   []*Placement    `json:"tasks"`
	Ready   map[string]int  `json:"ready"`
	Counts  Counts          `json:"counts"`
}

func (t *Table) placements(now eventloop.Micros) *Placements {
	p := &Placements{Ready: map[string]int{}, Counts: t.counts}
	for _, w := range t.inOrder() {
		id := w.id
		p.Workers = append(p.Workers, &WorkerBelief{
			Worker: id, Generation: w.generation, HeardUs: int64(now - w.heard), Rack: w.rack, Pool: w.pool, Cores: w.cores, Memory: w.memory,
			Accelerators: w.accelerators, Leaving: w.isLeaving, Over: w.isOver, Out: len(w.tasks), Running: len(w.running), Strange: len(w.strange),
			FailureRate: fmt.Sprintf("%.2f", failureRate(w)), Pace: fmt.Sprintf("%.2f", math.Exp(w.slow)), SetAside: now < w.asideUntil,
		})
		for _, each := range t.tasksOf(w) {
			state := "out"
			if each.standing == queue.Stopping || each.evict != "" {
				state = "stopping"
			}
			p.Tasks = append(p.Tasks, &Placement{Queue: each.key.queue, Job: each.name, Step: each.spec.Name, Task: each.key.task, Worker: id, State: state, Why: each.why})
		}
	}
	for name, v := range t.views {
		p.Ready[name] = v.waits + len(v.reserved)
	}
	return p
}
