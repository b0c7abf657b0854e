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

// referencePattern matches a reference of docs/proof.md, KIND:NAME.
var referencePattern = regexp.MustCompile("`(sim|test|mutant|fleet|fault):([^`]+)`")

// placeholders holds the names in the examples with which docs/proof.md explains its references.
const placeholders = "NAME PACKAGE NAME GUARD FAULT"

// TestProofPage checks that every scenario, test, mutant and fault that docs/proof.md names
// exists, and that docs/proof.md names every mutant.
func TestProofPage(t *testing.T) {
	data, err := os.ReadFile("../../docs/proof.md")
	if err != nil {
		t.Fatal(err)
	}
	exists := referenceChecks(t)
	isNamed := map[string]bool{}
	for _, match := range referencePattern.FindAllStringSubmatch(string(data), -1) {
		kind, name := match[1], match[2]
		isNamed[kind+":"+name] = true
		if !exists[kind](name) && !strings.Contains(placeholders, name) {
			t.Errorf("docs/proof.md names %s:%s, which doesn't exist", kind, name)
		}
	}
	for _, m := range Mutants {
		if !isNamed["mutant:"+m.Guard] {
			t.Errorf("docs/proof.md doesn't name the mutant %q", m.Guard)
		}
	}
}

// referenceChecks returns, for each kind of reference, a function that reports whether a name
// exists.
func referenceChecks(t *testing.T) map[string]func(name string) bool {
	t.Helper()
	isScenario := map[string]bool{}
	for _, scenario := range slices.Concat(sim.Scenarios, sim.CalledScenarios, sim.DiskScenarios) {
		isScenario[scenario.Name] = true
	}
	isGuard := map[string]bool{}
	for _, m := range Mutants {
		isGuard[m.Guard] = true
	}
	fleet := readFiles(t, "../../cmd/sparnotch-bench/fleet*.go", isSource)
	return map[string]func(string) bool{
		"sim":    func(name string) bool { return isScenario[name] },
		"mutant": func(name string) bool { return isGuard[name] },
		"fault":  func(name string) bool { return slices.Contains(sim.FaultNames(), name) },
		"fleet":  func(name string) bool { return strings.Contains(fleet, `"`+name+`"`) },
		"test": func(name string) bool {
			dir, test, _ := strings.Cut(name, " ")
			return strings.Contains(readFiles(t, filepath.Join("../..", dir, "*_test.go"), isTest), "func "+test+"(")
		},
	}
}

func isTest(path string) bool   { return strings.HasSuffix(path, "_test.go") }
func isSource(path string) bool { return !isTest(path) }

// readFiles returns the concatenated content of the files that match a pattern and a condition.
func readFiles(t *testing.T, pattern string, isWanted func(path string) bool) string {
	t.Helper()
	paths, err := filepath.Glob(pattern)
	if err != nil {
		t.Fatal(err)
	}
	var content strings.Builder
	for _, path := range paths {
		if !isWanted(path) {
			continue
		}
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		content.Write(data)
	}
	return content.String()
}
