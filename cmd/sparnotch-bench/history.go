package main

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"sync"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
)

// history records the events that clients, workers and operators observe. All events have
// times of the same clock.
type history struct {
	clock  eventloop.Clock
	mu     sync.Mutex // guards events
	events []checker.Event
}

func (h *history) now() eventloop.Micros { return h.clock.Now() }

// add records an event. An event without a time gets the current time.
func (h *history) add(e checker.Event) {
	if e.At == 0 {
		e.At = h.now()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	// The close event ends a run. Events of the shutdown after it are not recorded.
	if len(h.events) > 0 && h.events[len(h.events)-1].Kind == checker.Close {
		return
	}
	h.events = append(h.events, e)
}

// sorted returns the events sorted by time.
func (h *history) sorted() []checker.Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := slices.Clone(h.events)
	slices.SortStableFunc(list, func(a, b checker.Event) int { return cmp.Compare(a.At, b.At) })
	return list
}

// write writes the events to a file as JSON, one event per line, sorted by time.
func (h *history) write(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	writer := bufio.NewWriter(file)
	encoder := json.NewEncoder(writer)
	for _, e := range h.sorted() {
		if err := encoder.Encode(e); err != nil {
			file.Close()
			return err
		}
	}
	if err := writer.Flush(); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}

// readHistory reads a history from a file that history.write has written. It returns an
// error with the number of the line if a line isn't an event, an event is earlier than the
// one before it, or the close event at the end is missing: such a history can't be checked.
func readHistory(path string) ([]checker.Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var list []checker.Event
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 64<<20)
	for number := 1; scanner.Scan(); number++ {
		var e checker.Event
		decoder := json.NewDecoder(bytes.NewReader(scanner.Bytes()))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&e); err != nil {
			return nil, fmt.Errorf("%s: line %d: not an event of a history: %w", path, number, err)
		}
		if e.Kind == "" {
			return nil, fmt.Errorf("%s: line %d: not an event of a history: the kind is missing", path, number)
		}
		if len(list) > 0 && e.At < list[len(list)-1].At {
			return nil, fmt.Errorf("%s: line %d: earlier than the event of the line before", path, number)
		}
		list = append(list, e)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("%s: line %d: %w", path, len(list)+1, err)
	}
	if len(list) == 0 || list[len(list)-1].Kind != checker.Close {
		return nil, fmt.Errorf("%s: line %d: cut off: a complete history ends with a close event", path, len(list)+1)
	}
	return list, nil
}
