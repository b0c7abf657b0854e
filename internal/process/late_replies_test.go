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

// pendingCall is a request to a node that awaits its response.
type pendingCall struct {
	requestID uint64
	response  chan any
}

func requestConfiguration(ctx context.Context, node *Node) pendingCall {
	requestIDs, response := make(chan uint64, 1), make(chan any, 1)
	go func() {
		response <- node.Call(ctx, GatewayComponent, 30*eventloop.Second, func(requestID uint64, deadline eventloop.Micros) any {
			requestIDs <- requestID
			return gateway.LeaderRequest{RequestID: requestID, Kind: gateway.KindConfiguration, Group: clusterstate.GroupName, Deadline: deadline}
		})
	}()
	return pendingCall{<-requestIDs, response}
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
		reply := func(requestID uint64, body string) {
			other.SendTo(id, present.Settings.InternalAddress, &schema.Response{Id: requestID, Code: 200, Body: []byte(body), Group: clusterstate.GroupName})
		}
		// The late responses are sent first each time. The gateway may not have received
		// the request yet, so all responses are sent repeatedly until the request is
		// completed. The duplicate answers the previous request, because a duplicate of the
		// response to this request could complete it.
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
