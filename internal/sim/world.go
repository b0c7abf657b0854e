// Package sim runs whole fleets in virtual time: the tables that real
// processes run, over a simulated network, simulated disks and clocks, all
// drawn from one seed. The same seed gives the same history, byte for byte.
package sim

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"sparnotch/internal/agent"
	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
	"sparnotch/internal/gateway"
	"sparnotch/internal/membership"
	"sparnotch/internal/process"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

type scheduledCall struct {
	at   eventloop.Micros
	seq  uint64
	call func()
}

type callQueue []scheduledCall

func (a callQueue) Len() int { return len(a) }
func (a callQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a callQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *callQueue) Push(x any)   { *a = append(*a, x.(scheduledCall)) }
func (a *callQueue) Pop() any {
	old := *a
	last := old[len(old)-1]
	old[len(old)-1] = scheduledCall{}
	*a = old[:len(old)-1]
	return last
}

// NetworkProfile is how the network treats messages.
type NetworkProfile struct {
	IntraZoneDelay, InterZoneDelay eventloop.Micros // within a cell, and across
	Jitter                         eventloop.Micros
	LossRate                       float64
	DuplicateRate                  float64
}

// maxCallsPerSecond is how many happenings a virtual second may hold; a busy one of
// the scenarios holds a twentieth.
const maxCallsPerSecond = 400_000

// ReliableNetwork is the brief's network.
var ReliableNetwork = NetworkProfile{IntraZoneDelay: 200, InterZoneDelay: eventloop.Millisecond, Jitter: 300}

// LossyNetwork loses, doubles and reorders.
var LossyNetwork = NetworkProfile{IntraZoneDelay: 200, InterZoneDelay: eventloop.Millisecond, Jitter: 20 * eventloop.Millisecond, LossRate: 0.03, DuplicateRate: 0.02}

// Simulation is one simulated run.
type Simulation struct {
	Now                     eventloop.Micros
	Rng                     *rand.Rand
	Network                 NetworkProfile
	SyncDelay               eventloop.Micros
	Hosts                   []*Host
	History                 []checker.Event
	calls                   callQueue
	seq                     uint64
	blockedLinks            map[[2]string]bool // from address, to address
	BuffersWhilePartitioned bool               // what is sent across a cut arrives when it is mended, as from a full buffer
	bufferedMessages        map[[2]string][]func()
	lastID                  uint64
	lastRequest             uint64
	seeds                   []string
	DamageReports           []string // what opening a damaged store said
	currentSecond           eventloop.Micros
	shownVersion            uint64 // newest generation whose rows the history has
	callsInSecond           int
	// Of sweeps: how far two cells lie apart, where Net doesn't say; what each
	// message is told to; and how many happenings a second may hold.
	ZoneDelay         func(from, to string) eventloop.Micros
	OnSend            func(from, to *Host, body any)
	MaxCallsPerSecond int
	// Where steps are to be timed: a clock of the processor's time, and who is
	// told of each step's.
	CPUClock   func() int64
	OnStepTime func(h *Host, table string, nanos int64)

	submittedJobs map[string]submittedJob  // jobs by name
	calledWorkers map[string]*CalledWorker // by the name of the side machine they stand on
	gangs         *fakeworker.Gangs
	bounds        *schema.Bounds
	usesVersions  bool // operators number editions

	acknowledgementLossRate float64                    // share of acknowledgements that get lost on their way to callers
	observers               []func(checker.Event) bool // each waits for one event and goes when it has come
}

