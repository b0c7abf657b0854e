package mutation

// memberMutants are the guards of membership changes; see docs/control/members.md.
var memberMutants = []*Mutant{
	{Guard: "promotion waits for a caught-up learner", Test: "internal/replica TestPromotionRequiresCaughtUpLearner", Edits: []Edit{
		// Both the replica that gets the request and the group check it.
		{"internal/replica", "		if !canPromote(now, group, m.Promote) {\n			return nil\n		}\n", ""},
		{"internal/raft", "if !slices.Contains(old.Learners, id) || !g.IsCaughtUp(id) {", "if !slices.Contains(old.Learners, id) {"}}},
	{Guard: "an empty learner isn't caught up in a young group", Test: "internal/raft TestLearnerCaughtUp", Edits: []Edit{{"internal/raft",
		"p.match >= g.memberSetIndex && g.LastIndex()-p.match <= MaxLearnerLag", "g.LastIndex()-p.match <= MaxLearnerLag"}}},
	{Guard: "a learner isn't counted", Test: "internal/raft TestLearnersAreNotInQuorum", Edits: []Edit{{"internal/raft",
		"	var values []uint64\n	for _, id := range g.memberSet.Voters {\n", "	var values []uint64\n	for _, id := range append(g.otherMembers(), g.self) {\n"}}},
	{Guard: "membership changes after a commit in the leader's term", Test: "internal/raft TestMembershipChangeWaitsForCommitInTerm", Edits: []Edit{{"internal/raft",
		"g.memberSetIndex > g.commit || g.commit < g.noOpIndex {", "g.memberSetIndex > g.commit {"}}},
	{Guard: "one membership change is proposed at a time", Test: "internal/raft TestMembershipChangeWaitsForCommitInTerm", Edits: []Edit{{"internal/raft",
		"g.memberSetIndex > g.commit || g.commit < g.noOpIndex {", "g.commit < g.noOpIndex {"}}},
	{Guard: "a wiped disk gets a new identity", Test: "internal/process TestWipedDiskGetsNewIdentity", Edits: []Edit{{"internal/process",
		"		self.Id = newID()\n", "		self.Id = \"store\"\n"}}},
	{Guard: "no membership change lowers the tolerated losses", Test: "internal/replica TestMemberChangesKeepFaultTolerance", Edits: []Edit{{"internal/replica",
		"	if margin < h.toleratedLosses && margin", "	if false && margin"}}},
	{Guard: "a draining node leaves when its successor is a voter", Test: "internal/controller TestDepartingVoter", Edits: []Edit{{"internal/controller",
		"	return &schema.ChangeMembers{Promote: id}\n",
		"	if condition.departing != \"\" && hasAllVoters {\n		return &schema.ChangeMembers{Remove: condition.departing}\n	}\n	return &schema.ChangeMembers{Promote: id}\n"}}},
	{Guard: "a draining node stays until its voter is replaced", Test: "internal/replica TestDrainingNodeStaysUntilReplaced", Edits: []Edit{{"internal/replica",
		"h.isDraining && h.isBeingReplaced(now, r.group, age)", "false && h.isBeingReplaced(now, r.group, age)"}}},
	{Guard: "a learner of an idle group is sent an entry", Test: "internal/raft TestLearnerInIdleGroup", Edits: []Edit{{"internal/raft",
		"g.updatePeers(now, entry.Index)", "g.updatePeers(now, entry.Index+1)"}}},
	{Guard: "a heartbeat creates a missing replica", Test: "internal/replica TestHeartbeatCreatesMissingReplica", Edits: []Edit{{"internal/replica",
		"			r = h.joinGroup(now, heartbeat.GetGroup())\n", ""}}},
	{Guard: "an initial voter that is reached before its bootstrap learns the voters", Test: "internal/raft TestVoterReachedBeforeBootstrap", Edits: []Edit{{"internal/raft",
		"	if p.next == 1 && p.match == 0 {\n", "	if false {\n"}}},
	{Guard: "a replaced store is known by its address though it was forgotten", Test: "internal/controller TestSuccessorOfRemovedMember", Edits: []Edit{{"internal/controller",
		"	previous, found := c.lastLocations[id]\n	if !found || previous.address == \"\" {", "	previous := c.lastLocations[id]\n	if _, found := c.view.Members[id]; !found || previous.address == \"\" {"}}},
	{Guard: "initial voters are spread over regions", Test: "internal/sim TestZonesMayBeLost", Edits: []Edit{{"internal/membership",
		"	if t.Regions == 0 {\n		return SpreadOverZones(zones, count)", "	if true {\n		return SpreadOverZones(zones, count)"}}},
	{Guard: "a repair keeps the spread", Test: "internal/controller TestVoterSpreadOverZones", Edits: []Edit{{"internal/controller",
		"	if leaving == \"\" || !c.canTolerateFailures() {", "	if true {"}}},
	{Guard: "a badly placed voter is moved", Test: "internal/controller TestVoterSpreadOverZones", Edits: []Edit{{"internal/controller",
		"	return c.misplacedVoter(now, status)\n", "	return \"\"\n"}}},
	{Guard: "a repair ends within the catch-up bound", Test: "internal/timing TestTimeouts", Edits: []Edit{{"internal/timing",
		"min(maxReplaceByNewTimeout, catchUp-RepairDuration)", "maxReplaceByNewTimeout"}}},
	{Guard: "a former worker lease is waited for as long as its state may be stale", Test: "internal/timing TestTimeouts", Edits: []Edit{{"internal/timing",
		"timeouts.FormerLeaseTimeout = timeouts.MaxStateAge + MaxLeaderStatusAge", "timeouts.FormerLeaseTimeout = timeouts.MaxStateAge"}}},
}

func init() { Mutants = append(Mutants, memberMutants...) }
