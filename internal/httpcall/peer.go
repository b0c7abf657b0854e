package httpcall

import (
	"context"
	"net"
)

// peer is what a client keeps of one address.
type peer struct {
	address string
	slots   chan struct{} // one for each request that is under way
	idle    []*connection // last used last; guarded by the client's mutex
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

// connection gives an idle connection on which nothing has come since its last
// answer, or a fresh one.
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

// release puts a connection back, unless it can't be used again or enough are idle.
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
