// Package settingsfile tracks the settings file of a process that is running. The file may be
// replaced at any time, with or without a signal. A Watcher reads it again and tells which
// settings now hold.
package settingsfile

import (
	"bytes"
	"errors"
	"os"
	"slices"

	"sparnotch/internal/schema"
)

// Content holds the parsed content of a settings file.
type Content struct {
	Settings *schema.Settings
	// Values holds the text of each setting that the process knows, by the name that it has in
	// the file. It serves to name the settings that have changed.
	Values map[string]string
}

// Parser parses the bytes of a settings file. Its errors name the setting that is invalid.
type Parser func(data []byte) (*Content, error)

// Change holds the settings of a file that has changed.
type Change struct {
	Settings *schema.Settings
	// RestartNeeded holds the sorted names of the settings whose values differ from those with
	// which the process started, and which it takes only at its start.
	RestartNeeded []string
}

// Watcher detects changes of a settings file. It reads no clock: its owner calls Check at
// intervals. It isn't safe for concurrent use.
type Watcher struct {
	read       func() ([]byte, error)
	parse      Parser
	atStart    map[string]string // values with which the process started, by name
	reloadable []string          // names of the settings that a running process takes

	taken     []byte // content that Check returned last
	candidate []byte // other content that the last Check read, valid or not; nil: none
	problem   string // error that Check returned last; empty: the file has no problem
}

// NewWatcher returns a watcher of the file at a path. atStart holds the values with which the
// process has started, and reloadable the names of the settings that it takes while it runs.
func NewWatcher(path string, parse Parser, atStart map[string]string, reloadable ...string) *Watcher {
	return newWatcher(func() ([]byte, error) { return os.ReadFile(path) }, parse, atStart, reloadable...)
}

func newWatcher(read func() ([]byte, error), parse Parser, atStart map[string]string, reloadable ...string) *Watcher {
	return &Watcher{read: read, parse: parse, atStart: atStart, reloadable: reloadable}
}

// Check reads the file. It returns a change if the content is valid and differs from what it
// returned last, and if two successive calls have read the same: the file may be half written
// when it is read. Otherwise it returns nil, and what was in force remains so. It returns an
// error if the file can't be read or is invalid, but not the same error twice in succession.
func (w *Watcher) Check() (*Change, error) {
	data, err := w.read()
	if err != nil {
		w.candidate = nil
		return nil, w.report(err)
	}
	if w.taken != nil && bytes.Equal(data, w.taken) {
		w.candidate, w.problem = nil, ""
		return nil, nil
	}
	if w.candidate == nil || !bytes.Equal(data, w.candidate) {
		w.candidate = data
		return nil, nil
	}
	content, err := w.parse(data)
	if err != nil {
		return nil, w.report(err)
	}
	w.taken, w.candidate, w.problem = data, nil, ""
	return &Change{content.Settings, w.restartNeeded(content.Values)}, nil
}

// IsSettling reports whether the last Check read content that the next one may return.
func (w *Watcher) IsSettling() bool { return w.candidate != nil && w.problem == "" }

// report returns an error, or nil if it was returned last time.
func (w *Watcher) report(err error) error {
	if err.Error() == w.problem {
		return nil
	}
	w.problem = err.Error()
	return errors.New(w.problem)
}

// restartNeeded returns the sorted names of the settings that differ from those at the start and
// aren't reloadable.
func (w *Watcher) restartNeeded(values map[string]string) []string {
	var names []string
	for name, value := range w.atStart {
		if current, isSet := values[name]; !isSet || current != value {
			names = append(names, name)
		}
	}
	for name := range values {
		if _, isSet := w.atStart[name]; !isSet {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.DeleteFunc(names, func(name string) bool { return slices.Contains(w.reloadable, name) })
}
