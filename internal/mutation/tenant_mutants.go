package mutation

// Guards of the limits of tenants.
func init() { Mutants = append(Mutants, tenantMutants...) }

var tenantMutants = []*Mutant{
	{Guard: "a limit is spent by the leader of all queues alone", Test: "internal/scheduler TestNothingIsPlacedForLimitedTenantsUnlessAllQueuesAreLed", Edits: []Edit{{"internal/scheduler",
		"isUncertain: !p.knowsAllRuns}", "isUncertain: false}"}}},
	// The same seen from the workers: two nodes spend the limit at once.
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
}
