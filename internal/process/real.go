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

// Real is a process on a real machine: its tables on goroutines, its wires,
// its storage.
type Real struct {
	Options *schema.Settings
	Member  *schema.Member
	Clock   eventloop.Clock
	Failed  chan error // something after which the process must end
	// Reopened hands over the store of a process that started without it, its
	// disk having refused: the process is to start anew with it.
	Reopened chan *Opened

	log     *zap.Logger
	process *eventloop.Process
	net     *transport.Transport
	book    *membership.AddressBook
	opened  *Opened
	store   *storage.Store
	writes  *eventloop.Queue[replica.Batch]
	mu      sync.Mutex
	waiting map[uint64]chan any
	next    atomic.Uint64
	cancel  context.CancelFunc
	duties  sync.WaitGroup
	worst   atomic.Int64 // recent worst sync, decayed
	syncing atomic.Int64 // when the sync that is under way began
	stats   atomic.Pointer[storage.Stats]

	awaited   opening     // of a store that couldn't be opened yet; nil: none
	isRefused atomic.Bool // the store takes no writes
}

// bootShift leaves each life of a process as many numbers for requests.
const bootShift = 40

func randomSeed() uint64 {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		panic("crew: no randomness: " + err.Error())
	}
	return binary.BigEndian.Uint64(raw[:])
}

func newId() string {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], randomSeed())
	return hex.EncodeToString(raw[:])
}

// Start brings a process up. A side process that is given a hand calls the
// worker on its machine with it.
func Start(options *schema.Settings, role schema.Role, log *zap.Logger, hands ...agent.WorkerClient) (*Real, error) {
	return StartWith(nil, options, role, log, hands...)
}

// StartWith is Start with a store that has been opened already, if one has.
func StartWith(opened *Opened, options *schema.Settings, role schema.Role, log *zap.Logger, hands ...agent.WorkerClient) (*Real, error) {
	r := &Real{
		Options: options, Clock: eventloop.RealClock(), Failed: make(chan error, 4), Reopened: make(chan *Opened), log: log, book: &membership.AddressBook{},
		waiting: map[uint64]chan any{}, writes: eventloop.NewQueue[replica.Batch](4),
	}
	r.Member = &schema.Member{Id: newId(), Incarnation: 1, Role: role, Zone: options.Cell, InternalAddress: options.Inner, HttpAddress: options.Outer}
	if options.Data != "" {
		if err := r.takeStore(opened, openSpan); err != nil {
			return nil, err
		}
	}
	// An answer names its request by number alone, and under a kept id it may come
	// in a later life than it was asked for: no two lives share a number.
	r.next.Store(r.Member.Incarnation << bootShift)
	r.process = eventloop.NewProcess(r.Clock)
	r.process.Outbound = (*outside)(r)
	r.process.OnPanic = func(table string, cause any, stack []byte) {
		log.Error("panic", zap.String("table", table), zap.Any("cause", cause), zap.ByteString("stack", stack))
		r.Failed <- fmt.Errorf("table %s: %v", table, cause)
	}
	papers := &Papers{
		Member: r.Member, Seeds: options.Seeds, Book: r.book, Wall: r.Clock.Wall, Seed: randomSeed(), Now: r.Clock.Now(),
		First: options.First, Losses: options.Losses, Zones: options.ZoneLosses, Regions: options.RegionLosses, RegionOf: options.Regions,
		Bounds: options.Bounds, DiskBytes: options.DiskBytes, Calls: role == schema.Role_ROLE_CONTROLLER && len(hands) > 0,
	}
	if !timing.CanCatchUp(options.Bounds) {
		log.Warn("a repair takes longer than the catch-up that the bounds allow")
	}
	if short := papers.terms(false).Tolerance().TopologyShortfall(); short != "" {
		log.Warn("the losses that are to be borne can't be", zap.String("why", short))
	}
	if r.store != nil {
		papers.Store = r.store.State()
	}
	berths, err := berthsOf(role, papers)
	if err != nil {
		r.opened.Close()
		return nil, storage.DirRejected.Wrap(err, "data folder %s", options.Data)
	}
	for _, berth := range berths {
		r.process.Add(berth.Name, berth.Table, berth.Pace)
	}
	r.process.Add("storage", (*storageTable)(r), 0)
	if papers.Calls {
		r.process.Add("caller", newCallerTable(hands[0], func(reply agent.Reply) {
			r.process.PostWait("agent", eventloop.Message{Body: reply})
		}), 0)
	}
	// From here on messages come in, so the mailboxes must stand by now.
	net, err := transport.Listen(transport.Identity{ID: r.Member.Id, Boot: r.Member.Incarnation}, options.Inner, r.deliver)
	if err != nil {
		r.opened.Close()
		return nil, config.Invalid.Wrap(err, "inner")
	}
	r.net = net
	if options.TestCuts != "" {
		net.IsPartitioned = r.cuts()
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.process.Run(ctx)
	// The first look for the others needn't wait for the pace.
	r.process.Post("membership", eventloop.Message{Body: eventloop.Tick{}})
	r.duty(func() { r.writes.Consume(ctx, 0, func(batch replica.Batch) { r.commit(ctx, batch) }, nil) })
	r.duty(func() {
		wasHanging := false
		eventloop.NewQueue[int](1).Consume(ctx, 250*eventloop.Millisecond, nil, func() {
			r.tellLatency()
			if isHanging := r.isHanging() && !r.isRefused.Load(); isHanging != wasHanging {
				wasHanging = isHanging
				r.log.Error("the disk's answer", zap.Bool("is_missing", isHanging))
			}
			r.worst.Store(r.worst.Load() * 15 / 16)
		})
	})
	if r.awaited != nil {
		r.duty(func() { r.awaitStore(ctx) })
	}
	log.Info("started", zap.String("id", r.Member.Id), zap.Uint64("boot", r.Member.Incarnation), zap.String("inner", options.Inner), zap.String("outer", options.Outer))
	return r, nil
}

// berthsOf makes a process's tables; an error if its store holds what can't be
// read.
func berthsOf(role schema.Role, papers *Papers) (berths []Berth, err error) {
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
		return ServerTables(papers), nil
	}
	return ControllerTables(papers), nil
}

