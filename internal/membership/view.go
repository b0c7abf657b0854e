package membership

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// WritesRefusedLatency is the latency that a storage node reports if it accepts no writes. It is
// longer than any measured latency, so components that choose nodes by latency avoid the node.
const WritesRefusedLatency = 3600 * eventloop.Second

// awayTimeout is how long after its last heartbeat a voter still counts as accepting writes.
const awayTimeout = 2 * eventloop.Second

// MemberStatus holds a member and the time when it was last heard of, directly or through other
// processes' gossip.
type MemberStatus struct {
	Member    *schema.Member
	LastHeard eventloop.Micros
}

// View is a snapshot of the members that is sent to other components of the process. It is shared
// between components and must not be modified.
type View struct {
	Self    *schema.Member
	Members map[string]MemberStatus // by id; includes this process
}

// IsAlive reports whether a member is known and was heard of within a timeout.
func (v *View) IsAlive(id string, now, timeout eventloop.Micros) bool {
	status, found := v.Members[id]
	return found && now-status.LastHeard < timeout
}

// RefusesWrites reports whether a storage node has announced that it accepts no writes.
func (v *View) RefusesWrites(id string) bool {
	member := v.Members[id].Member
	if id == v.Self.GetId() {
		member = v.Self
	}
	return member.GetLatencyUs() >= int64(WritesRefusedLatency)
}

// HasWritableQuorum reports whether a majority of a group's voters accept writes, as far as is
// known. It returns true if no voter refuses writes, because leader election handles voters that
// are merely unresponsive. If a voter refuses writes, unresponsive voters don't count as accepting
// writes either, because both together may leave no majority.
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
