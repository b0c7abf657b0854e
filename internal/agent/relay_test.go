package agent_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

// fakeRelay relays the polls of the harness's agent to a fake scheduler.
type fakeRelay struct {
	polls    int
	isSilent bool // it passes nothing on
	refuses  bool
}

// addRelay adds the storage node relay beside the scheduler p1, and the leases of so many other
// workers that the agent polls through it.
func (h *harness) addRelay() *fakeRelay {
	relay := &fakeRelay{}
	h.relays = map[string]*fakeRelay{"relay": relay}
	for k := range 64 {
		h.moveLease("p1", 1, fmt.Sprint("x", k))
	}
	h.after(messageDelay, h.deliverView)
	return relay
}

// deliverView tells the agent now and every 250 ms that both storage nodes live.
func (h *harness) deliverView() {
	view := &membership.View{Self: &schema.Member{Id: "agent"}, Members: map[string]membership.MemberStatus{}}
	for _, id := range []string{"p1", "relay"} {
		view.Members[id] = membership.MemberStatus{Member: &schema.Member{Id: id, HasStorage: true, RelaysPolls: true}, LastHeard: h.now}
	}
	h.deliver("", view)
	h.after(250*eventloop.Millisecond, h.deliverView)
}

// relayPoll passes a poll on to its scheduler, whose response then comes from the relay.
func (h *harness) relayPoll(id string, relay *fakeRelay, poll *schema.WorkerPollRequest) {
	relay.polls++
	switch {
	case relay.isSilent:
	case relay.refuses:
		h.after(messageDelay, func() { h.deliver(id, &schema.WorkerPollResponse{Id: poll.Id}) })
	default:
		h.after(2*messageDelay, func() { h.handlePoll(h.schedulers[poll.Scheduler], poll) })
	}
}

func TestPollsThroughRelay(t *testing.T) {
	newRelayHarness := func() (*harness, *fakeScheduler, *fakeRelay) {
		h, s := newDefaultHarness(fakeworker.Config{}, nil)
		relay := h.addRelay()
		h.run(eventloop.Second)
		for k := uint32(0); k < 6; k++ {
			s.starts = append(s.starts, newOrder("start", "j", k, 1, "run_us=200000"))
		}
		return h, s, relay
	}
	directPolls := func(h *harness) int {
		count := 0
		for _, line := range h.log {
			if line == "poll p1 token 5" {
				count++
			}
		}
		return count
	}
	Convey("Orders, ends and acknowledgements pass through a relay", t, func() {
		h, s, relay := newRelayHarness()
		before := directPolls(h)
		h.run(5 * eventloop.Second)
		So(relay.polls, ShouldBeGreaterThan, 6)
		So(directPolls(h), ShouldEqual, before)
		So(s.ends, ShouldHaveLength, 6)
		So(h.worker.UnacknowledgedCount(), ShouldEqual, 0)
		for _, count := range h.startCounts {
			So(count, ShouldEqual, 1)
		}
	})
	Convey("When a relay passes nothing on, the agent polls the scheduler itself within 0.8 s, and tries the relay again later", t, func() {
		h, s, relay := newRelayHarness()
		relay.isSilent = true
		before := len(s.heartbeats)
		h.run(800 * eventloop.Millisecond)
		So(len(s.heartbeats), ShouldBeGreaterThan, before)
		So(s.rejected, ShouldEqual, 0)
		polls := relay.polls
		h.run(4 * eventloop.Second)
		So(relay.polls, ShouldEqual, polls)
		So(s.ends, ShouldHaveLength, 6)
		relay.isSilent = false
		h.run(20 * eventloop.Second)
		So(relay.polls, ShouldBeGreaterThan, polls)
	})
	Convey("When changes supersede each poll, a relay that passes nothing on is still noticed", t, func() {
		h, s, relay := newRelayHarness()
		h.run(100 * eventloop.Millisecond)
		relay.isSilent = true
		// The runs of 200 ms end one after the other in this time.
		h.run(800 * eventloop.Millisecond)
		So(len(s.ends), ShouldBeGreaterThan, 0)
		So(directPolls(h), ShouldBeGreaterThan, 0)
	})
	Convey("When a relay refuses a poll, the agent polls the scheduler itself at once", t, func() {
		h, s, relay := newRelayHarness()
		relay.refuses = true
		before := len(s.heartbeats)
		h.run(450 * eventloop.Millisecond)
		So(relay.polls, ShouldBeGreaterThan, 0)
		So(len(s.heartbeats), ShouldBeGreaterThan, before)
	})
}
