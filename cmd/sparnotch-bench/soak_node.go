package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"sparnotch/internal/checker"
)

// answerTimeout is how long a node may take to show that it is up.
const answerTimeout = 500 * time.Millisecond

var soakSignals = map[soakAction]syscall.Signal{
	actionTerminate: syscall.SIGTERM, actionKill: syscall.SIGKILL, actionFreeze: syscall.SIGSTOP,
	actionThaw: syscall.SIGCONT, actionHangUp: syscall.SIGHUP, actionFlushLog: syscall.SIGUSR1,
}

// soakNode is a node of a soak, to which overlapping series do things.
type soakNode struct {
	*daemon
	nodes    *soakNodes
	starting sync.Mutex // held while one waits for the exit and starts the process again

	// Guarded by soakNodes.mu.
	hasAnswered bool // since its start: from then on it handles its signals, which may end it before
	isEnding    bool // a signal was sent that ends it
	mayFail     bool // its exit code says nothing: it was killed, or signalled too early
	awayCounts  int  // reasons for which it can't serve
}

// soakNodes keeps count of the nodes that are away, for the checker.
type soakNodes struct {
	fleet       *fleet
	list        []*soakNode
	mu          sync.Mutex // guards the rest
	storageAway int
	isQuorumOut bool
	violations  []string
}

func newSoakNodes(f *fleet) *soakNodes {
	nodes := &soakNodes{fleet: f}
	for _, d := range f.daemons() {
		nodes.list = append(nodes.list, &soakNode{daemon: d, nodes: nodes})
	}
	return nodes
}

// report records a violation.
func (s *soakNodes) report(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// countAway adds a reason for which a node can't serve, or takes one away. The caller holds
// the lock.
func (n *soakNode) countAway(change int) {
	wasAway := n.awayCounts > 0
	n.awayCounts += change
	isAway := n.awayCounts > 0
	if wasAway == isAway {
		return
	}
	s := n.nodes
	s.fleet.setAvailable(n.daemon, !isAway)
	if n.dataDir == "" {
		return
	}
	if isAway {
		s.storageAway++
	} else {
		s.storageAway--
	}
	switch {
	case s.storageAway >= storageNodeCount-1 && !s.isQuorumOut:
		s.isQuorumOut = true
		s.fleet.history.add(checker.Event{Kind: checker.QuorumLost})
	case s.storageAway == 0 && s.isQuorumOut:
		s.isQuorumOut = false
		s.fleet.history.add(checker.Event{Kind: checker.QuorumRestored})
	}
}

// run carries a series out.
func (s *soakNodes) run(ctx context.Context, series soakSeries) {
	for _, step := range series.steps {
		s.list[step.node].do(step.action)
		sleep(ctx, step.pause)
	}
}

// do carries one action out.
func (n *soakNode) do(action soakAction) {
	switch action {
	case actionStart:
		n.startAgain()
		return
	case actionTerminate, actionKill:
		n.prepareEnd(action)
	case actionFreeze, actionThaw:
		n.prepareFreeze(action)
	default:
		if !n.handlesSignals() {
			return
		}
	}
	n.signal(soakSignals[action])
}

// prepareEnd records that a signal is about to end the process.
func (n *soakNode) prepareEnd(action soakAction) {
	n.nodes.fleet.recordFault(string(action) + " " + n.name)
	n.checkRunning()
	handlesSignals := n.handlesSignals()
	n.nodes.mu.Lock()
	defer n.nodes.mu.Unlock()
	if action == actionKill || !handlesSignals {
		n.mayFail = true
	}
	if !n.isEnding {
		n.isEnding = true
		n.countAway(1)
	}
}

func (n *soakNode) prepareFreeze(action soakAction) {
	n.nodes.fleet.recordFault(string(action) + " " + n.name)
	n.nodes.mu.Lock()
	defer n.nodes.mu.Unlock()
	if action == actionFreeze {
		n.countAway(1)
	} else {
		n.countAway(-1)
	}
}

// handlesSignals reports whether the process has come so far that it handles its signals
// itself: it has answered a request since its start.
func (n *soakNode) handlesSignals() bool {
	n.nodes.mu.Lock()
	hasAnswered, isEnding := n.hasAnswered, n.isEnding
	n.nodes.mu.Unlock()
	if hasAnswered || isEnding {
		return hasAnswered
	}
	code, _, err := n.nodes.fleet.balancer.call(context.Background(), answerTimeout, "GET", n.httpAddress, "/livez", nil, "")
	n.nodes.mu.Lock()
	defer n.nodes.mu.Unlock()
	// Another series may have ended the process meanwhile.
	n.hasAnswered = err == nil && code == http.StatusOK && !n.isEnding
	return n.hasAnswered
}

// checkRunning reports a process that has ended though nothing told it to.
func (n *soakNode) checkRunning() {
	_, exited := n.run()
	n.nodes.mu.Lock()
	isEnding := n.isEnding
	n.nodes.mu.Unlock()
	if isEnding || exited == nil {
		return
	}
	select {
	case <-exited:
		n.nodes.report("%s ended by itself; see its log", n.name)
	default:
	}
}

// startAgain waits for the process's end, and starts it again. Nothing is done to a process
// that wasn't told to end.
func (n *soakNode) startAgain() {
	n.starting.Lock()
	defer n.starting.Unlock()
	n.nodes.mu.Lock()
	isEnding := n.isEnding
	n.nodes.mu.Unlock()
	if !isEnding {
		return
	}
	code := n.awaitExit()
	n.nodes.mu.Lock()
	mayFail := n.mayFail
	n.nodes.mu.Unlock()
	if code != 0 && !mayFail {
		n.nodes.report("%s exited with code %d after SIGTERM", n.name, code)
	}
	n.nodes.fleet.recordChange("start " + n.name)
	if err := n.start(n.nodes.fleet.folder); err != nil {
		n.nodes.report("%s can't be started: %v", n.name, err)
	}
	n.nodes.mu.Lock()
	defer n.nodes.mu.Unlock()
	n.isEnding, n.mayFail, n.hasAnswered = false, false, false
	n.countAway(-1)
}

// awaitExit waits for the end of the process and returns its exit code. One that takes too
// long is killed.
func (n *soakNode) awaitExit() int {
	command, exited := n.run()
	select {
	case <-exited:
	case <-time.After(exitTimeout):
		n.nodes.report("%s hadn't ended %v after the signal", n.name, exitTimeout)
		_ = command.Process.Signal(os.Kill)
		<-exited
	}
	return command.ProcessState.ExitCode()
}
