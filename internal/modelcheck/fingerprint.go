package modelcheck

import (
	"encoding/binary"
	"hash/maphash"
	"maps"
	"slices"

	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// Fingerprint hashes everything in a world that its further behaviour depends on, so that a
// state which is reached on two paths is expanded once. Clocks are left out, since only times
// relative to them matter, and so are the times of entries.
func (w *World) Fingerprint() uint64 {
	buffer := make([]byte, 0, 256)
	for _, m := range w.machines {
		if m.cachedFingerprint == 0 {
			m.cachedFingerprint = maphash.Bytes(hashSeed, m.fingerprint(make([]byte, 0, 512)))
		}
		buffer = binary.LittleEndian.AppendUint64(buffer, m.cachedFingerprint)
	}
	for _, operator := range w.operators {
		buffer = appendNumbers(buffer, uint64(operator.operation+1), operator.knownVersion)
	}
	for k := range w.operations {
		o := &w.operations[k]
		buffer = appendNumbers(buffer, uint64(o.operator), o.baseVersion, o.version, uint64(o.code), o.readVersion, o.minVersion)
		buffer = appendFlags(buffer, o.isRead, o.isAbandoned, o.isApplied, o.returnedAt > 0)
	}
	buffer = appendNumbers(buffer, uint64(w.crashes), uint64(w.wipes), uint64(w.duplicates), uint64(w.proposals),
		w.maxKnownVersion, uint64(len(w.committed)), w.checksum)
	var inFlightSum uint64
	for _, message := range w.inFlight {
		inFlightSum += mix(message.key)
	}
	buffer = binary.LittleEndian.AppendUint64(buffer, inFlightSum)
	return maphash.Bytes(hashSeed, buffer)
}

// mix spreads a message's key over 64 bits, so that the sum of the mixed keys of all messages
// in flight identifies them irrespective of their order.
func mix(key uint32) uint64 {
	x := (uint64(key) + 1) * 0x9e3779b97f4a7c15
	x ^= x >> 29
	return x * 0xbf58476d1ce4e5b9
}

func appendNumbers(buffer []byte, values ...uint64) []byte {
	for _, v := range values {
		buffer = binary.AppendUvarint(buffer, v)
	}
	return buffer
}

func appendFlags(buffer []byte, values ...bool) []byte {
	for _, v := range values {
		if v {
			buffer = append(buffer, 1)
		} else {
			buffer = append(buffer, 0)
		}
	}
	return buffer
}

// fingerprint appends the machine's whole state, except its clock, to a buffer.
func (m *machine) fingerprint(buffer []byte) []byte {
	buffer = append(append(buffer, '|'), m.id...)
	if log := m.durableLog(); log != nil {
		buffer = appendGroupState(buffer, log)
	}
	if m.group == nil {
		return buffer
	}
	buffer = m.group.Fingerprint(m.clock, append(buffer, '/'))
	buffer = appendNumbers(buffer, m.maxVersion, m.appliedIndex, maphash.Bytes(hashSeed, m.state.Snapshot()))
	buffer = m.nextBatch.fingerprint(append(buffer, 'n'))
	if m.currentWrite != nil {
		buffer = m.currentWrite.fingerprint(append(buffer, 'w'))
	}
	for _, index := range slices.Sorted(maps.Keys(m.pendingProposals)) {
		buffer = appendNumbers(buffer, index, m.pendingProposals[index].term, uint64(m.pendingProposals[index].operation))
	}
	for _, number := range slices.Sorted(maps.Keys(m.pendingReads)) {
		buffer = appendNumbers(buffer, number, uint64(m.pendingReads[number]))
	}
	return buffer
}

func (b *batch) fingerprint(buffer []byte) []byte {
	for _, change := range b.changes {
		buffer = appendGroupState(append(buffer, 'c'), &storage.GroupState{HardState: change.HardState, Snapshot: change.Snapshot, Entries: change.Entries})
	}
	for _, message := range b.messages {
		buffer = appendNumbers(append(buffer, 'p'), uint64(messageKey("", message.To, message.Body)))
	}
	return appendNumbers(buffer, b.syncPoint.Index, b.syncPoint.Term)
}

// appendGroupState appends a log's content. The index and term of an entry stand for the
// entry, since by log matching they determine it.
func appendGroupState(buffer []byte, log *storage.GroupState) []byte {
	buffer = appendNumbers(buffer, log.HardState.GetTerm(), log.Snapshot.GetIndex(), log.Snapshot.GetTerm(), uint64(len(log.Entries)))
	buffer = append(buffer, log.HardState.GetVote()...)
	for _, entry := range log.Entries {
		buffer = appendNumbers(buffer, entry.Index, entry.Term)
		if entry.Kind == schema.EntryKind_ENTRY_MEMBER_SET {
			buffer = append(buffer, 'r')
		}
	}
	return buffer
}
