package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sparnotch/internal/deployments"
)

// soakAction is an action on the process of a node: a signal, or a start.
type soakAction string

const (
	actionTerminate soakAction = "SIGTERM"
	actionKill      soakAction = "SIGKILL"
	actionFreeze    soakAction = "SIGSTOP"
	actionThaw      soakAction = "SIGCONT"
	actionHangUp    soakAction = "SIGHUP"
	actionFlushLog  soakAction = "SIGUSR1"
	actionStart     soakAction = "start" // waits until the process has exited
)

// soakStep is an action on one node, followed by a pause.
type soakStep struct {
	node   int // index into soakNodes.list
	action soakAction
	pause  time.Duration
}

// soakSeries is a series of steps, which are performed one after another. Several series may
// run at the same time.
type soakSeries struct {
	at    time.Duration // from the start of the load
	name  string
	steps []soakStep
}

// workerCrash is the crash of a worker, which is started again after a duration.
type workerCrash struct {
	at, duration time.Duration // from the start of the load to the crash, and from the crash to the restart
	worker       int           // index
}

// soakPlan holds everything that is drawn from the seed before a run starts.
type soakPlan struct {
	deployment  deployments.Deployment
	hasTenants  bool
	sessions    int // number of clients
	series      []soakSeries
	crashes     []workerCrash
	publicQueue string // queue that needs no key; empty: none
}

const (
	maxSmallGateways = 8
	maxSmallAgents   = 9
	minSoakWorkers   = 4
	maxSoakWorkers   = 11
	minSoakSessions  = 16
	maxSoakSessions  = 48
	// largeRunShare means that on average one run in this many has the maximum number of
	// processes.
	largeRunShare = 8
	// lastSeriesShare is the share of the load's duration after which no series and no crash
	// of a worker starts.
	lastSeriesShare = 0.75
	// minCrashSpacing is the shortest time from the restart of a worker to its next crash.
	minCrashSpacing = 500 * time.Millisecond
)

// drawSoakPlan draws the plan of a run from a seed. The run has at most maxProcesses nodes.
func drawSoakPlan(seed uint64, span time.Duration, maxProcesses int, hasTenants bool) *soakPlan {
	rng := rand.New(rand.NewPCG(seed, 1))
	p := &soakPlan{deployment: *deployments.All[rng.IntN(len(deployments.All))], hasTenants: hasTenants}
	p.deployment.Gateways = min(storageNodeCount+rng.IntN(maxSmallGateways-storageNodeCount+1), maxProcesses-1)
	p.deployment.Agents = 1 + rng.IntN(min(maxSmallAgents, maxProcesses-p.deployment.Gateways))
	if rng.IntN(largeRunShare) == 0 {
		p.deployment.Agents = maxProcesses - p.deployment.Gateways
	}
	p.deployment.Workers = minSoakWorkers + rng.IntN(maxSoakWorkers-minSoakWorkers+1)
	p.sessions = minSoakSessions + rng.IntN(maxSoakSessions-minSoakSessions+1)
	if rng.IntN(2) == 0 {
		p.publicQueue = p.deployment.JobTypes[0].Queue
	}
	for range 4 + rng.IntN(9) {
		series := p.drawSeries(rng)
		series.at = time.Duration(rng.Float64() * lastSeriesShare * float64(span))
		p.series = append(p.series, series)
	}
	for range rng.IntN(4) {
		p.addCrash(workerCrash{
			at: time.Duration(rng.Float64() * lastSeriesShare * float64(span)), duration: drawPause(rng, 3*time.Second), worker: rng.IntN(p.deployment.Workers),
		})
	}
	return p
}

// addCrash adds the crash of a worker unless the worker may still be down from another one: each
// crash starts the worker again, and two processes of one worker would then run at once.
func (p *soakPlan) addCrash(added workerCrash) {
	if !slices.ContainsFunc(p.crashes, added.overlaps) {
		p.crashes = append(p.crashes, added)
	}
}

// overlaps reports whether two crashes are of the same worker and less than minCrashSpacing lies
// between the restart of one and the other.
func (c workerCrash) overlaps(other workerCrash) bool {
	return c.worker == other.worker && c.at < other.at+other.duration+minCrashSpacing && other.at < c.at+c.duration+minCrashSpacing
}