// Host is a machine with one process, or with none while it is down.
type Host struct {
	sim             *Simulation
	Name            string
	Address         string
	Zone            string
	Role            schema.Role
	Disk            *Disk            // nil: keeps nothing
	StallUntil      eventloop.Micros // syncs end no earlier
	SyncDelay       eventloop.Micros
	Link            Link
	CPUShare        float64 // of a core; 0: its steps cost no time
	cpuBusyUntil    eventloop.Micros
	Steps           int
	WallClockOffset int64
	Seeds           []string // nil: the first stores
	IsUp            bool
	ID              string
	run             int              // counts starts, so that what was meant for an old one goes nowhere
	startedAt       eventloop.Micros // when its monotonic clock began; each process has its own
	frozen          bool
	isReady         bool // by the platform's last look
	isProbed        bool
	canServe        bool // as told in the history
	isDraining      bool // takes no new requests
	backlog         []func()
	tickPending     map[string]bool
	components      map[string]eventloop.Component
	lastDelivery    map[string]eventloop.Micros // latest delivery to each table: mailboxes keep order
	store           *storage.Store
	members         *membership.AddressBook
	pendingRequests map[uint64]func(any)
	isWriting       bool
	isDiskRefusing  bool             // the store takes no writes
	syncStartedAt   eventloop.Micros // of the sync that is under way
	worstSync       eventloop.Micros // recent worst sync, decayed
	batch           replica.Batch
	Member          *schema.Member
	Customize       func(papers *process.Config, berths []process.ComponentSlot) []process.ComponentSlot // changes what its process is made of
	Route           func(body any) []string                                                              // and where its messages go

	resetUntil eventloop.Micros // half of what it sends or gets until then is lost
}

// NewSimulation makes an empty world.
func NewSimulation(seed uint64, net NetworkProfile, sync eventloop.Micros) *Simulation {
	return &Simulation{Now: eventloop.Second, Rng: rand.New(rand.NewPCG(seed, 0x5eed)), Network: net, SyncDelay: sync, blockedLinks: map[[2]string]bool{}, bufferedMessages: map[[2]string][]func(){}, submittedJobs: map[string]submittedJob{}, calledWorkers: map[string]*CalledWorker{}, gangs: fakeworker.NewGangs()}
}

// At plans a call.
func (s *Simulation) At(at eventloop.Micros, call func()) {
	s.seq++
	heap.Push(&s.calls, scheduledCall{max(at, s.Now), s.seq, call})
}

// Verify plans a call some time from now.
func (s *Simulation) After(delay eventloop.Micros, call func()) { s.At(s.Now+delay, call) }

// Run lets time pass until a moment.
func (s *Simulation) Run(until eventloop.Micros) {
	for len(s.calls) > 0 && s.calls[0].at <= until {
		next := heap.Pop(&s.calls).(scheduledCall)
		// Messages that beget messages would only show as a run that never ends.
		if second := next.at / eventloop.Second; second != s.currentSecond {
			s.currentSecond, s.callsInSecond = second, 0
		}
		if s.callsInSecond++; s.callsInSecond > max(maxCallsPerSecond, s.MaxCallsPerSecond) {
			panic(fmt.Sprintf("sim: a storm of messages in second %d", s.currentSecond))
		}
		s.Now = next.at
		next.call()
	}
	s.Now = until
}

// Notify adds to the history.
func (s *Simulation) Record(e checker.Event) {
	if e.At == 0 {
		e.At = s.Now
	}
	s.History = append(s.History, e)
	s.observers = slices.DeleteFunc(s.observers, func(done func(checker.Event) bool) bool { return done(e) })
}

// AddHost adds a machine; the first three that keep something are the seeds.
func (s *Simulation) AddHost(name, zone string, role schema.Role, hasDisk bool) *Host {
	h := &Host{
		sim: s, Name: name, Address: fmt.Sprintf("10.0.0.%d:1", len(s.Hosts)+1), Zone: zone, Role: role, SyncDelay: s.SyncDelay,
	}
	if hasDisk {
		h.Disk = NewDisk()
		if len(s.seeds) < 3 {
			s.seeds = append(s.seeds, h.Address)
		}
	}
	s.Hosts = append(s.Hosts, h)
	return h
}

// updateAvailability tells of each front that has come to reach a quorum, or not to: it is
// up, and with two stores that reach each other it can speak both ways.
func (s *Simulation) updateAvailability() {
	var nodes []*Host
	for _, h := range s.Hosts {
		if h.Disk != nil && h.isServing() && h.Disk.Fault == (DiskFault{}) {
			nodes = append(nodes, h)
		}
	}
	isJoined := func(a, b *Host) bool {
		return a == b || !s.blockedLinks[[2]string{a.Address, b.Address}] && !s.blockedLinks[[2]string{b.Address, a.Address}]
	}
	for _, h := range s.Gateways() {
		canServe := false
		for k, a := range nodes {
			for _, b := range nodes[:k] {
				canServe = canServe || isJoined(a, b) && isJoined(h, a) && isJoined(h, b)
			}
		}
		canServe = canServe && h.isServing()
		if canServe != h.canServe {
			h.canServe = canServe
			kind := checker.GatewayUnavailable
			if canServe {
				kind = checker.GatewayAvailable
			}
			s.Record(checker.Event{Kind: kind, Gateway: h.Name})
		}
	}
}

