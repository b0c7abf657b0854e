package mutation

import (
	"cmp"
	"flag"
	"fmt"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"

	"sparnotch/internal/sim"
)

var seekGuard = flag.String("seek", "", "look for runs that show the mutants whose guard has this in its name")
var seedCount = flag.Int("seeds", 4, "with -seek: how many seeds of each scenario; 0: the tests of the packages it changes instead")
var fleetSize = flag.String("size", "small", "with -seek: the fleet's size")
var firstSeed = flag.Uint64("seed", 1, "with -seek: the first of them")

func moduleRoot(t *testing.T) string {
	path, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	return path
}

func scenariosOfSize(name string) []sim.Scenario {
	for _, size := range sim.FleetSpecs() {
		if size.Name == name {
			return sim.ScenariosFor(size)
		}
	}
	return nil
}

// TestSeek is how a run for a new mutant is found; it tells which break its rule.
func TestSeek(t *testing.T) {
	if *seekGuard == "" {
		t.Skip("only with -seek")
	}
	gate := make(chan bool, 6)
	for _, m := range Mutants {
		isShown := m.Scenario+m.Faults+m.Test != ""
		if *seekGuard == "all" && isShown || *seekGuard != "all" && !strings.Contains(m.Guard, *seekGuard) {
			continue
		}
		if *seedCount == 0 {
			fmt.Printf("== %s (rule %d): tests %v\n", m.Guard, m.Rule, failingTests(t, m))
			continue
		}
		bench, err := Build(m, moduleRoot(t), t.TempDir())
		if err != nil {
			t.Error(err)
			continue
		}
		var mu sync.Mutex
		var all sync.WaitGroup
		var found []string
		for _, s := range scenariosOfSize(*fleetSize) {
			for k := 0; k < *seedCount; k++ {
				seed := *firstSeed + uint64(k)
				all.Add(1)
				gate <- true
				go func() {
					defer func() { <-gate; all.Done() }()
					counts, _, err := CountViolations(bench, "-size", *fleetSize, "-scenario", s.Name, "-seed", fmt.Sprint(seed))
					mu.Lock()
					defer mu.Unlock()
					if err != nil || len(counts) > 0 {
						found = append(found, fmt.Sprint(s.Name, "/", seed, " ", counts, err != nil))
					}
				}()
			}
		}
		all.Wait()
		fmt.Printf("== %s (rule %d): %d\n", m.Guard, m.Rule, len(found))
		for _, each := range found[:min(len(found), 14)] {
			fmt.Println("    ", each)
		}
	}
}

var failedTestPattern = regexp.MustCompile(`(?m)^--- FAIL: (\w+)`)

// failingTests lists the tests that fail with a mutant, of the packages it changes.
func failingTests(t *testing.T, m *Mutant) []string {
	list, err := m.Overlay(moduleRoot(t), t.TempDir())
	if err != nil {
		return []string{err.Error()}
	}
	var found []string
	isDone := map[string]bool{}
	for _, each := range m.Edits {
		folder := each.Package
		if isDone[folder] {
			continue
		}
		isDone[folder] = true
		command := exec.Command("go", "test", "-overlay", list, "./"+folder)
		command.Dir = moduleRoot(t)
		out, err := command.CombinedOutput()
		for _, name := range failedTestPattern.FindAllStringSubmatch(string(out), -1) {
			found = append(found, folder+" "+name[1])
		}
		if err != nil && len(found) == 0 {
			found = append(found, string(out[:min(len(out), 400)]))
		}
	}
	return found
}

// TestMutants: each run breaks its rule without the guard, and none with it.
func TestMutants(t *testing.T) {
	plain, err := Build(nil, moduleRoot(t), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range Mutants {
		t.Run(m.Guard, func(t *testing.T) {
			t.Parallel()
			if m.Test != "" {
				testMutant(t, m)
				return
			}
			if counts, out, err := CountViolations(plain, m.args()...); err != nil || len(counts) > 0 {
				t.Errorf("with the guard: %v %v\n%s", counts, err, out)
			}
			bench, err := Build(m, moduleRoot(t), t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			if counts, out, err := CountViolations(bench, m.args()...); err != nil || counts[m.Rule] == 0 {
				t.Errorf("without the guard rule %d holds: %v %v\n%s", m.Rule, counts, err, out)
			}
		})
	}
}

// testMutant: the named test fails without the guard. With it, it runs anyway
// among the tests of its package.
func testMutant(t *testing.T, m *Mutant) {
	folder, name, _ := strings.Cut(m.Test, " ")
	list, err := m.Overlay(moduleRoot(t), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command("go", "test", "-overlay", list, "-run", "^"+name+"$", "./"+folder)
	command.Dir = moduleRoot(t)
	out, err := command.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "--- FAIL: "+name) {
		t.Errorf("without the guard %s doesn't fail: %v\n%s", m.Test, err, out)
	}
}

// args are those of sparnotch-bench simulate.
func (m *Mutant) args() []string {
	return []string{"-size", cmp.Or(m.Size, "small"), "-scenario", m.Scenario, "-faults", m.Faults, "-seed", strconv.FormatUint(m.Seed, 10)}
}
