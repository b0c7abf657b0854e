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

// testNetwork is a network between two ends, each of which is a process.
type testNetwork interface {
	// dial sends a message from an end to an address.
	dial(from int, address string, body any)
	// send sends a message from an end to the process with the given id, whose last known
	// address is given.
	send(from int, id, address string, body any)
	// address returns the address of an end.
	address(end int) string
	// next returns the next message that arrives at an end; found is false if none arrives.
	next(end int) (from string, body any, found bool)
	// setPartitioned blocks or unblocks messages between the ends in both directions.
	setPartitioned(partitioned bool)
}

// transportContract checks the rules that every network must follow.
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
	// Both directions are independent.
	t.dial(1, t.address(0), &schema.SubmitResponse{Queue: "l", Results: []*schema.SubmitResult{{Number: 3, View: &schema.JobView{Name: "j"}}}})
	from, body, found := t.next(0)
	So(found, ShouldBeTrue)
	So(from, ShouldEqual, "end1")
	So(body.(*schema.SubmitResponse).Results[0].View.Name, ShouldEqual, "j")
	// A message to an empty address or to an address without a process is dropped.
	t.dial(0, "", &schema.TimeoutNow{Group: "nowhere"})
	t.dial(0, "127.0.0.1:1", &schema.TimeoutNow{Group: "nobody"})
	// A message for a former process isn't delivered to another process at the same address.
	t.send(0, "former", t.address(1), &schema.TimeoutNow{Group: "strayed"})
	t.send(0, "end1", t.address(1), &schema.TimeoutNow{Group: "meant"})
	_, body, found = t.next(1)
	So(found, ShouldBeTrue)
	So(body.(*schema.TimeoutNow).Group, ShouldEqual, "meant")
	// A message that is sent during a partition is lost; a message that is sent after the healing
	// arrives.
	t.setPartitioned(true)
	t.dial(0, t.address(1), &schema.TimeoutNow{Group: "partitioned"})
	t.setPartitioned(false)
	t.dial(0, t.address(1), &schema.TimeoutNow{Group: "healed"})
	_, body, found = t.next(1)
	So(found, ShouldBeTrue)
	So(body.(*schema.TimeoutNow).Group, ShouldEqual, "healed")
}

// --- the real network ---

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
	case message := <-r.mailboxes[end]:
		return message.From, message.Body, true
	case <-time.After(30 * time.Second):
		return "", nil, false
	}
}
func (r *realTransport) setPartitioned(partitioned bool) {
	// Before the healing the transport must have handled all messages that it was given. By then it
	// has dropped two: the one to an address without a process, and the one sent during the
	// partition.
	for !partitioned && r.ends[0].Counts().Lost < 2 {
		runtime.Gosched()
	}
	r.isPartitioned.Store(partitioned)
}

// --- the simulated network ---

type messageRecorder struct{ messages []eventloop.Message }

func (r *messageRecorder) Step(_ eventloop.Micros, message eventloop.Message, _ eventloop.Effects) {
	r.messages = append(r.messages, message)
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
	(&effects{s.ends[from]}).SendToAddress(address, body)
}
func (s *simTransport) send(from int, id, address string, body any) {
	s.sim.send(s.ends[from], id, address, body)
}
func (s *simTransport) address(end int) string { return s.ends[end].Address }
func (s *simTransport) next(end int) (string, any, bool) {
	s.sim.Run(s.sim.Now + eventloop.Second)
	recorder := s.recorders[end]
	if len(recorder.messages) == 0 {
		return "", nil, false
	}
	message := recorder.messages[0]
	recorder.messages = recorder.messages[1:]
	return message.From, message.Body, true
}
func (s *simTransport) setPartitioned(partitioned bool) {
	s.sim.Partition(partitioned, func(h *Host) bool { return h == s.ends[0] })
}

func TestEveryTransport(t *testing.T) {
	Convey("The real network keeps the contract", t, func() {
		r := openReal()
		Reset(func() { r.ends[0].Close(); r.ends[1].Close() })
		transportContract(r)
	})
	Convey("The simulated network keeps the contract", t, func() { transportContract(openSim()) })
}
