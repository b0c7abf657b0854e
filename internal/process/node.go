package process

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"sparnotch/internal/agent"
	"sparnotch/internal/config"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/gateway"
	"sparnotch/internal/membership"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
	"sparnotch/internal/timing"
	"sparnotch/internal/transport"
)

// Node is a process on a real machine: its tables on goroutines, its wires,
// its storage.
type Node struct {
	Options *schema.Settings
	Member  *schema.Member
	Clock   eventloop.Clock
	Failed  chan error // something after which the process must end
	// Reopened hands over the store of a process that started without it, its
	// disk having refused: the process is to start anew with it.
	Reopened chan *OpenedStore

	log           *zap.Logger
	components    *eventloop.Process
	transport     *transport.Transport
	addresses     *membership.AddressBook
	openedStore   *OpenedStore
	store         *storage.Store
	batches       *eventloop.Queue[replica.Batch]
	mu            sync.Mutex
	waiters       map[uint64]chan any
	lastRequestID atomic.Uint64
	cancel        context.CancelFunc
	background    sync.WaitGroup
	worstSync     atomic.Int64 // recent worst sync, decayed
	syncStartedAt atomic.Int64 // when the sync that is under way began
	storageCounts atomic.Pointer[storage.Stats]

	pendingOpen  openAttempt // of a store that couldn't be opened yet; nil: none
	storeRefuses atomic.Bool // the store takes no writes
}

// incarnationShift leaves each life of a process as many numbers for requests.
const incarnationShift = 40

func randomSeed() uint64 {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		panic("crew: no randomness: " + err.Error())
	}
	return binary.BigEndian.Uint64(raw[:])
}

func newID() string {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], randomSeed())
	return hex.EncodeToString(raw[:])
}

// Start brings a process up. A side process that is given a hand calls the
// worker on its machine with it.
func Start(options *schema.Settings, role schema.Role, log *zap.Logger, callers ...agent.WorkerClient) (*Node, error) {
	return StartWithStore(nil, options, role, log, callers...)
}

