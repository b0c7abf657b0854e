package mutation

// replaceMutants are the guards that make replacing the plan a compare-and-set
// whose orders may be sent again; see docs/control/replace.md.
var replaceMutants = []*Mutant{
	{Guard: "what was taken is known again", Rule: 11, Test: "internal/sim TestReplaceIsLinearizable", Edits: []Edit{{"internal/clusterstate",
		"			return true\n		}\n	}\n	return false\n}\n\n// oldestRememberedRevision", "			return false\n		}\n	}\n	return false\n}\n\n// oldestRememberedRevision"}}},
	{Guard: "more than the last change is remembered", Rule: 11, Test: "platform TestReplaceOverHTTP", Edits: []Edit{{"internal/clusterstate",
		"	if len(m.state.AcceptedVersions) > maxRememberedUpdates {", "	if len(m.state.AcceptedVersions) > 1 {"}}},
	{Guard: "an order is known by its content", Rule: 11, Test: "internal/sim TestReplaceIsLinearizable", Edits: []Edit{{"internal/clusterstate",
		"applied.Version == version && bytes.Equal(applied.Digest, digest)", "applied.Version == version && (version > 0 || bytes.Equal(applied.Digest, digest))"}}},
	{Guard: "what was taken is part of the snapshot", Rule: 11, Test: "internal/clusterstate TestReplaceIsCompareAndSet", Edits: []Edit{{"internal/clusterstate",
		"	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m.state)", "	bare := m.State()\n	bare.AcceptedVersions = nil\n	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(bare)"}}},
	{Guard: "an order ahead of its base isn't refused", Rule: 11, Test: "internal/sim TestReplaceIsLinearizable", Edits: []Edit{{"internal/clusterstate",
		"Result{Code: http.StatusServiceUnavailable, Error", "Result{Code: http.StatusPreconditionFailed, Error"}}},
	{Guard: "an order ahead of its base isn't taken", Rule: 11, Test: "platform TestReplaceOverHTTP", Edits: []Edit{{"internal/clusterstate",
		"	if update.BaseVersion > current.Version {", "	if false {"}}},
	{Guard: "what is forgotten isn't refused", Rule: 11, Test: "internal/clusterstate TestLateUpdates", Edits: []Edit{{"internal/clusterstate",
		"	if !remembered {", "	if false {"}}},
	{Guard: "an answer belongs to the record of its term", Rule: 11, Test: "internal/replica TestRepliesMatchEntryTerm", Edits: []Edit{{"internal/replica",
		"	isPending = isPending && pending.term == entry.Term\n", ""}}},
	{Guard: "an order is answered when it was applied", Rule: 11, Test: "internal/sim TestReplaceIsLinearizable", Edits: []Edit{{"internal/replica",
		"			r.pendingCommands[index] = pending\n		}\n	default:",
		"			r.pendingCommands[index] = pending\n			copied, _ := clusterstate.Restore(h.clusterState.Snapshot())\n			result, _ := copied.Apply(0, m.Body)\n			h.replyClusterStateResult(pending, result, effects)\n		}\n	default:"}}},
	{Guard: "the plan is read through its leader", Rule: 11, Test: "internal/sim TestReplaceIsLinearizable", Edits: []Edit{{"internal/replica",
		"	if r == nil || !r.group.IsLeader() || r.group.Transferee() != \"\" {\n		effects.Send(from, &schema.Response{Id: m.Id, Group: m.Group, Leader: currentLeader(r)})",
		"	if r != nil && m.Kind == \"plan\" {\n		h.reply(pendingReply{from: from, request: m}, 200, configurationJSON(h.clusterState.Configuration()), effects)\n		return\n	}\n	if r == nil || !r.group.IsLeader() || r.group.Transferee() != \"\" {\n		effects.Send(from, &schema.Response{Id: m.Id, Group: m.Group, Leader: currentLeader(r)})"}}},
	{Guard: "a new leader reads when it has committed in its own term", Rule: 11, Test: "internal/sim TestReadsOfANewLeader", Edits: []Edit{{"internal/raft",
		"	if g.role != leader || g.commit < g.noOpIndex {\n		return g.notLeader()", "	if g.role != leader {\n		return g.notLeader()"}}},
	{Guard: "no two lives share a request's number", Rule: 11, Test: "internal/process TestRequestIDsAcrossIncarnations", Edits: []Edit{{"internal/process",
		"	n.lastRequestID.Store(n.Member.Incarnation << incarnationShift)\n", ""}}},
	{Guard: "a full front refuses no order", Test: "platform TestOperatorCalls", Edits: []Edit{{"platform",
		"	if answer.Code == 429 {", "	if false {"}}},
	{Guard: "a body that was cut refuses no order", Test: "platform TestOperatorCalls", Edits: []Edit{{"platform",
		"	case errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &broken):", "	case errors.As(err, &broken) && false:"}}},
}

func init() { Mutants = append(Mutants, replaceMutants...) }
