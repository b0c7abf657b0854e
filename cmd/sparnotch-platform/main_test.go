package main

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/schema"
	"sparnotch/platform"
)

// TestCollectorTuning guards against a leader that, under load, spends its CPU time on collecting
// a small heap again and again.
func TestCollectorTuning(t *testing.T) {
	const memoryMB = 500
	Convey("A storage node's heap may grow to several times what is live, within the memory limit", t, func() {
		settings := &platform.Settings{MemoryMB: memoryMB, NodeSettings: &schema.Settings{DataDir: "/data"}}
		So(collectorTuningOf(settings), ShouldResemble, collectorTuning{memoryLimit: 400_000_000, percent: 400})
	})
	Convey("Other nodes, of which there are many, keep their memory small", t, func() {
		settings := &platform.Settings{MemoryMB: memoryMB, NodeSettings: &schema.Settings{}}
		So(collectorTuningOf(settings), ShouldResemble, collectorTuning{memoryLimit: 400_000_000, percent: 100})
	})
}
