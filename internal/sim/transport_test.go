package sim

import (
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
	"sparnotch/internal/transport"
)

// testNetwork is what tables are given to reach other processes with.
type testNetwork interface {
	// dial sends from one of two ends to an address.
	dial(from int, address string, body any)
	// send sends to the process of an id that was last known at an address.
	send(from int, id, address string, body any)
	address(end int) string
	// next is what arrives at an end; false when nothing does any more.
	next(end int) (from string, body any, isThere bool)
	setPartitioned(isCut bool) // both ways
}

// transportContract: whoever writes another network runs this over it.
func transportContract(t testNetwork) {
	for number := uint64(1); number <= 50; number++ {
		t.dial(0, t.address(1), &schema.TimeoutNow{Group: "g", Term: number})
	}
	for number := uint64(1); number <= 50; number++ {
		from, body, found := t.next(1)
		So(found, ShouldBeTrue)
		So(from, ShouldEqual, "end0")
		So(body.(*schema.TimeoutNow).Term, ShouldEqual, number)
	}
	// Answers find their way, and both directions are their own.
	t.dial(1, t.address(0), &schema.SubmitResponse{Queue: "l", Results: []*schema.SubmitResult{{Number: 3, View: &schema.JobView{Name: "j"}}}})
	from, body, found := t.next(0)
	So(found, ShouldBeTrue)
	So(from, ShouldEqual, "end1")
	So(body.(*schema.SubmitResponse).Results[0].View.Name, ShouldEqual, "j")
	// Nowhere is no trouble.
	t.dial(0, "", &schema.TimeoutNow{Group: "nowhere"})
	t.dial(0, "127.0.0.1:1", &schema.TimeoutNow{Group: "nobody"})
	// What is for a process that is there no more goes to no other.
	t.send(0, "former", t.address(1), &schema.TimeoutNow{Group: "strayed"})
	t.send(0, "end1", t.address(1), &schema.TimeoutNow{Group: "meant"})
	_, body, found = t.next(1)
	So(found, ShouldBeTrue)
	So(body.(*schema.TimeoutNow).Group, ShouldEqual, "meant")
	// What is sent while cut is lost, what is sent after arrives.
	t.setPartitioned(true)
	t.dial(0, t.address(1), &schema.TimeoutNow{Group: "cut"})
	t.setPartitioned(false)
	t.dial(0, t.address(1), &schema.TimeoutNow{Group: "whole"})
	_, body, found = t.next(1)
	So(found, ShouldBeTrue)
	So(body.(*schema.TimeoutNow).Group, ShouldEqual, "whole")
}

// --- the real one ---

type realTransport struct {
	ends          [2]*transport.Transport
	mailboxes     [2]chan eventloop.Message
	isPartitioned atomic.Bool
}

func openReal() *realTransport {
	r := &realTransport{}
	for k := range r.ends {
		r.mailboxes[k] = make(chan eventloop.Message, 256)
		n, err := transport.Listen(transport.Identity{ID: []string{"end0", "end1"}[k]}, "127.0.0.1:0", func(from string, body any) { r.mailboxes[k] <- eventloop.Message{From: from, Body: body} })
		So(err, ShouldBeNil)
		n.IsPartitioned = func(string) bool { return r.isPartitioned.Load() }
		r.ends[k] = n
	}
	return r
}

func (r *realTransport) dial(from int, address string, body any) { r.ends[from].Send(address, body) }
func (r *realTransport) send(from int, id, address string, body any) {
	r.ends[from].SendTo(id, address, body)
}
func (r *realTransport) address(end int) string { return r.ends[end].Address() }
func (r *realTransport) next(end int) (string, any, bool) {
	select {
	case mail := <-r.mailboxes[end]:
		return mail.From, mail.Body, true
	case <-time.After(30 * time.Second):
		return "", nil, false
	}
}
func (r *realTransport) setPartitioned(blocked bool) {
	// Before it is mended the wire takes what it was given; by now that is what
	// was for nobody, and what was cut.
	for !blocked && r.ends[0].Counts().Lost < 2 {
		runtime.Gosched()
	}
	r.isPartitioned.Store(blocked)
}

// --- the simulated one ---

type messageRecorder struct{ messages []eventloop.Message }

func (c *messageRecorder) Step(_ eventloop.Micros, mail eventloop.Message, _ eventloop.Effects) {
	c.messages = append(c.messages, mail)
}

type simTransport struct {
	sim       *Simulation
	ends      [2]*Host
	recorders [2]*messageRecorder
}

func openSim() *simTransport {
	s := &simTransport{sim: NewSimulation(1, NetworkProfile{IntraZoneDelay: 100, InterZoneDelay: 1000}, 500)}
	for k := range s.ends {
		h := s.sim.AddHost([]string{"end0", "end1"}[k], "c1", schema.Role_ROLE_SERVER, false)
		s.recorders[k] = &messageRecorder{}
		h.IsUp, h.ID = true, h.Name
		h.components = map[string]eventloop.Component{"replica": s.recorders[k], "gateway": s.recorders[k]}
		s.ends[k] = h
	}
	return s
}

func (s *simTransport) dial(from int, address string, body any) {
	(&effects{s.ends[from]}).Dial(address, body)
}
func (s *simTransport) send(from int, id, address string, body any) {
	s.sim.send(s.ends[from], id, address, body)
}
func (s *simTransport) address(end int) string { return s.ends[end].Address }
func (s *simTransport) next(end int) (string, any, bool) {
	s.sim.Run(s.sim.Now + eventloop.Second)
	box := s.recorders[end]
	if len(box.messages) == 0 {
		return "", nil, false
	}
	mail := box.messages[0]
	box.messages = box.messages[1:]
	return mail.From, mail.Body, true
}
func (s *simTransport) setPartitioned(blocked bool) {
	s.sim.Partition(blocked, func(h *Host) bool { return h == s.ends[0] })
}

func TestEveryTransport(t *testing.T) {
	Convey("The real network keeps the contract", t, func() {
		r := openReal()
		Reset(func() { r.ends[0].Close(); r.ends[1].Close() })
		transportContract(r)
	})
	Convey("The simulated network keeps the contract", t, func() { transportContract(openSim()) })
}
