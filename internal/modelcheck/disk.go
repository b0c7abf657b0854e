package modelcheck

import (
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// groupName is the name of the only group that is modelled, the one of the cluster state.
const groupName = clusterstate.GroupName

// disk is a machine's disk.
type disk interface {
	// content returns the durable state.
	content() *storage.State
	// commit makes changes durable.
	commit(changes []*schema.StoreChange) error
	// crash loses unsynced data, and may leave a part of the changes that were being written.
	crash(writing []*schema.StoreChange, draw func(n int) int) error
	clone() disk
}

// memoryDisk is a disk on which a batch is durable as a whole or not at all. It is cheap to
// clone.
type memoryDisk struct{ stored *storage.State }

func (d *memoryDisk) content() *storage.State { return d.stored }

func (d *memoryDisk) commit(changes []*schema.StoreChange) error {
	next := &storage.State{Identity: d.stored.Identity, Groups: map[string]*storage.GroupState{}}
	for name, log := range d.stored.Groups {
		next.Groups[name] = cloneGroupState(log)
	}
	for _, change := range changes {
		next.Apply(change)
	}
	d.stored = next
	return nil
}

func (d *memoryDisk) crash([]*schema.StoreChange, func(int) int) error { return nil }

func (d *memoryDisk) clone() disk { return &memoryDisk{stored: d.stored} }

// cloneGroupState returns a copy that shares the entries, but not the slice's spare capacity,
// so that an append to the copy doesn't overwrite entries of the original.
func cloneGroupState(log *storage.GroupState) *storage.GroupState {
	return &storage.GroupState{HardState: log.HardState, Snapshot: log.Snapshot, Entries: slices.Clip(log.Entries)}
}

// maxLogBytes limits a store's log. It is small, so that the store switches slots often.
const maxLogBytes = 4 << 10

// maxTornBytes limits how many bytes of an interrupted write reach the disk.
const maxTornBytes = 600

// fileDisk is a real store on files in memory; a crash may cut its unsynced writes short.
type fileDisk struct {
	files *memoryFiles
	store *storage.Store
}

func newFileDisk() *fileDisk {
	d := &fileDisk{files: &memoryFiles{synced: map[string][]byte{}, current: map[string][]byte{}, writeBudget: unlimited}}
	if err := d.open(); err != nil {
		panic("modelcheck: an empty store can't be opened: " + err.Error())
	}
	return d
}

func (d *fileDisk) open() (err error) {
	d.store, err = storage.OpenWithLogLimit(d.files, maxLogBytes)
	return err
}

func (d *fileDisk) content() *storage.State { return d.store.State() }

func (d *fileDisk) commit(changes []*schema.StoreChange) error { return d.store.Commit(changes) }

func (d *fileDisk) clone() disk { panic("modelcheck: a store on files can't be cloned") }

func (d *fileDisk) crash(writing []*schema.StoreChange, draw func(n int) int) error {
	if len(writing) > 0 && draw(2) == 0 {
		// The crash interrupts the write after some bytes.
		d.files.writeBudget = draw(maxTornBytes)
		_ = d.store.Commit(writing)
	}
	d.files.crash(draw)
	return d.open()
}
