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

type happening struct {
	at   eventloop.Micros
	seq  uint64
	call func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	old[len(old)-1] = happening{}
	*a = old[:len(old)-1]
	return last
}

// Net is how the network treats messages.
type Net struct {
	Near, Far eventloop.Micros // within a cell, and across
	Jitter    eventloop.Micros
	Loss      float64
	Twice     float64
}

// stormLimit is how many happenings a virtual second may hold; a busy one of
// the scenarios holds a twentieth.
const stormLimit = 400_000

// CalmNet is the brief's network.
var CalmNet = Net{Near: 200, Far: eventloop.Millisecond, Jitter: 300}

// RoughNet loses, doubles and reorders.
var RoughNet = Net{Near: 200, Far: eventloop.Millisecond, Jitter: 20 * eventloop.Millisecond, Loss: 0.03, Twice: 0.02}

// World is one simulated run.
type World struct {
	Now      eventloop.Micros
	Rng      *rand.Rand
	Net      Net
	SyncUs   eventloop.Micros
	Hosts    []*Host
	History  []checker.Event
	agenda   agenda
	seq      uint64
	cuts     map[[2]string]bool // from address, to address
	Holds    bool               // what is sent across a cut arrives when it is mended, as from a full buffer
	held     map[[2]string][]func()
	nextId   uint64
	request  uint64
	seeds    []string
	Damaged  []string // what opening a damaged store said
	second   eventloop.Micros
	shown    uint64 // newest generation whose rows the history has
	inSecond int
	// Of sweeps: how far two cells lie apart, where Net doesn't say; what each
	// message is told to; and how many happenings a second may hold.
	Way   func(from, to string) eventloop.Micros
	Tap   func(from, to *Host, body any)
	Storm int
	// Where steps are to be timed: a clock of the processor's time, and who is
	// told of each step's.
	Cpu   func() int64
	Spent func(h *Host, table string, nanos int64)

	known       map[string]handed        // jobs by name
	called      map[string]*CalledWorker // by the name of the side machine they stand on
	gangs       *fakeworker.Gangs
	bounds      *schema.Bounds
	isNumbering bool // operators number editions

	answersLost float64                    // share of acknowledgements that get lost on their way to callers
	triggers    []func(checker.Event) bool // each waits for one event and goes when it has come
}

// Host is a machine with one process, or with none while it is down.
type Host struct {
	world     *World
	Name      string
	Address   string
	Cell      string
	Role      schema.Role
	Disk      *Disk            // nil: keeps nothing
	Stall     eventloop.Micros // syncs end no earlier
	SyncUs    eventloop.Micros
	Link      Link
	Share     float64 // of a core; 0: its steps cost no time
	busy      eventloop.Micros
	Steps     int
	WallOff   int64
	Seeds     []string // nil: the first stores
	IsUp      bool
	Id        string
	run       int              // counts starts, so that what was meant for an old one goes nowhere
	zero      eventloop.Micros // when its monotonic clock began; each process has its own
	frozen    bool
	isReady   bool // by the platform's last look
	isWatched bool
	canServe  bool // as told in the history
	isLeaving bool // takes no new requests
	backlog   []func()
	ticking   map[string]bool
	tables    map[string]eventloop.Component
	last      map[string]eventloop.Micros // latest delivery to each table: mailboxes keep order
	store     *storage.Store
	book      *membership.AddressBook
	waiting   map[uint64]func(any)
	isWrite   bool
	isRefused bool             // the store takes no writes
	began     eventloop.Micros // of the sync that is under way
	worst     eventloop.Micros // recent worst sync, decayed
	writing   replica.Batch
	Member    *schema.Member
	Also      func(papers *process.Config, berths []process.ComponentSlot) []process.ComponentSlot // changes what its process is made of
	Routes    func(body any) []string                                                              // and where its messages go

	resetUntil eventloop.Micros // half of what it sends or gets until then is lost
}

// NewWorld makes an empty world.
func NewWorld(seed uint64, net Net, sync eventloop.Micros) *World {
	return &World{Now: eventloop.Second, Rng: rand.New(rand.NewPCG(seed, 0x5eed)), Net: net, SyncUs: sync, cuts: map[[2]string]bool{}, held: map[[2]string][]func(){}, known: map[string]handed{}, called: map[string]*CalledWorker{}, gangs: fakeworker.NewGangs()}
}

