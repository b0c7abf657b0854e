package sim

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
)

// TestOverlappingFaults runs schedules in which three random kinds of faults occur at once, twice,
// and which end with a fault right after an acknowledgement. The flag -seeds sets how many
// schedules are run in addition to the first, then also on whole deployments; sparnotch-bench
// simulate -overlap runs any number.
func TestOverlappingFaults(t *testing.T) {
	for _, spec := range FleetSpecs() {
		if !spec.HasCalledWorkers() || spec.Name != SmallCalledFleet.Name && *seeds == 1 {
			continue
		}
		for seed := *firstSeed; seed <= *firstSeed+uint64(*seeds); seed++ {
			schedule := OverlappingSchedule(seed, spec)
			t.Run(fmt.Sprint(spec.Name, "/", seed), func(t *testing.T) {
				t.Parallel()
				runOn(t, schedule.Scenario(), spec, seed)
			})
		}
	}
}

func TestOverlappingSchedules(t *testing.T) {
	Convey("Every kind is drawn, what is drawn can be survived, and the day ends right after an acknowledgement", t, func() {
		drawn := map[string]bool{}
		for seed := uint64(1); seed <= 300; seed++ {
			schedule := OverlappingSchedule(seed, SmallCalledFleet)
			parsed, err := ParseSchedule(schedule.String(), SmallCalledFleet)
			So(err, ShouldBeNil)
			So(parsed, ShouldResemble, schedule)
			So(schedule[len(schedule)-1].Kind, ShouldStartWith, "close")
			for _, fault := range schedule {
				drawn[fault.Kind] = true
			}
		}
		for _, name := range FaultNames() {
			So(drawn[name], ShouldBeTrue)
		}
	})
}

// faultsAndAcknowledgements returns the faults of a run, and for each of them the time since the
// last acknowledgement before it.
func faultsAndAcknowledgements(f *Fleet) (faults []string, waits []eventloop.Micros) {
	last := eventloop.Micros(0)
	for _, e := range f.History {
		isSubmission := e.Kind == checker.SubmitReply && (e.Code == 200 || e.Code == 201)
		if isSubmission || e.Kind == checker.ConfigurationReply && e.Code == 200 {
			last = e.At
		}
		if e.Kind == checker.Fault {
			faults, waits = append(faults, e.State), append(waits, e.At-last)
		}
	}
	return faults, waits
}

func TestFaultsAfterAcknowledgements(t *testing.T) {
	Convey("A fault that waits for an acknowledgement strikes within 4 ms of it, and no rule breaks", t, func() {
		schedule, err := ParseSchedule("ackwipe/all:1s@3s,closepower/all:700ms@20s", SmallCalledFleet)
		So(err, ShouldBeNil)
		f, violations, _ := RunScenario(schedule.Scenario(), SmallCalledFleet, 1)
		So(violations, ShouldBeEmpty)
		faults, waits := faultsAndAcknowledgements(f)
		So(len(faults), ShouldEqual, 2)
		So(strings.HasSuffix(faults[0], "loses its disk"), ShouldBeTrue)
		for _, wait := range waits {
			So(wait, ShouldBeLessThanOrEqualTo, 4*eventloop.Millisecond)
		}
	})
}

func TestLostAnswers(t *testing.T) {
	Convey("What wasn't acknowledged is sent again and none of it is refused", t, func() {
		schedule, err := ParseSchedule("ackloss/all:6s@3s,race/all:1s@3500ms,crowd/all:1s@5s", SmallCalledFleet)
		So(err, ShouldBeNil)
		f, violations, _ := RunScenario(schedule.Scenario(), SmallCalledFleet, 2)
		So(violations, ShouldBeEmpty)
		lost := map[string]int{}
		for _, e := range f.History {
			if e.State == checker.AcknowledgementLost {
				lost[e.Kind]++
			}
		}
		So(lost[checker.ConfigurationReply], ShouldBeGreaterThan, 0)
		So(lost[checker.SubmitReply], ShouldBeGreaterThan, 3)
	})
}

func TestLossesBetweenGangStarts(t *testing.T) {
	for _, s := range GangScenarios {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			runSmall(t, s, 1)
		})
	}
}
