package storage

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

// readOnlyDisk is a data folder looked at without changing it: what opening a store
// would mend is mended in memory.
type readOnlyDisk struct {
	path    string
	changed map[string][]byte
}

// OpenReadOnly reads the store in a stopped process's data folder and writes nothing.
func OpenReadOnly(path string) (*Store, error) {
	lock, err := os.Open(filepath.Join(path, "lock"))
	if err != nil {
		return nil, IOFailed.New("%s is no data folder of a store", path)
	}
	defer lock.Close()
	// A shared lock fails while a process holds the folder for itself.
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_SH|syscall.LOCK_NB); err != nil {
		return nil, IOFailed.New("data folder %s is in use: stop its process first, or ask it", path)
	}
	g := &readOnlyDisk{path: path, changed: map[string][]byte{}}
	names, err := os.ReadDir(path)
	if err != nil {
		return nil, IOFailed.Wrap(err, "data folder")
	}
	found := false
	for _, name := range names {
		found = found || strings.HasPrefix(name.Name(), "slot-") || strings.HasPrefix(name.Name(), "log-")
	}
	if !found {
		return nil, IOFailed.New("%s holds no store", path)
	}
	return Open(g)
}

func (g *readOnlyDisk) Read(name string) ([]byte, error) {
	if data, ok := g.changed[name]; ok {
		return data, nil
	}
	return os.ReadFile(filepath.Join(g.path, name))
}

func (g *readOnlyDisk) Write(name string, offset int64, data []byte) error {
	old, err := g.Read(name)
	if err != nil && !os.IsNotExist(err) {
		return err
	}
	size := max(int64(len(old)), offset+int64(len(data)))
	changed := append(make([]byte, 0, size), old...)[:size]
	copy(changed[offset:], data)
	g.changed[name] = changed
	return nil
}

func (g *readOnlyDisk) Truncate(name string, size int64) error {
	old, err := g.Read(name)
	if err != nil && !os.IsNotExist(err) {
		return err
	}
	g.changed[name] = append(make([]byte, 0, size), old[:min(int64(len(old)), size)]...)[:size]
	return nil
}

func (g *readOnlyDisk) Sync(string) error { return nil }
