package agent

import (
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func (t *Table) issue(now eventloop.Micros, l *life, call Call, out eventloop.Effects) uint64 {
	t.number++
	call.Number, call.Worker, call.Address, call.Fence = t.number, l.worker, l.beat.Address, l.fence
	p := &pending{act: call.Act, key: runKey{call.Task, call.Attempt}, sent: now, fence: l.fence, wait: call.Wait}
	if call.Until > 0 {
		p.held = t.couldHold(now, l)
		l.heldOut = max(l.heldOut, l.clockAt+(call.Until-l.clock)*50/49+holdSlack)
	}
	// An order or its answer that is lost costs as long as it is waited for, and
	// a second one does no harm.
	call.Patience = min(patientBase+patientFold*l.slowest, patientMost)
	l.calls[call.Number] = p
	out.Notify("caller", call)
	return call.Number
}

// expire takes calls as silent whose replies never came.
func (t *Table) expire(now eventloop.Micros) {
	if t.life == nil {
		return
	}
	var lost []uint64
	for number, p := range t.life.calls {
		if now-p.sent > p.wait+callSpan {
			lost = append(lost, number)
		}
	}
	slices.Sort(lost)
	for _, number := range lost {
		t.replied(now, Reply{Number: number, Verdict: Silent})
	}
}

func (t *Table) replied(now eventloop.Micros, m Reply) {
	l := t.life
	if l == nil || l.isOver || l.calls[m.Number] == nil {
		return
	}
	p := l.calls[m.Number]
	delete(l.calls, m.Number)
	t.number++
	if m.Verdict == OtherLife {
		t.lifeOver(l)
		return
	}
	t.sample(now, l, m.Clock)
	switch {
	case m.Verdict == Silent:
		l.lostAt = now
	case p.wait == 0:
		l.slowest = max(now-p.sent, l.slowest*15/16)
	}
	l.hasAnswered = l.hasAnswered || m.Verdict == Answered || m.Verdict == TurnedAway
	if m.Verdict == Answered {
		l.held = max(l.held, p.held)
	}
	if m.Verdict == TurnedAway && m.Reason == Fenced && p.fence == l.fence {
		l.fencedTo = now + listSpan
	}
	if p.act == Look {
		t.looked(now, l, m, p)
		return
	}
	r := l.runs[p.key]
	if r == nil || r.call != m.Number {
		return
	}
	r.call, r.touched = 0, t.number
	if p.act == Start {
		t.started(now, l, r, m)
	} else {
		t.stopped(now, l, r, m)
	}
}

// carryOut issues the starts and stops that are due.
func (t *Table) carryOut(now eventloop.Micros, l *life, out eventloop.Effects) {
	if now < l.fencedTo || l.fence == 0 {
		return
	}
	for _, key := range sortedKeys(l.runs) {
		r := l.runs[key]
		if r.call != 0 || now < r.retryAt {
			continue
		}
		switch r.standing {
		case starting:
			t.start(now, l, r, out)
		case stopping:
			r.call = t.issue(now, l, Call{Act: Stop, Task: key.task, Attempt: key.attempt}, out)
			r.touched = r.call
		}
	}
}

func (t *Table) start(now eventloop.Micros, l *life, r *run, out eventloop.Effects) {
	// What an older ward ordered is for the survey to decide.
	if l.surveyed != l.fence || r.fence != 0 && r.fence != l.fence {
		return
	}
	// Of a worker that seems deaf nothing can be said to be held.
	if l.mutes > 0 {
		return
	}
	isTried := r.tries > 0 && now-r.first >= startSpan
	if isTried || l.isLeaving || now+lateSpan >= l.lease || l.clockAt == 0 {
		t.giveUp(now, l, r)
		if r.standing == stopping {
			r.call = t.issue(now, l, Call{Act: Stop, Task: r.key.task, Attempt: r.key.attempt}, out)
			r.touched = r.call
		}
		return
	}
	if r.tries == 0 {
		r.first = now
	}
	r.tries++
	r.fence = l.fence
	r.call = t.issue(now, l, Call{
		Act: Start, Task: r.key.task, Attempt: r.key.attempt, Text: r.text, Saved: r.saved, Until: t.until(now, l),
	}, out)
	r.touched = r.call
}

func (t *Table) started(now eventloop.Micros, l *life, r *run, m Reply) {
	if r.standing != starting {
		return
	}
	switch m.Verdict {
	case Answered:
		r.standing, r.isSeen = running, true
	case Silent:
		// Lost on its way, most likely: the worker takes a second one as the same.
		r.isUnsure = true
		if r.retryAt = now; r.tries > 1 {
			r.retryAt += 2 * againSpan
		}
	case Busy:
		// Spread, so that all that was turned away together doesn't come back so.
		r.retryAt = now + againSpan + eventloop.Micros(m.Number*7919%50)*eventloop.Millisecond
	case TurnedAway:
		switch m.Reason {
		case Fenced:
			// A newer ward exists: it is for that one to say.
			delete(l.runs, r.key)
			l.isDirty = true
		case Past:
			t.decide(l, r)
		default:
			t.giveUp(now, l, r)
		}
	}
}

// giveUp ends an attempt that isn't to begin here. Where a start may yet be
// carried out, the worker must first be told that it is not to.
func (t *Table) giveUp(now eventloop.Micros, l *life, r *run) {
	if r.isUnsure || now-t.born < youngSpan {
		r.standing, r.tries, r.retryAt = stopping, 0, now
		return
	}
	t.neverRan(l, r)
}

// decide leaves it to a look, sent from now on, whether the run is there, has
// ended, or never was.
func (t *Table) decide(l *life, r *run) {
	r.standing = deciding
	if !r.isSeen {
		l.isAsked = true
	}
}

func (t *Table) stopped(now eventloop.Micros, l *life, r *run, m Reply) {
	if r.standing != stopping {
		return
	}
	r.tries++
	rest := min(retrySpan<<min(r.tries-1, 4), restMost)
	switch {
	case m.Verdict == Answered, m.Verdict == TurnedAway && m.Reason == Past:
		// The end, and with it the room, comes when the worker lists it.
		r.isStopped, r.stoppedAt, r.tries = true, now, 0
		t.decide(l, r)
	case m.Verdict == Busy:
		r.retryAt = now + againSpan + eventloop.Micros(m.Number*7919%50)*eventloop.Millisecond
	default:
		r.retryAt = now + rest
	}
}

// lookOut keeps one long look open, by which ends come at once and what runs
// is held; and sends a short one where something waits for the worker's word.
func (t *Table) lookOut(now eventloop.Micros, l *life, out eventloop.Effects) {
	if now < l.fencedTo || l.fence == 0 {
		return
	}
	isUnsurveyed := l.surveyed != l.fence
	isOpen := l.glance != 0 && (!isUnsurveyed || l.calls[l.glance].fence == l.fence)
	span := t.holdSpan(l)
	// The long look that is open may have been sent with a lease about to end.
	least := span / 5
	if open := l.calls[l.look]; open != nil && open.wait > lookSpan {
		// And it may have been sent to wait long, when nothing ran there yet.
		least = 2 * span / 3
	}
	isShort := l.held-now < least && t.couldHold(now, l) > l.held+span/8 && l.hasBegun()
	if (isUnsurveyed || l.isAsked || isShort || l.mutes > 0) && !isOpen && now >= l.glanceAt {
		l.isAsked = false
		l.glance = t.issue(now, l, Call{Act: Look, Until: t.until(now, l), Noted: l.notedTo}, out)
	}
	// Of one that seems deaf a short look must be answered first: the next renews
	// what it holds.
	if isUnsurveyed || l.look != 0 || now < l.lookAt || l.mutes > 0 {
		return
	}
	// Renewed long before the hold's end, with time for a second try.
	wait := min(lookSpan, span/3)
	if l.lostAt > 0 && now-l.lostAt < warySpan {
		wait = min(wait, waryLook)
	}
	if len(l.runs) == 0 {
		wait = min(quietSpan, l.span/2)
	}
	wait = max(wait-wait%eventloop.Millisecond, retrySpan)
	l.look = t.issue(now, l, Call{Act: Look, Until: t.until(now, l), Noted: l.notedTo, Wait: wait}, out)
}

// hasBegun tells whether anything may run there that no start of ours, still
// open, is about to hold.
func (l *life) hasBegun() bool {
	for _, r := range l.runs {
		if r.standing != starting {
			return true
		}
	}
	return false
}

// holdSpan is how long the worker holds its work when told now.
func (t *Table) holdSpan(l *life) eventloop.Micros {
	span := min(l.span, holdShort)
	if most := eventloop.Micros(t.bounds.HoldMostUs); most > 0 {
		return min(span, most)
	}
	return span
}

// couldHold is until when it would hold it.
func (t *Table) couldHold(now eventloop.Micros, l *life) eventloop.Micros {
	return min(l.lease, now+t.holdSpan(l))
}

func (t *Table) looked(now eventloop.Micros, l *life, m Reply, p *pending) {
	isLong := m.Number == l.look
	if isLong {
		l.look = 0
	}
	if m.Number == l.glance {
		l.glance = 0
	}
	// One sent before a pause of ours says nothing of the worker.
	if m.Number > l.after {
		l.mutes++
	}
	if m.Verdict == Silent && l.mutes <= 1 {
		// One may have been lost on its way: a second is sent at once.
		l.lookAt, l.glanceAt, l.isAsked = now, now, true
		return
	}
	if m.Verdict != Answered {
		l.rest = min(max(l.rest, retrySpan), restMost)
		l.lookAt, l.glanceAt = now+l.rest, now+l.rest
		l.rest = min(2*l.rest, restMost)
		// Whoever doesn't answer isn't spoken for: what it holds isn't renewed
		// either, so the scheduler may give it to others when the lease is over.
		t.resurvey(l)
		return
	}
	l.mutes = 0
	isNews := false
	for _, e := range m.Ended {
		isNews = t.listed(l, e) || isNews
	}
	if m.Number > l.newest {
		l.newest = m.Number
		t.takeList(now, l, m, p)
	}
	if p.fence == l.fence && l.surveyed != l.fence && m.Number > l.after {
		l.surveyed, l.isDirty, l.isLapsed = l.fence, true, false
	}
	if isNews {
		l.rest = retrySpan
	}
	if !isLong {
		return
	}
	switch {
	case l.hasUnnoted():
		// It would list the same again at once: the scheduler's word is awaited,
		// and for a while only.
		l.lookAt = now + l.rest
		l.rest = min(2*l.rest, restMost)
	case !isNews && now-p.sent < p.wait/2:
		l.lookAt = now + l.rest
	default:
		l.lookAt, l.rest = now, retrySpan
	}
}

func (l *life) hasUnnoted() bool {
	for _, e := range l.listed {
		if !e.isNoted {
			return true
		}
	}
	return false
}

// listed takes in an end that the worker lists, and tells whether it is new.
// Whenever the look was sent, an end is an end.
func (t *Table) listed(l *life, m Ending) bool {
	if m.Number <= l.notedTo || l.listed[m.Number] != nil {
		return false
	}
	key := runKey{m.Task, m.Attempt}
	e := &end{number: m.Number, note: l.note(key, m.How, m.Saved)}
	l.listed[m.Number] = e
	l.highest = max(l.highest, m.Number)
	if former := l.ended[key]; former != nil && former.number != 0 {
		e.isNoted = true
		l.advance()
		return true
	}
	l.ended[key] = e
	delete(l.runs, key)
	l.isDirty = true
	return true
}

func (l *life) note(key runKey, state, saved string) *schema.TaskStatus {
	note := &schema.TaskStatus{
		Name: key.task.Job, Round: key.task.Round, StepInRound: key.task.Part, Task: key.task.Task, Attempt: key.attempt,
		State: state, Checkpoint: saved,
	}
	if r := l.runs[key]; r != nil {
		note.CoresMilli, note.MemoryMb, note.Percent = r.cores, r.memory, r.percent
	}
	return note
}

// neverRan reports an attempt that runs here no more though the worker lists no
// end of it.
func (t *Table) neverRan(l *life, r *run) { t.ranOut(l, r, "stopped") }

func (t *Table) ranOut(l *life, r *run, how string) {
	l.ended[r.key] = &end{note: l.note(r.key, how, r.saved)}
	delete(l.runs, r.key)
	l.isDirty = true
	if len(l.spent) >= spentMost {
		maps.DeleteFunc(l.spent, func(_ runKey, at eventloop.Micros) bool { return t.last-at > spentSpan })
	}
	l.spent[r.key] = t.last
}

// takeList compares the worker's list of what runs with ours. A look says
// nothing about what was ordered, or answered, after it was sent.
func (t *Table) takeList(now eventloop.Micros, l *life, m Reply, p *pending) {
	isListed := map[runKey]bool{}
	for _, each := range m.Running {
		key := runKey{each.Task, each.Attempt}
		isListed[key] = true
		r := l.runs[key]
		switch e := l.ended[key]; {
		case e != nil && e.number != 0:
			continue
		case e != nil:
			// We gave it up, and it runs: that must not be.
			delete(l.ended, key)
			r = &run{key: key, standing: stopping, began: now}
			l.runs[key] = r
		case r == nil:
			r = &run{key: key, standing: running, began: now}
			l.runs[key], l.isDirty = r, true
		}
		r.saved, r.percent, r.isCounted, r.isSeen = each.Saved, each.Percent, true, true
		switch {
		case r.standing == starting:
			r.standing, r.call = running, 0
		case r.standing == deciding && !r.isStopped:
			r.standing = running
		case r.standing == deciding && now-r.stoppedAt > t.stopMost()+eventloop.Second:
			r.standing, r.retryAt = stopping, now
		}
	}
	isWhole := len(m.Ended) < listMost
	for _, key := range sortedKeys(l.runs) {
		r := l.runs[key]
		switch {
		case isListed[key]:
		case r.standing == starting && r.fence != 0 && r.fence < p.fence:
			// Whatever of it is still on its way will be turned away, and the
			// new ward orders what it wants.
			delete(l.runs, key)
			l.isDirty = true
		case r.touched >= m.Number || !isWhole:
		case r.standing == running, r.standing == deciding:
			t.neverRan(l, r)
		}
	}
}

func (t *Table) stopMost() eventloop.Micros {
	if t.bounds.StopUs > 0 {
		return eventloop.Micros(t.bounds.StopUs)
	}
	return stopUsual
}

// advance reckons up to where all ends are noted.
func (l *life) advance() {
	l.notedTo = max(l.notedTo, l.highest)
	for number, e := range l.listed {
		if !e.isNoted {
			l.notedTo = min(l.notedTo, number-1)
		}
	}
	for number := range l.listed {
		if number <= l.notedTo {
			delete(l.listed, number)
		}
	}
}
