package transport

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// failingListener is a listener whose first calls of Accept fail.
type failingListener struct {
	net.Listener
	failuresLeft int // number of further calls that fail
}

func (f *failingListener) Accept() (net.Conn, error) {
	if f.failuresLeft > 0 {
		f.failuresLeft--
		return nil, &net.OpError{Op: "accept", Err: syscall.ENOBUFS}
	}
	return f.Listener.Accept()
}

func TestRetryingListener(t *testing.T) {
	Convey("Accept is retried after errors, and returns net.ErrClosed once the listener is closed", t, func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		listener := RetryingListener(context.Background(), &failingListener{inner, 2})
		client, err := net.Dial("tcp", inner.Addr().String())
		So(err, ShouldBeNil)
		Reset(func() { client.Close() })
		conn, err := listener.Accept()
		So(err, ShouldBeNil)
		conn.Close()
		So(listener.Close(), ShouldBeNil)
		_, err = listener.Accept()
		So(errors.Is(err, net.ErrClosed), ShouldBeTrue)
	})
}
