package sim

import (
	"fmt"
	"slices"
	"testing"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	partitionPeriod = 20 * eventloop.Second
	afterHealing    = 6 * eventloop.Second
	readyTimeout    = 600 * eventloop.Millisecond // time after the healing within which the host must be ready
)

// --- the cases: the role of the host that is partitioned, and the kind of partition ---

const (
	learner  = "learner"  // a host that is partitioned when it has just become a learner
	newcomer = "newcomer" // a host that is started for the first time inside the partition
)

// partitionRole is the role of the partitioned host, and picks a host with this role.
type partitionRole struct {
	name string
	pick func(r *partitionRun) *Host
}

var partitionRoles = []partitionRole{
	{"leader", func(r *partitionRun) *Host { return r.voter("leader") }},
	{"follower", func(r *partitionRun) *Host { return r.voter("follower") }},
	{learner, (*partitionRun).learner},
	{"diskless gateway", func(r *partitionRun) *Host { return r.Hosts[3] }},
	{newcomer, func(r *partitionRun) *Host { return r.AddHost("keep6", "c1", schema.Role_ROLE_SERVER, true) }},
}

// partitionKind is a way to partition the host, either alone or together with the other hosts on
// its side.
type partitionKind struct {
	name     string
	restarts bool // whether the host's process is restarted inside the partition
	apply    func(r *partitionRun, side []*Host, blocked bool)
}

var partitionKinds = []partitionKind{
	{"both ways", false, func(r *partitionRun, _ []*Host, blocked bool) { r.isolate(blocked) }},
	{"outgoing", false, func(r *partitionRun, _ []*Host, blocked bool) { r.isolateOneWay(blocked, true) }},
	{"incoming", false, func(r *partitionRun, _ []*Host, blocked bool) { r.isolateOneWay(blocked, false) }},
	{"seeds inside", false, func(r *partitionRun, side []*Host, blocked bool) { r.partition(blocked, side) }},
	{"restarted", true, func(r *partitionRun, _ []*Host, blocked bool) { r.isolate(blocked) }},
	{"restarted, seeds inside", true, func(r *partitionRun, side []*Host, blocked bool) { r.partition(blocked, side) }},
}

func (r *partitionRun) isolate(blocked bool) { r.Isolate(r.host, blocked) }

func (r *partitionRun) isolateOneWay(blocked, isOutgoing bool) {
	for _, h := range r.Hosts {
		switch {
		case h == r.host:
		case isOutgoing:
			r.BlockLink(r.host, h, blocked)
		default:
			r.BlockLink(h, r.host, blocked)
		}
	}
}

func (r *partitionRun) partition(blocked bool, side []*Host) {
	r.Partition(blocked, func(h *Host) bool { return slices.Contains(side, h) })
}

// voter returns a storage node with the given role, leader or follower, in the group of the
// cluster state.
func (r *partitionRun) voter(role string) *Host {
	for _, h := range r.StorageNodes() {
		if group := clusterStateReplica(h); group != nil && group.Role == role {
			return h
		}
	}
	panic("sim: no storage node of the cluster state has the role " + role)
}

// learner wipes a storage node for good, starts its successor, and returns the successor as soon
// as it is a learner.
func (r *partitionRun) learner() *Host {
	r.voter("follower").Wipe()
	successor := r.AddHost("keep6", "c1", schema.Role_ROLE_SERVER, true)
	successor.Start()
	for {
		for _, h := range r.StorageNodes() {
			if group := clusterStateReplica(h); group != nil && slices.Contains(group.Learners, successor.ID) {
				return successor
			}
		}
		r.Run(r.Now + eventloop.Millisecond)
	}
}

// seedSide returns the hosts on the host's side of a partition that includes its seeds: the host
// itself, an agent node, and a gateway or storage node, so that there is one storage node, which
// is no majority.
func (r *partitionRun) seedSide() []*Host {
	list := []*Host{r.host, r.Hosts[5]}
	if r.host.Disk == nil {
		return append(list, r.voter("follower"))
	}
	return append(list, r.Hosts[3])
}

