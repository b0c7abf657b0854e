package mutation

// These guards let a running process take its changed settings; see docs/operators.md.
func init() {
	Mutants = append(Mutants, []*Mutant{
		{Guard: "changed seeds are contacted", Test: "internal/membership TestChangedSeedsAreContacted", Edits: []Edit{{"internal/membership",
			"	m.seeds, m.seedContactEnd = seeds, m.ticks+startupTicks\n", ""}}},
		{Guard: "an island is found through changed seeds", Test: "internal/membership TestRestartedSeedsRejoin", Edits: []Edit{{"internal/membership",
			"	m.seeds, m.seedContactEnd = seeds, m.ticks+startupTicks\n", "	if len(m.members) == 0 {\n		m.seeds = seeds\n	}\n"}}},
		{Guard: "the seeds of the start decide the bootstrap", Test: "internal/membership TestSeedsOfTheBootstrap", Edits: []Edit{{"internal/membership",
			"	for _, seed := range m.config.Seeds {\n		if seed == m.self.InternalAddress {\n			continue", "	for _, seed := range m.seeds {\n		if seed == m.self.InternalAddress {\n			continue"}}},
		{Guard: "a half-written settings file isn't taken", Test: "internal/settingsfile TestWatcher", Edits: []Edit{{"internal/settingsfile",
			"	if w.candidate == nil || !bytes.Equal(data, w.candidate) {", "	if false {"}}},
		{Guard: "an invalid settings file is read again", Test: "internal/settingsfile TestWatcher", Edits: []Edit{{"internal/settingsfile",
			"	if err != nil {\n		return nil, w.report(err)\n	}\n	w.taken", "	if err != nil {\n		w.read = func() ([]byte, error) { return data, nil }\n		return nil, w.report(err)\n	}\n	w.taken"}}},
		{Guard: "a node is given its changed seeds", Test: "internal/daemon TestChangedSettings", Edits: []Edit{{"internal/daemon",
			"	node.SetSeeds(changed.Seeds)\n", ""}}},
		{Guard: "the settings file of the platform is watched for seeds", Test: "platform TestChangedSettingsFile", Edits: []Edit{{"platform",
			"parseContent, s.values, seedsSetting)", "parseContent, s.values)"}}},
	}...)
}
