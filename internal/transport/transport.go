// Package transport sends and receives messages between the processes of the cluster.
//
// Messages are encoded with gob and sent over TCP, on one connection for each direction
// between two processes. Delivery is best effort: a message may be lost. The messages that
// arrive from one sender arrive in order, and a message for a certain process is delivered to
// that process only. A sender that needs a message to arrive must resend it.
//
// A Transport owns the connections, a bounded queue for each address that it sends to, and
// the goroutines that serve them. RetryingListener keeps servers running after transient
// network errors.
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
	// ListenFailed is the type of the error that is returned if the transport can't listen on
	// its internal address.
	ListenFailed = Errors.NewType("listen")

	connectionFailed = Errors.NewType("connection")
	messageTooLarge  = Errors.NewType("message_too_large")
)

const (
	preamble        = "sparnotch/3\n" // the first bytes on each connection; contains the version of the protocol
	maxMessageBytes = 64 << 20
	queueLength     = 2048 // maximum number of messages in the queue for an address
	keepAliveIdle   = 2 * time.Second
	keepAliveProbes = 3 // sent at intervals of a second
)

// keepAlive makes the kernel probe idle connections. Without probes, the failure or partition of
// a machine wouldn't be noticed, because such a machine doesn't close its connections.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: keepAliveProbes}

func init() {
	for _, body := range []any{
		&schema.Gossip{}, &schema.VoteRequest{}, &schema.VoteResponse{}, &schema.AppendRequest{}, &schema.AppendResponse{}, &schema.InstallSnapshot{}, &schema.TransferChunk{}, &schema.TransferChunkResponse{},
		&schema.HeartbeatBatch{}, &schema.TimeoutNow{}, &schema.SubmitRequest{}, &schema.SubmitResponse{}, &schema.Request{}, &schema.Response{},
		&schema.WorkerPollRequest{}, &schema.WorkerPollResponse{}, &schema.TaskEndReport{}, &schema.TaskEndAck{}, &schema.ClusterStateRequest{}, &schema.ClusterStateResponse{},
		&schema.ChangeMembers{}, &schema.EndSessionsRequest{}, &schema.RelayedPolls{}, &schema.RelayedResponses{},
	} {
		gob.Register(body)
	}
}

// Envelope is a message as it is encoded on a connection, whose introduction identifies the
// sender. gob encodes the names of the fields, so they must not change.
type Envelope struct {
	To   string // id of the only process that may receive the message; empty if any process may
	Body any
}

// Counts contains the counters of a transport since its start. The JSON keys are part of the
// HTTP interface.
type Counts struct {
	Sent         uint64 `json:"Sent"`     // messages written to connections
	Received     uint64 `json:"Received"` // messages received, including misdelivered ones
	Bytes        uint64 `json:"Bytes"`    // bytes written
	Writes       uint64 `json:"Writes"`   // write calls on connections, each of which may contain several messages
	Lost         uint64 `json:"Lost"`     // messages dropped because the queue was full, they were stale or the connection failed
	Dials        uint64 `json:"Dials"`    // attempts to connect
	Malformed    uint64 `json:"Garbage"`  // connections closed because their input couldn't be decoded
	BytesIn      uint64 `json:"BytesIn"`  // bytes read
	Misdelivered uint64 `json:"Strayed"`  // messages received that were meant for another process
	Superseded   uint64 `json:"Former"`   // connections closed or rejected because a later incarnation of the sender had connected
}

// Transport sends and receives the messages of one process. Its methods may be called
// concurrently.
type Transport struct {
	// IsPartitioned reports whether messages to an address are dropped. Tests set it before
	// the first message is sent. If it is nil, every address is reachable.
	IsPartitioned func(address string) bool

	self       Identity
	deliver    func(from string, body any)
	now        func() time.Time
	listener   net.Listener
	ctx        context.Context // canceled by Close
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu      sync.Mutex
	queues  map[string]*eventloop.Queue[queuedMessage] // by address
	inbound map[net.Conn]*sender

	sent, received, bytes, writes, bytesIn, lost, dials, malformed, misdelivered, superseded atomic.Uint64
}

// Listen returns a transport that listens on an internal address, IP:PORT. The transport calls
// deliver, concurrently, for each message that it receives. It returns a ListenFailed error if
// it can't listen on the address.
func Listen(self Identity, address string, deliver func(from string, body any)) (*Transport, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, ListenFailed.Wrap(err, "listening on the internal address")
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

// Address returns the address that the transport listens on, IP:PORT.
func (t *Transport) Address() string { return t.listener.Addr().String() }

// Counts returns the current values of the counters.
func (t *Transport) Counts() Counts {
	return Counts{
		Sent: t.sent.Load(), Received: t.received.Load(), Bytes: t.bytes.Load(), Writes: t.writes.Load(),
		Lost: t.lost.Load(), Dials: t.dials.Load(), Malformed: t.malformed.Load(), BytesIn: t.bytesIn.Load(),
		Misdelivered: t.misdelivered.Load(), Superseded: t.superseded.Load(),
	}
}

// Send queues a message for an address, whichever process listens there. It never blocks; if the
// queue is full, the message is lost.
func (t *Transport) Send(address string, body any) { t.SendTo("", address, body) }

// SendTo queues a message for the process with the given id at an address. It does the same as
// Send, except that the message is dropped if another process listens at the address.
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

// Close closes all connections and waits for the goroutines to end. Queued messages are lost.
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
