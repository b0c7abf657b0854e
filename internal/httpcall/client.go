// Package httpcall is an HTTP/1.1 client that never retries a request on its own.
//
// The client of net/http decides by itself when a request is sent again on another
// connection (Request.GetBody, RFC 9110 section 9.2.2), and reuses a connection
// without checking whether more has arrived on it than the response. Here a request is
// retried only where no byte of it was written, and a connection is reused only after
// exactly one complete response to each of its requests. Errors say which case it was:
// NotSent or Unanswered. Client owns the connections.
package httpcall

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("httpcall")
	// NotSent means that no byte of the request was written: a retry is safe.
	NotSent = Errors.NewType("not_sent")
	// Unanswered means that the request was written, at least in part, and no complete
	// response was read: it may have been processed, or still may be.
	Unanswered = Errors.NewType("unanswered")

	responseTooLong = Errors.NewType("too_long")
	badHeader       = Errors.NewType("bad_header")
)

// Limits bound a client's use of connections.
type Limits struct {
	MaxConnections   int           // to one address; further requests wait
	MaxIdle          int           // connections to one address
	IdleTimeout      time.Duration // after the last response
	DialTimeout      time.Duration
	MaxResponseBytes int64 // of a body
	KeepAlive        net.KeepAliveConfig
}

// Request is one HTTP request.
type Request struct {
	Address string // host:port
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
}

// Response is a complete response.
type Response struct {
	Code int
	Body []byte
}

// Client sends requests over connections that it keeps open. Its methods may be called
// concurrently.
type Client struct {
	limits Limits
	now    func() time.Time
	mu     sync.Mutex
	peers  map[string]*peer
}

// New returns a client without connections.
func New(limits Limits) *Client {
	return &Client{limits: limits, now: time.Now, peers: map[string]*peer{}}
}

// Do sends a request and reads the response. The context bounds all of it, including the
// wait for a connection. Errors: NotSent and Unanswered.
func (c *Client) Do(ctx context.Context, request Request) (Response, error) {
	message, parsed, err := encode(request)
	if err != nil {
		return Response{}, NotSent.Wrap(err, "encoding the request")
	}
	p := c.peer(request.Address)
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return Response{}, NotSent.Wrap(ctx.Err(), "waiting for a connection")
	}
	defer func() { <-p.slots }()
	for {
		conn, err := c.connection(ctx, p)
		if err != nil {
			return Response{}, NotSent.Wrap(err, "dialing %s", request.Address)
		}
		response, err := conn.exchange(ctx, message, parsed, c.limits.MaxResponseBytes)
		if err == nil {
			c.release(p, conn)
			return response, nil
		}
		conn.Close()
		// The peer may have closed an idle connection just after it was checked. Each
		// attempt uses one up, so the last one is on a new connection.
		if !errorx.IsOfType(err, NotSent) || conn.responses == 0 || ctx.Err() != nil {
			return Response{}, err
		}
	}
}

// encode returns a request's bytes, which are sent in one write, and the form in which
// http.ReadResponse needs it.
func encode(request Request) ([]byte, *http.Request, error) {
	parsed, err := http.NewRequest(request.Method, "http://"+request.Address+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return nil, nil, err
	}
	for name, values := range request.Header {
		for _, value := range values {
			// net/http would silently replace these characters.
			if strings.ContainsFunc(value, isControl) {
				return nil, nil, badHeader.New("%s: %q", name, value)
			}
		}
		parsed.Header[name] = values
	}
	var message bytes.Buffer
	if err := parsed.Write(&message); err != nil {
		return nil, nil, err
	}
	return message.Bytes(), parsed, nil
}

func isControl(char rune) bool { return char < ' ' && char != '\t' || char == 0x7f }

// Close closes the idle connections. The client may be used again.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		for _, conn := range p.idle {
			conn.Close()
		}
		p.idle = nil
	}
}
