package raft

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// slowCluster is a rig whose replicas each send over a link of their own, in order
// and at a speed.
type slowCluster struct {
	*cluster
	bytesPerSecond    int // bytes a second
	links             map[string]*link
	maxQuorumSilence  eventloop.Micros // longest time that a leader hadn't been answered by its quorum
	stepsWithoutLease int              // steps in which none acted
	sent              map[string]int
	duplicateRate     float64
	linkDelay         eventloop.Micros // how long each message is on its way besides
	inTransit         []delivery
}

type delivery struct {
	at eventloop.Micros
	envelope
}

type link struct {
	queue     []envelope
	sentBytes int // bytes of the first that have been sent
}

func newSlowCluster(seed uint64, speed int) *slowCluster {
	s := &slowCluster{cluster: newCluster(seed, ids...), bytesPerSecond: speed, links: map[string]*link{}, sent: map[string]int{}}
	for _, id := range ids {
		s.links[id] = &link{}
	}
	s.cluster.run(4 * eventloop.Second)
	return s
}

const slowStep = 5 * eventloop.Millisecond

// runSlow lets time pass; look is called after each step.
func (s *slowCluster) runSlow(span eventloop.Micros, look func()) {
	for end := s.now + span; s.now < end; s.now += slowStep {
		for _, id := range ids {
			if !s.down[id] {
				s.groups[id].Tick(s.now)
				s.processReady(id)
			}
		}
		s.queue()
		for len(s.inTransit) > 0 && s.inTransit[0].at <= s.now {
			first := s.inTransit[0]
			s.inTransit = s.inTransit[1:]
			s.deliver(first.envelope)
		}
		s.queue()
		for _, id := range ids {
			s.transmit(id)
		}
		s.queue()
		if lead := s.leader(); lead == nil || !lead.HoldsLeaderLease(s.now) {
			s.stepsWithoutLease++
		} else {
			s.maxQuorumSilence = max(s.maxQuorumSilence, s.now-lead.quorumAckedAt)
		}
		if look != nil {
			look()
		}
	}
}

func (s *slowCluster) queue() {
	for _, each := range s.messages {
		count := 1
		if s.rng.Float64() < s.duplicateRate {
			count = 2
		}
		for range count {
			s.links[each.from].queue = append(s.links[each.from].queue, each)
		}
	}
	s.messages = nil
}

func (s *slowCluster) transmit(id string) {
	l := s.links[id]
	if s.down[id] {
		l.queue, l.sentBytes = nil, 0
		return
	}
	budget := int(slowStep) * s.bytesPerSecond / int(eventloop.Second)
	for len(l.queue) > 0 {
		first := l.queue[0]
		left := proto.Size(first.body) + 64 - l.sentBytes
		if left > budget {
			l.sentBytes += budget
			return
		}
		budget -= left
		l.queue, l.sentBytes = l.queue[1:], 0
		s.sent[id] += proto.Size(first.body)
		if s.linkDelay > 0 {
			s.inTransit = append(s.inTransit, delivery{s.now + s.linkDelay, first})
			continue
		}
		s.deliver(first)
	}
}

func (s *slowCluster) deliver(each envelope) {
	if s.down[each.to] || s.blocked(each.from, each.to) || s.rng.Float64() < s.lossRate {
		return
	}
	s.groups[each.to].Step(s.now, each.from, each.body)
	s.processReady(each.to)
}

func (s *slowCluster) others() []string {
	var list []string
	for _, id := range ids {
		if id != s.leader().self {
			list = append(list, id)
		}
	}
	return list
}

func randomText(size int) string {
	rng := rand.New(rand.NewPCG(uint64(size), 1))
	data := make([]byte, size)
	for k := range data {
		data[k] = byte('a' + rng.IntN(26))
	}
	return string(data)
}

