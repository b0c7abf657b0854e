package gateway

import "sparnotch/internal/eventloop"

const (
	// usualApplyBound is when a new plan is in force everywhere, where the deployment
	// doesn't say.
	usualApplyBound = 2 * eventloop.Second
	// Three quarters of that bound are the lease; the rest is for what the state lags
	// behind when a follower tells of it, and for the way of the answer.
	leaseNumerator, leaseDenominator = 3, 4
	questionsPerLease                = 6  // a front asks at least so often while its lease lasts
	rememberedQuestions              = 32 // answers to older ones count no more
)

// stateLease says how long this front may answer from its copy of the cluster state.
// It runs from when the question was sent, less the age that the answer tells, so an
// answer that lay in a buffer, ours while we were frozen or the wire's while we were
// cut off, is as old as it is.
type stateLease struct {
	applyBound  eventloop.Micros // a plan is in force everywhere so long after it was taken
	confirmedAt eventloop.Micros // our copy held all that was committed then; 0: never known
	lastNumber  uint64           // of the newest question
	questions   []stateQuestion  // the newest last
}

type stateQuestion struct {
	number uint64
	sentAt eventloop.Micros
}

// newStateLease numbers questions above those of the process's former lives.
func newStateLease(boot uint64) stateLease {
	return stateLease{applyBound: usualApplyBound, lastNumber: boot << 32}
}

func (l *stateLease) duration() eventloop.Micros {
	return l.applyBound * leaseNumerator / leaseDenominator
}

// isValid tells whether the copy may be answered from.
func (l *stateLease) isValid(now eventloop.Micros) bool {
	return l.confirmedAt > 0 && now-l.confirmedAt <= l.duration()
}

// isHalfOver tells whether it is time to look for word wherever there may be some.
func (l *stateLease) isHalfOver(now eventloop.Micros) bool {
	return l.confirmedAt == 0 || now-l.confirmedAt > l.duration()/2
}

// isLost tells whether requests in hand are given up: a short while after the lease,
// so that a late answer doesn't cost them.
func (l *stateLease) isLost(now eventloop.Micros) bool {
	return l.confirmedAt == 0 || now-l.confirmedAt > l.applyBound
}

// question numbers a question that is sent now.
func (l *stateLease) question(now eventloop.Micros) uint64 {
	l.lastNumber++
	l.questions = append(l.questions, stateQuestion{l.lastNumber, now})
	if len(l.questions) > rememberedQuestions {
		l.questions = l.questions[1:]
	}
	return l.lastNumber
}

// answered takes the answer to a question: what it tells was all that was committed
// so long before it was sent.
func (l *stateLease) answered(number uint64, age eventloop.Micros) {
	for _, each := range l.questions {
		if each.number == number {
			l.confirmedAt = max(l.confirmedAt, each.sentAt-age)
		}
	}
}
