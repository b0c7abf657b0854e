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

// installSteps returns the commits of a replica that receives snapshots from its leader:
// entries, a snapshot from the leader that replaces all of them, entries after it, a snapshot
// by local compaction, more entries, and another snapshot from the leader.
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

// dumpState returns the state of a store's groups g and h as text.
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

// TestInterruptedSnapshotInstall checks the installation of snapshots when power is lost at any
// write, truncation or sync. Different log limits make the switches of slots happen at
// different steps. Afterwards the store must contain either the acknowledged commits, or these
// and the whole commit that was in progress. It must never contain a part of a snapshot, an old
// snapshot with new entries, or a new snapshot with old entries. The remaining commits must
// then succeed.
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

// interruptInstall commits the steps on a disk that loses power at the given operation, and
// checks the store after that and after the remaining steps. The seed determines which unsynced
// data survives the loss of power.
func interruptInstall(t *testing.T, steps [][]*schema.StoreChange, limit int64, operation int, seed uint64) {
	fail := func(format string, args ...any) {
		t.Fatalf("limit %d, power lost at operation %d, seed %d: %s", limit, operation, seed, fmt.Sprintf(format, args...))
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
	disk.OpsUntilPowerLoss = operation
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
		fail("%d steps were acknowledged, but the store contains neither exactly these nor these and the next", acknowledged)
	}
	for ; acknowledged < len(steps); acknowledged++ {
		if err := s.Commit(steps[acknowledged]); err != nil {
			fail("%v", err)
		}
	}
	if s, err = storage.OpenWithLogLimit(disk, limit); err != nil || dumpState(s) != expected[len(steps)] {
		fail("the remaining steps led to another state than without an interruption (error: %v)", err)
	}
}

// TestSpaceOnDisk checks that a store uses no more disk space than two slots and two logs. A
// slot is as large as the state. A log may be as large as the state or the log limit,
// whichever is larger, plus one commit.
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
		t.Errorf("the store used up to %d bytes of the disk, want at most %d", peak, bound)
	}
	if last != 400 || s.Stats().Slots < 20 {
		t.Errorf("the run wrote only %d slots, want at least 20", s.Stats().Slots)
	}
}
