package transport

import (
	"context"
	"errors"
	"net"
	"time"
)

const acceptRetryDelay = 50 * time.Millisecond

// RetryingListener returns a listener whose Accept fails only when it is closed or the
// context has ended, with net.ErrClosed. Other errors are transient (no memory, no file
// descriptors, the network down), and net/http's servers end on them.
func RetryingListener(ctx context.Context, listener net.Listener) net.Listener {
	return &retryingListener{listener, ctx}
}

type retryingListener struct {
	net.Listener
	ctx context.Context
}

func (l *retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		select {
		case <-l.ctx.Done():
			return nil, net.ErrClosed
		case <-time.After(acceptRetryDelay):
		}
	}
}
