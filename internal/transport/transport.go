// Package transport carries messages between the processes of the cluster.
//
// Messages are encoded with gob and sent over TCP, on one connection for each direction
// between two processes. Delivery is best effort: a message may be lost, but those that
// arrive from one sender arrive in order, and only at the incarnation of the process
// that they were meant for. Whoever needs a message to arrive resends it.
//
// Transport owns the connections, a bounded queue for each address that it sends to, and
// the goroutines that serve them. RetryingListener helps servers to survive transient
// errors of the network.
package transport

import (
	"context"
	"encoding/gob"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

var (
	// Errors is the namespace of the errors of this package.
	Errors = errorx.NewNamespace("transport")
	// ListenFailed means that the internal address can't be listened on.
	ListenFailed = Errors.NewType("listen")

	connectionFailed = Errors.NewType("connection")
	messageTooLarge  = Errors.NewType("message_too_large")
)

const (
	preamble        = "sparnotch/3\n" // sent first on each connection: the protocol's version
	maxMessageBytes = 64 << 20
	queueLength     = 2048 // messages for one address
	keepAliveIdle   = 2 * time.Second
	keepAliveProbes = 3 // a second apart
)

// keepAlive has the kernel probe idle connections, as a machine that is down or
// partitioned closes none.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: keepAliveProbes}

func init() {
	for _, body := range []any{
		&schema.Gossip{}, &schema.VoteRequest{}, &schema.VoteResponse{}, &schema.AppendRequest{}, &schema.AppendResponse{}, &schema.InstallSnapshot{}, &schema.TransferChunk{}, &schema.TransferChunkResponse{},
		&schema.HeartbeatBatch{}, &schema.TimeoutNow{}, &schema.SubmitRequest{}, &schema.SubmitResponse{}, &schema.Request{}, &schema.Response{},
		&schema.WorkerPollRequest{}, &schema.WorkerPollResponse{}, &schema.TaskEndReport{}, &schema.TaskEndAck{}, &schema.ClusterStateRequest{}, &schema.ClusterStateResponse{},
		&schema.ChangeMembers{}, &schema.EndSessionsRequest{},
	} {
		gob.Register(body)
	}
}

// Envelope is a message on the wire; the introduction has said who sends it. Where To is
// given, only the process with that id may receive it. gob encodes the names of the
// fields, so they can't change.
type Envelope struct {
	To   string
	Body any
}

// Counts are what a transport has done so far. The JSON keys are part of the HTTP
// interface.
type Counts struct {
	Sent         uint64 `json:"Sent"`     // messages
	Received     uint64 `json:"Received"` // messages
	Bytes        uint64 `json:"Bytes"`    // written
	Writes       uint64 `json:"Writes"`   // system calls, each of which may carry several messages
	Lost         uint64 `json:"Lost"`     // messages that found no room, became stale or were on a connection that failed
	Dials        uint64 `json:"Dials"`
	Malformed    uint64 `json:"Garbage"` // connections closed for what can't be decoded
	BytesIn      uint64 `json:"BytesIn"` // read
	Misdelivered uint64 `json:"Strayed"` // messages received for another process
	Superseded   uint64 `json:"Former"`  // connections closed or rejected, as a later incarnation of the sender is known
}

// Transport sends and receives the messages of one process. Its methods may be called
// concurrently.
type Transport struct {
	// IsPartitioned, set by tests before the first message, says whether an address is
	// to be unreachable; nil: none is.
	IsPartitioned func(address string) bool

	self       Identity
	deliver    func(from string, body any)
	now        func() time.Time
	listener   net.Listener
	ctx        context.Context // ends with Close
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu      sync.Mutex
	queues  map[string]*eventloop.Queue[queuedMessage] // by address
	inbound map[net.Conn]*sender

	sent, received, bytes, writes, bytesIn, lost, dials, malformed, misdelivered, superseded atomic.Uint64
}

// Listen makes a transport that listens on an internal address, IP:PORT. It calls
// deliver, concurrently, for each message that it receives. Errors: ListenFailed.
func Listen(self Identity, address string, deliver func(from string, body any)) (*Transport, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, ListenFailed.Wrap(err, "inner address")
	}
	t := &Transport{
		self: self, deliver: deliver, now: time.Now,
		queues: map[string]*eventloop.Queue[queuedMessage]{}, inbound: map[net.Conn]*sender{},
	}
	t.ctx, t.stop = context.WithCancel(context.Background())
	t.listener = RetryingListener(t.ctx, listener)
	t.goroutines.Add(1)
	go t.acceptLoop()
	return t, nil
}

// Address is where this process listens, IP:PORT.
func (t *Transport) Address() string { return t.listener.Addr().String() }

// Counts returns the current counts.
func (t *Transport) Counts() Counts {
	return Counts{
		Sent: t.sent.Load(), Received: t.received.Load(), Bytes: t.bytes.Load(), Writes: t.writes.Load(),
		Lost: t.lost.Load(), Dials: t.dials.Load(), Malformed: t.malformed.Load(), BytesIn: t.bytesIn.Load(),
		Misdelivered: t.misdelivered.Load(), Superseded: t.superseded.Load(),
	}
}

// Send queues a message for whichever process is at an address. It never blocks: when
// the queue is full, the message is lost.
func (t *Transport) Send(address string, body any) { t.SendTo("", address, body) }

// SendTo is Send for the process with an id, and no other that may have come to use the
// address.
func (t *Transport) SendTo(id, address string, body any) {
	if address == "" || t.ctx.Err() != nil {
		return
	}
	t.mu.Lock()
	queue := t.queues[address]
	if queue == nil {
		queue = eventloop.NewQueue[queuedMessage](queueLength)
		t.queues[address] = queue
		t.goroutines.Add(1)
		go t.sendLoop(address, queue)
	}
	t.mu.Unlock()
	if !queue.TryPut(queuedMessage{Envelope{To: id, Body: body}, t.now()}) {
		t.lost.Add(1)
	}
}

// Close closes all connections and waits for the goroutines. What is queued is lost.
func (t *Transport) Close() {
	t.stop()
	t.listener.Close()
	t.mu.Lock()
	for conn := range t.inbound {
		conn.Close()
	}
	t.mu.Unlock()
	t.goroutines.Wait()
}
