package storage

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

// lockName is the name of the file that a process locks while it uses the data directory.
const lockName = "lock"

// Dir implements Disk for a directory of the file system. It holds an exclusive lock on the
// directory until it is closed.
type Dir struct {
	path  string
	files map[string]*os.File
	lock  *os.File
}

// OpenDir creates the directory if it doesn't exist, and locks it. It returns a DirRejected
// error if the path isn't a readable directory, if the directory has files but none of a
// store, or if another process uses it; no file in it is changed then. Other failures are
// IOFailed errors.
func OpenDir(path string) (*Dir, error) {
	if err := checkIsStoreDir(path); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, IOFailed.Wrap(err, "creating the data directory")
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, IOFailed.Wrap(err, "opening the lock file of the data directory")
	}
	// If two processes used the same store, both would vote under its id.
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, DirRejected.New("data directory %s is in use by another process", path)
	}
	return &Dir{path: path, files: map[string]*os.File{}, lock: lock}, nil
}

// storeDirPrefixes are the prefixes of the file names by which a directory is recognized as
// usable for a store: the names of the store's files, and lost+found, which some file systems
// have in their root directory.
var storeDirPrefixes = []string{lockName, slotPrefix, logPrefix, "lost+found"}

// checkIsStoreDir returns a DirRejected error if the path isn't a directory, can't be read, or
// contains files but none that match storeDirPrefixes. A path that doesn't exist is accepted.
func checkIsStoreDir(path string) error {
	entries, err := os.ReadDir(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil
	case errors.Is(err, syscall.ENOTDIR):
		return DirRejected.New("data directory %s is not a directory", path)
	case errors.Is(err, os.ErrPermission):
		return DirRejected.New("data directory %s can't be read: permission denied", path)
	case err != nil:
		return IOFailed.Wrap(err, "reading the data directory")
	}
	if len(entries) > 0 && !anyHasPrefix(entries, storeDirPrefixes) {
		return DirRejected.New("data directory %s contains %s but no store: it may belong to another program", path, entries[0].Name())
	}
	return nil
}

// anyHasPrefix reports whether the name of any entry starts with any of the prefixes.
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

// Close closes the files and releases the lock on the directory.
func (d *Dir) Close() {
	for _, file := range d.files {
		file.Close()
	}
	d.lock.Close()
}

// file returns the open file of a name. The first call for a name opens the file and creates
// it if it doesn't exist.
func (d *Dir) file(name string) (*os.File, error) {
	if file := d.files[name]; file != nil {
		return file, nil
	}
	file, err := os.OpenFile(filepath.Join(d.path, name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	// Syncing a new file doesn't make its directory entry durable, so the directory is
	// synced as well.
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

// Quarantine appends a suffix to the names of the files of a damaged store. The node can
// then start with an empty store as a new member, and the damaged files are kept for analysis.
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
