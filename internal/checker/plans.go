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

// sheet is the content of a table that was put or read, whatever the order of its rows.
func sheet(e *Event) string {
	lines := make([]string, 0, len(e.Rows)+1)
	lines = append(lines, e.Document)
	for _, row := range e.Rows {
		lines = append(lines, fmt.Sprintf("%s/%s/%s=%s", row.Kind, row.Name, row.Key, row.Value))
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n")
}

// plans: 11, a table that was taken is seen by all soon after, is what was put,
// and stays; of two built on the same generation only one is taken.
func (j *judge) plans(history []Event) {
	type put struct {
		at         eventloop.Micros
		generation uint64
	}
	var puts []put
	taken := map[string]eventloop.Micros{} // when, by content
	won := map[uint64]string{}             // by generation
	on := map[uint64]uint64{}              // by the generation it was built on
	tried := map[string]bool{}             // every content anybody sent
	var newest *Event                      // shown so far
	last := map[string]*Event{}            // newest read of each front
	isUp := map[string]bool{}
	for k := range history {
		e := &history[k]
		switch e.Kind {
		case Away:
			isUp[e.Front] = false
		case Back:
			isUp[e.Front] = true
		case PlanSent:
			tried[sheet(e)] = true
		case PlanPut:
			content := sheet(e)
			if e.State == Invalid && e.Code < 300 {
				j.breach(11, e.At, "a table that is no successor was taken as generation %d", e.Generation)
			}
			if at, isTaken := taken[content]; isTaken && e.Document != "" && e.sent() > at && e.Code >= 400 && e.Code < 500 && e.Code != 429 {
				j.breach(11, e.At, "a table that was taken at %d is refused with %d when it comes again", at, e.Code)
			}
			if _, isTaken := taken[content]; !isTaken && (e.Code == 200 || e.State == AnswerLost) {
				taken[content] = e.At
			}
			if e.Code != 200 || e.State == Invalid {
				continue
			}
			puts = append(puts, put{e.At, e.Generation})
			if e.Rows == nil {
				continue
			}
			if other, isKnown := won[e.Generation]; isKnown && other != content {
				j.breach(11, e.At, "two tables were both taken as generation %d", e.Generation)
			}
			won[e.Generation] = content
			if other, isKnown := on[e.Built]; isKnown && e.Built > 0 && other != e.Generation {
				j.breach(11, e.At, "generations %d and %d were both taken on top of %d", other, e.Generation, e.Built)
			}
			on[e.Built] = e.Generation
		case PlanRead:
			if e.Code != 200 {
				continue
			}
			last[e.Front] = e
			for _, p := range puts {
				if e.sent() > p.at+j.bounds.Plan && e.Generation < p.generation {
					j.breach(11, e.At, "generation %d was taken at %d, %s shows %d", p.generation, p.at, e.Front, e.Generation)
					break
				}
			}
			if newest != nil && e.sent() > newest.At && e.Generation < newest.Generation {
				j.breach(11, e.At, "generation %d was shown at %d, and %s shows %d again", newest.Generation, newest.At, e.Front, e.Generation)
			}
			if newest == nil || e.Generation >= newest.Generation {
				newest = e
			}
			if e.Rows == nil {
				continue
			}
			content := sheet(e)
			if mine, isWon := won[e.Generation]; isWon && mine != content {
				j.breach(11, e.At, "generation %d is shown with other content than was taken", e.Generation)
			} else if !isWon && e.Generation > 1 && !tried[content] {
				j.breach(11, e.At, "generation %d is shown with content nobody put", e.Generation)
			} else if !isWon {
				won[e.Generation] = content
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
	isRead := len(isUp) > 0
	for front, isHere := range isUp {
		if isHere && (last[front] == nil || last[front].sent() < final.at || last[front].Generation < final.generation) {
			j.breach(11, final.at, "generation %d was taken and never read back through %s", final.generation, front)
		}
	}
	for _, e := range last {
		isRead = isRead || e.sent() >= final.at && e.Generation >= final.generation
	}
	if !isRead {
		j.breach(11, final.at, "generation %d was taken and never read back", final.generation)
	}
}

// value finds a row's value.
func value(rows []*schema.ConfigurationRow, kind, name, key string) string {
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

// effects: 11 as well, what a table says is done, everywhere, soon after it was
// taken: a queue's coming and going, a rack without weight, a queue's limit.
func (j *judge) effects(history []Event) {
	var puts []*Event // those that were taken, in their order
	for k := range history {
		if e := &history[k]; e.Kind == PlanPut && e.Code == 200 && e.Rows != nil {
			puts = append(puts, e)
		}
	}
	if len(puts) == 0 {
		return
	}
	// Who asked again may have been told late that an older one was taken.
	sort.SliceStable(puts, func(a, b int) bool { return puts[a].Generation < puts[b].Generation })
	// holds tells whether something is so in every table that may count at a
	// moment: those of the last span, and the newest before it. A table whose
	// answer was late counts from when it was sent.
	holds := func(from, to eventloop.Micros, isSo func(rows []*schema.ConfigurationRow) bool) bool {
		isAny := false
		for k, p := range puts {
			isStill := k+1 == len(puts) || puts[k+1].At+j.bounds.Plan > from
			if p.sent() > to || !isStill {
				continue
			}
			if p.At+j.bounds.Plan <= from {
				isAny = true
			}
			if !isSo(p.Rows) {
				return false
			}
		}
		return isAny
	}
	racks := map[string]string{}
	pools := map[string]string{}
	running := map[string]map[taskId]bool{}
	isUnclear := j.unclearPuts(history)
	for k := range history {
		e := &history[k]
		switch e.Kind {
		case Up:
			racks[e.Who], pools[e.Who] = e.Rack, e.Pool
		case HandInReply:
			if e.Code == 404 && !isUnclear && holds(e.sent(), e.At, func(rows []*schema.ConfigurationRow) bool { return hasQueue(rows, e.Queue) }) {
				j.breach(11, e.At, "%s doesn't know the queue %s, which the table has", e.Front, e.Queue)
			}
			if e.Code == 201 && !isUnclear && holds(e.sent(), e.At, func(rows []*schema.ConfigurationRow) bool { return !hasQueue(rows, e.Queue) }) {
				j.breach(11, e.At, "%s takes a job for the queue %s, which the table hasn't", e.Front, e.Queue)
			}
		case Begin:
			if running[e.Queue] == nil {
				running[e.Queue] = map[taskId]bool{}
			}
			rack := racks[e.Who]
			if holds(e.At, e.At, func(rows []*schema.ConfigurationRow) bool { return value(rows, "rack", rack, "weight") == "0" }) {
				j.breach(11, e.At, "work starts on %s in rack %s, whose weight is 0", e.Who, rack)
			}
			pool := pools[e.Who]
			if e.IsCalled && holds(e.At, e.At, func(rows []*schema.ConfigurationRow) bool { return value(rows, "queue", e.Queue, "pool") != pool }) {
				j.breach(11, e.At, "work of the queue %s starts on %s, whose pool is %q", e.Queue, e.Who, pool)
			}
			running[e.Queue][e.id()] = true
			count := len(running[e.Queue])
			isTooMany := func(rows []*schema.ConfigurationRow) bool {
				most, err := strconv.Atoi(value(rows, "queue", e.Queue, "running"))
				return err == nil && count > most
			}
			if holds(e.At, e.At, isTooMany) {
				j.breach(11, e.At, "%d tasks of the queue %s run, more than the table allows", count, e.Queue)
			}
		case End:
			delete(running[e.Queue], e.id())
		case Gone, Pause:
			// What ran there isn't running, though nobody said so.
			for _, list := range running {
				for id := range list {
					for _, s := range j.accounts[id.jobKey].stints[id] {
						if s.worker == e.Who && s.end <= e.At && s.end > 0 {
							delete(list, id)
						}
					}
				}
			}
		}
	}
}

// unclearPuts tells whether a table was sent of which nobody knows whether it
// was taken; queues may then come and go by its word.
func (j *judge) unclearPuts(history []Event) bool {
	for k := range history {
		if e := &history[k]; e.Kind == PlanPut && (e.Code == 0 || e.Code == 504) {
			return true
		}
	}
	return false
}
