// Package logring keeps the latest lines of a process's log in memory and writes them to a file
// or to standard error when an error is logged. The lines that led to an error are thus
// recorded, while a process without errors writes nothing.
package logring

import (
	"io"
	"os"
	"sync"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const maxLines = 2048

// Ring is a ring buffer of the latest maxLines log lines. It implements zapcore.WriteSyncer and
// is safe for concurrent use.
type Ring struct {
	mu    sync.Mutex
	lines [][]byte
	next  int    // index of the oldest line, once the ring is full
	path  string // file that Flush appends to; empty: standard error
}

// Reports is the name of loggers whose entries flush the ring at once whatever their level,
// because operators watch them while the process runs.
const Reports = "reports"

// New returns a logger that writes entries of all levels as JSON lines to a ring, and the ring.
// Each entry of level error or above, and each entry of a logger named Reports, flushes the
// ring. Flushed lines are appended to the file at path, or written to standard error if path is
// empty or the file can't be opened.
func New(path string) (*zap.Logger, *Ring) {
	ring := &Ring{path: path}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), ring, zapcore.DebugLevel)
	logger := zap.New(core, zap.Hooks(func(entry zapcore.Entry) error {
		if entry.Level >= zapcore.ErrorLevel || entry.LoggerName == Reports {
			return ring.Flush()
		}
		return nil
	}))
	return logger, ring
}

// Write adds a copy of one line to the ring, replacing the oldest line if the ring is full.
func (r *Ring) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	copied := append([]byte(nil), line...)
	if len(r.lines) < maxLines {
		r.lines = append(r.lines, copied)
	} else {
		r.lines[r.next] = copied
		r.next = (r.next + 1) % maxLines
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing, because the ring is in memory.
func (r *Ring) Sync() error { return nil }

// Flush writes the lines, oldest first, to the file or to standard error, and empties the ring.
// If writing fails, it returns the error and keeps the lines.
func (r *Ring) Flush() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sink io.Writer = os.Stderr
	if r.path != "" {
		file, err := os.OpenFile(r.path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err == nil {
			defer file.Close()
			sink = file
		}
	}
	for k := range r.lines {
		if _, err := sink.Write(r.lines[(r.next+k)%len(r.lines)]); err != nil {
			return err
		}
	}
	r.lines, r.next = nil, 0
	return nil
}