// --- the run ---

func newPartitionRun(seed uint64) *partitionRun {
	r := &partitionRun{Simulation: NewSimulation(seed, ReliableNetwork, fastSync), statusCounts: map[string]map[int32]int{}}
	addTestHosts(r.Simulation, "keep", "heed", 3)
	startWithin(r.Simulation, r.Rng.Int64N)
	r.After(eventloop.Second, func() { r.publish(1, nil) })
	r.Run(r.Now + 6*eventloop.Second)
	return r
}

// runPartition runs one case: the partition, and the time afterHealing that follows it.
func runPartition(seed uint64, role partitionRole, kind partitionKind, buffers bool) *partitionRun {
	r := newPartitionRun(seed)
	r.BuffersWhilePartitioned = buffers
	r.other = r.Hosts[4]
	r.host = role.pick(r)
	side := r.seedSide()
	r.host.Seeds = nil
	for _, h := range side {
		r.host.Seeds = append(r.host.Seeds, h.Address)
	}
	r.submitKnownJob()
	if role.name != learner {
		r.Run(r.Now + eventloop.Second)
	}
	kind.apply(r, side, true)
	r.unreachableSince = r.Now
	if role.name == newcomer {
		r.downAt, r.downUntil, r.startedInside = 1, r.Now, true
		r.host.Start()
	}
	if kind.restarts {
		r.After(3*eventloop.Second, r.restartInside)
	}
	r.Run(r.Now + partitionPeriod)
	kind.apply(r, side, false)
	r.healedAt = r.Now
	r.Run(r.Now + afterHealing)
	return r
}

// submitKnownJob submits a job repeatedly until it is accepted, and then begins to probe.
func (r *partitionRun) submitKnownJob() {
	job := newJob("the known job", &schema.Step{Name: "s", Tasks: 1, CoresMilli: 1})
	r.Request(r.other, callTimeout, submitRequest("quick", "c", "known", job), func(answer any) {
		if isConfirmed(responseOf(answer)) {
			r.probePeriodically(r.Now + partitionPeriod + afterHealing)
			return
		}
		r.submitKnownJob()
	})
}

func (r *partitionRun) restartInside() {
	r.host.Kill()
	r.downAt, r.downUntil = r.Now, r.Now+500*eventloop.Millisecond
	r.After(500*eventloop.Millisecond, func() {
		r.host.Start()
		r.startedInside = true
	})
}

// testPartitioned runs every kind of partition for a host with the given role.
func testPartitioned(t *testing.T, roleName string) {
	roleIndex := slices.IndexFunc(partitionRoles, func(role partitionRole) bool { return role.name == roleName })
	for kindIndex, kind := range partitionKinds {
		for k := range *seeds {
			seed := *firstSeed + uint64(k)
			t.Run(fmt.Sprintf("%s/%d", kind.name, seed), func(t *testing.T) {
				t.Parallel()
				buffers := (uint64(roleIndex+kindIndex)+seed)%2 == 0
				r := runPartition(seed, partitionRoles[roleIndex], kind, buffers)
				for _, problem := range r.problems[:min(len(r.problems), 12)] {
					t.Error(problem)
				}
				if took := r.readyAt - r.healedAt; r.readyAt == 0 || took > readyTimeout {
					t.Errorf("the host was ready %d us after the healing", took)
				}
				t.Logf("%d versions, ready %d us after the healing, answers %v", len(r.acknowledged), r.readyAt-r.healedAt, r.statusCounts)
			})
		}
	}
}

func TestPartitionedLeader(t *testing.T)   { testPartitioned(t, "leader") }
func TestPartitionedFollower(t *testing.T) { testPartitioned(t, "follower") }
func TestPartitionedLearner(t *testing.T)  { testPartitioned(t, learner) }
func TestPartitionedGateway(t *testing.T)  { testPartitioned(t, "diskless gateway") }
func TestPartitionedNewcomer(t *testing.T) { testPartitioned(t, newcomer) }