// At plans a call.
func (w *World) At(at eventloop.Micros, call func()) {
	w.seq++
	heap.Push(&w.agenda, happening{max(at, w.Now), w.seq, call})
}

// After plans a call some time from now.
func (w *World) After(span eventloop.Micros, call func()) { w.At(w.Now+span, call) }

// Run lets time pass until a moment.
func (w *World) Run(until eventloop.Micros) {
	for len(w.agenda) > 0 && w.agenda[0].at <= until {
		next := heap.Pop(&w.agenda).(happening)
		// Messages that beget messages would only show as a run that never ends.
		if second := next.at / eventloop.Second; second != w.second {
			w.second, w.inSecond = second, 0
		}
		if w.inSecond++; w.inSecond > max(stormLimit, w.Storm) {
			panic(fmt.Sprintf("sim: a storm of messages in second %d", w.second))
		}
		w.Now = next.at
		next.call()
	}
	w.Now = until
}

// Notify adds to the history.
func (w *World) Tell(e checker.Event) {
	if e.At == 0 {
		e.At = w.Now
	}
	w.History = append(w.History, e)
	w.triggers = slices.DeleteFunc(w.triggers, func(isDone func(checker.Event) bool) bool { return isDone(e) })
}

// AddHost adds a machine; the first three that keep something are the seeds.
func (w *World) AddHost(name, cell string, role schema.Role, stores bool) *Host {
	h := &Host{
		world: w, Name: name, Address: fmt.Sprintf("10.0.0.%d:1", len(w.Hosts)+1), Cell: cell, Role: role, SyncUs: w.SyncUs,
	}
	if stores {
		h.Disk = NewDisk()
		if len(w.seeds) < 3 {
			w.seeds = append(w.seeds, h.Address)
		}
	}
	w.Hosts = append(w.Hosts, h)
	return h
}

// reckon tells of each front that has come to reach a quorum, or not to: it is
// up, and with two stores that reach each other it can speak both ways.
func (w *World) reckon() {
	var stores []*Host
	for _, h := range w.Hosts {
		if h.Disk != nil && h.isHere() && h.Disk.Fault == (Fault{}) {
			stores = append(stores, h)
		}
	}
	isJoined := func(a, b *Host) bool {
		return a == b || !w.cuts[[2]string{a.Address, b.Address}] && !w.cuts[[2]string{b.Address, a.Address}]
	}
	for _, h := range w.Fronts() {
		canServe := false
		for k, a := range stores {
			for _, b := range stores[:k] {
				canServe = canServe || isJoined(a, b) && isJoined(h, a) && isJoined(h, b)
			}
		}
		canServe = canServe && h.isHere()
		if canServe != h.canServe {
			h.canServe = canServe
			kind := checker.GatewayUnavailable
			if canServe {
				kind = checker.GatewayAvailable
			}
			w.Tell(checker.Event{Kind: kind, Gateway: h.Name})
		}
	}
}

// isHere tells whether the host's process is up, awake and not leaving.
func (h *Host) isHere() bool { return h.IsUp && !h.frozen && !h.isLeaving }

func (w *World) newId() string {
	w.nextId++
	return fmt.Sprintf("p%03d-%04x", w.nextId, w.Rng.IntN(1<<16))
}

// Start starts the host's process.
func (h *Host) Start() {
	w := h.world
	h.run++
	h.zero = w.Now - eventloop.Second
	h.IsUp, h.frozen, h.backlog, h.isLeaving = true, false, nil, false
	h.ticking, h.last, h.waiting = map[string]bool{}, map[string]eventloop.Micros{}, map[uint64]func(any){}
	h.book = &membership.AddressBook{}
	h.store, h.isWrite, h.isRefused = nil, false, false
	h.Member = &schema.Member{Id: w.newId(), Incarnation: 1, Role: h.Role, Zone: h.Cell, InternalAddress: h.Address, HttpAddress: h.Address}
	seeds := h.Seeds
	if seeds == nil {
		seeds = w.seeds
	}
	papers := &process.Config{Member: h.Member, Seeds: seeds, AddressBook: h.book, RandomSeed: w.Rng.Uint64(), Now: h.now()}
	papers.Bounds, papers.CallsWorker = w.bounds, h.Role == schema.Role_ROLE_CONTROLLER && w.called[h.place()] != nil
	papers.WallClock = func() int64 { return wallZero + int64(w.Now) + h.WallOff }
	if h.Disk != nil {
		if h.openStore() {
			papers.Storage = h.store.State()
		} else {
			h.awaitStore(h.run)
		}
	}
	h.Id = h.Member.Id
	berths := process.ControllerComponents(papers)
	if h.Role == schema.Role_ROLE_SERVER {
		berths = process.ServerComponents(papers)
	}
	if h.Also != nil {
		berths = h.Also(papers, berths)
	}
	h.tables = map[string]eventloop.Component{}
	h.worst = 0
	h.noteLatency(h.run)
	for _, berth := range berths {
		h.tables[berth.Name] = berth.Component
		h.pace(berth.Name, berth.TickInterval, eventloop.Micros(w.Rng.Int64N(int64(berth.TickInterval))))
	}
	w.reckon()
	if h.Role == schema.Role_ROLE_SERVER && !h.isWatched {
		h.isWatched = true
		w.After(eventloop.Micros(w.Rng.Int64N(int64(eventloop.Second))), func() { w.watch(h) })
	}
}

