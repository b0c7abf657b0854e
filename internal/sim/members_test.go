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

// catchUp is the bound that the cases are held to, as in the deployments.
const catchUp = 4 * eventloop.Second

// lookSpan is how often the groups are looked at.
const lookSpan = 50 * eventloop.Millisecond

// core is a fleet of disk machines that bear so many losses, with fronts and
// side machines.
type core struct {
	*Fleet
	losses    int
	tolerance membership.FaultTolerance // zones and regions besides
	badAt     eventloop.Micros          // when a group last couldn't bear the losses
	why       string
	left      eventloop.Micros // the longest that machines which leave had something to hand over
}

func newCore(seed uint64, zones []string, losses int, sync eventloop.Micros, hasLoad bool) *core {
	f := &Fleet{World: NewWorld(seed, CalmNet, sync), Size: Small}
	c := &core{Fleet: f, losses: losses}
	for k, zone := range zones {
		c.addStore(fmt.Sprintf("store%d", k+1), zone, true)
	}
	for k := range 2 {
		c.told(f.AddHost(fmt.Sprintf("front%d", k+1), zones[k%len(zones)], schema.Role_ROLE_SERVER, false), false)
	}
	for k := range 4 {
		h := f.AddHost(fmt.Sprintf("side%d", k+1), zones[k%len(zones)], schema.Role_ROLE_CONTROLLER, false)
		c.told(h, false)
		f.sides = append(f.sides, h)
	}
	for _, h := range f.Hosts {
		f.After(eventloop.Micros(f.Rng.Int64N(int64(300*eventloop.Millisecond))), h.Start)
	}
	f.After(500*eventloop.Millisecond, func() { f.Put("operator", f.Rows(60)) })
	f.Began = f.Now + 4*eventloop.Second
	if hasLoad {
		f.After(eventloop.Second, func() {
			for k := range 4 {
				f.Workers = append(f.Workers, f.AddWorker(fmt.Sprintf("w%d", k), "r", zones[k%len(zones)], 8000, 16000))
			}
		})
		f.At(f.Began, func() {
			for _, kind := range f.Size.Kinds {
				f.Load(kind, f.Began+60*eventloop.Second)
			}
		})
	}
	return c
}

// told gives a machine the settings of its deployment.
func (c *core) told(h *Host, isFirst bool) {
	h.Also = func(papers *process.Config, _ []process.ComponentSlot) []process.ComponentSlot {
		papers.Bootstrap, papers.MachineFailures = isFirst && h.run == 1, uint32(c.losses)
		papers.ZoneFailures, papers.RegionFailures, papers.RegionByZone = uint32(c.tolerance.Zones), uint32(c.tolerance.Regions), c.tolerance.RegionByZone
		if h.Role == schema.Role_ROLE_CONTROLLER {
			return process.ControllerComponents(papers)
		}
		return process.ServerComponents(papers)
	}
}

func (c *core) addStore(name, zone string, isFirst bool) *Host {
	h := c.AddHost(name, zone, schema.Role_ROLE_SERVER, true)
	c.told(h, isFirst)
	return h
}

// successor adds an empty machine at another address.
func (c *core) successor(old *Host) *Host {
	h := c.addStore(old.Name+"'", old.Cell, false)
	for _, other := range c.Hosts {
		if other.IsUp && len(h.Seeds) < 3 {
			h.Seeds = append(h.Seeds, other.Address)
		}
	}
	h.Start()
	return h
}

// standing is one replica of a group and the machine it lives on.
type standing struct {
	host *Host
	*replica.GroupStateView
}

// standings asks every store that is there once what it believes.
func (c *core) standings() map[string][]standing {
	groups := map[string][]standing{}
	for _, h := range c.Stores() {
		if belief := h.Belief(); belief != nil && !h.frozen {
			for _, each := range belief.Groups {
				groups[each.Group] = append(groups[each.Group], standing{h, each})
			}
		}
	}
	return groups
}

