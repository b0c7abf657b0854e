// Package logring keeps the last lines of a process's log in memory, and writes them out
// when an error is logged: what led to it is then on record, and a process without
// errors writes nothing.
package logring

import (
	"io"
	"os"
	"sync"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const maxLines = 2048

// Ring holds the last lines. It implements zapcore.WriteSyncer and is safe for
// concurrent use.
type Ring struct {
	mu    sync.Mutex
	lines [][]byte
	next  int // the oldest line, once the ring is full
	path  string
}

// Reports is the name of loggers whose entries are written out at once: operators watch them
// while the process runs.
const Reports = "reports"

// New makes a logger of all levels that writes JSON lines to a ring. Each entry of level
// error or above, and each of a logger named Reports, flushes the ring to the end of the file at path, or to standard error
// if path is empty or can't be opened.
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

// Write adds one line, of which it keeps a copy.
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

// Sync implements zapcore.WriteSyncer; a ring in memory needs none.
func (r *Ring) Sync() error { return nil }

// Flush writes the lines out, the oldest first, and empties the ring. After an error the
// lines are kept.
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
