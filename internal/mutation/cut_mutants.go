package mutation

// Guards of a machine that is cut off, docs/control/cut.md.
func init() {
	Mutants = append(Mutants, []*Mutant{
		{Guard: "a learner becomes a voter once it has caught up", Test: "internal/replica TestWhoIsMadeAVoter", Edits: []Edit{
			{"internal/replica", "return now-heard < heardSpan && group.IsCaughtUp(id)", "return now-heard < heardSpan || group.IsCaughtUp(id)"},
			// What else would refuse such a learner.
			{"internal/replica", "	if margin < t.losses && margin", "	if false && margin"},
			{"internal/raft", "if !slices.Contains(old.Learners, id) || !g.IsCaughtUp(id) {", "if !slices.Contains(old.Learners, id) {"}}},
		{Guard: "a controller is fenced by a fresh cluster state", Test: "internal/replica TestAControllerIsFencedByAFreshClusterState", Edits: []Edit{{"internal/replica",
			"!t.isClusterStateFresh(now) || !t.clusterState.IsController(m.Lease)", "!t.clusterState.IsController(m.Lease)"}}},
	}...)
}
