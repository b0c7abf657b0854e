package raft

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestLargeEntriesOverSlowLink(t *testing.T) {
	Convey("Entries of 256 KB reach the only other voter over 2 Mbit/s, and delay no heartbeat past the lease", t, func() {
		for seed := uint64(1); seed <= 5; seed++ {
			s := newSlowCluster(seed, eventloop.SlowestLinkBytesPerSecond)
			lead := s.leader()
			others := s.others()
			s.down[others[1]] = true
			s.runSlow(eventloop.Second, nil)
			term, began := lead.Term(), s.now
			s.stepsWithoutLease, s.maxQuorumSilence = 0, 0
			const count, size = 6, 256 << 10
			for k := range count {
				So(s.propose(randomText(size+k)), ShouldBeTrue)
			}
			least := eventloop.SlowestLinkTransferTime(count * size)
			s.runSlow(least+least/4+eventloop.Second, func() {
				if len(s.applied[others[0]]) < count {
					least = s.now - began
				}
			})
			So(s.applied[others[0]], ShouldHaveLength, count)
			So(lead.IsLeader(), ShouldBeTrue)
			So(lead.Term(), ShouldEqual, term)
			So(s.stepsWithoutLease, ShouldEqual, 0)
			So(s.maxQuorumSilence, ShouldBeLessThan, DefaultTimeouts.leaderLease())
		}
	})
	Convey("So do very many small ones", t, func() {
		s := newSlowCluster(7, eventloop.SlowestLinkBytesPerSecond)
		others := s.others()
		s.down[others[1]] = true
		s.runSlow(eventloop.Second, nil)
		s.stepsWithoutLease = 0
		for k := range 900 {
			So(s.propose(randomText(1000+k)), ShouldBeTrue)
		}
		s.runSlow(10*eventloop.Second, nil)
		So(s.applied[others[0]], ShouldHaveLength, 900)
		So(s.stepsWithoutLease, ShouldEqual, 0)
	})
}

func TestSnapshotOverSlowLink(t *testing.T) {
	Convey("A snapshot of 2 MB is sent about once, in about the time that the link needs, and delays no heartbeat past the lease", t, func() {
		const size = 2 << 20
		s, lead, lagging, state := newLaggingFollower(1, size)
		began, elapsed := s.now, eventloop.Micros(0)
		linkTime := eventloop.SlowestLinkTransferTime(size)
		s.runSlow(2*linkTime, func() {
			if elapsed == 0 && len(s.applied[lagging]) == 2 {
				elapsed = s.now - began
			}
		})
		So(s.applied[lagging], ShouldHaveLength, 2)
		So(s.applied[lagging][0] == state && s.applied[lagging][1] == "after", ShouldBeTrue)
		So(elapsed, ShouldBeBetween, linkTime, linkTime*5/4+eventloop.Second)
		So(s.sent[lead.self], ShouldBeLessThan, size*5/4)
		So(s.stepsWithoutLease, ShouldEqual, 0)
	})
	Convey("Over a fast link of high latency the window grows, and when the link turns slow it shrinks", t, func() {
		const size = 2 << 20
		s, lead, lagging, state := newLaggingFollower(1, size)
		s.bytesPerSecond, s.linkDelay = 100_000_000, 30*eventloop.Millisecond
		lead.peers[lagging].minRoundTrip = 0 // forget the shorter round trips measured before the latency rose
		s.runSlow(2500*eventloop.Millisecond, nil)
		So(s.applied[lagging], ShouldHaveLength, 2)
		So(s.applied[lagging][0] == state, ShouldBeTrue)
		So(lead.inflightWindow(lead.peers[lagging]), ShouldEqual, maxWindowFactor*lead.inflightWindow(&progress{}))
		s.bytesPerSecond = eventloop.SlowestLinkBytesPerSecond
		s.propose(randomText(40 << 10))
		s.runSlow(2*eventloop.Second, nil)
		So(s.applied[lagging], ShouldHaveLength, 3)
		So(lead.IsLeader(), ShouldBeTrue)
		So(lead.inflightWindow(lead.peers[lagging]), ShouldEqual, lead.inflightWindow(&progress{}))
	})
	Convey("Over links three times slower still, or of high latency, chunks aren't retransmitted while they are queued", t, func() {
		const size = 200 << 10
		for _, delay := range []eventloop.Micros{0, 140 * eventloop.Millisecond} {
			s, lead, lagging, state := newLaggingFollower(1, size)
			if s.linkDelay = delay; delay == 0 {
				s.bytesPerSecond = eventloop.SlowestLinkBytesPerSecond / 3
			}
			s.runSlow(5*eventloop.Second, nil)
			So(s.applied[lagging], ShouldHaveLength, 2)
			So(s.applied[lagging][0] == state, ShouldBeTrue)
			So(s.sent[lead.self], ShouldBeLessThan, size*3/2)
		}
	})
	Convey("Loss and duplication cost chunks, and the snapshot still arrives as it was sent", t, func() {
		for seed := uint64(1); seed <= 5; seed++ {
			const size = 300 << 10
			s, lead, lagging, state := newLaggingFollower(seed, size)
			s.lossRate, s.duplicateRate = 0.03, 0.1
			s.runSlow(15*eventloop.Second, nil)
			So(s.applied[lagging], ShouldNotBeEmpty)
			So(s.applied[lagging][0] == state, ShouldBeTrue)
			So(s.sent[lead.self], ShouldBeLessThan, 3*size)
		}
	})
}

