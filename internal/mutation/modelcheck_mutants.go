package mutation

// Most mutants of these guards are killed only by the model checker; see docs/control/model.md.
func init() { Mutants = append(Mutants, modelMutants...) }

const (
	everySchedule = "internal/modelcheck TestEverySchedule"
	walks         = "internal/modelcheck TestWalks"
)

var modelMutants = []*Mutant{
	{Guard: "a learner's replica counts in no quorum", Rule: 1, Test: walks, Edits: []Edit{{"internal/raft",
		"	for _, id := range g.memberSet.Voters {\n		if id == g.self || g.peers[id] != nil {",
		"	for _, id := range append(append([]string(nil), g.memberSet.Voters...), g.memberSet.Learners...) {\n		if id == g.self || g.peers[id] != nil {"}}},
	{Guard: "membership changes once the leader's term has committed an entry", Rule: 1, Test: walks, Edits: []Edit{{"internal/raft",
		"g.memberSetIndex > g.commit || g.commit < g.noOpIndex", "g.memberSetIndex > g.commit"}}},
	{Guard: "one membership change at a time", Rule: 1, Test: everySchedule, Edits: []Edit{{"internal/raft",
		"g.memberSetIndex > g.commit || g.commit < g.noOpIndex", "g.commit < g.noOpIndex"}}},
	{Guard: "membership changes by one server", Rule: 1, Test: "internal/raft TestSingleServerChange", Edits: []Edit{{"internal/raft",
		"len(added)+len(removed) > 1 {", "len(added)+len(removed) > 9 {"}}},
	{Guard: "a learner catches up before it votes", Rule: 12, Test: walks, Edits: []Edit{{"internal/raft",
		"return p != nil && p.match >= g.memberSetIndex && g.LastIndex()-p.match <= MaxLearnerLag", "return p != nil"}}},
	{Guard: "a vote is durable before it is sent", Rule: 1, Test: everySchedule, Edits: []Edit{{"internal/raft",
		"AfterSync: g.hasUnsyncedHardState()", "AfterSync: false"}}},
	{Guard: "a term is durable before it is led", Rule: 1, Test: walks, Edits: []Edit{{"internal/raft",
		"case g.role == candidate && !g.hasUnsyncedHardState():", "case g.role == candidate:"}}},
	{Guard: "one vote a term", Rule: 1, Test: walks, Edits: []Edit{{"internal/raft",
		"g.isUpToDate(m) && (g.vote == \"\" || g.vote == from)", "g.isUpToDate(m)"}}},
	{Guard: "votes go to the more up-to-date log", Rule: 1, Test: walks, Edits: []Edit{{"internal/raft",
		"m.LastTerm == g.lastTerm() && m.LastIndex >= g.LastIndex()\n", "m.LastTerm == g.lastTerm()\n"}}},
	{Guard: "a read waits for its quorum's round", Rule: 11, Test: everySchedule, Edits: []Edit{{"internal/raft",
		"g.pendingReads[k].round <= round", "g.pendingReads[k].round > 0"}}},
	{Guard: "a new leader's reads wait for its no-op entry", Rule: 11, Test: walks, Edits: []Edit{{"internal/raft",
		"if g.role != leader || g.commit < g.noOpIndex {\n		return g.notLeader()\n	}\n	g.pendingReads", "if g.role != leader {\n		return g.notLeader()\n	}\n	g.pendingReads"}}},
	{Guard: "replicas of an earlier term's entry commit nothing", Rule: 1, Test: everySchedule, Edits: []Edit{{"internal/raft",
		"index > g.commit && g.termAt(index) == g.term", "index > g.commit"}}},
	{Guard: "matching entries aren't truncated", Rule: 1, Test: walks, Edits: []Edit{{"internal/raft",
		"		if entry.Index > g.LastIndex() || g.termAt(entry.Index) != entry.Term {\n			g.truncateAndAppend", "		if entry.Index > g.snapshot.Index {\n			g.truncateAndAppend"}}},
	{Guard: "a follower commits only entries that match its leader's", Rule: 1, Test: everySchedule, Edits: []Edit{{"internal/raft",
		"	g.commitTo(min(m.Commit, g.matchIndex))\n	if m.Wall", "	g.commitTo(min(m.Commit, g.LastIndex()))\n	if m.Wall"}}},
	{Guard: "a sync counts for the entry that was synced", Rule: 1, Test: walks, Edits: []Edit{{"internal/raft",
		"point.Index >= g.snapshot.Index && g.termAt(point.Index) == point.Term", "point.Index >= g.snapshot.Index && point.Index <= g.LastIndex()"}}},
	{Guard: "a snapshot replaces a log that differs", Rule: 1, Test: walks, Edits: []Edit{{"internal/raft",
		"Snapshot: snapshot, ReplacesLog: !keepsTail}", "Snapshot: snapshot}"}}},
	{Guard: "a new disk has a new identity", Rule: 1, Test: walks, Edits: []Edit{{"internal/modelcheck",
		"return fmt.Sprintf(\"%c%d\", 'a'+index, incarnation)", "return fmt.Sprintf(\"%c%d\", 'a'+index, 0*incarnation)"}}},
	{Guard: "a restarted replica honours the leader lease", Rule: 2, Test: "internal/raft TestRestartedReplicaHonoursLeaderLease", Edits: []Edit{{"internal/raft",
		"return hasLeader || now < g.formerLeaseExpiry", "return hasLeader"}}},
	// The same edit is also a mutant that a test kills. Here a scenario must kill it.
	{Guard: "the leases of a former scheduler are waited for", Rule: 2, Scenario: "leader, controller and worker lost at once", Seed: 1, Edits: []Edit{{"internal/scheduler",
		"lastGrantAt := max(w.runLeaseGrantedAt, w.leaseSince+timing.FromBounds(s.bounds).FormerLeaseTimeout)", "lastGrantAt := w.runLeaseGrantedAt"}}},
	{Guard: "an accepted version is recognised again", Rule: 11, Test: walks, Edits: []Edit{{"internal/clusterstate",
		"accepted.Version == version && bytes.Equal(accepted.Digest, digest) {", "accepted.Version > version && bytes.Equal(accepted.Digest, digest) {"}}},
}
