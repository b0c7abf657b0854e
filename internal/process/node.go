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
	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
	"sparnotch/internal/scheduler"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
	"sparnotch/internal/timing"
	"sparnotch/internal/transport"
)

const (
	// incarnationShift leaves each incarnation of a process 2^40 request IDs.
	incarnationShift = 40

	latencyReportInterval = 250 * eventloop.Millisecond
	partitionReadInterval = 100 * time.Millisecond
	maxPendingBatches     = 4 // never reached, because the replicas wait for each batch before they send the next

	// diskStopTimeout is how long Stop waits for a disk that doesn't respond. Nobody
	// has been told that a write still in progress is durable.
	diskStopTimeout = time.Second
)

// Node is a running process: its components on goroutines, its transport and its store.
// Its methods may be called concurrently.
type Node struct {
	Settings *schema.Settings
	Member   *schema.Member
	Clock    eventloop.Clock
	// Failed receives errors after which the process must end.
	Failed chan error
	// StoreOpened receives the store of a node that had to start without it. The
	// receiver owns the store; it must stop this node and start a new one with the
	// store.
	StoreOpened chan *OpenedStore

	log        *zap.Logger
	loop       *eventloop.Loop
	transport  *transport.Transport
	addresses  *membership.AddressBook
	cancel     context.CancelFunc
	background sync.WaitGroup

	mu            sync.Mutex
	waiters       map[uint64]chan any // by request ID
	lastRequestID atomic.Uint64

	openedStore   *OpenedStore
	pendingOpen   openAttempt    // attempt to open a store that couldn't be opened at the start; nil: none
	store         *storage.Store // nil: a node without storage
	batches       *eventloop.Queue[replica.Batch]
	storeRefuses  atomic.Bool  // the last write failed
	worstSync     atomic.Int64 // decaying maximum of the recent sync durations, in µs
	syncStartedAt atomic.Int64 // start of the write in progress, in µs by Clock; 0: none
	storageStats  atomic.Pointer[storage.Stats]
}

// Start starts a node. The settings must be valid. An agent node that is passed a
// worker client uses it to call the worker. Start returns storage.DirRejected if the
// data directory belongs to something else or can't be decoded, and config.Invalid if
// the node can't listen on the internal address.
func Start(settings *schema.Settings, role schema.Role, log *zap.Logger, workerClients ...agent.WorkerClient) (*Node, error) {
	return StartWithStore(nil, settings, role, log, workerClients...)
}

// StartWithStore is like Start, but uses a store that is already open; if opened is
// nil, it opens the store itself. The node owns the store even when StartWithStore
// returns an error.
func StartWithStore(opened *OpenedStore, settings *schema.Settings, role schema.Role, log *zap.Logger, workerClients ...agent.WorkerClient) (*Node, error) {
	n := newNode(settings, role, log)
	if settings.DataDir != "" {
		if err := n.attachStore(opened, openTimeout); err != nil {
			return nil, err
		}
	}
	// Responses are matched with requests by ID alone, and a node that has kept its own
	// ID may receive a response to a request of a former incarnation.
	n.lastRequestID.Store(n.Member.Incarnation << incarnationShift)
	if err := n.addComponents(role, workerClients); err != nil {
		n.openedStore.Close()
		return nil, err
	}
	// Messages may arrive as soon as the transport listens, so the mailboxes must exist
	// before.
	if err := n.listen(); err != nil {
		n.openedStore.Close()
		return nil, err
	}
	n.run()
	log.Info("node started",
		zap.String("id", n.Member.Id), zap.Uint64("incarnation", n.Member.Incarnation),
		zap.String("internal_address", settings.InternalAddress), zap.String("http_address", settings.HttpAddress))
	return n, nil
}

func newNode(settings *schema.Settings, role schema.Role, log *zap.Logger) *Node {
	n := &Node{
		Settings: settings, Clock: eventloop.RealClock(), Failed: make(chan error, 4), StoreOpened: make(chan *OpenedStore),
		Member: &schema.Member{
			Id: newID(), Incarnation: 1, Role: role, Zone: settings.Zone,
			InternalAddress: settings.InternalAddress, HttpAddress: settings.HttpAddress,
			QueueCommandVersion: queue.CommandVersion, RelaysPolls: true,
		},
		log: log, addresses: &membership.AddressBook{}, waiters: map[uint64]chan any{},
		batches: eventloop.NewQueue[replica.Batch](maxPendingBatches),
	}
	n.loop = eventloop.NewLoop(n.Clock)
	n.loop.Outbound = (*nodeEffects)(n)
	n.loop.OnPanic = func(component string, cause any, stack []byte) {
		log.Error("panic", zap.String("component", component), zap.Any("cause", cause), zap.ByteString("stack", stack))
		n.Failed <- fmt.Errorf("component %s panicked: %v", component, cause)
	}
	return n
}

