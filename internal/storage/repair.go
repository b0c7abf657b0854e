package storage

// tail is what is known of the end of the log.
type tailCondition int

const (
	tailIntact tailCondition = iota
	// A write failed: what stands after the last good frame is cut off, and that
	// must last, before anything follows it.
	tailTorn
	// A sync failed: the system may hold as clean what never reached the disk, so
	// syncing again proves nothing. Nothing of this log is written on; all that
	// was acknowledged goes, as new writes, into the other slot.
	tailUncertain
)

// repair makes the store writable again after a failed commit. It relies on
// nothing that a failed write or sync left behind.
func (s *Store) repair() error {
	if s.tail == tailTorn {
		if err := s.truncateTail(); err != nil {
			s.tail = tailUncertain
			return err
		}
		s.tail = tailIntact
	}
	if s.tail == tailUncertain {
		// It cuts the log before last first, so that a full disk has some room.
		if err := s.switchSlot(); err != nil {
			return err
		}
		s.tail = tailIntact
	}
	return nil
}

// truncateTail cuts the log where the last frame that counts ends.
func (s *Store) truncateTail() error {
	if err := s.disk.Truncate(logName(s.epoch), s.logSize); err != nil {
		return err
	}
	return s.disk.Sync(logName(s.epoch))
}

// noteFailure notes that a commit failed. A second failure to write in a row may be
// for want of room, which only the next slot can bring.
func (s *Store) noteFailure(failure tailCondition) {
	if s.lastCommitFailed && failure == tailTorn {
		failure = tailUncertain
	}
	s.tail, s.lastCommitFailed = max(s.tail, failure), true
}

// rewriteSlot is rewrite for the slot in force.
func (s *Store) rewriteSlot() error {
	name := slotName(s.epoch)
	data, err := readFile(s.disk, name)
	if err != nil {
		return err
	}
	return s.rewriteUnsynced(name, data, 0)
}

// rewriteUnsynced writes once more what was read and isn't known to last: a failed sync
// in a former life may have left it in the system's memory alone, marked as
// written. Of a log the frames that no later one knew as synced; of a slot all,
// unless its log has begun, which it does only after the slot was synced.
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
