package replica

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
)

// Refused comes from the storage when the batch that is out couldn't be written.
// It is tried again until it lasts; nothing that waits for it is told before.
type Refused struct {
	Number uint64
	Why    string
}

// refusal is since when the store has taken no writes, and why.
type refusal struct {
	at  eventloop.Micros
	why string
}

const (
	pendingBytes = 8 << 20 // of records and checkpoints that may gather while the store takes nothing
	pendingPosts = 4096    // messages that may wait for it
)

// refuses tells whether the store takes no writes.
func (t *Table) refuses() bool { return t.refusal.at > 0 }

// refusalText is why the store takes no writes, empty if it does.
func (t *Table) refusalText(now eventloop.Micros) string {
	if !t.refuses() && t.isStalled(now) {
		return fmt.Sprintf("no answer for %v", (now - t.began).Duration().Round(time.Millisecond))
	}
	return t.refusal.why
}

// refused takes note that the store takes no writes: no replica here stands, and
// every group led here goes to another at once.
func (t *Table) refused(now eventloop.Micros, m Refused) {
	if t.writing == nil || m.Number != t.number || t.refuses() {
		return
	}
	t.refusal = refusal{at: now, why: m.Why}
	t.setWritable(false)
	for _, name := range t.names() {
		if r := t.groups[name]; r.group.IsLeader() {
			t.passOn(now, r)
		}
	}
}

// accepted takes note that a write and its sync have succeeded.
func (t *Table) accepted() {
	if t.refuses() {
		t.refusal = refusal{}
		t.setWritable(true)
	}
}

func (t *Table) setWritable(isWritable bool) {
	for _, r := range t.groups {
		r.group.SetWritable(isWritable)
	}
}

// isStalled tells whether the store takes no writes, or has one out for too long.
func (t *Table) isStalled(now eventloop.Micros) bool {
	return t.refuses() || t.writing != nil && now-t.began > stallSpan
}

// isRefusing tells whether a store is known to take no writes.
func (t *Table) isRefusing(id string) bool {
	if id == t.id {
		return t.refuses()
	}
	return t.roll != nil && t.roll.RefusesWrites(id)
}

// canCommit tells whether enough of a group's voters take writes, as far as is
// known here.
func (t *Table) canCommit(now eventloop.Micros, r *replica) bool {
	return t.roll == nil || t.roll.HasWritableQuorum(now, r.group.MemberSet().Voters, t.isRefusing)
}

// canElectAnother tells whether the other voters at hand can elect one of them
// without us: our own vote can't last. Were they too few, handing over would
// only cost the reads that are still answered here.
func (t *Table) canElectAnother(now eventloop.Micros, r *replica) bool {
	voters, able := r.group.MemberSet().Voters, 0
	for _, id := range voters {
		if id != t.id && t.isFit(now, r, id) && !t.isRefusing(id) {
			able++
		}
	}
	return able > len(voters)/2
}

// heir is a voter that can take a group over, one whose store takes writes if
// there is one.
func (t *Table) heir(now eventloop.Micros, r *replica) string {
	heir := ""
	for _, id := range r.group.MemberSet().Voters {
		if id == t.id || !t.isFit(now, r, id) {
			continue
		}
		if heir == "" || t.isRefusing(heir) || !t.isRefusing(id) {
			heir = id
		}
	}
	return heir
}

// bound keeps what gathers for a store that takes nothing within limits: groups'
// changes become their whole state, and the oldest messages go, as on a network
// that loses some.
func (t *Table) bound(now eventloop.Micros) {
	if t.writing == nil || !t.isStalled(now) {
		return
	}
	if over := len(t.next.posts) - pendingPosts; over > 0 {
		t.next.posts = append([]raft.Message(nil), t.next.posts[over:]...)
	}
	if t.next.bytes-t.next.wholeBytes > pendingBytes {
		t.condense()
	}
}

// condense replaces the changes that wait by fewer with the same outcome.
func (t *Table) condense() {
	groups := map[string]bool{}
	var list []*schema.StoreChange
	for _, change := range t.next.changes {
		if change.Identity != nil {
			list = []*schema.StoreChange{{Identity: change.Identity}}
		}
		if change.Group != "" {
			groups[change.Group] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		if r := t.groups[name]; r != nil {
			list = append(list, r.group.FullState())
		} else {
			list = append(list, &schema.StoreChange{Group: name, Removed: true})
		}
	}
	t.next.changes = list
	t.next.bytes = bytesOf(list)
	t.next.wholeBytes = t.next.bytes
}

// bytesOf is how much records and checkpoints hold, each counted a little more
// than its data.
func bytesOf(changes []*schema.StoreChange) int {
	const overhead = 64
	size := 0
	for _, change := range changes {
		size += overhead + len(change.Snapshot.GetData())
		for _, record := range change.Entries {
			size += overhead + len(record.Data)
		}
	}
	return size
}
