package storage_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
	"sparnotch/internal/sim"
	"sparnotch/internal/storage"
)

func testEntry(index uint64, size int) *schema.Entry {
	return &schema.Entry{Index: index, Term: 1, Data: make([]byte, size)}
}

// describe returns the state of group g as text.
func describe(s *storage.Store) string {
	group := s.State().Groups["g"]
	if group == nil {
		return "nothing"
	}
	text := fmt.Sprint("term ", group.HardState.GetTerm(), " snapshot ", group.Snapshot.GetIndex(), " entries")
	for _, entry := range group.Entries {
		text += fmt.Sprint(" ", entry.Index)
	}
	return text
}

// checkDiskContract checks the properties of a Disk implementation that a store relies on. open
// returns an empty disk; reopen returns the same disk after a restart of the process.
func checkDiskContract(open func() storage.Disk, reopen func(storage.Disk) storage.Disk) {
	disk := open()
	s, err := storage.Open(disk)
	So(err, ShouldBeNil)
	So(s.Commit([]*schema.StoreChange{{Group: "g", HardState: &schema.HardState{Term: 3, Vote: "x"}, Entries: []*schema.Entry{testEntry(1, 5), testEntry(2, 5), testEntry(3, 5)}}}), ShouldBeNil)
	So(s.Commit([]*schema.StoreChange{{Group: "g", Entries: []*schema.Entry{testEntry(2, 5)}}}), ShouldBeNil)
	So(describe(s), ShouldEqual, "term 3 snapshot 0 entries 1 2")
	disk = reopen(disk)
	s, err = storage.Open(disk)
	So(err, ShouldBeNil)
	So(describe(s), ShouldEqual, "term 3 snapshot 0 entries 1 2")
	So(s.Commit([]*schema.StoreChange{{Group: "g", Snapshot: &schema.Snapshot{Index: 1}}}), ShouldBeNil)
	So(s.Commit([]*schema.StoreChange{{Group: "h", HardState: &schema.HardState{Term: 1}}, {Group: "h", Removed: true}}), ShouldBeNil)
	// These commits are large enough for more than one switch of slots.
	for k := uint64(3); k < 40; k++ {
		So(s.Commit([]*schema.StoreChange{{Group: "g", Entries: []*schema.Entry{testEntry(k, 400_000)}, Snapshot: &schema.Snapshot{Index: k - 2}}}), ShouldBeNil)
	}
	So(s.Stats().Slots, ShouldBeGreaterThan, 2)
	disk = reopen(disk)
	s, err = storage.Open(disk)
	So(err, ShouldBeNil)
	So(describe(s), ShouldEqual, "term 3 snapshot 37 entries 38 39")
	So(s.State().Groups["h"], ShouldBeNil)
}

func TestDiskContract(t *testing.T) {
	Convey("A data directory fulfils the contract of Disk", t, func() {
		path := t.TempDir()
		var opened *storage.Dir
		open := func() storage.Disk {
			dir, err := storage.OpenDir(path)
			So(err, ShouldBeNil)
			opened = dir
			return dir
		}
		checkDiskContract(open, func(storage.Disk) storage.Disk {
			_, err := storage.OpenDir(path)
			So(err, ShouldNotBeNil) // the directory can be opened only once at a time
			opened.Close()
			return open()
		})
		opened.Close()
	})
	Convey("The simulated disk fulfils the contract of Disk, with a loss of power before each reopening", t, func() {
		rng := rand.New(rand.NewPCG(1, 1))
		checkDiskContract(func() storage.Disk { return sim.NewDisk() }, func(d storage.Disk) storage.Disk {
			d.(*sim.Disk).PowerCut(rng)
			return d
		})
	})
}

