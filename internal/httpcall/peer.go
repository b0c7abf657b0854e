package httpcall

import (
	"context"
	"net"
)

// peer holds the connections to one address.
type peer struct {
	address string
	slots   chan struct{} // semaphore of MaxConnections; holds one element per request in progress
	idle    []*connection // the most recently used last; guarded by Client.mu
}

// peer returns the peer with an address, and creates it if there is none.
func (c *Client) peer(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[address]
	if p == nil {
		p = &peer{address: address, slots: make(chan struct{}, c.limits.MaxConnections)}
		c.peers[address] = p
	}
	return p
}

// connection returns an idle connection that can be used for another request, or a new one.
// It closes idle connections that can't be used any more.
func (c *Client) connection(ctx context.Context, p *peer) (*connection, error) {
	for {
		conn := c.takeIdle(p)
		if conn == nil {
			break
		}
		if c.now().Sub(conn.lastUsed) <= c.limits.IdleTimeout && conn.isClean() {
			return conn, nil
		}
		conn.Close()
	}
	dialer := net.Dialer{Timeout: c.limits.DialTimeout, KeepAliveConfig: c.limits.KeepAlive}
	dialed, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	return newConnection(dialed), nil
}

// takeIdle removes and returns the most recently used idle connection to a peer, or returns
// nil if there is none.
func (c *Client) takeIdle(p *peer) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	conn := p.idle[last]
	p.idle = p.idle[:last]
	return conn
}

// release puts a connection among the idle ones of a peer, or closes it if it isn't reusable
// or MaxIdle connections are idle already.
func (c *Client) release(p *peer, conn *connection) {
	conn.lastUsed = c.now()
	if !conn.isReusable {
		conn.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(p.idle) >= c.limits.MaxIdle {
		conn.Close()
		return
	}
	p.idle = append(p.idle, conn)
}
