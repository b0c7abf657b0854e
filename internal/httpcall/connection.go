package httpcall

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	readBufferBytes = 4 << 10
	maxHeaderBytes  = 64 << 10 // of a response, together with the informational responses before it
)

// connection is a connection to a peer. It is used for one request at a time.
type connection struct {
	net.Conn
	limited    *io.LimitedReader // limits the bytes of one response; reads from Conn
	reader     *bufio.Reader     // reads from limited
	responses  int               // number of complete responses so far
	isReusable bool              // whether the last response was complete, and nothing else has arrived
	lastUsed   time.Time         // when the last response was complete
}

func newConnection(conn net.Conn) *connection {
	limited := &io.LimitedReader{R: conn}
	return &connection{Conn: conn, limited: limited, reader: bufio.NewReaderSize(limited, readBufferBytes)}
}

// isClean reports whether the connection can be used for another request: the peer has
// neither closed it nor sent unsolicited bytes, which would be mistaken for the response.
func (c *connection) isClean() bool {
	if !c.isReusable || c.reader.Buffered() > 0 {
		return false
	}
	source, isSystem := c.Conn.(syscall.Conn)
	if !isSystem {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	isEmpty := false
	err = raw.Read(func(descriptor uintptr) bool {
		_, _, peekErr := unix.Recvfrom(int(descriptor), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		// EAGAIN means that nothing has arrived. Success with zero bytes would mean that
		// the peer has closed the connection.
		isEmpty = peekErr == unix.EAGAIN || peekErr == unix.EWOULDBLOCK
		return true
	})
	return err == nil && isEmpty
}

// exchange writes a request and reads its response of at most maxBytes in the body. After an
// error the connection must not be reused.
func (c *connection) exchange(ctx context.Context, message []byte, request *http.Request, maxBytes int64) (Response, error) {
	c.isReusable = false
	if err := ctx.Err(); err != nil {
		return Response{}, NotSent.Wrap(err, "the context ended before the request was written")
	}
	deadline, _ := ctx.Deadline()
	if err := c.SetDeadline(deadline); err != nil {
		return Response{}, NotSent.Wrap(err, "deadline")
	}
	release := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	written, err := c.Write(message)
	if err != nil && written == 0 {
		release()
		return Response{}, NotSent.Wrap(err, "writing")
	}
	if err != nil {
		release()
		return Response{}, Unanswered.Wrap(err, "writing the request failed after %d bytes", written)
	}
	response, isLast, err := c.readResponse(request, maxBytes)
	// If the context has ended, its callback may still change the deadline, so the
	// connection isn't reused.
	isReleased := release()
	if err != nil {
		return Response{}, Unanswered.Wrap(err, "reading")
	}
	c.responses++
	c.isReusable = isReleased && !isLast && c.reader.Buffered() == 0 && c.SetDeadline(time.Time{}) == nil
	return response, nil
}

// readResponse reads one complete response. It also reports whether this is the last response
// on the connection.
func (c *connection) readResponse(request *http.Request, maxBytes int64) (Response, bool, error) {
	c.limited.N = maxBytes + maxHeaderBytes
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return Response{}, true, err
		}
		if isInformational(response.StatusCode) {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
		if err != nil {
			return Response{}, true, err
		}
		if int64(len(body)) > maxBytes {
			return Response{}, true, responseTooLong.New("the body of the response has more than %d bytes", maxBytes)
		}
		return Response{Code: response.StatusCode, Body: body}, response.Close || response.StatusCode == http.StatusSwitchingProtocols, nil
	}
}

// isInformational reports whether a response has a status after which another response to
// the same request follows (RFC 9110, section 15.2).
func isInformational(code int) bool {
	return code >= 100 && code < 200 && code != http.StatusSwitchingProtocols
}
