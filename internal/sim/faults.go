package sim

import (
	"maps"
	"slices"
	"strings"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
)

// acknowledgementWindow is the longest delay of a fault that waits for an acknowledgement
// or for the start of a gang, after that event.
const acknowledgementWindow = 4 * eventloop.Millisecond

// replacementDelay is the time from the loss of a machine to the start of its successor.
const replacementDelay = 3 * eventloop.Second

// This file contains the faults that scenarios and schedules inject. Those that may interrupt
// service record themselves in the history, because the rules on recovery depend on it.

// kill cuts a machine's power and starts the machine again after the downtime.
func (f *Fleet) kill(h *Host, downtime eventloop.Micros) {
	f.RecordFault("%s killed", h.Name)
	h.Kill()
	f.After(downtime, h.startIfDown)
}

// freeze suspends a machine's process for a duration.
func (f *Fleet) freeze(h *Host, duration eventloop.Micros) {
	f.RecordFault("%s frozen", h.Name)
	h.Freeze(duration)
}

// wipe cuts a machine's power and loses its disk. The machine returns with an empty disk at
// the same address.
func (f *Fleet) wipe(h *Host, downtime eventloop.Micros) {
	f.RecordFault("%s loses its disk", h.Name)
	h.Wipe()
	f.After(downtime, h.startIfDown)
}

// replace loses a machine with its disk for good. A successor with an empty disk starts at a
// new address.
func (f *Fleet) replace(h *Host) {
	f.RecordFault("%s lost for good", h.Name)
	h.Wipe()
	f.After(replacementDelay, func() { f.addSuccessor(h).Start() })
}

// addSuccessor adds a machine that replaces another one. Its seeds are machines that are up,
// since the first three storage nodes may be gone.
func (f *Fleet) addSuccessor(old *Host) *Host {
	successor := f.AddHost(old.Name+"'", old.Zone, old.Role, true)
	for _, other := range f.Hosts {
		if other.IsUp && len(successor.Seeds) < seedCount {
			successor.Seeds = append(successor.Seeds, other.Address)
		}
	}
	return successor
}

// replaceGracefully replaces a machine as planned: its successor starts before the machine is
// drained.
func (f *Fleet) replaceGracefully(old *Host) {
	f.RecordFault("%s is to leave for a new one", old.Name)
	successor := f.addSuccessor(old)
	successor.CPUShare = old.CPUShare
	successor.Start()
	f.After(eventloop.Second, func() {
		f.RecordFault("%s warned", old.Name)
		old.Drain(6 * eventloop.Second)
	})
}

// isolate partitions a machine from all others for a duration.
func (f *Fleet) isolate(h *Host, duration eventloop.Micros) {
	f.RecordFault("%s isolated", h.Name)
	f.Isolate(h, true)
	f.After(duration, func() { f.Isolate(h, false) })
}

// isolateOneWay blocks either all outgoing or all incoming messages of a machine for a
// duration.
func (f *Fleet) isolateOneWay(h *Host, duration eventloop.Micros, isOutgoing bool) {
	f.RecordFault("%s can't be heard, or can't hear", h.Name)
	f.blockLinks(h, func() []*Host { return f.Hosts }, duration, isOutgoing, !isOutgoing)
}

// partitionFromStorageNodes blocks the messages between a storage node and the other storage
// nodes for a duration: outgoing ones, incoming ones, or both.
func (f *Fleet) partitionFromStorageNodes(h *Host, duration eventloop.Micros, outgoing, incoming bool) {
	f.RecordFault("%s cut off from the other disk machines", h.Name)
	f.blockLinks(h, f.StorageNodes, duration, outgoing, incoming)
}

// blockLinks blocks the outgoing or incoming links, or both, between a machine and others for
// a duration.
func (f *Fleet) blockLinks(h *Host, others func() []*Host, duration eventloop.Micros, outgoing, incoming bool) {
	set := func(blocked bool) {
		for _, other := range others() {
			if other != h && outgoing {
				f.BlockLink(h, other, blocked)
			}
			if other != h && incoming {
				f.BlockLink(other, h, blocked)
			}
		}
	}
	set(true)
	f.After(duration, func() { set(false) })
}

// partitionZone partitions a zone from the others for a duration.
func (f *Fleet) partitionZone(zone string, duration eventloop.Micros) {
	isInZone := func(h *Host) bool { return h.Zone == zone }
	f.RecordFault("cell %s split off", zone)
	f.Partition(true, isInZone)
	f.After(duration, func() { f.Partition(false, isInZone) })
}

// partitionSeeds partitions a storage node from the other storage nodes. Meanwhile it
// restarts some processes whose only seeds are this node and two gateways without a disk.
func (f *Fleet) partitionSeeds(h *Host, duration eventloop.Micros) {
	f.partitionFromStorageNodes(h, duration, true, true)
	seeds := []string{h.Address}
	for _, node := range f.disklessGateways {
		seeds = append(seeds, node.Address)
	}
	seeds = seeds[:min(seedCount, len(seeds))]
	f.After(duration/4, func() {
		for k, other := range f.Hosts {
			if other.Disk == nil && other.IsUp && k%3 == 2 {
				other.Seeds = seeds
				f.RecordFault("%s starts inside the cut", other.Name)
				other.Abort()
				f.After(200*eventloop.Millisecond, other.Start)
			}
		}
	})
}