// nodeCount returns the number of nodes. The storage nodes have the first indexes, the other
// gateway nodes the next ones, and the agent nodes the last.
func (p *soakPlan) nodeCount() int { return p.deployment.Gateways + p.deployment.Agents }

// drawPause draws a duration between 0 and a maximum.
func drawPause(rng *rand.Rand, longest time.Duration) time.Duration {
	return time.Duration(rng.Float64() * float64(longest))
}

// drawNode draws the index of a node. At least half of the draws return a storage node.
func (p *soakPlan) drawNode(rng *rand.Rand) int {
	if rng.IntN(2) == 0 {
		return rng.IntN(storageNodeCount)
	}
	return rng.IntN(p.nodeCount())
}

// drawSeries draws a series without its time. Each series starts or resumes the processes that
// it ends or stops.
func (p *soakPlan) drawSeries(rng *rand.Rand) soakSeries {
	node := p.drawNode(rng)
	step := func(action soakAction, longest time.Duration) soakStep {
		return soakStep{node, action, drawPause(rng, longest)}
	}
	start := step(actionStart, 0)
	switch rng.IntN(9) {
	case 0:
		return soakSeries{name: "restart", steps: []soakStep{step(actionTerminate, time.Second), start}}
	case 1:
		return soakSeries{name: "SIGTERM twice", steps: []soakStep{step(actionTerminate, 800*time.Millisecond), step(actionTerminate, time.Second), start}}
	case 2:
		return soakSeries{name: "SIGKILL while it shuts down", steps: []soakStep{step(actionTerminate, 2500*time.Millisecond), step(actionKill, time.Second), start}}
	case 3:
		return soakSeries{name: "SIGKILL", steps: []soakStep{step(actionKill, 3*time.Second), start}}
	case 4:
		return soakSeries{name: "freezes", steps: repeat(1+rng.IntN(4), func() []soakStep {
			return []soakStep{step(actionFreeze, 2*time.Second), step(actionThaw, time.Second)}
		})}
	case 5:
		return soakSeries{name: "SIGTERM while frozen", steps: []soakStep{
			step(actionFreeze, time.Second), step(actionTerminate, time.Second), step(actionThaw, time.Second), start,
		}}
	case 6:
		return soakSeries{name: "signals that end nothing", steps: repeat(1+rng.IntN(5), func() []soakStep {
			return []soakStep{step(actionHangUp, 300*time.Millisecond), step(actionFlushLog, 300*time.Millisecond)}
		})}
	case 7:
		return soakSeries{name: "killed again and again", steps: repeat(2+rng.IntN(4), func() []soakStep {
			return []soakStep{step(actionKill, 200*time.Millisecond), step(actionStart, 700*time.Millisecond)}
		})}
	}
	return p.drawManyNodes(rng)
}

// drawManyNodes draws a series for several nodes: a rolling restart, or a SIGKILL to all of
// them at once.
func (p *soakPlan) drawManyNodes(rng *rand.Rand) soakSeries {
	first, count := rng.IntN(p.nodeCount()), 2+rng.IntN(p.nodeCount()-1)
	series := soakSeries{name: fmt.Sprintf("rolling restart of %d nodes", count)}
	if rng.IntN(2) == 0 {
		count = min(count, 6)
		for k := range count {
			node := (first + k) % p.nodeCount()
			series.steps = append(series.steps, soakStep{node, actionTerminate, drawPause(rng, 500*time.Millisecond)}, soakStep{node, actionStart, drawPause(rng, time.Second)})
		}
		series.name = fmt.Sprintf("rolling restart of %d nodes", count)
		return series
	}
	series.name = fmt.Sprintf("SIGKILL of %d nodes at once", count)
	for k := range count {
		series.steps = append(series.steps, soakStep{(first + k) % p.nodeCount(), actionKill, 0})
	}
	series.steps[count-1].pause = drawPause(rng, 3*time.Second)
	for k := range count {
		series.steps = append(series.steps, soakStep{(first + k) % p.nodeCount(), actionStart, 0})
	}
	return series
}

// repeat calls a function count times and returns the steps of all calls.
func repeat(count int, draw func() []soakStep) []soakStep {
	var steps []soakStep
	for range count {
		steps = append(steps, draw()...)
	}
	return steps
}
