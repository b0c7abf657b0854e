// Package standin is a test double for HTTP servers: Server listens on a real socket,
// behaves or misbehaves for each request as its script says, and records the requests. It
// reports each step on a channel, so that tests needn't sleep.
package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// Behaviour is how the server handles one request. Resets are TCP resets.
type Behaviour int

const (
	// Respond sends a complete response.
	Respond Behaviour = iota
	// RespondAndClose sends a response with Connection: close, and closes.
	RespondAndClose
	// RespondThenClose sends a response, and closes without having announced it.
	RespondThenClose
	// RespondUnframed sends a response without a length, which ends with the connection.
	RespondUnframed
	// RespondTwice sends the response twice in one write.
	RespondTwice
	// RespondWithExtraBytes sends more bytes than Content-Length announces.
	RespondWithExtraBytes
	// RespondAfterInformational sends informational responses first.
	RespondAfterInformational
	// RespondOnRelease sends a response after a call of Release.
	RespondOnRelease
	// NeverRespond reads the request and sends nothing until Close.
	NeverRespond
	// ResetBeforeBody resets the connection after the request's header was read.
	ResetBeforeBody
	// ResetInBody resets it after half of the request's body.
	ResetInBody
	// ResetAfterBody resets it after the whole request.
	ResetAfterBody
	// ResetInResponse resets it after half of the response's body was sent.
	ResetInResponse
	// CloseInBody closes it after half of the response's body.
	CloseInBody
	// CloseInHeader closes it within the response's header.
	CloseInHeader
)

// Arrival is a received request.
type Arrival struct {
	Number int // from 1, in the order of the headers
	Header http.Header
	Body   []byte // as far as it was read
}

// Server is a scripted HTTP server. Its methods may be called concurrently.
type Server struct {
	// Arrived gets each request once it was read, as far as it is to be.
	Arrived chan Arrival
	// Done gets the number of each request once its behaviour is completed.
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

// eventBuffer is how many events a test needn't receive.
const eventBuffer = 1024

// Serve starts a server on an address. The script gives the behaviour for each request,
// by its number, and respond the status and body of its response.
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

// Address is where the server listens, IP:PORT.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Release lets one request with RespondOnRelease continue.
func (s *Server) Release() { s.release <- struct{}{} }

// Connections returns how many connections were accepted so far.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections
}

// Arrivals returns the requests so far.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// Close closes all sockets at once, as the end of a process does, and waits for the
// goroutines.
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

// recordHeader numbers a request; recordBody adds its body.
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

// perform carries out a behaviour, and says whether the connection stays open.
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

// reset makes the next Close send a TCP reset.
func reset(conn net.Conn) {
	if system, isTCP := conn.(*net.TCPConn); isTCP {
		_ = system.SetLinger(0)
	}
}
