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
	dataRackWeight = 2000 // of the rack that holds a step's data
	sameRackWeight = 1000 // of the rack that a step keeps together in
	slowdownWeight = 100  // against workers, for each time their runs take longer
	warmUpPenalty  = 50   // against workers that have just started
	wideFraction   = 4    // what takes over a quarter of a worker is wide
)

// placementRequest is what a pass knows of a step while it looks for room for it.
type placementRequest struct {
	step           stepKey
	spec           *schema.Step
	need           resources
	tasksPerWorker map[string]int // its tasks by worker
	tasksPerRack   map[string]int // its tasks by rack
	preferredRack  string         // the rack it keeps together in
	mayUseEjected  bool           // it has waited long enough for workers that are set aside or on trial
	feasibility    deadlineFeasibility
	isRecent       bool // it hasn't waited long
	isShort        bool // its tasks end about as soon as they could be stopped
	// core-microseconds that may be thrown away for one task
	maxLoss float64
}

func (s *Scheduler) newRequest(now eventloop.Micros, q *queueView, step *stepQueue, candidates []*candidate) *placementRequest {
	first, _ := step.ready.Min()
	req := &placementRequest{
		step: step.key, spec: step.spec, need: resourcesOf(step.spec), tasksPerWorker: map[string]int{}, tasksPerRack: map[string]int{},
		isShort: s.isShort(q, first),
	}
	req.isRecent = now-first.since <= ejectedFallbackDelay
	req.mayUseEjected = !req.isRecent && (isUnderutilized(candidates) || !s.hasHealthyWorker(candidates, req)) || now-first.since > ejectedLastResortDelay
	req.maxLoss = s.maxLostWork(q, first)
	for id, count := range q.tasksPerWorker[step.key] {
		req.tasksPerWorker[id] = count
		if w := s.workers[id]; w != nil {
			req.tasksPerRack[w.rack] += count
		}
	}
	if step.spec.OneRack {
		req.preferredRack = s.choosePreferredRack(req, candidates)
	}
	return req
}

// choosePreferredRack is the rack where most of a step stands, else the one with most
// room for it.
func (s *Scheduler) choosePreferredRack(req *placementRequest, candidates []*candidate) string {
	weights := map[string]int64{}
	for rack, count := range req.tasksPerRack {
		weights[rack] += int64(count) << 32
	}
	for _, c := range candidates {
		if s.isEligible(c, req) {
			weights[c.worker.rack] += min(c.free.multipleOf(req.need), int64(req.spec.Tasks))
		}
	}
	best := ""
	for rack, count := range weights {
		if best == "" || count > weights[best] || count == weights[best] && rack < best {
			best = rack
		}
	}
	return best
}

// hasHealthyWorker tells whether a worker that isn't set aside or on trial could run the
// step's tasks once it has room.
func (s *Scheduler) hasHealthyWorker(candidates []*candidate, req *placementRequest) bool {
	return slices.ContainsFunc(candidates, func(c *candidate) bool {
		return !c.worker.isOnProbation && c.worker.total().covers(req.need) && s.hasLabels(c, req)
	})
}

// isEligible tells whether a worker may run a step's tasks at all.
func (s *Scheduler) isEligible(c *candidate, req *placementRequest) bool {
	if c.isClaimed || c.isEjected && !req.mayUseEjected || c.worker.isOnProbation && !req.isShort && !req.mayUseEjected {
		return false
	}
	return s.hasLabels(c, req)
}

func (s *Scheduler) hasLabels(c *candidate, req *placementRequest) bool {
	for _, label := range req.spec.Labels {
		if !slices.Contains(c.worker.labels, label) {
			return false
		}
	}
	return true
}

// isBelowWorkerLimit tells whether the worker may have one more of a step's tasks.
func (s *Scheduler) isBelowWorkerLimit(c *candidate, req *placementRequest) bool {
	if req.spec.MaxPerWorker == 0 {
		return true
	}
	count := req.tasksPerWorker[c.worker.id]
	for key := range c.worker.running {
		if key.stepKey() == req.step {
			if t := c.worker.tasks[key.taskKey]; t == nil || t.attempt != key.attempt {
				count++
			}
		}
	}
	return count < int(req.spec.MaxPerWorker)
}

// acceptsMore tells whether a worker that is being tried again may have one more
// task: what has waited long needn't wait for the end of the trial as well.
func (c *candidate) acceptsMore(req *placementRequest) bool {
	return c.maxTasks > 0 || req.mayUseEjected && !c.isEjected
}

