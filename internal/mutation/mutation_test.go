package mutation

import (
	"cmp"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

func moduleRoot(t *testing.T) string {
	t.Helper()
	path, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// TestEditsMatchSource is the quick part of TestMutants. It checks that guards are unique, and
// that every edit finds the text that it replaces.
func TestEditsMatchSource(t *testing.T) {
	isKnown := map[string]bool{}
	for _, m := range Mutants {
		if isKnown[m.Guard] {
			t.Errorf("two mutants have the guard %q", m.Guard)
		}
		isKnown[m.Guard] = true
		if _, err := m.Overlay(moduleRoot(t), t.TempDir()); err != nil {
			t.Error(err)
		}
	}
}

// TestMutants checks that each mutant's test or simulated run fails with the mutant, and that
// the simulated run succeeds without it. That the tests succeed without the mutant is checked
// when their own packages are tested.
func TestMutants(t *testing.T) {
	original, err := Build(nil, moduleRoot(t), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range Mutants {
		t.Run(m.Guard, func(t *testing.T) {
			t.Parallel()
			if m.Test != "" {
				checkKilledByTest(t, m)
			} else {
				checkKilledByRun(t, m, original)
			}
		})
	}
}

// checkKilledByRun checks that a mutant's simulated run breaks the mutant's rule, and that the
// same run with the original program breaks no rule.
func checkKilledByRun(t *testing.T, m *Mutant, original string) {
	t.Helper()
	if counts, out, err := CountViolations(original, m.args()...); err != nil || len(counts) > 0 {
		t.Errorf("with the guard the run must break no rule; violations by rule: %v, error: %v\n%s", counts, err, out)
	}
	bench, err := Build(m, moduleRoot(t), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if counts, out, err := CountViolations(bench, m.args()...); err != nil || counts[m.Rule] == 0 {
		t.Errorf("without the guard the run must break rule %d; violations by rule: %v, error: %v\n%s", m.Rule, counts, err, out)
	}
}

// checkKilledByTest checks that a mutant's test fails. A build error doesn't count as a failed
// test.
func checkKilledByTest(t *testing.T, m *Mutant) {
	t.Helper()
	dir, name, _ := strings.Cut(m.Test, " ")
	overlay, err := m.Overlay(moduleRoot(t), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command("go", "test", "-overlay", overlay, "-run", "^"+name+"$", "./"+dir)
	command.Dir = moduleRoot(t)
	out, err := command.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "--- FAIL: "+name) {
		t.Errorf("without the guard %s doesn't fail: %v\n%s", m.Test, err, out)
	}
}

// args returns the arguments of sparnotch-bench simulate for the mutant's run.
func (m *Mutant) args() []string {
	return []string{"-size", cmp.Or(m.Size, "small"), "-scenario", m.Scenario, "-faults", m.Faults, "-seed", strconv.FormatUint(m.Seed, 10)}
}
