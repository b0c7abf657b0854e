package mutation

// These guards ensure that large jobs are served as often as others.
func init() { Mutants = append(Mutants, sizeMutants...) }

var sizeMutants = []*Mutant{
	{Guard: "a step takes as long as its longest task", Test: "internal/scheduler TestWideStepsAreExpectedToTakeAsLongAsTheirLongestTask", Edits: []Edit{{"internal/scheduler",
		"math.Exp(m.predict(math.Log(duration))) * m.longestToTypicalRatio(pathStep.Tasks)", "math.Exp(m.predict(math.Log(duration)))"}}},
	{Guard: "the largest jobs are served", Test: "internal/sim TestLargestJobsAreServed", Edits: []Edit{{"internal/scheduler",
		"math.Exp(m.predict(math.Log(duration))) * m.longestToTypicalRatio(pathStep.Tasks)", "math.Exp(m.predict(math.Log(duration)))"}, {"internal/scheduler",
		"		pathStep.Tasks = int64(progress.unended)\n", ""}}},
	{Guard: "tasks that have ended are no work that is left", Test: "internal/scheduler TestTheLastTasksOfALargeJobGoFirst", Edits: []Edit{{"internal/scheduler",
		"		pathStep.Tasks = int64(progress.unended)\n", ""}}},
	{Guard: "a few long tasks don't make a worker slow", Test: "internal/scheduler TestSoundWorkersWithLongTasksAreNotSlow", Edits: []Edit{{"internal/scheduler",
		" && m.suspicion >= slowSuspicion\n", "\n"}, {"internal/scheduler",
		"(mean*float64(s.expectedRuntime(w, t)))", "((1+0*mean)*float64(s.expectedRuntime(w, t)))"}}},
	{Guard: "the idle time of a stop counts as lost", Test: "internal/scheduler TestAStopsIdleTimeCountsAsLost", Edits: []Edit{{"internal/scheduler",
		"lostWork(p.now, member) + s.idleWork(member)", "lostWork(p.now, member)"}}},
	{Guard: "late urgent work goes before less urgent work", Test: "internal/scheduler TestDeadlineFeasibility", Edits: []Edit{{"internal/scheduler",
		"{{boosted}, {onTime, late}, {infeasible}}", "{{boosted}, {onTime}, {late}, {infeasible}}"}}},
	{Guard: "entries wait while Appends are in flight", Test: "internal/raft TestEntriesProposedTogetherShareAppends", Edits: []Edit{{"internal/raft",
		"	if len(p.inflight) >= maxInflightAppends {\n", "	if len(p.inflight) < 0 {\n"}, {"internal/raft",
		"	return !isFull && p.lastAppendAt > 0 && now-p.lastAppendAt < g.appendInterval\n", "	return !isFull && false\n"}, {"internal/raft",
		"	g.unsentSince = now\n", "	for _, id := range g.otherMembers() {\n		g.replicateTo(now, id)\n	}\n"}}},
}
