package mutation

// Guards of a machine that is cut off, docs/control/cut.md.
func init() {
	Mutants = append(Mutants, []*Mutant{
		{Guard: "a learner becomes a voter once it has caught up", Test: "internal/replica TestWhoIsMadeAVoter", Edits: []Edit{{"internal/replica",
			"return match > 0 && now-heard < heardSpan && group.Last()-match <= promotionLag", "return now-heard < heardSpan || group.Last()-match <= promotionLag"}}},
		{Guard: "a controller is fenced by a fresh cluster state", Test: "internal/replica TestAControllerIsFencedByAFreshClusterState", Edits: []Edit{{"internal/replica",
			"!t.isClusterStateFresh(now) || !t.clusterState.IsController(m.Lease)", "!t.clusterState.IsController(m.Lease)"}}},
	}...)
}
