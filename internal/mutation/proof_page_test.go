package mutation

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"sparnotch/internal/sim"
)

var referencePattern = regexp.MustCompile("`(sim|test|mutant|fleet|fault):([^`]+)`")

// TestProofPage: every scenario, test, mutant and fault that docs/proof.md names
// exists, and every mutant and scenario is named there.
func TestProofPage(t *testing.T) {
	data, err := os.ReadFile("../../docs/proof.md")
	if err != nil {
		t.Fatal(err)
	}
	var scenarios, guards []string
	for _, s := range slices.Concat(sim.Scenarios, sim.CalledScenarios, sim.DiskScenarios) {
		scenarios = append(scenarios, s.Name)
	}
	for _, m := range Mutants {
		guards = append(guards, m.Guard)
	}
	fleet, err := os.ReadFile("../../cmd/sparnotch-bench/fleet.go")
	if err != nil {
		t.Fatal(err)
	}
	isNamed := map[string]bool{}
	for _, found := range referencePattern.FindAllStringSubmatch(string(data), -1) {
		kind, name := found[1], found[2]
		isNamed[kind+":"+name] = true
		exists := false
		switch kind {
		case "sim":
			exists = slices.Contains(scenarios, name)
		case "mutant":
			exists = slices.Contains(guards, name)
		case "fault":
			exists = slices.Contains(sim.FaultNames(), name)
		case "fleet":
			exists = strings.Contains(string(fleet), `"`+name+`"`)
		case "test":
			folder, test, _ := strings.Cut(name, " ")
			files, _ := filepath.Glob(filepath.Join("../..", folder, "*_test.go"))
			for _, file := range files {
				text, _ := os.ReadFile(file)
				exists = exists || strings.Contains(string(text), "func "+test+"(")
			}
		}
		if !exists && !strings.Contains("NAME PACKAGE NAME GUARD FAULT", name) {
			t.Errorf("docs/proof.md names %s:%s, which isn't there", kind, name)
		}
	}
	for _, guard := range guards {
		if !isNamed["mutant:"+guard] {
			t.Errorf("docs/proof.md doesn't name the mutant %q", guard)
		}
	}
}
