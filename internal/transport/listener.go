package transport

import (
	"context"
	"errors"
	"net"
	"time"
)

// acceptRetryDelay is the time between a failed Accept and the next attempt.
const acceptRetryDelay = 50 * time.Millisecond

// RetryingListener returns a listener whose Accept retries after errors. It fails only if the
// listener is closed or the context has ended, with net.ErrClosed. Other errors are transient,
// for example if there is no memory, no file descriptor or no network, but a server of net/http
// would stop after them.
func RetryingListener(ctx context.Context, listener net.Listener) net.Listener {
	return &retryingListener{listener, ctx}
}

// retryingListener is the listener that RetryingListener returns.
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
