package storage_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"sparnotch/internal/schema"
	"sparnotch/internal/sim"
	"sparnotch/internal/storage"
)

// testBatch is the k-th commit of a run; every seventh is large, so that slots are
// written too.
func testBatch(k uint64) []*schema.StoreChange {
	size := 10
	if k%7 == 0 {
		size = 1_500
	}
	return []*schema.StoreChange{{Group: "g", Entries: []*schema.Entry{testEntry(k, size)}, Snapshot: &schema.Snapshot{Index: max(k, 4) - 4}}}
}

// lastIndex is the index of the group's last entry, 0 if there is none.
func lastIndex(s *storage.Store) uint64 {
	group := s.State().Groups["g"]
	if group == nil || len(group.Entries) == 0 {
		return 0
	}
	return group.Entries[len(group.Entries)-1].Index
}

const faultyRunLogLimit = 2000 // bytes

// faultyRun is a run in which chosen disk operations fail, each commit is retried until
// it succeeds, and power is lost at the end.
type faultyRun struct {
	disk         *sim.Disk
	store        *storage.Store
	acknowledged uint64
	failures     int
}

// newFaultyRun begins a run on an empty disk without faults.
func newFaultyRun(t *testing.T) *faultyRun {
	t.Helper()
	run := &faultyRun{disk: sim.NewDisk()}
	run.restart(t)
	return run
}

// restart opens the store anew, with what the page cache holds.
func (f *faultyRun) restart(t *testing.T) {
	t.Helper()
	store, err := storage.OpenWithLogLimit(f.disk, faultyRunLogLimit)
	if err != nil {
		t.Fatal(err)
	}
	f.store = store
}

// commit retries the k-th commit until it succeeds.
func (f *faultyRun) commit(k uint64) error { return f.commitChanges(k, testBatch(k)) }

// commitChanges retries a commit of these changes as the k-th until it succeeds.
func (f *faultyRun) commitChanges(k uint64, changes []*schema.StoreChange) error {
	for range 12 {
		if err := f.store.Commit(changes); err == nil {
			f.acknowledged = k
			return nil
		}
		f.failures++
	}
	return fmt.Errorf("commit %d never succeeded", k)
}

// reopen cuts the power, opens the store and checks what it holds.
func (f *faultyRun) reopen(rng *rand.Rand, requested uint64) error {
	f.disk.Fault = sim.DiskFault{}
	f.disk.PowerCut(rng)
	store, err := storage.OpenWithLogLimit(f.disk, faultyRunLogLimit)
	if err != nil {
		return err
	}
	f.store = store
	if last := lastIndex(store); last < f.acknowledged || last > requested {
		return fmt.Errorf("acknowledged up to %d, committed up to %d, found up to %d", f.acknowledged, requested, last)
	}
	return nil
}

// TestEachDiskCallFails: whichever call of the Disk fails, once or twice within a
// commit, the store recovers, and what was acknowledged survives a loss of power.
func TestEachDiskCallFails(t *testing.T) {
	failures := 0
	for at := 1; at < 150; at++ {
		for gap := range 6 {
			run := newFaultyRun(t)
			disk := run.disk
			disk.Fault.FailAt = at
			requested := uint64(0)
			for k := uint64(1); k <= 40; k++ {
				requested = k
				retried := run.failures == 1 && gap > 0
				if retried {
					disk.Fault.FailAt, gap = gap, 0
				}
				if err := run.commit(k); err != nil {
					t.Fatalf("call %d: %v", at, err)
				}
				// Power is lost soon after the failure, before a later slot would repair it.
				if run.failures > 0 && disk.Fault.FailAt == 0 && k%3 == uint64(at%3) {
					break
				}
			}
			failures += run.failures
			if err := run.reopen(rand.New(rand.NewPCG(uint64(at), uint64(gap))), requested); err != nil {
				t.Fatalf("call %d failed, then power was lost: %v", at, err)
			}
		}
	}
	if failures < 500 {
		t.Errorf("only %d commits failed", failures)
	}
}

