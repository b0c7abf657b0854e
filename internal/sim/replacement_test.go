package sim

import (
	"cmp"
	"flag"
	"fmt"
	"slices"
	"testing"

	"sparnotch/internal/checker"
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/process"
	"sparnotch/internal/raft"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
	"sparnotch/internal/timing"
)

var memberSeeds = flag.Int("member_seeds", 0, "play each case of a repair with so many seeds on each size; 0: one on one size")

// catchUp is the time within which the next loss must be tolerated, as in the deployments.
const catchUp = 4 * eventloop.Second

// sampleInterval is how often the groups' margins are looked at.
const sampleInterval = 50 * eventloop.Millisecond

// storageFleet is a fleet of storage nodes that tolerate some losses, with gateways and agent
// nodes.
type storageFleet struct {
	*Fleet
	losses          int                       // of machines that it tolerates
	tolerance       membership.FaultTolerance // zones and regions besides
	intolerantAt    eventloop.Micros          // when a group last couldn't tolerate the losses
	why             string                    // that was
	longestHandover eventloop.Micros          // the longest that draining machines had something to hand over
}

func newStorageFleet(seed uint64, zones []string, losses int, sync eventloop.Micros, hasLoad bool) *storageFleet {
	f := &Fleet{Simulation: NewSimulation(seed, ReliableNetwork, sync), Spec: SmallFleet}
	c := &storageFleet{Fleet: f, losses: losses}
	for k, zone := range zones {
		c.addStorageNode(fmt.Sprintf("store%d", k+1), zone, true)
	}
	for k := range 2 {
		c.configure(f.AddHost(fmt.Sprintf("front%d", k+1), zones[k%len(zones)], schema.Role_ROLE_SERVER, false), false)
	}
	for k := range 4 {
		h := f.AddHost(fmt.Sprintf("side%d", k+1), zones[k%len(zones)], schema.Role_ROLE_CONTROLLER, false)
		c.configure(h, false)
		f.agentNodes = append(f.agentNodes, h)
	}
	startWithin(f.Simulation, f.Rng.Int64N)
	f.After(500*eventloop.Millisecond, func() { f.PutConfiguration("operator", f.ConfigurationRows(operatorUrgency)) })
	f.LoadStart = f.Now + 4*eventloop.Second
	if hasLoad {
		f.After(eventloop.Second, func() {
			for k := range 4 {
				f.Workers = append(f.Workers, f.AddPollingWorker(fmt.Sprintf("w%d", k), "r", zones[k%len(zones)], 8000, 16000))
			}
		})
		f.atLoad(0, func() {
			for _, kind := range f.Spec.JobKinds {
				f.GenerateLoad(kind, f.LoadStart+60*eventloop.Second)
			}
		})
	}
	return c
}

// configure gives a machine the settings of its deployment; one of the first storage nodes
// may bootstrap the cluster at its first start.
func (c *storageFleet) configure(h *Host, isFirst bool) {
	h.Customize = func(config *process.Config, _ []process.ComponentSlot) []process.ComponentSlot {
		config.Bootstrap, config.MachineFailures = isFirst && h.run == 1, uint32(c.losses)
		config.ZoneFailures, config.RegionFailures, config.RegionByZone = uint32(c.tolerance.Zones), uint32(c.tolerance.Regions), c.tolerance.RegionByZone
		if h.Role == schema.Role_ROLE_CONTROLLER {
			return process.AgentNodeComponents(config)
		}
		return process.GatewayNodeComponents(config)
	}
}

func (c *storageFleet) addStorageNode(name, zone string, isFirst bool) *Host {
	h := c.AddHost(name, zone, schema.Role_ROLE_SERVER, true)
	c.configure(h, isFirst)
	return h
}

// successor starts an empty machine in the place of another, at another address.
func (c *storageFleet) successor(old *Host) *Host {
	h := c.addStorageNode(old.Name+"'", old.Zone, false)
	for _, other := range c.Hosts {
		if other.IsUp && len(h.Seeds) < seedCount {
			h.Seeds = append(h.Seeds, other.Address)
		}
	}
	h.Start()
	return h
}

