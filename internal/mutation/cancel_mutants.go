package mutation

// These guards keep a submission that is delivered late from running a job whose cancel was
// answered; see docs/incidents/late-submissions.md.
func init() {
	Mutants = append(Mutants, []*Mutant{
		{Guard: "a cancel bars later submissions of its name", Test: "internal/sim TestNoStartAfterCancelOfUnknownJob", Edits: []Edit{{"internal/queue",
			"case !found && m.cancelledNames.bars(e.Name, e.Tenant):", "case false:"}}},
		{Guard: "cancelled names are part of the snapshot", Test: "internal/queue TestCancelBarsLaterSubmissions", Edits: []Edit{{"internal/queue",
			"	for _, cancelled := range snapshot.CancelledNames {\n		m.cancelledNames.add(cancelled)\n	}\n", ""}}},
		{Guard: "a cancel bars the name of a live job too", Test: "internal/queue TestCancelBarsLaterSubmissions", Edits: []Edit{{"internal/queue",
			"if !m.barName(c) && j == nil {", "if j == nil && !m.barName(c) {"}}},
		{Guard: "a repeated cancel bars its name for the whole time again", Test: "internal/queue TestCancelBarsLaterSubmissions", Edits: []Edit{{"internal/queue",
			"		if latest != cancelled {", "		if false {"}}},
		{Guard: "a cancel bars its own tenant's submissions alone", Test: "internal/queue TestCancelBarsLaterSubmissions", Edits: []Edit{{"internal/queue",
			"if !IsOtherTenant(cancelled.Tenant, tenant) {", "if true || !IsOtherTenant(cancelled.Tenant, tenant) {"}}},
		{Guard: "a cancel that can't be remembered isn't answered", Test: "internal/queue TestCancelledNamesAreBounded", Edits: []Edit{{"internal/queue",
			"		m.effects.CancelCode = http.StatusServiceUnavailable\n		return\n", ""}}},
		{Guard: "cancelled names are forgotten after their time", Test: "internal/queue TestCancelBarsLaterSubmissions", Edits: []Edit{{"internal/queue",
			"	m.cancelledNames.forget(m.now)\n", ""}}},
		{Guard: "replicas apply a cancel by the version in their settings", Test: "internal/queue TestCommandVersion", Edits: []Edit{{"internal/queue",
			"return m.settings.CommandVersion >= commandVersionCancelledNames", "return true"}}},
		{Guard: "a command version never falls", Test: "internal/queue TestCommandVersion", Edits: []Edit{{"internal/queue",
			"	settings.CommandVersion = max(settings.CommandVersion, m.settings.CommandVersion)\n", ""}}},
		{Guard: "a command version is raised once all members support it", Test: "internal/replica TestCancelRulesWaitForAllMembers", Edits: []Edit{{"internal/replica",
			" && !h.allMembersSupport(r, queue.CommandVersion) {", " && false {"}}},
		{Guard: "a gateway gives up a submission before the queue forgets a cancel", Test: "internal/gateway TestStaleSubmissionIsAbandoned", Edits: []Edit{{"internal/gateway",
			"now-s.unconfirmed[0].numberedAt > maxUnconfirmedAge", "false"}}},
		{Guard: "a leader that hasn't applied its log reports no status", Test: "internal/replica TestNewLeaderReportsNoStatus", Edits: []Edit{{"internal/replica",
			"r.group.IsLeader() && r.group.FreshAsOf() > 0 {", "r.group.IsLeader() {"}}},
		{Guard: "a submission stays with the queue that it was for", Test: "internal/gateway TestSubmissionsStayWithTheirQueue", Edits: []Edit{{"internal/gateway",
			"placement.GetGeneration() != g.sessions[key].generation {", "placement == nil {"}}},
		{Guard: "a submission whose deadline has passed isn't numbered", Test: "internal/gateway TestCallsOfAnsweredClientsTakeNoEffect", Edits: []Edit{{"internal/gateway",
			"m SubmitJob, isConfirmed bool, effects eventloop.Effects) {\n	if hasPassed(now, m.Deadline) {", "m SubmitJob, isConfirmed bool, effects eventloop.Effects) {\n	if false {"}}},
		{Guard: "a call that waits for the newest configuration is dropped with its client", Test: "internal/gateway TestCallsOfAnsweredClientsTakeNoEffect", Edits: []Edit{{"internal/gateway",
			"	g.confirmation.forget(id)\n", ""}}},
	}...)
}
