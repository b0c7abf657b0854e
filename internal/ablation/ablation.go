// Package ablation removes single mechanisms of the scheduling policy, to measure how much each
// of them contributes. An Ablation is a set of source edits, like a mutant (internal/mutation),
// but it removes no guard: the system works correctly without the mechanism, and its decisions
// are worse, or just as good.
//
// docs/decisions.md lists the contribution of each mechanism when it was last measured.
package ablation

import (
	"fmt"

	"sparnotch/internal/mutation"
)

// Ablation removes one mechanism from the system.
type Ablation struct {
	Name  string // unique
	What  string // describes the removed mechanism in one line
	Edits []mutation.Edit
}

// Find returns the ablation with the given name; nil if there is none.
func Find(name string) *Ablation {
	for _, ablation := range Ablations {
		if ablation.Name == name {
			return ablation
		}
	}
	return nil
}

// Apply applies the ablation's edits to the files below a root directory, which must be a copy
// of the source tree.
func (a *Ablation) Apply(root string) error {
	if err := mutation.ApplyEdits(a.Edits, root); err != nil {
		return fmt.Errorf("%s: %w", a.Name, err)
	}
	return nil
}
