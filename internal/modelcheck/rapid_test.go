package modelcheck

import (
	"testing"

	"pgregory.net/rapid"
)

// maxDrawnSteps limits the length of a drawn schedule.
const maxDrawnSteps = 120

// TestDrawnSchedules lets package rapid choose among the enabled steps. Rapid shrinks the
// schedule of a violation, and the test prints the command that replays it.
func TestDrawnSchedules(t *testing.T) {
	limits, err := preset("drawn")
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		w := NewWorld(limits, 0)
		taken := ParseSchedule(idleGroup)
		for _, step := range taken {
			w.Execute(step)
		}
		for _, choice := range rapid.SliceOfN(rapid.Uint16(), maxDrawnSteps/4, maxDrawnSteps).Draw(t, "choices") {
			enabled := w.EnabledSteps()
			step := enabled[int(choice)%len(enabled)]
			if w.Execute(step); w.Violation() != "" {
				break
			}
			taken = append(taken, step)
		}
		if violation := checkHistory(w); violation != "" {
			t.Fatalf("%s\n%s", violation, replayCommand(&Violation{violation, limits, 0, taken}))
		}
	})
}
