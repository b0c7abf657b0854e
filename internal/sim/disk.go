package sim

import (
	"errors"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
)

// Disk is a simulated disk; it implements storage.Disk. When the power fails, any of the
// writes that weren't synced may be lost or torn, in whichever order they were made.
type Disk struct {
	files             map[string]*file
	OpsUntilPowerLoss int // operations that succeed before the power fails; negative: it doesn't fail
	Syncs             int // number of syncs that have succeeded
	Fault             DiskFault
}

// file is a file on a simulated disk.
type file struct {
	synced       []byte  // content that survives a power failure
	current      []byte  // content that reads return
	writes       []write // writes since the last sync
	isNameSynced bool    // whether its directory entry is durable
}

// write is one write of data, or a truncation if data is nil.
type write struct {
	offset     int64
	data       []byte
	truncateTo int64
}

// ErrPowerLost is returned by writes, truncations and syncs after the power has failed.
var ErrPowerLost = errors.New("sim: the power has failed")

// NewDisk returns an empty disk.
func NewDisk() *Disk { return &Disk{files: map[string]*file{}, OpsUntilPowerLoss: -1} }

// consumeOperation counts an operation. It returns ErrPowerLost if the power has failed.
func (d *Disk) consumeOperation() error {
	if d.OpsUntilPowerLoss == 0 {
		return ErrPowerLost
	}
	if d.OpsUntilPowerLoss > 0 {
		d.OpsUntilPowerLoss--
	}
	return nil
}

// open returns a file and creates it if it doesn't exist.
func (d *Disk) open(name string) *file {
	f := d.files[name]
	if f == nil {
		f = &file{}
		d.files[name] = f
	}
	return f
}

// Read returns a copy of a file's content, or os.ErrNotExist if there is no such file.
func (d *Disk) Read(name string) ([]byte, error) {
	f := d.files[name]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return append([]byte(nil), f.current...), nil
}

// apply returns a file's content after the write; it may modify the given data.
func (w write) apply(data []byte) []byte {
	if w.data == nil {
		for int64(len(data)) < w.truncateTo {
			data = append(data, 0)
		}
		return data[:w.truncateTo]
	}
	for int64(len(data)) < w.offset+int64(len(w.data)) {
		data = append(data, 0)
	}
	copy(data[w.offset:], w.data)
	return data
}

// Write writes data at an offset in bytes and creates the file if it doesn't exist. It
// returns ErrFull if the disk refuses the write; half of the data may then have been written.
func (d *Disk) Write(name string, offset int64, data []byte) error {
	if err := d.consumeOperation(); err != nil {
		return err
	}
	f := d.open(name)
	w := write{offset: offset, data: append([]byte{}, data...)}
	if d.refusesWrite(name, f, w) {
		return ErrFull
	}
	f.writes = append(f.writes, w)
	f.current = w.apply(f.current)
	return nil
}

// Truncate sets a file's length in bytes and creates the file if it doesn't exist. It returns
// ErrFull if a fault is set to fail this operation.
func (d *Disk) Truncate(name string, size int64) error {
	if err := d.consumeOperation(); err != nil {
		return err
	}
	f := d.open(name)
	w := write{truncateTo: size}
	if d.Fault.fails(name, false) {
		return ErrFull
	}
	f.writes = append(f.writes, w)
	f.current = w.apply(f.current)
	return nil
}

// Sync makes the writes to a file durable. If it returns ErrSync, only part of them may be
// durable, and no later sync makes the rest durable.
func (d *Disk) Sync(name string) error {
	if err := d.consumeOperation(); err != nil {
		return err
	}
	f := d.open(name)
	if d.Fault.fails(name, d.Fault.SyncFails) {
		return d.failSync(f)
	}
	for _, w := range f.writes {
		f.synced = w.apply(f.synced)
	}
	f.writes, f.isNameSynced = nil, true
	d.Syncs++
	return nil
}

// PowerCut simulates a power failure followed by a restart. Of each file's unsynced writes a
// random selection survives, each of them whole or torn.
func (d *Disk) PowerCut(rng *rand.Rand) {
	d.OpsUntilPowerLoss = -1
	names := slices.Sorted(maps.Keys(d.files))
	for _, name := range names {
		f := d.files[name]
		data := append([]byte(nil), f.synced...)
		isKept := f.isNameSynced
		for _, w := range f.writes {
			switch rng.IntN(3) {
			case 0:
				data, isKept = w.apply(data), true
			case 1:
				if w.data != nil {
					torn := write{offset: w.offset, data: w.data[:rng.IntN(len(w.data)+1)]}
					data, isKept = torn.apply(data), true
				}
			}
		}
		if !isKept {
			delete(d.files, name)
			continue
		}
		f.synced, f.current, f.writes, f.isNameSynced = data, append([]byte(nil), data...), nil, true
	}
}

// CorruptByte flips some bits of one byte of a file, as a failing disk does. It reports
// whether the file has such a byte.
func (d *Disk) CorruptByte(name string, offset int) bool {
	f := d.files[name]
	if f == nil || offset < 0 || offset >= len(f.current) {
		return false
	}
	f.current[offset] ^= 0x5a
	if offset < len(f.synced) {
		f.synced[offset] ^= 0x5a
	}
	return true
}

// Size returns a file's size in bytes, or 0 if there is no such file.
func (d *Disk) Size(name string) int {
	if f := d.files[name]; f != nil {
		return len(f.current)
	}
	return 0
}
