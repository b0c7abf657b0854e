package sim

import (
	"maps"
	"slices"
	"strings"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/gateway"
	"sparnotch/internal/membership"
	"sparnotch/internal/process"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// drainCheckInterval is how often a draining process is asked whether it may end.
const drainCheckInterval = 50 * eventloop.Millisecond

// Host is a machine with one process, or with none while it is down. What is set before
// Start holds for every process that runs there.
type Host struct {
	sim             *Simulation
	Name            string
	Address         string
	Zone            string
	Role            schema.Role
	Seeds           []string // addresses; nil: the first storage nodes
	Uplink          Uplink
	WallClockOffset int64 // µs that its wall clock is ahead
	// Customize changes what its process is made of, and Route the components that its
	// messages go to; nil: as in a real process.
	Customize func(config *process.Config, slots []process.ComponentSlot) []process.ComponentSlot
	Route     func(body any) []string

	Disk       *Disk            // nil: none
	SyncDelay  eventloop.Micros // of a write, in µs
	StallUntil eventloop.Micros // no write ends earlier
	writer     diskWriter

	CPUShare     float64 // of a core; 0: its steps take no time
	Steps        int     // of its components
	cpuBusyUntil eventloop.Micros

	// Of the present process:
	IsUp            bool
	ID              string
	Member          *schema.Member
	run             int              // counts starts and ends, so that calls meant for an earlier process are dropped
	startedAt       eventloop.Micros // the zero of its monotonic clock
	isFrozen        bool
	isDraining      bool     // takes no new requests
	backlog         []func() // calls that wait while it is frozen
	components      map[string]eventloop.Component
	lastDelivery    map[string]eventloop.Micros // by component: mailboxes keep order
	tickPending     map[string]bool             // by component
	store           *storage.Store              // nil: it has started without
	addresses       *membership.AddressBook
	pendingRequests map[uint64]func(any)
	resetUntil      eventloop.Micros // half of what it sends or gets until then is lost

	isProbed bool // for readiness, by the platform
	isReady  bool // at the last probe
	canServe bool // as the history has it
}

// isServing reports whether the host's process is up, awake and not draining.
func (h *Host) isServing() bool { return h.IsUp && !h.isFrozen && !h.isDraining }

// now is the process's own monotonic clock: a young process has small times.
func (h *Host) now() eventloop.Micros { return h.sim.Now - h.startedAt }

// machineName is the machine's name; a machine that replaced another has its name with
// an apostrophe added.
func (h *Host) machineName() string { return strings.TrimRight(h.Name, "'") }

// Start starts the host's process.
func (h *Host) Start() {
	sim := h.sim
	h.run++
	h.startedAt = sim.Now - eventloop.Second
	h.IsUp, h.isFrozen, h.backlog, h.isDraining = true, false, nil, false
	h.tickPending, h.lastDelivery, h.pendingRequests = map[string]bool{}, map[string]eventloop.Micros{}, map[uint64]func(any){}
	h.addresses = &membership.AddressBook{}
	h.store, h.writer = nil, diskWriter{}
	h.Member = &schema.Member{Id: sim.newID(), Incarnation: 1, Role: h.Role, Zone: h.Zone, InternalAddress: h.Address, HttpAddress: h.Address}
	config := h.processConfig()
	if h.Disk != nil {
		if h.openStorage() {
			config.Storage = h.store.State()
		} else {
			h.awaitStorage(h.run)
		}
	}
	h.ID = h.Member.Id
	slots := h.componentSlots(config)
	h.components = map[string]eventloop.Component{}
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

// startIfDown starts the host's process where none runs: of several faults that have ended
// it each starts it again.
func (h *Host) startIfDown() {
	if !h.IsUp {
		h.Start()
	}
}

func (h *Host) processConfig() *process.Config {
	sim := h.sim
	seeds := h.Seeds
	if seeds == nil {
		seeds = sim.seeds
	}
	return &process.Config{
		Member: h.Member, Seeds: seeds, AddressBook: h.addresses, RandomSeed: sim.Rng.Uint64(), Now: h.now(), Bounds: sim.bounds,
		CallsWorker: h.Role == schema.Role_ROLE_CONTROLLER && sim.calledWorkers[h.machineName()] != nil,
		WallClock:   func() int64 { return wallZero + int64(sim.Now) + h.WallClockOffset },
	}
}

func (h *Host) componentSlots(config *process.Config) []process.ComponentSlot {
	slots := process.AgentNodeComponents(config)
	if h.Role == schema.Role_ROLE_SERVER {
		slots = process.GatewayNodeComponents(config)
	}
	if h.Customize != nil {
		slots = h.Customize(config, slots)
	}
	return slots
}

// Kill ends the process and cuts the power: what wasn't synced may be lost.
func (h *Host) Kill() { h.stop(func() { h.Disk.PowerCut(h.sim.Rng) }) }

// Abort ends the process alone: what it wrote stays, synced or not.
func (h *Host) Abort() { h.stop(func() { h.Disk.OpsUntilPowerLoss = -1 }) }

// stop ends the process; settleDisk says what becomes of its disk.
func (h *Host) stop(settleDisk func()) {
	if !h.IsUp {
		return
	}
	h.IsUp = false
	h.run++
	if h.Disk != nil {
		if h.writer.isWriting {
			// The batch that is being written gets some way.
			h.Disk.OpsUntilPowerLoss = h.sim.Rng.IntN(4)
			_ = h.store.Commit(h.writer.batch.Changes)
		}
		settleDisk()
	}
	h.breakConnections()
	h.sim.updateAvailability()
}

// breakConnections ends all requests that wait for a response, without one.
func (h *Host) breakConnections() {
	pending := h.pendingRequests
	h.pendingRequests = map[uint64]func(any){}
	for _, id := range slices.Sorted(maps.Keys(pending)) {
		pending[id](nil)
	}
}

// Drain has the process shut down gracefully, as a signal does; it is killed when it has
// nothing to hand over any more, or when the time is over.
func (h *Host) Drain(timeout eventloop.Micros) {
	if !h.isServing() {
		return
	}
	run := h.run
	for _, order := range []struct {
		component string
		body      any
	}{{"gateway", gateway.StartDraining{}}, {"membership", membership.Draining{}}, {"replica", replica.Drain{}}} {
		if h.components[order.component] != nil {
			h.step(order.component, eventloop.Message{Body: order.body})
		}
	}
	// Open requests are finished, new ones not taken.
	h.isDraining = true
	h.sim.updateAvailability()
	h.endWhenDrained(run, h.sim.Now+timeout)
}

func (h *Host) endWhenDrained(run int, until eventloop.Micros) {
	if h.run != run {
		return
	}
	view := h.StateView()
	isNeeded := view != nil && view.HasHandoverPending
	if !isNeeded && len(h.pendingRequests) == 0 || h.sim.Now >= until {
		h.Kill()
		return
	}
	h.sim.After(drainCheckInterval, func() { h.endWhenDrained(run, until) })
}

// Wipe kills the process and loses the disk.
func (h *Host) Wipe() {
	h.Kill()
	if h.Disk != nil {
		h.Disk = NewDisk()
	}
}

// Freeze stops the process for a while; then it finds all that has come meanwhile.
func (h *Host) Freeze(duration eventloop.Micros) {
	if !h.IsUp || h.isFrozen {
		return
	}
	h.isFrozen = true
	h.sim.updateAvailability()
	run := h.run
	h.sim.After(duration, func() {
		if h.run != run {
			return
		}
		h.isFrozen = false
		backlog := h.backlog
		h.backlog = nil
		for k, call := range backlog {
			h.sim.After(eventloop.Micros(k), func() { h.runAwake(run, call) })
		}
		h.sim.updateAvailability()
	})
}

// runAwake makes a call in the process, unless that has ended; in a frozen one when it
// goes on.
func (h *Host) runAwake(run int, call func()) {
	switch {
	case h.run != run:
	case h.isFrozen:
		h.backlog = append(h.backlog, call)
	default:
		call()
	}
}
