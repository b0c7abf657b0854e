package logring

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestFlushOnError checks that nothing is written until an error is logged, and that the last
// maxLines lines are then written once, oldest first.
func TestFlushOnError(t *testing.T) {
	for _, test := range []struct {
		name      string
		lines     int // number of lines logged before the error
		wantFirst int // number of the oldest of these lines that is still in the ring
	}{
		{"a ring that isn't full", 3, 0},
		{"a ring that has dropped its oldest lines", maxLines + 10, 11},
	} {
		t.Run(test.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "log")
			logger, _ := New(path)
			for k := range test.lines {
				logger.Debug(fmt.Sprint("line ", k))
			}
			if _, err := os.Stat(path); !os.IsNotExist(err) {
				t.Fatalf("the log was written without an error: %v", err)
			}
			logger.Error("first error")
			logger.Error("second error")
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			lines := strings.Split(strings.TrimSpace(string(data)), "\n")
			wantLines := test.lines - test.wantFirst + 2
			if len(lines) != wantLines {
				t.Fatalf("%d lines, want %d", len(lines), wantLines)
			}
			for k, want := range map[int]string{0: fmt.Sprint("line ", test.wantFirst), wantLines - 2: "first error", wantLines - 1: "second error"} {
				if !strings.Contains(lines[k], fmt.Sprintf("%q", want)) {
					t.Errorf("line %d is %s, want %q", k, lines[k], want)
				}
			}
		})
	}
}
