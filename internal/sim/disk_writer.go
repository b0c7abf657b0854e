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
	writeRetryInterval    = 100 * eventloop.Millisecond // time between two attempts to write to a disk that refuses writes
	latencyReportInterval = 250 * eventloop.Millisecond
)

// diskWriter holds the state of the storage writes of a process.
type diskWriter struct {
	isWriting  bool
	batch      replica.Batch    // batch that is being written
	startedAt  eventloop.Micros // point in time when the write of the batch began
	isRefused  bool             // whether the disk has refused the batch
	worstDelay eventloop.Micros // longest recent write time, which decays
}

// openStorage opens the storage on the host's disk and durably counts this start. It returns
// false if the disk refuses; the process then starts without storage.
func (h *Host) openStorage() bool {
	sim := h.sim
	store, err := storage.Open(h.Disk)
	if storage.IsCorrupted(err) {
		// Like a real process, this one reports the damage and returns as a new member.
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

// awaitStorage restarts the process once its disk accepts writes.
func (h *Host) awaitStorage(run int) {
	h.sim.After(writeRetryInterval, func() {
		h.runWhenAwake(run, func() {
			store, err := storage.Open(h.Disk)
			if err != nil || store.Commit([]*schema.StoreChange{{Identity: store.State().Identity}}) != nil {
				h.awaitStorage(run)
				return
			}
			// Pending requests end without a response; their clients send them again.
			h.breakConnections()
			h.Start()
		})
	})
}

// write makes a batch durable and then notifies the replicas, as the storage of a real
// process does.
func (h *Host) write(batch replica.Batch) {
	h.writer.isWriting, h.writer.batch, h.writer.startedAt = true, batch, h.sim.Now
	h.tryCommit(h.run, batch)
}

// tryCommit tries to write a batch after the disk's delay and repeats this until the disk
// accepts it. It reports the first refusal to the replicas and to the membership.
func (h *Host) tryCommit(run int, batch replica.Batch) {
	sim := h.sim
	delay := h.SyncDelay + eventloop.Micros(sim.Rng.Int64N(int64(h.SyncDelay)/4+1))
	sim.At(max(sim.Now+delay, h.StallUntil), func() {
		h.runWhenAwake(run, func() {
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

// reportDiskLatency periodically reports the latency of the process's disk to the
// membership, as a real process does.
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
	h.runWhenAwake(run, func() { h.step("membership", eventloop.Message{Body: membership.LatencyReport{Max: worst}}) })
	h.sim.After(latencyReportInterval, func() { h.reportDiskLatency(run) })
}

// RefuseWrites injects a fault into the host's disk for a duration.
func (h *Host) RefuseWrites(fault DiskFault, duration eventloop.Micros) {
	disk := h.Disk
	disk.Fault = fault
	h.sim.updateAvailability()
	h.sim.After(duration, func() {
		disk.Fault = DiskFault{}
		h.sim.updateAvailability()
	})
}
