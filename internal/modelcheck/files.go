package modelcheck

import (
	"maps"
	"os"
	"slices"
)

const (
	unlimited  = -1 // value of memoryFiles.writeBudget
	truncation = -1 // value of fileWrite.offset
)

// memoryFiles implements storage.Disk in memory. After a crash a file holds its synced
// content and the first few of its unsynced writes, the last of which may be cut short.
type memoryFiles struct {
	synced, current map[string][]byte
	writes          []fileWrite // writes since the last sync of their file
	writeBudget     int         // bytes that may still be written without an error, or unlimited
}

// fileWrite is a write at an offset, or a truncation to a size.
type fileWrite struct {
	name   string
	offset int64 // truncation: the file is truncated to size
	data   []byte
	size   int64 // of a truncation
}

// Read returns a file's content, including unsynced writes.
func (f *memoryFiles) Read(name string) ([]byte, error) {
	data, found := f.current[name]
	if !found {
		return nil, os.ErrNotExist
	}
	return data, nil
}

// consume takes bytes from the write budget, and returns an error if it is too small.
func (f *memoryFiles) consume(size int) error {
	if f.writeBudget == unlimited {
		return nil
	}
	if f.writeBudget < size {
		f.writeBudget = 0
		return os.ErrClosed
	}
	f.writeBudget -= size
	return nil
}

// Write writes data at an offset. The write is recorded even if the write budget is too small,
// in which case Write returns an error.
func (f *memoryFiles) Write(name string, offset int64, data []byte) error {
	w := fileWrite{name: name, offset: offset, data: slices.Clone(data)}
	err := f.consume(len(data))
	f.writes = append(f.writes, w)
	f.current[name] = w.apply(f.current[name])
	return err
}

// Truncate shortens a file, or extends it by zeros, to a size in bytes.
func (f *memoryFiles) Truncate(name string, size int64) error {
	w := fileWrite{name: name, offset: truncation, size: size}
	err := f.consume(1)
	f.writes = append(f.writes, w)
	f.current[name] = w.apply(f.current[name])
	return err
}

// Sync makes a file's writes durable.
func (f *memoryFiles) Sync(name string) error {
	if err := f.consume(1); err != nil {
		return err
	}
	f.synced[name] = f.current[name]
	f.writes = slices.DeleteFunc(f.writes, func(w fileWrite) bool { return w.name == name })
	return nil
}

// apply returns a file's content after the write; the old content isn't changed.
func (w fileWrite) apply(old []byte) []byte {
	if w.offset == truncation {
		return append(make([]byte, 0, w.size), old[:min(int64(len(old)), w.size)]...)[:w.size]
	}
	size := max(int64(len(old)), w.offset+int64(len(w.data)))
	changed := append(make([]byte, 0, size), old...)[:size]
	copy(changed[w.offset:], w.data)
	return changed
}

// crash keeps all, the first few or none of each file's unsynced writes. The last write that
// is kept may be cut short.
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
			if w.offset != truncation {
				w.data = w.data[:draw(len(w.data)+1)]
			}
			files[w.name] = w.apply(files[w.name])
			isStopped[w.name] = true
		default:
			files[w.name] = w.apply(files[w.name])
		}
	}
	f.synced, f.current, f.writes, f.writeBudget = files, maps.Clone(files), nil, unlimited
}