func (s *Scheduler) fits(c *candidate, req *placementRequest) bool {
	// Room that is being freed for somebody is given to nobody else.
	return c.acceptsMore(req) && c.free.covers(req.need) && c.freeAfterStops.covers(req.need) && s.isEligible(c, req) && s.isBelowWorkerLimit(c, req)
}

// score weighs a worker for a step: room left in its scarcer kind, spread over
// racks, failures, pace, and where the data is.
func (s *Scheduler) score(now eventloop.Micros, c *candidate, req *placementRequest) float64 {
	left := func(free, need, total int64) float64 {
		if total <= 0 {
			return 0
		}
		return float64(free-need) / float64(total)
	}
	free := math.Min(left(c.free.cores, req.need.cores, c.worker.cores), left(c.free.memory, max(req.need.memory, 1), c.worker.memory))
	score := float64(s.fleetSetting("weight_room")) * free
	score -= float64(s.fleetSetting("weight_failures")) * failureRate(c.worker)
	score -= slowdownWeight * math.Max(0, math.Exp(math.Min(c.worker.slowdown, 3))-1)
	if now < c.worker.warmUpUntil {
		score -= warmUpPenalty
	}
	// Accelerators are kept for who asks for them.
	if req.need.accelerators == 0 && c.worker.accelerators > 0 {
		score -= float64(s.fleetSetting("weight_room"))
	}
	if req.spec.OneRack {
		if c.worker.rack == req.preferredRack {
			score += sameRackWeight
		}
	} else {
		score -= float64(s.fleetSetting("weight_rack")) * float64(req.tasksPerRack[c.worker.rack]) / float64(max(req.spec.Tasks, 1))
	}
	if req.spec.DataRack != "" && c.worker.rack == req.spec.DataRack {
		score += dataRackWeight
	}
	if score > 0 {
		score = score * float64(c.rackWeight) / 100
	}
	return score
}

func (s *Scheduler) bestCandidate(now eventloop.Micros, candidates []*candidate, req *placementRequest) (*candidate, float64) {
	var best *candidate
	top := math.Inf(-1)
	for _, c := range candidates {
		if !s.fits(c, req) {
			continue
		}
		if score := s.score(now, c, req); score > top {
			best, top = c, score
		}
	}
	return best, top
}

// allocate takes room for one task of a step; the answer gives it back.
func (s *Scheduler) allocate(c *candidate, req *placementRequest) (undo func()) {
	c.allocate(req.need)
	req.tasksPerWorker[c.worker.id]++
	req.tasksPerRack[c.worker.rack]++
	return func() {
		c.release(req.need)
		req.tasksPerWorker[c.worker.id]--
		req.tasksPerRack[c.worker.rack]--
	}
}

// advance runs over the ready tasks, most urgent queue first, and checks out what
// finds room.
func (s *Scheduler) pass(now eventloop.Micros, effects eventloop.Effects) {
	var queues []*queueView
	oldest := map[*queueView]eventloop.Micros{}
	for _, q := range s.queues {
		if q.readyCount > 0 && s.mayActFor(now, q) {
			queues = append(queues, q)
			oldest[q] = q.oldestReady()
		}
	}
	if len(queues) == 0 {
		return
	}
	// Among equals goes first who has waited longest.
	slices.SortFunc(queues, func(a, b *queueView) int {
		return cmp.Or(cmp.Compare(b.urgency, a.urgency), cmp.Compare(oldest[a], oldest[b]), cmp.Compare(a.name, b.name))
	})
	candidates := s.candidates(now)
	unplaced := maxUnplaced
	if now-s.fullPassAt >= fullPassInterval {
		s.fullPassAt, unplaced = now, math.MaxInt
	}
	pass := &passState{maxUnplaced: unplaced, minRunningUrgency: math.MaxInt64, gangVictims: map[stepKey]*victim{}, claimedPools: map[string]bool{}}
	for _, q := range s.queues {
		if q.tasksOut > 0 {
			pass.minRunningUrgency = min(pass.minRunningUrgency, q.urgency)
		}
	}
	byPool := map[string][]*candidate{}
	for _, c := range candidates {
		byPool[c.worker.pool] = append(byPool[c.worker.pool], c)
	}
	heaps := map[*queueView]*[infeasible + 1]stepHeap{}
	for _, q := range queues {
		candidates := s.stepsByFeasibility(now, q)
		heaps[q] = &candidates
	}
	for _, feasibility := range []deadlineFeasibility{onTime, late, infeasible} {
		for _, q := range queues {
			s.scheduleQueue(now, q, feasibility, &heaps[q][feasibility], byPool[s.config.Text("queue", q.name, "pool")], candidates, pass, effects)
		}
	}
	if pass.preemptionFailed {
		s.preemptionFailedAt = now
	}
}

