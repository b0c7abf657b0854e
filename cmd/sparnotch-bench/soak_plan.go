package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sparnotch/internal/deployments"
)

// soakAction is one thing done to a node's process.
type soakAction string

const (
	actionTerminate soakAction = "SIGTERM"
	actionKill      soakAction = "SIGKILL"
	actionFreeze    soakAction = "SIGSTOP"
	actionThaw      soakAction = "SIGCONT"
	actionHangUp    soakAction = "SIGHUP"
	actionFlushLog  soakAction = "SIGUSR1"
	actionStart     soakAction = "start" // once the process has ended
)

// soakStep is an action on the node of an index, and the pause after it.
type soakStep struct {
	node   int
	action soakAction
	pause  time.Duration
}

// soakSeries is a series of steps, one after another; series overlap.
type soakSeries struct {
	at    time.Duration // from the start of the load
	name  string
	steps []soakStep
}

// workerCrash is the crash of a worker and its restart.
type workerCrash struct {
	at, duration time.Duration
	worker       int
}

// soakPlan is all that a run draws from its seed before it starts.
type soakPlan struct {
	deployment  deployments.Deployment
	hasTenants  bool
	sessions    int
	series      []soakSeries
	crashes     []workerCrash
	publicQueue string
}

const (
	maxSmallGateways = 8
	maxSmallAgents   = 9
	minSoakWorkers   = 4
	maxSoakWorkers   = 11
	minSoakSessions  = 16
	maxSoakSessions  = 48
	// largeRunShare is how many runs there are for each that has all processes allowed.
	largeRunShare = 8
	// lastSeriesShare is the share of the load after which no series begins.
	lastSeriesShare = 0.75
)

// drawSoakPlan draws a run with at most so many processes of nodes.
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
		p.crashes = append(p.crashes, workerCrash{
			at: time.Duration(rng.Float64() * lastSeriesShare * float64(span)), duration: drawPause(rng, 3*time.Second), worker: rng.IntN(p.deployment.Workers),
		})
	}
	return p
}

// nodeCount is the number of nodes: the gateway nodes have the first indexes, and of these
// the storage nodes.
func (p *soakPlan) nodeCount() int { return p.deployment.Gateways + p.deployment.Agents }

func drawPause(rng *rand.Rand, longest time.Duration) time.Duration {
	return time.Duration(rng.Float64() * float64(longest))
}

// drawNode draws a node; half of the draws are a storage node.
func (p *soakPlan) drawNode(rng *rand.Rand) int {
	if rng.IntN(2) == 0 {
		return rng.IntN(storageNodeCount)
	}
	return rng.IntN(p.nodeCount())
}

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

// drawManyNodes draws a rolling restart, or several nodes that are killed at once.
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

// repeat joins the steps of so many calls.
func repeat(count int, draw func() []soakStep) []soakStep {
	var steps []soakStep
	for range count {
		steps = append(steps, draw()...)
	}
	return steps
}
