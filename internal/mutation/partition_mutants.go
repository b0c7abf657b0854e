package mutation

// These guards matter when a machine is partitioned from others; see docs/control/cut.md.
func init() {
	Mutants = append(Mutants, []*Mutant{
		{Guard: "a learner becomes a voter once it has caught up", Test: "internal/replica TestVoterPromotion", Edits: []Edit{
			{"internal/replica", "return now-lastHeard < responseTimeout && group.IsCaughtUp(id)", "return now-lastHeard < responseTimeout || group.IsCaughtUp(id)"},
			// The checks that the next two edits remove would reject such a learner too.
			{"internal/replica", "	if margin < h.toleratedLosses && margin", "	if false && margin"},
			{"internal/raft", "if !slices.Contains(old.Learners, id) || !g.IsCaughtUp(id) {", "if !slices.Contains(old.Learners, id) {"}}},
		{Guard: "a controller is fenced by an up-to-date cluster state", Test: "internal/replica TestStaleClusterStateRejectsMemberChange", Edits: []Edit{{"internal/replica",
			"!h.isClusterStateFresh(now) || !h.stateMachine.HoldsControllerLease(m.FencingToken)", "!h.stateMachine.HoldsControllerLease(m.FencingToken)"}}},
		{Guard: "a majority is asked before a read", Rule: 11, Test: "internal/sim TestPartitionedLeader", Edits: []Edit{{"internal/replica",
			"			return\n		}\n		r.pendingReads[h.lastReadID] = pending\n",
			"		}\n		r.pendingReads[h.lastReadID] = pending\n		h.completeRead(now, r, h.lastReadID, effects)\n"}}},
		{Guard: "a majority is asked before a refusal", Rule: 11, Test: "internal/sim TestPartitionedLeader", Edits: []Edit{{"internal/replica",
			"		r.addWaitingUpdate(waitingUpdate{caller, update})\n",
			"		preview, _ := clusterstate.Restore(h.stateMachine.Snapshot())\n" +
				"		if result, err := preview.Apply(0, caller.request.Body); err == nil && result.Error != nil {\n" +
				"			h.replyClusterStateResult(caller, result, effects)\n" +
				"			return\n" +
				"		}\n" +
				"		r.addWaitingUpdate(waitingUpdate{caller, update})\n"}}},
		{Guard: "an unknown queue is confirmed for each call", Rule: 11, Test: "internal/sim TestPartitionedGateway", Edits: []Edit{{"internal/gateway",
			"	case !isConfirmed:\n", "	case false:\n"}}},
		{Guard: "a call during a confirmation waits for the next one", Rule: 11, Test: "internal/gateway TestUnknownQueueConfirmation", Edits: []Edit{{"internal/gateway",
			"	c.queued = append(c.queued, call)\n	if c.requestID == 0 {\n", "	if c.requestID != 0 {\n		c.inFlight = append(c.inFlight, call)\n	} else {\n		c.queued = append(c.queued, call)\n"}}},
		{Guard: "a gateway's state lease runs from its request", Rule: 11, Test: "internal/gateway TestStateLease", Edits: []Edit{{"internal/gateway",
			"		g.lease.renew(m.Sequence, eventloop.Micros(m.AgeUs))\n", "		g.lease.confirmedAt = now\n"}}},
		{Guard: "the age of a response counts against the state lease", Rule: 11, Test: "internal/gateway TestStateLease", Edits: []Edit{{"internal/gateway",
			"max(l.confirmedAt, query.sentAt-age)", "max(l.confirmedAt, query.sentAt)"}}},
		{Guard: "a gateway without a state lease accepts nothing", Rule: 11, Test: "internal/gateway TestStateLease", Edits: []Edit{{"internal/gateway",
			"return l.confirmedAt > 0 && now-l.confirmedAt <= l.duration()", "return l.confirmedAt > 0"}}},
		{Guard: "pending requests of a partitioned gateway are answered at once", Rule: 12, Test: "internal/gateway TestRetryAfter", Edits: []Edit{{"internal/gateway",
			"	if g.wasInContact && !isInContact {\n", "	if false {\n"}}},
		{Guard: "pending requests of a removed queue are answered at once", Rule: 12, Test: "internal/gateway TestPendingWorkOfRemovedQueue", Edits: []Edit{{"internal/gateway",
			"		g.endRemovedQueues(now, effects)\n", ""}}},
		{Guard: "a gateway without a cluster state asks every storage node in turn", Rule: 12, Test: "internal/gateway TestStateLease", Edits: []Edit{{"internal/gateway",
			"	case g.lease.needsRenewal(now):\n		for _, id", "	case false:\n		for _, id"}}},
		{Guard: "an unknown result comes with a Retry-After", Rule: 12, Test: "platform TestOperatorCalls", Edits: []Edit{{"platform",
			"http.StatusServiceUnavailable, http.StatusGatewayTimeout:", "http.StatusServiceUnavailable:"}}},
		{Guard: "a worker that gets no responses counts as unresponsive", Rule: 1, Test: "internal/scheduler TestUnansweredWorkerIsUnresponsive", Edits: []Edit{{"internal/scheduler",
			"	if heartbeat.Unanswered && w.hasHeartbeat", "	if false && w.hasHeartbeat"}}},
		{Guard: "an agent reports when it gets no responses", Rule: 1, Test: "internal/agent TestUnansweredPolls", Edits: []Edit{{"internal/agent",
			"heartbeat.Unanswered = now-w.unansweredSince > unansweredTimeout", "heartbeat.Unanswered = false"}}},
	}...)
}
