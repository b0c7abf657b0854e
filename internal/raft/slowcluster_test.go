package raft

import (
	"fmt"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
)

// slowCluster is a cluster in which each replica sends all its messages over a link of its
// own. The link has a limited bandwidth and delivers the messages in order.
type slowCluster struct {
	*cluster
	bytesPerSecond    int
	links             map[string]*link // links by the id of the sender
	maxQuorumSilence  eventloop.Micros // longest time since the last round that a quorum acknowledged was sent
	stepsWithoutLease int              // number of steps in which no leader held its lease
	sent              map[string]int   // bytes sent, by the id of the sender
	duplicateRate     float64          // fraction of the messages that are sent twice
	linkDelay         eventloop.Micros // latency of each message, in addition to its transmission time
	inTransit         []delivery       // messages that were transmitted and haven't arrived yet
}

// delivery is a message that arrives at some time.
type delivery struct {
	at eventloop.Micros
	envelope
}

// link is the network connection over which one replica sends its messages.
type link struct {
	queue     []envelope
	sentBytes int // number of bytes of the first message that were transmitted
}

func newSlowCluster(seed uint64, bytesPerSecond int) *slowCluster {
	s := &slowCluster{cluster: newCluster(seed, ids...), bytesPerSecond: bytesPerSecond, links: map[string]*link{}, sent: map[string]int{}}
	for _, id := range ids {
		s.links[id] = &link{}
	}
	s.cluster.run(4 * eventloop.Second)
	return s
}

// slowStep is the time by which each step of runSlow advances.
const slowStep = 5 * eventloop.Millisecond

// runSlow advances time in steps of slowStep, and calls observe after each step unless it is
// nil.
func (s *slowCluster) runSlow(span eventloop.Micros, observe func()) {
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
			s.maxQuorumSilence = max(s.maxQuorumSilence, s.now-lead.quorumRoundSentAt)
		}
		if observe != nil {
			observe()
		}
	}
}

// queue adds the messages that the replicas have sent to the queues of their links.
func (s *slowCluster) queue() {
	for _, m := range s.messages {
		count := 1
		if s.rng.Float64() < s.duplicateRate {
			count = 2
		}
		for range count {
			s.links[m.from].queue = append(s.links[m.from].queue, m)
		}
	}
	s.messages = nil
}

// transmit sends the bytes that a replica's link carries during one step.
func (s *slowCluster) transmit(id string) {
	l := s.links[id]
	if s.down[id] {
		l.queue, l.sentBytes = nil, 0
		return
	}
	budget := int(slowStep) * s.bytesPerSecond / int(eventloop.Second)
	for len(l.queue) > 0 {
		first := l.queue[0]
		remaining := proto.Size(first.body) + 64 - l.sentBytes
		if remaining > budget {
			l.sentBytes += budget
			return
		}
		budget -= remaining
		l.queue, l.sentBytes = l.queue[1:], 0
		s.sent[id] += proto.Size(first.body)
		if s.linkDelay > 0 {
			s.inTransit = append(s.inTransit, delivery{s.now + s.linkDelay, first})
			continue
		}
		s.deliver(first)
	}
}

// deliver passes a message to its receiver, unless the message is lost.
func (s *slowCluster) deliver(m envelope) {
	if s.down[m.to] || s.blocked(m.from, m.to) || s.rng.Float64() < s.lossRate {
		return
	}
	s.groups[m.to].Step(s.now, m.from, m.body)
	s.processReady(m.to)
}

// others returns the ids of the replicas that don't lead.
func (s *slowCluster) others() []string { return membersExcept(s.leader().self) }

func randomText(size int) string {
	rng := rand.New(rand.NewPCG(uint64(size), 1))
	data := make([]byte, size)
	for k := range data {
		data[k] = byte('a' + rng.IntN(26))
	}
	return string(data)
}

// newLaggingFollower returns a slow cluster in which one replica was down while the leader
// compacted its log into a snapshot of size bytes. The replica, whose id is lagging, has
// just restarted. The result state is the snapshot's data; the command "after" follows it in
// the log.
func newLaggingFollower(seed uint64, size int) (s *slowCluster, lead *Group, lagging string, state string) {
	s = newSlowCluster(seed, eventloop.SlowestLinkBytesPerSecond)
	lead, lagging = s.leader(), s.others()[0]
	s.down[lagging] = true
	for k := range 20 {
		s.propose(fmt.Sprint(k))
	}
	s.runSlow(eventloop.Second, nil)
	state = randomText(size)
	lead.Compact(lead.CommitIndex(), []byte(state))
	s.processReady(lead.self)
	s.propose("after")
	s.runSlow(eventloop.Second, nil)
	s.start(lagging)
	s.sent, s.stepsWithoutLease = map[string]int{}, 0
	return s, lead, lagging, state
}
