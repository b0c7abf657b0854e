package agent

import (
	"slices"

	"sparnotch/internal/eventloop"
)

// maxFormerIncarnations is how many former incarnations are remembered.
const maxFormerIncarnations = 16

// formerIncarnation is an incarnation that is over.
type formerIncarnation struct {
	worker        string
	lastHeartbeat uint64 // number of its last heartbeat
	isConfirmed   bool   // by itself or by its successor's reply; else a successor's heartbeat alone shows it
}

// handleHeartbeat takes over what the worker reports of itself.
func (a *Agent) handleHeartbeat(now eventloop.Micros, m Heartbeat) {
	if !a.admitHeartbeat(m) {
		return
	}
	w := a.worker
	if w != nil && w.id != m.Worker {
		// A machine has one worker: the previous incarnation is over, and all that
		// ran there with it.
		a.replaceWorker(w)
		w = nil
	}
	if w == nil {
		w = newWorkerState(m.Worker, a.startedAt)
		a.worker = w
		a.adoptLease(w)
	} else if m.Number <= w.heartbeat.Number {
		return
	}
	changed := w.heartbeat.Cores != m.Cores || w.heartbeat.Memory != m.Memory || w.heartbeat.Accelerators != m.Accelerators ||
		w.heartbeat.Pool != m.Pool || w.heartbeat.Rack != m.Rack || !slices.Equal(w.heartbeat.Labels, m.Labels)
	w.heartbeat, w.lastHeard = m, now
	a.sampleClock(now, w, m.Clock)
	if m.IsDraining {
		changed = changed || !w.isDraining
		w.isDraining, w.drainReportedAt = true, now
	}
	w.hasChanges = w.hasChanges || changed
}

// admitHeartbeat reports whether a heartbeat is accepted. One of a former incarnation isn't,
// with one exception: after a restart of the agent a delayed heartbeat of a former
// incarnation can replace the live one; the live one takes its place back when the former
// has never replied to a call.
func (a *Agent) admitHeartbeat(m Heartbeat) bool {
	k := a.formerIndex(m.Worker)
	if k < 0 {
		return true
	}
	former, w := a.former[k], a.worker
	if former.isConfirmed || m.Number <= former.lastHeartbeat || w == nil || w.hasReplied || w.departedAt > 0 {
		return false
	}
	a.former = slices.Delete(a.former, k, k+1)
	a.replacedWorkers = slices.DeleteFunc(a.replacedWorkers, func(worker string) bool { return worker == m.Worker })
	return true
}

// replaceWorker records that another incarnation has sent a heartbeat.
func (a *Agent) replaceWorker(w *workerState) {
	a.recordFormer(w.id, w.heartbeat.Number, false)
	a.replacedWorkers = append(a.replacedWorkers, w.id)
	if len(a.replacedWorkers) > maxFormerIncarnations {
		a.replacedWorkers = a.replacedWorkers[1:]
	}
}

// markReplaced records that another incarnation has replied at the worker's address.
// Its heartbeat will show which.
func (a *Agent) markReplaced(w *workerState) {
	w.isReplaced = true
	a.recordFormer(w.id, w.heartbeat.Number, true)
}

func (a *Agent) formerIndex(worker string) int {
	return slices.IndexFunc(a.former, func(f formerIncarnation) bool { return f.worker == worker })
}

func (a *Agent) recordFormer(worker string, lastHeartbeat uint64, confirmed bool) {
	if k := a.formerIndex(worker); k >= 0 {
		a.former[k].isConfirmed = a.former[k].isConfirmed || confirmed
		return
	}
	a.former = append(a.former, formerIncarnation{worker, lastHeartbeat, confirmed})
	if len(a.former) > maxFormerIncarnations {
		a.former = a.former[1:]
	}
}

// handleDeparture takes the report of a worker that departs. One that had drained has
// ended, and nothing runs there any more, so its tasks can be returned at once. One that
// had not serves on for a while: it drains from now on, and what runs there is known to
// be over only by the worker's own reports or at the end of its hold.
func (a *Agent) handleDeparture(now eventloop.Micros, m Departed) {
	w := a.worker
	if w != nil && w.id == m.Worker && w.drainReportedAt == 0 {
		w.hasChanges = w.hasChanges || !w.isDraining
		w.isDraining = true
		return
	}
	a.recordFormer(m.Worker, 0, true)
	if w == nil || w.id != m.Worker || w.departedAt > 0 {
		return
	}
	w.isDraining, w.departedAt, w.hasChanges = true, now, true
	for _, key := range sortedKeys(w.runs) {
		a.markStopped(w, w.runs[key])
	}
}
