package mutation

// These guards keep polls going through relays, and the leader's messages few.
func init() { Mutants = append(Mutants, relayMutants...) }

var relayMutants = []*Mutant{
	{Guard: "an agent leaves a relay that doesn't answer", Test: "internal/agent TestPollsThroughRelay", Edits: []Edit{{"internal/agent",
		"		a.relays.RecordFailure(now)\n		w.unansweredRouteSince = now\n", "		w.unansweredRouteSince = now\n"}}},
	{Guard: "polls that are superseded still show that a relay has failed", Test: "internal/agent TestPollsThroughRelay", Edits: []Edit{{"internal/agent",
		"now-max(w.unansweredSince, w.unansweredRouteSince) >= pollTimeout", "now-w.pendingPoll.sentAt >= pollTimeout"}}},
	{Guard: "a refused poll goes another way at once", Test: "internal/agent TestPollsThroughRelay", Edits: []Edit{{"internal/agent",
		"	if from != poll.scheduler && response.Scheduler != poll.scheduler {", "	if false {"}}},
	{Guard: "nodes of older versions get no batches", Test: "internal/pollrelay TestRelay", Edits: []Edit{{"internal/pollrelay",
		" && members.Members[id].Member.GetRelaysPolls()", ""}}},
	{Guard: "direct polls are the last way", Test: "internal/pollrelay TestSelector", Edits: []Edit{{"internal/pollrelay",
		"rotate(inZone, worker), rotate(elsewhere, worker), []string{scheduler})", "rotate(inZone, worker), []string{scheduler})"}}},
	{Guard: "many polls share a batch", Test: "internal/pollrelay TestRelay", Edits: []Edit{{"internal/pollrelay",
		"batch.sentAt > 0 && now-batch.sentAt < minBatchInterval", "false"}}},
	{Guard: "sessions of a gateway's newer incarnation stay", Test: "internal/controller TestSessionsOfRestartedGateways", Edits: []Edit{{"internal/controller",
		"member.Member.Incarnation > gateway.Incarnation&incarnationMask", "member.Member.Incarnation != gateway.Incarnation&incarnationMask"}}},
	{Guard: "large fleets poll through relays", Test: "internal/sim TestLeaderMessagesPerStart", Edits: []Edit{{"internal/pollrelay",
		"int64(s.workers) < s.configured.Fleet(\"relayed_workers\") || s.members == nil", "s.workers >= 0"}}},
	{Guard: "entries share Appends", Test: "internal/sim TestLeaderMessagesPerStart", Edits: []Edit{{"internal/raft",
		"	return !isFull && p.lastAppendAt > 0 && now-p.lastAppendAt < g.appendInterval\n", "	return !isFull && false\n"}}},
}
