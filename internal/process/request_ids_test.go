package process

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/gateway"
	"sparnotch/internal/schema"
)

func TestRequestIDsAcrossIncarnations(t *testing.T) {
	Convey("An incarnation uses none of the request ids of an earlier one, whose responses may still come", t, func() {
		data, internalAddress := t.TempDir(), freePort(t)
		startAndCall := func() uint64 {
			options := &schema.Settings{Zone: "c", InternalAddress: internalAddress, HttpAddress: "127.0.0.1:1", DataDir: data, Seeds: []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}}
			node, err := Start(options, schema.Role_ROLE_SERVER, zap.NewNop())
			So(err, ShouldBeNil)
			defer node.Stop()
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			var requestID uint64
			node.Call(ctx, GatewayComponent, eventloop.Second, func(id uint64, _ eventloop.Micros) any {
				requestID = id
				return gateway.ForgetRequest{RequestID: id}
			})
			return requestID
		}
		const maxRequests = 1 << 32 // of one incarnation
		first := startAndCall()
		second := startAndCall()
		So(second, ShouldBeGreaterThan, first+maxRequests)
		So(startAndCall(), ShouldBeGreaterThan, second+maxRequests)
	})
}
