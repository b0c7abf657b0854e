package mutation

func init() { Mutants = append(Mutants, diskMutants...) }

// diskMutants are the guards that a disk in trouble is met with.
var diskMutants = []*Mutant{
	{Guard: "a failed sync is no sync", Test: "internal/storage TestFailedSyncIsNoSync", Edits: []Edit{{"internal/storage",
		"		s.worsen(unsure)\n		return err\n", "		_ = err\n"}}},
	{Guard: "a sync after a failed one proves nothing", Test: "internal/storage TestEachCallFails", Edits: []Edit{{"internal/storage",
		"		s.worsen(unsure)\n", "		s.worsen(torn)\n"}}},
	{Guard: "what was read is written again before it counts", Test: "internal/storage TestFailedSyncIsNoSync", Edits: []Edit{{"internal/storage",
		"	if from < len(data) {\n", "	if false {\n"}}},
	{Guard: "the old log takes nothing once the next slot may stand", Test: "internal/storage TestFailedTurn", Edits: []Edit{{"internal/storage",
		"		if s.turn() != nil {\n			s.condition = unsure\n", "		if s.turn() != nil {\n			s.condition = whole\n"}}},
	{Guard: "a torn tail is cut", Test: "internal/storage TestTornTail", Edits: []Edit{{"internal/storage",
		"		s.worsen(torn)\n", "		s.worsen(whole)\n"}}},
	{Guard: "the log before last makes room for the next slot", Test: "internal/storage TestRoomIsKeptForTheNextSlot", Edits: []Edit{{"internal/storage",
		"	if s.hasFailed && failure == torn {\n", "	if false {\n"}}},
	{Guard: "who can't write doesn't stand", Test: "internal/raft TestReadOnlyReplica", Edits: []Edit{{"internal/raft",
		"	if g.isVoter(g.self) && !g.isReadOnly {\n", "	if g.isVoter(g.self) {\n"}}},
	{Guard: "who can't write takes over from nobody", Test: "internal/raft TestReadOnlyReplica", Edits: []Edit{{"internal/raft",
		"g.role != leader && g.isVoter(g.self) && !g.isReadOnly {", "g.role != leader && g.isVoter(g.self) {"}}},
	{Guard: "nothing is told or voted for while the disk refuses", Test: "internal/replica TestRefusal", Edits: []Edit{{"internal/replica",
		"		t.refused(now, body)\n", "		t.written(now, Written{Number: body.Number}, out)\n"}}},
	{Guard: "a leader whose disk refuses hands over at once", Test: "internal/replica TestRefusal", Edits: []Edit{{"internal/replica",
		"	return t.refuses() || t.writing != nil &&", "	return t.writing != nil &&"}}},
	{Guard: "what waits for a disk that refuses is bounded", Test: "internal/replica TestRefusal", Edits: []Edit{{"internal/replica",
		"	if t.next.bytes-t.next.wholeBytes > pendingBytes {\n", "	if false {\n"}}},
	{Guard: "a batch that was refused is written again", Test: "internal/process TestCommitGoesOn", Edits: []Edit{{"internal/process",
		"			err = r.store.Commit(batch.Changes)\n", "			err = nil\n"}}},
	{Guard: "a disk that refuses doesn't end a start", Test: "internal/process TestStartWithoutAStore", Edits: []Edit{{"internal/process",
		"			if storage.IsForeign(err) {\n", "			if true {\n"}}},
	{Guard: "while most disks refuse hand-ins are turned away", Rule: 0, Scenario: "most disks are full", Seed: 1, Edits: []Edit{{"internal/gateway",
		"	if !t.canCommit(now, m.Queue) {\n", "	if false {\n"}}},
	{Guard: "somebody else's folder is left alone", Test: "internal/storage TestForeignFolders", Edits: []Edit{{"internal/storage",
		"	if err := checkOurs(path); err != nil {\n", "	if err := checkOurs(path); false {\n"}}},
	{Guard: "a command that can't be read isn't proposed", Test: "internal/replica TestUnreadableCommand", Edits: []Edit{{"internal/replica",
		"		if _, err := clusterstate.ReadCommand(m.Body); err != nil {\n", "		if false {\n"}}},
}
