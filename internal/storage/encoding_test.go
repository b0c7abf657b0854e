package storage_test

import (
	"bytes"
	"encoding/gob"
	"testing"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// BenchmarkEncoding compares protobuf and gob by the size of an encoded log entry with a
// settle command. Each entry is encoded so that it can be decoded without the others.
func BenchmarkEncoding(b *testing.B) {
	settle, err := proto.Marshal(&schema.QueueCommand{Body: &schema.QueueCommand_Settle{Settle: &schema.Settle{Key: &schema.TaskKey{Job: 1234, Step: 1, Task: 7}, Attempt: 1}}})
	if err != nil {
		b.Fatal(err)
	}
	entry := &schema.Entry{Index: 123456, Term: 3, TimeUs: 123456789, Data: settle}
	b.Run("protobuf", func(b *testing.B) {
		size := 0
		for b.Loop() {
			data, err := proto.Marshal(entry)
			if err != nil {
				b.Fatal(err)
			}
			size = len(data)
		}
		b.ReportMetric(float64(size), "bytes/entry")
	})
	b.Run("gob", func(b *testing.B) {
		size := 0
		for b.Loop() {
			var out bytes.Buffer
			if err := gob.NewEncoder(&out).Encode(entry); err != nil {
				b.Fatal(err)
			}
			size = out.Len()
		}
		b.ReportMetric(float64(size), "bytes/entry")
	})
}
