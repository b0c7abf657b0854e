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

var memberSeeds = flag.Int("member_seeds", 0, "number of seeds to run each replacement case with on each fleet size; 0: one seed on one size")

// catchUp is the time after a lost machine's return, or the start of its successor, within which
// the fleet must tolerate the next loss. It is the same as in the deployments.
const catchUp = 4 * eventloop.Second

// sampleInterval is the interval at which the groups' margins are sampled.
const sampleInterval = 50 * eventloop.Millisecond

// storageFleet is a fleet with gateways and agent nodes, whose storage nodes tolerate a given
// number of losses.
type storageFleet struct {
	*Fleet
	losses            int                       // number of machine losses that it tolerates
	tolerance         membership.FaultTolerance // losses of zones and regions that it tolerates in addition
	intolerantAt      eventloop.Micros          // time of the last sample in which a group couldn't tolerate the losses
	intoleranceReason string                    // reason at that sample, with the group's name
	longestHandover   eventloop.Micros          // longest time from a drain's start during which a handover was pending
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

// configure sets the machine's configuration and components for its deployment. The storage nodes
// that the fleet begins with may bootstrap the cluster, at their first start only.
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

// successor starts an empty machine that takes the place of another machine, at a new address.
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

// hostedReplica is the view of one replica of a group, together with its host.
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

// leaderOf returns the leader with the latest term, or nil if there is none. A leader that was
// partitioned or frozen may not know yet that it was superseded.
func leaderOf(list []hostedReplica) *hostedReplica {
	var leader *hostedReplica
	for k := range list {
		if list[k].Role == "leader" && (leader == nil || list[k].Term > leader.Term) {
			leader = &list[k]
		}
	}
	return leader
}

// voters returns the hosts that are voters of the cluster state's group, the leader first, or nil
// if the group has no leader.
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

// margin returns how many more voters every group can lose, and a description of the group with
// the smallest margin. The margin is -1 if a group has no leader.
func (c *storageFleet) margin() (int, string) {
	smallest, limitingGroup := len(c.Hosts), ""
	for group, list := range c.hostedReplicas() {
		leader := leaderOf(list)
		if leader == nil {
			return -1, group + " has no leader"
		}
		live := 0
		for _, r := range list {
			// The entries of one sync in progress don't count as lag.
			hasCaughtUp := r.StableIndex+raft.MaxLearnerLag >= leader.Commit
			if slices.Contains(leader.Voters, r.host.ID) && !r.host.isDraining && hasCaughtUp {
				live++
			}
		}
		if margin := live - (len(leader.Voters)/2 + 1); margin < smallest {
			smallest, limitingGroup = margin, fmt.Sprint(group, " has ", live, " live voters of ", leader.Voters)
		}
	}
	return smallest, limitingGroup
}

// runSampling runs the fleet for the given duration, and records when a group can't tolerate the
// losses.
func (c *storageFleet) runSampling(duration eventloop.Micros) {
	for end := c.Now + duration; c.Now < end; {
		c.Run(min(end, c.Now+sampleInterval))
		if margin, limitingGroup := c.margin(); margin < c.losses {
			c.intolerantAt, c.intoleranceReason = c.Now, limitingGroup
		}
	}
}

// drainPeriod is how long a machine has to drain.
const drainPeriod = 5 * eventloop.Second

// drain drains machines, and wipes their disks when they are down.
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

// timeUntilServed sends a configuration and returns how long it takes until it is accepted, and
// whether that happened within the limit.
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

// replacementCase is one way in which machines are lost and come back or are replaced.
type replacementCase struct {
	name string
	// lose takes a machine down and returns the time from which the catch-up is measured: the
	// start of the successor, or the machine's return.
	lose func(c *storageFleet, victim *Host) eventloop.Micros
	// extraTime is added to the catch-up if a second repair follows the first.
	extraTime eventloop.Micros
}

// wipedFor returns a function that wipes a machine and starts it again after the downtime.
func wipedFor(downtime eventloop.Micros) func(c *storageFleet, victim *Host) eventloop.Micros {
	return func(c *storageFleet, victim *Host) eventloop.Micros {
		victim.Wipe()
		c.runSampling(downtime)
		victim.Start()
		return c.Now
	}
}

// replacedAfter returns a function that wipes a machine and starts its successor after the delay.
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

// replacementSetup describes the fleet that a case runs on, which machine is lost, and whether
// the controller is lost as well.
type replacementSetup struct {
	seed            uint64
	storageNodes    int
	losses          int              // number of machine losses that the fleet tolerates
	sync            eventloop.Micros // duration of a disk sync
	hasLoad         bool
	losesLeader     bool // whether the lost machine is the leader; otherwise it is a follower
	losesController bool
	bounds          *schema.Bounds // nil: the default bounds
}

// runReplacementCase runs one case twice in a row, and returns the longer of the times until the
// losses were tolerated again. When the catch-up time is over, it causes the next loss and checks
// that the fleet serves again soon.
func runReplacementCase(t *testing.T, test replacementCase, setup replacementSetup) eventloop.Micros {
	zones := []string{"z1", "z2", "z3", "z1", "z2", "z3", "z1"}[:setup.storageNodes]
	c := newStorageFleet(setup.seed, zones, setup.losses, setup.sync, setup.hasLoad)
	c.bounds = setup.bounds
	catchUp := cmp.Or(eventloop.Micros(setup.bounds.GetCatchUpUs()), catchUp) + test.extraTime
	c.Run(c.LoadStart + 8*eventloop.Second)
	c.runSampling(eventloop.Second)
	if c.intolerantAt == c.Now {
		t.Fatalf("seed %d: the fleet doesn't tolerate the losses after its start: %s", setup.seed, c.intoleranceReason)
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
			t.Errorf("%s, turn %d, %+v: the losses weren't tolerated in time: %s", test.name, turn, setup, c.intoleranceReason)
		}
		if c.longestHandover >= drainPeriod-sampleInterval {
			t.Errorf("%s, seed %d, turn %d: the handover took %.2f s", test.name, setup.seed, turn, float64(c.longestHandover)/1e6)
		}
		c.loseVoters(t, setup.losses, fmt.Sprintf("%s, seed %d, turn %d", test.name, setup.seed, turn))
		c.runSampling(9 * eventloop.Second)
	}
	return worst
}

// loseVoters kills the given number of voters, checks that the others serve, and restarts the
// killed voters and every agent node that is down.
func (c *storageFleet) loseVoters(t *testing.T, count int, testCase string) {
	lost := c.voters()[:count]
	for _, h := range lost {
		h.Kill()
	}
	if took, served := c.timeUntilServed(6 * eventloop.Second); !served {
		t.Errorf("%s: no configuration was accepted for %.2f s after the next loss", testCase, float64(took)/1e6)
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

// TestToleranceReturns checks that the next loss is tolerated within the catch-up time, in whatever
// way a machine is lost and comes back or is replaced. By default it runs each case once.
// -member_seeds N runs each case N times on each fleet size (24 runs cover every combination of
// disk sync, load and lost machines), and -v prints the longest time of these runs.
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
				t.Logf("the longest time until the losses were tolerated is %.2f s", float64(worst)/1e6)
			})
		}
	}
}

// TestToleranceReturnsWithin checks that repairs are faster where the deployment sets a shorter
// catch-up time.
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
				t.Logf("the losses were tolerated after %.2f s", float64(took)/1e6)
			}
		})
	}
}