// leaderOf is the leader of the latest term: one that was cut off or frozen may not know
// yet that it leads no more.
func leaderOf(list []standing) *standing {
	var lead *standing
	for k := range list {
		if list[k].Role == "leader" && (lead == nil || list[k].Term > lead.Term) {
			lead = &list[k]
		}
	}
	return lead
}

// voters are the machines that vote on the cluster state, its leader first.
func (c *core) voters() []*Host {
	list := c.standings()[clusterstate.Group]
	lead := leaderOf(list)
	if lead == nil {
		return nil
	}
	voters := []*Host{lead.host}
	for _, each := range list {
		if each.host != lead.host && slices.Contains(lead.Voters, each.host.Id) {
			voters = append(voters, each.host)
		}
	}
	return voters
}

// bears tells how many more voters each group can lose, at least; -1 where one has no
// leader.
func (c *core) bears() (int, string) {
	least, why := len(c.Hosts), ""
	for group, list := range c.standings() {
		lead := leaderOf(list)
		if lead == nil {
			return -1, group + " has no leader"
		}
		live := 0
		for _, each := range list {
			// What is on its way in one sync is no lag.
			isNear := each.Stable+raft.MaxLearnerLag >= lead.Commit
			if slices.Contains(lead.Voters, each.host.Id) && !each.host.isLeaving && isNear {
				live++
			}
		}
		if margin := live - (len(lead.Voters)/2 + 1); margin < least {
			least, why = margin, fmt.Sprint(group, " has ", live, " live of ", lead.Voters)
		}
	}
	return least, why
}

// pass lets time pass and notes when the losses can't be borne.
func (c *core) pass(span eventloop.Micros) {
	for end := c.Now + span; c.Now < end; {
		c.Run(min(end, c.Now+lookSpan))
		if margin, why := c.bears(); margin < c.losses {
			c.badAt, c.why = c.Now, why
		}
	}
}

// graceSpan is what a machine that is told to leave has for it.
const graceSpan = 5 * eventloop.Second

// leave has machines leave, as when they are told to, and be gone with their disks.
func (c *core) leave(hosts ...*Host) {
	began := c.Now
	for _, h := range hosts {
		h.Warn(graceSpan)
	}
	for _, h := range hosts {
		for h.IsUp {
			c.pass(lookSpan)
			if belief := h.Belief(); belief != nil && belief.HasHandoverPending {
				c.left = max(c.left, c.Now-began)
			}
		}
		h.Wipe()
	}
}

