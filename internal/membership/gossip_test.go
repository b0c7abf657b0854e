package membership

import (
	"encoding/gob"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// conveyInClusters runs a test in several running clusters, each with another random seed.
func conveyInClusters(t *testing.T, name string, test func(n *network)) {
	Convey(name, t, func() {
		for seed := range uint64(10) {
			test(newRunningCluster(seed))
		}
	})
}

// controllerCandidates returns the candidates for the controller lease according to a host's view.
func (h *host) controllerCandidates() []string {
	zones := map[string]string{}
	for id, status := range h.view.Members {
		if status.Member.Role == schema.Role_ROLE_CONTROLLER && h.view.IsAlive(id, h.net.now, livenessTimeout) {
			zones[id] = status.Member.Zone
		}
	}
	return SpreadOverZones(zones, MaxControllerCandidates)
}

// agreedCandidates returns the candidates for the controller lease according to a storage node's
// view. It checks that each agent node's own view agrees on whether that node is a candidate.
func (n *network) agreedCandidates() []string {
	want := n.hosts[1].controllerCandidates()
	So(len(want), ShouldEqual, MaxControllerCandidates)
	for _, observer := range n.hosts {
		if observer.incarnation > 0 && observer.config.IsAgentNode {
			got := observer.controllerCandidates()
			So(slices.Contains(got, observer.id), ShouldEqual, slices.Contains(want, observer.id))
		}
	}
	return want
}

func TestGossip(t *testing.T) {
	// Storage nodes hear of all processes; other processes don't hear of every agent node.
	isExpected := func(observer, observed *host) bool { return observer.hasDisk || !observed.config.IsAgentNode }
	isStorageNode := func(_, observed *host) bool { return observed.hasDisk }
	conveyInClusters(t, "In a cluster of eighteen all processes hear of the storage and gateway nodes regularly, and the storage nodes of all processes", func(n *network) {
		So(n.isBootstrapped(), ShouldBeTrue)
		So(n.maxSilence(20*eventloop.Second, isStorageNode), ShouldBeLessThan, 1000*eventloop.Millisecond)
		So(n.maxSilence(20*eventloop.Second, isExpected), ShouldBeLessThan, 1500*eventloop.Millisecond)
	})
	conveyInClusters(t, "also if one message in ten is lost", func(n *network) {
		n.loss, n.lossEnd = 0.1, n.now+eventloop.Second*60
		byAgentNode := func(observer, observed *host) bool { return observer.config.IsAgentNode && observed.hasDisk }
		So(n.maxSilence(20*eventloop.Second, byAgentNode), ShouldBeLessThan, 1500*eventloop.Millisecond)
	})
	conveyInClusters(t, "also if an agent node is partitioned from a storage node", func(n *network) {
		storageNode, agentNode := n.hosts[1], n.hosts[12]
		n.isPartitioned = func(from, to *host) bool {
			return from == storageNode && to == agentNode || from == agentNode && to == storageNode
		}
		So(n.maxSilence(20*eventloop.Second, isStorageNode), ShouldBeLessThan, 1500*eventloop.Millisecond)
	})
	conveyInClusters(t, "A storage node that is partitioned from the other storage nodes is heard of indirectly", func(n *network) {
		storageNode := n.hosts[4]
		n.isPartitioned = func(from, to *host) bool {
			return from == storageNode && to.hasDisk || from.hasDisk && to == storageNode
		}
		n.runTo(n.now + 5*eventloop.Second)
		So(n.maxSilence(20*eventloop.Second, func(observer, observed *host) bool { return observed == storageNode && observer.config.IsAgentNode }), ShouldBeLessThan, 2500*eventloop.Millisecond)
	})
	conveyInClusters(t, "A gateway node that reaches no storage node is heard of indirectly", func(n *network) {
		gateway := n.hosts[8]
		n.isPartitioned = func(from, to *host) bool { return from == gateway && to.hasDisk || from.hasDisk && to == gateway }
		n.runTo(n.now + 5*eventloop.Second)
		So(n.maxSilence(20*eventloop.Second, func(observer, observed *host) bool { return observed == gateway && observer.hasDisk }), ShouldBeLessThan, 4*eventloop.Second)
	})
}

func TestGossipOfChanges(t *testing.T) {
	conveyInClusters(t, "A storage node that crashed soon isn't heard of any more, and the others are", func(n *network) {
		storageNode := n.hosts[5]
		storageNode.stop()
		crashedAt := n.now
		n.runTo(n.now + 3*eventloop.Second)
		for _, observer := range n.hosts {
			if observer.incarnation > 0 {
				So(observer.membership.members[storageNode.id].LastHeard-crashedAt, ShouldBeLessThan, 600*eventloop.Millisecond)
			}
		}
		So(n.maxSilence(20*eventloop.Second, func(_, observed *host) bool { return observed.hasDisk && observed != storageNode }), ShouldBeLessThan, 1500*eventloop.Millisecond)
	})
	conveyInClusters(t, "A process that starts is soon known everywhere, and so is one that drains", func(n *network) {
		gateway := n.hosts[8]
		gateway.stop()
		gateway.start()
		n.runTo(n.now + 2500*eventloop.Millisecond)
		for _, observer := range n.hosts {
			if observer != gateway {
				So(observer.view.Members, ShouldContainKey, gateway.id)
				So(observer.addresses.Address(gateway.id), ShouldEqual, gateway.address)
			}
		}
		gateway.step(eventloop.Message{Body: Draining{}})
		n.runTo(n.now + 600*eventloop.Millisecond)
		for _, observer := range n.hosts {
			if observer != gateway && observer.config.IsAgentNode {
				So(observer.membership.members[gateway.id].Member.Draining, ShouldBeTrue)
			}
		}
	})
}

func TestControllerCandidates(t *testing.T) {
	conveyInClusters(t, "All agree on the candidates for controller, and one that crashes is soon replaced", func(n *network) {
		first := n.agreedCandidates()
		for _, h := range n.hosts {
			if h.id == first[0] {
				h.stop()
			}
		}
		n.runTo(n.now + 5*eventloop.Second)
		So(n.agreedCandidates(), ShouldNotContain, first[0])
	})
}

func TestGossipTraffic(t *testing.T) {
	Convey("In a cluster of 80 agent and gateway nodes are sent few members", t, func() {
		n := newNetwork(2)
		n.maxDelay = 2 * eventloop.Millisecond
		n.addHosts("FsFSSSSSffffffff"+strings.Repeat("h", 64), true, 1)
		n.startAll(200 * eventloop.Millisecond)
		n.runTo(12 * eventloop.Second)
		atAgent, atGateway := 0, 0
		n.onGossip = func(_, to *host, gossip *schema.Gossip) {
			if to.config.IsAgentNode {
				atAgent = max(atAgent, len(gossip.Members))
			}
			if !to.config.IsAgentNode && !to.hasDisk {
				atGateway = max(atGateway, len(gossip.Members))
			}
		}
		n.encoders = map[string]*gob.Encoder{}
		n.runTo(n.now + 5*eventloop.Second)
		n.messages, n.bytes = 0, 0
		n.runTo(n.now + 10*eventloop.Second)
		t.Logf("80 processes: %d messages/s, %d bytes/s; at most %d members in a message to an agent node, %d to a gateway node", n.messages/10, n.bytes/10, atAgent, atGateway)
		So(atAgent, ShouldBeLessThanOrEqualTo, 16+MaxControllerCandidates)
		So(atGateway, ShouldBeLessThanOrEqualTo, 16+MaxControllerCandidates)
	})
	Convey("The traffic is bounded", t, func() {
		n := newRunningCluster(1)
		n.messages, n.bytes, n.encoders = 0, 0, map[string]*gob.Encoder{}
		n.runTo(n.now + 5*eventloop.Second) // gob sends the type descriptions once over each link
		n.messages, n.bytes = 0, 0
		n.runTo(n.now + 20*eventloop.Second)
		t.Logf("18 processes: %d messages/s, %d bytes/s", n.messages/20, n.bytes/20)
		So(n.messages/20, ShouldBeLessThan, 250)
		So(n.bytes/20, ShouldBeLessThan, 100_000)
	})
}

func TestPausedProcess(t *testing.T) {
	Convey("After a pause no member looks unresponsive, and no vote is based on earlier reports", t, func() {
		n := newNetwork(3)
		n.addHosts("sss", false, 0)
		n.startAll(100 * eventloop.Millisecond)
		n.runTo(eventloop.Second + 400*eventloop.Millisecond)
		h := n.hosts[0]
		others := slices.Sorted(maps.Keys(h.membership.members))
		So(len(others), ShouldEqual, 2)
		h.membership.Step(n.now+30*eventloop.Second, eventloop.Message{Body: eventloop.Tick{}}, h)
		for _, id := range others {
			So(h.view.IsAlive(id, n.now+30*eventloop.Second, eventloop.Second), ShouldBeTrue)
		}
		So(h.membership.reports, ShouldBeEmpty)
	})
}

func TestFullRestart(t *testing.T) {
	Convey("After a full restart agent nodes whose seeds have no disk soon hear of a storage node, in whatever order all start", t, func() {
		for seed := range uint64(60) {
			n := newNetwork(seed)
			n.addHosts("FFFSSShhhhhh", true, 1)
			for _, k := range []int{3, 4, 5} {
				n.hosts[k].identity = &schema.StoreIdentity{
					Id: fmt.Sprintf("old%d", k), Joined: true, BootstrapVote: []string{"old3", "old4", "old5"}, KnownAddresses: []string{"10.0.0.03:1", "10.0.0.04:1", "10.0.0.05:1"},
				}
			}
			// The storage nodes discover each other through their known addresses; the seeds start
			// last.
			for _, h := range n.hosts[:3] {
				h.startDelay = 300*eventloop.Millisecond + n.randomDelay(300*eventloop.Millisecond)
			}
			n.startAll(100 * eventloop.Millisecond)
			n.runTo(n.now + 2*eventloop.Second)
			for _, h := range n.hosts {
				if h.config.IsAgentNode {
					So(h.membership.liveStorageNodes(n.now), ShouldNotBeEmpty)
				}
			}
		}
	})
}
