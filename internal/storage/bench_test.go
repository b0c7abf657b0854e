package storage

import (
	"testing"

	"sparnotch/internal/schema"
)

// BenchmarkApply measures State.Apply for a change that appends one entry to a log of about
// 2,000 entries. Every 512 entries, a snapshot compacts the log to 2,000.
func BenchmarkApply(b *testing.B) {
	state := newState()
	index := uint64(0)
	appendEntry := func() {
		index++
		state.Apply(&schema.StoreChange{Group: "g", Entries: []*schema.Entry{{Index: index, Term: 1}}})
	}
	for index < 2000 {
		appendEntry()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for k := 0; k < b.N; k++ {
		if index%512 == 0 {
			state.Apply(&schema.StoreChange{Group: "g", Snapshot: &schema.Snapshot{Index: index - 2000}})
		}
		appendEntry()
	}
}