// hostedReplica is one replica of a group and its host.
type hostedReplica struct {
	host *Host
	*replica.GroupStateView
}

// hostedReplicas lists the replicas of every storage node that isn't down or frozen, by
// group.
func (c *storageFleet) hostedReplicas() map[string][]hostedReplica {
	groups := map[string][]hostedReplica{}
	for _, h := range c.StorageNodes() {
		if view := h.StateView(); view != nil && !h.isFrozen {
			for _, group := range view.Groups {
				groups[group.Group] = append(groups[group.Group], hostedReplica{h, group})
			}
		}
	}
	return groups
}

// leaderOf is the leader of the latest term: one that was partitioned or frozen may not know
// yet that it was superseded.
func leaderOf(list []hostedReplica) *hostedReplica {
	var leader *hostedReplica
	for k := range list {
		if list[k].Role == "leader" && (leader == nil || list[k].Term > leader.Term) {
			leader = &list[k]
		}
	}
	return leader
}

// voters are the hosts that vote on the cluster state, its leader first.
func (c *storageFleet) voters() []*Host {
	list := c.hostedReplicas()[clusterstate.GroupName]
	leader := leaderOf(list)
	if leader == nil {
		return nil
	}
	voters := []*Host{leader.host}
	for _, r := range list {
		if r.host != leader.host && slices.Contains(leader.Voters, r.host.ID) {
			voters = append(voters, r.host)
		}
	}
	return voters
}

// margin is how many more voters every group can lose, and the group that limits it; -1
// where one has no leader.
func (c *storageFleet) margin() (int, string) {
	smallest, why := len(c.Hosts), ""
	for group, list := range c.hostedReplicas() {
		leader := leaderOf(list)
		if leader == nil {
			return -1, group + " has no leader"
		}
		live := 0
		for _, r := range list {
			// What is under way in one sync is no lag.
			hasCaughtUp := r.StableIndex+raft.MaxLearnerLag >= leader.Commit
			if slices.Contains(leader.Voters, r.host.ID) && !r.host.isDraining && hasCaughtUp {
				live++
			}
		}
		if margin := live - (len(leader.Voters)/2 + 1); margin < smallest {
			smallest, why = margin, fmt.Sprint(group, " has ", live, " live of ", leader.Voters)
		}
	}
	return smallest, why
}

// runSampling lets time pass and notes when the losses can't be tolerated.
func (c *storageFleet) runSampling(duration eventloop.Micros) {
	for end := c.Now + duration; c.Now < end; {
		c.Run(min(end, c.Now+sampleInterval))
		if margin, why := c.margin(); margin < c.losses {
			c.intolerantAt, c.why = c.Now, why
		}
	}
}

// drainPeriod is how long a machine has to drain.
const drainPeriod = 5 * eventloop.Second

// drain drains machines, which then are gone with their disks.
func (c *storageFleet) drain(hosts ...*Host) {
	began := c.Now
	for _, h := range hosts {
		h.Drain(drainPeriod)
	}
	for _, h := range hosts {
		for h.IsUp {
			c.runSampling(sampleInterval)
			if view := h.StateView(); view != nil && view.HasHandoverPending {
				c.longestHandover = max(c.longestHandover, c.Now-began)
			}
		}
		h.Wipe()
	}
}

// timeUntilServed is how long it takes until a configuration is accepted; false: longer than
// a limit.
func (c *storageFleet) timeUntilServed(limit eventloop.Micros) (eventloop.Micros, bool) {
	began := c.Now
	c.PutConfiguration("operator", c.ConfigurationRows(int(61+c.Now/eventloop.Second%30)))
	for c.Now < began+limit {
		c.Run(c.Now + 20*eventloop.Millisecond)
		for k := len(c.History) - 1; k >= 0 && c.History[k].At > began; k-- {
			if e := c.History[k]; e.Kind == checker.ConfigurationReply && e.Code == 200 && e.SentAt >= began {
				return c.Now - began, true
			}
		}
	}
	return c.Now - began, false
}

