package ablation

import (
	"path/filepath"
	"testing"

	"sparnotch/internal/mutation"
)

// TestEditsMatchSource checks that names are unique, that every edit finds the text that it
// replaces, and that the system builds without each mechanism.
func TestEditsMatchSource(t *testing.T) {
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	isKnown := map[string]bool{}
	for _, ablation := range Ablations {
		if isKnown[ablation.Name] || Find(ablation.Name) != ablation {
			t.Errorf("two ablations are named %q", ablation.Name)
		}
		isKnown[ablation.Name] = true
		t.Run(ablation.Name, func(t *testing.T) {
			t.Parallel()
			if _, err := mutation.Build(&mutation.Mutant{Guard: ablation.Name, Edits: ablation.Edits}, root, t.TempDir()); err != nil {
				t.Error(err)
			}
		})
	}
}
