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

// TestEditsMatchSource is the quick part of TestMutants: guards are unique, and every edit
// finds the text that it changes.
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

// TestMutants: each mutant's test or run fails, and the run succeeds without the mutant. Tests
// succeed without it in their own package's run.
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

// checkKilledByRun checks that a mutant's run breaks its rule, and no rule with the original.
func checkKilledByRun(t *testing.T, m *Mutant, original string) {
	t.Helper()
	if counts, out, err := CountViolations(original, m.args()...); err != nil || len(counts) > 0 {
		t.Errorf("with the guard: %v %v\n%s", counts, err, out)
	}
	bench, err := Build(m, moduleRoot(t), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if counts, out, err := CountViolations(bench, m.args()...); err != nil || counts[m.Rule] == 0 {
		t.Errorf("without the guard rule %d holds: %v %v\n%s", m.Rule, counts, err, out)
	}
}

// checkKilledByTest checks that a mutant's test fails. A build that fails doesn't count.
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

// args are the arguments of sparnotch-bench simulate.
func (m *Mutant) args() []string {
	return []string{"-size", cmp.Or(m.Size, "small"), "-scenario", m.Scenario, "-faults", m.Faults, "-seed", strconv.FormatUint(m.Seed, 10)}
}