// isServing tells whether the host's process is up, awake and not leaving.
func (h *Host) isServing() bool { return h.IsUp && !h.frozen && !h.isDraining }

func (s *Simulation) newID() string {
	s.lastID++
	return fmt.Sprintf("p%03d-%04x", s.lastID, s.Rng.IntN(1<<16))
}

// Start starts the host's process.
func (h *Host) Start() {
	sim := h.sim
	h.run++
	h.startedAt = sim.Now - eventloop.Second
	h.IsUp, h.frozen, h.backlog, h.isDraining = true, false, nil, false
	h.tickPending, h.lastDelivery, h.pendingRequests = map[string]bool{}, map[string]eventloop.Micros{}, map[uint64]func(any){}
	h.members = &membership.AddressBook{}
	h.store, h.isWriting, h.isDiskRefusing = nil, false, false
	h.Member = &schema.Member{Id: sim.newID(), Incarnation: 1, Role: h.Role, Zone: h.Zone, InternalAddress: h.Address, HttpAddress: h.Address}
	seeds := h.Seeds
	if seeds == nil {
		seeds = sim.seeds
	}
	config := &process.Config{Member: h.Member, Seeds: seeds, AddressBook: h.members, RandomSeed: sim.Rng.Uint64(), Now: h.now()}
	config.Bounds, config.CallsWorker = sim.bounds, h.Role == schema.Role_ROLE_CONTROLLER && sim.calledWorkers[h.machineName()] != nil
	config.WallClock = func() int64 { return wallZero + int64(sim.Now) + h.WallClockOffset }
	if h.Disk != nil {
		if h.openStorage() {
			config.Storage = h.store.State()
		} else {
			h.awaitStorage(h.run)
		}
	}
	h.ID = h.Member.Id
	slots := process.ControllerComponents(config)
	if h.Role == schema.Role_ROLE_SERVER {
		slots = process.ServerComponents(config)
	}
	if h.Customize != nil {
		slots = h.Customize(config, slots)
	}
	h.components = map[string]eventloop.Component{}
	h.worstSync = 0
	h.reportDiskLatency(h.run)
	for _, slot := range slots {
		h.components[slot.Name] = slot.Component
		h.scheduleTicks(slot.Name, slot.TickInterval, eventloop.Micros(sim.Rng.Int64N(int64(slot.TickInterval))))
	}
	sim.updateAvailability()
	if h.Role == schema.Role_ROLE_SERVER && !h.isProbed {
		h.isProbed = true
		sim.After(eventloop.Micros(sim.Rng.Int64N(int64(eventloop.Second))), func() { sim.probeReadiness(h) })
	}
}

// reportDiskLatency tells the book now and then how this process's disk does, as a
// real process does.
func (h *Host) reportDiskLatency(run int) {
	if h.run != run {
		return
	}
	worst := h.worstSync
	switch {
	case h.isDiskRefusing || h.isWriting && h.sim.Now-h.syncStartedAt > process.DiskHangTimeout:
		worst = membership.WritesRefusedLatency
	case h.isWriting:
		worst = max(worst, h.sim.Now-h.syncStartedAt)
	}
	h.worstSync = h.worstSync * 15 / 16
	h.runAwake(run, func() { h.step("membership", eventloop.Message{Body: membership.LatencyReport{Max: worst}}) })
	h.sim.After(250*eventloop.Millisecond, func() { h.reportDiskLatency(run) })
}

const wallZero = 1_800_000_000_000_000

// Kill ends the process and cuts the power: what wasn't synced may be lost.
func (h *Host) Kill() { h.stop(func() { h.Disk.PowerCut(h.sim.Rng) }) }

// Abort ends the process alone: what it wrote stays, synced or not.
func (h *Host) Abort() { h.stop(func() { h.Disk.OpsLeft = -1 }) }