// noteLatency tells the book now and then how this process's disk does, as a
// real process does.
func (h *Host) noteLatency(run int) {
	if h.run != run {
		return
	}
	worst := h.worst
	switch {
	case h.isRefused || h.isWrite && h.world.Now-h.began > process.DiskHangTimeout:
		worst = membership.WritesRefusedLatency
	case h.isWrite:
		worst = max(worst, h.world.Now-h.began)
	}
	h.worst = h.worst * 15 / 16
	h.do(run, func() { h.step("membership", eventloop.Message{Body: membership.LatencyReport{Max: worst}}) })
	h.world.After(250*eventloop.Millisecond, func() { h.noteLatency(run) })
}

const wallZero = 1_800_000_000_000_000

// Kill ends the process and cuts the power: what wasn't synced may be lost.
func (h *Host) Kill() { h.end(func() { h.Disk.PowerCut(h.world.Rng) }) }

// Abort ends the process alone: what it wrote stays, synced or not.
func (h *Host) Abort() { h.end(func() { h.Disk.OpsLeft = -1 }) }

func (h *Host) end(left func()) {
	if !h.IsUp {
		return
	}
	h.IsUp = false
	h.run++
	if h.Disk != nil {
		if h.isWrite {
			// The batch in hand gets some way.
			h.Disk.OpsLeft = h.world.Rng.IntN(4)
			_ = h.store.Commit(h.writing.Changes)
		}
		left()
	}
	for _, answer := range h.takeWaiting() {
		answer(nil)
	}
	h.world.reckon()
}

func (h *Host) takeWaiting() []func(any) {
	ids := slices.Sorted(maps.Keys(h.waiting))
	var list []func(any)
	for _, id := range ids {
		list = append(list, h.waiting[id])
	}
	h.waiting = map[uint64]func(any){}
	return list
}

