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
	"sparnotch/internal/logring"
	"sparnotch/internal/membership"
	"sparnotch/internal/replica"
	"sparnotch/internal/scheduler"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
	"sparnotch/internal/timing"
	"sparnotch/internal/transport"
)

const (
	// incarnationShift leaves each incarnation of a process 2^40 request ids.
	incarnationShift = 40

	latencyReportInterval = 250 * eventloop.Millisecond
	partitionReadInterval = 100 * time.Millisecond
	maxPendingBatches     = 4 // there is never more than one

	// diskStopTimeout is how long Stop waits for a disk that doesn't respond. A write
	// that is in progress there was acknowledged to nobody.
	diskStopTimeout = time.Second
)

// Node is a running process: its components on goroutines, its transport and its store.
// Its methods may be called concurrently.
type Node struct {
	Settings *schema.Settings
	Member   *schema.Member
	Clock    eventloop.Clock
	// Failed gets errors after which the process must end.
	Failed chan error
	// Reopened gets the store of a node that had to start without it. The receiver
	// owns it, and is to stop this node and start a new one with the store.
	StoreOpened chan *OpenedStore

	log        *zap.Logger
	loop       *eventloop.Loop
	transport  *transport.Transport
	addresses  *membership.AddressBook
	cancel     context.CancelFunc
	background sync.WaitGroup

	mu            sync.Mutex
	waiters       map[uint64]chan any // by request id
	lastRequestID atomic.Uint64

	openedStore   *OpenedStore
	pendingOpen   openAttempt    // of a store that couldn't be opened yet; nil: none
	store         *storage.Store // nil: a node without storage
	batches       *eventloop.Queue[replica.Batch]
	storeRefuses  atomic.Bool  // the last write failed
	worstSync     atomic.Int64 // recently, in µs; decays
	syncStartedAt atomic.Int64 // of the write in progress; 0: none
	storageStats  atomic.Pointer[storage.Stats]
}

// Start starts a node; options are taken as valid. An agent node that is given a worker
// client calls the worker with it. Errors: storage.DirRejected where the data directory
// isn't ours or can't be decoded, config.Invalid where the internal address can't be
// listened on.
func Start(options *schema.Settings, role schema.Role, log *zap.Logger, workerClients ...agent.WorkerClient) (*Node, error) {
	return StartWithStore(nil, options, role, log, workerClients...)
}

// StartWithStore is Start with a store that is open already; nil: it is opened here. The
// node owns the store, also after an error.
func StartWithStore(opened *OpenedStore, options *schema.Settings, role schema.Role, log *zap.Logger, callers ...agent.WorkerClient) (*Node, error) {
	n := newNode(options, role, log)
	if options.DataDir != "" {
		if err := n.attachStore(opened, openTimeout); err != nil {
			return nil, err
		}
	}
	// Responses are matched with requests by id alone, and a node that kept its id may
	// get one to a request of a former incarnation.
	n.lastRequestID.Store(n.Member.Incarnation << incarnationShift)
	if err := n.addComponents(role, callers); err != nil {
		n.openedStore.Close()
		return nil, err
	}
	// Messages may come as soon as the transport listens, so the mailboxes exist by now.
	if err := n.listen(); err != nil {
		n.openedStore.Close()
		return nil, err
	}
	n.run()
	log.Info("node started",
		zap.String("id", n.Member.Id), zap.Uint64("incarnation", n.Member.Incarnation),
		zap.String("internal_address", options.InternalAddress), zap.String("http_address", options.HttpAddress))
	return n, nil
}

func newNode(options *schema.Settings, role schema.Role, log *zap.Logger) *Node {
	n := &Node{
		Settings: options, Clock: eventloop.RealClock(), Failed: make(chan error, 4), StoreOpened: make(chan *OpenedStore),
		Member: &schema.Member{
			Id: newID(), Incarnation: 1, Role: role, Zone: options.Zone,
			InternalAddress: options.InternalAddress, HttpAddress: options.HttpAddress,
		},
		log: log, addresses: &membership.AddressBook{}, waiters: map[uint64]chan any{},
		batches: eventloop.NewQueue[replica.Batch](maxPendingBatches),
	}
	n.loop = eventloop.NewLoop(n.Clock)
	n.loop.Outbound = (*nodeEffects)(n)
	n.loop.OnPanic = func(component string, cause any, stack []byte) {
		log.Error("panic", zap.String("component", component), zap.Any("cause", cause), zap.ByteString("stack", stack))
		n.Failed <- fmt.Errorf("component %s: %v", component, cause)
	}
	return n
}

// config is what the node's components start with.
func (n *Node) config(callsWorker bool) *Config {
	options := n.Settings
	cfg := &Config{
		Member: n.Member, Seeds: options.Seeds, AddressBook: n.addresses,
		WallClock: n.Clock.Wall, RandomSeed: randomSeed(), Now: n.Clock.Now(),
		Bootstrap: options.InitialBootstrap, MachineFailures: options.MachineFailures, ZoneFailures: options.ZoneFailures,
		RegionFailures: options.RegionFailures, RegionByZone: options.Regions,
		Bounds: options.Bounds, DiskBytes: options.DiskBytes, CallsWorker: callsWorker,
	}
	if n.store != nil {
		cfg.Storage = n.store.State()
	}
	return cfg
}

