package mutation

// Guards that faults of schedules show, docs/control/faults.md.
func init() {
	Mutants = append(Mutants, []*Mutant{
		{
			Guard: "an edition that was taken is acknowledged when it comes again", Rule: 11, Size: "small-called", Seed: 2,
			Faults: "ackloss/all:6s@3s,race/all:1s@3500ms,crowd/all:1s@5s",
			Edits:  []Edit{{"internal/clusterstate", "if taken.Edition == sheet.Edition && bytes.Equal(taken.Digest, digest) {", "if false && bytes.Equal(taken.Digest, digest) {"}},
		},
		{
			Guard: "an edition that isn't above the present one is refused", Rule: 11, Size: "small-called", Seed: 2,
			Faults: "bad/all:1s@4s,bad/all:1s@9s",
			Edits:  []Edit{{"internal/clusterstate", "	if sheet.Edition <= current.Edition {\n", "	if false && sheet.Edition <= current.Edition {\n"}},
		},
		{
			Guard: "what is acknowledged is on a majority's disks", Rule: 11, Size: "small-called", Seed: 1,
			Faults: "closepower/all:700ms@6s",
			Edits: []Edit{
				{"internal/raft", "&schema.AppendReply{Group: g.name, Term: g.term, Match: min(g.matched, g.stable)}", "&schema.AppendReply{Group: g.name, Term: g.term, Match: g.matched}"},
				{"internal/raft", "Round: m.Round, Match: min(g.matched, g.stable)}", "Round: m.Round, Match: g.matched}"},
				{"internal/raft", "			return g.stable\n", "			return g.lastIndex()\n"}},
		},
	}...)
}
