package modelcheck

import (
	"maps"
	"slices"

	"sparnotch/internal/storage"
)

// ghost is the checker's own knowledge of a run, the ghost state of a proof: no machine sees
// it, the invariants compare what machines do with it.
type ghost struct {
	leaders         map[uint64]string              // by term
	entries         map[entryID]entryInfo          // every entry that any log ever held
	committed       []entryInfo                    // by index - 1
	committedInTerm []uint64                       // the leader's term at the first commit, by index - 1
	states          map[uint64]uint64              // digest of the state machine by applied index
	votes           map[voterTerm]string           // candidates by voter and term, as sent
	wipedLogs       map[string]*storage.GroupState // what a wiped disk held, by store ID
	maxKnownVersion uint64                         // highest configuration version that an operator has seen
	checksum        uint64                         // of the entries, votes and leaders, for fingerprints
}

// entryID is a place in the logs: by log matching it determines the entry.
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
