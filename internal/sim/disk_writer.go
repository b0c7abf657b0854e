package sim

import (
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/process"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

const (
	writeRetryInterval    = 100 * eventloop.Millisecond // between two attempts to write to a disk that refused
	latencyReportInterval = 250 * eventloop.Millisecond
)

// diskWriter is what the writing of a process's storage has come to.
type diskWriter struct {
	isWriting  bool
	batch      replica.Batch    // that is being written
	startedAt  eventloop.Micros // of that
	isRefused  bool             // the disk has refused it
	worstDelay eventloop.Micros // recent worst, decaying
}

// openStorage opens the host's disk and counts this start; false if the disk refuses, and
// then the process starts without storage.
func (h *Host) openStorage() bool {
	sim := h.sim
	store, err := storage.Open(h.Disk)
	if storage.IsCorrupted(err) {
		// As a real process does: it says so and comes back as a new member.
		sim.DamageReports = append(sim.DamageReports, err.Error())
		h.Disk = NewDisk()
		store, err = storage.Open(h.Disk)
	}
	if err != nil {
		return false
	}
	identity := proto.Clone(store.State().Identity).(*schema.StoreIdentity)
	if identity.Id == "" {
		identity.Id = sim.newID()
	}
	identity.Starts++
	if store.Commit([]*schema.StoreChange{{Identity: identity}}) != nil {
		return false
	}
	h.store = store
	h.Member.Id, h.Member.Incarnation, h.Member.HasStorage = identity.Id, identity.Starts, true
	return true
}

// awaitStorage starts the process anew once its disk takes writes.
func (h *Host) awaitStorage(run int) {
	h.sim.After(writeRetryInterval, func() {
		h.runAwake(run, func() {
			store, err := storage.Open(h.Disk)
			if err != nil || store.Commit([]*schema.StoreChange{{Identity: store.State().Identity}}) != nil {
				h.awaitStorage(run)
				return
			}
			// Open requests aren't finished here: their clients ask again.
			h.breakConnections()
			h.Start()
		})
	})
}

// write makes a batch durable and then tells the replicas, as a process's storage does.
func (h *Host) write(batch replica.Batch) {
	h.writer.isWriting, h.writer.batch, h.writer.startedAt = true, batch, h.sim.Now
	h.tryCommit(h.run, batch)
}

// tryCommit tries to write a batch until the disk takes it.
func (h *Host) tryCommit(run int, batch replica.Batch) {
	sim := h.sim
	delay := h.SyncDelay + eventloop.Micros(sim.Rng.Int64N(int64(h.SyncDelay)/4+1))
	sim.At(max(sim.Now+delay, h.StallUntil), func() {
		h.runAwake(run, func() {
			err := h.store.Commit(batch.Changes)
			if err == nil {
				h.finishWrite(batch)
				return
			}
			if !h.writer.isRefused {
				h.writer.isRefused = true
				h.deliver("replica", eventloop.Message{Body: replica.WriteFailed{Number: batch.Number, Reason: err.Error()}})
				h.deliver("membership", eventloop.Message{Body: membership.LatencyReport{Max: membership.WritesRefusedLatency}})
			}
			sim.After(writeRetryInterval, func() { h.tryCommit(run, batch) })
		})
	})
}

func (h *Host) finishWrite(batch replica.Batch) {
	w := &h.writer
	w.isWriting = false
	w.worstDelay = max(w.worstDelay, h.sim.Now-w.startedAt)
	if w.isRefused {
		w.isRefused = false
		h.deliver("membership", eventloop.Message{Body: membership.LatencyReport{Max: w.worstDelay}})
	}
	h.deliver("replica", eventloop.Message{Body: replica.Written{Number: batch.Number}})
}

// reportDiskLatency tells the membership at intervals how the process's disk does, as a
// real process does.
func (h *Host) reportDiskLatency(run int) {
	if h.run != run {
		return
	}
	w := &h.writer
	worst := w.worstDelay
	switch {
	case w.isRefused || w.isWriting && h.sim.Now-w.startedAt > process.DiskHangTimeout:
		worst = membership.WritesRefusedLatency
	case w.isWriting:
		worst = max(worst, h.sim.Now-w.startedAt)
	}
	w.worstDelay = w.worstDelay * 15 / 16
	h.runAwake(run, func() { h.step("membership", eventloop.Message{Body: membership.LatencyReport{Max: worst}}) })
	h.sim.After(latencyReportInterval, func() { h.reportDiskLatency(run) })
}

// RefuseWrites has the host's disk refuse in some way for a while.
func (h *Host) RefuseWrites(fault DiskFault, duration eventloop.Micros) {
	disk := h.Disk
	disk.Fault = fault
	h.sim.updateAvailability()
	h.sim.After(duration, func() {
		disk.Fault = DiskFault{}
		h.sim.updateAvailability()
	})
}
