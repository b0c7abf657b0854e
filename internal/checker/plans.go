package checker

// The rules on configurations: which are taken, and when they are in force.

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// configurationContent is the content of a table that was put or read, whatever the order of its rows.
func configurationContent(e *Event) string {
	lines := make([]string, 0, len(e.Rows)+1)
	lines = append(lines, e.Document)
	for _, row := range e.Rows {
		lines = append(lines, fmt.Sprintf("%s/%s/%s=%s", row.Kind, row.Name, row.Key, row.Value))
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n")
}

// checkConfigurations: 11, a table that was taken is seen by all soon after, is what was put,
// and stays; of two built on the same generation only one is taken.
func (a *analysis) checkConfigurations(history []Event) {
	type put struct {
		at         eventloop.Micros
		generation uint64
	}
	var puts []put
	acceptedAt := map[string]eventloop.Micros{} // when, by content
	contentOf := map[uint64]string{}            // by generation
	successorOf := map[uint64]uint64{}          // by the generation it was built on
	submitted := map[string]bool{}              // every content anybody sent
	var newest *Event                           // shown so far
	newestRead := map[string]*Event{}           // newest read of each front
	isAvailable := map[string]bool{}
	for k := range history {
		e := &history[k]
		switch e.Kind {
		case GatewayUnavailable:
			isAvailable[e.Gateway] = false
		case GatewayAvailable:
			isAvailable[e.Gateway] = true
		case ConfigurationSent:
			submitted[configurationContent(e)] = true
		case ConfigurationReply:
			content := configurationContent(e)
			if e.State == Invalid && e.Code < 300 {
				a.report(11, e.At, "a table that is no successor was taken as generation %d", e.Version)
			}
			if at, isTaken := acceptedAt[content]; isTaken && e.Document != "" && e.sentAt() > at && e.Code >= 400 && e.Code < 500 && e.Code != 429 {
				a.report(11, e.At, "a table that was taken at %d is refused with %d when it comes again", at, e.Code)
			}
			if _, isTaken := acceptedAt[content]; !isTaken && (e.Code == 200 || e.State == AcknowledgementLost) {
				acceptedAt[content] = e.At
			}
			if e.Code != 200 || e.State == Invalid {
				continue
			}
			puts = append(puts, put{e.At, e.Version})
			if e.Rows == nil {
				continue
			}
			if other, known := contentOf[e.Version]; known && other != content {
				a.report(11, e.At, "two tables were both taken as generation %d", e.Version)
			}
			contentOf[e.Version] = content
			if other, known := successorOf[e.BaseVersion]; known && e.BaseVersion > 0 && other != e.Version {
				a.report(11, e.At, "generations %d and %d were both taken on top of %d", other, e.Version, e.BaseVersion)
			}
			successorOf[e.BaseVersion] = e.Version
		case ConfigurationRead:
			if e.Code != 200 {
				continue
			}
			newestRead[e.Gateway] = e
			for _, p := range puts {
				if e.sentAt() > p.at+a.bounds.Propagation && e.Version < p.generation {
					a.report(11, e.At, "generation %d was taken at %d, %s shows %d", p.generation, p.at, e.Gateway, e.Version)
					break
				}
			}
			if newest != nil && e.sentAt() > newest.At && e.Version < newest.Version {
				a.report(11, e.At, "generation %d was shown at %d, and %s shows %d again", newest.Version, newest.At, e.Gateway, e.Version)
			}
			if newest == nil || e.Version >= newest.Version {
				newest = e
			}
			if e.Rows == nil {
				continue
			}
			content := configurationContent(e)
			if mine, known := contentOf[e.Version]; known && mine != content {
				a.report(11, e.At, "generation %d is shown with other content than was taken", e.Version)
			} else if !known && e.Version > 1 && !submitted[content] {
				a.report(11, e.At, "generation %d is shown with content nobody put", e.Version)
			} else if !known {
				contentOf[e.Version] = content
			}
		}
	}
	if len(puts) == 0 {
		return
	}
	final := puts[0]
	for _, p := range puts {
		if p.generation > final.generation {
			final = p
		}
	}
	// Read back at the end, through every front that can be asked.
	isRead := len(isAvailable) > 0
	for front, canServe := range isAvailable {
		if canServe && (newestRead[front] == nil || newestRead[front].sentAt() < final.at || newestRead[front].Version < final.generation) {
			a.report(11, final.at, "generation %d was taken and never read back through %s", final.generation, front)
		}
	}
	for _, e := range newestRead {
		isRead = isRead || e.sentAt() >= final.at && e.Version >= final.generation
	}
	if !isRead {
		a.report(11, final.at, "generation %d was taken and never read back", final.generation)
	}
}

// rowValue finds a row's value.
func rowValue(rows []*schema.ConfigurationRow, kind, name, key string) string {
	for _, row := range rows {
		if row.Kind == kind && row.Name == name && row.Key == key {
			return row.Value
		}
	}
	return ""
}

func hasQueue(rows []*schema.ConfigurationRow, queue string) bool {
	for _, row := range rows {
		if row.Kind == "queue" && row.Name == queue {
			return true
		}
	}
	return false
}

// checkConfigurationEffects: 11 as well, what a table says is done, everywhere, soon after it was
// taken: a queue's coming and going, a rack without weight, a queue's limit.
func (a *analysis) checkConfigurationEffects(history []Event) {
	var puts []*Event // those that were taken, in their order
	for k := range history {
		if e := &history[k]; e.Kind == ConfigurationReply && e.Code == 200 && e.Rows != nil {
			puts = append(puts, e)
		}
	}
	if len(puts) == 0 {
		return
	}
	// Who asked again may have been told late that an older one was taken.
	sort.SliceStable(puts, func(a, b int) bool { return puts[a].Version < puts[b].Version })
	// holds tells whether something is so in every table that may count at a
	// moment: those of the last span, and the newest before it. A table whose
	// answer was late counts from when it was sent.
	inForce := func(from, to eventloop.Micros, condition func(rows []*schema.ConfigurationRow) bool) bool {
		found := false
		for k, p := range puts {
			isCurrent := k+1 == len(puts) || puts[k+1].At+a.bounds.Propagation > from
			if p.sentAt() > to || !isCurrent {
				continue
			}
			if p.At+a.bounds.Propagation <= from {
				found = true
			}
			if !condition(p.Rows) {
				return false
			}
		}
		return found
	}
	racks := map[string]string{}
	pools := map[string]string{}
	running := map[string]map[taskID]bool{}
	isUnclear := a.hasUnclearUpdate(history)
	for k := range history {
		e := &history[k]
		switch e.Kind {
		case WorkerUp:
			racks[e.Actor], pools[e.Actor] = e.Rack, e.Pool
		case SubmitReply:
			if e.Code == 404 && !isUnclear && inForce(e.sentAt(), e.At, func(rows []*schema.ConfigurationRow) bool { return hasQueue(rows, e.Queue) }) {
				a.report(11, e.At, "%s doesn't know the queue %s, which the table has", e.Gateway, e.Queue)
			}
			if e.Code == 201 && !isUnclear && inForce(e.sentAt(), e.At, func(rows []*schema.ConfigurationRow) bool { return !hasQueue(rows, e.Queue) }) {
				a.report(11, e.At, "%s takes a job for the queue %s, which the table hasn't", e.Gateway, e.Queue)
			}
		case TaskStart:
			if running[e.Queue] == nil {
				running[e.Queue] = map[taskID]bool{}
			}
			rack := racks[e.Actor]
			if inForce(e.At, e.At, func(rows []*schema.ConfigurationRow) bool { return rowValue(rows, "rack", rack, "weight") == "0" }) {
				a.report(11, e.At, "work starts on %s in rack %s, whose weight is 0", e.Actor, rack)
			}
			pool := pools[e.Actor]
			if e.IsCalled && inForce(e.At, e.At, func(rows []*schema.ConfigurationRow) bool { return rowValue(rows, "queue", e.Queue, "pool") != pool }) {
				a.report(11, e.At, "work of the queue %s starts on %s, whose pool is %q", e.Queue, e.Actor, pool)
			}
			running[e.Queue][e.taskID()] = true
			count := len(running[e.Queue])
			isTooMany := func(rows []*schema.ConfigurationRow) bool {
				most, err := strconv.Atoi(rowValue(rows, "queue", e.Queue, "running"))
				return err == nil && count > most
			}
			if inForce(e.At, e.At, isTooMany) {
				a.report(11, e.At, "%d tasks of the queue %s run, more than the table allows", count, e.Queue)
			}
		case TaskEnd:
			delete(running[e.Queue], e.taskID())
		case WorkerGone, WorkerPaused:
			// What ran there isn't running, though nobody said so.
			for _, list := range running {
				for id := range list {
					for _, run := range a.jobs[id.jobKey].runs[id] {
						if run.worker == e.Actor && run.end <= e.At && run.end > 0 {
							delete(list, id)
						}
					}
				}
			}
		}
	}
}

// hasUnclearUpdate tells whether a table was sent of which nobody knows whether it
// was taken; queues may then come and go by its word.
func (a *analysis) hasUnclearUpdate(history []Event) bool {
	for k := range history {
		if e := &history[k]; e.Kind == ConfigurationReply && (e.Code == 0 || e.Code == 504) {
			return true
		}
	}
	return false
}
