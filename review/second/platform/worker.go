package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxHold     = 6 * time.Second // the bound hold_maximum_ms
	wholeCores  = 16000           // of one worker, in thousandths
	wholeMemory = 32768           // of one worker, in MB
)

// run is a run of a task on a worker.
type run struct {
	number   uint32
	cpu, mem int
	endsAt   time.Time
}

type endEntry struct {
	number  uint64
	task    string
	run     uint32
	outcome string
}

// worker is a stand-in for a worker of the service. The specification of its tasks is
// "ms=M cpu=C mem=G": how long a task takes and what it needs.
type worker struct {
	id     string
	side   *machine
	labels []string
	cpu    int
	mem    int
	rec    *record

	mu        sync.Mutex
	started   time.Time
	holdUntil time.Time
	fence     uint64
	runs      map[string]*run
	highest   map[string]uint32 // highest run that ended here, by task
	ends      []endEntry
	endCount  uint64
	sequence  uint64
	changed   chan struct{} // closed at each end
	listener  net.Listener
	stop      chan struct{}
}

func newWorker(rec *record, id string, side *machine, labels ...string) (*worker, error) {
	listener, err := net.Listen("tcp", side.ip+":0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, side: side, labels: labels, cpu: wholeCores, mem: wholeMemory, rec: rec, started: time.Now(), runs: map[string]*run{},
		highest: map[string]uint32{}, changed: make(chan struct{}), listener: listener, stop: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/run-start", w.handleStart)
	mux.HandleFunc("/run-stop", w.handleStop)
	mux.HandleFunc("/hold", w.handleHold)
	go func() { _ = http.Serve(listener, mux) }()
	go w.advanceLoop()
	go w.beatLoop()
	return w, nil
}

func (w *worker) close() {
	close(w.stop)
	w.listener.Close()
}

func (w *worker) clockMS() int64 { return time.Since(w.started).Milliseconds() + 1 }

func (w *worker) timeOf(clockMS int64) time.Time {
	return w.started.Add(time.Duration(clockMS-1) * time.Millisecond)
}

// advanceLoop ends the runs whose work is done, and all runs when the hold is over.
func (w *worker) advanceLoop() {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		w.mu.Lock()
		for task, r := range w.runs {
			switch now := time.Now(); {
			case now.After(w.holdUntil):
				w.end(task, r, "lapsed")
			case now.After(r.endsAt):
				w.end(task, r, "done")
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) end(task string, r *run, outcome string) {
	delete(w.runs, task)
	w.highest[task] = max(w.highest[task], r.number)
	w.endCount++
	w.ends = append(w.ends, endEntry{w.endCount, task, r.number, outcome})
	w.rec.add("%s ends %s run %d: %s", w.id, task, r.number, outcome)
	close(w.changed)
	w.changed = make(chan struct{})
}

// beatLoop registers the worker at the machine that it stands on.
func (w *worker) beatLoop() {
	for {
		w.mu.Lock()
		w.sequence++
		body := map[string]any{
			"service": serviceName, "address": w.listener.Addr().String(), "zone": w.side.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": w.cpu, "mem_mb": w.mem, "gpu_count": 0}, "labels": w.labels,
			"clock_ms": w.clockMS(), "call_sequence": w.sequence,
		}
		w.mu.Unlock()
		call(http.MethodPost, w.side.controlAddress(), "/workers/"+w.id+"/heartbeat", nil, body, time.Second)
		select {
		case <-w.stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

type workerCall struct {
	Task          string `json:"task"`
	RunNumber     uint32 `json:"run_number"`
	Specification string `json:"specification"`
	UntilMS       int64  `json:"until_ms"`
	FenceNumber   uint64 `json:"fence_number"`
	LastSeen      uint64 `json:"last_seen"`
	WaitMS        int64  `json:"wait_ms"`
}

// admit decodes a call and checks its addressee and its fence. It returns false if it has
// answered the call already. The caller must hold the lock.
func (w *worker) admit(writer http.ResponseWriter, request *http.Request, body *workerCall) bool {
	if err := json.NewDecoder(request.Body).Decode(body); err != nil {
		w.answer(writer, http.StatusBadRequest, nil)
		return false
	}
	if request.Header.Get("Expected-Worker") != w.id {
		w.answer(writer, http.StatusMisdirectedRequest, nil)
		return false
	}
	if body.FenceNumber < w.fence {
		w.answer(writer, http.StatusConflict, map[string]any{"reason": "fence"})
		return false
	}
	w.fence = body.FenceNumber
	return true
}

func (w *worker) answer(writer http.ResponseWriter, code int, fields map[string]any) {
	if fields == nil {
		fields = map[string]any{}
	}
	fields["clock_ms"] = w.clockMS()
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(code)
	_ = json.NewEncoder(writer).Encode(fields)
}

func (w *worker) extendHold(untilMS int64) {
	if untilMS <= 0 {
		return
	}
	until := w.timeOf(untilMS)
	if latest := time.Now().Add(maxHold); until.After(latest) {
		until = latest
	}
	if until.After(w.holdUntil) {
		w.holdUntil = until
	}
}

func (w *worker) handleStart(writer http.ResponseWriter, request *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var body workerCall
	if !w.admit(writer, request, &body) {
		return
	}
	refuse := func(reason string) {
		w.rec.add("%s refuses %s run %d: %s", w.id, body.Task, body.RunNumber, reason)
		w.answer(writer, http.StatusConflict, map[string]any{"reason": reason})
	}
	if w.timeOf(body.UntilMS).Before(time.Now()) {
		refuse("late")
		return
	}
	w.extendHold(body.UntilMS)
	if r := w.runs[body.Task]; r != nil && r.number == body.RunNumber {
		w.answer(writer, http.StatusOK, nil)
		return
	}
	if w.runs[body.Task] != nil || body.RunNumber <= w.highest[body.Task] {
		refuse("old")
		return
	}
	r := newRun(body)
	usedCPU, usedMem := r.cpu, r.mem
	for _, other := range w.runs {
		usedCPU, usedMem = usedCPU+other.cpu, usedMem+other.mem
	}
	if usedCPU > w.cpu || usedMem > w.mem {
		refuse("room")
		return
	}
	w.runs[body.Task] = r
	w.rec.add("%s starts %s run %d", w.id, body.Task, body.RunNumber)
	w.answer(writer, http.StatusOK, nil)
}

func newRun(body workerCall) *run {
	r := &run{number: body.RunNumber}
	milliseconds := 0
	for _, field := range strings.Fields(body.Specification) {
		name, text, _ := strings.Cut(field, "=")
		value, _ := strconv.Atoi(text)
		switch name {
		case "ms":
			milliseconds = value
		case "cpu":
			r.cpu = value
		case "mem":
			r.mem = value
		}
	}
	r.endsAt = time.Now().Add(time.Duration(milliseconds) * time.Millisecond)
	return r
}

func (w *worker) handleStop(writer http.ResponseWriter, request *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var body workerCall
	if !w.admit(writer, request, &body) {
		return
	}
	w.highest[body.Task] = max(w.highest[body.Task], body.RunNumber)
	if r := w.runs[body.Task]; r != nil && r.number == body.RunNumber {
		w.end(body.Task, r, "stopped")
	}
	w.answer(writer, http.StatusOK, nil)
}

func (w *worker) handleHold(writer http.ResponseWriter, request *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var body workerCall
	if !w.admit(writer, request, &body) {
		return
	}
	w.extendHold(body.UntilMS)
	kept := w.ends[:0:0]
	for _, entry := range w.ends {
		if entry.number > body.LastSeen {
			kept = append(kept, entry)
		}
	}
	w.ends = kept
	if len(w.ends) == 0 && body.WaitMS > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(body.WaitMS) * time.Millisecond):
		case <-request.Context().Done():
		}
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for task, r := range w.runs {
		running = append(running, []any{task, r.number, "", 50})
	}
	for _, entry := range w.ends {
		ended = append(ended, []any{entry.number, entry.task, entry.run, entry.outcome, ""})
	}
	w.answer(writer, http.StatusOK, map[string]any{"running_count": running, "ended": ended})
}

// runningOf returns how many runs of a job's tasks the workers have.
func runningOf(workers []*worker, id string) (count int) {
	for _, w := range workers {
		w.mu.Lock()
		for task := range w.runs {
			if strings.HasPrefix(task, id+".") {
				count++
			}
		}
		w.mu.Unlock()
	}
	return count
}

// usedCPU returns the cores that the workers use, and those that they have, in thousandths.
func usedCPU(workers []*worker) (used, total int) {
	for _, w := range workers {
		w.mu.Lock()
		total += w.cpu
		for _, r := range w.runs {
			used += r.cpu
		}
		w.mu.Unlock()
	}
	return used, total
}

// specification returns the specification of a task for the stand-in workers.
func specification(length time.Duration, cpu, mem int) string {
	return fmt.Sprintf("ms=%d cpu=%d mem=%d", length.Milliseconds(), cpu, mem)
}
