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

// measureCatchUp is the bound that the cases are held to, as in the deployments.
const catchUp = 4 * eventloop.Second

// sampleInterval is how often the groups are looked at.
const sampleInterval = 50 * eventloop.Millisecond

// storageFleet is a fleet of disk machines that bear so many losses, with fronts and
// side machines.
type storageFleet struct {
	*Fleet
	losses          int
	tolerance       membership.FaultTolerance // zones and regions besides
	intolerantAt    eventloop.Micros          // when a group last couldn't bear the losses
	why             string
	longestHandover eventloop.Micros // the longest that machines which leave had something to hand over
}

func newStorageFleet(seed uint64, zones []string, losses int, sync eventloop.Micros, hasLoad bool) *storageFleet {
	f := &Fleet{Simulation: NewSimulation(seed, ReliableNetwork, sync), Spec: SmallFleet}
	c := &storageFleet{Fleet: f, losses: losses}
	for k, zone := range zones {
		c.addStore(fmt.Sprintf("store%d", k+1), zone, true)
	}
	for k := range 2 {
		c.configure(f.AddHost(fmt.Sprintf("front%d", k+1), zones[k%len(zones)], schema.Role_ROLE_SERVER, false), false)
	}
	for k := range 4 {
		h := f.AddHost(fmt.Sprintf("side%d", k+1), zones[k%len(zones)], schema.Role_ROLE_CONTROLLER, false)
		c.configure(h, false)
		f.agentNodes = append(f.agentNodes, h)
	}
	for _, h := range f.Hosts {
		f.After(eventloop.Micros(f.Rng.Int64N(int64(300*eventloop.Millisecond))), h.Start)
	}
	f.After(500*eventloop.Millisecond, func() { f.PutConfiguration("operator", f.ConfigurationRows(60)) })
	f.LoadStart = f.Now + 4*eventloop.Second
	if hasLoad {
		f.After(eventloop.Second, func() {
			for k := range 4 {
				f.Workers = append(f.Workers, f.AddPollingWorker(fmt.Sprintf("w%d", k), "r", zones[k%len(zones)], 8000, 16000))
			}
		})
		f.At(f.LoadStart, func() {
			for _, kind := range f.Spec.JobKinds {
				f.GenerateLoad(kind, f.LoadStart+60*eventloop.Second)
			}
		})
	}
	return c
}

// configure gives a machine the settings of its deployment.
func (c *storageFleet) configure(h *Host, isFirst bool) {
	h.Customize = func(config *process.Config, _ []process.ComponentSlot) []process.ComponentSlot {
		config.Bootstrap, config.MachineFailures = isFirst && h.run == 1, uint32(c.losses)
		config.ZoneFailures, config.RegionFailures, config.RegionByZone = uint32(c.tolerance.Zones), uint32(c.tolerance.Regions), c.tolerance.RegionByZone
		if h.Role == schema.Role_ROLE_CONTROLLER {
			return process.ControllerComponents(config)
		}
		return process.ServerComponents(config)
	}
}

func (c *storageFleet) addStore(name, zone string, isFirst bool) *Host {
	h := c.AddHost(name, zone, schema.Role_ROLE_SERVER, true)
	c.configure(h, isFirst)
	return h
}

// successor adds an empty machine at another address.
func (c *storageFleet) successor(old *Host) *Host {
	h := c.addStore(old.Name+"'", old.Zone, false)
	for _, other := range c.Hosts {
		if other.IsUp && len(h.Seeds) < 3 {
			h.Seeds = append(h.Seeds, other.Address)
		}
	}
	h.Start()
	return h
}

// hostedReplica is one replica of a group and the machine it lives on.
type hostedReplica struct {
	host *Host
	*replica.GroupStateView
}

