// Package httpcall sends HTTP/1.1 requests that must not be repeated behind the
// caller's back.
//
// The client of net/http decides by itself when a request is sent again on
// another connection, and gives a connection back for reuse without looking
// whether more has come on it than the answer. Here both are explicit: a request
// is written again only where not one byte of it has left this process, and a
// connection is used again only after exactly one whole answer to each of its
// requests. An error says which of the two cases it was: NotSent or Unanswered.
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
	// Errors is the namespace of the errors of this package.
	Errors = errorx.NewNamespace("httpcall")
	// NotSent says that no byte of the request was written, so the peer can't
	// have it and it may be sent again.
	NotSent = Errors.NewType("not_sent")
	// Unanswered says that some of the request was written and no whole answer to
	// it came: it may have been carried out, or may be later.
	Unanswered = Errors.NewType("unanswered")

	responseTooLong = Errors.NewType("too_long")
	badHeader       = Errors.NewType("bad_header")
)

// Limits are the bounds of a client.
type Limits struct {
	MaxConnections   int           // to one address at once
	MaxIdle          int           // of them kept open while nothing is asked
	IdleTimeout      time.Duration // and how long each
	DialTimeout      time.Duration // for a connection to come about
	MaxResponseBytes int64         // the longest body of an answer
	KeepAlive        net.KeepAliveConfig
}

// Request is one call. A client sends it once.
type Request struct {
	Address string // host:port
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
}

// Response is a whole answer: its body was read to the end.
type Response struct {
	Code int
	Body []byte
}

// Client keeps connections to a few addresses. It may be used by several
// goroutines at once.
type Client struct {
	limits Limits
	now    func() time.Time
	mu     sync.Mutex
	peers  map[string]*peer
}

// New makes a client without connections.
func New(limits Limits) *Client {
	return &Client{limits: limits, now: time.Now, peers: map[string]*peer{}}
}

// Do sends a request and reads its answer, or returns NotSent or Unanswered. The
// context bounds all of it, also the wait for a connection.
func (c *Client) Do(ctx context.Context, request Request) (Response, error) {
	message, parsed, err := encode(request)
	if err != nil {
		return Response{}, NotSent.Wrap(err, "request")
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
			return Response{}, NotSent.Wrap(err, "dialling")
		}
		response, err := conn.exchange(ctx, message, parsed, c.limits.MaxResponseBytes)
		if err == nil {
			c.release(p, conn)
			return response, nil
		}
		conn.Close()
		// An idle connection may have been closed by its peer since it was last
		// looked at. Each one is used up, so this ends with a fresh one.
		if !errorx.IsOfType(err, NotSent) || conn.responses == 0 || ctx.Err() != nil {
			return Response{}, err
		}
	}
}

// encode gives a request's bytes, so that they leave in one write, and the form
// that its answer is read by.
func encode(request Request) ([]byte, *http.Request, error) {
	parsed, err := http.NewRequest(request.Method, "http://"+request.Address+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return nil, nil, err
	}
	for name, values := range request.Header {
		for _, value := range values {
			// The library would write it with blanks instead, as another value.
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

// Close ends the connections that nothing is asked on. The client may be used
// again.
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
