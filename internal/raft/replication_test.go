package raft

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
)

func TestSnapshotToLaggingFollower(t *testing.T) {
	Convey("A replica that was down until the log it lacks was compacted gets the snapshot, then the entries after it", t, func() {
		r := newCluster(5, ids...)
		r.run(4 * eventloop.Second)
		lead := r.leader()
		lagging := membersExcept(lead.self)[1]
		r.down[lagging] = true
		for k := 0; k < 50; k++ {
			r.propose(fmt.Sprint(k))
		}
		r.run(eventloop.Second)
		lead.Compact(lead.CommitIndex()-5, []byte("state"))
		r.processReady(lead.self)
		r.start(lagging)
		r.run(3 * eventloop.Second)
		So(r.applied[lagging], ShouldResemble, []string{"state", "45", "46", "47", "48", "49"})
		So(r.groups[lagging].GroupTime(r.now), ShouldBeGreaterThan, 0)
	})
}

func TestCatchUpSendsOnlyMissingEntries(t *testing.T) {
	Convey("A replica that returns is sent what it lacks about once, however many Appends were in flight", t, func() {
		for seed := uint64(1); seed < 20; seed++ {
			r := newCluster(seed, ids...)
			r.run(4 * eventloop.Second)
			lead := r.leader()
			lagging := membersExcept(lead.self)[1]
			r.isolate(lagging)
			for k := 0; k < 900; k++ {
				r.propose(fmt.Sprint(k))
			}
			r.run(3 * eventloop.Second)
			r.heal()
			// Many proposals arrive just before the replica catches up.
			r.appendCount, r.ordered = 0, true
			for k := 0; k < 40; k++ {
				r.propose(fmt.Sprint("n", k))
			}
			r.run(2 * eventloop.Second)
			So(len(r.applied[lagging]), ShouldEqual, 940)
			So(r.appendCount, ShouldBeLessThan, 120)
		}
	})
}

func TestNewLeaderWithLongLog(t *testing.T) {
	Convey("A new leader of a log longer than the bound on entries in flight holds its lease at once, and sends no entry again", t, func() {
		r := newCluster(9, ids...)
		r.run(4 * eventloop.Second)
		for k := 0; k < maxInflightEntries+500; k++ {
			r.propose(fmt.Sprint(k))
		}
		r.run(2 * eventloop.Second)
		old := r.leader()
		to := membersExcept(old.self)[0]
		r.appendCount = 0
		Convey("after a leadership transfer", func() {
			old.TransferLeadership(r.now, to)
			r.processReady(old.self)
			r.run(50 * eventloop.Millisecond)
			So(r.groups[to].HoldsLeaderLease(r.now), ShouldBeTrue)
			So(r.appendCount, ShouldBeLessThan, 10)
		})
		Convey("also if its first Append was lost", func() {
			r.blocked = func(from, other string) bool { return len(r.applied[to]) > 0 && r.groups[to].IsLeader() }
			old.TransferLeadership(r.now, to)
			r.processReady(old.self)
			r.run(50 * eventloop.Millisecond)
			So(r.groups[to].IsLeader(), ShouldBeTrue)
			r.heal()
			r.run(500 * eventloop.Millisecond)
			So(r.groups[to].HoldsLeaderLease(r.now), ShouldBeTrue)
			So(r.appendCount, ShouldBeLessThan, 20)
		})
	})
}

// changeFaults picks one of five events at random: the crash of a replica, the restart of
// all replicas that are down, a one-way partition, the end of the partition, or no event.
func (r *cluster) changeFaults() {
	switch r.rng.IntN(6) {
	case 0:
		id := ids[r.rng.IntN(3)]
		r.down[id] = true
	case 1, 2:
		r.startStopped()
	case 3:
		a, b := ids[r.rng.IntN(3)], ids[r.rng.IntN(3)]
		r.blocked = func(from, to string) bool { return from == a && to == b }
	case 4:
		r.heal()
	}
}

// startStopped starts the replicas that are down.
func (r *cluster) startStopped() {
	for _, id := range ids {
		if r.down[id] {
			r.start(id)
		}
	}
}

// longestApplied returns the longest sequence of commands that any replica ever applied,
// where before is the longest one until now. It returns an error if a replica has applied a
// different sequence.
func (r *cluster) longestApplied(before []string) ([]string, error) {
	longest := before
	for _, id := range ids {
		got := r.applied[id]
		for i := 0; i < min(len(got), len(longest)); i++ {
			if got[i] != longest[i] {
				return nil, fmt.Errorf("replica %s applied %q as command %d, but another replica had applied %q there", id, got[i], i, longest[i])
			}
		}
		if len(got) > len(longest) {
			longest = append([]string{}, got...)
		}
	}
	return longest, nil
}

// TestRandomHistories checks that under crashes, partitions and message loss all replicas
// apply the same sequence of commands, and that no applied command is lost.
func TestRandomHistories(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		r := newCluster(seed, ids...)
		r.lossRate = 0.1
		longest := []string{}
		for k := 0; k < 60; k++ {
			r.propose(fmt.Sprint(k))
			r.changeFaults()
			r.run(eventloop.Micros(r.rng.Int64N(int64(eventloop.Second))))
			var err error
			if longest, err = r.longestApplied(longest); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
		r.heal()
		r.lossRate = 0
		r.startStopped()
		r.run(8 * eventloop.Second)
		if len(longest) == 0 {
			t.Fatalf("seed %d: no replica applied any command", seed)
		}
		for _, id := range ids {
			if len(r.applied[id]) < len(longest) {
				t.Fatalf("seed %d: after all faults ended, replica %s applied only %d of %d commands", seed, id, len(r.applied[id]), len(longest))
			}
		}
	}
}
