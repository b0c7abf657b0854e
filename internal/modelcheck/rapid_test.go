package modelcheck

import (
	"testing"

	"pgregory.net/rapid"
)

// maxDrawnSteps is how long a drawn schedule is at most.
const maxDrawnSteps = 120

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
			w.Execute(step)
		}
		for _, choice := range rapid.SliceOfN(rapid.Uint16(), maxDrawnSteps/4, maxDrawnSteps).Draw(t, "choices") {
			moves := w.EnabledSteps()
			step := moves[int(choice)%len(moves)]
			if w.Execute(step); w.Violation() != "" {
				break
			}
			taken = append(taken, step)
		}
		if broken := checkHistory(w); broken != "" {
			t.Fatalf("%s\n%s", broken, replayCommand(&Violation{broken, limits, 0, taken}))
		}
	})
}
