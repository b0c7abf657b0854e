package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/pollrelay"
	"sparnotch/internal/schema"
)

func TestSupersededPolls(t *testing.T) {
	// replies returns the number of responses to two polls, the second of which supersedes the first.
	replies := func(change func(*schema.WorkerHeartbeat)) int {
		h := newHarness("w")
		h.sendHeartbeat("w", change)
		So(h.replies, ShouldHaveLength, 1)
		h.sendHeartbeat("w", change)
		h.sendHeartbeat("w", change)
		return len(h.replies) - 1
	}
	Convey("A poll that its agent has superseded gets no response, since the agent only takes the newest's", t, func() {
		So(replies(withNames(nil)), ShouldEqual, 0)
	})
	Convey("A worker that polls through a gateway gets a response to each, since its calls are open", t, func() {
		So(replies(nil), ShouldEqual, 1)
	})
}

func TestRelayedPolls(t *testing.T) {
	Convey("The polls of a batch are handled one by one, and their responses go back through the relay", t, func() {
		h := newHarness("v", "w")
		batch := &schema.RelayedPolls{}
		for k, worker := range []string{"v", "w", "unknown"} {
			poll := &schema.WorkerPollRequest{Id: uint64(k), Worker: worker, Heartbeat: &schema.WorkerHeartbeat{Incarnation: 1, Seq: 1, TasksByName: true}}
			data, err := proto.Marshal(poll)
			So(err, ShouldBeNil)
			batch.Polls = append(batch.Polls, &schema.RelayedMessage{Agent: "agent-" + worker, Data: data})
		}
		batch.Polls = append(batch.Polls, &schema.RelayedMessage{Agent: "x", Data: []byte{0xff}})
		h.deliver(batch)
		So(h.replies, ShouldBeEmpty)
		granted := map[string]bool{}
		for _, notified := range h.notified {
			if response, isResponse := notified.(pollrelay.Response); isResponse {
				So(response.Relay, ShouldEqual, "front")
				So(response.Response.Scheduler, ShouldEqual, "me")
				granted[response.Agent] = response.Response.Orders != nil
			}
		}
		So(granted, ShouldResemble, map[string]bool{"agent-v": true, "agent-w": true, "agent-unknown": false})
	})
}