// replacementCase is one way to lose machines and have them replaced.
type replacementCase struct {
	name string
	// lose loses a machine and gives the moment from which the catch-up counts: the start of
	// the successor, or the machine's return.
	lose func(c *storageFleet, victim *Host) eventloop.Micros
	// extraTime is what a second repair, after the first, takes besides.
	extraTime eventloop.Micros
}

func wipedFor(downtime eventloop.Micros) func(c *storageFleet, victim *Host) eventloop.Micros {
	return func(c *storageFleet, victim *Host) eventloop.Micros {
		victim.Wipe()
		c.runSampling(downtime)
		victim.Start()
		return c.Now
	}
}

func replacedAfter(delay eventloop.Micros) func(c *storageFleet, victim *Host) eventloop.Micros {
	return func(c *storageFleet, victim *Host) eventloop.Micros {
		victim.Wipe()
		c.runSampling(delay)
		c.successor(victim)
		return c.Now
	}
}

var replacementCases = []replacementCase{
	{name: "wiped, back at once", lose: wipedFor(300 * eventloop.Millisecond)},
	{name: "wiped, back after 1.2 s", lose: wipedFor(1200 * eventloop.Millisecond)},
	{name: "wiped, back after 3 s", lose: wipedFor(3 * eventloop.Second)},
	{name: "successor at the loss", lose: replacedAfter(0)},
	{name: "successor 1 s after the loss", lose: replacedAfter(eventloop.Second)},
	{name: "successor 1 s before the SIGTERM", lose: func(c *storageFleet, victim *Host) eventloop.Micros {
		c.successor(victim)
		began := c.Now
		c.runSampling(eventloop.Second)
		c.drain(victim)
		return began
	}},
	{name: "SIGTERM, successor 1 s after the end", lose: func(c *storageFleet, victim *Host) eventloop.Micros {
		c.drain(victim)
		c.runSampling(eventloop.Second)
		c.successor(victim)
		return c.Now
	}},
	{name: "two SIGTERM at once, successors 1 s before", lose: func(c *storageFleet, victim *Host) eventloop.Micros {
		began, other := c.Now, c.voters()[1]
		if other == victim {
			other = c.voters()[0]
		}
		c.successor(victim)
		c.successor(other)
		c.runSampling(eventloop.Second)
		c.drain(victim, other)
		return began
	}, extraTime: timing.RepairDuration},
	{name: "restarted", lose: func(c *storageFleet, victim *Host) eventloop.Micros {
		victim.Kill()
		c.runSampling(500 * eventloop.Millisecond)
		victim.Start()
		return c.Now
	}},
	{name: "frozen for 5 s", lose: func(c *storageFleet, victim *Host) eventloop.Micros {
		victim.Freeze(5 * eventloop.Second)
		c.runSampling(5 * eventloop.Second)
		return c.Now
	}},
}

// replacementSetup is the fleet that a case is played on, and what is lost beside the machine.
type replacementSetup struct {
	seed            uint64
	storageNodes    int
	losses          int // that the fleet tolerates
	sync            eventloop.Micros
	hasLoad         bool
	losesLeader     bool // the machine is the leader; otherwise a follower
	losesController bool
	bounds          *schema.Bounds // nil: the defaults
}

