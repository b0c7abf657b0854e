package modelcheck

import (
	"maps"
	"os"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// groupName is the name of the one group that is modelled: the system's own.
const groupName = clusterstate.Group

// disk is a machine's durable content.
type disk interface {
	content() *storage.State
	commit(changes []*schema.StoreChange) error
	// crash loses what wasn't synced, with a torn part of the changes that
	// were being written.
	crash(writing []*schema.StoreChange, draw func(n int) int) error
	clone() disk
}

// memoryDisk is a disk whose batches last whole or not at all; it is cheap to branch.
type memoryDisk struct{ stored *storage.State }

func (p *memoryDisk) content() *storage.State { return p.stored }

func (p *memoryDisk) commit(changes []*schema.StoreChange) error {
	next := &storage.State{Identity: p.stored.Identity, Groups: map[string]*storage.GroupState{}}
	for name, log := range p.stored.Groups {
		next.Groups[name] = cloneGroupState(log)
	}
	for _, change := range changes {
		next.Apply(change)
	}
	p.stored = next
	return nil
}

func (p *memoryDisk) crash([]*schema.StoreChange, func(int) int) error { return nil }

func (p *memoryDisk) clone() disk { return &memoryDisk{stored: p.stored} }

// cloneGroupState shares the records, but never the room behind them.
func cloneGroupState(log *storage.GroupState) *storage.GroupState {
	return &storage.GroupState{HardState: log.HardState, Snapshot: log.Snapshot, Entries: slices.Clip(log.Entries)}
}

// maxLogBytes is small, so that slots are turned often.
const maxLogBytes = 4 << 10

// fileDisk is the real store on files that a crash may tear.
type fileDisk struct {
	files *memoryFiles
	store *storage.Store
}

func newFileDisk() *fileDisk {
	s := &fileDisk{files: &memoryFiles{synced: map[string][]byte{}, current: map[string][]byte{}, writeBudget: -1}}
	if err := s.open(); err != nil {
		panic("modelcheck: an empty store doesn't open: " + err.Error())
	}
	return s
}

func (s *fileDisk) open() (err error) {
	s.store, err = storage.OpenWithLogLimit(s.files, maxLogBytes)
	return err
}

func (s *fileDisk) content() *storage.State { return s.store.State() }

func (s *fileDisk) commit(changes []*schema.StoreChange) error { return s.store.Commit(changes) }

func (s *fileDisk) clone() disk { panic("modelcheck: a store on files isn't branched") }

func (s *fileDisk) crash(writing []*schema.StoreChange, draw func(n int) int) error {
	if len(writing) > 0 && draw(2) == 0 {
		// The write was under way: it stops after so many bytes.
		s.files.writeBudget = draw(600)
		_ = s.store.Commit(writing)
	}
	s.files.crash(draw)
	return s.open()
}

// memoryFiles are a disk in memory. Unsynced writes may last or not, each file's in
// their order, the last of them torn.
type memoryFiles struct {
	synced, current map[string][]byte
	writes          []fileWrite // since the last sync of their file
	writeBudget     int         // bytes that still reach the disk; -1: any
}

type fileWrite struct {
	name   string
	offset int64 // -1: a cut
	data   []byte
	size   int64
}

func (f *memoryFiles) Read(name string) ([]byte, error) {
	data, isThere := f.current[name]
	if !isThere {
		return nil, os.ErrNotExist
	}
	return data, nil
}

func (f *memoryFiles) consume(size int) error {
	if f.writeBudget < 0 {
		return nil
	}
	if f.writeBudget < size {
		f.writeBudget = 0
		return os.ErrClosed
	}
	f.writeBudget -= size
	return nil
}

func (f *memoryFiles) Write(name string, offset int64, data []byte) error {
	w := fileWrite{name: name, offset: offset, data: slices.Clone(data)}
	err := f.consume(len(data))
	f.writes = append(f.writes, w)
	f.current[name] = w.apply(f.current[name])
	return err
}

func (f *memoryFiles) Truncate(name string, size int64) error {
	w := fileWrite{name: name, offset: -1, size: size}
	err := f.consume(1)
	f.writes = append(f.writes, w)
	f.current[name] = w.apply(f.current[name])
	return err
}

func (f *memoryFiles) Sync(name string) error {
	if err := f.consume(1); err != nil {
		return err
	}
	f.synced[name] = f.current[name]
	f.writes = slices.DeleteFunc(f.writes, func(w fileWrite) bool { return w.name == name })
	return nil
}

func (w fileWrite) apply(old []byte) []byte {
	if w.offset < 0 {
		return append(make([]byte, 0, w.size), old[:min(int64(len(old)), w.size)]...)[:w.size]
	}
	size := max(int64(len(old)), w.offset+int64(len(w.data)))
	changed := append(make([]byte, 0, size), old...)[:size]
	copy(changed[w.offset:], w.data)
	return changed
}

func (f *memoryFiles) crash(draw func(n int) int) {
	files := maps.Clone(f.synced)
	isStopped := map[string]bool{}
	for _, w := range f.writes {
		if isStopped[w.name] {
			continue
		}
		switch draw(3) {
		case 0:
			isStopped[w.name] = true
		case 1:
			if w.offset >= 0 {
				w.data = w.data[:draw(len(w.data)+1)]
			}
			files[w.name] = w.apply(files[w.name])
			isStopped[w.name] = true
		default:
			files[w.name] = w.apply(files[w.name])
		}
	}
	f.synced, f.current, f.writes, f.writeBudget = files, maps.Clone(files), nil, -1
}
