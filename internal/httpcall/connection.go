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
	readerBytes = 4 << 10
	headerBytes = 64 << 10 // the longest head of an answer, with those that only inform
)

// connection carries one request at a time.
type connection struct {
	net.Conn
	limited *io.LimitedReader
	reader  *bufio.Reader
	answers int       // whole ones so far
	isWhole bool      // the last request was answered, and nothing else has come
	usedAt  time.Time // when that was
}

func newConnection(conn net.Conn) *connection {
	limited := &io.LimitedReader{R: conn}
	return &connection{Conn: conn, limited: limited, reader: bufio.NewReaderSize(limited, readerBytes)}
}

// isQuiet tells whether the peer has neither closed the connection nor sent
// anything that nobody asked for: what stands on it before a request is written
// can't be its answer.
func (c *connection) isQuiet() bool {
	if !c.isWhole || c.reader.Buffered() > 0 {
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
	err = raw.Read(func(handle uintptr) bool {
		_, _, problem := unix.Recvfrom(int(handle), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		// Nothing to read yet is the one good case; zero bytes are an end.
		isEmpty = problem == unix.EAGAIN || problem == unix.EWOULDBLOCK
		return true
	})
	return err == nil && isEmpty
}

// exchange writes a request and reads its answer. Until that is whole, the
// connection isn't to be used again.
func (c *connection) exchange(ctx context.Context, message []byte, request *http.Request, mostBytes int64) (Answer, error) {
	c.isWhole = false
	if err := ctx.Err(); err != nil {
		return Answer{}, NotSent.Wrap(err, "before writing")
	}
	deadline, _ := ctx.Deadline()
	if err := c.SetDeadline(deadline); err != nil {
		return Answer{}, NotSent.Wrap(err, "deadline")
	}
	release := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	written, err := c.Write(message)
	if err != nil && written == 0 {
		release()
		return Answer{}, NotSent.Wrap(err, "writing")
	}
	if err != nil {
		release()
		return Answer{}, Unanswered.Wrap(err, "writing, after %d bytes", written)
	}
	answer, isLast, err := c.read(request, mostBytes)
	// Once the context has ended, the deadline may still be about to change.
	isReleased := release()
	if err != nil {
		return Answer{}, Unanswered.Wrap(err, "reading")
	}
	c.answers++
	c.isWhole = isReleased && !isLast && c.reader.Buffered() == 0 && c.SetDeadline(time.Time{}) == nil
	return answer, nil
}

// read takes one whole answer in, and tells whether it is the connection's last.
func (c *connection) read(request *http.Request, mostBytes int64) (Answer, bool, error) {
	c.limited.N = mostBytes + headerBytes
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return Answer{}, true, err
		}
		if isInformational(response.StatusCode) {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, mostBytes+1))
		if err != nil {
			return Answer{}, true, err
		}
		if int64(len(body)) > mostBytes {
			return Answer{}, true, tooLong.New("an answer of over %d bytes", mostBytes)
		}
		return Answer{Code: response.StatusCode, Body: body}, response.Close || response.StatusCode == http.StatusSwitchingProtocols, nil
	}
}

// isInformational tells whether another answer follows to the same request.
func isInformational(code int) bool {
	return code >= 100 && code < 200 && code != http.StatusSwitchingProtocols
}
