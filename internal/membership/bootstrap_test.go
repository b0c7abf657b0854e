package membership

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// never is the deadline in a bootstrapCase whose cluster must not be bootstrapped.
const never eventloop.Micros = -1

// bootstrapCase describes a cluster that starts for the first time and the expected outcome.
type bootstrapCase struct {
	name            string
	shape           string // see addHosts
	bootstrap       bool
	machineFailures uint32
	loss            float64          // fraction of messages lost in the first 4 s
	maxDelay        eventloop.Micros // maximum delay of a message
	startWithin     eventloop.Micros // all hosts start within this time
	lastStartDelay  eventloop.Micros // additional delay before the last storage node starts
	restarts        int              // number of restarts of random hosts in the first 3 s
	voters          int              // expected number of voters; 0 if it depends on the random seed
	deadline        eventloop.Micros // maximum time from the start to the bootstrap, or never
}

// run starts the cluster and simulates it until some time after the bootstrap.
func (c *bootstrapCase) run(seed uint64) *network {
	n := newNetwork(seed)
	n.loss, n.lossEnd, n.maxDelay = c.loss, 5*eventloop.Second, c.maxDelay
	n.addHosts(c.shape, c.bootstrap, c.machineFailures)
	var storageNodes []*host
	for _, h := range n.hosts {
		if h.hasDisk {
			storageNodes = append(storageNodes, h)
		}
	}
	storageNodes[len(storageNodes)-1].startDelay = c.lastStartDelay
	n.startAll(c.startWithin)
	for range c.restarts {
		n.restartAnyHost()
	}
	// Messages that are still in flight after the bootstrap could still cause another vote,
	// so the simulation continues for a while.
	for end := eventloop.Second + max(c.deadline, 8*eventloop.Second); n.now < end && (n.bootstrappedAt == 0 || !n.isBootstrapped() || n.now < n.bootstrappedAt+3*eventloop.Second); {
		n.runTo(n.now + 250*eventloop.Millisecond)
	}
	return n
}

// violation describes what is wrong after a run, or returns an empty string if nothing is.
func (c *bootstrapCase) violation(n *network) string {
	if c.deadline == never {
		if len(n.votes) != 0 {
			return fmt.Sprintf("votes %v", n.votes)
		}
		return ""
	}
	succeeded := len(n.votes) == 1 && n.isBootstrapped() && (c.voters == 0 || n.voterCount() == c.voters)
	if !succeeded || n.bootstrappedAt-eventloop.Second > c.deadline {
		return fmt.Sprintf("votes %v, bootstrapped %v after %d us", n.votes, n.bootstrapped, n.bootstrappedAt-eventloop.Second)
	}
	return ""
}

// restartAnyHost schedules a restart of a random host: the host stops within 3 s and starts again
// within 500 ms.
func (n *network) restartAnyHost() {
	h := n.hosts[n.rng.IntN(len(n.hosts))]
	n.after(n.randomDelay(3*eventloop.Second), func() {
		if h.incarnation == 0 {
			return
		}
		h.stop()
		n.after(n.randomDelay(500*eventloop.Millisecond), func() {
			if h.incarnation == 0 {
				h.start()
			}
		})
	})
}

