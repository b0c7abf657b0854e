package sim

import (
	"fmt"
	"slices"
	"testing"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
)

const (
	supersededSpan = 6 * eventloop.Second // a controller that is cut off has a successor by then
	servedSpan     = 6 * eventloop.Second // and its machine's worker has work again, after the cut
)

// cutSide plays one cut of the controller's machine, where a worker's agent runs as
// well, while the fleet is at work; the judge looks at everything that ran.
func cutSide(seed uint64, kind int) (wrong []string) {
	size := SmallCalled
	// A light load, with work for either pool's workers.
	kinds := size.Kinds
	size.Kinds = slices.DeleteFunc(slices.Clone(kinds), func(k Kind) bool {
		at := slices.IndexFunc(kinds, func(each Kind) bool { return each.Name == k.Name && each.Queue == k.Queue })
		return at >= 4 && k.Queue != "far"
	})
	f := NewFleet(seed, size, CalmNet, 500, 30*eventloop.Second)
	f.Holds = (uint64(kind)+seed)%2 == 0
	f.Run(f.Began + 3*eventloop.Second)
	r := &cutRun{World: f.World, host: f.controller()}
	side := []*Host{r.host, f.lean[0], r.voter("follower")}
	r.host.Seeds = nil
	for _, h := range side {
		r.host.Seeds = append(r.host.Seeds, h.Address)
	}
	worker := f.called[r.host.place()]
	old := r.host.Id
	f.Fault("%s cut off, %s", r.host.Name, cutKinds[kind].name)
	cutKinds[kind].apply(r, side, true)
	if cutKinds[kind].restarts {
		f.After(3*eventloop.Second, r.host.Kill)
		f.After(3500*eventloop.Millisecond, r.host.Start)
	}
	f.Run(f.Now + supersededSpan)
	if belief := r.voter("leader").Belief(); belief.Controller == old {
		wrong = append(wrong, "its lease was given to nobody else")
	}
	f.Run(f.Now + cutSpan - supersededSpan)
	cutKinds[kind].apply(r, side, false)
	mended := f.Now
	for _, breach := range f.Finish() {
		wrong = append(wrong, fmt.Sprint(breach))
	}
	isBegun := slices.ContainsFunc(f.History, func(e checker.Event) bool {
		return e.Kind == checker.TaskStart && e.Actor == worker.Name() && e.At > mended && e.At < mended+servedSpan
	})
	if !isBegun {
		wrong = append(wrong, "its worker got no work after the cut")
	}
	return wrong
}

func TestCutOffController(t *testing.T) {
	for kind := range cutKinds {
		for k := range *seeds {
			seed := *firstSeed + uint64(k)
			t.Run(fmt.Sprintf("%s/%d", cutKinds[kind].name, seed), func(t *testing.T) {
				t.Parallel()
				wrong := cutSide(seed, kind)
				for _, each := range wrong[:min(len(wrong), 12)] {
					t.Error(each)
				}
			})
		}
	}
}