func (n *Node) addComponents(role schema.Role, callers []agent.WorkerClient) error {
	cfg := n.config(role == schema.Role_ROLE_CONTROLLER && len(callers) > 0)
	if !timing.CanCatchUp(cfg.Bounds) {
		n.log.Warn("a replica can't be replaced within the bound for catching up")
	}
	if shortfall := cfg.membershipConfig(false).Tolerance().TopologyShortfall(); shortfall != "" {
		n.log.Warn("the required fault tolerance can't be met", zap.String("why", shortfall))
	}
	slots, err := buildComponents(role, cfg)
	if err != nil {
		return storage.DirRejected.Wrap(err, "data directory %s", n.Settings.DataDir)
	}
	for _, slot := range slots {
		n.loop.Add(slot.Name, slot.Component, slot.TickInterval)
	}
	n.loop.Add(StorageComponent, (*storageWriter)(n), 0)
	if n.store != nil {
		n.loop.Add(scheduler.ReportComponent, reporter{n.log.Named(logring.Reports)}, 0)
	}
	if cfg.CallsWorker {
		n.loop.Add(WorkerCallerComponent, newWorkerCaller(callers[0], func(reply agent.Reply) {
			n.loop.PostWait(AgentComponent, eventloop.Message{Body: reply})
		}), 0)
	}
	return nil
}

// buildComponents makes a node's components. It returns replica.UndecodableState where the
// store holds what can't be decoded.
func buildComponents(role schema.Role, cfg *Config) (slots []ComponentSlot, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			unreadable, isError := cause.(error)
			if !isError || !errorx.IsOfType(unreadable, replica.UndecodableState) {
				panic(cause)
			}
			err = unreadable
		}
	}()
	if role == schema.Role_ROLE_SERVER {
		return GatewayNodeComponents(cfg), nil
	}
	return AgentNodeComponents(cfg), nil
}

func (n *Node) listen() error {
	self := transport.Identity{ID: n.Member.Id, Boot: n.Member.Incarnation}
	listening, err := transport.Listen(self, n.Settings.InternalAddress, n.deliver)
	if err != nil {
		return config.Invalid.Wrap(err, "inner")
	}
	n.transport = listening
	if n.Settings.TestPartitions != "" {
		listening.IsPartitioned = n.testPartition()
	}
	return nil
}

// run starts the components and the background goroutines.
func (n *Node) run() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.loop.Run(ctx)
	// Discovery of the other nodes needn't wait for the first tick.
	n.loop.Post(MembershipComponent, eventloop.Message{Body: eventloop.Tick{}})
	n.runInBackground(func() { n.writeBatches(ctx) })
	n.runInBackground(func() { n.watchDisk(ctx) })
	if n.pendingOpen != nil {
		n.runInBackground(func() { n.retryOpen(ctx) })
	}
}

func (n *Node) runInBackground(work func()) {
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		work()
	}()
}

// testPartition returns a function that says whether a test wants an address to be
// unreachable. It reads the test's file again at intervals.
func (n *Node) testPartition() func(address string) bool {
	var mu sync.Mutex
	var readAt time.Time
	unreachable := map[string]bool{}
	return func(address string) bool {
		mu.Lock()
		defer mu.Unlock()
		if time.Since(readAt) > partitionReadInterval {
			readAt = time.Now()
			unreachable = map[string]bool{}
			if data, err := os.ReadFile(n.Settings.TestPartitions); err == nil {
				for _, listed := range strings.Fields(string(data)) {
					unreachable[listed] = true
				}
			}
		}
		return unreachable[address]
	}
}

// Counts are what a node has done since it started. The JSON keys are part of the HTTP
// interface.
type Counts struct {
	Transport    transport.Counts  `json:"wire"`
	Storage      storage.Stats     `json:"storage"`
	LostMessages map[string]uint64 `json:"lost_mails"` // by component, for want of room in its mailbox
}

// Counts returns the current counts.
func (n *Node) Counts() Counts {
	counts := Counts{Transport: n.transport.Counts(), LostMessages: n.loop.Dropped()}
	if latest := n.storageStats.Load(); latest != nil {
		counts.Storage = *latest
	}
	return counts
}

// StartDraining makes the components hand over what they lead and hold, so that the
// process can end. They go on working until Stop.
func (n *Node) StartDraining() {
	n.loop.Post(GatewayComponent, eventloop.Message{Body: gateway.StartDraining{}})
	n.loop.Post(MembershipComponent, eventloop.Message{Body: membership.Draining{}})
	n.loop.Post(ReplicaComponent, eventloop.Message{Body: replica.Drain{}})
}

// HasHandoverPending says whether a draining node still has something to hand over.
func (n *Node) HasHandoverPending(ctx context.Context) bool {
	if n.store == nil {
		return false
	}
	response := n.Call(ctx, ReplicaComponent, eventloop.Second, func(requestID uint64, _ eventloop.Micros) any {
		return replica.StateViewRequest{Request: requestID}
	})
	view, isView := response.(*replica.NodeStateView)
	return isView && view.HasHandoverPending
}

// Stop ends the node's goroutines and closes its store, unless the disk doesn't respond.
func (n *Node) Stop() {
	n.cancel()
	n.loop.Wait()
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
		n.log.Error("the disk doesn't respond: the store is left open")
	}
}

func randomSeed() uint64 {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		panic("process: no randomness: " + err.Error())
	}
	return binary.BigEndian.Uint64(raw[:])
}

func newID() string {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], randomSeed())
	return hex.EncodeToString(raw[:])
}
