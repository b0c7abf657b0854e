package sim

import (
	"bytes"
	"flag"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/check"
)

var seeds = flag.Int("seeds", 1, "how many seeds to run each scenario with")
var firstSeed = flag.Uint64("seed", 1, "the first seed")
var only = flag.String("scenario", "", "run only this scenario")

// play runs a scenario and reports what it breaks.
func play(t *testing.T, s Scenario, seed uint64) *Fleet {
	f, breaches, wrong := Play(s, Small, seed)
	for _, b := range breaches[:min(len(breaches), 12)] {
		t.Error(b)
	}
	for _, each := range wrong {
		t.Error(each)
	}
	return f
}

func TestScenarios(t *testing.T) {
	for _, s := range Scenarios {
		if *only != "" && s.Name != *only {
			continue
		}
		for k := 0; k < *seeds; k++ {
			seed := *firstSeed + uint64(k)
			t.Run(fmt.Sprintf("%s/%d", s.Name, seed), func(t *testing.T) {
				t.Parallel()
				f := play(t, s, seed)
				accepted, begun := 0, 0
				for _, e := range f.History {
					if e.Kind == check.HandInReply && e.Code == 201 {
						accepted++
					}
					if e.Kind == check.Begin {
						begun++
					}
				}
				// A run in which nothing happened proves nothing.
				if accepted < 50 || begun < 100 {
					t.Errorf("only %d jobs accepted and %d tasks begun", accepted, begun)
				}
			})
		}
	}
}

// pinned are seeds that once broke a rule; what they found is told in the
// commits that mended it.
var pinned = map[string][]uint64{
	"all killed at once":                {105, 107, 116},
	"side machines swapped out":         {1007},
	"keeper isolated":                   {3005},
	"keeper warned, then the next":      {20005, 20019, 20009},
	"clocks jump":                       {100, 101, 102, 108},
	"keepers killed in turn, rough net": {103, 6011, 7051},
	"disk stalls":                       {102, 3011},
	"steward frozen and superseded":     {20014},
}

func TestPinnedSeeds(t *testing.T) {
	for _, s := range Scenarios {
		for _, seed := range pinned[s.Name] {
			t.Run(fmt.Sprintf("%s/%d", s.Name, seed), func(t *testing.T) {
				t.Parallel()
				play(t, s, seed)
			})
		}
	}
}

func TestSameSeedSameHistory(t *testing.T) {
	Convey("The same seed gives the same history, byte for byte, and another seed another one", t, func() {
		s := Scenarios[4]
		one, _, _ := Play(s, Small, 7)
		two, _, _ := Play(s, Small, 7)
		other, _, _ := Play(s, Small, 8)
		So(len(one.History), ShouldBeGreaterThan, 500)
		So(bytes.Equal(one.Bytes(), two.Bytes()), ShouldBeTrue)
		So(bytes.Equal(one.Bytes(), other.Bytes()), ShouldBeFalse)
	})
}