// Warn tells the process that it is to leave, as a signal does; it is killed
// when it has nothing to hand over any more, or when its time is over.
func (h *Host) Warn(span eventloop.Micros) {
	run := h.run
	for _, each := range []struct {
		table string
		body  any
	}{{"gateway", gateway.StartDraining{}}, {"membership", membership.Draining{}}, {"replica", replica.Drain{}}} {
		if h.tables[each.table] != nil {
			h.step(each.table, eventloop.Message{Body: each.body})
		}
	}
	// Open requests are finished, new ones not taken.
	h.isLeaving = true
	h.world.reckon()
	until := h.world.Now + span
	var look func()
	look = func() {
		if h.run != run {
			return
		}
		belief := h.Belief()
		isNeeded := belief != nil && belief.HasHandoverPending
		if !isNeeded && len(h.waiting) == 0 || h.world.Now >= until {
			h.Kill()
			return
		}
		h.world.After(50*eventloop.Millisecond, look)
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
func (h *Host) Freeze(span eventloop.Micros) {
	if !h.IsUp || h.frozen {
		return
	}
	h.frozen = true
	h.world.reckon()
	run := h.run
	h.world.After(span, func() {
		if h.run != run {
			return
		}
		h.frozen = false
		backlog := h.backlog
		h.backlog = nil
		for k, call := range backlog {
			h.world.After(eventloop.Micros(k), func() { h.do(run, call) })
		}
		h.world.reckon()
	})
}

// do calls something in the process, unless that has ended; a frozen one does
// it when it wakes.
func (h *Host) do(run int, call func()) {
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

// work has the process do something when its processor gets to it.
func (h *Host) work(run int, call func()) {
	if h.Share == 0 {
		h.do(run, call)
		return
	}
	h.busy = max(h.busy, h.world.Now) + eventloop.Micros(stepCost/h.Share)
	h.world.At(h.busy, func() { h.do(run, call) })
}

func (h *Host) pace(name string, pace, first eventloop.Micros) {
	run := h.run
	h.world.After(first, func() {
		if h.run != run {
			return
		}
		if !h.ticking[name] {
			// A ticker drops what finds no taker.
			h.ticking[name] = true
			h.work(run, func() {
				h.ticking[name] = false
				h.step(name, eventloop.Message{Body: eventloop.Tick{}})
			})
		}
		h.pace(name, pace, pace)
	})
}

// now is the process's own monotonic clock: a young process has small times.
func (h *Host) now() eventloop.Micros { return h.world.Now - h.zero }

func (h *Host) step(name string, mail eventloop.Message) {
	if table := h.tables[name]; table != nil {
		h.Steps++
		if h.world.Cpu == nil {
			table.Step(h.now(), mail, &outlet{h})
			return
		}
		began := h.world.Cpu()
		table.Step(h.now(), mail, &outlet{h})
		h.world.Spent(h, name, h.world.Cpu()-began)
	}
}

// mail puts a message into a table's mailbox: soon, and in order.
func (h *Host) mail(name string, mail eventloop.Message) {
	run := h.run
	at := max(h.world.Now+eventloop.Micros(10+h.world.Rng.Int64N(60)), h.last[name])
	h.last[name] = at
	h.world.At(at, func() { h.work(run, func() { h.step(name, mail) }) })
}

type outlet struct{ host *Host }

func (o *outlet) Send(to string, body any) {
	h := o.host
	if to == h.Id {
		h.mail(process.ComponentFor(h.Role, body), eventloop.Message{From: to, Body: body})
		return
	}
	h.world.carry(h, to, h.book.Address(to), body)
}

func (o *outlet) Dial(address string, body any) { o.host.world.carry(o.host, "", address, body) }

func (o *outlet) Notify(table string, body any) {
	h := o.host
	if call, isCall := body.(agent.Call); isCall {
		h.call(call)
		return
	}
	if batch, isBatch := body.(replica.Batch); isBatch {
		h.write(batch)
		return
	}
	if h.tables[table] != nil {
		h.mail(table, eventloop.Message{Body: body})
	}
}

func (o *outlet) Respond(request uint64, body any) {
	if answer := o.host.waiting[request]; answer != nil {
		delete(o.host.waiting, request)
		answer(body)
	}
}

// --- network ---

func (w *World) hostAt(address string) *Host {
	for _, h := range w.Hosts {
		if h.Address == address && h.IsUp {
			return h
		}
	}
	return nil
}

func (w *World) delay(from, to string) eventloop.Micros {
	base := w.Net.Far
	if from == to {
		base = w.Net.Near
	}
	if w.Way != nil {
		base = w.Way(from, to)
	}
	return base + eventloop.Micros(w.Rng.Int64N(int64(w.Net.Jitter)+1))
}

// carry takes a message to an address; where an id is given, to no other process
// that may be there by then.
func (w *World) carry(from *Host, id, address string, body any) {
	way := [2]string{from.Address, address}
	if w.cuts[way] && w.Holds {
		w.held[way] = append(w.held[way], func() { w.carry(from, id, address, body) })
	}
	if address == "" || w.cuts[way] || w.Rng.Float64() < w.Net.Loss {
		return
	}
	if other := w.hostAt(address); w.isReset(from) || other != nil && w.isReset(other) {
		return
	}
	times := 1
	if w.Rng.Float64() < w.Net.Twice {
		times = 2
	}
	sender := from.Id
	for range times {
		to := w.hostAt(address)
		cell := ""
		if to != nil {
			cell = to.Cell
		}
		if w.Tap != nil {
			w.Tap(from, to, body)
		}
		span, isCarried := w.transfer(from, to, body)
		if !isCarried {
			continue
		}
		w.After(span+w.delay(from.Cell, cell), func() {
			if to := w.hostAt(address); to != nil && (id == "" || id == to.Id) {
				run := to.run
				for _, table := range to.routes(body) {
					to.work(run, func() { to.step(table, eventloop.Message{From: sender, Body: body}) })
				}
			}
		})
	}
}

// resetWindow is how long messages of a machine get lost whose connections are
// reset: what was on the wire, and what is sent until new ones are open.
const resetWindow = 30 * eventloop.Millisecond

// isReset draws whether a message is lost to a reset of a host's connections.
func (w *World) isReset(h *Host) bool {
	return w.Now < h.resetUntil && w.Rng.IntN(2) == 0
}

func (h *Host) routes(body any) []string {
	if h.Routes != nil {
		return h.Routes(body)
	}
	return []string{process.ComponentFor(h.Role, body)}
}

// Truncate cuts or mends the way from one host to another.
func (w *World) Cut(from, to *Host, isCut bool) {
	way := [2]string{from.Address, to.Address}
	w.cuts[way] = isCut
	if !isCut {
		held := w.held[way]
		delete(w.held, way)
		for _, arrive := range held {
			arrive()
		}
	}
	w.reckon()
}

// Split cuts every way between the hosts of two sides, or mends them.
func (w *World) Split(isCut bool, side func(*Host) bool) {
	for _, a := range w.Hosts {
		for _, b := range w.Hosts {
			if side(a) != side(b) {
				w.Cut(a, b, isCut)
			}
		}
	}
}

// Isolate cuts one host off from all others, or mends it.
func (w *World) Isolate(h *Host, isCut bool) {
	w.Split(isCut, func(other *Host) bool { return other == h })
}

// --- what stands outside: HTTP in virtual time ---

// Ask gives a request to a front's gateway and calls back with the answer, nil
// for a connection that broke, or none in time.
func (w *World) Ask(h *Host, span eventloop.Micros, mail func(request uint64, deadline eventloop.Micros) any, back func(any)) {
	w.request++
	id := w.request
	isDone := false
	finish := func(answer any) {
		if !isDone {
			isDone = true
			back(answer)
		}
	}
	w.After(w.outside(), func() {
		if !h.IsUp || h.isLeaving {
			finish(nil)
			return
		}
		run := h.run
		h.waiting[id] = func(answer any) { w.After(w.outside(), func() { finish(answer) }) }
		h.mail("gateway", eventloop.Message{Body: mail(id, h.now()+span)})
		w.After(span, func() {
			if !isDone && h.run == run && h.waiting[id] != nil {
				delete(h.waiting, id)
				h.mail("gateway", eventloop.Message{Body: gateway.ForgetRequest{RequestID: id}})
			}
		})
	})
	w.After(span, func() { finish(nil) })
}

// Clients are three milliseconds away.
func (w *World) outside() eventloop.Micros {
	return 3*eventloop.Millisecond + eventloop.Micros(w.Rng.Int64N(500))
}

// Fronts lists the hosts that serve HTTP to callers.
func (w *World) Fronts() []*Host {
	var list []*Host
	for _, h := range w.Hosts {
		if h.Role == schema.Role_ROLE_SERVER {
			list = append(list, h)
		}
	}
	return list
}

// Stores lists the hosts that keep something.
func (w *World) Stores() []*Host {
	var list []*Host
	for _, h := range w.Hosts {
		if h.Disk != nil {
			list = append(list, h)
		}
	}
	return list
}

// Belief asks a host's replicas what they believe, outside time.
func (h *Host) Belief() *replica.NodeStateView {
	table := h.tables["replica"]
	if !h.IsUp || table == nil {
		return nil
	}
	var belief *replica.NodeStateView
	table.Step(h.now(), eventloop.Message{Body: replica.GetStateView{Request: 1}}, &grab{outlet{h}, func(body any) { belief, _ = body.(*replica.NodeStateView) }})
	return belief
}

// Groups lists the replicas a host holds whose group's name starts so.
func (h *Host) Groups(prefix string) []string {
	var list []string
	if belief := h.Belief(); belief != nil {
		for _, group := range belief.Groups {
			if strings.HasPrefix(group.Group, prefix) {
				list = append(list, group.Group)
			}
		}
	}
	return list
}

type grab struct {
	outlet
	take func(any)
}

func (g *grab) Respond(_ uint64, body any) { g.take(body) }

// Leader is the store that leads most queues.
func (w *World) Leader() *Host {
	var best *Host
	most := 0
	for _, h := range w.Stores() {
		belief := h.Belief()
		if belief == nil || h.frozen {
			continue
		}
		leads := 0
		for _, group := range belief.Groups {
			if group.Role == "leader" && !strings.HasPrefix(group.Group, "clusterstate") {
				leads++
			}
		}
		if leads > most {
			best, most = h, leads
		}
	}
	return best
}
