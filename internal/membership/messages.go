package membership

// The messages of the members table.

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// MemberStatus is a member and when it was last heard of.
type MemberStatus struct {
	Member    *schema.Member
	LastHeard eventloop.Micros
}

// View tells the other tables of this process who there is.
type View struct {
	Self    *schema.Member
	Members map[string]MemberStatus
}

// IsAlive tells whether a process was heard of within a span.
func (r *View) IsAlive(id string, now, timeout eventloop.Micros) bool {
	status, found := r.Members[id]
	return found && now-status.LastHeard < timeout
}

// PersistIdentity asks the replicas' table to make our own account durable; it is
// answered with IdentityPersisted.
type PersistIdentity struct {
	Identity        *schema.StoreIdentity
	BootstrapVoters []string // found the system's group with these
}

// IdentityPersisted answers PersistIdentity once the account is durable.
type IdentityPersisted struct{ Identity *schema.StoreIdentity }

// LatencyReport is this process's own worst recent delay.
type LatencyReport struct{ Max eventloop.Micros }

// WritesRefusedLatency is the delay told of a store that takes no writes: no other
// delay is as long, and whoever chooses among stores passes it over.
const WritesRefusedLatency = 3600 * eventloop.Second

// RefusesWrites tells whether a store says of itself that it takes no writes.
func (r *View) RefusesWrites(id string) bool {
	member := r.Members[id].Member
	if id == r.Self.GetId() {
		member = r.Self
	}
	return member.GetLatencyUs() >= int64(WritesRefusedLatency)
}

// awayTimeout is how long a store may be unheard of and still count as one at hand.
const awayTimeout = 2 * eventloop.Second

// HasWritableQuorum tells whether enough of a group's voters take writes, as far as is
// known. Who is merely away says nothing by itself (a group without a quorum has
// no leader soon); beside a store that refuses it may leave too few.
func (r *View) HasWritableQuorum(now eventloop.Micros, voters []string, refusesWrites func(id string) bool) bool {
	refusing, writable := 0, 0
	for _, id := range voters {
		switch {
		case refusesWrites(id):
			refusing++
		case id == r.Self.GetId() || r.IsAlive(id, now, awayTimeout):
			writable++
		}
	}
	return refusing == 0 || writable > len(voters)/2
}

// Draining says that this process was warned.
type Draining struct{}

// ClusterStateObserved tells that this process holds a cluster state, so a system exists.
type ClusterStateObserved struct{ Version uint64 }

// Config are the settings the book goes by.
type Config struct {
	Seeds           []string
	Bootstrap       bool   // the whole system starts for the first time
	MachineFailures uint32 // stores that may be lost at once; 0: one
	IsAgentNode     bool   // a side machine, which watches the stores

	ZoneFailures, RegionFailures uint32            // that may be lost whole
	RegionByZone                 map[string]string // of each zone
}

// FaultTolerance is what may be lost at once.
func (t Config) Tolerance() FaultTolerance {
	return FaultTolerance{Machines: int(t.MachineFailures), Zones: int(t.ZoneFailures), Regions: int(t.RegionFailures), RegionByZone: t.RegionByZone}
}

// VoterCount is how many stores the group is founded with if there are so many,
// and how many voters each group is to have: a majority outlives the losses.
func (t Config) VoterCount() int { return t.Tolerance().Voters() }
