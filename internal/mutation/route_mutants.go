package mutation

// These guards keep the jobs of a route together when its name changes; see docs/control/routes.md.
func init() {
	Mutants = append(Mutants, []*Mutant{
		{Guard: "a renamed route keeps its queue", Test: "platform TestRenamedRouteKeepsItsJobs", Edits: []Edit{{"internal/replica",
			"Update: h.stateMachine.AssignNames(first.update)}", "Update: first.update}"}}},
		{Guard: "clients find their jobs while routes are renamed", Rule: 1, Size: "small-called", Scenario: "routes get other names while leaders are lost", Seed: 1, Edits: []Edit{{"internal/replica",
			"Update: h.stateMachine.AssignNames(first.update)}", "Update: first.update}"}}},
		{Guard: "a patch removes a route by its name, not by its queue's", Test: "internal/clusterstate TestRenamedRouteKeepsItsQueue", Edits: []Edit{{"internal/clusterstate",
			"	assigned.Removed = assignRemoved(update.Removed, map[string]map[string]string{\"queue\": queues.byLabel, \"tenant\": tenants.byLabel})\n", ""}}},
		{Guard: "a name that moves to another route gets another queue", Test: "internal/clusterstate TestMovedNameGetsAnotherQueue", Edits: []Edit{{"internal/clusterstate",
			"	for k := 0; a.isTaken[name]; k++ {", "	for k := 0; k < 0; k++ {"}}},
		{Guard: "the route of a queue that isn't configured is remembered", Test: "internal/clusterstate TestRenamedRouteKeepsItsQueue", Edits: []Edit{{"internal/clusterstate",
			"	m.addFormerQueues(previous)\n", ""}}},
		{Guard: "a snapshot of an older version gets the routes of its former queues", Test: "internal/clusterstate TestQueuesOfOlderVersions", Edits: []Edit{{"internal/clusterstate",
			"	m.completeFormerQueues()\n	return m, nil", "	return m, nil"}}},
		{Guard: "an assigned patch is recognized when it is sent again", Test: "internal/clusterstate TestRetriedPatchOfRenamedRoute", Edits: []Edit{{"internal/clusterstate",
			"		assigned.SubmittedDigest = digest\n", ""}}},
		{Guard: "an update of an older process keeps queues that have other names than their routes", Test: "internal/clusterstate TestQueuesOfOlderVersions", Edits: []Edit{{"internal/clusterstate",
			"update.NamesAreLabels || update.Version > 0 && slices.ContainsFunc(m.state.Configuration.Rows, hasLabel)", "update.NamesAreLabels || false && slices.ContainsFunc(m.state.Configuration.Rows, hasLabel)"}}},
		{Guard: "updates are assigned one after the other", Test: "internal/replica TestUpdatesWaitForTheirBase", Edits: []Edit{{"internal/replica",
			"r.appliedIndex >= max(r.group.NoOpIndex(), r.updateIndex)", "r.appliedIndex >= r.group.NoOpIndex()"}}},
		{Guard: "updates are assigned after the log of earlier terms is applied", Test: "internal/replica TestUpdatesWaitForTheirBase", Edits: []Edit{{"internal/replica",
			"r.appliedIndex >= max(r.group.NoOpIndex(), r.updateIndex)", "r.appliedIndex >= r.updateIndex"}}},
		{Guard: "a tenant is recognized by its keys", Test: "platform TestRenamedTenantKeepsItsJobs", Edits: []Edit{{"internal/clusterstate",
			"			a.assign(label, a.ownerOf(keys[label]))\n", "			a.assign(label, \"\")\n"}}},
		{Guard: "a name that moves to other keys is another tenant", Test: "internal/clusterstate TestTenantsAreKnownByTheirKeys", Edits: []Edit{{"internal/clusterstate",
			"name != \"\" && a.mayKeep(name, keys[label])", "name != \"\""}}},
		{Guard: "the keys of a removed tenant are remembered", Test: "internal/clusterstate TestTenantsAreKnownByTheirKeys", Edits: []Edit{{"internal/clusterstate",
			"\"max_accelerators\", keyHashesKey}", "\"max_accelerators\"}"}}},
	}...)
}