func TestLargeEntriesOverSlowLink(t *testing.T) {
	Convey("Records of 256 KB reach the only other voter over 2 Mbit/s, and no heartbeat is late for them", t, func() {
		for seed := uint64(1); seed <= 5; seed++ {
			s := newSlowCluster(seed, eventloop.SlowestLink)
			lead := s.leader()
			lagging := s.others()
			s.down[lagging[1]] = true
			s.runSlow(eventloop.Second, nil)
			term, began := lead.Term(), s.now
			s.stepsWithoutLease, s.maxQuorumSilence = 0, 0
			const count, size = 6, 256 << 10
			for k := range count {
				So(s.propose(randomText(size+k)), ShouldBeTrue)
			}
			least := eventloop.LinkTime(count * size)
			s.runSlow(least+least/4+eventloop.Second, func() {
				if len(s.applied[lagging[0]]) < count {
					least = s.now - began
				}
			})
			So(s.applied[lagging[0]], ShouldHaveLength, count)
			So(lead.IsLeader(), ShouldBeTrue)
			So(lead.Term(), ShouldEqual, term)
			So(s.stepsWithoutLease, ShouldEqual, 0)
			So(s.maxQuorumSilence, ShouldBeLessThan, DefaultTimeouts.leaderLease())
		}
	})
	Convey("Nor for very many small ones", t, func() {
		s := newSlowCluster(7, eventloop.SlowestLink)
		lagging := s.others()
		s.down[lagging[1]] = true
		s.runSlow(eventloop.Second, nil)
		s.stepsWithoutLease = 0
		for k := range 900 {
			So(s.propose(randomText(1000+k)), ShouldBeTrue)
		}
		s.runSlow(10*eventloop.Second, nil)
		So(s.applied[lagging[0]], ShouldHaveLength, 900)
		So(s.stepsWithoutLease, ShouldEqual, 0)
	})
}

// newLaggingFollower makes a rig in which a replica was away while the log was released
// under a checkpoint of some size.
func newLaggingFollower(seed uint64, size int) (s *slowCluster, lead *Group, lagging string, state string) {
	s = newSlowCluster(seed, eventloop.SlowestLink)
	lead, lagging = s.leader(), s.others()[0]
	s.down[lagging] = true
	for k := range 20 {
		s.propose(fmt.Sprint(k))
	}
	s.runSlow(eventloop.Second, nil)
	state = randomText(size)
	lead.Compact(lead.AppliedIndex(), []byte(state))
	s.processReady(lead.self)
	s.propose("after")
	s.runSlow(eventloop.Second, nil)
	s.start(lagging)
	s.sent, s.stepsWithoutLease = map[string]int{}, 0
	return s, lead, lagging, state
}