func (h *Host) stop(left func()) {
	if !h.IsUp {
		return
	}
	h.IsUp = false
	h.run++
	if h.Disk != nil {
		if h.isWriting {
			// The batch in hand gets some way.
			h.Disk.OpsLeft = h.sim.Rng.IntN(4)
			_ = h.store.Commit(h.batch.Changes)
		}
		left()
	}
	for _, answer := range h.takePendingRequests() {
		answer(nil)
	}
	h.sim.updateAvailability()
}

func (h *Host) takePendingRequests() []func(any) {
	ids := slices.Sorted(maps.Keys(h.pendingRequests))
	var list []func(any)
	for _, id := range ids {
		list = append(list, h.pendingRequests[id])
	}
	h.pendingRequests = map[uint64]func(any){}
	return list
}

// Drain tells the process that it is to leave, as a signal does; it is killed
// when it has nothing to hand over any more, or when its time is over.
func (h *Host) Drain(duration eventloop.Micros) {
	run := h.run
	for _, each := range []struct {
		table string
		body  any
	}{{"gateway", gateway.StartDraining{}}, {"membership", membership.Draining{}}, {"replica", replica.Drain{}}} {
		if h.components[each.table] != nil {
			h.step(each.table, eventloop.Message{Body: each.body})
		}
	}
	// Open requests are finished, new ones not taken.
	h.isDraining = true
	h.sim.updateAvailability()
	until := h.sim.Now + duration
	var look func()
	look = func() {
		if h.run != run {
			return
		}
		view := h.StateView()
		isNeeded := view != nil && view.HasHandoverPending
		if !isNeeded && len(h.pendingRequests) == 0 || h.sim.Now >= until {
			h.Kill()
			return
		}
		h.sim.After(50*eventloop.Millisecond, look)
	}
	look()
}

// Wipe loses the disk as well.
func (h *Host) Wipe() {
	h.Kill()
	if h.Disk != nil {
		h.Disk = NewDisk()
	}
}

// Freeze stops the process for a span; it wakes with everything in hand.
func (h *Host) Freeze(duration eventloop.Micros) {
	if !h.IsUp || h.frozen {
		return
	}
	h.frozen = true
	h.sim.updateAvailability()
	run := h.run
	h.sim.After(duration, func() {
		if h.run != run {
			return
		}
		h.frozen = false
		backlog := h.backlog
		h.backlog = nil
		for k, call := range backlog {
			h.sim.After(eventloop.Micros(k), func() { h.runAwake(run, call) })
		}
		h.sim.updateAvailability()
	})
}

// runAwake calls something in the process, unless that has ended; a frozen one does
// it when it wakes.
func (h *Host) runAwake(run int, call func()) {
	switch {
	case h.run != run:
	case h.frozen:
		h.backlog = append(h.backlog, call)
	default:
		call()
	}
}

// stepCost is what one step of a table costs a whole core, on average; see
// docs/measurements.md for how it was found.
const stepCost = 110

// runOnCPU has the process do something when its processor gets to it.
func (h *Host) runOnCPU(run int, call func()) {
	if h.CPUShare == 0 {
		h.runAwake(run, call)
		return
	}
	h.cpuBusyUntil = max(h.cpuBusyUntil, h.sim.Now) + eventloop.Micros(stepCost/h.CPUShare)
	h.sim.At(h.cpuBusyUntil, func() { h.runAwake(run, call) })
}

func (h *Host) scheduleTicks(name string, pace, first eventloop.Micros) {
	run := h.run
	h.sim.After(first, func() {
		if h.run != run {
			return
		}
		if !h.tickPending[name] {
			// A ticker drops what finds no taker.
			h.tickPending[name] = true
			h.runOnCPU(run, func() {
				h.tickPending[name] = false
				h.step(name, eventloop.Message{Body: eventloop.Tick{}})
			})
		}
		h.scheduleTicks(name, pace, pace)
	})
}

// now is the process's own monotonic clock: a young process has small times.
func (h *Host) now() eventloop.Micros { return h.sim.Now - h.startedAt }