// hostedReplicas asks every store that is there once what it believes.
func (c *storageFleet) hostedReplicas() map[string][]hostedReplica {
	groups := map[string][]hostedReplica{}
	for _, h := range c.StorageNodes() {
		if view := h.StateView(); view != nil && !h.isFrozen {
			for _, each := range view.Groups {
				groups[each.Group] = append(groups[each.Group], hostedReplica{h, each})
			}
		}
	}
	return groups
}

// leaderOf is the leader of the latest term: one that was cut off or frozen may not know
// yet that it leads no more.
func leaderOf(list []hostedReplica) *hostedReplica {
	var lead *hostedReplica
	for k := range list {
		if list[k].Role == "leader" && (lead == nil || list[k].Term > lead.Term) {
			lead = &list[k]
		}
	}
	return lead
}

// voters are the machines that vote on the cluster state, its leader first.
func (c *storageFleet) voters() []*Host {
	list := c.hostedReplicas()[clusterstate.Group]
	lead := leaderOf(list)
	if lead == nil {
		return nil
	}
	voters := []*Host{lead.host}
	for _, each := range list {
		if each.host != lead.host && slices.Contains(lead.Voters, each.host.ID) {
			voters = append(voters, each.host)
		}
	}
	return voters
}

// margin tells how many more voters each group can lose, at least; -1 where one has no
// leader.
func (c *storageFleet) margin() (int, string) {
	smallest, why := len(c.Hosts), ""
	for group, list := range c.hostedReplicas() {
		lead := leaderOf(list)
		if lead == nil {
			return -1, group + " has no leader"
		}
		live := 0
		for _, each := range list {
			// What is on its way in one sync is no lag.
			isNear := each.Stable+raft.MaxLearnerLag >= lead.Commit
			if slices.Contains(lead.Voters, each.host.ID) && !each.host.isDraining && isNear {
				live++
			}
		}
		if margin := live - (len(lead.Voters)/2 + 1); margin < smallest {
			smallest, why = margin, fmt.Sprint(group, " has ", live, " live of ", lead.Voters)
		}
	}
	return smallest, why
}

// transmit lets time pass and notes when the losses can't be borne.
func (c *storageFleet) runSampling(duration eventloop.Micros) {
	for end := c.Now + duration; c.Now < end; {
		c.Run(min(end, c.Now+sampleInterval))
		if margin, why := c.margin(); margin < c.losses {
			c.intolerantAt, c.why = c.Now, why
		}
	}
}

// drainPeriod is what a machine that is told to leave has for it.
const drainPeriod = 5 * eventloop.Second

// drain has machines leave, as when they are told to, and be gone with their disks.
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

// timeUntilServed tells how long it takes until a table is taken again.
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
	// lose loses a machine and gives the moment from which the bound counts: the
	// successor's start, or the machine's return.
	lose func(c *storageFleet, victim *Host) eventloop.Micros
	// further is what a second repair, after the first, takes besides.
	extraTime eventloop.Micros
}

func wipedFor(down eventloop.Micros) func(c *storageFleet, victim *Host) eventloop.Micros {
	return func(c *storageFleet, victim *Host) eventloop.Micros {
		victim.Wipe()
		c.runSampling(down)
		victim.Start()
		return c.Now
	}
}