// TestSyncAfterFailedSync: a successful sync doesn't make durable what a failed one
// before it should have.
func TestSyncAfterFailedSync(t *testing.T) {
	for seed := uint64(0); seed < 40; seed++ {
		rng := rand.New(rand.NewPCG(seed, 1))
		run := newFaultyRun(t)
		disk := run.disk
		for k := uint64(1); k <= seed%9+1; k++ {
			if err := run.commit(k); err != nil {
				t.Fatal(err)
			}
		}
		next := run.acknowledged + 1
		disk.Fault.SyncFails = true
		for range 3 {
			if run.store.Commit(testBatch(next)) == nil {
				t.Fatal("a batch was acknowledged though every sync fails")
			}
		}
		disk.Fault.SyncFails = false
		// In this process, or in the next one, which reads from the page cache what the
		// disk doesn't hold.
		if seed%2 == 1 {
			run.restart(t)
			run.acknowledged = max(run.acknowledged, lastIndex(run.store))
			next = run.acknowledged + 1
		}
		if err := run.commit(next); err != nil {
			t.Fatal(err)
		}
		if err := run.reopen(rng, next); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// TestFullDisk: on a full disk commits fail and nothing is lost; what is durable can be
// read, and once there is space the same commit is made, and only once.
func TestFullDisk(t *testing.T) {
	for seed := uint64(0); seed < 40; seed++ {
		run := newFaultyRun(t)
		disk := run.disk
		for k := uint64(1); k <= seed+1; k++ {
			if err := run.commit(k); err != nil {
				t.Fatal(err)
			}
		}
		disk.Fault.IsFull = true
		for range 5 {
			if run.store.Commit(testBatch(seed+2)) == nil {
				t.Fatal("a commit succeeded on a full disk")
			}
			if lastIndex(run.store) != seed+1 {
				t.Fatalf("%d of %d durable entries can be read", lastIndex(run.store), seed+1)
			}
		}
		if seed%3 == 0 {
			// Restarted meanwhile: a store is opened only once its disk takes writes.
			if _, err := storage.OpenWithLogLimit(disk, faultyRunLogLimit); err == nil {
				t.Fatal("a store was opened on a disk that takes no writes")
			}
			disk.Fault.IsFull = false
			run.restart(t)
		}
		disk.Fault.IsFull = false
		for k := seed + 2; k < seed+6; k++ {
			if err := run.commit(k); err != nil {
				t.Fatal(err)
			}
		}
		if entries := run.store.State().Groups["g"].Entries; entries[len(entries)-1].Index-entries[0].Index != uint64(len(entries)-1) {
			t.Fatalf("records %v", entries)
		}
		if err := run.reopen(rand.New(rand.NewPCG(seed, 2)), seed+5); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// TestFailedSlotSwitch: while the next slot can't be written, or isn't known to be
// durable, nothing is appended to the log that it would replace: if that slot was found
// after a loss of power, all that followed in the old log would be lost.
func TestFailedSlotSwitch(t *testing.T) {
	for seed := uint64(0); seed < 40; seed++ {
		run := newFaultyRun(t)
		disk := run.disk
		disk.Fault = sim.DiskFault{SyncFails: seed%2 == 0, IsFull: seed%2 == 1, Prefix: "slot-"}
		requested := uint64(0)
		for k := uint64(1); k <= 30+seed; k++ {
			requested = k
			if run.commit(k) != nil {
				break
			}
		}
		if run.failures == 0 {
			t.Fatal("commits went on in the old log")
		}
		if seed%4 > 1 {
			disk.Fault = sim.DiskFault{}
			if err := run.commit(requested); err != nil {
				t.Fatal(err)
			}
		}
		if err := run.reopen(rand.New(rand.NewPCG(seed, 3)), requested); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// TestTornTail: what a failed write left behind is truncated before anything follows,
// so that none of it remains after a shorter frame.
func TestTornTail(t *testing.T) {
	long := []*schema.StoreChange{{Group: "g", Entries: []*schema.Entry{testEntry(2, 900)}}}
	short := []*schema.StoreChange{{Group: "g", Entries: []*schema.Entry{testEntry(2, 1)}}}
	sizes := map[bool]int{}
	for _, withFailure := range []bool{false, true} {
		disk := sim.NewDisk()
		store, err := storage.Open(disk)
		if err != nil {
			t.Fatal(err)
		}
		if err := store.Commit([]*schema.StoreChange{{Group: "g", Entries: []*schema.Entry{testEntry(1, 10)}}}); err != nil {
			t.Fatal(err)
		}
		if withFailure {
			disk.Fault.IsFull = true
			if store.Commit(long) == nil {
				t.Fatal("a commit succeeded on a full disk")
			}
			disk.Fault.IsFull = false
		}
		if err := store.Commit(short); err != nil {
			t.Fatal(err)
		}
		sizes[withFailure] = disk.Size("log-0")
	}
	if sizes[true] != sizes[false] {
		t.Errorf("%d bytes after a failed write, %d without one", sizes[true], sizes[false])
	}
}

// TestSpaceReservedForNextSlot: on a disk that other programs have filled, a store whose
// state doesn't grow goes on in the space of its own files: the log of the former epoch
// is kept until the next slot needs its space.
func TestSpaceReservedForNextSlot(t *testing.T) {
	for seed := uint64(0); seed < 20; seed++ {
		run := newFaultyRun(t)
		disk := run.disk
		steady := func(k uint64) {
			changes := []*schema.StoreChange{{Group: "g", Entries: []*schema.Entry{testEntry(k, 60)}, Snapshot: &schema.Snapshot{Index: max(k, 4) - 4}}}
			if err := run.commitChanges(k, changes); err != nil {
				t.Fatal(err)
			}
		}
		k := uint64(1)
		for ; k < 90+seed; k++ {
			steady(k)
		}
		disk.Fault.Capacity = disk.Used()
		slots := run.store.Stats().Slots
		for ; k < 400; k++ {
			steady(k)
		}
		if run.store.Stats().Slots < slots+3 {
			t.Fatalf("%d slots were written on a full disk", run.store.Stats().Slots-slots)
		}
		if err := run.reopen(rand.New(rand.NewPCG(seed, 4)), k); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}