func TestSnapshotOverSlowLink(t *testing.T) {
	Convey("A checkpoint of 2 MB is sent about once, in about the time that the link needs, and no heartbeat is late", t, func() {
		const size = 2 << 20
		s, lead, lagging, state := newLaggingFollower(1, size)
		began, took := s.now, eventloop.Micros(0)
		least := eventloop.LinkTime(size)
		s.runSlow(2*least, func() {
			if took == 0 && len(s.applied[lagging]) == 2 {
				took = s.now - began
			}
		})
		So(s.applied[lagging], ShouldHaveLength, 2)
		So(s.applied[lagging][0] == state && s.applied[lagging][1] == "after", ShouldBeTrue)
		So(took, ShouldBeBetween, least, least*5/4+eventloop.Second)
		So(s.sent[lead.self], ShouldBeLessThan, size*5/4)
		So(s.stepsWithoutLease, ShouldEqual, 0)
	})
	Convey("Over a fast link that is long, more is on its way at a time, and when it turns slow less again", t, func() {
		const size = 2 << 20
		s, lead, lagging, state := newLaggingFollower(1, size)
		s.bytesPerSecond, s.linkDelay = 100_000_000, 30*eventloop.Millisecond
		lead.peers[lagging].minRoundTrip = 0 // as if it had always been so long
		s.runSlow(2500*eventloop.Millisecond, nil)
		So(s.applied[lagging], ShouldHaveLength, 2)
		So(s.applied[lagging][0] == state, ShouldBeTrue)
		So(lead.inflightWindow(lead.peers[lagging]), ShouldEqual, maxWindowFactor*lead.inflightWindow(&progress{}))
		s.bytesPerSecond = eventloop.SlowestLink
		s.propose(randomText(40 << 10))
		s.runSlow(2*eventloop.Second, nil)
		So(s.applied[lagging], ShouldHaveLength, 3)
		So(lead.IsLeader(), ShouldBeTrue)
		So(lead.inflightWindow(lead.peers[lagging]), ShouldEqual, lead.inflightWindow(&progress{}))
	})
	Convey("Over links three times slower still, or very long ones, parts are not repeated while they wait", t, func() {
		const size = 200 << 10
		for _, way := range []eventloop.Micros{0, 140 * eventloop.Millisecond} {
			s, lead, lagging, state := newLaggingFollower(1, size)
			if s.linkDelay = way; way == 0 {
				s.bytesPerSecond = eventloop.SlowestLink / 3
			}
			s.runSlow(5*eventloop.Second, nil)
			So(s.applied[lagging], ShouldHaveLength, 2)
			So(s.applied[lagging][0] == state, ShouldBeTrue)
			So(s.sent[lead.self], ShouldBeLessThan, size*3/2)
		}
	})
	Convey("Loss and repetition on the way cost parts, and the whole is still what was sent", t, func() {
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
	Convey("A replica that restarts at any moment of an installation starts again from what is durable", t, func() {
		for at := 1; at <= 8; at++ {
			s, _, lagging, state := newLaggingFollower(uint64(at), size)
			s.runSlow(eventloop.Micros(at)*110*eventloop.Millisecond, nil)
			isWhole := len(s.applied[lagging]) > 0
			So(isWhole || s.durable[lagging].Snapshot.Index == 0, ShouldBeTrue)
			s.down[lagging] = true
			s.runSlow(50*eventloop.Millisecond, nil)
			s.start(lagging)
			s.runSlow(4*eventloop.Second, nil)
			// After a restart the checkpoint is the store's, not told again.
			So(string(s.durable[lagging].Snapshot.Data) == state, ShouldBeTrue)
			last := s.applied[lagging][len(s.applied[lagging])-1]
			So(last, ShouldEqual, "after")
		}
	})
	Convey("A leader that goes in the middle of one has it sent again by its successor", t, func() {
		for at := 1; at <= 6; at++ {
			s, lead, lagging, state := newLaggingFollower(uint64(at), size)
			// The other replica has the same checkpoint, as every one makes it for itself.
			other := s.others()
			for _, id := range other {
				if id != lagging {
					s.groups[id].Compact(s.groups[id].AppliedIndex(), []byte(state+"after"))
					s.processReady(id)
				}
			}
			s.runSlow(eventloop.Micros(at)*110*eventloop.Millisecond, nil)
			s.down[lead.self] = true
			s.runSlow(6*eventloop.Second, nil)
			So(s.leader(), ShouldNotBeNil)
			So(s.leader().self, ShouldNotEqual, lead.self)
			So(bytes.HasPrefix(s.durable[lagging].Snapshot.Data, []byte(state)), ShouldBeTrue)
			So(s.groups[lagging].AppliedIndex(), ShouldEqual, s.leader().AppliedIndex())
		}
	})
	Convey("A replica that holds half of one can't come to lead with it", t, func() {
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
	Convey("A checkpoint that comes late, of less than is committed, changes nothing", t, func() {
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
	Convey("A replica that restarts while nothing is proposed knows at the next heartbeat what is committed, and applies it", t, func() {
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
	Convey("but not by a record of the same place that is another", t, func() {
		s := newSlowCluster(1, 100_000_000)
		lead, lagging := s.leader(), s.others()[0]
		s.propose("one")
		s.runSlow(eventloop.Second, nil)
		s.start(lagging)
		other, last := s.groups[lagging], lead.CommitIndex()
		So(other.LastIndex(), ShouldEqual, last)
		beat := &schema.Heartbeat{Group: "g", Term: lead.Term(), Commit: last, CommitTerm: lead.termAt(last), Round: 1, CommitConfirmed: true}
		// What lies there is a record of an earlier leader that was never committed.
		other.log[last-1] = &schema.Entry{Index: last, Term: lead.Term() - 1, Data: []byte("other")}
		other.Step(s.now, lead.self, beat)
		So(other.CommitIndex(), ShouldBeLessThan, last)
	})
}
