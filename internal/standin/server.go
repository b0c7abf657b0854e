// Package standin provides a test double for HTTP servers. A Server listens on a real socket,
// handles each request, correctly or with a fault, as its script specifies, and records the
// requests. It reports arrived and completed requests on channels, so that tests needn't sleep.
package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// Behaviour specifies how the server handles one request. Resets are TCP resets.
type Behaviour int

const (
	// Respond sends a complete response.
	Respond Behaviour = iota
	// RespondAndClose sends a response with Connection: close, and closes the connection.
	RespondAndClose
	// RespondThenClose sends a response without Connection: close, and closes the connection.
	RespondThenClose
	// RespondUnframed sends a response without a length, and closes the connection to end it.
	RespondUnframed
	// RespondTwice sends the response twice in one write.
	RespondTwice
	// RespondWithExtraBytes sends more bytes than Content-Length specifies.
	RespondWithExtraBytes
	// RespondAfterInformational sends informational (1xx) responses before the response.
	RespondAfterInformational
	// RespondOnRelease sends a response once Release is called.
	RespondOnRelease
	// NeverRespond reads the request and sends nothing until the server is closed.
	NeverRespond
	// ResetBeforeBody resets the connection after the request's header was read.
	ResetBeforeBody
	// ResetInBody resets the connection after half of the request's body was read.
	ResetInBody
	// ResetAfterBody resets the connection after the whole request was read.
	ResetAfterBody
	// ResetInResponse resets the connection after half of the response's body was sent.
	ResetInResponse
	// CloseInBody closes the connection after half of the response's body was sent.
	CloseInBody
	// CloseInHeader closes the connection after a part of the response's header was sent.
	CloseInHeader
)

// Arrival is a received request.
type Arrival struct {
	Number int // counted from 1 in the order in which the headers arrived
	Header http.Header
	Body   []byte // the part that was read
}

// Server is a scripted HTTP server. Its methods may be called concurrently.
type Server struct {
	// Arrived receives each request once it was read as far as its Behaviour specifies.
	Arrived chan Arrival
	// Done receives the number of each request once its Behaviour is completed.
	Done chan int

	listener   net.Listener
	script     func(number int) Behaviour
	respond    func(Arrival) (code int, body string)
	release    chan struct{}
	stopped    chan struct{}
	goroutines sync.WaitGroup

	mu          sync.Mutex
	arrivals    []Arrival
	connections int
	open        map[net.Conn]bool
}

// eventBuffer is the capacity of the server's channels. The server continues without a receiver
// until a channel is full.
const eventBuffer = 1024

// Serve starts a server that listens on an address. script returns the behaviour for the request
// with a number, and respond returns the status and body of a request's response.
func Serve(address string, script func(number int) Behaviour, respond func(Arrival) (code int, body string)) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		Arrived: make(chan Arrival, eventBuffer), Done: make(chan int, eventBuffer), listener: listener, script: script, respond: respond,
		release: make(chan struct{}, eventBuffer), stopped: make(chan struct{}), open: map[net.Conn]bool{},
	}
	s.goroutines.Add(1)
	go s.accept()
	return s, nil
}

// Address returns the address on which the server listens, in the form IP:PORT.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Release makes the server respond to one request with RespondOnRelease.
func (s *Server) Release() { s.release <- struct{}{} }

// Connections returns the number of connections that were accepted so far.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections
}

// Arrivals returns the requests that arrived so far.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// Close closes all sockets at once, as if the server's process ended, and waits for the
// server's goroutines.
func (s *Server) Close() {
	close(s.stopped)
	s.listener.Close()
	s.mu.Lock()
	for conn := range s.open {
		conn.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

func (s *Server) accept() {
	defer s.goroutines.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.connections++
		s.open[conn] = true
		s.mu.Unlock()
		s.goroutines.Add(1)
		go func() {
			defer s.goroutines.Done()
			s.serve(conn)
			conn.Close()
			s.mu.Lock()
			delete(s.open, conn)
			s.mu.Unlock()
		}()
	}
}

func (s *Server) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		arrival := s.recordHeader(Arrival{Header: request.Header})
		behaviour := s.script(arrival.Number)
		arrival.Body = readBody(request, behaviour)
		s.recordBody(arrival)
		s.Arrived <- arrival
		isOpen := s.perform(conn, behaviour, arrival)
		if !isOpen {
			conn.Close()
		}
		s.Done <- arrival.Number
		if !isOpen {
			return
		}
	}
}

// recordHeader assigns the next number to a request and records it without its body, which
// recordBody adds.
func (s *Server) recordHeader(arrival Arrival) Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	arrival.Number = len(s.arrivals) + 1
	s.arrivals = append(s.arrivals, arrival)
	return arrival
}

func (s *Server) recordBody(arrival Arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[arrival.Number-1] = arrival
}

func readBody(request *http.Request, behaviour Behaviour) []byte {
	source := io.Reader(request.Body)
	switch behaviour {
	case ResetBeforeBody:
		return nil
	case ResetInBody:
		source = io.LimitReader(source, request.ContentLength/2)
	}
	body, _ := io.ReadAll(source)
	return body
}

// perform executes a behaviour, and returns whether the connection stays open.
func (s *Server) perform(conn net.Conn, behaviour Behaviour, arrival Arrival) bool {
	code, body := s.respond(arrival)
	framed := func(header string) string {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n%s", code, http.StatusText(code), len(body), header, body)
	}
	response := framed("")
	truncated := response[:len(response)-len(body)+len(body)/2]
	switch behaviour {
	case Respond:
		return send(conn, response)
	case RespondAndClose:
		send(conn, framed("Connection: close\r\n"))
	case RespondThenClose:
		send(conn, response)
	case RespondUnframed:
		send(conn, fmt.Sprintf("HTTP/1.1 %d %s\r\n\r\n%s", code, http.StatusText(code), body))
	case RespondTwice:
		return send(conn, response+response)
	case RespondWithExtraBytes:
		return send(conn, response+" and more")
	case RespondAfterInformational:
		return send(conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"+response)
	case RespondOnRelease:
		select {
		case <-s.release:
			return send(conn, response)
		case <-s.stopped:
		}
	case NeverRespond:
		<-s.stopped
	case ResetInResponse:
		send(conn, truncated)
		reset(conn)
	case CloseInBody:
		send(conn, truncated)
	case CloseInHeader:
		send(conn, response[:len("HTTP/1.1 200")])
	case ResetBeforeBody, ResetInBody, ResetAfterBody:
		reset(conn)
	}
	return false
}

func send(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// reset makes the next Close of the connection send a TCP reset.
func reset(conn net.Conn) {
	if system, isTCP := conn.(*net.TCPConn); isTCP {
		_ = system.SetLinger(0)
	}
}
