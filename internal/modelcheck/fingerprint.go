package modelcheck

import (
	"encoding/binary"
	"hash/maphash"
	"maps"
	"slices"

	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// Fingerprint tells worlds apart that could go on differently: two paths that
// lead to one are followed once. Each machine's clock is left out, for only
// what lies before and after it counts, and so is the time of records.
func (w *World) Fingerprint() uint64 {
	to := make([]byte, 0, 256)
	for _, m := range w.machines {
		if m.print == 0 {
			m.print = maphash.Bytes(seed, m.fingerprint(make([]byte, 0, 512)))
		}
		to = binary.LittleEndian.AppendUint64(to, m.print)
	}
	for _, each := range w.operators {
		to = numbers(to, uint64(each.current+1), each.knows)
	}
	for k := range w.operations {
		o := &w.operations[k]
		to = numbers(to, uint64(o.operator), o.base, o.edition, uint64(o.code), o.got, o.floor)
		to = flags(to, o.isRead, o.isGivenUp, o.isTaken, o.answered > 0)
	}
	to = numbers(to, uint64(w.crashes), uint64(w.wipes), uint64(w.twice), uint64(w.puts), w.told, uint64(len(w.committed)), w.sum)
	var mail uint64
	for _, p := range w.parcels {
		mail += mix(p.key)
	}
	to = binary.LittleEndian.AppendUint64(to, mail)
	return maphash.Bytes(seed, to)
}

// mix spreads a key, so that sums of keys tell sets of messages apart.
func mix(key uint32) uint64 {
	x := (uint64(key) + 1) * 0x9e3779b97f4a7c15
	x ^= x >> 29
	return x * 0xbf58476d1ce4e5b9
}

func numbers(to []byte, values ...uint64) []byte {
	for _, v := range values {
		to = binary.AppendUvarint(to, v)
	}
	return to
}

func flags(to []byte, values ...bool) []byte {
	for _, v := range values {
		if v {
			to = append(to, 1)
		} else {
			to = append(to, 0)
		}
	}
	return to
}

func (m *machine) fingerprint(to []byte) []byte {
	to = append(append(to, '|'), m.id...)
	if image := m.disk.content().Groups[group]; image != nil {
		to = imprint(to, image)
	}
	if m.group == nil {
		return to
	}
	to = m.group.Fingerprint(m.clock, append(to, '/'))
	to = numbers(to, m.version, m.applied, maphash.Bytes(seed, m.state.Snapshot()))
	to = m.next.fingerprint(append(to, 'n'))
	if m.writing != nil {
		to = m.writing.fingerprint(append(to, 'w'))
	}
	for _, index := range slices.Sorted(maps.Keys(m.waiting)) {
		to = numbers(to, index, m.waiting[index].term, uint64(m.waiting[index].operation))
	}
	for _, number := range slices.Sorted(maps.Keys(m.reading)) {
		to = numbers(to, number, uint64(m.reading[number]))
	}
	return to
}

func (b *batch) fingerprint(to []byte) []byte {
	for _, change := range b.changes {
		to = imprint(append(to, 'c'), &storage.GroupState{HardState: change.HardState, Snapshot: change.Snapshot, Entries: change.Entries})
	}
	for _, post := range b.posts {
		to = numbers(append(to, 'p'), uint64(keyOf("", post.To, post.Body)))
	}
	return numbers(to, b.mark.Index, b.mark.Term)
}

func imprint(to []byte, image *storage.GroupState) []byte {
	to = numbers(to, image.HardState.GetTerm(), image.Snapshot.GetIndex(), image.Snapshot.GetTerm(), uint64(len(image.Entries)))
	to = append(to, image.HardState.GetVote()...)
	for _, record := range image.Entries {
		to = numbers(to, record.Index, record.Term)
		if record.Kind == schema.EntryKind_ENTRY_MEMBER_SET {
			to = append(to, 'r')
		}
	}
	return to
}
