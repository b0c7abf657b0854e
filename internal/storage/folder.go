package storage

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/joomcode/errorx"
)

// Folder is the real disk: one data folder, held by one process at a time.
type Folder struct {
	path  string
	files map[string]*os.File
	lock  *os.File
}

// OpenFolder makes the folder if need be and locks it. One that isn't ours, or
// is in use, is an error of type Foreign, and nothing is written there.
func OpenFolder(path string) (*Folder, error) {
	if err := checkOurs(path); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, Failed.Wrap(err, "data folder")
	}
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, Failed.Wrap(err, "data folder")
	}
	// Two processes on one store would each vote in its name.
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, Foreign.New("data folder %s is in use by another process", path)
	}
	return &Folder{path: path, files: map[string]*os.File{}, lock: lock}, nil
}

// ourNames begin the names of a store's files; what a file system itself puts
// into its root is nobody's.
var ourNames = []string{"lock", "slot-", "log-", "lost+found"}

// checkOurs refuses what is no folder, can't be looked into, or holds files and
// among them none of a store's.
func checkOurs(path string) error {
	entries, err := os.ReadDir(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil
	case errors.Is(err, syscall.ENOTDIR):
		return Foreign.New("data folder %s: is no folder", path)
	case errors.Is(err, os.ErrPermission):
		return Foreign.New("data folder %s: may not be read by this process", path)
	case err != nil:
		return Failed.Wrap(err, "data folder")
	}
	for _, entry := range entries {
		for _, ours := range ourNames {
			if strings.HasPrefix(entry.Name(), ours) {
				return nil
			}
		}
	}
	if len(entries) > 0 {
		return Foreign.New("data folder %s holds %s and no store: is it somebody else's?", path, entries[0].Name())
	}
	return nil
}

// IsForeign tells whether an error of OpenFolder means that the folder isn't
// this process's to use.
func IsForeign(err error) bool { return err != nil && errorx.IsOfType(err, Foreign) }

// Close lets the folder go.
func (f *Folder) Close() {
	for _, file := range f.files {
		file.Close()
	}
	f.lock.Close()
}

func (f *Folder) file(name string) (*os.File, error) {
	if file := f.files[name]; file != nil {
		return file, nil
	}
	file, err := os.OpenFile(filepath.Join(f.path, name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	// The name itself must last as well as the content.
	if err := f.syncFolder(); err != nil {
		file.Close()
		return nil, err
	}
	f.files[name] = file
	return file, nil
}

func (f *Folder) syncFolder() error {
	folder, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

func (f *Folder) Read(name string) ([]byte, error) { return os.ReadFile(filepath.Join(f.path, name)) }

func (f *Folder) Write(name string, offset int64, data []byte) error {
	file, err := f.file(name)
	if err != nil {
		return err
	}
	_, err = file.WriteAt(data, offset)
	return err
}

// Cut sets a file to a length in bytes.
func (f *Folder) Cut(name string, size int64) error {
	file, err := f.file(name)
	if err != nil {
		return err
	}
	return file.Truncate(size)
}

// Sync returns when the file's content is durable.
func (f *Folder) Sync(name string) error {
	file, err := f.file(name)
	if err != nil {
		return err
	}
	return file.Sync()
}

// Retire moves a damaged store's files aside, so that the machine comes back
// as a new member while the evidence is kept.
func (f *Folder) Retire(suffix string) error {
	for name, file := range f.files {
		file.Close()
		delete(f.files, name)
	}
	for _, name := range []string{"slot-0", "slot-1", "log-0", "log-1"} {
		path := filepath.Join(f.path, name)
		if err := os.Rename(path, path+"."+suffix); err != nil && !os.IsNotExist(err) {
			return Failed.Wrap(err, "retiring %s", name)
		}
	}
	return f.syncFolder()
}
