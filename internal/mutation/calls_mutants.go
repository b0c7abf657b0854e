package mutation

// These guards match replies with their calls, and prevent that a call is sent twice; see
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
		{Guard: "a truncated response is an error", Test: "internal/httpcall TestRequestIsSentOnce", Edits: []Edit{
			{"internal/httpcall", "io.LimitReader(response.Body, maxBytes+1))\n		if err != nil {", "io.LimitReader(response.Body, maxBytes+1))\n		if false {"}}},
		{Guard: "a call names the worker's incarnation", Test: "platform TestCalls", Edits: []Edit{{"platform", `": {call.Worker}}`, `": nil}`}}},
		{Guard: "a reply that isn't a worker's counts as a timeout", Test: "platform TestRestartedWorkers", Edits: []Edit{{"platform",
			"if !parsed || body.ClockMS == nil {", "if !parsed {"}}},
		{Guard: "a reply to a call is taken once", Test: "internal/agent TestStaleCallReplies", Edits: []Edit{{"internal/agent",
			"	pending := w.pendingCalls[reply.Number]\n	delete(w.pendingCalls, reply.Number)\n", "	pending := w.pendingCalls[reply.Number]\n"}}},
		{Guard: "a poll response is matched by its number", Test: "internal/agent TestStalePollResponses", Edits: []Edit{{"internal/agent",
			"	if response.Id != p.sequence {", "	if false {"}}},
		{Guard: "a message is delivered to its recipient only", Test: "internal/transport TestReusedAddresses", Edits: []Edit{{"internal/transport",
			`return envelope.To == "" || envelope.To == t.self.ID`, "return true"}}},
		{Guard: "messages of a former incarnation are rejected", Test: "internal/transport TestFormerIncarnations", Edits: []Edit{{"internal/transport",
			"case existing.ID != from.ID || existing.Boot == from.Boot:", "case existing != nil:"}}},
		{Guard: "no two incarnations share an ID", Test: "internal/process TestRepliesToFormerIncarnation", Edits: []Edit{{"internal/process",
			"n.lastRequestID.Store(n.Member.Incarnation << incarnationShift)", "n.lastRequestID.Store(0)"}}},
		{Guard: "a submit result names its gateway", Test: "internal/gateway TestForeignOutcomes", Edits: []Edit{{"internal/gateway", "outcome.Session.Gateway != g.id || ", ""}}},
		{Guard: "a submit result names its gateway's incarnation", Test: "internal/gateway TestForeignOutcomes", Edits: []Edit{{"internal/gateway", " || outcome.Session.Incarnation != g.incarnation {", " {"}}},
		{Guard: "the response to an older lease claim is ignored", Test: "internal/controller TestStaleClaimReplies", Edits: []Edit{{"internal/controller", "if reply.Id < c.newestAnsweredClaim {", "if false {"}}},
		{Guard: "the removal of a queue names its creation", Test: "internal/clusterstate TestDelayedQueueRemoval", Edits: []Edit{{"internal/clusterstate",
			`name == placement.Queue+"#"+strconv.FormatUint(placement.Generation, 10)`, `len(name) > len(placement.Queue) && name[:len(placement.Queue)+1] == placement.Queue+"#" && strconv.Itoa(0) == "0"`}}},
		{Guard: "gossip of a former incarnation is ignored", Test: "internal/membership TestStaleGossip", Edits: []Edit{{"internal/membership",
			"known && gossip.Self.Incarnation < previous.Member.Incarnation {", "known && previous.Member == nil {"}}},
	}...)
}
