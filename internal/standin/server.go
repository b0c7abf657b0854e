// Package standin holds stand-ins for the peers of a process: servers on real
// sockets that misbehave as they are told to, and count what arrives. They tell
// of each step on channels, so that tests need not sleep.
package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// Behaviour is what becomes of one request.
type Behaviour int

const (
	// Respond sends one whole answer.
	Respond Behaviour = iota
	// RespondAndClose sends one that says it is the connection's last.
	RespondAndClose
	// RespondThenClose closes the connection after one that doesn't say so.
	RespondThenClose
	// RespondUnframed sends one whose end is the connection's end.
	RespondUnframed
	// RespondTwice sends a second one in the same segment.
	RespondTwice
	// RespondWithExtraBytes sends more bytes than the answer's length says.
	RespondWithExtraBytes
	// RespondAfterInformational sends informational answers first.
	RespondAfterInformational
	// RespondOnRelease waits for Release.
	RespondOnRelease
	// NeverRespond reads the request and sends nothing.
	NeverRespond
	// ResetBeforeBody resets the connection when the head has been read.
	ResetBeforeBody
	// ResetInBody does so when half of the body has been read.
	ResetInBody
	// ResetAfterBody does so when all of it has been read.
	ResetAfterBody
	// ResetInResponse does so after half of the answer's body.
	ResetInResponse
	// CloseInBody closes the connection in order after half of the answer's body.
	CloseInBody
	// CloseInHeader closes it in order in the middle of the answer's head.
	CloseInHeader
)

// Arrival is a request as it came.
type Arrival struct {
	Number     int // from 1, in the order in which the heads were read
	Connection int // from 1, in the order in which they were accepted
	Path       string
	Header     http.Header
	Body       []byte // as much as was read of it
}

// Server is a stand-in for whoever is called over HTTP.
type Server struct {
	// Arrived gets each request once as much of it was read as is going to be.
	Arrived chan Arrival
	// Done gets the number of each request when the stand-in has done with it
	// what it was told to.
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

// eventBuffer is how many requests a test may leave unseen.
const eventBuffer = 1024

// Serve listens on an address. The script says what becomes of each request by
// its number, and answer what is answered.
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

// Address is where it listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Release lets one answer go that waits to be told.
func (s *Server) Release() { s.release <- struct{}{} }

// Connections counts those accepted so far.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections
}

// Arrivals lists the requests so far.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// Close ends it as the death of its process would.
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
		number := s.connections
		s.open[conn] = true
		s.mu.Unlock()
		s.goroutines.Add(1)
		go func() {
			defer s.goroutines.Done()
			s.serve(conn, number)
			conn.Close()
			s.mu.Lock()
			delete(s.open, conn)
			s.mu.Unlock()
		}()
	}
}

func (s *Server) serve(conn net.Conn, connection int) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		arrival := s.recordHeader(Arrival{Connection: connection, Path: request.URL.Path, Header: request.Header})
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

// perform does what it was told to, and tells whether the connection stays open.
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
		send(conn, response[:12])
	case ResetBeforeBody, ResetInBody, ResetAfterBody:
		reset(conn)
	}
	return false
}

func send(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// reset has the kernel send a reset in place of an orderly end.
func reset(conn net.Conn) {
	if system, isTCP := conn.(*net.TCPConn); isTCP {
		_ = system.SetLinger(0)
	}
}
