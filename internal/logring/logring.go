// Package logring keeps the log in memory, as a ring, and writes it out when
// something goes wrong.
package logring

import (
	"io"
	"os"
	"sync"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const maxLines = 2048

// Ring is the log's memory.
type Ring struct {
	mu    sync.Mutex
	lines [][]byte
	next  int
	path  string
}

// New makes a log whose ring is written to path, or to standard error.
func New(path string) (*zap.Logger, *Ring) {
	ring := &Ring{path: path}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), ring, zapcore.DebugLevel)
	logger := zap.New(core, zap.Hooks(func(entry zapcore.Entry) error {
		if entry.Level >= zapcore.ErrorLevel {
			return ring.Flush()
		}
		return nil
	}))
	return logger, ring
}

// Write takes one line of the log.
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

// Sync implements zapcore.WriteSyncer; what is in memory needs none.
func (r *Ring) Sync() error { return nil }

// Flush writes the ring out, oldest line first, and empties it.
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