// oldestReady is since when the first steps of the queue have waited.
func (q *queueView) oldestReady() eventloop.Micros {
	since := eventloop.Micros(math.MaxInt64)
	for _, group := range q.readyByShape {
		if step, found := group.steps.Min(); found {
			if first, found := step.ready.Min(); found {
				since = min(since, first.since)
			}
		}
	}
	return since
}

// passState is what a pass has done so far.
type passState struct {
	maxUnplaced       int                 // of one queue, after which those behind aren't looked at
	minRunningUrgency int64               // lowest urgency of what is out
	claimedPools      map[string]bool     // pools in which workers are kept free
	preemptionFailed  bool                // something that may displace found nothing to displace
	gangVictims       map[stepKey]*victim // what may be displaced only whole
}

// stepHeap are the first steps of each shape that are still to be looked at, in
// the queue's order.
type stepHeap []*stepCursor

type stepCursor struct {
	steps   []*stepQueue // of one shape and chance
	current *stepQueue   // the first of them that is still to be looked at; nil: none
}

// advance goes on to the step behind.
func (cursor *stepCursor) advance() {
	if cursor.steps, cursor.current = cursor.steps[1:], nil; len(cursor.steps) > 0 {
		cursor.current = cursor.steps[0]
	}
}

func (h stepHeap) Len() int           { return len(h) }
func (h stepHeap) Less(a, b int) bool { return stepQueueLess(h[a].current, h[b].current) }
func (h stepHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *stepHeap) Push(x any)        { *h = append(*h, x.(*stepCursor)) }
func (h *stepHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// stepHeap sorts a queue's ready steps by their chance, in one look at each.
func (s *Scheduler) stepsByFeasibility(now eventloop.Micros, q *queueView) (heaps [infeasible + 1]stepHeap) {
	for _, group := range q.readyByShape {
		var byFeasibility [infeasible + 1][]*stepQueue
		group.steps.Ascend(func(step *stepQueue) bool {
			first, _ := step.ready.Min()
			turn := s.feasibilityOf(now, q, first)
			byFeasibility[turn] = append(byFeasibility[turn], step)
			return true
		})
		for turn, steps := range byFeasibility {
			if len(steps) > 0 {
				heaps[turn] = append(heaps[turn], &stepCursor{steps, steps[0]})
			}
		}
	}
	for turn := range heaps {
		heap.Init(&heaps[turn])
	}
	return heaps
}

func (s *Scheduler) scheduleQueue(now eventloop.Micros, q *queueView, feasibility deadlineFeasibility, steps *stepHeap, candidates, allCandidates []*candidate, pass *passState, effects eventloop.Effects) {
	var placements []*schema.Placement
	budget := math.MaxInt64
	if feasibility == infeasible {
		budget = infeasibleBudget(candidates)
	}
	if steps.Len() == 0 {
		return
	}
	headroom := s.headroom(q, candidates)
	left := int(q.maxRunning) - q.tasksOut - len(q.reserved)
	unplaced := 0
	for steps.Len() > 0 && left > 0 && len(placements) < maxPlacements && unplaced < pass.maxUnplaced && budget > 0 {
		cursor := (*steps)[0]
		step := cursor.current
		if cursor.advance(); cursor.current == nil {
			heap.Pop(steps)
		} else {
			heap.Fix(steps, 0)
		}
		req := s.newRequest(now, q, step, candidates)
		req.feasibility = feasibility
		var gang []*task
		if step.spec.Gang {
			// Members are ready together, or the group isn't whole yet.
			if step.ready.Len() != int(step.spec.Tasks) || left < step.ready.Len() {
				continue
			}
			step.ready.Ascend(func(t *task) bool {
				gang = append(gang, t)
				return true
			})
		}
		unplacedAny := false
		// What has waited long while much is free isn't kept waiting for what may
		// come.
		mayUseHeadroom := req.isShort || !req.isRecent && isUnderutilized(candidates)
		if !mayUseHeadroom && headroom.multipleOf(req.need) < int64(max(1, len(gang))) {
			continue
		}
		for left > 0 && len(placements) < maxPlacements && step.ready.Len() > 0 && budget > 0 && (mayUseHeadroom || headroom.covers(req.need)) {
			members := gang
			if !step.spec.Gang {
				first, _ := step.ready.Min()
				members = []*task{first}
			}
			chosen := s.chooseWorkers(now, members, candidates, req)
			if chosen == nil {
				unplacedAny = true
				break
			}
			for k, member := range members {
				s.reserve(q, member, chosen[k].worker.id, now)
				placements = append(placements, &schema.Placement{
					Key:    &schema.TaskKey{Job: member.key.job, Step: member.key.step, Task: member.key.task},
					Worker: chosen[k].worker.id, Incarnation: chosen[k].worker.incarnation,
				})
				left--
				budget -= int(req.need.cores)
				headroom.sub(req.need)
			}
		}
		if !unplacedAny {
			continue
		}
		// Whoever stands behind many that don't fit waits its turn: a long row
		// must not be looked through at every pass.
		unplaced++
		awaited := s.reserveFutureCapacity(now, q, step, req, left, candidates, allCandidates, pass)
		// Those of the same shape fit nowhere either, but room may be made for
		// them.
		if cursor.current == nil {
			continue
		}
		heap.Remove(steps, slices.Index(*steps, cursor))
		for k := 1; awaited > 0 && cursor.current != nil && k < maxUnplaced && s.canGainCapacity(now, q, candidates, pass); k++ {
			if next := cursor.current; !next.spec.Gang || next.ready.Len() == int(next.spec.Tasks) {
				nextReq := s.newRequest(now, q, next, candidates)
				nextReq.feasibility = feasibility
				awaited = s.reserveFutureCapacity(now, q, next, nextReq, left, candidates, allCandidates, pass)
			}
			cursor.advance()
		}
	}
	if len(placements) > 0 {
		effects.Notify("replica", replica.Propose{Group: q.raftGroup, Term: q.term, Command: &schema.QueueCommand{
			Body: &schema.QueueCommand_Checkout{Checkout: &schema.Checkout{Placements: placements}},
		}})
	}
}

// infeasibleBudget is how many milli cores may still be taken by what is lost.
func infeasibleBudget(candidates []*candidate) int {
	free, total := int64(0), int64(0)
	for _, c := range candidates {
		free += c.free.cores
		total += c.worker.cores
	}
	return int(free) - int((1-infeasibleUtilization)*float64(total))
}

// chooseWorkers finds a worker for every task of the group, or none for any.
func (s *Scheduler) chooseWorkers(now eventloop.Micros, members []*task, candidates []*candidate, req *placementRequest) []*candidate {
	if !req.spec.Gang {
		return s.chooseEach(now, members, candidates, req)
	}
	// Members wait for each other at their workers or are held: all alike.
	for _, gathers := range []bool{true, false} {
		var alike []*candidate
		for _, c := range candidates {
			if c.worker.hasBarrier == gathers {
				alike = append(alike, c)
			}
		}
		if len(alike) == 0 {
			continue
		}
		if req.spec.OneRack {
			if chosen := s.chooseInOneRack(now, members, alike, req); chosen != nil {
				return chosen
			}
		}
		if chosen := s.chooseEach(now, members, alike, req); chosen != nil {
			return chosen
		}
	}
	return nil
}

// chooseInOneRack finds one rack that holds a whole group, the roomiest first.
func (s *Scheduler) chooseInOneRack(now eventloop.Micros, members []*task, candidates []*candidate, req *placementRequest) []*candidate {
	byRack := map[string][]*candidate{}
	weights := map[string]int64{}
	for _, c := range candidates {
		if s.isEligible(c, req) {
			byRack[c.worker.rack] = append(byRack[c.worker.rack], c)
			weights[c.worker.rack] += min(c.free.multipleOf(req.need), int64(len(members)))
			if c.worker.rack == req.spec.DataRack {
				weights[c.worker.rack] += 1 << 32
			}
		}
	}
	var racks []string
	for rack := range byRack {
		racks = append(racks, rack)
	}
	sort.Slice(racks, func(a, b int) bool {
		if weights[racks[a]] != weights[racks[b]] {
			return weights[racks[a]] > weights[racks[b]]
		}
		return racks[a] < racks[b]
	})
	for _, rack := range racks {
		if chosen := s.chooseEach(now, members, byRack[rack], req); chosen != nil {
			return chosen
		}
	}
	return nil
}

func (s *Scheduler) chooseEach(now eventloop.Micros, members []*task, candidates []*candidate, req *placementRequest) []*candidate {
	chosen := make([]*candidate, 0, len(members))
	undos := make([]func(), 0, len(members))
	for _, member := range members {
		c, score := s.bestCandidate(now, candidates, req)
		if c == nil {
			for _, undo := range undos {
				undo()
			}
			return nil
		}
		undos = append(undos, s.allocate(c, req))
		member.placementReason = fmt.Sprintf("score %.2f on %s: %d milli cores and %d MB left, rack %s has %d of this step",
			score, c.worker.id, c.free.cores, c.free.memory, c.worker.rack, req.tasksPerRack[c.worker.rack])
		chosen = append(chosen, c)
	}
	return chosen
}

// claimWorkers keeps workers free for something wide that would else wait for ever
// behind narrower work: those that are nearest to being free.
func (s *Scheduler) claimWorkers(req *placementRequest, count int, candidates []*candidate) bool {
	type offer struct {
		r     *candidate
		free  float64
		times int64
	}
	var offers []offer
	for _, c := range candidates {
		total := c.worker.total()
		total.sub(c.worker.usedByServices)
		tasks := total.multipleOf(req.need)
		if req.spec.MaxPerWorker > 0 {
			tasks = min(tasks, int64(req.spec.MaxPerWorker)-int64(req.tasksPerWorker[c.worker.id]))
		}
		if tasks > 0 && s.isEligible(c, req) {
			offers = append(offers, offer{c, float64(c.freeAfterStops.cores) / float64(max(c.worker.cores, 1)), tasks})
		}
	}
	slices.SortStableFunc(offers, func(a, b offer) int { return cmp.Compare(b.free, a.free) })
	var taken []*candidate
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
	for _, c := range taken {
		c.isClaimed = true
	}
	return true
}

// isWide tells whether a step's tasks can be starved by narrower ones.
func isWide(req *placementRequest, candidates []*candidate) bool {
	if req.spec.Gang {
		return true
	}
	for _, c := range candidates {
		if c.worker.total().multipleOf(req.need) >= wideFraction {
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
	Reason string `json:"why"`
}

// WorkerView is what the ward believes of a worker.
type WorkerView struct {
	Worker       string `json:"worker"`
	FencingToken uint64 `json:"ward_generation"`
	LastHeardUs  int64  `json:"heard_us_ago"`
	Rack         string `json:"rack"`
	Pool         string `json:"pool"`
	Cores        int64  `json:"cores_milli"`
	Memory       int64  `json:"memory_mb"`
	Accelerators int64  `json:"accelerators"`
	Leaving      bool   `json:"leaving"`
	Dead         bool   `json:"over"`
	TasksOut     int    `json:"tasks_out"`
	TasksRunning int    `json:"tasks_running"`
	TasksUnknown int    `json:"tasks_unknown"`
	FailureRate  string `json:"failure_rate"`
	Slowdown     string `json:"times_slower"`
	Ejected      bool   `json:"set_aside"`
}

// StateView is the scheduler's belief.
type StateView struct {
	Workers []*WorkerView  `json:"workers"`
	Tasks   []*Placement   `json:"tasks"`
	Ready   map[string]int `json:"ready"`
	Counts  Counts         `json:"counts"`
}

func (s *Scheduler) stateView(now eventloop.Micros) *StateView {
	p := &StateView{Ready: map[string]int{}, Counts: s.counts}
	for _, w := range s.sortedWorkers() {
		id := w.id
		p.Workers = append(p.Workers, &WorkerView{
			Worker: id, FencingToken: w.fencingToken, LastHeardUs: int64(now - w.lastHeard), Rack: w.rack, Pool: w.pool, Cores: w.cores, Memory: w.memory,
			Accelerators: w.accelerators, Leaving: w.isDraining, Dead: w.isDead, TasksOut: len(w.tasks), TasksRunning: len(w.running), TasksUnknown: len(w.unknownRuns),
			FailureRate: fmt.Sprintf("%.2f", failureRate(w)), Slowdown: fmt.Sprintf("%.2f", math.Exp(w.slowdown)), Ejected: now < w.ejectedUntil,
		})
		for _, t := range s.sortedTasks(w) {
			state := "out"
			if t.state == queue.Stopping || t.evictOutcome != "" {
				state = "stopping"
			}
			p.Tasks = append(p.Tasks, &Placement{Queue: t.key.queue, Job: t.jobName, Step: t.spec.Name, Task: t.key.task, Worker: id, State: state, Reason: t.placementReason})
		}
	}
	for name, q := range s.queues {
		p.Ready[name] = q.readyCount + len(q.reserved)
	}
	return p
}
