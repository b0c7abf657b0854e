package storage

import (
	"os"
	"path/filepath"
	"syscall"
)

// Folder is the real disk: one data folder, held by one process at a time.
type Folder struct {
	path  string
	files map[string]*os.File
	lock  *os.File
}

// OpenFolder makes the folder if need be and locks it.
func OpenFolder(path string) (*Folder, error) {
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
		return nil, Failed.New("data folder %s is in use by another process", path)
	}
	return &Folder{path: path, files: map[string]*os.File{}, lock: lock}, nil
}

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
