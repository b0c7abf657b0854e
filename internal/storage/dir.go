package storage

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

// lockName is the file that a process locks while it uses the directory.
const lockName = "lock"

// Dir is the Disk of a real data directory. It holds an exclusive lock on the directory
// until it is closed.
type Dir struct {
	path  string
	files map[string]*os.File
	lock  *os.File
}

// OpenDir creates the directory if it doesn't exist and locks it. If it contains something
// other than a store, or is in use, the error is DirRejected and nothing is written to it;
// other failures are IOFailed.
func OpenDir(path string) (*Dir, error) {
	if err := checkOwned(path); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, IOFailed.Wrap(err, "data directory")
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, IOFailed.Wrap(err, "data directory")
	}
	// Two processes on one store would each vote under its id.
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, DirRejected.New("data directory %s is in use by another process", path)
	}
	return &Dir{path: path, files: map[string]*os.File{}, lock: lock}, nil
}

// ownedPrefixes begin the names of a store's files, and of what a file system itself
// has in its root.
var ownedPrefixes = []string{lockName, slotPrefix, logPrefix, "lost+found"}

// checkOwned rejects a path that isn't a directory, can't be read, or contains files but
// none of a store.
func checkOwned(path string) error {
	entries, err := os.ReadDir(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil
	case errors.Is(err, syscall.ENOTDIR):
		return DirRejected.New("data directory %s is no directory", path)
	case errors.Is(err, os.ErrPermission):
		return DirRejected.New("data directory %s can't be read: permission denied", path)
	case err != nil:
		return IOFailed.Wrap(err, "data directory")
	}
	if len(entries) > 0 && !anyHasPrefix(entries, ownedPrefixes) {
		return DirRejected.New("data directory %s holds %s and no store: it may belong to another program", path, entries[0].Name())
	}
	return nil
}

func anyHasPrefix(entries []os.DirEntry, prefixes []string) bool {
	for _, entry := range entries {
		for _, prefix := range prefixes {
			if strings.HasPrefix(entry.Name(), prefix) {
				return true
			}
		}
	}
	return false
}

// Close closes the files and releases the lock.
func (d *Dir) Close() {
	for _, file := range d.files {
		file.Close()
	}
	d.lock.Close()
}

// file opens a file once, and makes it if need be.
func (d *Dir) file(name string) (*os.File, error) {
	if file := d.files[name]; file != nil {
		return file, nil
	}
	file, err := os.OpenFile(filepath.Join(d.path, name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	// The name must be durable as well as the content.
	if err := d.syncDir(); err != nil {
		file.Close()
		return nil, err
	}
	d.files[name] = file
	return file, nil
}

func (d *Dir) syncDir() error {
	dir, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

// Read implements Disk.
func (d *Dir) Read(name string) ([]byte, error) { return os.ReadFile(filepath.Join(d.path, name)) }

// Write implements Disk.
func (d *Dir) Write(name string, offset int64, data []byte) error {
	file, err := d.file(name)
	if err != nil {
		return err
	}
	_, err = file.WriteAt(data, offset)
	return err
}

// Truncate implements Disk.
func (d *Dir) Truncate(name string, size int64) error {
	file, err := d.file(name)
	if err != nil {
		return err
	}
	return file.Truncate(size)
}

// Sync implements Disk.
func (d *Dir) Sync(name string) error {
	file, err := d.file(name)
	if err != nil {
		return err
	}
	return file.Sync()
}

// Quarantine renames the files of a damaged store by appending a suffix, so that the
// node can start with an empty store as a new member while the evidence is kept.
func (d *Dir) Quarantine(suffix string) error {
	for name, file := range d.files {
		file.Close()
		delete(d.files, name)
	}
	for _, name := range []string{slotName(0), slotName(1), logName(0), logName(1)} {
		path := filepath.Join(d.path, name)
		if err := os.Rename(path, path+"."+suffix); err != nil && !os.IsNotExist(err) {
			return IOFailed.Wrap(err, "renaming %s", name)
		}
	}
	return d.syncDir()
}
