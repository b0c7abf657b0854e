package mutation

// replaceMutants remove the guards that make replacing the configuration an idempotent
// compare-and-set; see docs/control/replace.md.
var replaceMutants = []*Mutant{
	{Guard: "a repeated replace is recognised", Rule: 11, Test: "internal/sim TestReplaceIsLinearizable", Edits: []Edit{{"internal/clusterstate",
		"			return true\n		}\n	}\n	return false\n}\n\n// oldestRememberedRevision", "			return false\n		}\n	}\n	return false\n}\n\n// oldestRememberedRevision"}}},
	{Guard: "more than the last replace is remembered", Rule: 11, Test: "platform TestReplaceOverHTTP", Edits: []Edit{{"internal/clusterstate",
		"	if len(m.state.AcceptedVersions) > maxRememberedUpdates {", "	if len(m.state.AcceptedVersions) > 1 {"}}},
	{Guard: "a replace is recognised by its content", Rule: 11, Test: "internal/sim TestReplaceIsLinearizable", Edits: []Edit{{"internal/clusterstate",
		"accepted.Version == version && bytes.Equal(accepted.Digest, digest)", "accepted.Version == version && (version > 0 || bytes.Equal(accepted.Digest, digest))"}}},
	{Guard: "accepted versions are part of the snapshot", Rule: 11, Test: "internal/clusterstate TestReplaceIsCompareAndSet", Edits: []Edit{{"internal/clusterstate",
		"	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m.state)", "	bare := m.State()\n	bare.AcceptedVersions = nil\n	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(bare)"}}},
	{Guard: "a replace ahead of its base isn't refused", Rule: 11, Test: "internal/sim TestReplaceIsLinearizable", Edits: []Edit{{"internal/clusterstate",
		"Result{Code: http.StatusServiceUnavailable, Error", "Result{Code: http.StatusPreconditionFailed, Error"}}},
	{Guard: "a replace ahead of its base isn't applied", Rule: 11, Test: "platform TestReplaceOverHTTP", Edits: []Edit{{"internal/clusterstate",
		"return r.number > r.current }", "return false }"}}},
	{Guard: "the same patch on another base is another update", Rule: 11, Test: "internal/clusterstate TestPatchIsCompareAndSet", Edits: []Edit{{"internal/clusterstate",
		"	fmt.Fprintf(hash, \"\\npatch of %d\\n\", update.BaseVersion)\n", ""}}},
	{Guard: "a replaced route loses the settings that it isn't given again", Test: "platform TestModifyOverHTTP", Edits: []Edit{{"platform",
		"addItem(update, \"queue\", field+\".name\"", "addItem(&schema.ConfigurationUpdate{}, \"queue\", field+\".name\""}}},
	{Guard: "accelerators of runs that aren't known here are taken", Rule: 6, Test: "internal/scheduler TestReportedAccelerators", Edits: []Edit{{"internal/scheduler",
		"return resources{status.CoresMilli, status.MemoryMb, status.Accelerators}", "return resources{status.CoresMilli, status.MemoryMb, 0}"}}},
	{Guard: "a forgotten replace isn't refused", Rule: 11, Test: "internal/clusterstate TestLateUpdates", Edits: []Edit{{"internal/clusterstate",
		"	if !remembered {", "	if false {"}}},
	{Guard: "a response belongs to the entry of its term", Rule: 11, Test: "internal/replica TestRepliesMatchEntryTerm", Edits: []Edit{{"internal/replica",
		"	isPending = isPending && pending.term == entry.Term\n", ""}}},
	{Guard: "a replace is answered after it was applied", Rule: 11, Test: "internal/sim TestReplaceIsLinearizable", Edits: []Edit{{"internal/replica",
		"		r.addWaitingUpdate(waitingUpdate{caller, update})\n",
		"		r.addWaitingUpdate(waitingUpdate{caller, update})\n		copied, _ := clusterstate.Restore(h.stateMachine.Snapshot())\n		result, _ := copied.Apply(0, caller.request.Body)\n		h.replyClusterStateResult(caller, result, effects)\n"}}},
	{Guard: "the configuration is read through its leader", Rule: 11, Test: "internal/sim TestReplaceIsLinearizable", Edits: []Edit{{"internal/replica",
		"	if r == nil || !r.group.IsLeader() || r.group.Transferee() != \"\" {\n		effects.Send(from, &schema.Response{Id: m.Id, Group: m.Group, Leader: currentLeader(r)})",
		"	if r != nil && m.Kind == \"plan\" {\n		h.reply(pendingReply{from: from, request: m}, 200, configurationJSON(h.stateMachine.Configuration()), effects)\n		return\n	}\n	if r == nil || !r.group.IsLeader() || r.group.Transferee() != \"\" {\n		effects.Send(from, &schema.Response{Id: m.Id, Group: m.Group, Leader: currentLeader(r)})"}}},
	{Guard: "a new leader reads when it has committed in its own term", Rule: 11, Test: "internal/sim TestReadsOfNewLeader", Edits: []Edit{{"internal/raft",
		"	if g.role != leader || g.commit < g.noOpIndex {\n		return g.notLeader()", "	if g.role != leader {\n		return g.notLeader()"}}},
	{Guard: "no two incarnations share a request ID", Rule: 11, Test: "internal/process TestRequestIDsAcrossIncarnations", Edits: []Edit{{"internal/process",
		"	n.lastRequestID.Store(n.Member.Incarnation << incarnationShift)\n", ""}}},
	{Guard: "a full gateway refuses no replace", Test: "platform TestOperatorCalls", Edits: []Edit{{"platform",
		"	if response.Code == http.StatusTooManyRequests {", "	if false {"}}},
	{Guard: "a truncated body refuses no replace", Test: "platform TestOperatorCalls", Edits: []Edit{{"platform",
		"	case errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &broken):", "	case errors.As(err, &broken) && false:"}}},
}

func init() { Mutants = append(Mutants, replaceMutants...) }
