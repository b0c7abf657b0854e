package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, a line each, with the time in milliseconds since
// the harness started. Its methods may be called concurrently.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// now returns the milliseconds since the harness started.
func (r *record) now() int64 { return time.Since(r.start).Milliseconds() }

// note writes a line and returns the time that it carries.
func (r *record) note(format string, args ...any) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.now()
	fmt.Fprintf(r.file, "%8d ms  %s\n", at, fmt.Sprintf(format, args...))
	return at
}

func (r *record) close() { r.file.Close() }
