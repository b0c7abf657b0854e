package modelcheck

import (
	"testing"

	"pgregory.net/rapid"
)

// rapidSteps is how long a drawn schedule is at most.
const rapidSteps = 120

// TestDrawnSchedules lets rapid choose among all that may happen, as a state
// machine whose state is the world; what it finds it shrinks by itself, and the
// schedule is printed to be played again.
func TestDrawnSchedules(t *testing.T) {
	limits, err := preset("drawn")
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		w := NewWorld(limits, 0)
		taken := ParseSchedule(atRest)
		for _, step := range taken {
			w.Take(step)
		}
		for _, choice := range rapid.SliceOfN(rapid.Uint16(), rapidSteps/4, rapidSteps).Draw(t, "choices") {
			moves := w.Moves()
			step := moves[int(choice)%len(moves)]
			if w.Take(step); w.Broken() != "" {
				break
			}
			taken = append(taken, step)
		}
		if broken := judge(w); broken != "" {
			t.Fatalf("%s\n%s", broken, again(&Finding{broken, limits, 0, taken}))
		}
	})
}