// runReplacementCase plays one case twice in a row. It gives how long it took until the
// losses were tolerated again. The next loss, at the first moment at which that must be so,
// may not keep the fleet from serving for long.
func runReplacementCase(t *testing.T, test replacementCase, setup replacementSetup) eventloop.Micros {
	zones := []string{"z1", "z2", "z3", "z1", "z2", "z3", "z1"}[:setup.storageNodes]
	c := newStorageFleet(setup.seed, zones, setup.losses, setup.sync, setup.hasLoad)
	c.bounds = setup.bounds
	catchUp := cmp.Or(eventloop.Micros(setup.bounds.GetCatchUpUs()), catchUp) + test.extraTime
	c.Run(c.LoadStart + 8*eventloop.Second)
	c.runSampling(eventloop.Second)
	if c.intolerantAt == c.Now {
		t.Fatalf("seed %d: the fleet didn't come up: %s", setup.seed, c.why)
	}
	worst := eventloop.Micros(0)
	for turn := range 2 {
		voters := c.voters()
		victim := voters[len(voters)-1]
		if setup.losesLeader {
			victim = voters[0]
		}
		c.intolerantAt = 0
		if setup.losesController {
			c.controllerHost().Kill()
		}
		from := test.lose(c, victim)
		c.runSampling(max(0, from+catchUp-c.Now))
		took := max(0, c.intolerantAt-from)
		worst = max(worst, took)
		if took > catchUp-2*sampleInterval {
			t.Errorf("%s, turn %d, %+v: %s", test.name, turn, setup, c.why)
		}
		if c.longestHandover >= drainPeriod-sampleInterval {
			t.Errorf("%s, seed %d, turn %d: handing over took %.2f s", test.name, setup.seed, turn, float64(c.longestHandover)/1e6)
		}
		c.loseVoters(t, setup.losses, fmt.Sprintf("%s, seed %d, turn %d", test.name, setup.seed, turn))
		c.runSampling(9 * eventloop.Second)
	}
	return worst
}

// loseVoters loses as many voters as are tolerated, checks that the others serve, and starts
// every machine again that is down.
func (c *storageFleet) loseVoters(t *testing.T, count int, what string) {
	lost := c.voters()[:count]
	for _, h := range lost {
		h.Kill()
	}
	if took, served := c.timeUntilServed(6 * eventloop.Second); !served {
		t.Errorf("%s: not served for %.2f s after the next loss", what, float64(took)/1e6)
	}
	for _, h := range lost {
		h.Start()
	}
	for _, h := range c.agentNodes {
		if !h.IsUp {
			h.Start()
		}
	}
}

// TestToleranceReturns: whatever way a machine is lost and comes back or is replaced, the
// next loss is tolerated a catch-up later. One run a case by default; -member_seeds N plays
// N of each case and size (24 make up every combination of sync, load and who is lost), and
// -v shows the worst of them.
func TestToleranceReturns(t *testing.T) {
	sizes := []struct{ storageNodes, losses int }{{3, 1}, {5, 2}, {7, 2}}
	syncs := []eventloop.Micros{fastSync, slowSync, 12 * eventloop.Millisecond}
	for k, test := range replacementCases {
		for n, size := range sizes {
			first, last := 1, *memberSeeds
			if last == 0 {
				if k%len(sizes) != n {
					continue
				}
				first, last = k+1, k+1
			}
			t.Run(fmt.Sprintf("%s/%d of %d", test.name, size.losses, size.storageNodes), func(t *testing.T) {
				t.Parallel()
				worst := eventloop.Micros(0)
				for seed := first; seed <= last; seed++ {
					worst = max(worst, runReplacementCase(t, test, replacementSetup{
						seed: uint64(seed), storageNodes: size.storageNodes, losses: size.losses, sync: syncs[seed%3],
						hasLoad: seed%2 == 0, losesLeader: seed%4 < 2, losesController: seed%8 < 4,
					}))
				}
				t.Logf("worst %.2f s", float64(worst)/1e6)
			})
		}
	}
}

// TestToleranceReturnsWithin: where the deployment's catch-up is shorter, repairs are sooner.
func TestToleranceReturnsWithin(t *testing.T) {
	bounds := &schema.Bounds{ContactTimeoutUs: int64(2 * eventloop.Second), CatchUpUs: int64(3 * eventloop.Second)}
	for _, test := range replacementCases {
		if test.name != "successor at the loss" && test.name != "successor 1 s after the loss" {
			continue
		}
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(max(1, *memberSeeds)) {
				took := runReplacementCase(t, test, replacementSetup{
					seed: seed + 1, storageNodes: 3, losses: 1, sync: slowSync, losesLeader: seed%2 == 0, bounds: bounds,
				})
				t.Logf("%.2f s", float64(took)/1e6)
			}
		})
	}
}