func replacedAfter(rest eventloop.Micros) func(c *storageFleet, victim *Host) eventloop.Micros {
	return func(c *storageFleet, victim *Host) eventloop.Micros {
		victim.Wipe()
		c.runSampling(rest)
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

// runReplacementCase plays one case twice in a row and tells how long tolerance took, and how
// long the next loss, at the first moment that counts, kept the core from serving.
func runReplacementCase(t *testing.T, each replacementCase, seed uint64, stores, losses int, sync eventloop.Micros, hasLoad, isLeader, isController bool, bounds *schema.Bounds) eventloop.Micros {
	zones := []string{"z1", "z2", "z3", "z1", "z2", "z3", "z1"}[:stores]
	c := newStorageFleet(seed, zones, losses, sync, hasLoad)
	c.bounds = bounds
	catchUp := cmp.Or(eventloop.Micros(bounds.GetCatchUpUs()), catchUp) + each.extraTime
	c.Run(c.LoadStart + 8*eventloop.Second)
	c.runSampling(eventloop.Second)
	if c.intolerantAt == c.Now {
		t.Fatalf("seed %d: the fleet didn't come up: %s", seed, c.why)
	}
	worst := eventloop.Micros(0)
	for turn := range 2 {
		voters := c.voters()
		victim := voters[0]
		if !isLeader {
			victim = voters[len(voters)-1]
		}
		c.intolerantAt = 0
		if isController {
			c.controllerHost().Kill()
		}
		from := each.lose(c, victim)
		c.runSampling(max(0, from+catchUp-c.Now))
		took := max(0, c.intolerantAt-from)
		worst = max(worst, took)
		if took > catchUp-2*sampleInterval {
			t.Errorf("%s, seed %d, turn %d, %d of %d, sync %d, load %v, leader %v, controller %v: %s", each.name, seed, turn, losses, stores, sync, hasLoad, isLeader, isController, c.why)
		}
		if c.longestHandover >= drainPeriod-sampleInterval {
			t.Errorf("%s, seed %d, turn %d: handing over took %.2f s", each.name, seed, turn, float64(c.longestHandover)/1e6)
		}
		// The next loss at the first moment that counts.
		lost := c.voters()[:losses]
		for _, h := range lost {
			h.Kill()
		}
		if took, served := c.timeUntilServed(6 * eventloop.Second); !served {
			t.Errorf("%s, seed %d, turn %d: not served for %.2f s after the next loss", each.name, seed, turn, float64(took)/1e6)
		}
		for _, h := range lost {
			h.Start()
		}
		for _, h := range c.agentNodes {
			if !h.IsUp {
				h.Start()
			}
		}
		c.runSampling(9 * eventloop.Second)
	}
	return worst
}

// TestToleranceReturns: whatever way a machine is lost and comes back or is replaced,
// the next loss is borne a catch-up later. One run a case by default; -member_seeds N
// plays N of each case and size (24 make up every combination of sync, load and who is
// lost), and -v shows the worst of them.
func TestToleranceReturns(t *testing.T) {
	sizes := []struct{ stores, losses int }{{3, 1}, {5, 2}, {7, 2}}
	syncs := []eventloop.Micros{500, 5 * eventloop.Millisecond, 12 * eventloop.Millisecond}
	for k, each := range replacementCases {
		for n, size := range sizes {
			first, last := 1, *memberSeeds
			if last == 0 {
				if k%len(sizes) != n {
					continue
				}
				first, last = k+1, k+1
			}
			t.Run(fmt.Sprintf("%s/%d of %d", each.name, size.losses, size.stores), func(t *testing.T) {
				t.Parallel()
				worst := eventloop.Micros(0)
				for seed := first; seed <= last; seed++ {
					took := runReplacementCase(t, each, uint64(seed), size.stores, size.losses, syncs[seed%3], seed%2 == 0, seed%4 < 2, seed%8 < 4, nil)
					worst = max(worst, took)
				}
				t.Logf("worst %.2f s", float64(worst)/1e6)
			})
		}
	}
}

// TestToleranceReturnsWithin: where the catch-up is shorter, repairs are sooner.
func TestToleranceReturnsWithin(t *testing.T) {
	bounds := &schema.Bounds{ContactUs: int64(2 * eventloop.Second), CatchUpUs: int64(3 * eventloop.Second)}
	for _, each := range replacementCases {
		if each.name == "successor at the loss" || each.name == "successor 1 s after the loss" {
			t.Run(each.name, func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(max(1, *memberSeeds)) {
					took := runReplacementCase(t, each, seed+1, 3, 1, 5*eventloop.Millisecond, false, seed%2 == 0, false, bounds)
					t.Logf("%.2f s", float64(took)/1e6)
				}
			})
		}
	}
}
