package main

import (
	"bytes"
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
	workerTick       = 5 * time.Millisecond
	workerClockStart = 1000 // milliseconds that a worker's clock shows at its start
)

// start is a task that a worker has begun on an order.
type start struct {
	atMS   int64 // time of the record
	worker string
	task   string
	run    uint32
}

// workerRun is a run on a worker.
type workerRun struct {
	number uint32
	endsAt time.Time
	stopAt time.Time // when an ordered stop is done; zero if none was ordered
}

// endedRun is an end that the worker lists until it is taken note of.
type endedRun struct {
	number uint64
	task   string
	run    uint32
	how    string
}

// worker is a stand-in for a worker of the platform: it registers at its side machine, takes that
// machine's calls and runs each task for as many milliseconds as the specification says.
type worker struct {
	id, service, zone, rack string
	address, control        string
	cpu, memory             int64
	log                     *record
	onStart                 func(start)

	mu       sync.Mutex
	begun    time.Time
	fence    uint64
	untilMS  int64
	runs     map[string]*workerRun
	past     map[string]uint32 // highest run that ended or was stopped, by task
	ended    []endedRun
	endCount uint64
	beats    uint64
	server   *http.Server
	done     chan struct{}
}

// serve starts the worker's server, its clock and its heartbeats.
func (w *worker) serve() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.begun, w.runs, w.past, w.done = time.Now(), map[string]*workerRun{}, map[string]uint32{}, make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.handle(w.runStart))
	mux.HandleFunc("POST /run-stop", w.handle(w.runStop))
	mux.HandleFunc("POST /hold", w.hold)
	w.server = &http.Server{Handler: mux}
	go w.server.Serve(listener)
	go w.every(workerTick, w.tick)
	go w.every(beatInterval, w.beat)
	return nil
}

func (w *worker) stop() {
	close(w.done)
	w.server.Close()
}

func (w *worker) every(interval time.Duration, action func()) {
	for {
		action()
		select {
		case <-w.done:
			return
		case <-time.After(interval):
		}
	}
}

func (w *worker) clockMS() int64 { return workerClockStart + time.Since(w.begun).Milliseconds() }

// beat sends a heartbeat to the side machine.
func (w *worker) beat() {
	w.mu.Lock()
	w.beats++
	body := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]any{"cpu": w.cpu, "mem_mb": w.memory}, "labels": []string{"a", w.rack}, "clock_ms": w.clockMS(), "call_sequence": w.beats,
	}
	w.mu.Unlock()
	data, _ := json.Marshal(body)
	client := http.Client{Timeout: time.Second}
	if response, err := client.Post("http://"+w.control+"/workers/"+w.id+"/heartbeat", "application/json", bytes.NewReader(data)); err == nil {
		response.Body.Close()
	}
}

// tick ends the runs that are done, stopped or held no longer.
func (w *worker) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, lapsed := time.Now(), w.clockMS() >= w.untilMS
	for task, run := range w.runs {
		switch {
		case lapsed:
			w.end(task, run, "lapsed")
		case !run.stopAt.IsZero() && now.After(run.stopAt):
			w.end(task, run, "stopped")
		case run.stopAt.IsZero() && now.After(run.endsAt):
			w.end(task, run, "done")
		}
	}
}

// end lists a run as ended. The caller holds the lock.
func (w *worker) end(task string, run *workerRun, how string) {
	w.endCount++
	w.ended = append(w.ended, endedRun{w.endCount, task, run.number, how})
	w.past[task] = max(w.past[task], run.number)
	delete(w.runs, task)
	w.log.note("worker %s: %s run %d ended %s", w.id, task, run.number, how)
}

// orderBody is the body of a call of the side machine.
type orderBody struct {
	Task          string `json:"task"`
	RunNumber     uint32 `json:"run_number"`
	Specification string `json:"specification"`
	UntilMS       int64  `json:"until_ms"`
	Fence         uint64 `json:"fence_number"`
	LastSeen      uint64 `json:"last_seen"`
	WaitMS        int64  `json:"wait_ms"`
}

