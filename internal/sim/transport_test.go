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

// network is what tables are given to reach other processes with.
type network interface {
	// dial sends from one of two ends to an address.
	dial(from int, address string, body any)
	// send sends to the process of an id that was last known at an address.
	send(from int, id, address string, body any)
	address(end int) string
	// next is what arrives at an end; false when nothing does any more.
	next(end int) (from string, body any, isThere bool)
	cut(isCut bool) // both ways
}

// transportContract: whoever writes another network runs this over it.
func transportContract(t network) {
	for number := uint64(1); number <= 50; number++ {
		t.dial(0, t.address(1), &schema.TimeoutNow{Group: "g", Term: number})
	}
	for number := uint64(1); number <= 50; number++ {
		from, body, isThere := t.next(1)
		So(isThere, ShouldBeTrue)
		So(from, ShouldEqual, "end0")
		So(body.(*schema.TimeoutNow).Term, ShouldEqual, number)
	}
	// Answers find their way, and both directions are their own.
	t.dial(1, t.address(0), &schema.SubmitResponse{Queue: "l", Results: []*schema.SubmitResult{{Number: 3, View: &schema.JobView{Name: "j"}}}})
	from, body, isThere := t.next(0)
	So(isThere, ShouldBeTrue)
	So(from, ShouldEqual, "end1")
	So(body.(*schema.SubmitResponse).Results[0].View.Name, ShouldEqual, "j")
	// Nowhere is no trouble.
	t.dial(0, "", &schema.TimeoutNow{Group: "nowhere"})
	t.dial(0, "127.0.0.1:1", &schema.TimeoutNow{Group: "nobody"})
	// What is for a process that is there no more goes to no other.
	t.send(0, "former", t.address(1), &schema.TimeoutNow{Group: "strayed"})
	t.send(0, "end1", t.address(1), &schema.TimeoutNow{Group: "meant"})
	_, body, isThere = t.next(1)
	So(isThere, ShouldBeTrue)
	So(body.(*schema.TimeoutNow).Group, ShouldEqual, "meant")
	// What is sent while cut is lost, what is sent after arrives.
	t.cut(true)
	t.dial(0, t.address(1), &schema.TimeoutNow{Group: "cut"})
	t.cut(false)
	t.dial(0, t.address(1), &schema.TimeoutNow{Group: "whole"})
	_, body, isThere = t.next(1)
	So(isThere, ShouldBeTrue)
	So(body.(*schema.TimeoutNow).Group, ShouldEqual, "whole")
}

// --- the real one ---

type realTransport struct {
	ends  [2]*transport.Transport
	boxes [2]chan eventloop.Message
	isCut atomic.Bool
}

func openReal() *realTransport {
	r := &realTransport{}
	for k := range r.ends {
		r.boxes[k] = make(chan eventloop.Message, 256)
		n, err := transport.Listen(transport.Identity{ID: []string{"end0", "end1"}[k]}, "127.0.0.1:0", func(from string, body any) { r.boxes[k] <- eventloop.Message{From: from, Body: body} })
		So(err, ShouldBeNil)
		n.IsPartitioned = func(string) bool { return r.isCut.Load() }
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
	case mail := <-r.boxes[end]:
		return mail.From, mail.Body, true
	case <-time.After(30 * time.Second):
		return "", nil, false
	}
}
func (r *realTransport) cut(isCut bool) {
	// Before it is mended the wire takes what it was given; by now that is what
	// was for nobody, and what was cut.
	for !isCut && r.ends[0].Counts().Lost < 2 {
		runtime.Gosched()
	}
	r.isCut.Store(isCut)
}

// --- the simulated one ---

type catcher struct{ mails []eventloop.Message }

func (c *catcher) Step(_ eventloop.Micros, mail eventloop.Message, _ eventloop.Effects) {
	c.mails = append(c.mails, mail)
}

type simTransport struct {
	world *World
	ends  [2]*Host
	boxes [2]*catcher
}

func openSim() *simTransport {
	s := &simTransport{world: NewWorld(1, Net{Near: 100, Far: 1000}, 500)}
	for k := range s.ends {
		h := s.world.AddHost([]string{"end0", "end1"}[k], "c1", schema.Role_ROLE_SERVER, false)
		s.boxes[k] = &catcher{}
		h.IsUp, h.Id = true, h.Name
		h.tables = map[string]eventloop.Component{"replica": s.boxes[k], "gateway": s.boxes[k]}
		s.ends[k] = h
	}
	return s
}

func (s *simTransport) dial(from int, address string, body any) {
	(&outlet{s.ends[from]}).Dial(address, body)
}
func (s *simTransport) send(from int, id, address string, body any) {
	s.world.carry(s.ends[from], id, address, body)
}
func (s *simTransport) address(end int) string { return s.ends[end].Address }
func (s *simTransport) next(end int) (string, any, bool) {
	s.world.Run(s.world.Now + eventloop.Second)
	box := s.boxes[end]
	if len(box.mails) == 0 {
		return "", nil, false
	}
	mail := box.mails[0]
	box.mails = box.mails[1:]
	return mail.From, mail.Body, true
}
func (s *simTransport) cut(isCut bool) {
	s.world.Split(isCut, func(h *Host) bool { return h == s.ends[0] })
}

func TestEveryTransport(t *testing.T) {
	Convey("The real network keeps the contract", t, func() {
		r := openReal()
		Reset(func() { r.ends[0].Close(); r.ends[1].Close() })
		transportContract(r)
	})
	Convey("The simulated network keeps the contract", t, func() { transportContract(openSim()) })
}
