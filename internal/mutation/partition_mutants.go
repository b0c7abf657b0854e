package mutation

// Guards of a machine that is cut off, docs/control/cut.md.
func init() {
	Mutants = append(Mutants, []*Mutant{
		{Guard: "a learner becomes a voter once it has caught up", Test: "internal/replica TestVoterPromotion", Edits: []Edit{
			{"internal/replica", "return now-lastHeard < responseTimeout && group.IsCaughtUp(id)", "return now-lastHeard < responseTimeout || group.IsCaughtUp(id)"},
			// What else would refuse such a learner.
			{"internal/replica", "	if margin < h.toleratedLosses && margin", "	if false && margin"},
			{"internal/raft", "if !slices.Contains(old.Learners, id) || !g.IsCaughtUp(id) {", "if !slices.Contains(old.Learners, id) {"}}},
		{Guard: "a controller is fenced by a fresh cluster state", Test: "internal/replica TestStaleClusterStateRejectsMemberChange", Edits: []Edit{{"internal/replica",
			"!h.isClusterStateFresh(now) || !h.clusterState.HoldsControllerLease(m.FencingToken)", "!h.clusterState.HoldsControllerLease(m.FencingToken)"}}},
		{Guard: "a majority is asked before a read", Rule: 11, Test: "internal/sim TestPartitionedLeader", Edits: []Edit{{"internal/replica",
			"			return\n		}\n		r.pendingReads[h.lastReadID] = pending\n",
			"		}\n		r.pendingReads[h.lastReadID] = pending\n		h.completeRead(now, r, h.lastReadID, effects)\n"}}},
		{Guard: "a majority is asked before a refusal", Rule: 11, Test: "internal/sim TestPartitionedLeader", Edits: []Edit{{"internal/replica",
			"		if index, _, err := r.group.Propose(now, m.Body); err == nil {\n",
			"		preview, _ := clusterstate.Restore(h.clusterState.Snapshot())\n" +
				"		if result, err := preview.Apply(0, m.Body); err == nil && result.Error != nil {\n" +
				"			h.replyClusterStateResult(pending, result, effects)\n" +
				"			return\n" +
				"		}\n" +
				"		if index, _, err := r.group.Propose(now, m.Body); err == nil {\n"}}},
		{Guard: "that a queue is unknown is confirmed for the very call", Rule: 11, Test: "internal/sim TestPartitionedGateway", Edits: []Edit{{"internal/gateway",
			"	case !isConfirmed:\n", "	case false:\n"}}},
		{Guard: "a call that came after a confirmation was asked for waits for the next", Rule: 11, Test: "internal/gateway TestUnknownQueueConfirmation", Edits: []Edit{{"internal/gateway",
			"	c.queued = append(c.queued, call)\n	if c.requestID == 0 {\n", "	if c.requestID != 0 {\n		c.inFlight = append(c.inFlight, call)\n	} else {\n		c.queued = append(c.queued, call)\n"}}},
		{Guard: "a front's lease runs from its question", Rule: 11, Test: "internal/gateway TestStateLease", Edits: []Edit{{"internal/gateway",
			"		g.lease.renew(m.Sequence, eventloop.Micros(m.AgeUs))\n", "		g.lease.confirmedAt = now\n"}}},
		{Guard: "the age of what an answer tells counts against the lease", Rule: 11, Test: "internal/gateway TestStateLease", Edits: []Edit{{"internal/gateway",
			"max(l.confirmedAt, query.sentAt-age)", "max(l.confirmedAt, query.sentAt)"}}},
		{Guard: "a front without a lease takes nothing", Rule: 11, Test: "internal/gateway TestStateLease", Edits: []Edit{{"internal/gateway",
			"return l.confirmedAt > 0 && now-l.confirmedAt <= l.duration()", "return l.confirmedAt > 0"}}},
		{Guard: "what waits in a front that lost touch is answered at once", Rule: 12, Test: "internal/gateway TestRetryAfter", Edits: []Edit{{"internal/gateway",
			"	if g.wasInContact && !isInContact {\n", "	if false {\n"}}},
		{Guard: "what waits for a dropped queue is answered at once", Rule: 12, Test: "internal/gateway TestPendingWorkOfRemovedQueue", Edits: []Edit{{"internal/gateway",
			"		g.endRemovedQueues(now, effects)\n", ""}}},
		{Guard: "a front without word asks every store in turn", Rule: 12, Test: "internal/gateway TestStateLease", Edits: []Edit{{"internal/gateway",
			"	case g.lease.needsRenewal(now):\n		for _, id", "	case false:\n		for _, id"}}},
		{Guard: "who isn't told whether it took effect is told when to come back", Rule: 12, Test: "platform TestOperatorCalls", Edits: []Edit{{"platform",
			"response.Code == 503 || response.Code == 504 {", "response.Code == 503 {"}}},
		{Guard: "a worker that hears nothing counts as silent", Rule: 1, Test: "internal/scheduler TestUnansweredWorkerIsUnresponsive", Edits: []Edit{{"internal/scheduler",
			"	if heartbeat.Unanswered && w.hasHeartbeat", "	if false && w.hasHeartbeat"}}},
		{Guard: "an agent says when it hears nothing", Rule: 1, Test: "internal/agent TestUnansweredPolls", Edits: []Edit{{"internal/agent",
			"heartbeat.Unanswered = now-w.unansweredSince > unansweredTimeout", "heartbeat.Unanswered = false"}}},
	}...)
}
