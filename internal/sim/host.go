package sim

import (
	"maps"
	"slices"
	"strings"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/gateway"
	"sparnotch/internal/membership"
	"sparnotch/internal/process"
	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

const (
	// drainCheckInterval is the interval between two checks whether a draining process may end.
	drainCheckInterval = 50 * eventloop.Millisecond
	// settingsReadDelay is the longest time after which a process notices a changed settings file.
	settingsReadDelay = 1100 * eventloop.Millisecond
)

// Host is a machine that runs one process, or none while it is down. Exported fields that
// are set before Start apply to every process that runs there.
type Host struct {
	sim             *Simulation
	Name            string
	Address         string
	Zone            string
	Role            schema.Role
	Seeds           []string // addresses; nil: those of the first storage nodes
	Uplink          Uplink
	WallClockOffset int64 // how far its wall clock is ahead of the correct time, in µs
	// Customize changes the components of the host's process, and Route returns the names of
	// the components that receive a message. If nil, both are as in a real process.
	Customize func(config *process.Config, slots []process.ComponentSlot) []process.ComponentSlot
	Route     func(body any) []string
	// ViewSubscribers are further components of an agent node that receive the views of the members.
	ViewSubscribers []string

	Disk       *Disk            // nil: the host has no disk
	SyncDelay  eventloop.Micros // time that a write takes
	StallUntil eventloop.Micros // point in time before which no write completes
	writer     diskWriter

	CPUShare     float64 // share of a core that the process has; 0: its steps take no time
	Steps        int     // number of steps that its components have run
	cpuBusyUntil eventloop.Micros

	// State of the current process:
	IsUp            bool
	ID              string
	Member          *schema.Member
	run             int              // counts starts and ends, so that calls meant for an earlier process are dropped
	startedAt       eventloop.Micros // virtual time at which its monotonic clock was zero
	isFrozen        bool
	isDraining      bool     // whether it rejects new requests
	backlog         []func() // calls that wait until a frozen process resumes
	components      map[string]eventloop.Component
	lastDelivery    map[string]eventloop.Micros // time of the last delivery by component, to keep mailboxes in order
	tickPending     map[string]bool             // by component
	store           *storage.Store              // nil: it has started without storage
	addresses       *membership.AddressBook
	pendingRequests map[uint64]func(any) // response callbacks by request id
	resetUntil      eventloop.Micros     // until then each of its messages is lost with probability 1/2

	isProbed bool // whether the platform's readiness probes have begun
	isReady  bool // result of the last readiness probe
	canServe bool // availability as last recorded in the history
}

// isServing reports whether the host's process is up, awake and not draining.
func (h *Host) isServing() bool { return h.IsUp && !h.isFrozen && !h.isDraining }

// now returns the time of the process's own monotonic clock, which starts anew with each
// process.
func (h *Host) now() eventloop.Micros { return h.sim.Now - h.startedAt }

// machineName returns the host's name without apostrophes. A host that replaces another has
// the other's name with an apostrophe added, so this is the name of the first one.
func (h *Host) machineName() string { return strings.TrimRight(h.Name, "'") }

// Start starts a new process on the host with a fresh state, except for the host's disk.
func (h *Host) Start() {
	sim := h.sim
	h.run++
	h.startedAt = sim.Now - eventloop.Second
	h.IsUp, h.isFrozen, h.backlog, h.isDraining = true, false, nil, false
	h.tickPending, h.lastDelivery, h.pendingRequests = map[string]bool{}, map[string]eventloop.Micros{}, map[uint64]func(any){}
	h.addresses = &membership.AddressBook{}
	h.store, h.writer = nil, diskWriter{}
	h.Member = &schema.Member{
		Id: sim.newID(), Incarnation: 1, Role: h.Role, Zone: h.Zone, InternalAddress: h.Address, HttpAddress: h.Address,
		QueueCommandVersion: queue.CommandVersion, RelaysPolls: true,
	}
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

// startIfDown starts the host's process unless one runs. When several faults have ended the
// process, each of them restarts it, and only the first restart may have an effect.
func (h *Host) startIfDown() {
	if !h.IsUp {
		h.Start()
	}
}

// setSeeds changes the seeds in the host's settings. A running process takes them when it next
// reads its settings file.
func (h *Host) setSeeds(seeds []string) {
	h.Seeds = seeds
	run := h.run
	h.sim.After(settingsReadDelay, func() {
		h.runOnCPU(run, func() {
			h.step(process.MembershipComponent, eventloop.Message{Body: membership.SeedsChanged{Seeds: seeds}})
		})
	})
}

func (h *Host) processConfig() *process.Config {
	sim := h.sim
	seeds := h.Seeds
	if seeds == nil {
		seeds = sim.seeds
	}
	return &process.Config{
		Member: h.Member, Seeds: seeds, AddressBook: h.addresses, RandomSeed: sim.Rng.Uint64(), Now: h.now(), Bounds: sim.bounds, ViewSubscribers: h.ViewSubscribers,
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

// Kill ends the process and cuts the host's power: data that wasn't synced may be lost.
func (h *Host) Kill() { h.stop(func() { h.Disk.PowerCut(h.sim.Rng) }) }

// Abort ends the process but not the machine: written data stays, synced or not.
func (h *Host) Abort() { h.stop(func() { h.Disk.OpsUntilPowerLoss = -1 }) }

// stop ends the process. If the host has a disk, settleDisk then determines what remains of
// the written data.
func (h *Host) stop(settleDisk func()) {
	if !h.IsUp {
		return
	}
	h.IsUp = false
	h.run++
	if h.Disk != nil {
		if h.writer.isWriting {
			// A random part of the batch that is being written still reaches the disk.
			h.Disk.OpsUntilPowerLoss = h.sim.Rng.IntN(4)
			_ = h.store.Commit(h.writer.batch.Changes)
		}
		settleDisk()
	}
	h.breakConnections()
	h.sim.updateAvailability()
}

// breakConnections ends all pending requests without a response.
func (h *Host) breakConnections() {
	pending := h.pendingRequests
	h.pendingRequests = map[uint64]func(any){}
	for _, id := range slices.Sorted(maps.Keys(pending)) {
		pending[id](nil)
	}
}

// Drain makes the process shut down gracefully, as a real one does on a signal. The process
// is killed once it has nothing left to hand over and no pending requests, or at the timeout.
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
	// Pending requests are finished; new ones are rejected.
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

// Wipe kills the process and replaces the disk by an empty one.
func (h *Host) Wipe() {
	h.Kill()
	if h.Disk != nil {
		h.Disk = NewDisk()
	}
}

// Freeze suspends the process for a duration. When it resumes it handles the messages and
// timers that have come up meanwhile.
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
			h.sim.After(eventloop.Micros(k), func() { h.runWhenAwake(run, call) })
		}
		h.sim.updateAvailability()
	})
}

// runWhenAwake runs a call in the process that belongs to the given run number. The call is
// dropped if that process has ended, and deferred while it is frozen.
func (h *Host) runWhenAwake(run int, call func()) {
	switch {
	case h.run != run:
	case h.isFrozen:
		h.backlog = append(h.backlog, call)
	default:
		call()
	}
}
