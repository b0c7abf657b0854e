// Package mutation owns the mutants: for each guard a rule rests on, the guard taken
// out, and the run that then breaks the rule. They show that a proof can fail.
package mutation

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
)

// Edit replaces the one place where Old stands in the files of a package, its
// tests left out; Package is the folder from the repository's top.
type Edit struct{ Package, Old, New string }

// Mutant is the system without one guard. What shows it is a simulated run of a
// scenario with a seed, which then breaks the rule; or, for what no caller could
// see in time, a test that then fails.
type Mutant struct {
	Guard    string
	Edits    []Edit
	Rule     int // 0: what else must hold at the end of the scenario
	Scenario string
	Faults   string // a schedule instead of a scenario
	Size     string // of the fleet; empty: small
	Seed     uint64
	Test     string // PACKAGE NAME
}

// Overlay writes the changed files into a folder, and the list of them that the
// go command takes; the tree itself stays as it is.
func (m *Mutant) Overlay(root, folder string) (string, error) {
	content := map[string]string{}
	for _, edit := range m.Edits {
		if err := edit.apply(root, content); err != nil {
			return "", fmt.Errorf("%s: %w", m.Guard, err)
		}
	}
	replace := map[string]string{}
	for file, text := range content {
		path := filepath.Join(folder, strings.ReplaceAll(strings.TrimPrefix(file, root+"/"), "/", "_"))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return "", err
		}
		replace[file] = path
	}
	data, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", err
	}
	list := filepath.Join(folder, "overlay.json")
	return list, os.WriteFile(list, data, 0o600)
}

// apply makes the edit in the content of changed files, by path. It is an error
// where Old doesn't stand exactly once in the package.
func (e Edit) apply(root string, content map[string]string) error {
	files, err := filepath.Glob(filepath.Join(root, e.Package, "*.go"))
	if err != nil {
		return err
	}
	found, count := "", 0
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text, isChanged := content[file]
		if !isChanged {
			data, err := os.ReadFile(file)
			if err != nil {
				return err
			}
			text = string(data)
		}
		if here := strings.Count(text, e.Old); here > 0 {
			found, count = file, count+here
			content[file] = strings.Replace(text, e.Old, e.New, 1)
		}
	}
	if count != 1 {
		return fmt.Errorf("what it changes stands %d times in %s (last in %q)", count, e.Package, found)
	}
	return nil
}

// Build makes sparnotch-bench with the mutant in it, or without one for nil.
func Build(m *Mutant, root, folder string) (string, error) {
	args := []string{"build", "-o", filepath.Join(folder, "sparnotch-bench")}
	if m != nil {
		list, err := m.Overlay(root, folder)
		if err != nil {
			return "", err
		}
		args = append(args, "-overlay", list)
	}
	command := exec.Command("go", append(args, "./cmd/sparnotch-bench")...)
	command.Dir = root
	if out, err := command.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building: %w: %s", err, out)
	}
	return filepath.Join(folder, "sparnotch-bench"), nil
}

var violationPattern = regexp.MustCompile(`(?m)^BROKEN rule (\d+)`)

// CountViolations plays what sparnotch-bench simulate is told to and counts the breaches by rule; a run that
// ends otherwise than judged is an error.
func CountViolations(bench string, args ...string) (map[int]int, string, error) {
	out, err := exec.Command(bench, append([]string{"simulate"}, args...)...).CombinedOutput()
	counts := map[int]int{}
	for _, found := range violationPattern.FindAllStringSubmatch(string(out), -1) {
		rule, _ := strconv.Atoi(found[1])
		counts[rule]++
	}
	// What must hold at the end of a scenario besides the rules counts as 0.
	if count := strings.Count(string(out), "WRONG "); count > 0 {
		counts[0] = count
	}
	if !strings.Contains(string(out), "\ncheck: ") && !strings.HasPrefix(string(out), "check: ") {
		return nil, string(out), fmt.Errorf("not judged: %v", err)
	}
	return counts, string(out), nil
}
