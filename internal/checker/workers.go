package checker

// The rules on workers: their room, and leaving.

import (
	"fmt"

	"sparnotch/internal/eventloop"
)

// rooms: 6, what runs on a worker fits it at every moment. A worker that
// starts again begins empty, with the room it then has; two processes that
// bear one name are two machines, each with its own room.
func (j *judge) rooms(history []Event) {
	type load struct {
		cores, memory, roomCores, roomMemory int64
		accelerators, roomAccelerators       int64
		running                              map[string]*Event
		isTold                               bool
	}
	type machine struct {
		who         string
		incarnation uint64
	}
	workers := map[machine]*load{}
	for k := range history {
		e := &history[k]
		who := machine{e.Who, e.Incarnation}
		w := workers[who]
		key := fmt.Sprint(e.Queue, "/", e.Job, "/", e.Step, "/", e.Task, "/", e.Attempt)
		if e.Job == 0 {
			key += "/" + e.Name
		}
		switch e.Kind {
		case Up:
			workers[who] = &load{roomCores: e.Cores, roomMemory: e.Memory, roomAccelerators: e.Accelerators, running: map[string]*Event{}}
		case Order, Begin:
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
				j.breach(6, e.At, "%s is given %d of %d milli cores, %d of %d MB, %d of %d accelerators",
					e.Who, w.cores, w.roomCores, w.memory, w.roomMemory, w.accelerators, w.roomAccelerators)
			}
		case End, LetGo:
			if w != nil && w.running[key] != nil {
				w.cores -= w.running[key].Cores
				w.memory -= w.running[key].Memory
				w.accelerators -= w.running[key].Accelerators
				delete(w.running, key)
			}
		}
	}
}

// leaving: 7, no work reaches a worker long after it said that it leaves.
func (j *judge) leaving(history []Event) {
	said := map[string]eventloop.Micros{}
	for _, e := range history {
		switch e.Kind {
		case Up:
			delete(said, e.Who)
		case Leave:
			if _, isSaid := said[e.Who]; !isSaid {
				said[e.Who] = e.At
			}
		case Order, Begin:
			at, isSaid := said[e.Who]
			isWork := e.Kind == Begin || e.State == "start" || e.State == "hold"
			if isSaid && isWork && !e.IsLate && e.At > at+j.bounds.Leave {
				j.breach(7, e.At, "work reaches %s %d us after it said that it leaves", e.Who, e.At-at)
			}
		}
	}
}
