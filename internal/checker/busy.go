package checker

import "sparnotch/internal/eventloop"

// isBusy tells whether at every moment of a span at least half of the room of a
// queue's pool was in use. More urgent work may then leave none to the queue; with
// less in use nothing excuses that its work isn't begun.
func isBusy(history []Event, queue string, from, to eventloop.Micros) bool {
	workers := map[string]*shop{}
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
		switch w := workers[e.Who]; e.Kind {
		case PlanPut:
			if e.Code == 200 && e.Rows != nil {
				pool = value(e.Rows, "queue", queue, "pool")
			}
		case Up:
			workers[e.Who] = &shop{cores: e.Cores, pool: e.Pool}
		case Gone:
			delete(workers, e.Who)
		case Begin:
			if w != nil {
				w.usedCores += e.Cores
			}
		case End:
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
