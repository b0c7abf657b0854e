package mutation

// These guards check the keys of tenants, and restrict what a tenant may see and change of what
// belongs to another tenant; see docs/survival.md.
func init() {
	Mutants = append(Mutants, []*Mutant{
		{Guard: "a call's key is known", Test: "internal/gateway TestUnknownKeysAreRefused", Edits: []Edit{{"internal/gateway",
			"	return values.TenantOfKey(keyHash)\n", "	tenant, _ = values.TenantOfKey(keyHash)\n	return tenant, true\n"}}},
		{Guard: "a call without a key is for a public queue", Test: "internal/gateway TestUnknownKeysAreRefused", Edits: []Edit{{"internal/gateway",
			"return \"\", values.IsPublic(queue)", "return \"\", true"}}},
		{Guard: "a key is known on a public queue too", Test: "internal/gateway TestUnknownKeysAreRefused", Edits: []Edit{{"internal/gateway",
			"	if keyHash == \"\" {\n", "	if keyHash == \"\" || values.IsPublic(queue) {\n"}}},
		{Guard: "a list needs a key", Test: "internal/gateway TestUnknownKeysAreRefused", Edits: []Edit{{"internal/gateway",
			"case KindStatus, KindCancel, KindCounts, KindList:", "case KindStatus, KindCancel, KindCounts:"}}},
		{Guard: "a key isn't refused by a copy without a lease", Test: "internal/gateway TestRevokedKeysAreRefused", Edits: []Edit{{"internal/gateway",
			"	if !g.lease.isValid(now) {\n		g.rejectNotReady(now, m.RequestID, effects)\n		return\n	}\n	tenant, isAllowed := authorize(", "	tenant, isAllowed := authorize("}}},
		{Guard: "an unknown key is confirmed", Test: "internal/gateway TestNewKeysWorkAtOnce", Edits: []Edit{{"internal/gateway",
			"	case isConfirmed:\n		g.refusedKeys.add(", "	case true:\n		g.refusedKeys.add("}}},
		{Guard: "a confirmed unknown key is forgotten with the revision", Test: "internal/gateway TestConfirmedUnknownKeysAreRefusedAtOnce", Edits: []Edit{{"internal/gateway",
			"return r.revision == revision && r.calls[call]", "return r.calls[call]"}}},
		{Guard: "unknown keys leave room for calls to new queues", Test: "internal/gateway TestUnknownKeysLeaveRoomForNewQueues", Edits: []Edit{{"internal/gateway",
			"isForKey && c.keyCallCount() >= maxAwaitingForKey {", "isForKey && false {"}}},
		{Guard: "a submission that is sent again keeps its tenant", Test: "internal/gateway TestUnknownKeysAreRefused", Edits: []Edit{{"internal/gateway",
			"LowestUnconfirmed: s.lowestUnconfirmed(), Tenant: enqueue.Tenant,", "LowestUnconfirmed: s.lowestUnconfirmed(),"}}},
		{Guard: "a key that can't be read isn't as none", Test: "platform TestCallsWithoutAKnownKeyAre401", Edits: []Edit{{"internal/gateway",
			"	}\n	return unreadableKey\n}", "	}\n	return \"\"\n}"}}},
		{Guard: "the cluster state is no queue of clients", Test: "internal/gateway TestClusterStateIsNoQueue", Edits: []Edit{{"internal/gateway",
			"		return isClientKind(m.Kind)\n	}\n	return clusterstate.FindQueue(", "		return false\n	}\n	return clusterstate.FindQueue("}}},
		{Guard: "a request is of its group's kinds", Test: "internal/replica TestRequestsMatchTheirGroup", Edits: []Edit{{"internal/replica",
			"	if isQueueRequest(m.Kind) != (m.Group != clusterstate.GroupName) {", "	if false {"}}},
		{Guard: "another tenant's job isn't shown", Test: "internal/replica TestOthersJobsAreNotShown", Edits: []Edit{{"internal/replica",
			"	case queue.IsOtherTenant(view.Tenant, m.Tenant):", "	case false:"}}},
		{Guard: "another tenant's job isn't listed", Test: "internal/replica TestOthersJobsAreNotShown", Edits: []Edit{{"internal/replica",
			"		return queue.IsOtherTenant(view.Tenant, m.Tenant)\n", "		return false\n"}}},
		{Guard: "another tenant's job isn't cancelled", Test: "internal/queue TestNamesOfOtherTenantsAreTaken", Edits: []Edit{{"internal/queue",
			"	if m.isOthersJob(c.Name, c.Tenant) {", "	if false {"}}},
		{Guard: "a name is one tenant's", Test: "internal/queue TestNamesOfOtherTenantsAreTaken", Edits: []Edit{{"internal/queue",
			" || IsOtherTenant(tenant, e.Tenant):", " || false && IsOtherTenant(tenant, e.Tenant):"}}},
	}...)
}
