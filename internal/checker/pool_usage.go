package checker

import "sparnotch/internal/eventloop"

// isBusy tells whether at every moment of a span at least half of the room of a
// queue's pool was in use. More urgent work may then leave none to the queue; with
// less in use nothing excuses that its work isn't begun.
func isBusy(history []Event, queue string, from, to eventloop.Micros) bool {
	workers := map[string]*workerState{}
	pool := ""
	isHalf := func() bool {
		cores, used := int64(0), int64(0)
		for _, w := range workers {
			if w.pool == pool {
				cores, used = cores+w.cores, used+w.usedCores
			}
		}
		return cores > 0 && 2*used >= cores
	}
	for k := range history {
		e := &history[k]
		if e.At > to {
			break
		}
		switch w := workers[e.Actor]; e.Kind {
		case ConfigurationReply:
			if e.Code == 200 && e.Rows != nil {
				pool = rowValue(e.Rows, "queue", queue, "pool")
			}
		case WorkerUp:
			workers[e.Actor] = &workerState{cores: e.Cores, pool: e.Pool}
		case WorkerGone:
			delete(workers, e.Actor)
		case TaskStart:
			if w != nil {
				w.usedCores += e.Cores
			}
		case TaskEnd:
			if w != nil {
				w.usedCores -= e.Cores
			}
		}
		isLastOfMoment := k+1 == len(history) || history[k+1].At > e.At
		if isLastOfMoment && (k+1 == len(history) || history[k+1].At > from) && !isHalf() {
			return false
		}
	}
	return true
}
