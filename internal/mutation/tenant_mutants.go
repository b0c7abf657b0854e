package mutation

// These guards enforce the limits of tenants.
func init() { Mutants = append(Mutants, tenantMutants...) }

var tenantMutants = []*Mutant{
	{Guard: "a limit is spent by the leader of all queues alone", Test: "internal/scheduler TestNothingIsPlacedForLimitedTenantsUnlessAllQueuesAreLed", Edits: []Edit{{"internal/scheduler",
		"isUncertain: !p.knowsAllRuns,", "isUncertain: false,"}}},
	// The same limits, checked by what the workers run: two nodes could use up a limit at once.
	{Guard: "no two nodes spend a limit", Test: "internal/modelcheck/workerpath TestWalksOfTenants", Edits: []Edit{{"internal/scheduler",
		"	case a.isUncertain:\n		return false\n	case tasks[0].hasOpenCheckout:", "	case tasks[0].hasOpenCheckout:"}, {"internal/scheduler",
		"	case a.isUncertain:\n		return 0\n", ""}, {"internal/scheduler",
		"	if a.isUncertain || a.used != (resources{}) {", "	if a.used != (resources{}) {"}}},
	{Guard: "runs beside what is checked out count for their tenant", Test: "internal/scheduler TestAllThatMayRunCountsForItsTenant", Edits: []Edit{
		{"internal/scheduler", "			w.tenantUse.addRun(s.tenantOfRun(key, status), size)\n", ""},
		{"internal/scheduler", "		w.tenantUse.addRun(status.Tenant, reportedUsage(status))\n", ""}}},
	{Guard: "a run that may be anybody's counts for every tenant", Test: "internal/scheduler TestAllThatMayRunCountsForItsTenant", Edits: []Edit{{"internal/scheduler",
		"	account.used.add(p.tenantUse.unassigned)\n", ""}}},
	{Guard: "reservations count for their tenant", Test: "internal/scheduler TestAllThatMayRunCountsForItsTenant", Edits: []Edit{{"internal/scheduler",
		"		w.tenantUse.add(t.tenant, resourcesOf(t.spec))\n", ""}}},
	{Guard: "a checkout that was given up counts for its tenant", Test: "internal/scheduler TestCheckoutThatWasGivenUpCounts", Edits: []Edit{{"internal/scheduler",
		"			q.addReady(t)\n			q.keepOpenCheckout(t)\n", "			q.addReady(t)\n"}}},
	{Guard: "what a dead or lapsed worker listed counts no longer", Test: "internal/modelcheck/workerpath TestWalksOfTenants", Edits: []Edit{{"internal/scheduler",
		"	w.running, w.unknownRuns, w.isUsageStale = map[attemptKey]*schema.TaskStatus{}, nil, true\n", ""}}},
	{Guard: "a queue that a predecessor may have used isn't new", Test: "internal/scheduler TestQueueThatAPredecessorMayHaveUsedIsNotNew", Edits: []Edit{{"internal/scheduler",
		" || s.knowsAllRunsSince == 0 || now-s.knowsAllRunsSince <= timing.FromBounds(s.bounds).FormerLeaseTimeout {", " || timing.FromBounds(s.bounds).FormerLeaseTimeout == 0 {"}}},
	{Guard: "a wide step claims its tenant's limit", Test: "internal/scheduler TestGangIsNotStarvedByItsOwnTenant", Edits: []Edit{{"internal/scheduler",
		"	s.claimLimits(now, queues, pass)\n", ""}}},
	{Guard: "the limits of removed tenants are kept", Test: "internal/scheduler TestRemovedTenantsLimitOutlivesALeader", Edits: []Edit{{"internal/clusterstate",
		"		FormerTenants: formerTenants(previous, update.Rows),\n", ""}}},
	{Guard: "a leader that hands over holds no lease", Test: "internal/raft TestLeaderLeaseEndsWithATransfer", Edits: []Edit{{"internal/raft",
		"g.role == leader && !g.hasSentTimeoutNow && g.commit", "g.role == leader && g.commit"}}},
	{Guard: "a queue is ended only once no gateway takes its jobs", Test: "internal/controller TestQueueIsRemovedOnlyOnceNoGatewayTakesItsJobs", Edits: []Edit{{"internal/controller",
		"now-since >= c.timeouts.QueueRemovalDelay && ", ""}}},
}
