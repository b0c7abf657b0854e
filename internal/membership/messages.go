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
	Self  *schema.Self
	Found []string // found the system's group with these
}

// SelfKept answers KeepSelf once the account is durable.
type SelfKept struct{ Self *schema.Self }

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
}

// Founders is how many stores the group is founded with if there are so many,
// and how many voters each group is to have: a majority outlives the losses.
func (t Terms) Founders() int { return 2*int(max(t.Losses, 1)) + 1 }