// rotateSeeds makes three random gateways the seeds of every machine and restarts some
// processes.
func (f *Fleet) rotateSeeds() {
	var seeds []string
	for _, h := range f.Gateways() {
		if h.IsUp {
			seeds = append(seeds, h.Address)
		}
	}
	f.Rng.Shuffle(len(seeds), func(a, b int) { seeds[a], seeds[b] = seeds[b], seeds[a] })
	seeds = seeds[:min(seedCount, len(seeds))]
	f.RecordFault("the seeds are turned over")
	for k, h := range f.Hosts {
		h.setSeeds(seeds)
		if h.Disk == nil && h.IsUp && k%4 == 3 {
			h.Abort()
			f.After(500*eventloop.Millisecond, h.startIfDown)
		}
	}
}

// refuseWrites makes a machine's disk fail in the given way for a duration.
func (f *Fleet) refuseWrites(h *Host, fault DiskFault, duration eventloop.Micros) {
	f.RecordFault("the disk of %s refuses", h.Name)
	h.RefuseWrites(fault, duration)
}

// slowDown gives a machine only a fraction of its usual processor share for a duration.
func (f *Fleet) slowDown(h *Host, duration eventloop.Micros) {
	f.RecordFault("%s is slow", h.Name)
	usual := h.CPUShare
	h.CPUShare = 0.12
	if usual > 0 {
		h.CPUShare = usual / 5
	}
	f.After(duration, func() { h.CPUShare = usual })
}

// resetConnections breaks half of a machine's connections: half of its pending requests get
// no response, and half of its messages are lost for a short time.
func (f *Fleet) resetConnections(h *Host) {
	f.RecordFault("connections of %s reset", h.Name)
	h.resetUntil = f.Now + resetDuration
	for k, request := range slices.Sorted(maps.Keys(h.pendingRequests)) {
		if k%2 == 0 {
			respond := h.pendingRequests[request]
			delete(h.pendingRequests, request)
			respond(nil)
		}
	}
}

// stepClocks sets the wall clocks of about a third of all machines wrong by two seconds for
// a duration, all in the same direction.
func (f *Fleet) stepClocks(duration eventloop.Micros) {
	offset := int64(2 * eventloop.Second)
	if f.Rng.IntN(2) == 0 {
		offset = -offset
	}
	for _, h := range f.Hosts {
		if f.Rng.Float64() < 0.34 {
			h.WallClockOffset = offset
			f.After(duration, func() { h.WallClockOffset = 0 })
		}
	}
}

// setClock sets a machine's wall clock wrong by up to six hours. Only one storage node's
// clock is wrong at a time: with two wrong clocks out of three, the storage nodes couldn't
// tell which one is right.
func (f *Fleet) setClock(h *Host) {
	if h.Disk != nil {
		for _, other := range f.StorageNodes() {
			other.WallClockOffset = 0
		}
	}
	h.WallClockOffset = (f.Rng.Int64N(2*6*3600) - 6*3600) * int64(eventloop.Second)
}

// powerCycleStorageNodes cuts the power of all storage nodes and starts them again after the
// downtime.
func (f *Fleet) powerCycleStorageNodes(downtime eventloop.Micros) {
	f.RecordFault("every disk machine loses power")
	for _, h := range f.StorageNodes() {
		if h.IsUp {
			h.Kill()
			f.After(downtime, h.startIfDown)
		}
	}
}

// powerCycleAll cuts the power of all machines that are up and starts them again after the
// downtime.
func (f *Fleet) powerCycleAll(downtime eventloop.Micros) {
	f.RecordFault("every process killed")
	f.restartAll(downtime, (*Host).Kill)
}

// restartAll ends every process with the given function and starts it again after the
// downtime. Machines that are already down are skipped: the fault that ended their process
// starts it again.
func (f *Fleet) restartAll(downtime eventloop.Micros, end func(*Host)) {
	for _, h := range f.Hosts {
		if h.IsUp {
			end(h)
			f.After(downtime, h.startIfDown)
		}
	}
}

// afterAcknowledgement calls strike shortly after the next acknowledgement that a client or
// an operator receives, with the gateway that sent it.
func (f *Fleet) afterAcknowledgement(strike func(gateway *Host)) {
	f.observers = append(f.observers, func(e checker.Event) bool {
		isSubmission := e.Kind == checker.SubmitReply && (e.Code == 200 || e.Code == 201)
		isUpdate := e.Kind == checker.ConfigurationReply && e.Code == 200
		if !isSubmission && !isUpdate {
			return false
		}
		f.afterRandomDelay(func() { strike(f.host(strings.TrimRight(e.Gateway, "'"))) })
		return true
	})
}

// afterGangStart calls strike shortly after the first task of a gang starts. It begins to
// wait for such a start at a time that is relative to the start of the load. The orders that
// start the other tasks of the gang may then be on their way or not sent yet.
func (f *Fleet) afterGangStart(from eventloop.Micros, strike func()) {
	f.atLoad(from, func() {
		f.observers = append(f.observers, func(e checker.Event) bool {
			if e.Kind != checker.TaskStart || e.Queue != "group" || e.Step != 0 {
				return false
			}
			f.afterRandomDelay(strike)
			return true
		})
	})
}

// afterRandomDelay calls strike after a random delay below acknowledgementWindow.
func (f *Fleet) afterRandomDelay(strike func()) {
	f.After(eventloop.Micros(f.Rng.Int64N(int64(acknowledgementWindow))), strike)
}
