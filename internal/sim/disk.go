package sim

import (
	"errors"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
)

// Disk is a simulated disk, and implements storage.Disk. When the power fails, what wasn't
// synced is lost wholly or in part, whatever the order of the writes.
type Disk struct {
	files             map[string]*file
	OpsUntilPowerLoss int // operations until the power fails; negative: it doesn't
	Syncs             int // that have succeeded
	Fault             DiskFault
}

// file is a file of a disk.
type file struct {
	synced       []byte
	current      []byte
	writes       []write // since the last sync
	isNameSynced bool    // its directory entry is durable
}

// write is one write of data, or where there is none a truncation.
type write struct {
	offset     int64
	data       []byte
	truncateTo int64
}

// ErrPowerLost is the error of every operation once the power has failed.
var ErrPowerLost = errors.New("sim: the power has failed")

// NewDisk makes an empty disk.
func NewDisk() *Disk { return &Disk{files: map[string]*file{}, OpsUntilPowerLoss: -1} }

// consumeOperation counts an operation; ErrPowerLost: it comes too late.
func (d *Disk) consumeOperation() error {
	if d.OpsUntilPowerLoss == 0 {
		return ErrPowerLost
	}
	if d.OpsUntilPowerLoss > 0 {
		d.OpsUntilPowerLoss--
	}
	return nil
}

// open finds a file, and creates it where there is none.
func (d *Disk) open(name string) *file {
	f := d.files[name]
	if f == nil {
		f = &file{}
		d.files[name] = f
	}
	return f
}

// Read gives a copy of a file's content; os.ErrNotExist: there is none.
func (d *Disk) Read(name string) ([]byte, error) {
	f := d.files[name]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return append([]byte(nil), f.current...), nil
}

// apply carries the write out on a file's content.
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

// Write writes at an offset in bytes, and creates the file where there is none. ErrFull: the
// disk refused, and half of the data may have been written.
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

// Truncate sets a file's length in bytes, and creates the file where there is none.
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

// Sync makes what was written to a file durable. ErrSync: part of it may be, and no later
// sync makes the rest so.
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

// PowerCut loses what wasn't synced: of each file's unsynced writes some survive, each whole
// or torn.
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

// CorruptByte flips bits of a file's byte, as a failing disk does; false: there is no such
// byte.
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

// Size is a file's size in bytes; 0: there is none.
func (d *Disk) Size(name string) int {
	if f := d.files[name]; f != nil {
		return len(f.current)
	}
	return 0
}
