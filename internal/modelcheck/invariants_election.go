package modelcheck

import (
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
)

// checkDurableBeforeSend checks that a term, and a vote in it, are durable before any message
// contains them, and that no store ID votes for two candidates in a term.
func (w *World) checkDurableBeforeSend(m *machine, sent raft.Message) {
	switch body := sent.Body.(type) {
	case *schema.VoteRequest:
		if !body.PreVote {
			w.checkDurableVote(m, body.Term, m.id)
		}
	case *schema.VoteResponse:
		switch {
		case body.PreVote:
		case body.Granted:
			w.checkDurableVote(m, body.Term, sent.To)
		default:
			w.checkDurableTerm(m, body.Term)
		}
	case interface{ GetTerm() uint64 }:
		w.checkDurableTerm(m, body.GetTerm())
	}
}

func (w *World) checkDurableTerm(m *machine, term uint64) {
	if m.durableHardState().Term < term {
		w.fail("durability: %s sends term %d, which isn't durable", m.id, term)
	}
}

func (w *World) checkDurableVote(m *machine, term uint64, candidate string) {
	w.checkDurableTerm(m, term)
	if hard := m.durableHardState(); hard.Term == term && hard.Vote != candidate {
		w.fail("durability: %s sends its vote for %s in term %d, which isn't durable", m.id, candidate, term)
	}
	w.recordVote(m.id, term, candidate)
}

// recordVote records a vote, and checks that the voter votes for no other candidate in the
// term.
func (w *World) recordVote(id string, term uint64, candidate string) {
	key := voterTerm{id, term}
	known, isKnown := w.votes[key]
	if isKnown && known != candidate {
		w.fail("votes: %s votes for %s and for %s in term %d", id, known, candidate, term)
	}
	if !isKnown {
		w.mutableGhost().votes[key] = candidate
		w.checksum += hashValues("vote "+id, candidate, term)
	}
}

// checkLeader checks that a new leader is the only one of its term (election safety), has the
// votes of a majority of the voters that it knows, has made its term durable, and holds all
// entries committed in earlier terms (leader completeness).
func (w *World) checkLeader(m *machine) {
	if m.group == nil || !m.group.IsLeader() {
		return
	}
	term := m.group.Term()
	known, isKnown := w.leaders[term]
	if isKnown && known != m.id {
		w.fail("election safety: %s and %s lead term %d", known, m.id, term)
	}
	if isKnown {
		return
	}
	w.mutableGhost().leaders[term] = m.id
	w.checksum += hashValues("leader", m.id, term)
	w.recordVote(m.id, term, m.id)
	voters := membershipBefore(m.log, m.group.NoOpIndex()).GetVoters()
	if votes := w.countVotes(voters, term, m.id); votes < majority(voters) {
		w.fail("election: %s leads term %d with only %d votes of the voters %v", m.id, term, votes, voters)
	}
	if m.durableHardState().Term < term {
		w.fail("durability: %s leads term %d, which isn't durable", m.id, term)
	}
	for k, entry := range w.committed {
		if w.committedInTerm[k] < term && !containsEntry(m.log, uint64(k+1), entry.term) {
			w.fail("leader completeness: %s leads term %d without entry %d of term %d", m.id, term, k+1, entry.term)
			return
		}
	}
}

func (w *World) countVotes(voters []string, term uint64, candidate string) int {
	votes := 0
	for _, id := range voters {
		if w.votes[voterTerm{id, term}] == candidate {
			votes++
		}
	}
	return votes
}

// checkLeaderLease checks, in worlds with a shared clock, that at most one leader holds its
// lease. It is called only when time has passed, since during a leadership transfer both
// leaders may hold a lease at the same instant: the order of events within an instant can't
// be observed.
func (w *World) checkLeaderLease() {
	if !w.limits.SharedClock {
		return
	}
	holder := ""
	for _, m := range w.machines {
		if m.group == nil || !m.group.HoldsLeaderLease(m.clock) {
			continue
		}
		if holder != "" {
			w.fail("lease: %s and %s hold the leader lease at once", holder, m.id)
		}
		holder = m.id
	}
}
