package agent

import (
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// announce keeps one announce open at the ward's scheduler, and sends a new one at
// once when something has changed.
func (t *Table) announce(now eventloop.Micros, l *life, out eventloop.Effects) {
	if l.scheduler == "" || l.fence == 0 || l.surveyed != l.fence && l.departedAt == 0 && !l.isLapsed {
		return
	}
	// Of one that has left, or is deaf, only what is over is told.
	if l.departedAt > 0 && now-l.departedAt > goneSpan || (l.departedAt > 0 || l.isLapsed) && len(l.ended) == 0 {
		return
	}
	isDue := l.poll == nil && now >= l.pollAt || l.poll != nil && now-l.poll.sent >= pollSpan
	if !isDue && !(l.isDirty && now-l.polledAt >= hurrySpan) {
		return
	}
	t.seq++
	a := &schema.WorkerHeartbeat{
		Incarnation: 1, Seq: t.seq, CoresMilli: l.beat.Cores, MemoryMb: l.beat.Memory, Accelerators: l.beat.Accelerators,
		Rack: l.beat.Rack, Labels: l.beat.Labels, Pool: l.beat.Pool, Draining: l.isLeaving, FencingToken: l.fence,
		MaxWaitUs: int64(waitSpan), GangBarrier: true, TasksByName: true, ReplacedWorkers: slices.Clone(t.over),
		WarmUpUs: int64(max(0, l.beat.Cold-(now-l.heard))),
	}
	if l.unansweredSince == 0 {
		l.unansweredSince = now
	}
	a.Unanswered = now-l.unansweredSince > deafSpan
	if l.isLapsed {
		// It is spoken for only to tell what is over there; it gets nothing new.
		a.CoresMilli, a.MemoryMb, a.Accelerators = 0, 0, 0
	}
	if l.lease-now < l.span/2 {
		// What runs there may not wait for the answer to be worth something.
		a.MaxWaitUs = 0
	}
	if l.isLeaving {
		a.DepartsInUs = int64(max(0, l.beat.Departure-(now-l.leftAt)))
	}
	for _, key := range sortedKeys(l.runs) {
		r := l.runs[key]
		if !r.isCounted {
			continue
		}
		note := l.note(key, "running", r.saved)
		note.RunUs = int64(now - r.began)
		a.Running = append(a.Running, note)
	}
	for _, key := range sortedKeys(l.ended) {
		a.Ended = append(a.Ended, l.ended[key].note)
	}
	l.poll = &poll{seq: t.seq, sent: now, scheduler: l.scheduler, over: a.ReplacedWorkers}
	l.polledAt, l.isDirty = now, false
	out.Send(l.scheduler, &schema.WorkerPollRequest{Id: t.seq, Worker: l.worker, Heartbeat: a})
}

// answered takes the answer to the announce that stands; whatever an older one
// says, the next says again.
func (t *Table) answered(now eventloop.Micros, from string, m *schema.WorkerPollResponse) {
	l := t.life
	if l != nil && from == l.scheduler {
		l.unansweredSince = 0
	}
	if l == nil || l.isOver || l.poll == nil || m.Id != l.poll.seq || from != l.poll.scheduler {
		return
	}
	p := l.poll
	l.poll = nil
	if m.Orders == nil || m.Orders.FencingToken < l.fence {
		l.pollAt = now + refusedSpan
		if l.refusals++; l.refusals%refusedMost == 0 {
			// Should a forerunner's number have been higher, it would stay so.
			t.seq += refusedLeap
		}
		return
	}
	l.refusals = 0
	if m.Orders.FencingToken > l.fence {
		// Its inventory was taken before older orders were shut out.
		l.raise(m.Orders.FencingToken)
		return
	}
	for _, worker := range p.over {
		if k := slices.Index(t.over, worker); k >= 0 {
			t.over = slices.Delete(t.over, k, k+1)
		}
	}
	if span := eventloop.Micros(m.Orders.LeaseUs); span > 0 {
		l.lease, l.span = max(l.lease, p.sent+span), span
	}
	isNews := t.noted(now, l, m.Orders.Acknowledged)
	for _, order := range m.Orders.Orders {
		isNews = t.obey(now, l, order) || isNews
	}
	l.pollAt = now
	if !isNews && now-p.sent < waitSpan/2 {
		l.pollAt = now + idleSpan
	}
}

func (t *Table) noted(now eventloop.Micros, l *life, notes []*schema.TaskStatus) bool {
	isNews := false
	for _, note := range notes {
		key := runKey{TaskName{note.Name, note.Round, note.StepInRound, note.Task}, note.Attempt}
		if e := l.ended[key]; e != nil {
			e.isNoted, isNews = true, true
			delete(l.ended, key)
		}
	}
	if isNews {
		l.advance()
		if !l.hasUnnoted() {
			l.lookAt, l.rest = min(l.lookAt, now), retrySpan
		}
	}
	return isNews
}

// obey takes an order, a difference that repeats until we announce that it is
// none any more; it tells whether that was new.
func (t *Table) obey(now eventloop.Micros, l *life, order *schema.TaskOrder) bool {
	key := runKey{TaskName{order.Name, order.Round, order.StepInRound, order.Task}, order.Attempt}
	r := l.runs[key]
	if l.ended[key] != nil || l.departedAt > 0 {
		return false
	}
	switch order.Action {
	case "start":
		if r != nil {
			return false
		}
		if _, isSpent := l.spent[key]; isSpent {
			// A scheduler that hasn't heard yet what became of it: others may have
			// the task by now.
			l.ended[key] = &end{note: l.note(key, "stopped", order.Checkpoint)}
			l.isDirty = true
			return true
		}
		l.runs[key] = &run{
			key: key, standing: starting, text: order.Text, saved: order.Checkpoint, cores: order.CoresMilli, memory: order.MemoryMb,
			began: now, isCounted: true,
		}
		return true
	case "stop":
		if r == nil {
			// Not heard of here; that it never will be is what the scheduler asks.
			l.runs[key] = &run{key: key, standing: stopping, began: now, retryAt: now}
			return true
		}
		if r.standing == starting && r.tries == 0 && now-t.born >= youngSpan {
			t.neverRan(l, r)
			return true
		}
		if r.standing == starting || r.standing == running || r.standing == deciding && !r.isStopped {
			// A start that is still open makes no difference: after the stop it
			// is turned away.
			r.standing, r.call, r.tries, r.retryAt = stopping, 0, 0, now
			return true
		}
	}
	return false
}