// TestPowerCutAtEveryWrite checks that after a loss of power at any disk operation, the store
// contains a prefix of the commits that includes every acknowledged commit.
func TestPowerCutAtEveryWrite(t *testing.T) {
	for operation := 1; operation < 120; operation++ {
		for seed := uint64(0); seed < 4; seed++ {
			disk := sim.NewDisk()
			rng := rand.New(rand.NewPCG(seed, uint64(operation)))
			s, err := storage.OpenWithLogLimit(disk, 2000)
			if err != nil {
				t.Fatal(err)
			}
			disk.OpsUntilPowerLoss = operation
			acknowledged, requested := uint64(0), uint64(0)
			for k := uint64(1); k <= 60; k++ {
				requested = k
				size := 10
				if k%7 == 0 {
					size = 1_500 // so that slots are switched as well
				}
				snapshot := &schema.Snapshot{Index: max(k, 4) - 4}
				if s.Commit([]*schema.StoreChange{{Group: "g", Entries: []*schema.Entry{testEntry(k, size)}, Snapshot: snapshot}}) != nil {
					break
				}
				acknowledged = k
			}
			disk.PowerCut(rng)
			s, err = storage.OpenWithLogLimit(disk, 2000)
			if err != nil {
				t.Fatalf("power lost at operation %d, seed %d: %v", operation, seed, err)
			}
			last := lastIndex(s)
			if last < acknowledged || last > requested {
				t.Fatalf("power lost at operation %d, seed %d: commits up to %d were acknowledged and up to %d requested, but the last entry found is %d", operation, seed, acknowledged, requested, last)
			}
			// The reopened store must accept writes.
			if err := s.Commit([]*schema.StoreChange{{Group: "g", Entries: []*schema.Entry{testEntry(last+1, 10)}}}); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// TestCorruptionIsNotTakenForTornTail checks that the corruption of any byte of acknowledged data
// is either reported or has no effect on the state.
func TestCorruptionIsNotTakenForTornTail(t *testing.T) {
	build := func() (*sim.Disk, *storage.Store) {
		disk := sim.NewDisk()
		s, err := storage.Open(disk)
		if err != nil {
			t.Fatal(err)
		}
		for k := uint64(1); k <= 20; k++ {
			if err := s.Commit([]*schema.StoreChange{{Group: "g", HardState: &schema.HardState{Term: k}, Entries: []*schema.Entry{testEntry(k, 30)}}}); err != nil {
				t.Fatal(err)
			}
		}
		return disk, s
	}
	disk, intact := build()
	size := disk.Size("log-0")
	reported := 0
	for offset := 0; offset < size; offset += 3 {
		disk, _ := build()
		disk.CorruptByte("log-0", offset)
		s, err := storage.Open(disk)
		if storage.IsCorrupted(err) {
			reported++
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		if describe(s) != describe(intact) {
			t.Fatalf("the corruption at byte %d of %d changed the state and wasn't reported: %s", offset, size, describe(s))
		}
	}
	if reported < size/3*9/10 {
		t.Fatalf("only %d of %d corruptions were reported, want at least 90%%", reported, size/3)
	}
}

func TestCorruptedSlot(t *testing.T) {
	Convey("A slot that is corrupted after its log was written to is reported", t, func() {
		disk := sim.NewDisk()
		s, err := storage.Open(disk)
		So(err, ShouldBeNil)
		for k := uint64(1); s.Stats().Slots < 1; k++ {
			So(s.Commit([]*schema.StoreChange{{Group: "g", Entries: []*schema.Entry{testEntry(k, 500_000)}}}), ShouldBeNil)
		}
		So(s.Commit([]*schema.StoreChange{{Group: "g", HardState: &schema.HardState{Term: 9}}}), ShouldBeNil)
		So(disk.CorruptByte("slot-1", 100), ShouldBeTrue)
		_, err = storage.Open(disk)
		So(storage.IsCorrupted(err), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "slot-1 at offset")
	})
	Convey("After Quarantine the store is empty, and the damaged files are kept under other names", t, func() {
		path := t.TempDir()
		dir, err := storage.OpenDir(path)
		So(err, ShouldBeNil)
		s, err := storage.Open(dir)
		So(err, ShouldBeNil)
		So(s.Commit([]*schema.StoreChange{{Identity: &schema.StoreIdentity{Id: "old"}}}), ShouldBeNil)
		So(dir.Quarantine("damaged-1"), ShouldBeNil)
		s, err = storage.Open(dir)
		So(err, ShouldBeNil)
		So(proto.Equal(s.State().Identity, &schema.StoreIdentity{}), ShouldBeTrue)
		_, err = os.Stat(filepath.Join(path, "log-0.damaged-1"))
		So(err, ShouldBeNil)
		dir.Close()
	})
}
