package storage_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
	"sparnotch/internal/sim"
	"sparnotch/internal/storage"
)

// installSteps are the commits of a replica that is sent snapshots by its leader:
// entries, a snapshot that replaces them all, entries after it, a snapshot by its own
// compaction, and a later one of the leader's.
func installSteps() [][]*schema.StoreChange {
	snapshot := func(index uint64) *schema.Snapshot {
		return &schema.Snapshot{Index: index, Term: 2, Data: fmt.Appendf(nil, "state %d %3000d", index, index)}
	}
	entries := func(first, last uint64) []*schema.Entry {
		var list []*schema.Entry
		for index := first; index <= last; index++ {
			list = append(list, testEntry(index, 200))
		}
		return list
	}
	return [][]*schema.StoreChange{
		{{Group: "g", HardState: &schema.HardState{Term: 1, Vote: "a"}, Entries: entries(1, 8)}},
		{{Group: "g", HardState: &schema.HardState{Term: 2}}, {Group: "g", Snapshot: snapshot(100), ReplacesLog: true}},
		{{Group: "g", Entries: entries(101, 110)}},
		{{Group: "g", Snapshot: snapshot(105)}},
		{{Group: "g", Entries: entries(111, 114)}, {Group: "h", Entries: entries(1, 3)}},
		{{Group: "g", Snapshot: snapshot(300), ReplacesLog: true}, {Group: "g", Entries: entries(301, 302)}},
	}
}

// dumpState is a store's state as text.
func dumpState(s *storage.Store) string {
	text := ""
	for _, name := range []string{"g", "h"} {
		if group := s.State().Groups[name]; group != nil {
			change := &schema.StoreChange{Group: name, HardState: group.HardState, Snapshot: group.Snapshot, Entries: group.Entries}
			data, err := proto.MarshalOptions{Deterministic: true}.Marshal(change)
			if err != nil {
				panic(err)
			}
			text += fmt.Sprintf("%s %x\n", name, data)
		}
	}
	return text
}

// TestInterruptedSnapshotInstall: power is lost at each write, truncation and sync of
// the installation of snapshots, with slots switched at other points each time. The
// store then holds what had been acknowledged, or that and all of the commit in
// progress: never a part of a snapshot, an old one with new entries, or a new one with
// old entries; and the installation continues from there.
func TestInterruptedSnapshotInstall(t *testing.T) {
	steps := installSteps()
	for _, limit := range []int64{100, 1500, 2500, 4000, 9000, 1 << 20} {
		for operation := 1; operation < 60; operation++ {
			for seed := uint64(0); seed < 3; seed++ {
				interruptInstall(t, steps, limit, operation, seed)
			}
		}
	}
}

func interruptInstall(t *testing.T, steps [][]*schema.StoreChange, limit int64, operation int, seed uint64) {
	fail := func(form string, args ...any) {
		t.Fatalf("limit %d, power lost at operation %d, seed %d: %s", limit, operation, seed, fmt.Sprintf(form, args...))
	}
	reference, err := storage.OpenWithLogLimit(sim.NewDisk(), limit)
	if err != nil {
		t.Fatal(err)
	}
	expected := []string{dumpState(reference)}
	for _, changes := range steps {
		if err := reference.Commit(changes); err != nil {
			t.Fatal(err)
		}
		expected = append(expected, dumpState(reference))
	}
	disk := sim.NewDisk()
	rng := rand.New(rand.NewPCG(seed, uint64(operation)))
	s, err := storage.OpenWithLogLimit(disk, limit)
	if err != nil {
		t.Fatal(err)
	}
	disk.OpsLeft = operation
	acknowledged := 0
	for acknowledged < len(steps) && s.Commit(steps[acknowledged]) == nil {
		acknowledged++
	}
	disk.PowerCut(rng)
	if s, err = storage.OpenWithLogLimit(disk, limit); err != nil {
		fail("%v", err)
	}
	switch dumpState(s) {
	case expected[acknowledged]:
	case expected[min(acknowledged+1, len(steps))]:
		acknowledged++
	default:
		fail("%d steps were acknowledged, and the store holds neither these nor these and the next", acknowledged)
	}
	for ; acknowledged < len(steps); acknowledged++ {
		if err := s.Commit(steps[acknowledged]); err != nil {
			fail("%v", err)
		}
	}
	if s, err = storage.OpenWithLogLimit(disk, limit); err != nil || dumpState(s) != expected[len(steps)] {
		fail("continued it ends in another state: %v", err)
	}
}

// TestSpaceOnDisk: a store takes no more than two slots and two logs, each no larger
// than its state or the least limit, and what one commit adds.
func TestSpaceOnDisk(t *testing.T) {
	const limit, snapshotBytes, entryBytes = 1 << 20, 700 << 10, 260 << 10
	disk := sim.NewDisk()
	s, err := storage.OpenWithLogLimit(disk, limit)
	if err != nil {
		t.Fatal(err)
	}
	peak, last := 0, uint64(0)
	for k := uint64(1); k <= 400; k++ {
		change := &schema.StoreChange{Group: "g", Entries: []*schema.Entry{testEntry(k, entryBytes)}}
		if k%4 == 0 {
			last = k
			change.Snapshot = &schema.Snapshot{Index: k, Data: make([]byte, snapshotBytes)}
		}
		if err := s.Commit([]*schema.StoreChange{change}); err != nil {
			t.Fatal(err)
		}
		sum := 0
		for _, name := range []string{"slot-0", "slot-1", "log-0", "log-1"} {
			sum += disk.Size(name)
		}
		peak = max(peak, sum)
	}
	state := snapshotBytes + 4*entryBytes
	bound := 2*state + 2*(max(limit, state)+snapshotBytes+entryBytes) + 64<<10
	if peak > bound {
		t.Errorf("%d bytes on the disk, want at most %d", peak, bound)
	}
	if last != 400 || s.Stats().Slots < 20 {
		t.Errorf("only %d slots were written", s.Stats().Slots)
	}
}
