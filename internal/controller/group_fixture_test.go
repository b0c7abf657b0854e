package controller

import (
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

// groupFixture simulates a group whose members change as the controller requests. A change takes
// effect before the controller runs again.
type groupFixture struct {
	controller      *Controller
	now             eventloop.Micros
	status          *schema.QueueStatus
	members         map[string]*schema.Member   // all storage nodes, by id
	silentSince     map[string]eventloop.Micros // when members became unresponsive, by id
	steps           []string                    // the membership changes so far
	minQuorumMargin int                         // the minimum, over all changes, of live voters beyond a quorum
}

// newGroupFixture returns a group with these voters, the first of which is the leader.
func newGroupFixture(machineFailures uint32, voters ...string) *groupFixture {
	g := &groupFixture{
		controller: New("h", machineFailures), now: 100 * eventloop.Second, members: map[string]*schema.Member{}, silentSince: map[string]eventloop.Micros{},
		status: &schema.QueueStatus{Group: clusterstate.GroupName, Leader: voters[0], Voters: voters, ReplicaLag: map[string]uint64{}}, minQuorumMargin: len(voters),
	}
	for _, id := range voters {
		g.add(id, "10.0.0."+id, "")
	}
	return g
}

// newZonedFixture returns a group whose voters "a", "b" and so on are in these zones, and whose
// controller must tolerate the failures.
func newZonedFixture(tolerance membership.FaultTolerance, zones ...string) *groupFixture {
	ids := []string{"a", "b", "c", "d", "e"}[:len(zones)]
	g := newGroupFixture(0, ids...)
	g.controller.WithTolerance(tolerance)
	for k, id := range ids {
		g.add(id, "10.0.0."+id, zones[k])
	}
	return g
}

// setClusterAge makes the controller derive a cluster age of one minute from the lease.
func (g *groupFixture) setClusterAge() {
	g.controller.leaseExpiryUs, g.controller.leaseExpirySeenAt = int64(60*eventloop.Second)+clusterstate.ControllerLeaseUs, g.now
}

// addNewlyJoined adds an empty storage node that has just started.
func (g *groupFixture) addNewlyJoined(id string) {
	g.add(id, "10.0.0."+id, "")
	g.members[id].Incarnation, g.members[id].Heartbeat = 1, 4
}

// add adds a storage node that isn't newly joined.
func (g *groupFixture) add(id, address, zone string) {
	g.members[id] = &schema.Member{Id: id, Incarnation: 2, HasStorage: true, Role: schema.Role_ROLE_SERVER, InternalAddress: address, Zone: zone}
}

// live returns the number of live voters.
func (g *groupFixture) live() int {
	live := 0
	for _, id := range g.status.Voters {
		if _, found := g.silentSince[id]; !found {
			live++
		}
	}
	return live
}

// run advances the time in steps of 250 ms. At each step it requests the next membership change from
// the controller and applies it.
func (g *groupFixture) run(duration eventloop.Micros) {
	for end := g.now + duration; g.now < end; {
		g.now += 250 * eventloop.Millisecond
		view := &membership.View{Members: map[string]membership.MemberStatus{}}
		for id, member := range g.members {
			lastHeard := g.now
			if since, found := g.silentSince[id]; found {
				lastHeard = since
			}
			view.Members[id] = membership.MemberStatus{Member: member, LastHeard: lastHeard}
		}
		g.controller.view = view
		g.controller.observeStorageNodes(g.now)
		change := g.controller.nextMembershipChange(g.now, g.status, g.status)
		if change == nil {
			continue
		}
		without := func(ids []string, id string) []string {
			return slices.DeleteFunc(slices.Clone(ids), func(other string) bool { return other == id })
		}
		switch {
		case change.AddLearner != "":
			g.steps = append(g.steps, "learn "+change.AddLearner)
			g.status.Learners = append(g.status.Learners, change.AddLearner)
		case change.Promote != "":
			g.steps = append(g.steps, "promote "+change.Promote)
			g.status.Learners = without(g.status.Learners, change.Promote)
			g.status.Voters = append(g.status.Voters, change.Promote)
		case change.Remove != "":
			g.steps = append(g.steps, "remove "+change.Remove)
			g.status.Learners = without(g.status.Learners, change.Remove)
			g.status.Voters = without(g.status.Voters, change.Remove)
		}
		g.minQuorumMargin = min(g.minQuorumMargin, g.live()-(len(g.status.Voters)/2+1))
	}
}
