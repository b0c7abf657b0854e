package mutation

// Guards that keep an answer with its call, and a call from being made twice,
// docs/control/calls.md.
func init() {
	Mutants = append(Mutants, []*Mutant{
		{Guard: "a call that was written isn't written again", Test: "internal/httpcall TestRequestIsSentOnce", Edits: []Edit{{"internal/httpcall",
			"if !errorx.IsOfType(err, NotSent) || conn.responses == 0 || ctx.Err() != nil {", "if conn.responses == 0 || ctx.Err() != nil {"}}},
		{Guard: "a connection on which more came than its answer isn't used again", Test: "internal/httpcall TestUnreusableConnections", Edits: []Edit{
			{"internal/httpcall", "isReleased && !isLast && c.reader.Buffered() == 0 &&", "isReleased && !isLast &&"},
			{"internal/httpcall", "if !c.isReusable || c.reader.Buffered() > 0 {", "if !c.isReusable {"}}},
		{Guard: "an idle connection is looked at before it is used", Test: "internal/httpcall TestUnsolicitedBytesOnIdleConnections", Edits: []Edit{
			{"internal/httpcall", "c.now().Sub(conn.lastUsed) <= c.limits.IdleTimeout && conn.isClean()", "c.now().Sub(conn.lastUsed) <= c.limits.IdleTimeout"}}},
		{Guard: "half an answer is none", Test: "internal/httpcall TestRequestIsSentOnce", Edits: []Edit{
			{"internal/httpcall", "io.LimitReader(response.Body, maxBytes+1))\n		if err != nil {", "io.LimitReader(response.Body, maxBytes+1))\n		if false {"}}},
		{Guard: "a call names the life that is meant", Test: "platform TestCalls", Edits: []Edit{{"platform", `": {call.Worker}}`, `": nil}`}}},
		{Guard: "what isn't a worker's answer counts as none", Test: "platform TestRestartedWorkers", Edits: []Edit{{"platform",
			"if !parsed || body.ClockMS == nil {", "if !parsed {"}}},
		{Guard: "an answer to a call is taken once", Test: "internal/agent TestStaleCallReplies", Edits: []Edit{{"internal/agent",
			"	p := w.pendingCalls[m.Number]\n	delete(w.pendingCalls, m.Number)\n", "	p := w.pendingCalls[m.Number]\n"}}},
		{Guard: "an announce's answer is known by its number", Test: "internal/agent TestStalePollResponses", Edits: []Edit{{"internal/agent",
			" || m.Id != w.pendingPoll.sequence || ", " || "}}},
		{Guard: "a message goes to whom it is for", Test: "internal/transport TestReusedAddresses", Edits: []Edit{{"internal/transport",
			`return envelope.To == "" || envelope.To == t.self.ID`, "return true"}}},
		{Guard: "a former life is heard no more", Test: "internal/transport TestFormerIncarnations", Edits: []Edit{{"internal/transport",
			"case existing.ID != from.ID || existing.Boot == from.Boot:", "case existing != nil:"}}},
		{Guard: "no two lives share a number", Test: "internal/process TestRepliesToFormerIncarnation", Edits: []Edit{{"internal/process",
			"n.lastRequestID.Store(n.Member.Incarnation << incarnationShift)", "n.lastRequestID.Store(0)"}}},
		{Guard: "an outcome names its front", Test: "internal/gateway TestForeignOutcomes", Edits: []Edit{{"internal/gateway", "outcome.Session.Gateway != g.id || ", ""}}},
		{Guard: "an outcome names its front's life", Test: "internal/gateway TestForeignOutcomes", Edits: []Edit{{"internal/gateway", " || outcome.Session.Incarnation != g.incarnation {", " {"}}},
		{Guard: "an older claim's answer counts no more", Test: "internal/controller TestStaleClaimReplies", Edits: []Edit{{"internal/controller", "if reply.Id < c.newestAnsweredClaim {", "if false {"}}},
		{Guard: "a queue that is to go is named with its making", Test: "internal/clusterstate TestDelayedQueueRemoval", Edits: []Edit{{"internal/clusterstate",
			`name == placement.Queue+"#"+strconv.FormatUint(placement.Generation, 10)`, `len(name) > len(placement.Queue) && name[:len(placement.Queue)+1] == placement.Queue+"#" && strconv.Itoa(0) == "0"`}}},
		{Guard: "a former life's hello counts no more", Test: "internal/membership TestStaleGossip", Edits: []Edit{{"internal/membership",
			"known && gossip.Self.Incarnation < previous.Member.Incarnation {", "known && previous.Member == nil {"}}},
	}...)
}
