package checker

// The rules on workers: their room, and leaving.

import (
	"fmt"

	"sparnotch/internal/eventloop"
)

// checkCapacity: 6, what runs on a worker fits it at every moment. A worker that
// starts again begins empty, with the room it then has; two processes that
// bear one name are two machines, each with its own room.
func (a *analysis) checkCapacity(history []Event) {
	type machineLoad struct {
		cores, memory, roomCores, roomMemory int64
		accelerators, roomAccelerators       int64
		running                              map[string]*Event
		isTold                               bool
	}
	type machine struct {
		who         string
		incarnation uint64
	}
	workers := map[machine]*machineLoad{}
	for k := range history {
		e := &history[k]
		who := machine{e.Actor, e.Incarnation}
		w := workers[who]
		key := fmt.Sprint(e.Queue, "/", e.Job, "/", e.Step, "/", e.Task, "/", e.Attempt)
		if e.Job == 0 {
			key += "/" + e.Name
		}
		switch e.Kind {
		case WorkerUp:
			workers[who] = &machineLoad{roomCores: e.Cores, roomMemory: e.Memory, roomAccelerators: e.Accelerators, running: map[string]*Event{}}
		case Order, TaskStart:
			// What is given counts, whether the worker takes it or not.
			if w == nil || e.State == "stop" || w.running[key] != nil {
				continue
			}
			w.running[key] = e
			w.cores += e.Cores
			w.memory += e.Memory
			w.accelerators += e.Accelerators
			if (w.cores > w.roomCores || w.memory > w.roomMemory || w.accelerators > w.roomAccelerators) && !w.isTold {
				w.isTold = true
				a.report(6, e.At, "%s is given %d of %d milli cores, %d of %d MB, %d of %d accelerators",
					e.Actor, w.cores, w.roomCores, w.memory, w.roomMemory, w.accelerators, w.roomAccelerators)
			}
		case TaskEnd, OrderDropped:
			if w != nil && w.running[key] != nil {
				w.cores -= w.running[key].Cores
				w.memory -= w.running[key].Memory
				w.accelerators -= w.running[key].Accelerators
				delete(w.running, key)
			}
		}
	}
}

// checkDraining: 7, no work reaches a worker long after it said that it leaves.
func (a *analysis) checkDraining(history []Event) {
	drainingSince := map[string]eventloop.Micros{}
	for _, e := range history {
		switch e.Kind {
		case WorkerUp:
			delete(drainingSince, e.Actor)
		case WorkerDraining:
			if _, draining := drainingSince[e.Actor]; !draining {
				drainingSince[e.Actor] = e.At
			}
		case Order, TaskStart:
			at, draining := drainingSince[e.Actor]
			work := e.Kind == TaskStart || e.State == "start" || e.State == "hold"
			if draining && work && !e.IsLate && e.At > at+a.bounds.Drain {
				a.report(7, e.At, "work reaches %s %d us after it said that it leaves", e.Actor, e.At-at)
			}
		}
	}
}
