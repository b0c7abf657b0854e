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

// installSteps is what a replica commits that is sent checkpoints by its leader:
// records of its own, a checkpoint that replaces them all, records after it, a
// checkpoint that it makes itself, and a later one of the leader's.
func installSteps() [][]*schema.StoreChange {
	state := func(index uint64) *schema.Snapshot {
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
		{{Group: "g", HardState: &schema.HardState{Term: 2}}, {Group: "g", Snapshot: state(100), ReplacesLog: true}},
		{{Group: "g", Entries: entries(101, 110)}},
		{{Group: "g", Snapshot: state(105)}},
		{{Group: "g", Entries: entries(111, 114)}, {Group: "h", Entries: entries(1, 3)}},
		{{Group: "g", Snapshot: state(300), ReplacesLog: true}, {Group: "g", Entries: entries(301, 302)}},
	}
}

// dumpState is a store's whole content as text.
func dumpState(s *storage.Store) string {
	text := ""
	for _, name := range []string{"g", "h"} {
		if image := s.State().Groups[name]; image != nil {
			slot := &schema.StoreChange{Group: name, HardState: image.HardState, Snapshot: image.Snapshot, Entries: image.Entries}
			data, err := proto.MarshalOptions{Deterministic: true}.Marshal(slot)
			if err != nil {
				panic(err)
			}
			text += fmt.Sprintf("%s %x\n", name, data)
		}
	}
	return text
}

// TestInterruptedSnapshotInstall: the power goes at each write, cut and sync of the
// installation of checkpoints, with slots turned at other places each time. What is
// there then is what had been acknowledged, or that and the whole of what was being
// written: never half a checkpoint, an old one with new records, or a new one with
// old records; and the installation is taken up again from there.
func TestInterruptedSnapshotInstall(t *testing.T) {
	steps := installSteps()
	for _, limit := range []int64{100, 1500, 2500, 4000, 9000, 1 << 20} {
		for cut := 1; cut < 60; cut++ {
			for seed := uint64(0); seed < 3; seed++ {
				interruptInstall(t, steps, limit, cut, seed)
			}
		}
	}
}

func interruptInstall(t *testing.T, steps [][]*schema.StoreChange, limit int64, cut int, seed uint64) {
	fail := func(form string, args ...any) {
		t.Fatalf("limit %d, cut at %d, seed %d: %s", limit, cut, seed, fmt.Sprintf(form, args...))
	}
	reference, err := storage.OpenWithLogLimit(sim.NewDisk(), limit)
	if err != nil {
		t.Fatal(err)
	}
	wanted := []string{dumpState(reference)}
	for _, changes := range steps {
		if err := reference.Commit(changes); err != nil {
			t.Fatal(err)
		}
		wanted = append(wanted, dumpState(reference))
	}
	disk := sim.NewDisk()
	rng := rand.New(rand.NewPCG(seed, uint64(cut)))
	s, err := storage.OpenWithLogLimit(disk, limit)
	if err != nil {
		t.Fatal(err)
	}
	disk.OpsLeft = cut
	done := 0
	for done < len(steps) && s.Commit(steps[done]) == nil {
		done++
	}
	disk.PowerCut(rng)
	if s, err = storage.OpenWithLogLimit(disk, limit); err != nil {
		fail("%v", err)
	}
	switch dumpState(s) {
	case wanted[done]:
	case wanted[min(done+1, len(steps))]:
		done++
	default:
		fail("%d steps were acknowledged, and what is there is neither that nor that and the next", done)
	}
	for ; done < len(steps); done++ {
		if err := s.Commit(steps[done]); err != nil {
			fail("%v", err)
		}
	}
	if s, err = storage.OpenWithLogLimit(disk, limit); err != nil || dumpState(s) != wanted[len(steps)] {
		fail("taken up again it comes to something else: %v", err)
	}
}

// TestSpaceOnDisk: whatever comes, a store takes no more than two slots and two
// logs, each no larger than its content or the least limit, and what one batch adds.
func TestSpaceOnDisk(t *testing.T) {
	const limit, point, batch = 1 << 20, 700 << 10, 260 << 10
	disk := sim.NewDisk()
	s, err := storage.OpenWithLogLimit(disk, limit)
	if err != nil {
		t.Fatal(err)
	}
	peak, last := 0, uint64(0)
	for k := uint64(1); k <= 400; k++ {
		change := &schema.StoreChange{Group: "g", Entries: []*schema.Entry{testEntry(k, batch)}}
		if k%4 == 0 {
			last = k
			change.Snapshot = &schema.Snapshot{Index: k, Data: make([]byte, point)}
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
	content := point + 4*batch
	most := 2*content + 2*(max(limit, content)+point+batch) + 64<<10
	if peak > most {
		t.Errorf("%d bytes on the disk, at most %d were to be", peak, most)
	}
	if last != 400 || s.Stats().Slots < 20 {
		t.Errorf("only %d slots were turned", s.Stats().Slots)
	}
}
