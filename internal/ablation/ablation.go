// Package ablation switches off single mechanisms of policy, to measure what each is worth. An
// Ablation is a set of source edits, like a mutant (internal/mutation), but breaks no guard: the
// system without it works, and decides worse, or no worse.
//
// docs/decisions.md has what each was worth when it was last measured.
package ablation

import (
	"fmt"

	"sparnotch/internal/mutation"
)

// Ablation is the system without one mechanism.
type Ablation struct {
	Name  string // unique
	What  string // the mechanism that is missing, in a line
	Edits []mutation.Edit
}

// Find returns the ablation of a name; nil if there is none.
func Find(name string) *Ablation {
	for _, ablation := range Ablations {
		if ablation.Name == name {
			return ablation
		}
	}
	return nil
}

// Apply edits a copy of the source tree in place.
func (a *Ablation) Apply(root string) error {
	if err := mutation.ApplyEdits(a.Edits, root); err != nil {
		return fmt.Errorf("%s: %w", a.Name, err)
	}
	return nil
}
