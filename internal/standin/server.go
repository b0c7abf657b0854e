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
	// Answer sends one whole answer.
	Answer Behaviour = iota
	// AnswerAndClose sends one that says it is the connection's last.
	AnswerAndClose
	// AnswerThenClose closes the connection after one that doesn't say so.
	AnswerThenClose
	// AnswerUnframed sends one whose end is the connection's end.
	AnswerUnframed
	// AnswerTwice sends a second one in the same segment.
	AnswerTwice
	// AnswerLonger sends more bytes than the answer's length says.
	AnswerLonger
	// AnswerAfterNotices sends informational answers first.
	AnswerAfterNotices
	// AnswerWhenTold waits for Release.
	AnswerWhenTold
	// Silence reads the request and sends nothing.
	Silence
	// ResetBeforeBody resets the connection when the head has been read.
	ResetBeforeBody
	// ResetInBody does so when half of the body has been read.
	ResetInBody
	// ResetAfterBody does so when all of it has been read.
	ResetAfterBody
	// ResetInAnswer does so after half of the answer's body.
	ResetInAnswer
	// HalfAnswer closes the connection in order after half of the answer's body.
	HalfAnswer
	// HalfHead closes it in order in the middle of the answer's head.
	HalfHead
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

	listener net.Listener
	script   func(number int) Behaviour
	answer   func(Arrival) (code int, body string)
	release  chan struct{}
	stop     chan struct{}
	running  sync.WaitGroup

	mu          sync.Mutex
	arrivals    []Arrival
	connections int
	open        map[net.Conn]bool
}

// queued is how many requests a test may leave unseen.
const queued = 1024

// Serve listens on an address. The script says what becomes of each request by
// its number, and answer what is answered.
func Serve(address string, script func(number int) Behaviour, answer func(Arrival) (code int, body string)) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		Arrived: make(chan Arrival, queued), Done: make(chan int, queued), listener: listener, script: script, answer: answer,
		release: make(chan struct{}, queued), stop: make(chan struct{}), open: map[net.Conn]bool{},
	}
	s.running.Add(1)
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
	close(s.stop)
	s.listener.Close()
	s.mu.Lock()
	for conn := range s.open {
		conn.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

func (s *Server) accept() {
	defer s.running.Done()
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
		s.running.Add(1)
		go func() {
			defer s.running.Done()
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
		arrival := s.note(Arrival{Connection: connection, Path: request.URL.Path, Header: request.Header})
		behaviour := s.script(arrival.Number)
		arrival.Body = readBody(request, behaviour)
		s.noteBody(arrival)
		s.Arrived <- arrival
		isOpen := s.behave(conn, behaviour, arrival)
		if !isOpen {
			conn.Close()
		}
		s.Done <- arrival.Number
		if !isOpen {
			return
		}
	}
}

func (s *Server) note(arrival Arrival) Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	arrival.Number = len(s.arrivals) + 1
	s.arrivals = append(s.arrivals, arrival)
	return arrival
}

func (s *Server) noteBody(arrival Arrival) {
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

// behave does what it was told to, and tells whether the connection stays open.
func (s *Server) behave(conn net.Conn, behaviour Behaviour, arrival Arrival) bool {
	code, body := s.answer(arrival)
	framed := func(header string) string {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n%s", code, http.StatusText(code), len(body), header, body)
	}
	whole := framed("")
	half := whole[:len(whole)-len(body)+len(body)/2]
	switch behaviour {
	case Answer:
		return send(conn, whole)
	case AnswerAndClose:
		send(conn, framed("Connection: close\r\n"))
	case AnswerThenClose:
		send(conn, whole)
	case AnswerUnframed:
		send(conn, fmt.Sprintf("HTTP/1.1 %d %s\r\n\r\n%s", code, http.StatusText(code), body))
	case AnswerTwice:
		return send(conn, whole+whole)
	case AnswerLonger:
		return send(conn, whole+" and more")
	case AnswerAfterNotices:
		return send(conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"+whole)
	case AnswerWhenTold:
		select {
		case <-s.release:
			return send(conn, whole)
		case <-s.stop:
		}
	case Silence:
		<-s.stop
	case ResetInAnswer:
		send(conn, half)
		reset(conn)
	case HalfAnswer:
		send(conn, half)
	case HalfHead:
		send(conn, whole[:12])
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