func (r *Real) duty(run func()) {
	r.duties.Add(1)
	go func() {
		defer r.duties.Done()
		run()
	}()
}

// cuts reads, now and then, the addresses a test wants cut off.
func (r *Real) cuts() func(address string) bool {
	var mu sync.Mutex
	var read time.Time
	cut := map[string]bool{}
	return func(address string) bool {
		mu.Lock()
		defer mu.Unlock()
		if time.Since(read) > 100*time.Millisecond {
			read = time.Now()
			cut = map[string]bool{}
			if data, err := os.ReadFile(r.Options.TestCuts); err == nil {
				for _, line := range strings.Fields(string(data)) {
					cut[line] = true
				}
			}
		}
		return cut[address]
	}
}

// storageTable passes batches on to the duty that may block on the disk.
type storageTable Real

func (v *storageTable) Step(now eventloop.Micros, mail eventloop.Message, out eventloop.Effects) {
	if batch, isBatch := mail.Body.(replica.Batch); isBatch && !v.writes.TryPut(batch) {
		// There is never more than one batch out, so this can't be.
		v.log.Error("the storage's ring is full")
	}
}

func (r *Real) deliver(from string, body any) {
	r.process.Post(Table(r.Member.Role, body), eventloop.Message{From: from, Body: body})
}

// ReportHeartbeat takes a worker's word of itself; false when it couldn't be taken.
func (r *Real) ReportHeartbeat(beat agent.Heartbeat) bool {
	return r.process.Post("agent", eventloop.Message{Body: beat})
}

// ReportDeparture takes a worker's word that it has ended; false when it couldn't be
// taken.
func (r *Real) ReportDeparture(departed agent.Departed) bool {
	return r.process.Post("agent", eventloop.Message{Body: departed})
}

// outside carries what leaves the tables.
type outside Real

func (o *outside) Send(to string, body any) {
	r := (*Real)(o)
	if to == r.Member.Id {
		r.deliver(to, body)
		return
	}
	r.net.SendTo(to, r.book.Address(to), body)
}

func (o *outside) Dial(address string, body any) { o.net.Send(address, body) }

func (o *outside) Notify(table string, body any) { o.process.Notify(table, body) }

func (o *outside) Respond(request uint64, body any) {
	o.mu.Lock()
	waiter := o.waiting[request]
	delete(o.waiting, request)
	o.mu.Unlock()
	if waiter != nil {
		waiter <- body
	}
}

// Call gives a request to a table and waits for its answer; nil when the span
// is over.
func (r *Real) Call(ctx context.Context, table string, span eventloop.Micros, build func(request uint64, deadline eventloop.Micros) any) any {
	id := r.next.Add(1)
	waiter := make(chan any, 1)
	r.mu.Lock()
	r.waiting[id] = waiter
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.waiting, id)
		r.mu.Unlock()
	}()
	if !r.process.Post(table, eventloop.Message{Body: build(id, r.Clock.Now()+span)}) {
		return gateway.Response{Code: 429, Body: gateway.FaultBody("front_full", "this front has too much in hand", ""), RetryAfter: 1}
	}
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case answer := <-waiter:
		return answer
	case <-timer.C:
	case <-ctx.Done():
	}
	r.process.Post(table, eventloop.Message{Body: gateway.ForgetRequest{RequestID: id}})
	return nil
}

// Counts are what a process has done so far.
type Counts struct {
	Wire    transport.Counts  `json:"wire"`
	Storage storage.Stats     `json:"storage"`
	Lost    map[string]uint64 `json:"lost_mails"`
}

// Counts reads them.
func (r *Real) Counts() Counts {
	counts := Counts{Wire: r.net.Counts(), Lost: r.process.Dropped()}
	if stats := r.stats.Load(); stats != nil {
		counts.Storage = *stats
	}
	return counts
}

// Warn tells every table that this process is to leave.
func (r *Real) Warn() {
	r.process.Post("gateway", eventloop.Message{Body: gateway.StartDraining{}})
	r.process.Post("membership", eventloop.Message{Body: membership.Draining{}})
	r.process.Post("replica", eventloop.Message{Body: replica.Drain{}})
}

// IsNeeded tells whether this process still has something to hand over.
func (r *Real) IsNeeded(ctx context.Context) bool {
	if r.store == nil {
		return false
	}
	belief, _ := r.Call(ctx, "replica", eventloop.Second, func(request uint64, _ eventloop.Micros) any { return replica.GetStateView{Request: request} }).(*replica.NodeStateView)
	return belief != nil && belief.HasHandoverPending
}

// stopSpan is how long Stop waits for a disk that doesn't answer: what is out
// there was told to nobody, and the process is to end in its time.
const stopSpan = time.Second

// Stop ends the process's goroutines.
func (r *Real) Stop() {
	r.cancel()
	r.process.Wait()
	done := make(chan struct{})
	go func() {
		r.duties.Wait()
		close(done)
	}()
	r.net.Close()
	select {
	case <-done:
		r.opened.Close()
	case <-time.After(stopSpan):
		r.log.Error("the disk doesn't answer: the store is left as it is")
	}
}
