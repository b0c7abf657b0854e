package modelcheck

import (
	"maps"
	"os"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// group is the name of the one group that is modelled: the system's own.
const group = clusterstate.Group

// disk is a machine's durable content.
type disk interface {
	content() *storage.State
	commit(changes []*schema.StoreChange) error
	// crash loses what wasn't synced, with a torn part of the changes that
	// were being written.
	crash(writing []*schema.StoreChange, draw func(n int) int) error
	clone() disk
}

// pure is a disk whose batches last whole or not at all; it is cheap to branch.
type pure struct{ held *storage.State }

func (p *pure) content() *storage.State { return p.held }

func (p *pure) commit(changes []*schema.StoreChange) error {
	next := &storage.State{Identity: p.held.Identity, Groups: map[string]*storage.GroupState{}}
	for name, image := range p.held.Groups {
		next.Groups[name] = copyImage(image)
	}
	for _, change := range changes {
		next.Apply(change)
	}
	p.held = next
	return nil
}

func (p *pure) crash([]*schema.StoreChange, func(int) int) error { return nil }

func (p *pure) clone() disk { return &pure{held: p.held} }

// copyImage shares the records, but never the room behind them.
func copyImage(image *storage.GroupState) *storage.GroupState {
	return &storage.GroupState{HardState: image.HardState, Snapshot: image.Snapshot, Entries: slices.Clip(image.Entries)}
}

// logLimit is small, so that slots are turned often.
const logLimit = 4 << 10

// stored is the real store on files that a crash may tear.
type stored struct {
	files *files
	store *storage.Store
}

func newStored() *stored {
	s := &stored{files: &files{synced: map[string][]byte{}, now: map[string][]byte{}, room: -1}}
	if err := s.open(); err != nil {
		panic("modelcheck: an empty store doesn't open: " + err.Error())
	}
	return s
}

func (s *stored) open() (err error) {
	s.store, err = storage.OpenWithLogLimit(s.files, logLimit)
	return err
}

func (s *stored) content() *storage.State { return s.store.State() }

func (s *stored) commit(changes []*schema.StoreChange) error { return s.store.Commit(changes) }

func (s *stored) clone() disk { panic("modelcheck: a store on files isn't branched") }

func (s *stored) crash(writing []*schema.StoreChange, draw func(n int) int) error {
	if len(writing) > 0 && draw(2) == 0 {
		// The write was under way: it stops after so many bytes.
		s.files.room = draw(600)
		_ = s.store.Commit(writing)
	}
	s.files.crash(draw)
	return s.open()
}

// files are a disk in memory. Unsynced writes may last or not, each file's in
// their order, the last of them torn.
type files struct {
	synced, now map[string][]byte
	writes      []fileWrite // since the last sync of their file
	room        int         // bytes that still reach the disk; -1: any
}

type fileWrite struct {
	name   string
	offset int64 // -1: a cut
	data   []byte
	size   int64
}

func (f *files) Read(name string) ([]byte, error) {
	data, isThere := f.now[name]
	if !isThere {
		return nil, os.ErrNotExist
	}
	return data, nil
}

func (f *files) spend(size int) error {
	if f.room < 0 {
		return nil
	}
	if f.room < size {
		f.room = 0
		return os.ErrClosed
	}
	f.room -= size
	return nil
}

func (f *files) Write(name string, offset int64, data []byte) error {
	w := fileWrite{name: name, offset: offset, data: slices.Clone(data)}
	err := f.spend(len(data))
	f.writes = append(f.writes, w)
	f.now[name] = w.apply(f.now[name])
	return err
}

func (f *files) Truncate(name string, size int64) error {
	w := fileWrite{name: name, offset: -1, size: size}
	err := f.spend(1)
	f.writes = append(f.writes, w)
	f.now[name] = w.apply(f.now[name])
	return err
}

func (f *files) Sync(name string) error {
	if err := f.spend(1); err != nil {
		return err
	}
	f.synced[name] = f.now[name]
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

func (f *files) crash(draw func(n int) int) {
	files := maps.Clone(f.synced)
	isOver := map[string]bool{}
	for _, w := range f.writes {
		if isOver[w.name] {
			continue
		}
		switch draw(3) {
		case 0:
			isOver[w.name] = true
		case 1:
			if w.offset >= 0 {
				w.data = w.data[:draw(len(w.data)+1)]
			}
			files[w.name] = w.apply(files[w.name])
			isOver[w.name] = true
		default:
			files[w.name] = w.apply(files[w.name])
		}
	}
	f.synced, f.now, f.writes, f.room = files, maps.Clone(files), nil, -1
}
