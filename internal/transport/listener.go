package transport

import (
	"context"
	"errors"
	"net"
	"time"
)

// acceptRetryDelay lies between two attempts to take a connection.
const acceptRetryDelay = 50 * time.Millisecond

// RetryingListener makes a listener whose Accept fails only once it is closed. Whatever
// else goes wrong (no memory, no file handles, a network that is down) passes,
// and a server that gave up listening for it would end its process.
func RetryingListener(ctx context.Context, listener net.Listener) net.Listener {
	return &retryingListener{listener, ctx}
}

type retryingListener struct {
	net.Listener
	ctx context.Context
}

func (p *retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := p.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		select {
		case <-p.ctx.Done():
			return nil, net.ErrClosed
		case <-time.After(acceptRetryDelay):
		}
	}
}