// serves tells how long it takes until a table is taken again.
func (c *core) serves(limit eventloop.Micros) (eventloop.Micros, bool) {
	began := c.Now
	c.Put("operator", c.Rows(int(61+c.Now/eventloop.Second%30)))
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

// memberCase is one way to lose machines and have them replaced.
type memberCase struct {
	name string
	// lose loses a machine and gives the moment from which the bound counts: the
	// successor's start, or the machine's return.
	lose func(c *core, victim *Host) eventloop.Micros
	// further is what a second repair, after the first, takes besides.
	further eventloop.Micros
}

func wiped(down eventloop.Micros) func(c *core, victim *Host) eventloop.Micros {
	return func(c *core, victim *Host) eventloop.Micros {
		victim.Wipe()
		c.pass(down)
		victim.Start()
		return c.Now
	}
}

func replacedAfter(rest eventloop.Micros) func(c *core, victim *Host) eventloop.Micros {
	return func(c *core, victim *Host) eventloop.Micros {
		victim.Wipe()
		c.pass(rest)
		c.successor(victim)
		return c.Now
	}
}

var memberCases = []memberCase{
	{name: "wiped, back at once", lose: wiped(300 * eventloop.Millisecond)},
	{name: "wiped, back after 1.2 s", lose: wiped(1200 * eventloop.Millisecond)},
	{name: "wiped, back after 3 s", lose: wiped(3 * eventloop.Second)},
	{name: "successor at the loss", lose: replacedAfter(0)},
	{name: "successor 1 s after the loss", lose: replacedAfter(eventloop.Second)},
	{name: "successor 1 s before the SIGTERM", lose: func(c *core, victim *Host) eventloop.Micros {
		c.successor(victim)
		began := c.Now
		c.pass(eventloop.Second)
		c.leave(victim)
		return began
	}},
	{name: "SIGTERM, successor 1 s after the end", lose: func(c *core, victim *Host) eventloop.Micros {
		c.leave(victim)
		c.pass(eventloop.Second)
		c.successor(victim)
		return c.Now
	}},
	{name: "two SIGTERM at once, successors 1 s before", lose: func(c *core, victim *Host) eventloop.Micros {
		began, other := c.Now, c.voters()[1]
		if other == victim {
			other = c.voters()[0]
		}
		c.successor(victim)
		c.successor(other)
		c.pass(eventloop.Second)
		c.leave(victim, other)
		return began
	}, further: timing.RepairDuration},
	{name: "restarted", lose: func(c *core, victim *Host) eventloop.Micros {
		victim.Kill()
		c.pass(500 * eventloop.Millisecond)
		victim.Start()
		return c.Now
	}},
	{name: "frozen for 5 s", lose: func(c *core, victim *Host) eventloop.Micros {
		victim.Freeze(5 * eventloop.Second)
		c.pass(5 * eventloop.Second)
		return c.Now
	}},
}

// playMembers plays one case twice in a row and tells how long tolerance took, and how
// long the next loss, at the first moment that counts, kept the core from serving.
func playMembers(t *testing.T, each memberCase, seed uint64, stores, losses int, sync eventloop.Micros, hasLoad, isLeader, isController bool, bounds *schema.Bounds) eventloop.Micros {
	zones := []string{"z1", "z2", "z3", "z1", "z2", "z3", "z1"}[:stores]
	c := newCore(seed, zones, losses, sync, hasLoad)
	c.bounds = bounds
	catchUp := cmp.Or(eventloop.Micros(bounds.GetCatchUpUs()), catchUp) + each.further
	c.Run(c.Began + 8*eventloop.Second)
	c.pass(eventloop.Second)
	if c.badAt == c.Now {
		t.Fatalf("seed %d: the fleet didn't come up: %s", seed, c.why)
	}
	worst := eventloop.Micros(0)
	for turn := range 2 {
		voters := c.voters()
		victim := voters[0]
		if !isLeader {
			victim = voters[len(voters)-1]
		}
		c.badAt = 0
		if isController {
			c.controller().Kill()
		}
		from := each.lose(c, victim)
		c.pass(max(0, from+catchUp-c.Now))
		took := max(0, c.badAt-from)
		worst = max(worst, took)
		if took > catchUp-2*lookSpan {
			t.Errorf("%s, seed %d, turn %d, %d of %d, sync %d, load %v, leader %v, controller %v: %s", each.name, seed, turn, losses, stores, sync, hasLoad, isLeader, isController, c.why)
		}
		if c.left >= graceSpan-lookSpan {
			t.Errorf("%s, seed %d, turn %d: handing over took %.2f s", each.name, seed, turn, float64(c.left)/1e6)
		}
		// The next loss at the first moment that counts.
		lost := c.voters()[:losses]
		for _, h := range lost {
			h.Kill()
		}
		if took, isServed := c.serves(6 * eventloop.Second); !isServed {
			t.Errorf("%s, seed %d, turn %d: not served for %.2f s after the next loss", each.name, seed, turn, float64(took)/1e6)
		}
		for _, h := range lost {
			h.Start()
		}
		for _, h := range c.sides {
			if !h.IsUp {
				h.Start()
			}
		}
		c.pass(9 * eventloop.Second)
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
	for k, each := range memberCases {
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
					took := playMembers(t, each, uint64(seed), size.stores, size.losses, syncs[seed%3], seed%2 == 0, seed%4 < 2, seed%8 < 4, nil)
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
	for _, each := range memberCases {
		if each.name == "successor at the loss" || each.name == "successor 1 s after the loss" {
			t.Run(each.name, func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(max(1, *memberSeeds)) {
					took := playMembers(t, each, seed+1, 3, 1, 5*eventloop.Millisecond, false, seed%2 == 0, false, bounds)
					t.Logf("%.2f s", float64(took)/1e6)
				}
			})
		}
	}
}
