package mutation

// The guards of docs/control/changes.md.
func init() {
	const raft, state, gateway, replica, storage = "internal/raft", "internal/clusterstate", "internal/gateway", "internal/replica", "internal/storage"
	Mutants = append(Mutants, []*Mutant{
		{Guard: "a large record goes in parts", Test: "internal/raft TestLargeRecordsOverASlowLink",
			Edits: []Edit{{raft, "	if size > g.window(p) {\n", "	if false {\n"}}},
		{Guard: "a large snapshot goes in parts", Test: "internal/raft TestCheckpointOverASlowLink",
			Edits: []Edit{{raft, "	if len(g.base.Data) > g.window(p) {\n", "	if false {\n"}}},
		{Guard: "what is on its way to a replica is bounded", Test: "internal/raft TestLargeRecordsOverASlowLink",
			Edits: []Edit{{raft, "return p.next <= p.match+maxFlight && bytes > 0", "return p.next <= p.match+maxFlight"}}},
		{Guard: "a window grows only while answers come fast", Test: "internal/raft TestCheckpointOverASlowLink",
			Edits: []Edit{{raft, "	case p.roundTrip == 0 || onLink > g.share():\n		p.window = 0\n", ""}}},
		{Guard: "only progress sends the next part", Test: "internal/raft TestCheckpointOverASlowLink",
			Edits: []Edit{{raft, "	case int(m.Held) > t.held && int(m.Held) <= len(t.payload):", "	case int(m.Held) <= len(t.payload):"}}},
		{Guard: "a part isn't sent again while it may wait at the link", Test: "internal/raft TestCheckpointOverASlowLink",
			Edits: []Edit{{raft, "		if now-t.sentAt > g.times.ElectionLeast {\n", "		if true {\n"}}},
		{Guard: "half an installation isn't gone on with after a restart", Test: "internal/raft TestInterruptedInstallation",
			Edits: []Edit{{raft, "	case isOther && m.Offset > 0:\n", "	case isOther && m.Offset > m.Size:\n"}}},
		{Guard: "a whole is taken when all of it is there", Test: "internal/raft TestCheckpointOverASlowLink",
			Edits: []Edit{{raft, "	if a.isDone || held < m.Size {\n", "	if a.isDone {\n"}}},
		{Guard: "a snapshot older than what is committed changes nothing", Test: "internal/raft TestALateCheckpointTakesNothingBack",
			Edits: []Edit{{raft, "	if point.Index <= g.commit {\n", "	if false {\n"}}},
		{Guard: "a restarted replica learns from the heartbeat what is committed", Test: "internal/raft TestARestartedReplicaInAQuietGroup",
			Edits: []Edit{{raft, "		g.matched = max(g.matched, m.Commit)\n", ""}}},
		{Guard: "a record is the committed one by its term too", Test: "internal/raft TestARestartedReplicaInAQuietGroup",
			Edits: []Edit{{raft, " && g.termAt(m.Commit) == m.CommitTerm {", " {"}}},
		{Guard: "the log is let go by its bytes", Test: "internal/replica TestHundredsOfLargeChanges",
			Edits: []Edit{{replica, "record.Index-g.Base() <= stateLogRecords && r.logBytes <= max(stateLogBytes, g.BaseBytes())", "record.Index-g.Base() <= stateLogRecords"}}},
		{Guard: "a replica that lags feeds nobody", Test: "internal/replica TestWhoLagsFeedsNobody",
			Edits: []Edit{{raft, "m.Sure && g.applied >= m.Commit && each.round == m.Heard", "m.Sure && each.round == m.Heard"}}},
		{Guard: "rows that may be on their way aren't sent again", Test: "internal/replica TestRowsOnTheirWay",
			Edits: []Edit{{replica, "	if last.generation == plan.Generation && now < last.until {\n", "	if last.generation == plan.Generation && now < last.until && false {\n"}}},
		{Guard: "a copy without the plan is taken by who holds it", Test: "internal/clusterstate TestCopiesOnTheirWay",
			Edits: []Edit{{state, "	case tell.PlanHeld:\n", "	case tell.PlanHeld && false:\n"}}},
		{Guard: "a life never goes back to an older copy", Test: "internal/gateway TestCopiesOfTheClusterState",
			Edits: []Edit{{gateway, "	if state != nil && state.Version >= t.state.Version {\n", "	if state != nil {\n"}}},
		{Guard: "a large request isn't sent again while it may be on its way", Test: "internal/gateway TestLargeRequestsAreSentAgainLater",
			Edits: []Edit{{gateway, "now-each.sent > each.retryAfter() ||", "now-each.sent > retrySpan ||"}}},
		{Guard: "a slot is synced before its log is written", Test: "internal/storage TestInterruptedInstallation",
			Edits: []Edit{{storage, "	if err := s.disk.Sync(slotName(next)); err != nil {\n		return err\n	}\n", ""}}},
	}...)
}
