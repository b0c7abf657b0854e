package storage

import (
	"os"
	"path/filepath"
	"syscall"
)

// readOnlyDisk implements Disk for a data directory that must not be changed. Writes, such as
// the truncation of a torn tail, are kept in memory only.
type readOnlyDisk struct {
	path    string
	changed map[string][]byte // content, by name, of the files that were written to or truncated
}

// OpenReadOnly reads the store in the data directory of a stopped process and doesn't write to
// the directory. It returns a Corrupted error in the same cases as Open, and an IOFailed error
// if the directory is in use, contains no store or can't be read.
func OpenReadOnly(path string) (*Store, error) {
	lock, err := os.Open(filepath.Join(path, lockName))
	if err != nil {
		return nil, IOFailed.New("%s is no data directory of a store: its lock file can't be opened", path)
	}
	defer lock.Close()
	// The shared lock can't be acquired while a process holds the exclusive lock.
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_SH|syscall.LOCK_NB); err != nil {
		return nil, IOFailed.New("data directory %s is in use: stop the process that uses it, or query that process instead", path)
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, IOFailed.Wrap(err, "reading the data directory")
	}
	if !anyHasPrefix(entries, []string{slotPrefix, logPrefix}) {
		return nil, IOFailed.New("data directory %s contains no store", path)
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
