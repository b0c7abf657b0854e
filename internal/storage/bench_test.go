package storage

import (
	"testing"

	"sparnotch/internal/schema"
)

// BenchmarkApply appends one entry to a log of 2,000.
func BenchmarkApply(b *testing.B) {
	content := newState()
	index := uint64(0)
	add := func() {
		index++
		content.Apply(&schema.StoreChange{Group: "g", Entries: []*schema.Entry{{Index: index, Term: 1}}})
	}
	for index < 2000 {
		add()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for k := 0; k < b.N; k++ {
		if index%512 == 0 {
			content.Apply(&schema.StoreChange{Group: "g", Snapshot: &schema.Snapshot{Index: index - 2000}})
		}
		add()
	}
}
