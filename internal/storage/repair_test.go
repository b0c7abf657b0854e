package storage_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"sparnotch/internal/schema"
	"sparnotch/internal/sim"
	"sparnotch/internal/storage"
)

// testBatch returns the changes of the k-th commit of a run. Every seventh batch is large, so
// that the log reaches its limit and slots are written as well.
func testBatch(k uint64) []*schema.StoreChange {
	size := 10
	if k%7 == 0 {
		size = 1_500
	}
	return []*schema.StoreChange{{Group: "g", Entries: []*schema.Entry{testEntry(k, size)}, Snapshot: &schema.Snapshot{Index: max(k, 4) - 4}}}
}

// lastIndex returns the index of the last entry of group g, or 0 if it has no entries.
func lastIndex(s *storage.Store) uint64 {
	group := s.State().Groups["g"]
	if group == nil || len(group.Entries) == 0 {
		return 0
	}
	return group.Entries[len(group.Entries)-1].Index
}

const faultyRunLogLimit = 2000 // lower bound of the log's size limit, in bytes

// faultyRun is a test run in which selected disk operations fail, each failed commit is
// retried until it succeeds, and power is lost at the end.
type faultyRun struct {
	disk         *sim.Disk
	store        *storage.Store
	acknowledged uint64 // number of the last commit that succeeded
	failures     int    // number of calls of Commit that failed
}

// newFaultyRun starts a run with an empty disk on which no operation fails yet.
func newFaultyRun(t *testing.T) *faultyRun {
	t.Helper()
	run := &faultyRun{disk: sim.NewDisk()}
	run.restart(t)
	return run
}

// restart reopens the store without a loss of power: the content of the page cache is kept.
func (f *faultyRun) restart(t *testing.T) {
	t.Helper()
	store, err := storage.OpenWithLogLimit(f.disk, faultyRunLogLimit)
	if err != nil {
		t.Fatal(err)
	}
	f.store = store
}

// commit makes the k-th commit of the run, with the changes of testBatch.
func (f *faultyRun) commit(k uint64) error { return f.commitChanges(k, testBatch(k)) }

// commitChanges commits changes as the k-th commit of the run. It retries a failed commit and
// returns an error after 12 failures.
func (f *faultyRun) commitChanges(k uint64, changes []*schema.StoreChange) error {
	for range 12 {
		if err := f.store.Commit(changes); err == nil {
			f.acknowledged = k
			return nil
		}
		f.failures++
	}
	return fmt.Errorf("commit %d failed 12 times", k)
}

// reopen ends all faults, cuts the power and opens the store. It returns an error if the store
// lacks an acknowledged entry or has an entry after the last requested one.
func (f *faultyRun) reopen(rng *rand.Rand, requested uint64) error {
	f.disk.Fault = sim.DiskFault{}
	f.disk.PowerCut(rng)
	store, err := storage.OpenWithLogLimit(f.disk, faultyRunLogLimit)
	if err != nil {
		return err
	}
	f.store = store
	if last := lastIndex(store); last < f.acknowledged || last > requested {
		return fmt.Errorf("commits up to %d were acknowledged and up to %d requested, but the last entry found is %d", f.acknowledged, requested, last)
	}
	return nil
}

// TestEachDiskCallFails checks that the store recovers from the failure of any call of the
// Disk, and of a second call while the commit is retried, and that acknowledged commits survive
// a loss of power afterwards.
func TestEachDiskCallFails(t *testing.T) {
	failures := 0
	for failAt := 1; failAt < 150; failAt++ {
		for retryFailAt := range 6 { // 0: the retry doesn't fail
			run := newFaultyRun(t)
			disk := run.disk
			disk.Fault.FailAt = failAt
			requested := uint64(0)
			for k := uint64(1); k <= 40; k++ {
				requested = k
				retried := run.failures == 1 && retryFailAt > 0
				if retried {
					disk.Fault.FailAt, retryFailAt = retryFailAt, 0
				}
				if err := run.commit(k); err != nil {
					t.Fatalf("disk call %d failed: %v", failAt, err)
				}
				// Power is lost soon after the failure, before the switch to a new slot would
				// hide a faulty repair.
				if run.failures > 0 && disk.Fault.FailAt == 0 && k%3 == uint64(failAt%3) {
					break
				}
			}
			failures += run.failures
			if err := run.reopen(rand.New(rand.NewPCG(uint64(failAt), uint64(retryFailAt))), requested); err != nil {
				t.Fatalf("disk call %d failed and power was lost later: %v", failAt, err)
			}
		}
	}
	if failures < 500 {
		t.Errorf("only %d commits failed in all runs, want at least 500", failures)
	}
}

// TestSyncAfterFailedSync checks that the store rewrites data whose sync failed. A later
// successful sync alone doesn't make this data durable, so it would be lost in a power cut.
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
		// For odd seeds the process restarts first. It then reads entries from the page cache
		// that aren't on the disk.
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

// TestFullDisk checks that commits fail on a full disk without a loss of data: durable entries
// can still be read, and once there is space, the failed batch can be committed and appears
// only once.
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
				t.Fatalf("the last entry that can be read is %d, want %d", lastIndex(run.store), seed+1)
			}
		}
		if seed%3 == 0 {
			// The process restarts while the disk is full. Open fails until the disk accepts
			// writes again.
			if _, err := storage.OpenWithLogLimit(disk, faultyRunLogLimit); err == nil {
				t.Fatal("a store was opened on a disk that accepts no writes")
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
			t.Fatalf("the indexes of the entries have gaps or duplicates: %v", entries)
		}
		if err := run.reopen(rand.New(rand.NewPCG(seed, 2)), seed+5); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// TestFailedSlotSwitch checks that nothing is appended to the current log once a switch to the
// next slot has failed, because the slot couldn't be written or synced. The new slot may still
// be found after a loss of power, and then everything that was appended to the old log after
// the switch would be lost.
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
			t.Fatal("no commit failed, so the store went on appending to the old log")
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

// TestTornTail checks that the remainder of a failed write is truncated before the next frame
// is appended. Otherwise, part of the remainder would follow a shorter frame.
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
		t.Errorf("the log has %d bytes after a failed write, but %d bytes without one", sizes[true], sizes[false])
	}
}

// TestSpaceReservedForNextSlot checks that a store whose state doesn't grow can go on when other
// programs have filled the disk. It then needs no more space than its own files take: the log
// of the previous epoch is kept until the next slot needs that space.
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
			t.Fatalf("only %d slots were written on a full disk, want at least 3", run.store.Stats().Slots-slots)
		}
		if err := run.reopen(rand.New(rand.NewPCG(seed, 4)), k); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}
