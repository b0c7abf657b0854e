package modelcheck

import (
	"maps"
	"slices"

	"sparnotch/internal/storage"
)

// ghost is the ghost state: what the checker records of a run. No machine sees it; the
// invariants compare the behaviour of the machines with it.
type ghost struct {
	leaders         map[uint64]string              // by term
	entries         map[entryID]entryInfo          // every entry that any log ever held
	committed       []entryInfo                    // by index - 1
	committedInTerm []uint64                       // term of the machine that committed the entry first, by index - 1
	states          map[uint64]uint64              // digest of the state machine by applied index
	votes           map[voterTerm]string           // candidates by voter and term, as sent in messages
	wipedLogs       map[string]*storage.GroupState // last content of wiped disks, by store ID
	maxKnownVersion uint64                         // highest configuration version that an operator has seen
	checksum        uint64                         // checksum of the entries, votes and leaders, for fingerprints
}

// entryID is the index and term of an entry, which by log matching determine the entry.
type entryID struct{ index, term uint64 }

type entryInfo struct{ term, previousTerm, digest uint64 }

type voterTerm struct {
	id   string
	term uint64
}

func newGhost() ghost {
	return ghost{
		leaders: map[uint64]string{}, entries: map[entryID]entryInfo{}, states: map[uint64]uint64{},
		votes: map[voterTerm]string{}, wipedLogs: map[string]*storage.GroupState{},
	}
}

func (g *ghost) clone() ghost {
	c := *g
	c.leaders, c.entries, c.states = maps.Clone(g.leaders), maps.Clone(g.entries), maps.Clone(g.states)
	c.votes, c.wipedLogs = maps.Clone(g.votes), maps.Clone(g.wipedLogs)
	c.committed, c.committedInTerm = slices.Clip(g.committed), slices.Clip(g.committedInTerm)
	return c
}
