package httpcall

import (
	"context"
	"net"
)

// peer holds the connections to one address.
type peer struct {
	address string
	slots   chan struct{} // one for each request in progress
	idle    []*connection // the last used one last; guarded by Client.mu
}

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

// connection returns a clean idle connection or a new one.
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

// release returns a connection to the idle ones, or closes it where it isn't reusable or
// enough are idle.
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
