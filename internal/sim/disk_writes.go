package sim

import (
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// writeRetryInterval lies between two attempts to write to a disk that refused.
const writeRetryInterval = 100 * eventloop.Millisecond

// openStorage opens the host's disk and takes the number of this start; false if
// the disk refuses, and then the process starts without a store.
func (h *Host) openStorage() bool {
	sim := h.sim
	opened, err := storage.Open(h.Disk)
	if storage.IsCorrupted(err) {
		// As a real process does: it says so and comes back as a new member.
		sim.DamageReports = append(sim.DamageReports, err.Error())
		h.Disk = NewDisk()
		opened, err = storage.Open(h.Disk)
	}
	if err != nil {
		return false
	}
	self := proto.Clone(opened.State().Identity).(*schema.StoreIdentity)
	if self.Id == "" {
		self.Id = sim.newID()
	}
	self.Starts++
	if opened.Commit([]*schema.StoreChange{{Identity: self}}) != nil {
		return false
	}
	h.store = opened
	h.Member.Id, h.Member.Incarnation, h.Member.HasStorage = self.Id, self.Starts, true
	return true
}

// awaitStorage starts the process anew once its disk takes writes.
func (h *Host) awaitStorage(run int) {
	h.sim.After(writeRetryInterval, func() {
		h.runAwake(run, func() {
			opened, err := storage.Open(h.Disk)
			if err != nil || opened.Commit([]*schema.StoreChange{{Identity: opened.State().Identity}}) != nil {
				h.awaitStorage(run)
				return
			}
			// What it has in hand isn't finished here: callers ask again.
			for _, answer := range h.takePendingRequests() {
				answer(nil)
			}
			h.Start()
		})
	})
}

// write is the storage's duty: it takes its time and then the batch lasts.
func (h *Host) write(batch replica.Batch) {
	sim := h.sim
	h.isWriting, h.batch, h.syncStartedAt = true, batch, sim.Now
	h.tryCommit(h.run, batch)
}

// tryCommit tries to write a batch until it lasts.
func (h *Host) tryCommit(run int, batch replica.Batch) {
	sim := h.sim
	duration := h.SyncDelay + eventloop.Micros(sim.Rng.Int64N(int64(h.SyncDelay)/4+1))
	sim.At(max(sim.Now+duration, h.StallUntil), func() {
		h.runAwake(run, func() {
			err := h.store.Commit(batch.Changes)
			if err == nil {
				h.finishWrite(batch)
				return
			}
			if !h.isDiskRefusing {
				h.isDiskRefusing = true
				h.deliver("replica", eventloop.Message{Body: replica.WriteFailed{Number: batch.Number, Reason: err.Error()}})
				h.deliver("membership", eventloop.Message{Body: membership.LatencyReport{Max: membership.WritesRefusedLatency}})
			}
			sim.After(writeRetryInterval, func() { h.tryCommit(run, batch) })
		})
	})
}

func (h *Host) finishWrite(batch replica.Batch) {
	h.isWriting = false
	h.worstSync = max(h.worstSync, h.sim.Now-h.syncStartedAt)
	if h.isDiskRefusing {
		h.isDiskRefusing = false
		h.deliver("membership", eventloop.Message{Body: membership.LatencyReport{Max: h.worstSync}})
	}
	h.deliver("replica", eventloop.Message{Body: replica.Written{Number: batch.Number}})
}

// RefuseWrites has the host's disk refuse in some way for a span.
func (h *Host) RefuseWrites(fault DiskFault, duration eventloop.Micros) {
	h.Disk.Fault = fault
	disk := h.Disk
	h.sim.updateAvailability()
	h.sim.After(duration, func() {
		disk.Fault = DiskFault{}
		h.sim.updateAvailability()
	})
}
