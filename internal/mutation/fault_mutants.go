package mutation

// Guards whose mutants fault schedules kill; see docs/control/faults.md.
func init() {
	Mutants = append(Mutants, []*Mutant{
		{
			Guard: "a repeated accepted update is acknowledged", Rule: 11, Size: "small-called", Seed: 2,
			Faults: "ackloss/all:6s@3s,race/all:1s@3500ms,crowd/all:1s@5s",
			Edits:  []Edit{{"internal/clusterstate", "	if m.isAccepted(update.Version, digest) {\n", "	if false {\n"}},
		},
		{
			Guard: "an update whose version isn't higher is refused", Rule: 11, Size: "small-called", Seed: 2,
			Faults: "bad/all:1s@4s,bad/all:1s@9s",
			Edits:  []Edit{{"internal/clusterstate", "	if update.Version <= update.BaseVersion {\n", "	if false {\n"}},
		},
	}...)
}