func TestInterruptedSnapshotInstall(t *testing.T) {
	const size = 200 << 10
	Convey("A replica that restarts at any moment of an installation continues from what is durable", t, func() {
		for at := 1; at <= 8; at++ {
			s, _, lagging, state := newLaggingFollower(uint64(at), size)
			s.runSlow(eventloop.Micros(at)*110*eventloop.Millisecond, nil)
			complete := len(s.applied[lagging]) > 0
			So(complete || s.durable[lagging].Snapshot.Index == 0, ShouldBeTrue)
			s.down[lagging] = true
			s.runSlow(50*eventloop.Millisecond, nil)
			s.start(lagging)
			s.runSlow(4*eventloop.Second, nil)
			// If the snapshot was durable before the restart, no Ready returns it again.
			// Therefore the test checks the durable state, not the applied snapshots.
			So(string(s.durable[lagging].Snapshot.Data) == state, ShouldBeTrue)
			last := s.applied[lagging][len(s.applied[lagging])-1]
			So(last, ShouldEqual, "after")
		}
	})
	Convey("If the leader fails during an installation its successor starts it again", t, func() {
		for at := 1; at <= 6; at++ {
			s, lead, lagging, state := newLaggingFollower(uint64(at), size)
			// Each replica compacts its own log. The other follower has applied the same
			// entries and takes a snapshot as well.
			others := s.others()
			for _, id := range others {
				if id != lagging {
					s.groups[id].Compact(s.groups[id].CommitIndex(), []byte(state+"after"))
					s.processReady(id)
				}
			}
			s.runSlow(eventloop.Micros(at)*110*eventloop.Millisecond, nil)
			s.down[lead.self] = true
			s.runSlow(6*eventloop.Second, nil)
			So(s.leader(), ShouldNotBeNil)
			So(s.leader().self, ShouldNotEqual, lead.self)
			So(bytes.HasPrefix(s.durable[lagging].Snapshot.Data, []byte(state)), ShouldBeTrue)
			So(s.groups[lagging].CommitIndex(), ShouldEqual, s.leader().CommitIndex())
		}
	})
	Convey("A replica that has received a part of a snapshot can't be elected", t, func() {
		s, lead, lagging, _ := newLaggingFollower(3, size)
		s.runSlow(300*eventloop.Millisecond, nil)
		So(s.applied[lagging], ShouldBeEmpty)
		for _, id := range ids {
			s.down[id] = id == lead.self
		}
		for end := s.now + 5*eventloop.Second; s.now < end; {
			s.runSlow(50*eventloop.Millisecond, nil)
			So(s.groups[lagging].IsLeader(), ShouldBeFalse)
			if len(s.applied[lagging]) > 0 {
				break
			}
		}
	})
}

func TestStaleSnapshotIsIgnored(t *testing.T) {
	Convey("A delayed snapshot of less than is committed has no effect", t, func() {
		s, lead, lagging, _ := newLaggingFollower(2, 100)
		old := &schema.InstallSnapshot{Group: "g", Term: lead.Term(), Snapshot: lead.snapshot}
		s.runSlow(2*eventloop.Second, nil)
		for k := range 10 {
			s.propose(fmt.Sprint("later", k))
		}
		s.runSlow(eventloop.Second, nil)
		applied, commit := len(s.applied[lagging]), s.groups[lagging].CommitIndex()
		So(commit, ShouldBeGreaterThan, old.Snapshot.Index)
		s.groups[lagging].Step(s.now, lead.self, old)
		s.processReady(lagging)
		So(s.groups[lagging].CommitIndex(), ShouldEqual, commit)
		So(s.applied[lagging], ShouldHaveLength, applied)
		s.start(lagging)
		s.runSlow(eventloop.Second, nil)
		So(s.groups[lagging].CommitIndex(), ShouldBeGreaterThanOrEqualTo, commit)
	})
}

func TestRestartInIdleGroup(t *testing.T) {
	Convey("A replica that restarts while nothing is proposed learns the commit index from the next heartbeat", t, func() {
		for seed := uint64(1); seed <= 5; seed++ {
			s := newSlowCluster(seed, 100_000_000)
			lagging := s.others()[0]
			for k := range 10 {
				s.propose(fmt.Sprint(k))
			}
			s.runSlow(eventloop.Second, nil)
			s.down[lagging] = true
			s.runSlow(200*eventloop.Millisecond, nil)
			s.start(lagging)
			s.runSlow(2*DefaultTimeouts.HeartbeatInterval+20*eventloop.Millisecond, nil)
			So(s.groups[lagging].CommitIndex(), ShouldEqual, s.leader().CommitIndex())
			So(s.applied[lagging], ShouldHaveLength, 10)
			s.runSlow(2*DefaultTimeouts.HeartbeatInterval, nil)
			So(s.now-s.groups[lagging].FreshAsOf(), ShouldBeLessThan, 3*DefaultTimeouts.HeartbeatInterval)
		}
	})
	Convey("but not if it holds another entry at that index", t, func() {
		s := newSlowCluster(1, 100_000_000)
		lead, lagging := s.leader(), s.others()[0]
		s.propose("one")
		s.runSlow(eventloop.Second, nil)
		s.start(lagging)
		other, last := s.groups[lagging], lead.CommitIndex()
		So(other.LastIndex(), ShouldEqual, last)
		heartbeat := &schema.Heartbeat{Group: "g", Term: lead.Term(), Commit: last, CommitTerm: lead.termAt(last), Round: 1, CommitConfirmed: true}
		// The replica holds an uncommitted entry of an earlier leader at that index.
		other.log[last-1] = &schema.Entry{Index: last, Term: lead.Term() - 1, Data: []byte("other")}
		other.Step(s.now, lead.self, heartbeat)
		So(other.CommitIndex(), ShouldBeLessThan, last)
	})
}
