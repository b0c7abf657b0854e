// Package storage is the durable storage of one process: the hard state, snapshot and
// log of each Raft group that it replicates, and the node's identity.
//
// A State is the sum of StoreChanges, so that the same State.Apply serves memory, the
// log and the snapshot slots. On disk there are two slots, written in turn, each
// followed by a short log; format.go describes the files. A Store is the only writer of
// its Disk and isn't safe for concurrent use; the component that opened it owns it. It
// is built for disks that fail: torn writes, syncs that fail, and a full disk are
// repaired by the next Commit (repair.go), corruption is reported and never repaired.
package storage

import (
	"github.com/joomcode/errorx"

	"sparnotch/internal/schema"
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("storage")
	// Corrupted means that acknowledged content can't be read back; the message names
	// file and offset.
	Corrupted = Errors.NewType("damaged")
	// IOFailed means that an operation on files failed.
	IOFailed = Errors.NewType("failed")
	// DirRejected means that a data directory isn't this process's to use.
	DirRejected = Errors.NewType("foreign")
)

// IsCorrupted tells whether an error of Open means that the store can't be trusted.
func IsCorrupted(err error) bool { return err != nil && errorx.IsOfType(err, Corrupted) }

// IsDirRejected tells whether an error of OpenDir means that the directory isn't this
// process's to use.
func IsDirRejected(err error) bool { return err != nil && errorx.IsOfType(err, DirRejected) }

// Disk is the set of files that a store works on. Writes and truncations are durable
// only after a Sync of the same file.
type Disk interface {
	// Read returns a whole file; an error that is os.ErrNotExist if there is none.
	Read(name string) ([]byte, error)
	// Write writes at an offset in bytes; it creates the file if there is none.
	Write(name string, offset int64, data []byte) error
	// Truncate sets the length in bytes; it creates the file if there is none.
	Truncate(name string, size int64) error
	// Sync makes the file's content and its name durable.
	Sync(name string) error
}

// Stats count what a store has written since it was opened. They are part of the
// operators' state view.
type Stats struct {
	Bytes uint64 `json:"Bytes"`
	Syncs uint64 `json:"Syncs"`
	Slots uint64 `json:"Slots"` // snapshot slots written
}

// Store is one process's durable storage.
type Store struct {
	disk  Disk
	state *State
	stats Stats

	epoch     uint64 // of the slot in force
	lastSeq   uint64 // last frame of its log; 0: none
	syncedSeq uint64 // last frame known to be synced
	logSize   int64  // bytes of the log's frames

	logLimit    int64 // size in bytes at which the log is replaced by a slot
	minLogLimit int64

	tail             tailCondition
	lastCommitFailed bool
}

// defaultLogLimit is the log's limit in bytes while slots are smaller.
const defaultLogLimit = 4 << 20

// Open reads a store, or makes an empty one. A torn tail that was never synced is
// truncated; damage of acknowledged content is a Corrupted error; other failures are
// IOFailed.
func Open(disk Disk) (*Store, error) { return OpenWithLogLimit(disk, defaultLogLimit) }

// OpenWithLogLimit is Open with another least limit of the log, in bytes.
func OpenWithLogLimit(disk Disk, limit int64) (*Store, error) {
	s := &Store{disk: disk, state: newState(), logLimit: limit, minLogLimit: limit}
	slot, err := newestSlot(disk)
	if err != nil {
		return nil, err
	}
	if slot != nil {
		s.epoch = slot.Epoch
		s.state.applyAll(slot.Changes)
	}
	if err := s.checkNoNewerLog(); err != nil {
		return nil, err
	}
	if err := s.replay(); err != nil {
		return nil, err
	}
	if slot != nil && s.lastSeq == 0 {
		if err := s.rewriteSlot(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// State is what the store holds; callers must not change it.
func (s *Store) State() *State { return s.state }

// Stats counts what the store has written since it was opened.
func (s *Store) Stats() Stats { return s.stats }

// Commit makes changes durable and applies them to the State. After an error none of
// them is applied, though they may be found after a restart; the caller may commit the
// same ones again, and the store is repaired first.
func (s *Store) Commit(changes []*schema.StoreChange) error {
	if err := s.repair(); err != nil {
		s.lastCommitFailed = true
		return IOFailed.Wrap(err, "repairing the store")
	}
	if err := s.commit(changes); err != nil {
		return IOFailed.Wrap(err, "store")
	}
	s.lastCommitFailed = false
	return nil
}

func (s *Store) commit(changes []*schema.StoreChange) error {
	if err := s.appendFrame(changes); err != nil {
		s.noteFailure(tailTorn)
		return err
	}
	if err := s.disk.Sync(logName(s.epoch)); err != nil {
		s.noteFailure(tailUncertain)
		return err
	}
	s.stats.Syncs++
	s.syncedSeq = s.lastSeq
	s.state.applyAll(changes)
	// The changes are durable: a failure from here on is left to the next repair.
	if s.logSize > s.logLimit {
		if s.switchSlot() != nil {
			s.tail = tailUncertain
		}
		return nil
	}
	// An empty frame tells a later reader that the frame before it was synced, so that
	// corruption at the very end isn't taken for a torn write. It needs no sync: if it
	// is lost nothing is.
	if s.appendFrame(nil) != nil {
		s.tail = tailTorn
	}
	return nil
}

// appendFrame writes a frame to the log without syncing it.
func (s *Store) appendFrame(changes []*schema.StoreChange) error {
	data, err := encodeBlock(&schema.LogFrame{Epoch: s.epoch, Seq: s.lastSeq + 1, Synced: s.syncedSeq, Changes: changes}, frameMagic)
	if err != nil {
		return err
	}
	if err := s.disk.Write(logName(s.epoch), s.logSize, data); err != nil {
		return err
	}
	s.lastSeq++
	s.logSize += int64(len(data))
	s.stats.Bytes += uint64(len(data))
	return nil
}

// switchSlot writes the whole state into the other slot and starts its log.
func (s *Store) switchSlot() error {
	next := s.epoch + 1
	data, err := encodeBlock(&schema.SnapshotSlot{Epoch: next, Changes: s.state.asChanges()}, slotMagic)
	if err != nil {
		return err
	}
	// The log of two epochs ago goes first: none of it may follow the new slot. It also
	// frees the space that the slot may need.
	if err := s.disk.Truncate(logName(next), 0); err != nil {
		return err
	}
	if err := s.disk.Sync(logName(next)); err != nil {
		return err
	}
	if err := s.disk.Write(slotName(next), 0, data); err != nil {
		return err
	}
	if err := s.disk.Truncate(slotName(next), int64(len(data))); err != nil {
		return err
	}
	if err := s.disk.Sync(slotName(next)); err != nil {
		return err
	}
	s.epoch, s.lastSeq, s.syncedSeq, s.logSize = next, 0, 0, 0
	s.stats.Bytes += uint64(len(data))
	s.stats.Syncs += 2
	s.stats.Slots++
	// A log may grow to its slot's size: a much smaller limit would have the slot
	// written over and over.
	s.logLimit = max(int64(len(data)), s.minLogLimit)
	return nil
}
