package agent

import (
	"slices"

	"sparnotch/internal/eventloop"
)

// maxFormerIncarnations is the number of former incarnations that the agent remembers.
const maxFormerIncarnations = 16

// formerIncarnation is an earlier incarnation of the worker, which has ended.
type formerIncarnation struct {
	worker        string
	lastHeartbeat uint64 // number of its last heartbeat
	isConfirmed   bool   // its end is certain: it departed, or its successor replied to a call; false if only a heartbeat of the successor has shown the end
}

// handleHeartbeat updates the worker's state from its heartbeat.
func (a *Agent) handleHeartbeat(now eventloop.Micros, heartbeat Heartbeat) {
	if !a.admitHeartbeat(heartbeat) {
		return
	}
	w := a.worker
	if w != nil && w.id != heartbeat.Worker {
		// A machine has one worker: the previous incarnation and all its tasks have
		// ended.
		a.replaceWorker(w)
		w = nil
	}
	if w == nil {
		w = newWorkerState(heartbeat.Worker, a.startedAt)
		a.worker = w
		a.adoptLease(w)
	} else if heartbeat.Number <= w.heartbeat.Number {
		return
	}
	changed := w.heartbeat.Cores != heartbeat.Cores || w.heartbeat.Memory != heartbeat.Memory || w.heartbeat.Accelerators != heartbeat.Accelerators ||
		w.heartbeat.Pool != heartbeat.Pool || w.heartbeat.Rack != heartbeat.Rack || !slices.Equal(w.heartbeat.Labels, heartbeat.Labels)
	w.heartbeat, w.lastHeard = heartbeat, now
	a.sampleClock(now, w, heartbeat.Clock)
	if heartbeat.IsDraining {
		changed = changed || !w.isDraining
		w.isDraining, w.drainReportedAt = true, now
	}
	w.hasChanges = w.hasChanges || changed
}

// admitHeartbeat reports whether a heartbeat is accepted. Heartbeats of former
// incarnations are rejected, with one exception: after a restart of the agent, a
// delayed heartbeat of a former incarnation can replace the live one. The live
// incarnation is accepted again if the one that replaced it has not replied to any call.
func (a *Agent) admitHeartbeat(heartbeat Heartbeat) bool {
	k := a.formerIndex(heartbeat.Worker)
	if k < 0 {
		return true
	}
	former, w := a.former[k], a.worker
	if former.isConfirmed || heartbeat.Number <= former.lastHeartbeat || w == nil || w.hasReplied || w.departedAt > 0 {
		return false
	}
	a.former = slices.Delete(a.former, k, k+1)
	a.replacedWorkers = slices.DeleteFunc(a.replacedWorkers, func(worker string) bool { return worker == heartbeat.Worker })
	return true
}

// replaceWorker records that another incarnation, which has sent a heartbeat, replaces
// this one.
func (a *Agent) replaceWorker(w *workerState) {
	a.recordFormer(w.id, w.heartbeat.Number, false)
	a.replacedWorkers = append(a.replacedWorkers, w.id)
	if len(a.replacedWorkers) > maxFormerIncarnations {
		a.replacedWorkers = a.replacedWorkers[1:]
	}
}

// markReplaced records that another incarnation has replied at the worker's address.
// The ID of that incarnation will come with its heartbeat.
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

// handleDeparture handles the report that a worker departs. A worker that had drained
// has ended and runs nothing any more, so its tasks can be returned at once. A worker
// that had not drained keeps running for a while: it counts as draining from now on,
// and its tasks are known to have ended only when the worker reports so or when its
// hold ends.
func (a *Agent) handleDeparture(now eventloop.Micros, departed Departed) {
	w := a.worker
	if w != nil && w.id == departed.Worker && w.drainReportedAt == 0 {
		w.hasChanges = w.hasChanges || !w.isDraining
		w.isDraining = true
		return
	}
	a.recordFormer(departed.Worker, 0, true)
	if w == nil || w.id != departed.Worker || w.departedAt > 0 {
		return
	}
	w.isDraining, w.departedAt, w.hasChanges = true, now, true
	for _, key := range sortedKeys(w.runs) {
		a.markStopped(w, w.runs[key])
	}
}