// StartWithStore is Start with a store that has been opened already, if one has.
func StartWithStore(opened *OpenedStore, options *schema.Settings, role schema.Role, log *zap.Logger, callers ...agent.WorkerClient) (*Node, error) {
	n := &Node{
		Options: options, Clock: eventloop.RealClock(), Failed: make(chan error, 4), Reopened: make(chan *OpenedStore), log: log, addresses: &membership.AddressBook{},
		waiters: map[uint64]chan any{}, batches: eventloop.NewQueue[replica.Batch](4),
	}
	n.Member = &schema.Member{Id: newID(), Incarnation: 1, Role: role, Zone: options.Cell, InternalAddress: options.Inner, HttpAddress: options.Outer}
	if options.Data != "" {
		if err := n.attachStore(opened, openTimeout); err != nil {
			return nil, err
		}
	}
	// An answer names its request by number alone, and under a kept id it may come
	// in a later life than it was asked for: no two lives share a number.
	n.lastRequestID.Store(n.Member.Incarnation << incarnationShift)
	n.components = eventloop.NewProcess(n.Clock)
	n.components.Outbound = (*nodeEffects)(n)
	n.components.OnPanic = func(table string, cause any, stack []byte) {
		log.Error("panic", zap.String("table", table), zap.Any("cause", cause), zap.ByteString("stack", stack))
		n.Failed <- fmt.Errorf("table %s: %v", table, cause)
	}
	cfg := &Config{
		Member: n.Member, Seeds: options.Seeds, AddressBook: n.addresses, WallClock: n.Clock.Wall, RandomSeed: randomSeed(), Now: n.Clock.Now(),
		Bootstrap: options.First, MachineFailures: options.Losses, ZoneFailures: options.ZoneLosses, RegionFailures: options.RegionLosses, RegionByZone: options.Regions,
		Bounds: options.Bounds, DiskBytes: options.DiskBytes, CallsWorker: role == schema.Role_ROLE_CONTROLLER && len(callers) > 0,
	}
	if !timing.CanCatchUp(options.Bounds) {
		log.Warn("a repair takes longer than the catch-up that the bounds allow")
	}
	if shortfall := cfg.membershipConfig(false).Tolerance().TopologyShortfall(); shortfall != "" {
		log.Warn("the losses that are to be borne can't be", zap.String("why", shortfall))
	}
	if n.store != nil {
		cfg.Storage = n.store.State()
	}
	slots, err := buildComponents(role, cfg)
	if err != nil {
		n.openedStore.Close()
		return nil, storage.DirRejected.Wrap(err, "data folder %s", options.Data)
	}
	for _, slot := range slots {
		n.components.Add(slot.Name, slot.Component, slot.TickInterval)
	}
	n.components.Add("storage", (*storageWriter)(n), 0)
	if cfg.CallsWorker {
		n.components.Add("caller", newWorkerCaller(callers[0], func(reply agent.Reply) {
			n.components.PostWait("agent", eventloop.Message{Body: reply})
		}), 0)
	}
	// From here on messages come in, so the mailboxes must stand by now.
	listening, err := transport.Listen(transport.Identity{ID: n.Member.Id, Boot: n.Member.Incarnation}, options.Inner, n.deliver)
	if err != nil {
		n.openedStore.Close()
		return nil, config.Invalid.Wrap(err, "inner")
	}
	n.transport = listening
	if options.TestCuts != "" {
		listening.IsPartitioned = n.testPartition()
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.components.Run(ctx)
	// The first look for the others needn't wait for the pace.
	n.components.Post("membership", eventloop.Message{Body: eventloop.Tick{}})
	n.runInBackground(func() { n.batches.Consume(ctx, 0, func(batch replica.Batch) { n.commit(ctx, batch) }, nil) })
	n.runInBackground(func() {
		wasHung := false
		eventloop.NewQueue[int](1).Consume(ctx, 250*eventloop.Millisecond, nil, func() {
			n.reportLatency()
			if isHung := n.isDiskHung() && !n.storeRefuses.Load(); isHung != wasHung {
				wasHung = isHung
				n.log.Error("the disk's answer", zap.Bool("is_missing", isHung))
			}
			n.worstSync.Store(n.worstSync.Load() * 15 / 16)
		})
	})
	if n.pendingOpen != nil {
		n.runInBackground(func() { n.retryOpen(ctx) })
	}
	log.Info("started", zap.String("id", n.Member.Id), zap.Uint64("boot", n.Member.Incarnation), zap.String("inner", options.Inner), zap.String("outer", options.Outer))
	return n, nil
}

// buildComponents makes a process's tables; an error if its store holds what can't be
// read.
func buildComponents(role schema.Role, cfg *Config) (slots []ComponentSlot, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			unreadable, isError := cause.(error)
			if !isError || !errorx.IsOfType(unreadable, replica.Unreadable) {
				panic(cause)
			}
			err = unreadable
		}
	}()
	if role == schema.Role_ROLE_SERVER {
		return ServerComponents(cfg), nil
	}
	return ControllerComponents(cfg), nil
}

func (n *Node) runInBackground(run func()) {
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		run()
	}()
}

// testPartition reads, now and then, the addresses a test wants cut off.
func (n *Node) testPartition() func(address string) bool {
	var mu sync.Mutex
	var readAt time.Time
	unreachable := map[string]bool{}
	return func(address string) bool {
		mu.Lock()
		defer mu.Unlock()
		if time.Since(readAt) > 100*time.Millisecond {
			readAt = time.Now()
			unreachable = map[string]bool{}
			if data, err := os.ReadFile(n.Options.TestCuts); err == nil {
				for _, line := range strings.Fields(string(data)) {
					unreachable[line] = true
				}
			}
		}
		return unreachable[address]
	}
}

// storageWriter passes batches on to the duty that may block on the disk.
type storageWriter Node

func (w *storageWriter) Step(now eventloop.Micros, message eventloop.Message, effects eventloop.Effects) {
	if batch, isBatch := message.Body.(replica.Batch); isBatch && !w.batches.TryPut(batch) {
		// There is never more than one batch out, so this can't be.
		w.log.Error("the storage's ring is full")
	}
}

func (n *Node) deliver(from string, body any) {
	n.components.Post(ComponentFor(n.Member.Role, body), eventloop.Message{From: from, Body: body})
}

