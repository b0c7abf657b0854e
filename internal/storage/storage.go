// Package storage provides the durable storage of one process: the hard state, the snapshot
// and the log of each Raft group that the process replicates, and the identity of the node.
//
// A State results from applying a sequence of StoreChanges. The log and the snapshot slots
// both consist of StoreChanges, so State.Apply is used for commits as well as for reading
// either kind of file. On disk there are two snapshot slots, which are written alternately,
// and a log of the changes after each of them; format.go describes the files.
//
// A Store must be the only writer of its Disk and isn't safe for concurrent use; it belongs
// to the component that opened it. It tolerates failing disks: after a torn write, a failed
// sync or a full disk, the next Commit repairs the store (repair.go). Corruption is reported
// and never repaired.
package storage

import (
	"github.com/joomcode/errorx"

	"sparnotch/internal/schema"
)

var (
	// Errors is the namespace of the errors of this package. The names of its error types,
	// such as "damaged", are printed in error messages and used in the documentation for
	// operators.
	Errors = errorx.NewNamespace("storage")
	// Corrupted is the type of the error that is returned if committed data can't be read
	// back; the message contains the file and the offset.
	Corrupted = Errors.NewType("damaged")
	// IOFailed is the type of the error that is returned if a file operation fails.
	IOFailed = Errors.NewType("failed")
	// DirRejected is the type of the error that is returned if this process must not use a
	// data directory: it may belong to another program, or another process uses it.
	DirRejected = Errors.NewType("foreign")
)

// IsCorrupted reports whether an error returned by Open is a Corrupted error, after which the
// store can't be used.
func IsCorrupted(err error) bool { return err != nil && errorx.IsOfType(err, Corrupted) }

// IsDirRejected reports whether an error returned by OpenDir is a DirRejected error, that is,
// whether this process must not use the directory.
func IsDirRejected(err error) bool { return err != nil && errorx.IsOfType(err, DirRejected) }

// Disk provides access to the files of a store. Writes and truncations are durable only
// after a Sync of the same file.
type Disk interface {
	// Read returns the whole content of a file. If the file doesn't exist, the error wraps
	// os.ErrNotExist.
	Read(name string) ([]byte, error)
	// Write writes data at an offset in bytes. It creates the file if it doesn't exist.
	Write(name string, offset int64, data []byte) error
	// Truncate sets the size of a file in bytes. It creates the file if it doesn't exist.
	Truncate(name string, size int64) error
	// Sync makes the content and the name of a file durable.
	Sync(name string) error
}

// Stats counts the writes of a store since it was opened. Operators see it in the state view
// of a process.
type Stats struct {
	Bytes uint64 `json:"Bytes"` // bytes written
	Syncs uint64 `json:"Syncs"` // successful syncs
	Slots uint64 `json:"Slots"` // snapshot slots written
}

// Store is the durable storage of one process.
type Store struct {
	disk  Disk
	state *State
	stats Stats

	epoch     uint64 // epoch of the current slot
	lastSeq   uint64 // sequence number of the last frame in the current log; 0 if it is empty
	syncedSeq uint64 // sequence number of the last frame that is known to be synced
	logSize   int64  // total size in bytes of the frames in the current log

	logLimit    int64 // size of the log, in bytes, above which the state is written to a new slot
	minLogLimit int64 // lower bound of logLimit, in bytes

	tail             tailCondition // condition of the end of the current log
	lastCommitFailed bool
}

// defaultLogLimit is the default of Store.minLogLimit, in bytes. If the current slot is larger,
// the size of the slot is the log's limit instead.
const defaultLogLimit = 4 << 20

// Open reads the store on a disk, or creates an empty one. It truncates a torn tail, which is
// the remainder of a write that was never synced. It returns a Corrupted error if committed
// data is damaged, and an IOFailed error if a file operation fails.
func Open(disk Disk) (*Store, error) { return OpenWithLogLimit(disk, defaultLogLimit) }

// OpenWithLogLimit does the same as Open, but with another lower bound, in bytes, for the
// log's size limit.
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

// State returns the committed state, which callers must not change.
func (s *Store) State() *State { return s.state }

// Stats returns the counts of the store's writes since it was opened.
func (s *Store) Stats() Stats { return s.stats }

// Commit makes changes durable and applies them to the State. If it returns an error, none
// of the changes has been applied, but they may still be found on disk after a restart. The
// caller may then commit the same changes again; the next Commit repairs the store first.
func (s *Store) Commit(changes []*schema.StoreChange) error {
	if err := s.repair(); err != nil {
		s.lastCommitFailed = true
		return IOFailed.Wrap(err, "repairing the store after a failed commit")
	}
	if err := s.commit(changes); err != nil {
		return IOFailed.Wrap(err, "committing changes to the store")
	}
	s.lastCommitFailed = false
	return nil
}

// commit appends changes to the log, syncs it and applies them. It expects an intact tail.
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
	// The changes are durable now, so a later failure isn't returned; the next Commit repairs
	// its consequences.
	if s.logSize > s.logLimit {
		if s.switchSlot() != nil {
			s.tail = tailUncertain
		}
		return nil
	}
	// An empty frame records that the frame before it was synced. Without it, replay would
	// take corruption of the last frame for a torn write. The empty frame needs no sync,
	// because no data is lost with it.
	if s.appendFrame(nil) != nil {
		s.tail = tailTorn
	}
	return nil
}

// appendFrame writes a frame with changes to the end of the log, without syncing the log.
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

// switchSlot writes the whole state to the other slot, which becomes the current one with an
// empty log.
func (s *Store) switchSlot() error {
	next := s.epoch + 1
	data, err := encodeBlock(&schema.SnapshotSlot{Epoch: next, Changes: s.state.asChanges()}, slotMagic)
	if err != nil {
		return err
	}
	// The log file of the next epoch still contains the log of two epochs ago. It is emptied
	// before the slot is written, as its frames must not be read as changes after the new
	// slot. This also frees space that the slot may need.
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
	// The log may grow to the size of its slot. With a much smaller limit, a large state
	// would be rewritten to a slot too often.
	s.logLimit = max(int64(len(data)), s.minLogLimit)
	return nil
}
