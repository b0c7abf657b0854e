package raft

import (
	"fmt"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
)

// slowCluster is a cluster in which each replica sends over a link of its own, which
// keeps the order and has a bandwidth.
type slowCluster struct {
	*cluster
	bytesPerSecond    int
	links             map[string]*link
	maxQuorumSilence  eventloop.Micros // longest time since a round that a quorum acknowledged
	stepsWithoutLease int              // in which no leader held its lease
	sent              map[string]int   // bytes by sender
	duplicateRate     float64
	linkDelay         eventloop.Micros // latency of each message, besides its transmission
	inTransit         []delivery
}

type delivery struct {
	at eventloop.Micros
	envelope
}

type link struct {
	queue     []envelope
	sentBytes int // of the first message
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

// runSlow advances time; observe, if given, is called after each step.
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

func (s *slowCluster) others() []string { return membersExcept(s.leader().self) }

func randomText(size int) string {
	rng := rand.New(rand.NewPCG(uint64(size), 1))
	data := make([]byte, size)
	for k := range data {
		data[k] = byte('a' + rng.IntN(26))
	}
	return string(data)
}

// newLaggingFollower makes a cluster in which a replica was down while the log was
// compacted into a snapshot of some size.
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
