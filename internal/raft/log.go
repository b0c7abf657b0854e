package raft

// The log of a replica: what it holds, appends and releases.

import (
	"sparnotch/internal/schema"
)

func (g *Group) lastIndex() uint64 { return g.base.Index + uint64(len(g.log)) }

func (g *Group) lastTerm() uint64 { return g.termAt(g.lastIndex()) }

func (g *Group) lastAt() int64 {
	return g.atOf(g.lastIndex())
}

func (g *Group) atOf(index uint64) int64 {
	if index == g.base.Index {
		return g.base.TimeUs
	}
	return g.log[index-g.base.Index-1].TimeUs
}

func (g *Group) termAt(index uint64) uint64 {
	switch {
	case index == g.base.Index:
		return g.base.Term
	case index < g.base.Index || index > g.lastIndex():
		return 0
	}
	return g.log[index-g.base.Index-1].Term
}

func (g *Group) between(low, high uint64) []*schema.Entry {
	return g.log[low-g.base.Index : high-g.base.Index]
}

// put appends records, replacing whatever stood from the first one on.
func (g *Group) put(records []*schema.Entry) {
	first := records[0].Index
	if first <= g.commit {
		panic("raft: a committed record would be replaced in " + g.name)
	}
	// The log is long and member sets are rare: it is looked through only when one
	// may have come or gone.
	isMemberSet := first <= g.memberSetAt
	for _, record := range records {
		isMemberSet = isMemberSet || record.Kind == schema.EntryKind_ENTRY_MEMBER_SET
	}
	if first <= g.lastIndex() {
		g.log = g.log[: first-g.base.Index-1 : first-g.base.Index-1]
		if g.stable >= first {
			g.stable = first - 1
		}
	}
	g.log = append(g.log, records...)
	g.out.Changes = append(g.out.Changes, &schema.StoreChange{Group: g.name, Entries: records})
	if isMemberSet {
		g.findMemberSet()
	}
}

// Release lets the log go up to a checkpoint of the machine.
func (g *Group) Release(index uint64, data []byte) {
	if index <= g.base.Index || index > g.applied {
		return
	}
	point := &schema.Snapshot{Index: index, Term: g.termAt(index), MemberSet: g.memberSetUnder(index), Data: data, TimeUs: g.atOf(index)}
	g.log = append([]*schema.Entry(nil), g.log[index-g.base.Index:]...)
	g.base = point
	g.out.Changes = append(g.out.Changes, &schema.StoreChange{Group: g.name, Snapshot: point})
}
