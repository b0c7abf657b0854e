package storage

import (
	"os"
	"path/filepath"
	"syscall"
)

// readOnlyDisk is the Disk of a data directory that isn't changed: what is written, as by
// the truncation of a torn tail, stays in memory.
type readOnlyDisk struct {
	path    string
	changed map[string][]byte // content of files that were written to
}

// OpenReadOnly reads the store in the data directory of a stopped process, and writes
// nothing there. The error is Corrupted as for Open; it is IOFailed if the directory is in
// use or holds no store.
func OpenReadOnly(path string) (*Store, error) {
	lock, err := os.Open(filepath.Join(path, lockName))
	if err != nil {
		return nil, IOFailed.New("%s is no data directory of a store", path)
	}
	defer lock.Close()
	// A shared lock fails while a process holds the exclusive one.
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_SH|syscall.LOCK_NB); err != nil {
		return nil, IOFailed.New("data directory %s is in use: stop its process first, or ask it", path)
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, IOFailed.Wrap(err, "data directory")
	}
	if !anyHasPrefix(entries, []string{slotPrefix, logPrefix}) {
		return nil, IOFailed.New("%s holds no store", path)
	}
	return Open(&readOnlyDisk{path: path, changed: map[string][]byte{}})
}

// Read implements Disk.
func (d *readOnlyDisk) Read(name string) ([]byte, error) {
	if data, ok := d.changed[name]; ok {
		return data, nil
	}
	return os.ReadFile(filepath.Join(d.path, name))
}

// Write implements Disk.
func (d *readOnlyDisk) Write(name string, offset int64, data []byte) error {
	old, err := d.Read(name)
	if err != nil && !os.IsNotExist(err) {
		return err
	}
	size := max(int64(len(old)), offset+int64(len(data)))
	changed := append(make([]byte, 0, size), old...)[:size]
	copy(changed[offset:], data)
	d.changed[name] = changed
	return nil
}

// Truncate implements Disk.
func (d *readOnlyDisk) Truncate(name string, size int64) error {
	old, err := d.Read(name)
	if err != nil && !os.IsNotExist(err) {
		return err
	}
	d.changed[name] = append(make([]byte, 0, size), old[:min(int64(len(old)), size)]...)[:size]
	return nil
}

// Sync implements Disk.
func (d *readOnlyDisk) Sync(string) error { return nil }
