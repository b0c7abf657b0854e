package storage

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/joomcode/errorx"
)

// Dir is the real disk: one data folder, held by one process at a time.
type Dir struct {
	path  string
	files map[string]*os.File
	lock  *os.File
}

// OpenDir makes the folder if need be and locks it. One that isn't ours, or
// is in use, is an error of type Foreign, and nothing is written there.
func OpenDir(path string) (*Dir, error) {
	if err := checkOwned(path); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, IOFailed.Wrap(err, "data folder")
	}
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, IOFailed.Wrap(err, "data folder")
	}
	// Two processes on one store would each vote in its name.
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, DirRejected.New("data folder %s is in use by another process", path)
	}
	return &Dir{path: path, files: map[string]*os.File{}, lock: lock}, nil
}

// ownedPrefixes begin the names of a store's files; what a file system itself puts
// into its root is nobody's.
var ownedPrefixes = []string{"lock", "slot-", "log-", "lost+found"}

// checkOwned refuses what is no folder, can't be looked into, or holds files and
// among them none of a store's.
func checkOwned(path string) error {
	entries, err := os.ReadDir(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil
	case errors.Is(err, syscall.ENOTDIR):
		return DirRejected.New("data folder %s: is no folder", path)
	case errors.Is(err, os.ErrPermission):
		return DirRejected.New("data folder %s: may not be read by this process", path)
	case err != nil:
		return IOFailed.Wrap(err, "data folder")
	}
	for _, entry := range entries {
		for _, prefix := range ownedPrefixes {
			if strings.HasPrefix(entry.Name(), prefix) {
				return nil
			}
		}
	}
	if len(entries) > 0 {
		return DirRejected.New("data folder %s holds %s and no store: is it somebody else's?", path, entries[0].Name())
	}
	return nil
}

// IsDirRejected tells whether an error of OpenDir means that the folder isn't
// this process's to use.
func IsDirRejected(err error) bool { return err != nil && errorx.IsOfType(err, DirRejected) }

// Close lets the folder go.
func (f *Dir) Close() {
	for _, file := range f.files {
		file.Close()
	}
	f.lock.Close()
}

func (f *Dir) file(name string) (*os.File, error) {
	if file := f.files[name]; file != nil {
		return file, nil
	}
	file, err := os.OpenFile(filepath.Join(f.path, name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	// The name itself must last as well as the content.
	if err := f.syncDir(); err != nil {
		file.Close()
		return nil, err
	}
	f.files[name] = file
	return file, nil
}

func (f *Dir) syncDir() error {
	dir, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

func (f *Dir) Read(name string) ([]byte, error) { return os.ReadFile(filepath.Join(f.path, name)) }

func (f *Dir) Write(name string, offset int64, data []byte) error {
	file, err := f.file(name)
	if err != nil {
		return err
	}
	_, err = file.WriteAt(data, offset)
	return err
}

// Truncate sets a file to a length in bytes.
func (f *Dir) Truncate(name string, size int64) error {
	file, err := f.file(name)
	if err != nil {
		return err
	}
	return file.Truncate(size)
}

// Sync returns when the file's content is durable.
func (f *Dir) Sync(name string) error {
	file, err := f.file(name)
	if err != nil {
		return err
	}
	return file.Sync()
}

// Quarantine moves a damaged store's files aside, so that the machine comes back
// as a new member while the evidence is kept.
func (f *Dir) Quarantine(suffix string) error {
	for name, file := range f.files {
		file.Close()
		delete(f.files, name)
	}
	for _, name := range []string{"slot-0", "slot-1", "log-0", "log-1"} {
		path := filepath.Join(f.path, name)
		if err := os.Rename(path, path+"."+suffix); err != nil && !os.IsNotExist(err) {
			return IOFailed.Wrap(err, "retiring %s", name)
		}
	}
	return f.syncDir()
}
