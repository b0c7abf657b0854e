package sim

import (
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// againSpan lies between two attempts to write to a disk that refused.
const againSpan = 100 * eventloop.Millisecond

// openStore opens the host's disk and takes the number of this start; false if
// the disk refuses, and then the process starts without a store.
func (h *Host) openStore() bool {
	w := h.world
	store, err := storage.Open(h.Disk)
	if storage.IsCorrupted(err) {
		// As a real process does: it says so and comes back as a new member.
		w.Damaged = append(w.Damaged, err.Error())
		h.Disk = NewDisk()
		store, err = storage.Open(h.Disk)
	}
	if err != nil {
		return false
	}
	self := proto.Clone(store.State().Identity).(*schema.StoreIdentity)
	if self.Id == "" {
		self.Id = w.newId()
	}
	self.Starts++
	if store.Commit([]*schema.StoreChange{{Identity: self}}) != nil {
		return false
	}
	h.store = store
	h.Member.Id, h.Member.Incarnation, h.Member.HasStorage = self.Id, self.Starts, true
	return true
}

// awaitStore starts the process anew once its disk takes writes.
func (h *Host) awaitStore(run int) {
	h.world.After(againSpan, func() {
		h.do(run, func() {
			store, err := storage.Open(h.Disk)
			if err != nil || store.Commit([]*schema.StoreChange{{Identity: store.State().Identity}}) != nil {
				h.awaitStore(run)
				return
			}
			// What it has in hand isn't finished here: callers ask again.
			for _, answer := range h.takeWaiting() {
				answer(nil)
			}
			h.Start()
		})
	})
}

// write is the storage's duty: it takes its time and then the batch lasts.
func (h *Host) write(batch replica.Batch) {
	w := h.world
	h.isWrite, h.writing, h.began = true, batch, w.Now
	h.attempt(h.run, batch)
}

// attempt tries to write a batch until it lasts.
func (h *Host) attempt(run int, batch replica.Batch) {
	w := h.world
	span := h.SyncUs + eventloop.Micros(w.Rng.Int64N(int64(h.SyncUs)/4+1))
	w.At(max(w.Now+span, h.Stall), func() {
		h.do(run, func() {
			err := h.store.Commit(batch.Changes)
			if err == nil {
				h.written(batch)
				return
			}
			if !h.isRefused {
				h.isRefused = true
				h.mail("replica", eventloop.Message{Body: replica.WriteFailed{Number: batch.Number, Reason: err.Error()}})
				h.mail("membership", eventloop.Message{Body: membership.LatencyReport{Max: membership.WritesRefusedLatency}})
			}
			w.After(againSpan, func() { h.attempt(run, batch) })
		})
	})
}

func (h *Host) written(batch replica.Batch) {
	h.isWrite = false
	h.worst = max(h.worst, h.world.Now-h.began)
	if h.isRefused {
		h.isRefused = false
		h.mail("membership", eventloop.Message{Body: membership.LatencyReport{Max: h.worst}})
	}
	h.mail("replica", eventloop.Message{Body: replica.Written{Number: batch.Number}})
}

// Refuse has the host's disk refuse in some way for a span.
func (h *Host) Refuse(fault Fault, span eventloop.Micros) {
	h.Disk.Fault = fault
	disk := h.Disk
	h.world.reckon()
	h.world.After(span, func() {
		disk.Fault = Fault{}
		h.world.reckon()
	})
}
