package process

import (
	"context"
	"runtime"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/gateway"
	"sparnotch/internal/schema"
	"sparnotch/internal/transport"
)

// pendingCall is an request that a process waits for the answer of.
type pendingCall struct {
	requestID uint64
	answer    chan any
}

func requestPlan(ctx context.Context, node *Node) pendingCall {
	numbers, answer := make(chan uint64, 1), make(chan any, 1)
	go func() {
		answer <- node.Call(ctx, "gateway", 30*eventloop.Second, func(request uint64, deadline eventloop.Micros) any {
			numbers <- request
			return gateway.LeaderRequest{RequestID: request, Kind: "plan", Group: clusterstate.Group, Deadline: deadline}
		})
	}()
	return pendingCall{<-numbers, answer}
}

func TestRepliesToFormerIncarnation(t *testing.T) {
	Convey("An answer to an request of a former life answers none of the present one", t, func() {
		data := t.TempDir()
		startNode := func() *Node {
			options := &schema.Settings{Cell: "c", Inner: freePort(t), Outer: "127.0.0.1:1", Data: data, Seeds: []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}}
			node, err := Start(options, schema.Role_ROLE_SERVER, zap.NewNop())
			So(err, ShouldBeNil)
			return node
		}
		former := startNode()
		ctx, giveUp := context.WithCancel(context.Background())
		id, abandoned := former.Member.Id, requestPlan(ctx, former)
		former.Stop()
		present := startNode()
		other, err := transport.Listen(transport.Identity{ID: "other"}, "127.0.0.1:0", func(string, any) {})
		So(err, ShouldBeNil)
		Reset(func() { giveUp(); other.Close(); present.Stop() })
		So(present.Member.Id, ShouldEqual, id)
		reply := func(number uint64, body string) {
			other.SendTo(id, present.Options.Inner, &schema.Response{Id: number, Code: 200, Body: []byte(body), Group: clusterstate.Group})
		}
		// The late ones come first each time. The request may not be in hand yet, so
		// all are told until it is answered; a second answer is one to the request
		// before, for one to this could be the first that finds it in hand.
		last := abandoned.requestID
		for range 3 {
			open := requestPlan(ctx, present)
			So(open.requestID, ShouldBeGreaterThan, last)
			for answer := any(nil); answer == nil; {
				reply(abandoned.requestID, "for the former life")
				reply(last, "a second answer")
				reply(open.requestID, "for the present one")
				select {
				case answer = <-open.answer:
					So(string(answer.(gateway.Response).Body), ShouldEqual, "for the present one")
				default:
					runtime.Gosched()
				}
			}
			last = open.requestID
		}
	})
}
