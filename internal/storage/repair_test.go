package storage_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"sparnotch/internal/schema"
	"sparnotch/internal/sim"
	"sparnotch/internal/storage"
)

// testBatch is the k-th of a run: now and then a large one, so that slots are
// written too.
func testBatch(k uint64) []*schema.StoreChange {
	size := 10
	if k%7 == 0 {
		size = 1_500
	}
	return []*schema.StoreChange{{Group: "g", Entries: []*schema.Entry{testEntry(k, size)}, Snapshot: &schema.Snapshot{Index: max(k, 4) - 4}}}
}

func lastIndex(s *storage.Store) uint64 {
	image := s.State().Groups["g"]
	if image == nil || len(image.Entries) == 0 {
		return 0
	}
	return image.Entries[len(image.Entries)-1].Index
}

// faultyRun is a run in which chosen operations fail, each commit is tried again
// until it succeeds, and the power goes at the end.
type faultyRun struct {
	disk         *sim.Disk
	store        *storage.Store
	acknowledged uint64
	failures     int
}

func (f *faultyRun) commit(k uint64) error {
	for range 12 {
		if err := f.store.Commit(testBatch(k)); err == nil {
			f.acknowledged = k
			return nil
		}
		f.failures++
	}
	return fmt.Errorf("commit %d never succeeded", k)
}

// reopen loses the power and looks at what is there.
func (f *faultyRun) reopen(rng *rand.Rand, requested uint64) error {
	f.disk.Fault = sim.DiskFault{}
	f.disk.PowerCut(rng)
	store, err := storage.OpenWithLogLimit(f.disk, 2000)
	if err != nil {
		return err
	}
	f.store = store
	if last := lastIndex(store); last < f.acknowledged || last > requested {
		return fmt.Errorf("acknowledged to %d, asked for to %d, found to %d", f.acknowledged, requested, last)
	}
	return nil
}

// TestEachDiskCallFails: whichever call to the file system fails, once or twice
// within a commit, the store goes on, and what was acknowledged is there after a
// loss of power.
func TestEachDiskCallFails(t *testing.T) {
	failures := 0
	for at := 1; at < 150; at++ {
		for gap := range 6 {
			disk := sim.NewDisk()
			store, err := storage.OpenWithLogLimit(disk, 2000)
			if err != nil {
				t.Fatal(err)
			}
			run := &faultyRun{disk: disk, store: store}
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
				// The power goes soon after the failure: what a later slot would
				// have mended mustn't be needed.
				if run.failures > 0 && disk.Fault.FailAt == 0 && k%3 == uint64(at%3) {
					break
				}
			}
			failures += run.failures
			if err := run.reopen(rand.New(rand.NewPCG(uint64(at), uint64(gap))), requested); err != nil {
				t.Fatalf("call %d failed, then the power went: %v", at, err)
			}
		}
	}
	if failures < 500 {
		t.Errorf("only %d commits failed", failures)
	}
}