// admit checks what all calls have in common. It returns the status code and the reason of a
// refusal, or 200. The caller holds the lock.
func (w *worker) admit(r *http.Request, body *orderBody) (int, string) {
	if expected := r.Header.Get("Expected-Worker"); expected != "" && expected != w.id {
		return http.StatusMisdirectedRequest, ""
	}
	if body.Fence < w.fence {
		return http.StatusConflict, "fence"
	}
	w.fence = body.Fence
	return http.StatusOK, ""
}

// extend prolongs the hold. The caller holds the lock.
func (w *worker) extend(untilMS int64) {
	w.untilMS = max(w.untilMS, min(untilMS, w.clockMS()+holdMaximumMS))
}

func (w *worker) handle(order func(*orderBody) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var body orderBody
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		code, reason := w.admit(r, &body)
		if code == http.StatusOK {
			code, reason = order(&body)
		}
		reply := map[string]any{"clock_ms": w.clockMS()}
		w.mu.Unlock()
		if reason != "" {
			reply["reason"] = reason
		}
		writeJSON(rw, code, reply)
	}
}

func (w *worker) runStart(body *orderBody) (int, string) {
	if run := w.runs[body.Task]; run != nil && run.number == body.RunNumber {
		return http.StatusOK, ""
	}
	switch run := w.runs[body.Task]; {
	case body.RunNumber <= w.past[body.Task], run != nil:
		w.extend(body.UntilMS)
		return http.StatusConflict, "old"
	case body.UntilMS <= w.clockMS():
		return http.StatusConflict, "late"
	}
	w.extend(body.UntilMS)
	span, err := strconv.Atoi(strings.TrimPrefix(body.Specification, "ms="))
	if err != nil {
		return http.StatusBadRequest, ""
	}
	w.runs[body.Task] = &workerRun{number: body.RunNumber, endsAt: time.Now().Add(time.Duration(span) * time.Millisecond)}
	at := w.log.note("worker %s: %s run %d started", w.id, body.Task, body.RunNumber)
	w.onStart(start{at, w.id, body.Task, body.RunNumber})
	return http.StatusOK, ""
}

func (w *worker) runStop(body *orderBody) (int, string) {
	w.past[body.Task] = max(w.past[body.Task], body.RunNumber)
	if run := w.runs[body.Task]; run != nil && run.number <= body.RunNumber && run.stopAt.IsZero() {
		run.stopAt = time.Now().Add(stopSpan)
	}
	return http.StatusOK, ""
}

// hold renews the hold, forgets the ends that were taken note of and lists the rest.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	var body orderBody
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	code, reason := w.admit(r, &body)
	if code != http.StatusOK {
		reply := map[string]any{"clock_ms": w.clockMS(), "reason": reason}
		w.mu.Unlock()
		writeJSON(rw, code, reply)
		return
	}
	w.extend(body.UntilMS)
	for len(w.ended) > 0 && w.ended[0].number <= body.LastSeen {
		w.ended = w.ended[1:]
	}
	deadline := time.Now().Add(time.Duration(body.WaitMS) * time.Millisecond)
	for len(w.ended) == 0 && time.Now().Before(deadline) && r.Context().Err() == nil {
		w.mu.Unlock()
		time.Sleep(workerTick)
		w.mu.Lock()
	}
	reply := w.inventory()
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, reply)
}

// inventory returns the lists of runs and ends. The caller holds the lock.
func (w *worker) inventory() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for task, run := range w.runs {
		running = append(running, []any{task, run.number, "", 0})
	}
	for _, e := range w.ended {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"clock_ms": w.clockMS(), "running_count": running, "ended": ended}
}

func writeJSON(rw http.ResponseWriter, code int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("harness: a reply can't be encoded: %v", err))
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Content-Length", strconv.Itoa(len(data)))
	rw.WriteHeader(code)
	rw.Write(data)
}
