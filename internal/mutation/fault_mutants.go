package mutation

// These guards matter under fault schedules, which kill some of their mutants; see
// docs/control/faults.md.
func init() {
	Mutants = append(Mutants, []*Mutant{
		{
			Guard: "a repeated accepted update is acknowledged", Rule: 11, Size: "small-called", Seed: 2,
			Faults: "ackloss/all:6s@3s,race/all:1s@3500ms,crowd/all:1s@5s",
			Edits:  []Edit{{"internal/clusterstate", "	if m.isAccepted(update.Version, digest) {\n", "	if false {\n"}},
		},
		{
			Guard: "an update whose version isn't higher is refused", Rule: 11, Size: "small-called", Seed: 3,
			Faults: "bad/all:1s@4s,bad/all:1s@9s",
			Edits:  []Edit{{"internal/clusterstate", "	if update.Version <= update.BaseVersion {\n", "	if false {\n"}},
		},
		{
			Guard: "a task that was lost with its worker goes first", Test: "internal/queue TestAttempts",
			Edits: []Edit{{"internal/queue", "	return len(j.tasks[s][t].lostAttempts) > 0\n", "	return false\n"}},
		},
		{
			Guard: "work that is late by far has a share of the pool", Test: "internal/scheduler TestStarvingSteps",
			Edits: []Edit{{"internal/scheduler", "	return allowed > 0 && float64(now-t.roundDueAt) > agedFactor*allowed\n", "	return allowed < 0\n"}},
		},
		{
			Guard: "boosted work takes no more than its share", Test: "internal/scheduler TestStarvingSteps",
			Edits: []Edit{{"internal/scheduler", "		used += q.boostedCores\n", ""}},
		},
		{
			Guard: "boosted work isn't preempted", Test: "internal/scheduler TestStarvingSteps",
			Edits: []Edit{{"internal/scheduler", "t.isActive() && !t.isBoosted && ", "t.isActive() && "}},
		},
		{
			Guard: "a failure that is reported after the hold lapsed counts", Test: "internal/replica TestCommandForEnd",
			Edits: []Edit{{"internal/replica", "	case outcomeLost, outcomeLapsed:\n", "	case outcomeLost:\n"}},
		},
		{
			Guard: "an attempt that was reported as lost doesn't start", Test: "internal/modelcheck/workerpath TestWalks",
			Edits: []Edit{{"internal/scheduler", "t.isStopping() || t.isReturned() || ", "t.isStopping() || "}},
		},
		{
			Guard: "an acknowledgement is for the end that it names", Test: "internal/scheduler TestEndsAreAcknowledgedWhenApplied",
			Edits: []Edit{{"internal/scheduler", " && (m.Outcome == \"\" || m.Outcome == report.sentOutcome)", ""}},
		},
		{
			Guard: "an end stays until it is acknowledged itself", Test: "internal/agent TestAcknowledgementsNameTheEnd",
			Edits: []Edit{{"internal/agent", " && (status.State == \"\" || status.State == e.status.State)", ""}},
		},
	}...)
}
