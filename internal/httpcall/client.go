// Package httpcall implements an HTTP/1.1 client that never sends a request twice.
//
// The client of net/http decides by itself when to send a request again on another
// connection (Request.GetBody, RFC 9110 section 9.2.2). It also reuses a connection
// without checking whether bytes other than the response have arrived on it. Client
// retries a request only if no byte of it was written, and reuses a connection only if
// each request on it was answered with exactly one complete response. The error of a
// failed request is NotSent or Unanswered, and so tells whether the peer may have
// received the request.
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
	// NotSent means that no byte of the request was written, so that a retry is safe.
	NotSent = Errors.NewType("not_sent")
	// Unanswered means that at least a part of the request was written, and no complete
	// response was read. The peer may have processed the request, or may still do so.
	Unanswered = Errors.NewType("unanswered")

	responseTooLong = Errors.NewType("response_too_long")
	badHeader       = Errors.NewType("invalid_header_value")
)

// Limits holds the limits of a client's connections and responses.
type Limits struct {
	MaxConnections   int           // to one address; further requests wait for one of them
	MaxIdle          int           // idle connections to one address; further ones are closed
	IdleTimeout      time.Duration // longest time after the last response for which an idle connection is reused
	DialTimeout      time.Duration
	MaxResponseBytes int64 // in the body of a response
	KeepAlive        net.KeepAliveConfig
}

// Request is an HTTP request.
type Request struct {
	Address string // host:port
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
}

// Response is an HTTP response that was read completely.
type Response struct {
	Code int // HTTP status
	Body []byte
}

// Client sends requests over connections that it keeps open. Its methods may be called
// concurrently.
type Client struct {
	limits Limits
	now    func() time.Time
	mu     sync.Mutex // guards peers and the idle connections of each peer
	peers  map[string]*peer
}

// New returns a client that has no connections yet.
func New(limits Limits) *Client {
	return &Client{limits: limits, now: time.Now, peers: map[string]*peer{}}
}

// Do sends a request and returns the response. The context also limits the wait for a
// connection. An error is of the type NotSent or Unanswered.
func (c *Client) Do(ctx context.Context, request Request) (Response, error) {
	message, parsed, err := encode(request)
	if err != nil {
		return Response{}, NotSent.Wrap(err, "encoding the request failed")
	}
	p := c.peer(request.Address)
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return Response{}, NotSent.Wrap(ctx.Err(), "the context ended while the request waited for a connection")
	}
	defer func() { <-p.slots }()
	for {
		conn, err := c.connection(ctx, p)
		if err != nil {
			return Response{}, NotSent.Wrap(err, "dialing %s failed", request.Address)
		}
		response, err := conn.exchange(ctx, message, parsed, c.limits.MaxResponseBytes)
		if err == nil {
			c.release(p, conn)
			return response, nil
		}
		conn.Close()
		// The request is retried if it wasn't sent and the connection was an idle one: the
		// peer may have closed it just after it was checked. Each attempt uses up one idle
		// connection, so the last attempt is on a new one.
		if !errorx.IsOfType(err, NotSent) || conn.responses == 0 || ctx.Err() != nil {
			return Response{}, err
		}
	}
}

// encode returns the bytes of a request, which are sent in one write, and the request in the
// form that http.ReadResponse needs.
func encode(request Request) ([]byte, *http.Request, error) {
	parsed, err := http.NewRequest(request.Method, "http://"+request.Address+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return nil, nil, err
	}
	for name, values := range request.Header {
		for _, value := range values {
			// net/http would silently replace these characters.
			if strings.ContainsFunc(value, isControl) {
				return nil, nil, badHeader.New("header %s has a value with control characters: %q", name, value)
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

// isControl reports whether a character isn't allowed in the value of a header.
func isControl(char rune) bool { return char < ' ' && char != '\t' || char == 0x7f }

// Close closes the idle connections. The client may still be used after that.
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
