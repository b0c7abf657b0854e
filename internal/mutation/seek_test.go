package mutation

import (
	"flag"
	"fmt"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"testing"

	"sparnotch/internal/sim"
)

var (
	seekGuard = flag.String("seek", "", "look for runs that kill the mutants whose guard contains this text; all: the mutants that have no test or run yet")
	seedCount = flag.Int("seeds", 4, "with -seek: number of seeds for each scenario; 0: look for tests in the changed packages instead")
	fleetSize = flag.String("size", "small", "with -seek: the size of the simulated fleet")
	firstSeed = flag.Uint64("seed", 1, "with -seek: the first seed")
)

const (
	parallelRuns  = 6
	maxShownRuns  = 14
	maxShownBytes = 400
)

// TestSeek looks for tests or simulated runs that kill a new mutant, and prints them. It is a
// tool, which is skipped without the -seek flag.
func TestSeek(t *testing.T) {
	if *seekGuard == "" {
		t.Skip("this test runs only with -seek")
	}
	for _, m := range Mutants {
		if !isSought(m) {
			continue
		}
		if *seedCount == 0 {
			fmt.Printf("== %s (rule %d): tests %v\n", m.Guard, m.Rule, failingTests(t, m))
			continue
		}
		runs, err := brokenRuns(t, m)
		if err != nil {
			t.Error(err)
			continue
		}
		fmt.Printf("== %s (rule %d): %d\n", m.Guard, m.Rule, len(runs))
		for _, run := range runs[:min(len(runs), maxShownRuns)] {
			fmt.Println("    ", run)
		}
	}
}

func isSought(m *Mutant) bool {
	if *seekGuard == "all" {
		return m.Scenario+m.Faults+m.Test == ""
	}
	return strings.Contains(m.Guard, *seekGuard)
}

// brokenRuns runs every scenario with several seeds, and returns a description of each run that
// breaks a rule or fails.
func brokenRuns(t *testing.T, m *Mutant) ([]string, error) {
	bench, err := Build(m, moduleRoot(t), t.TempDir())
	if err != nil {
		return nil, err
	}
	slots := make(chan struct{}, parallelRuns)
	var mu sync.Mutex
	var workers sync.WaitGroup
	var found []string
	for _, scenario := range scenariosOfSize(*fleetSize) {
		for k := range *seedCount {
			seed := *firstSeed + uint64(k)
			slots <- struct{}{}
			workers.Go(func() {
				defer func() { <-slots }()
				counts, _, err := CountViolations(bench, "-size", *fleetSize, "-scenario", scenario.Name, "-seed", fmt.Sprint(seed))
				mu.Lock()
				defer mu.Unlock()
				if err != nil || len(counts) > 0 {
					found = append(found, fmt.Sprint(scenario.Name, "/", seed, " ", counts, err != nil))
				}
			})
		}
	}
	workers.Wait()
	return found, nil
}

func scenariosOfSize(name string) []sim.Scenario {
	for _, size := range sim.FleetSpecs() {
		if size.Name == name {
			return sim.ScenariosFor(size)
		}
	}
	return nil
}

var failedTestPattern = regexp.MustCompile(`(?m)^--- FAIL: (\w+)`)

// failingTests returns the tests that fail with a mutant, among those of the packages that the
// mutant changes. If none is found because the build fails, it returns the error.
func failingTests(t *testing.T, m *Mutant) []string {
	overlay, err := m.Overlay(moduleRoot(t), t.TempDir())
	if err != nil {
		return []string{err.Error()}
	}
	var found []string
	isTested := map[string]bool{}
	for _, edit := range m.Edits {
		if isTested[edit.Package] {
			continue
		}
		isTested[edit.Package] = true
		command := exec.Command("go", "test", "-overlay", overlay, "./"+edit.Package)
		command.Dir = moduleRoot(t)
		out, err := command.CombinedOutput()
		for _, match := range failedTestPattern.FindAllStringSubmatch(string(out), -1) {
			found = append(found, edit.Package+" "+match[1])
		}
		if err != nil && len(found) == 0 {
			found = append(found, string(out[:min(len(out), maxShownBytes)]))
		}
	}
	return found
}