// config returns the initial parameters of the node's components.
func (n *Node) config(callsWorker bool) *Config {
	settings := n.Settings
	cfg := &Config{
		Member: n.Member, Seeds: settings.Seeds, AddressBook: n.addresses,
		WallClock: n.Clock.Wall, RandomSeed: randomSeed(), Now: n.Clock.Now(),
		Bootstrap: settings.InitialBootstrap, MachineFailures: settings.MachineFailures, ZoneFailures: settings.ZoneFailures,
		RegionFailures: settings.RegionFailures, RegionByZone: settings.Regions,
		Bounds: settings.Bounds, DiskBytes: settings.DiskBytes, CallsWorker: callsWorker,
	}
	if n.store != nil {
		cfg.Storage = n.store.State()
	}
	return cfg
}

func (n *Node) addComponents(role schema.Role, workerClients []agent.WorkerClient) error {
	cfg := n.config(role == schema.Role_ROLE_CONTROLLER && len(workerClients) > 0)
	if !timing.CanCatchUp(cfg.Bounds) {
		n.log.Warn("a replica can't be replaced within the configured bound for catching up")
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
		n.loop.Add(WorkerCallerComponent, newWorkerCaller(workerClients[0], func(reply agent.Reply) {
			n.loop.PostWait(AgentComponent, eventloop.Message{Body: reply})
		}), 0)
	}
	return nil
}

// buildComponents returns the components of a node. It returns replica.UndecodableState if
// the stored state can't be decoded.
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
	// The discovery of other nodes need not wait for the first regular tick.
	n.loop.Post(MembershipComponent, eventloop.Message{Body: eventloop.Tick{}})
	n.runInBackground(func() { n.writeBatches(ctx) })
	n.runInBackground(func() { n.watchDisk(ctx) })
	n.runInBackground(func() { n.reportLoad(ctx) })
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

// testPartition returns a function that reports whether a test has made an address
// unreachable. The function reads the file in the TestPartitions setting again at
// regular intervals.
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

// Counts holds statistics of a node since its start. The JSON keys are part of the HTTP
// interface.
type Counts struct {
	Transport    transport.Counts  `json:"wire"`
	Storage      storage.Stats     `json:"storage"`
	LostMessages map[string]uint64 `json:"lost_mails"` // by component; messages that were dropped because its mailbox was full
}

// Counts returns the node's current statistics.
func (n *Node) Counts() Counts {
	counts := Counts{Transport: n.transport.Counts(), LostMessages: n.loop.Dropped()}
	if latest := n.storageStats.Load(); latest != nil {
		counts.Storage = *latest
	}
	return counts
}

// SetSeeds replaces the seeds, the internal addresses through which the node finds the cluster.
func (n *Node) SetSeeds(seeds []string) {
	n.loop.Post(MembershipComponent, eventloop.Message{Body: membership.SeedsChanged{Seeds: seeds}})
}

// StartDraining makes the components hand over their leaderships and report the node as
// not ready, so that the process can end. The components keep working until Stop.
func (n *Node) StartDraining() {
	n.loop.Post(GatewayComponent, eventloop.Message{Body: gateway.StartDraining{}})
	n.loop.Post(MembershipComponent, eventloop.Message{Body: membership.Draining{}})
	n.loop.Post(ReplicaComponent, eventloop.Message{Body: replica.Drain{}})
}

// HasHandoverPending reports whether a draining node still has something to hand over.
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

// Stop ends the node's goroutines and closes its store. If the disk doesn't respond, it
// leaves the store open.
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
		n.log.Error("the disk doesn't respond; the store is left open")
	}
}

func randomSeed() uint64 {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		panic("process: the system returned no random bytes: " + err.Error())
	}
	return binary.BigEndian.Uint64(raw[:])
}

func newID() string {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], randomSeed())
	return hex.EncodeToString(raw[:])
}