// TestSyncAfterFailedSync: a sync that follows a failed one proves nothing of
// what the failed one should have kept.
func TestSyncAfterFailedSync(t *testing.T) {
	for seed := uint64(0); seed < 40; seed++ {
		rng := rand.New(rand.NewPCG(seed, 1))
		disk := sim.NewDisk()
		store, err := storage.OpenWithLogLimit(disk, 2000)
		if err != nil {
			t.Fatal(err)
		}
		run := &faultyRun{disk: disk, store: store}
		for k := uint64(1); k <= seed%9+1; k++ {
			if err := run.commit(k); err != nil {
				t.Fatal(err)
			}
		}
		next := run.acknowledged + 1
		disk.Fault.SyncFails = true
		for range 3 {
			if store.Commit(testBatch(next)) == nil {
				t.Fatal("a batch was acknowledged though every sync fails")
			}
		}
		disk.Fault.SyncFails = false
		// In this life, or in the next one, which reads from memory what the disk
		// doesn't hold.
		if seed%2 == 1 {
			if run.store, err = storage.OpenWithLogLimit(disk, 2000); err != nil {
				t.Fatal(err)
			}
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

// TestFullDisk: a disk without room takes nothing and loses nothing; what is
// durable can be read, and once there is room the same batch is taken, and not
// twice.
func TestFullDisk(t *testing.T) {
	for seed := uint64(0); seed < 40; seed++ {
		disk := sim.NewDisk()
		store, err := storage.OpenWithLogLimit(disk, 2000)
		if err != nil {
			t.Fatal(err)
		}
		run := &faultyRun{disk: disk, store: store}
		for k := uint64(1); k <= seed+1; k++ {
			if err := run.commit(k); err != nil {
				t.Fatal(err)
			}
		}
		disk.Fault.IsFull = true
		for range 5 {
			if store.Commit(testBatch(seed+2)) == nil {
				t.Fatal("a full disk took a batch")
			}
			if lastIndex(store) != seed+1 {
				t.Fatalf("what was durable reads as %d of %d", lastIndex(store), seed+1)
			}
		}
		if seed%3 == 0 {
			// Killed meanwhile: a full disk is opened only once it takes writes.
			if _, err := storage.OpenWithLogLimit(disk, 2000); err == nil {
				t.Fatal("a store was opened that takes no writes")
			}
			disk.Fault.IsFull = false
			if run.store, err = storage.OpenWithLogLimit(disk, 2000); err != nil {
				t.Fatal(err)
			}
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

// TestFailedSlotSwitch: while the next slot can't be written, or can't be known to
// last, the log it would replace takes nothing more: were that slot found after
// a loss of power, all that followed in the old log would be gone.
func TestFailedSlotSwitch(t *testing.T) {
	for seed := uint64(0); seed < 40; seed++ {
		disk := sim.NewDisk()
		store, err := storage.OpenWithLogLimit(disk, 2000)
		if err != nil {
			t.Fatal(err)
		}
		run := &faultyRun{disk: disk, store: store}
		disk.Fault = sim.DiskFault{SyncFails: seed%2 == 0, IsFull: seed%2 == 1, Prefix: "slot-"}
		requested := uint64(0)
		for k := uint64(1); k <= 30+seed; k++ {
			requested = k
			if run.commit(k) != nil {
				break
			}
		}
		if run.failures == 0 {
			t.Fatal("the log went on for ever")
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

// TestTornTail: what a failed write left behind is cut before anything follows,
// so that nothing of it stands after a shorter frame.
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
				t.Fatal("a full disk took a batch")
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

// TestSpaceReservedForNextSlot: on a disk that others have filled up, a store
// whose content doesn't grow goes on for ever in the room that its own files
// hold: the log before last is kept until the next slot needs its room.
func TestSpaceReservedForNextSlot(t *testing.T) {
	for seed := uint64(0); seed < 20; seed++ {
		disk := sim.NewDisk()
		store, err := storage.OpenWithLogLimit(disk, 2000)
		if err != nil {
			t.Fatal(err)
		}
		run := &faultyRun{disk: disk, store: store}
		steady := func(k uint64) {
			run.mustCommit(t, []*schema.StoreChange{{Group: "g", Entries: []*schema.Entry{testEntry(k, 60)}, Snapshot: &schema.Snapshot{Index: max(k, 4) - 4}}})
			run.acknowledged = k
		}
		k := uint64(1)
		for ; k < 90+seed; k++ {
			steady(k)
		}
		disk.Fault.Capacity = disk.Used()
		turned := store.Stats().Slots
		for ; k < 400; k++ {
			steady(k)
		}
		if store.Stats().Slots < turned+3 {
			t.Fatalf("%d slots were written on a full disk", store.Stats().Slots-turned)
		}
		if err := run.reopen(rand.New(rand.NewPCG(seed, 4)), k); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// mustCommit commits until that succeeds.
func (f *faultyRun) mustCommit(t *testing.T, changes []*schema.StoreChange) {
	t.Helper()
	for range 12 {
		if f.store.Commit(changes) == nil {
			return
		}
		f.failures++
	}
	t.Fatal("a commit never succeeded")
}
