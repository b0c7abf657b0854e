package storage

import (
	"bytes"
	"encoding/binary"
)

// checkNoNewerLog refuses a store whose newer slot is unreadable though its log has
// begun: the log begins only after the slot was synced, so that slot was damaged later.
func (s *Store) checkNoNewerLog() error {
	other, err := readFile(s.disk, logName(s.epoch+1))
	if err != nil {
		return err
	}
	if frame, _, _ := parseFrame(other); frame != nil && frame.Epoch > s.epoch {
		return Corrupted.New("%s at offset 0: unreadable, yet %s continues it", slotName(s.epoch+1), logName(s.epoch+1))
	}
	return nil
}

// replay applies the log of the current slot and truncates its torn tail.
func (s *Store) replay() error {
	name := logName(s.epoch)
	data, err := readFile(s.disk, name)
	if err != nil {
		return err
	}
	offset, syncedEnd := 0, 0
	ends := map[uint64]int{}
	for offset < len(data) {
		frame, used, ok := parseFrame(data[offset:])
		if ok && frame.Epoch < s.epoch {
			break // of the log of two epochs ago
		}
		if !ok || frame.Epoch != s.epoch || frame.Seq != s.lastSeq+1 {
			// A later frame that knew this one as synced proves that it was acknowledged;
			// without such a proof it is a torn tail.
			if s.provesSynced(data[offset+1:], s.lastSeq+1) {
				return Corrupted.New("%s at offset %d: damaged before acknowledged content", name, offset)
			}
			break
		}
		s.state.applyAll(frame.Changes)
		s.lastSeq = frame.Seq
		offset += used
		ends[frame.Seq] = offset
		syncedEnd = max(syncedEnd, ends[frame.Synced])
	}
	s.syncedSeq = s.lastSeq
	s.logSize = int64(offset)
	if offset < len(data) || len(data) == 0 {
		if err := s.disk.Truncate(name, s.logSize); err != nil {
			return IOFailed.Wrap(err, "truncating %s at %d", name, offset)
		}
	}
	return s.rewriteUnsynced(name, data[:offset], syncedEnd)
}

// provesSynced tells whether the data holds a frame of this epoch that was written when
// a sequence number was known to be synced.
func (s *Store) provesSynced(data []byte, seq uint64) bool {
	var magic [4]byte
	binary.BigEndian.PutUint32(magic[:], frameMagic)
	for {
		at := bytes.Index(data, magic[:])
		if at < 0 {
			return false
		}
		if frame, _, ok := parseFrame(data[at:]); ok && frame.Epoch == s.epoch && frame.Synced >= seq {
			return true
		}
		data = data[at+1:]
	}
}

// rewriteSlot is rewriteUnsynced for the current slot. It isn't needed once its log
// has begun, which happens only after the slot was synced.
func (s *Store) rewriteSlot() error {
	name := slotName(s.epoch)
	data, err := readFile(s.disk, name)
	if err != nil {
		return err
	}
	return s.rewriteUnsynced(name, data, 0)
}

// rewriteUnsynced rewrites and syncs data[from:], which was read but isn't known to be
// durable (in a log, everything after the last frame that a later frame records as synced).
// A sync that failed before a restart may have left it only in the page cache, marked clean.
func (s *Store) rewriteUnsynced(name string, data []byte, from int) error {
	if from < len(data) {
		if err := s.disk.Write(name, int64(from), data[from:]); err != nil {
			return IOFailed.Wrap(err, "rewriting %s at %d", name, from)
		}
	}
	if err := s.disk.Sync(name); err != nil {
		return IOFailed.Wrap(err, "syncing %s", name)
	}
	return nil
}