func TestBootstrap(t *testing.T) {
	const rounds = 40
	for _, test := range []bootstrapCase{
		{name: "three storage nodes, each other's seeds, implicit", shape: "sssfhh", maxDelay: 20 * eventloop.Millisecond, startWithin: 100 * eventloop.Millisecond, voters: 3, deadline: 2 * eventloop.Second},
		{name: "a spare storage node beside them", shape: "sssSfhh", maxDelay: 20 * eventloop.Millisecond, startWithin: 100 * eventloop.Millisecond, voters: 3, deadline: 2 * eventloop.Second},
		{name: "two seeds, implicit", shape: "ssfh", maxDelay: 20 * eventloop.Millisecond, startWithin: 100 * eventloop.Millisecond, voters: 2, deadline: 2 * eventloop.Second},
		{name: "one seed, implicit", shape: "sfh", maxDelay: 20 * eventloop.Millisecond, startWithin: 100 * eventloop.Millisecond, voters: 1, deadline: 2 * eventloop.Second},
		{name: "seeds without disks", shape: "FFFSSShhh", bootstrap: true, machineFailures: 1, maxDelay: 20 * eventloop.Millisecond, startWithin: 100 * eventloop.Millisecond, voters: 3, deadline: 2 * eventloop.Second},
		{name: "one seed with a disk, six storage nodes", shape: "FsFSSSSSfhhh", bootstrap: true, machineFailures: 1, maxDelay: 20 * eventloop.Millisecond, startWithin: 100 * eventloop.Millisecond, voters: 3, deadline: 2 * eventloop.Second},
		{name: "two tolerated failures, six storage nodes", shape: "sssSSShhh", bootstrap: true, machineFailures: 2, maxDelay: 20 * eventloop.Millisecond, startWithin: 100 * eventloop.Millisecond, voters: 5, deadline: 2 * eventloop.Second},
		{name: "fewer storage nodes than desired", shape: "FFsShh", bootstrap: true, machineFailures: 1, maxDelay: 20 * eventloop.Millisecond, startWithin: 100 * eventloop.Millisecond, voters: 2, deadline: 8 * eventloop.Second},
		{name: "messages lost", shape: "FsFSSSfhh", bootstrap: true, machineFailures: 1, loss: 0.4, maxDelay: 60 * eventloop.Millisecond, startWithin: eventloop.Second, voters: 3, deadline: 10 * eventloop.Second},
		{name: "messages delayed", shape: "FsFSSSfhh", bootstrap: true, machineFailures: 1, loss: 0.1, maxDelay: 900 * eventloop.Millisecond, startWithin: eventloop.Second, voters: 3, deadline: 20 * eventloop.Second},
		{name: "a delayed storage node that is needed", shape: "FFFSSSh", bootstrap: true, machineFailures: 1, loss: 0.1, maxDelay: 50 * eventloop.Millisecond, startWithin: 200 * eventloop.Millisecond, lastStartDelay: 3 * eventloop.Second, voters: 3, deadline: 12 * eventloop.Second},
		{name: "a delayed storage node that isn't", shape: "sFFSSSSh", bootstrap: true, machineFailures: 1, loss: 0.2, maxDelay: 50 * eventloop.Millisecond, startWithin: eventloop.Second, lastStartDelay: 1200 * eventloop.Millisecond, voters: 3, deadline: 12 * eventloop.Second},
		{name: "restarts", shape: "FsFSSSfhh", bootstrap: true, machineFailures: 1, loss: 0.2, maxDelay: 50 * eventloop.Millisecond, startWithin: eventloop.Second, restarts: 6, voters: 3, deadline: 14 * eventloop.Second},
		{name: "restarts, implicit", shape: "sssSfhh", loss: 0.2, maxDelay: 50 * eventloop.Millisecond, startWithin: eventloop.Second, restarts: 6, voters: 3, deadline: 14 * eventloop.Second},
		{name: "restarts, two tolerated failures, a delayed storage node", shape: "sFsSSSSh", bootstrap: true, machineFailures: 2, loss: 0.3, maxDelay: 300 * eventloop.Millisecond, startWithin: 2 * eventloop.Second, lastStartDelay: 2 * eventloop.Second, restarts: 8, deadline: 20 * eventloop.Second},
		{name: "empty storage nodes that aren't at their first start", shape: "sssSSh", machineFailures: 1, maxDelay: 20 * eventloop.Millisecond, startWithin: eventloop.Second, deadline: never},
		{name: "a gateway node at a seed's address, implicit", shape: "ssFSh", maxDelay: 20 * eventloop.Millisecond, startWithin: eventloop.Second, deadline: never},
	} {
		Convey(test.name, t, func() {
			var slowest eventloop.Micros
			for seed := range uint64(rounds) {
				n := test.run(seed)
				if violation := test.violation(n); violation != "" {
					So(fmt.Sprintf("seed %d: %s", seed, violation), ShouldEqual, "")
				}
				slowest = max(slowest, n.bootstrappedAt-eventloop.Second)
			}
			t.Logf("%s: bootstrapped after %d ms at the latest", test.name, slowest/eventloop.Millisecond)
		})
	}
}

func TestNoBootstrapBesideCluster(t *testing.T) {
	Convey("A storage node beside a cluster casts no vote, whatever its settings say", t, func() {
		for _, bootstrap := range []bool{false, true} {
			for seed := range uint64(30) {
				n := newNetwork(seed)
				n.loss, n.lossEnd = 0.3, 20*eventloop.Second
				n.addHosts("FsFSSSSfhh", true, 1)
				// Hosts 3 to 5 form the existing cluster. Host 1, a storage node at a seed's
				// address, comes back empty, and host 6 is new.
				for _, k := range []int{3, 4, 5} {
					n.hosts[k].identity = &schema.StoreIdentity{Id: fmt.Sprintf("old%d", k), Joined: true, BootstrapVote: []string{"old3", "old4", "old5"}}
				}
				for _, k := range []int{1, 6} {
					n.hosts[k].config.Bootstrap = bootstrap
				}
				n.startAll(2 * eventloop.Second)
				n.runTo(20 * eventloop.Second)
				So(len(n.bootstrapped), ShouldEqual, 0)
				for _, k := range []int{1, 6} {
					So(n.hosts[k].identity.Joined, ShouldBeFalse)
					So(n.hosts[k].identity.BootstrapVote, ShouldBeEmpty)
				}
			}
		}
	})
	Convey("It has joined once the cluster has added it", t, func() {
		n := newNetwork(1)
		n.addHosts("s", false, 1)
		n.startAll(0)
		n.runTo(2 * eventloop.Second)
		h := n.hosts[0]
		h.step(eventloop.Message{Body: IdentityPersisted{Identity: &schema.StoreIdentity{Id: h.id, Joined: true}}})
		So(h.membership.clusterExists, ShouldBeTrue)
	})
}
