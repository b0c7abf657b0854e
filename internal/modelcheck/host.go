package modelcheck

import (
	"math/rand/v2"

	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// drainEffects carries out all effects of a step on a machine, as replica.Host does: messages
// that depend on durable data wait for the sync, committed entries are applied, and one batch
// is written at a time while the next one fills.
func (w *World) drainEffects(m *machine) {
	for m.group != nil {
		m.group.FlushReads(m.clock)
		effects, syncPoint := m.group.Ready()
		isIdle := len(effects.Messages)+len(effects.Changes)+len(effects.CommittedEntries)+len(effects.ConfirmedReads) == 0 && effects.Snapshot == nil
		if isIdle && m.group.HasWaitingEntries() {
			// An Append that waits for its time is the same as one that is in flight for longer.
			m.clock += raft.SharedAppendInterval
			m.group.FlushAppends(m.clock)
			continue
		}
		if isIdle {
			if !w.startWrite(m) {
				break
			}
			continue
		}
		w.applyEffects(m, effects, syncPoint)
		w.checkLeader(m)
	}
	if m.group != nil && !m.group.IsLeader() {
		clear(m.pendingProposals)
		clear(m.pendingReads)
	}
}

func (w *World) applyEffects(m *machine, effects raft.Ready, syncPoint raft.SyncPoint) {
	for _, change := range effects.Changes {
		w.checkChange(m, change)
		m.log = applyChange(m.log, change)
	}
	w.checkLog(m)
	for _, message := range effects.Messages {
		w.checkMatchIsDurable(m, message)
		if message.AfterSync {
			m.nextBatch.messages = append(m.nextBatch.messages, message)
		} else {
			w.send(m, message)
		}
	}
	if len(effects.Changes) > 0 {
		m.nextBatch.changes = append(m.nextBatch.changes, effects.Changes...)
		m.nextBatch.syncPoint = syncPoint
	}
	if effects.Snapshot != nil {
		m.restore(effects.Snapshot)
		w.checkState(m)
	}
	w.checkCommitTerm(m, effects.CommittedEntries)
	for _, entry := range effects.CommittedEntries {
		w.applyEntry(m, entry)
	}
	for _, readID := range effects.ConfirmedReads {
		if operation, found := m.pendingReads[readID]; found {
			delete(m.pendingReads, readID)
			w.completeRead(operation, m.state.Configuration())
		}
	}
}

// startWrite hands the next batch to the disk. It reports whether the write is already
// complete, in which case it may have further effects.
func (w *World) startWrite(m *machine) bool {
	if m.currentWrite != nil || len(m.nextBatch.changes)+len(m.nextBatch.messages) == 0 {
		return false
	}
	write := m.nextBatch
	m.nextBatch, m.currentWrite = batch{}, &write
	if len(write.changes) == 0 || w.limits.SyncAtOnce {
		w.completeWrite(m)
		return true
	}
	return false
}

// completeWrite makes the current write durable and sends the messages that waited for it.
func (w *World) completeWrite(m *machine) {
	write := m.currentWrite
	m.currentWrite = nil
	if len(write.changes) > 0 {
		if err := m.disk.commit(write.changes); err != nil {
			w.fail("a write failed on %s: %v", m.id, err)
		}
	}
	for _, message := range write.messages {
		w.send(m, message)
	}
	if len(write.changes) > 0 {
		m.group.MarkSynced(m.clock, write.syncPoint)
	}
}

// applyEntry applies a committed entry to the machine's state, and answers the operator that
// proposed it, if the proposal is pending on this machine.
func (w *World) applyEntry(m *machine, entry *schema.Entry) {
	w.checkCommit(m, entry)
	proposal, isPending := m.pendingProposals[entry.Index]
	delete(m.pendingProposals, entry.Index)
	m.appliedIndex = entry.Index
	if entry.Kind != schema.EntryKind_ENTRY_COMMAND {
		w.checkState(m)
		return
	}
	m.ensureOwnState()
	before := m.state.Configuration()
	result, err := m.state.Apply(entry.TimeUs, entry.Data)
	if err != nil {
		w.fail("entry %d can't be applied on %s: %v", entry.Index, m.id, err)
		return
	}
	if after := m.state.Configuration(); after != before {
		w.recordReplacement(before, after)
	}
	w.checkState(m)
	if isPending && proposal.term == entry.Term {
		w.completeReplace(proposal.operation, result)
	}
}

// crash restarts a machine from its disk, and returns false if the step isn't possible. If
// isWritten is true, the current write became durable just before the crash, but the process
// didn't learn of it.
func (w *World) crash(m *machine, isWritten bool) bool {
	if w.crashes >= w.limits.Crashes || isWritten && m.currentWrite == nil {
		return false
	}
	w.crashes++
	var changes []*schema.StoreChange
	if m.currentWrite != nil {
		changes = m.currentWrite.changes
	}
	before := cloneGroupStateOrNil(m.durableLog())
	if isWritten {
		if err := m.disk.commit(changes); err != nil {
			w.fail("a write failed on %s: %v", m.id, err)
		}
		before = cloneGroupStateOrNil(m.durableLog())
		changes = nil
	}
	// Each crash has a random generator of its own, seeded by its number, so that shrinking a
	// schedule doesn't change the random choices of the remaining crashes, unless it removes an
	// earlier crash.
	rng := rand.New(rand.NewPCG(w.seed, uint64(w.crashes)))
	if err := m.disk.crash(changes, rng.IntN); err != nil {
		w.fail("the store of %s can't be opened after a crash: %v", m.id, err)
		return true
	}
	w.checkRecovery(m, before, changes)
	m.start()
	w.drainEffects(m)
	return true
}

// wipe replaces a machine's disk by an empty one with a new store ID, and returns false if the
// step isn't possible. Messages to the old ID are lost.
func (w *World) wipe(m *machine) bool {
	if w.wipes >= w.limits.Wipes {
		return false
	}
	w.wipes++
	w.mutableGhost().wipedLogs[m.id] = m.durableLog()
	m.incarnation++
	w.attachEmptyDisk(m)
	m.start()
	return true
}

func cloneGroupStateOrNil(log *storage.GroupState) *storage.GroupState {
	if log == nil {
		return nil
	}
	return cloneGroupState(log)
}
