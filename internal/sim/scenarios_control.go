package sim

import (
	"fmt"
	"strings"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// controlScenarios lists scenarios in which agent nodes (including the controller's) or
// gateways are lost, or clocks jump.
var controlScenarios = []Scenario{
	{Name: "side machines swapped out", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 30 * eventloop.Second, Inject: func(f *Fleet) {
		for k := range 3 {
			f.atLoad(eventloop.Micros(3+3*k)*eventloop.Second, func() { f.swapOut(f.agentNodes[k]) })
		}
		f.killLeaderAt(18*eventloop.Second, 3*eventloop.Second)
	}},
	{Name: "controller frozen and superseded", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 45 * eventloop.Second, Inject: func(f *Fleet) {
		f.atLoad(3*eventloop.Second, func() {
			controller := f.controllerHost()
			f.RecordFault("the controller %s frozen", controller.Name)
			controller.Freeze(12 * eventloop.Second)
		})
		// The leader is killed while no controller is allowed to act, and again when the old
		// controller resumes beside its successor.
		f.killLeaderAt(3500*eventloop.Millisecond, 5*eventloop.Second)
		f.killLeaderAt(15100*eventloop.Millisecond, 5*eventloop.Second)
	}},
	{Name: "controller isolated", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 45 * eventloop.Second, Inject: func(f *Fleet) {
		f.atLoad(3*eventloop.Second, func() { f.isolate(f.controllerHost(), 15*eventloop.Second) })
		f.killLeaderAt(8*eventloop.Second, 5*eventloop.Second)
	}},
	// While no controller runs, the data plane continues with the cluster state that it has.
	{Name: everyAgentNodeGone, Network: ReliableNetwork, SyncDelay: fastSync, Duration: 30 * eventloop.Second, Inject: func(f *Fleet) {
		f.atLoad(3*eventloop.Second, func() { f.killAgentNodes(15 * eventloop.Second) })
	}},
	{
		Name: "a front dies with a gap in its numbers", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 60 * eventloop.Second,
		Inject: gapInSession, Verify: verifyGapIsForgotten,
	},
	{Name: "clocks jump", Network: ReliableNetwork, SyncDelay: slowSync, Duration: 25 * eventloop.Second, Inject: func(f *Fleet) {
		for k := range eventloop.Micros(6) {
			f.atLoad((2+3*k)*eventloop.Second, func() { f.setClock(f.Hosts[f.Rng.IntN(len(f.Hosts))]) })
		}
		f.killLeaderAt(9*eventloop.Second, 2*eventloop.Second)
	}},
}

// swapOut kills an agent node and starts an empty machine in its place 500 ms later.
func (f *Fleet) swapOut(old *Host) {
	f.RecordFault("%s swapped out", old.Name)
	old.Kill()
	successor := f.AddHost(old.Name+"'", old.Zone, old.Role, false)
	f.After(500*eventloop.Millisecond, successor.Start)
}

func (f *Fleet) killAgentNodes(downtime eventloop.Micros) {
	f.RecordFault("every side machine killed")
	for _, h := range f.agentNodes {
		h.Kill()
		f.After(downtime, h.Start)
	}
}

// gapInSession leaves a gap in a gateway's session: the leader receives the submission with
// number 2, and the gateway is killed before it sends the one with number 1.
func gapInSession(f *Fleet) {
	f.atLoad(0, func() {
		f.PutConfiguration("operator", append(f.ConfigurationRows(operatorUrgency), &schema.ConfigurationRow{Kind: "fleet", Key: "session_timeout_s", Value: "10"}))
	})
	f.atLoad(3*eventloop.Second, func() {
		node := f.disklessGateways[len(f.disklessGateways)-1]
		(&effects{node}).Send(f.Leader().ID, &schema.SubmitRequest{Queue: "quick", Enqueues: []*schema.Enqueue{{
			Session: &schema.Session{Gateway: node.ID, Incarnation: 1, Client: "stuck"}, Number: 2, LowestUnconfirmed: 1,
			Name: "stuck", Digest: []byte("x"), Job: DefaultJobKinds()[0].Job,
		}}})
		f.After(100*eventloop.Millisecond, func() {
			f.RecordFault("%s killed", node.Name)
			node.Kill()
		})
	})
}

// verifyGapIsForgotten checks that the submission after the gap doesn't keep log entries from
// being compacted, and that its job hasn't run.
func verifyGapIsForgotten(f *Fleet) []string {
	var problems []string
	for _, h := range f.StorageNodes() {
		for _, group := range h.StateView().Groups {
			if entries := group.LastIndex - group.SnapshotIndex; strings.HasPrefix(group.Group, "quick#") && entries > 600 {
				problems = append(problems, fmt.Sprintf("%s holds %d log entries on %s", group.Group, entries, h.Name))
			}
		}
	}
	for _, e := range f.History {
		if e.Name == "stuck" {
			problems = append(problems, "a job that was never confirmed has run")
		}
	}
	return problems
}
