package membership

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// WritesRefusedLatency is the latency that a storage node reports if it accepts no writes. No
// measured latency is as long, so whoever chooses among nodes by latency avoids it.
const WritesRefusedLatency = 3600 * eventloop.Second

// awayTimeout is the time without a heartbeat after which a voter doesn't count as writable.
const awayTimeout = 2 * eventloop.Second

// MemberStatus is a member and when it was last heard of, directly or by others' gossip.
type MemberStatus struct {
	Member    *schema.Member
	LastHeard eventloop.Micros
}

// View is a snapshot of the members for the other components of the process. It is shared
// and not to be changed.
type View struct {
	Self    *schema.Member
	Members map[string]MemberStatus // by id, with this process
}

// IsAlive reports whether a member was heard of within a timeout.
func (v *View) IsAlive(id string, now, timeout eventloop.Micros) bool {
	status, found := v.Members[id]
	return found && now-status.LastHeard < timeout
}

// RefusesWrites reports whether a storage node has said that it accepts no writes.
func (v *View) RefusesWrites(id string) bool {
	member := v.Members[id].Member
	if id == v.Self.GetId() {
		member = v.Self
	}
	return member.GetLatencyUs() >= int64(WritesRefusedLatency)
}

// HasWritableQuorum reports whether enough of a group's voters accept writes, as far as is
// known. It is always true if no voter refuses writes: unresponsive voters alone are handled
// by leader election. Together with one that refuses writes they may leave too few.
func (v *View) HasWritableQuorum(now eventloop.Micros, voters []string, refusesWrites func(id string) bool) bool {
	refusing, writable := 0, 0
	for _, id := range voters {
		switch {
		case refusesWrites(id):
			refusing++
		case id == v.Self.GetId() || v.IsAlive(id, now, awayTimeout):
			writable++
		}
	}
	return refusing == 0 || writable > len(voters)/2
}
