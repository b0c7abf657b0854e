package storage

// tailCondition is what is known of the end of the log.
type tailCondition int

const (
	tailIntact tailCondition = iota
	// tailTorn: a write failed. What stands after the last good frame must be truncated,
	// durably, before anything follows it.
	tailTorn
	// tailUncertain: a sync failed. The page cache may hold as clean what never reached
	// the disk, so another sync proves nothing. Nothing more is appended to this
	// log; the acknowledged state is written anew to the other slot.
	tailUncertain
)

// repair makes the store writable again after a failed commit. It relies on nothing
// that a failed write or sync left behind.
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

// truncateTail removes what follows the last good frame.
func (s *Store) truncateTail() error {
	if err := s.disk.Truncate(logName(s.epoch), s.logSize); err != nil {
		return err
	}
	return s.disk.Sync(logName(s.epoch))
}

// noteFailure records that a commit failed. A second failed write in a row may be for
// want of space, which only a new slot can free.
func (s *Store) noteFailure(failure tailCondition) {
	if s.lastCommitFailed && failure == tailTorn {
		failure = tailUncertain
	}
	s.tail, s.lastCommitFailed = max(s.tail, failure), true
}
