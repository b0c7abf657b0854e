package sim

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
)

// alwaysRunWithCalledWorkers lists the scenarios, besides CalledScenarios, that every test run
// includes for called workers. sparnotch-bench simulate runs any scenario with any seed.
var alwaysRunWithCalledWorkers = map[string]bool{
	"calm": true, "rough net": true, "leader killed": true, "operators race": true, "clocks jump": true, "core split each way": true,
}

// countEvents counts by kind the events in a run's history that the checker's rules cover.
func countEvents(f *Fleet) map[string]int {
	count := map[string]int{}
	for _, e := range f.History {
		switch {
		case e.Kind == checker.TaskStart:
			count["started"]++
			if e.Attempt > 1 {
				count["started again"]++
			}
			if e.Checkpoint != "" {
				count["from a checkpoint"]++
			}
			if e.IsLate {
				count["late"]++
			}
		case e.Kind == checker.TaskEnd:
			count[e.State]++
		case e.Kind == checker.EndAcknowledged, e.Kind == checker.WorkerDraining:
			count[e.Kind]++
		case e.Kind == checker.ConfigurationReply && e.Code == 200:
			count[e.Kind]++
		case e.Kind == checker.Status && (e.State == "complete" || e.State == "failed" || e.State == "cancelled"):
			count["shown "+e.State]++
		}
	}
	return count
}

// maxSeeds is the number of seeds with which a scenario may be run until every event that it
// should cause has occurred.
const maxSeeds = 4

func TestCalledScenarios(t *testing.T) {
	expectedEvents := map[string][]string{
		"calm": {"started again", "failed", "broken", "shown complete", "shown failed", "shown cancelled"},
		"called workers crash, vanish, leave at once, fail, stand still": {"gone", "from a checkpoint", "failed", checker.WorkerDraining},
		"orders are left unanswered and carried out late":                {"late"},
		"side machines killed, frozen, cut":                              {"lapsed", "started again"},
		"urgent work while called workers are full":                      {"stopped", "from a checkpoint"},
	}
	for _, s := range ScenariosFor(SmallCalledFleet) {
		isForCalled := slices.ContainsFunc(CalledScenarios, func(called Scenario) bool { return called.Name == s.Name })
		if *onlyScenario != "" && s.Name != *onlyScenario || *onlyScenario == "" && !isForCalled && !alwaysRunWithCalledWorkers[s.Name] {
			continue
		}
		for k := 0; k < *seeds; k++ {
			seed := *firstSeed + uint64(k)
			t.Run(fmt.Sprintf("%s/%d", s.Name, seed), func(t *testing.T) {
				t.Parallel()
				count := countEvents(runOn(t, s, SmallCalledFleet, seed))
				// A run in which hardly anything happened proves nothing.
				for _, kind := range []string{"started", "done", checker.EndAcknowledged, checker.ConfigurationReply} {
					if count[kind] == 0 {
						t.Errorf("the history has no event of the kind %q", kind)
					}
				}
				// The events that a scenario should cause are checked with seed 1, which always
				// runs. Any change to the messages between processes changes the random faults, so
				// if an event is missing the next seeds are run as well until it occurs.
				isMissing := func(kind string) bool { return count[kind] == 0 }
				for next := seed + 1; seed == 1 && slices.ContainsFunc(expectedEvents[s.Name], isMissing); next++ {
					if next > maxSeeds {
						t.Fatalf("not all of the events %v occurred with %d seeds: %v", expectedEvents[s.Name], maxSeeds, count)
					}
					for kind, times := range countEvents(runOn(t, s, SmallCalledFleet, next)) {
						count[kind] += times
					}
				}
			})
		}
	}
}

// TestTripleLoss checks on whole deployments that the tasks of a lost worker start again within
// the recovery bound even if the leader and the controller are lost at the same time. Each of
// these seeds exceeded the bound while nothing limited how long late jobs wait.
func TestTripleLoss(t *testing.T) {
	seeds := map[string][]uint64{"bank-called": {22, 25}, "skema-called": {21, 26}}
	for _, spec := range FleetSpecs() {
		for _, s := range ScenariosFor(spec) {
			if s.Name != "leader, controller and worker lost at once" {
				continue
			}
			for _, seed := range seeds[spec.Name] {
				t.Run(fmt.Sprint(spec.Name, "/", seed), func(t *testing.T) {
					t.Parallel()
					runOn(t, s, spec, seed)
				})
			}
		}
	}
}

// TestCalledDeployments runs the fleets of the package deployments with called workers and single
// faults, and random schedules of several faults on the small fleet.
func TestCalledDeployments(t *testing.T) {
	for _, spec := range FleetSpecs() {
		if !spec.HasCalledWorkers() || spec.Name == SmallCalledFleet.Name {
			continue
		}
		for _, s := range ScenariosFor(spec) {
			if s.Name != "leader killed" && s.Name != "called workers crash, vanish, leave at once, fail, stand still" {
				continue
			}
			t.Run(spec.Name+"/"+s.Name, func(t *testing.T) {
				t.Parallel()
				runOn(t, s, spec, 1)
			})
		}
	}
	for seed := uint64(2); seed <= 3; seed++ {
		schedule := RandomSchedule(seed, SmallCalledFleet)
		t.Run(fmt.Sprint("schedule ", seed), func(t *testing.T) {
			t.Parallel()
			runOn(t, schedule.Scenario(), SmallCalledFleet, seed)
		})
	}
}

func TestCalledSameSeedSameHistory(t *testing.T) {
	Convey("With called workers too, the same seed gives the same history", t, func() {
		s := CalledScenarios[0]
		one, _, _ := RunScenario(s, SmallCalledFleet, 7)
		two, _, _ := RunScenario(s, SmallCalledFleet, 7)
		So(len(one.History), ShouldBeGreaterThan, 500)
		So(bytes.Equal(one.EncodeHistory(), two.EncodeHistory()), ShouldBeTrue)
	})
}

func TestFailuresAllowedByQueue(t *testing.T) {
	Convey("What a queue's row allows stands where a step says nothing", t, func() {
		kind := CalledJobKinds()[0]
		So(kind.withAllowedFailures().Steps[0].AllowedFailures, ShouldEqual, 3)
		So(kind.Job.Steps[0].AllowedFailures, ShouldEqual, 0)
		kind.Job.Steps[0].AllowedFailures = 1
		So(kind.withAllowedFailures().Steps[0].AllowedFailures, ShouldEqual, 1)
		So(eventloop.Micros(SmallCalledFleet.Bounds.MaxWorkerLeaseUs), ShouldEqual, 6*eventloop.Second)
	})
}
