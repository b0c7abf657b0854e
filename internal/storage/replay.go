package storage

import (
	"bytes"
	"encoding/binary"
)

// checkNoNewerLog returns a Corrupted error if there is a log of a newer epoch than the
// current slot. A log is written only after its slot was synced, so the slot of that newer
// epoch must have been readable once and was damaged later.
func (s *Store) checkNoNewerLog() error {
	nextLog, err := readFile(s.disk, logName(s.epoch+1))
	if err != nil {
		return err
	}
	if frame, _, _ := parseFrame(nextLog); frame != nil && frame.Epoch > s.epoch {
		return Corrupted.New("%s at offset 0: the slot can't be read, although its log %s has been written", slotName(s.epoch+1), logName(s.epoch+1))
	}
	return nil
}

// replay applies the log of the current slot to the state, truncates a torn tail of the log
// and makes the frames durable that may not have been synced.
func (s *Store) replay() error {
	name := logName(s.epoch)
	data, err := readFile(s.disk, name)
	if err != nil {
		return err
	}
	offset, syncedEnd := 0, 0
	ends := map[uint64]int{} // offset of the end of each frame, by sequence number
	for offset < len(data) {
		frame, size, ok := parseFrame(data[offset:])
		if ok && frame.Epoch < s.epoch {
			break // a remaining frame of the log of two epochs ago
		}
		if !ok || frame.Epoch != s.epoch || frame.Seq != s.lastSeq+1 {
			// If a later frame records that the frame at this offset was synced, that frame
			// was acknowledged and is corrupted. Otherwise, the rest is a torn tail.
			if s.provesSynced(data[offset+1:], s.lastSeq+1) {
				return Corrupted.New("%s at offset %d: a frame is damaged, although a later frame records that it was synced", name, offset)
			}
			break
		}
		s.state.applyAll(frame.Changes)
		s.lastSeq = frame.Seq
		offset += size
		ends[frame.Seq] = offset
		syncedEnd = max(syncedEnd, ends[frame.Synced])
	}
	s.syncedSeq = s.lastSeq
	s.logSize = int64(offset)
	if offset < len(data) || len(data) == 0 {
		if err := s.disk.Truncate(name, s.logSize); err != nil {
			return IOFailed.Wrap(err, "truncating %s at offset %d", name, offset)
		}
	}
	return s.rewriteUnsynced(name, data[:offset], syncedEnd)
}

// provesSynced reports whether data contains a frame of the current epoch which records that
// the frame with this sequence number, or a later one, was synced. It searches at each
// occurrence of the magic number, because the frames before may be damaged.
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

// rewriteSlot calls rewriteUnsynced for the whole current slot. This isn't necessary if the
// log of the slot has frames, as these are written only after the slot was synced.
func (s *Store) rewriteSlot() error {
	name := slotName(s.epoch)
	data, err := readFile(s.disk, name)
	if err != nil {
		return err
	}
	return s.rewriteUnsynced(name, data, 0)
}

// rewriteUnsynced rewrites and syncs data[from:], which was read from the file but isn't known
// to be durable. In a log, this is everything after the last frame that a later frame records
// as synced. If a sync failed before a restart, the data may exist only in the page cache and
// be marked clean there, in which case a sync without a new write wouldn't write it to disk.
func (s *Store) rewriteUnsynced(name string, data []byte, from int) error {
	if from < len(data) {
		if err := s.disk.Write(name, int64(from), data[from:]); err != nil {
			return IOFailed.Wrap(err, "rewriting %s from offset %d", name, from)
		}
	}
	if err := s.disk.Sync(name); err != nil {
		return IOFailed.Wrap(err, "syncing %s", name)
	}
	return nil
}
