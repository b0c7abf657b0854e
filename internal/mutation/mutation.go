// Package mutation tests the tests by mutation. A Mutant removes one guard from the system, a
// condition that a rule of the requirements depends on, and names the test or simulated run
// that must then fail. docs/proof.md lists the mutants of each rule.
//
// Mutants quote the source text that they change. They are built with the go command's -overlay
// flag, so that the source tree itself is never changed.
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

// Edit replaces Old by New in the source files of a package, excluding tests. Old must occur
// exactly once. Package is the package's directory, relative to the module's root.
type Edit struct{ Package, Old, New string }

// Mutant removes one guard from the system. The mutant is killed either by Test, which fails, or
// by a simulated run of Scenario or Faults with Seed, which breaks Rule.
type Mutant struct {
	Guard    string // what the removed code ensures; unique
	Edits    []Edit
	Rule     int // number of the rule in the requirements; 0: the final checks of a scenario
	Scenario string
	Faults   string // a fault schedule, instead of a scenario
	Size     string // size of the simulated fleet; "": small
	Seed     uint64
	Test     string // "PACKAGE TestName"
}

// Overlay writes the changed files, and a file for the go command's -overlay flag, into a
// directory. It returns the path of the latter file.
func (m *Mutant) Overlay(root, dir string) (string, error) {
	changed := map[string]string{}
	for _, edit := range m.Edits {
		if err := edit.apply(root, changed); err != nil {
			return "", fmt.Errorf("%s: %w", m.Guard, err)
		}
	}
	replacements := map[string]string{}
	for file, text := range changed {
		path := filepath.Join(dir, strings.ReplaceAll(strings.TrimPrefix(file, root+"/"), "/", "_"))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return "", err
		}
		replacements[file] = path
	}
	data, err := json.Marshal(overlayFile{Replace: replacements})
	if err != nil {
		return "", err
	}
	overlay := filepath.Join(dir, "overlay.json")
	return overlay, os.WriteFile(overlay, data, 0o600)
}

// ApplyEdits applies edits to the files below a root directory, which must be a copy of the
// source tree.
func ApplyEdits(edits []Edit, root string) error {
	changed := map[string]string{}
	for _, edit := range edits {
		if err := edit.apply(root, changed); err != nil {
			return err
		}
	}
	for file, text := range changed {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// overlayFile is the format of the go command's -overlay flag.
type overlayFile struct {
	Replace map[string]string // paths of the changed files, by the paths of the original files
}

// apply applies the edit to the file that contains Old, and stores the file's new text in
// changed, by path. It returns an error if Old doesn't occur exactly once in the package.
func (e Edit) apply(root string, changed map[string]string) error {
	files, err := filepath.Glob(filepath.Join(root, e.Package, "*.go"))
	if err != nil {
		return err
	}
	last, count := "", 0
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text, isChanged := changed[file]
		if !isChanged {
			data, err := os.ReadFile(file)
			if err != nil {
				return err
			}
			text = string(data)
		}
		if occurrences := strings.Count(text, e.Old); occurrences > 0 {
			last, count = file, count+occurrences
			changed[file] = strings.Replace(text, e.Old, e.New, 1)
		}
	}
	if count != 1 {
		return fmt.Errorf("the text to change occurs %d times in %s instead of once (last in %q)", count, e.Package, last)
	}
	return nil
}

// Build builds sparnotch-bench with a mutant, or without any if m is nil, in a directory. It
// returns the path of the program.
func Build(m *Mutant, root, dir string) (string, error) {
	bench := filepath.Join(dir, "sparnotch-bench")
	args := []string{"build", "-o", bench}
	if m != nil {
		overlay, err := m.Overlay(root, dir)
		if err != nil {
			return "", err
		}
		args = append(args, "-overlay", overlay)
	}
	command := exec.Command("go", append(args, "./cmd/sparnotch-bench")...)
	command.Dir = root
	if out, err := command.CombinedOutput(); err != nil {
		return "", fmt.Errorf("sparnotch-bench doesn't build: %w: %s", err, out)
	}
	return bench, nil
}

// violationPattern matches the line that the checker prints for a broken rule.
var violationPattern = regexp.MustCompile(`(?m)^BROKEN rule (\d+)`)

// CountViolations runs the simulate command of a sparnotch-bench program with the given
// arguments. It returns the number of violations by rule, where rule 0 stands for a scenario's
// final checks, and the output. If the run ends without the checker's verdict, it returns an
// error.
func CountViolations(bench string, args ...string) (map[int]int, string, error) {
	out, err := exec.Command(bench, append([]string{"simulate"}, args...)...).CombinedOutput()
	counts := map[int]int{}
	for _, found := range violationPattern.FindAllStringSubmatch(string(out), -1) {
		rule, _ := strconv.Atoi(found[1])
		counts[rule]++
	}
	if count := strings.Count(string(out), "WRONG "); count > 0 {
		counts[0] = count
	}
	if !strings.Contains(string(out), "\ncheck: ") && !strings.HasPrefix(string(out), "check: ") {
		return nil, string(out), fmt.Errorf("the run ended without the checker's verdict: %w", err)
	}
	return counts, string(out), nil
}
