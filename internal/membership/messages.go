package membership

// The messages of the members table.

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Known is a member and when it was last heard of.
type Known struct {
	Member *schema.Member
	Heard  eventloop.Micros
}

// Roll tells the other tables of this process who there is.
type Roll struct {
	Self  *schema.Member
	Known map[string]Known
}

// Live tells whether a process was heard of within a span.
func (r *Roll) Live(id string, now, span eventloop.Micros) bool {
	known, found := r.Known[id]
	return found && now-known.Heard < span
}

// KeepSelf asks the replicas' table to make our own account durable; it is
// answered with SelfKept.
type KeepSelf struct {
	Self  *schema.StoreIdentity
	Found []string // found the system's group with these
}

// SelfKept answers KeepSelf once the account is durable.
type SelfKept struct{ Self *schema.StoreIdentity }

// Latency is this process's own worst recent delay.
type Latency struct{ Worst eventloop.Micros }

// RefusedLatency is the delay told of a store that takes no writes: no other
// delay is as long, and whoever chooses among stores passes it over.
const RefusedLatency = 3600 * eventloop.Second

// Refuses tells whether a store says of itself that it takes no writes.
func (r *Roll) Refuses(id string) bool {
	member := r.Known[id].Member
	if id == r.Self.GetId() {
		member = r.Self
	}
	return member.GetLatencyUs() >= int64(RefusedLatency)
}

// awaySpan is how long a store may be unheard of and still count as one at hand.
const awaySpan = 2 * eventloop.Second

// CanCommit tells whether enough of a group's voters take writes, as far as is
// known. Who is merely away says nothing by itself (a group without a quorum has
// no leader soon); beside a store that refuses it may leave too few.
func (r *Roll) CanCommit(now eventloop.Micros, voters []string, refuses func(id string) bool) bool {
	refusing, able := 0, 0
	for _, id := range voters {
		switch {
		case refuses(id):
			refusing++
		case id == r.Self.GetId() || r.Live(id, now, awaySpan):
			able++
		}
	}
	return refusing == 0 || able > len(voters)/2
}

// Leaving says that this process was warned.
type Leaving struct{}

// ClusterState tells that this process holds a cluster state, so a system exists.
type ClusterState struct{ Version uint64 }

// Terms are the settings the book goes by.
type Terms struct {
	Seeds  []string
	First  bool   // the whole system starts for the first time
	Losses uint32 // stores that may be lost at once; 0: one
	IsSide bool   // a side machine, which watches the stores

	Zones, Regions uint32            // that may be lost whole
	RegionOf       map[string]string // of each zone
}

// Tolerance is what may be lost at once.
func (t Terms) Tolerance() Tolerance {
	return Tolerance{Machines: int(t.Losses), Zones: int(t.Zones), Regions: int(t.Regions), RegionOf: t.RegionOf}
}

// Founders is how many stores the group is founded with if there are so many,
// and how many voters each group is to have: a majority outlives the losses.
func (t Terms) Founders() int { return t.Tolerance().Voters() }