func (h *Host) step(name string, message eventloop.Message) {
	if component := h.components[name]; component != nil {
		h.Steps++
		if h.sim.CPUClock == nil {
			component.Step(h.now(), message, &effects{h})
			return
		}
		began := h.sim.CPUClock()
		component.Step(h.now(), message, &effects{h})
		h.sim.OnStepTime(h, name, h.sim.CPUClock()-began)
	}
}

// deliver puts a message into a table's mailbox: soon, and in order.
func (h *Host) deliver(name string, message eventloop.Message) {
	run := h.run
	at := max(h.sim.Now+eventloop.Micros(10+h.sim.Rng.Int64N(60)), h.lastDelivery[name])
	h.lastDelivery[name] = at
	h.sim.At(at, func() { h.runOnCPU(run, func() { h.step(name, message) }) })
}

type effects struct{ host *Host }

func (e *effects) Send(to string, body any) {
	h := e.host
	if to == h.ID {
		h.deliver(process.ComponentFor(h.Role, body), eventloop.Message{From: to, Body: body})
		return
	}
	h.sim.send(h, to, h.members.Address(to), body)
}

func (e *effects) Dial(address string, body any) { e.host.sim.send(e.host, "", address, body) }

func (e *effects) Notify(component string, body any) {
	h := e.host
	if call, ok := body.(agent.Call); ok {
		h.callWorker(call)
		return
	}
	if batch, ok := body.(replica.Batch); ok {
		h.write(batch)
		return
	}
	if h.components[component] != nil {
		h.deliver(component, eventloop.Message{Body: body})
	}
}

func (e *effects) Respond(request uint64, body any) {
	if answer := e.host.pendingRequests[request]; answer != nil {
		delete(e.host.pendingRequests, request)
		answer(body)
	}
}

// --- network ---

func (s *Simulation) hostAt(address string) *Host {
	for _, h := range s.Hosts {
		if h.Address == address && h.IsUp {
			return h
		}
	}
	return nil
}

func (s *Simulation) messageDelay(from, to string) eventloop.Micros {
	base := s.Network.InterZoneDelay
	if from == to {
		base = s.Network.IntraZoneDelay
	}
	if s.ZoneDelay != nil {
		base = s.ZoneDelay(from, to)
	}
	return base + eventloop.Micros(s.Rng.Int64N(int64(s.Network.Jitter)+1))
}

// send takes a message to an address; where an id is given, to no other process
// that may be there by then.
func (s *Simulation) send(from *Host, id, address string, body any) {
	link := [2]string{from.Address, address}
	if s.blockedLinks[link] && s.BuffersWhilePartitioned {
		s.bufferedMessages[link] = append(s.bufferedMessages[link], func() { s.send(from, id, address, body) })
	}
	if address == "" || s.blockedLinks[link] || s.Rng.Float64() < s.Network.LossRate {
		return
	}
	if other := s.hostAt(address); s.drawReset(from) || other != nil && s.drawReset(other) {
		return
	}
	times := 1
	if s.Rng.Float64() < s.Network.DuplicateRate {
		times = 2
	}
	sender := from.ID
	for range times {
		to := s.hostAt(address)
		zone := ""
		if to != nil {
			zone = to.Zone
		}
		if s.OnSend != nil {
			s.OnSend(from, to, body)
		}
		duration, isCarried := s.transferTime(from, to, body)
		if !isCarried {
			continue
		}
		s.After(duration+s.messageDelay(from.Zone, zone), func() {
			if to := s.hostAt(address); to != nil && (id == "" || id == to.ID) {
				run := to.run
				for _, component := range to.routes(body) {
					to.runOnCPU(run, func() { to.step(component, eventloop.Message{From: sender, Body: body}) })
				}
			}
		})
	}
}

// resetDuration is how long messages of a machine get lost whose connections are
// reset: what was on the wire, and what is sent until new ones are open.
const resetDuration = 30 * eventloop.Millisecond

// drawReset draws whether a message is lost to a reset of a host's connections.
func (s *Simulation) drawReset(h *Host) bool {
	return s.Now < h.resetUntil && s.Rng.IntN(2) == 0
}

func (h *Host) routes(body any) []string {
	if h.Route != nil {
		return h.Route(body)
	}
	return []string{process.ComponentFor(h.Role, body)}
}

