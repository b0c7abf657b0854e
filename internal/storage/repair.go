package storage

// tailCondition describes what is known about the end of the log. The values are ordered from
// intact to worst, and noteFailure keeps the worst one.
type tailCondition int

const (
	tailIntact tailCondition = iota
	// tailTorn means that a write failed. The data after the last complete frame must be
	// truncated, and the truncation synced, before another frame is appended.
	tailTorn
	// tailUncertain means that a sync failed. The page cache may mark data as clean that
	// never reached the disk, so a later successful sync proves nothing. No frame is
	// appended to this log any more; the committed state is written to the other slot.
	tailUncertain
)

// repair makes the store writable again after a failed commit. It doesn't rely on any data
// that a failed write or sync left in the files.
func (s *Store) repair() error {
	if s.tail == tailTorn {
		if err := s.truncateTail(); err != nil {
			s.tail = tailUncertain
			return err
		}
		s.tail = tailIntact
	}
	if s.tail == tailUncertain {
		if err := s.switchSlot(); err != nil {
			return err
		}
		s.tail = tailIntact
	}
	return nil
}

// truncateTail removes the data after the last complete frame of the log and syncs the log.
func (s *Store) truncateTail() error {
	if err := s.disk.Truncate(logName(s.epoch), s.logSize); err != nil {
		return err
	}
	return s.disk.Sync(logName(s.epoch))
}

// noteFailure records that a commit failed and in which condition it left the tail. After the
// second failed write in a row it records tailUncertain, because the disk may be full, and
// only a switch to a new slot can free space.
func (s *Store) noteFailure(failure tailCondition) {
	if s.lastCommitFailed && failure == tailTorn {
		failure = tailUncertain
	}
	s.tail, s.lastCommitFailed = max(s.tail, failure), true
}
