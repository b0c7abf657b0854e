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

// answerTimeout limits the time of a node's answer to a request for its liveness.
const answerTimeout = 500 * time.Millisecond

// soakSignals contains the signals of the actions that send one.
var soakSignals = map[soakAction]syscall.Signal{
	actionTerminate: syscall.SIGTERM, actionKill: syscall.SIGKILL, actionFreeze: syscall.SIGSTOP,
	actionThaw: syscall.SIGCONT, actionHangUp: syscall.SIGHUP, actionFlushLog: syscall.SIGUSR1,
}

// soakNode is a node of a soak. Overlapping series perform actions on it at the same time.
type soakNode struct {
	*daemon
	nodes    *soakNodes
	starting sync.Mutex // held while a series waits for the exit and starts the process again

	// The fields below are guarded by soakNodes.mu.
	hasAnswered bool // has answered a request since its start; before that, any signal may end it
	isEnding    bool // was sent a signal that ends it
	mayFail     bool // its exit code isn't checked, because it was killed or signalled too early
	awayReasons int  // number of current reasons for which it can't serve
}

// soakNodes tracks which nodes of a soak are away, and records in the history when a quorum of
// the storage nodes is lost and restored.
type soakNodes struct {
	fleet       *fleet
	list        []*soakNode
	mu          sync.Mutex // guards the fields below, and those of the nodes
	storageAway int        // number of storage nodes that are away
	isQuorumOut bool       // the history has the loss of the quorum, but not yet its return
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

// countAway changes the number of reasons for which a node can't serve by 1 or -1, and records
// when the node becomes unavailable or available. The caller holds the lock.
func (n *soakNode) countAway(change int) {
	wasAway := n.awayReasons > 0
	n.awayReasons += change
	isAway := n.awayReasons > 0
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

// run performs the steps of a series one after another.
func (s *soakNodes) run(ctx context.Context, series soakSeries) {
	for _, step := range series.steps {
		s.list[step.node].do(step.action)
		sleep(ctx, step.pause)
	}
}

// do performs one action on the node. It skips signals that end nothing while the process has
// no handlers for them yet.
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

// prepareEnd records, before a signal is sent, that it ends the process.
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

// prepareFreeze records, before a signal is sent, that it stops or resumes the process.
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

// handlesSignals reports whether the process has installed its signal handlers. It has done so
// if it has answered a request since its start.
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
	// Another series may have ended the process during the request.
	n.hasAnswered = err == nil && code == http.StatusOK && !n.isEnding
	return n.hasAnswered
}

// checkRunning reports a violation if the process has exited without a signal that ends it.
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
		n.nodes.report("%s exited without a signal; see its log", n.name)
	default:
	}
}

// startAgain waits until the process has exited and starts it again. It does nothing unless a
// signal that ends the process was sent. It reports a violation if the process fails to shut
// down cleanly or to start.
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
		n.nodes.report("%s could not be started: %v", n.name, err)
	}
	n.nodes.mu.Lock()
	defer n.nodes.mu.Unlock()
	n.isEnding, n.mayFail, n.hasAnswered = false, false, false
	n.countAway(-1)
}

// awaitExit waits until the process has exited and returns its exit code. After exitTimeout it
// reports a violation and kills the process.
func (n *soakNode) awaitExit() int {
	command, exited := n.run()
	select {
	case <-exited:
	case <-time.After(exitTimeout):
		n.nodes.report("%s had not exited %v after the signal", n.name, exitTimeout)
		_ = command.Process.Signal(os.Kill)
		<-exited
	}
	return command.ProcessState.ExitCode()
}