// ReportHeartbeat takes a worker's word of itself; false when it couldn't be taken.
func (n *Node) ReportHeartbeat(heartbeat agent.Heartbeat) bool {
	return n.components.Post("agent", eventloop.Message{Body: heartbeat})
}

// ReportDeparture takes a worker's word that it has ended; false when it couldn't be
// taken.
func (n *Node) ReportDeparture(departed agent.Departed) bool {
	return n.components.Post("agent", eventloop.Message{Body: departed})
}

// nodeEffects carries what leaves the tables.
type nodeEffects Node

func (o *nodeEffects) Send(to string, body any) {
	n := (*Node)(o)
	if to == n.Member.Id {
		n.deliver(to, body)
		return
	}
	n.transport.SendTo(to, n.addresses.Address(to), body)
}

func (o *nodeEffects) Dial(address string, body any) { o.transport.Send(address, body) }

func (o *nodeEffects) Notify(component string, body any) { o.components.Notify(component, body) }

func (o *nodeEffects) Respond(requestID uint64, body any) {
	o.mu.Lock()
	waiter := o.waiters[requestID]
	delete(o.waiters, requestID)
	o.mu.Unlock()
	if waiter != nil {
		waiter <- body
	}
}

// Call gives a request to a table and waits for its answer; nil when the span
// is over.
func (n *Node) Call(ctx context.Context, component string, timeout eventloop.Micros, newMessage func(requestID uint64, deadline eventloop.Micros) any) any {
	requestID := n.lastRequestID.Add(1)
	waiter := make(chan any, 1)
	n.mu.Lock()
	n.waiters[requestID] = waiter
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.waiters, requestID)
		n.mu.Unlock()
	}()
	if !n.components.Post(component, eventloop.Message{Body: newMessage(requestID, n.Clock.Now()+timeout)}) {
		return gateway.Response{Code: 429, Body: gateway.FaultBody("front_full", "this front has too much in hand", ""), RetryAfter: 1}
	}
	timer := time.NewTimer(timeout.Duration())
	defer timer.Stop()
	select {
	case response := <-waiter:
		return response
	case <-timer.C:
	case <-ctx.Done():
	}
	n.components.Post(component, eventloop.Message{Body: gateway.ForgetRequest{RequestID: requestID}})
	return nil
}

// Counts are what a process has done so far.
type Counts struct {
	Transport    transport.Counts  `json:"wire"`
	Storage      storage.Stats     `json:"storage"`
	LostMessages map[string]uint64 `json:"lost_mails"`
}

// Counts reads them.
func (n *Node) Counts() Counts {
	counts := Counts{Transport: n.transport.Counts(), LostMessages: n.components.Dropped()}
	if stats := n.storageCounts.Load(); stats != nil {
		counts.Storage = *stats
	}
	return counts
}

// StartDraining tells every table that this process is to leave.
func (n *Node) StartDraining() {
	n.components.Post("gateway", eventloop.Message{Body: gateway.StartDraining{}})
	n.components.Post("membership", eventloop.Message{Body: membership.Draining{}})
	n.components.Post("replica", eventloop.Message{Body: replica.Drain{}})
}

// MustStay tells whether this process still has something to hand over.
func (n *Node) MustStay(ctx context.Context) bool {
	if n.store == nil {
		return false
	}
	view, _ := n.Call(ctx, "replica", eventloop.Second, func(requestID uint64, _ eventloop.Micros) any { return replica.GetStateView{Request: requestID} }).(*replica.NodeStateView)
	return view != nil && view.HasHandoverPending
}

// diskStopTimeout is how long Stop waits for a disk that doesn't answer: what is out
// there was told to nobody, and the process is to end in its time.
const diskStopTimeout = time.Second

// Stop ends the process's goroutines.
func (n *Node) Stop() {
	n.cancel()
	n.components.Wait()
	done := make(chan struct{})
	go func() {
		n.background.Wait()
		close(done)
	}()
	n.transport.Close()
	select {
	case <-done:
		n.openedStore.Close()
	case <-time.After(diskStopTimeout):
		n.log.Error("the disk doesn't answer: the store is left as it is")
	}
}
