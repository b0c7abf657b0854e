package process

import (
	"net"
	"runtime"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"sparnotch/internal/schema"
	"sparnotch/internal/transport"
)

func freePort(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func TestStartUnderTraffic(t *testing.T) {
	Convey("A node that starts while others already send to it receives the messages, and stops cleanly", t, func() {
		internalAddress := freePort(t)
		other, err := transport.Listen(transport.Identity{ID: "other"}, "127.0.0.1:0", func(string, any) {})
		So(err, ShouldBeNil)
		Reset(other.Close)
		stop, stopped := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(stopped)
			for {
				select {
				case <-stop:
					return
				default:
					other.Send(internalAddress, &schema.ClusterStateRequest{})
				}
			}
		}()
		for k := 0; k < 15; k++ {
			options := &schema.Settings{Zone: "c", InternalAddress: internalAddress, HttpAddress: "127.0.0.1:1", DataDir: t.TempDir(), Seeds: []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}}
			node, err := Start(options, schema.Role_ROLE_SERVER, zap.NewNop())
			So(err, ShouldBeNil)
			for node.Counts().Transport.Received < 50 {
				runtime.Gosched()
			}
			So(node.Counts().Transport.Malformed, ShouldEqual, 0)
			node.Stop()
		}
		close(stop)
		<-stopped
	})
}
