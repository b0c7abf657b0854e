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

// pendingCall is a request that a node waits for the response to.
type pendingCall struct {
	requestID uint64
	response  chan any
}

func requestConfiguration(ctx context.Context, node *Node) pendingCall {
	numbers, response := make(chan uint64, 1), make(chan any, 1)
	go func() {
		response <- node.Call(ctx, GatewayComponent, 30*eventloop.Second, func(request uint64, deadline eventloop.Micros) any {
			numbers <- request
			return gateway.LeaderRequest{RequestID: request, Kind: gateway.KindConfiguration, Group: clusterstate.GroupName, Deadline: deadline}
		})
	}()
	return pendingCall{<-numbers, response}
}

func TestRepliesToFormerIncarnation(t *testing.T) {
	Convey("A response to a request of a former incarnation completes none of the present one", t, func() {
		data := t.TempDir()
		startNode := func() *Node {
			options := &schema.Settings{Zone: "c", InternalAddress: freePort(t), HttpAddress: "127.0.0.1:1", DataDir: data, Seeds: []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}}
			node, err := Start(options, schema.Role_ROLE_SERVER, zap.NewNop())
			So(err, ShouldBeNil)
			return node
		}
		former := startNode()
		ctx, giveUp := context.WithCancel(context.Background())
		id, abandoned := former.Member.Id, requestConfiguration(ctx, former)
		former.Stop()
		present := startNode()
		other, err := transport.Listen(transport.Identity{ID: "other"}, "127.0.0.1:0", func(string, any) {})
		So(err, ShouldBeNil)
		Reset(func() { giveUp(); other.Close(); present.Stop() })
		So(present.Member.Id, ShouldEqual, id)
		reply := func(number uint64, body string) {
			other.SendTo(id, present.Settings.InternalAddress, &schema.Response{Id: number, Code: 200, Body: []byte(body), Group: clusterstate.GroupName})
		}
		// The late responses come first each time. The gateway may not have the request
		// yet, so all are sent until it is completed. The duplicate is one to the request
		// before, as a duplicate to this one might be the first to arrive in time.
		last := abandoned.requestID
		for range 3 {
			open := requestConfiguration(ctx, present)
			So(open.requestID, ShouldBeGreaterThan, last)
			for response := any(nil); response == nil; {
				reply(abandoned.requestID, "for the former incarnation")
				reply(last, "a duplicate")
				reply(open.requestID, "for the present incarnation")
				select {
				case response = <-open.response:
					So(string(response.(gateway.Response).Body), ShouldEqual, "for the present incarnation")
				default:
					runtime.Gosched()
				}
			}
			last = open.requestID
		}
	})
}
