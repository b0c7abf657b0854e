package sim

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
)

// TestExcessiveLosses runs schedules in which more storage nodes are unavailable at once than the
// fleet tolerates. The flag -seeds sets how many schedules are run in addition to the first;
// sparnotch-bench simulate -excess runs any number.
func TestExcessiveLosses(t *testing.T) {
	for seed := *firstSeed; seed <= *firstSeed+uint64(*seeds); seed++ {
		schedule := ExcessiveSchedule(seed, SmallCalledFleet)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := runOn(t, schedule.ExcessScenario(), SmallCalledFleet, seed)
			lost, restored := 0, 0
			for _, e := range f.History {
				switch e.Kind {
				case checker.QuorumLost:
					lost++
				case checker.QuorumRestored:
					restored++
				}
			}
			// The last fault stops every process, so there is at least one outage.
			if lost == 0 || restored != lost {
				t.Errorf("of %d outages %d have ended; at least one was expected, and all must end", lost, restored)
			}
		})
	}
}

// TestTwoHalves repeatedly partitions the storage nodes into two sides for some seconds, while
// operators and clients reach both sides.
func TestTwoHalves(t *testing.T) {
	schedule, err := ParseExcessiveSchedule(
		"corecut/leader:6s@3s,corecut/server1:5s@11s,corecut/server2:5s@11s,race/all:1s@13s,corecut/server3:7s@19s,coremute/server1:7s@20s,crowd/all:1s@22s,table/all:1s@24s", SmallCalledFleet)
	if err != nil {
		t.Fatal(err)
	}
	runOn(t, schedule.ExcessScenario(), SmallCalledFleet, 1)
}

func TestExcessiveSchedules(t *testing.T) {
	Convey("Losses overlap beyond what may be lost, no schedule loses two disks, and it is read again as it was drawn", t, func() {
		overlapping := 0
		for seed := uint64(1); seed <= 200; seed++ {
			schedule := ExcessiveSchedule(seed, SmallCalledFleet)
			parsed, err := ParseExcessiveSchedule(schedule.String(), SmallCalledFleet)
			So(err, ShouldBeNil)
			So(parsed, ShouldResemble, schedule)
			if schedule.Check(SmallCalledFleet) != nil {
				overlapping++
			}
		}
		So(overlapping, ShouldBeGreaterThan, 190)
	})
	Convey("A second lost disk, and a fault that isn't known, are refused", t, func() {
		for _, text := range []string{"wipe/server1:1s@3s,replace/server2:1s@9s", "ackwipe/all:1s@3s,closewipe/all:1s@40s", "sneeze/all:1s@3s"} {
			_, err := ParseExcessiveSchedule(text, SmallCalledFleet)
			So(err, ShouldNotBeNil)
		}
	})
}

func TestUnavailableStorageNodes(t *testing.T) {
	Convey("A storage node is away while it isn't among the most that serve, write, and reach each other", t, func() {
		f := NewFleet(1, SmallCalledFleet, ReliableNetwork, fastSync, eventloop.Second)
		f.Run(f.LoadStart)
		nodes := f.StorageNodes()
		So(f.unavailableStorageNodes(), ShouldEqual, 0)
		f.BlockLink(nodes[0], nodes[1], true)
		So(f.unavailableStorageNodes(), ShouldEqual, 1)
		f.BlockLink(nodes[1], nodes[2], true)
		So(f.unavailableStorageNodes(), ShouldEqual, 1)
		f.BlockLink(nodes[2], nodes[0], true)
		So(f.unavailableStorageNodes(), ShouldEqual, 2)
		for k := range nodes {
			f.BlockLink(nodes[k], nodes[(k+1)%len(nodes)], false)
		}
		nodes[1].StallUntil = f.Now + eventloop.Second
		So(f.unavailableStorageNodes(), ShouldEqual, 1)
		nodes[2].Kill()
		So(f.unavailableStorageNodes(), ShouldEqual, 2)
		nodes[0].Freeze(eventloop.Second)
		So(f.unavailableStorageNodes(), ShouldEqual, 3)
	})
}