// Truncate cuts or mends the way from one host to another.
func (s *Simulation) BlockLink(from, to *Host, blocked bool) {
	link := [2]string{from.Address, to.Address}
	s.blockedLinks[link] = blocked
	if !blocked {
		held := s.bufferedMessages[link]
		delete(s.bufferedMessages, link)
		for _, arrive := range held {
			arrive()
		}
	}
	s.updateAvailability()
}

// Partition cuts every way between the hosts of two sides, or mends them.
func (s *Simulation) Partition(blocked bool, side func(*Host) bool) {
	for _, a := range s.Hosts {
		for _, b := range s.Hosts {
			if side(a) != side(b) {
				s.BlockLink(a, b, blocked)
			}
		}
	}
}

// Isolate cuts one host off from all others, or mends it.
func (s *Simulation) Isolate(h *Host, blocked bool) {
	s.Partition(blocked, func(other *Host) bool { return other == h })
}

// --- what stands outside: HTTP in virtual time ---

// Request gives a request to a front's gateway and calls back with the answer, nil
// for a connection that broke, or none in time.
func (s *Simulation) Request(h *Host, timeout eventloop.Micros, newRequest func(request uint64, deadline eventloop.Micros) any, back func(any)) {
	s.lastRequest++
	id := s.lastRequest
	done := false
	finish := func(answer any) {
		if !done {
			done = true
			back(answer)
		}
	}
	s.After(s.clientDelay(), func() {
		if !h.IsUp || h.isDraining {
			finish(nil)
			return
		}
		run := h.run
		h.pendingRequests[id] = func(answer any) { s.After(s.clientDelay(), func() { finish(answer) }) }
		h.deliver("gateway", eventloop.Message{Body: newRequest(id, h.now()+timeout)})
		s.After(timeout, func() {
			if !done && h.run == run && h.pendingRequests[id] != nil {
				delete(h.pendingRequests, id)
				h.deliver("gateway", eventloop.Message{Body: gateway.ForgetRequest{RequestID: id}})
			}
		})
	})
	s.After(timeout, func() { finish(nil) })
}

// Clients are three milliseconds away.
func (s *Simulation) clientDelay() eventloop.Micros {
	return 3*eventloop.Millisecond + eventloop.Micros(s.Rng.Int64N(500))
}

// Gateways lists the hosts that serve HTTP to callers.
func (s *Simulation) Gateways() []*Host {
	var list []*Host
	for _, h := range s.Hosts {
		if h.Role == schema.Role_ROLE_SERVER {
			list = append(list, h)
		}
	}
	return list
}

// StorageNodes lists the hosts that keep something.
func (s *Simulation) StorageNodes() []*Host {
	var list []*Host
	for _, h := range s.Hosts {
		if h.Disk != nil {
			list = append(list, h)
		}
	}
	return list
}

// StateView asks a host's replicas what they believe, outside time.
func (h *Host) StateView() *replica.NodeStateView {
	component := h.components["replica"]
	if !h.IsUp || component == nil {
		return nil
	}
	var view *replica.NodeStateView
	component.Step(h.now(), eventloop.Message{Body: replica.GetStateView{Request: 1}}, &responseRecorder{effects{h}, func(body any) { view, _ = body.(*replica.NodeStateView) }})
	return view
}

// Groups lists the replicas a host holds whose group's name starts so.
func (h *Host) Groups(prefix string) []string {
	var list []string
	if view := h.StateView(); view != nil {
		for _, group := range view.Groups {
			if strings.HasPrefix(group.Group, prefix) {
				list = append(list, group.Group)
			}
		}
	}
	return list
}

type responseRecorder struct {
	effects
	onResponse func(any)
}

func (r *responseRecorder) Respond(_ uint64, body any) { r.onResponse(body) }

// Leader is the store that leads most queues.
func (s *Simulation) Leader() *Host {
	var best *Host
	maxLeads := 0
	for _, h := range s.StorageNodes() {
		view := h.StateView()
		if view == nil || h.frozen {
			continue
		}
		leads := 0
		for _, group := range view.Groups {
			if group.Role == "leader" && !strings.HasPrefix(group.Group, "clusterstate") {
				leads++
			}
		}
		if leads > maxLeads {
			best, maxLeads = h, leads
		}
	}
	return best
}
