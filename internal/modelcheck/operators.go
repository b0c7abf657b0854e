package modelcheck

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/schema"
)

// operation is what an operator has asked for.
type operation struct {
	operator      int
	isRead        bool
	base, edition uint64 // a replace: which one it is built on, and its own number
	content       string
	asked         int // when, in steps of the world
	answered      int // 0: no answer
	code          int32
	got           uint64 // what a read showed
	gotContent    string
	floor         uint64 // highest edition that anybody had been told of when it was asked
	isGivenUp     bool
	isTaken       bool // some machine applied it as the next edition
}

func (o *operation) isOpen() bool { return o.answered == 0 && !o.isGivenUp }

// operator asks for one thing at a time.
type operator struct {
	current int    // operation under way; -1: none
	knows   uint64 // the edition it would build on
}

func commandOf(o *operation) []byte {
	sheet := &schema.ConfigurationUpdate{Version: o.edition, BaseVersion: o.base, Document: []byte(o.content)}
	return encode(&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: sheet}}})
}

// noise is a command that changes little and costs a record.
func noise() []byte {
	return encode(&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_ClaimControllerLease{ClaimControllerLease: &schema.ClaimControllerLease{Holder: "controller"}}})
}

func encode(command *schema.ClusterStateCommand) []byte {
	data, err := proto.Marshal(command)
	if err != nil {
		panic("modelcheck: " + err.Error())
	}
	return data
}

// put asks a machine for a replace: an operator's next one, or the one under
// way once more.
func (w *World) put(number, at int) bool {
	each, m := &w.operators[number], w.own(at)
	if m.group == nil || !m.group.IsLeader() || m.group.Transferee() != "" {
		return false
	}
	if each.current < 0 {
		if len(w.operations) >= w.limits.Operations {
			return false
		}
		o := operation{operator: number, base: each.knows, edition: each.knows + 1 + uint64(number), asked: w.tick(), floor: w.told}
		o.content = string(rune('A' + len(w.operations)))
		if w.limits.Large > 0 && len(w.operations)%2 == 0 {
			o.content += strings.Repeat("-", w.limits.Large)
		}
		each.current = len(w.operations)
		w.operations = append(w.operations, o)
	} else if w.operations[each.current].isRead || w.isWaitedFor(m, each.current) {
		return false
	}
	index, term, err := m.group.Propose(m.clock, commandOf(&w.operations[each.current]))
	if err == nil {
		m.waiting[index] = waiting{term: term, operation: each.current}
	}
	return true
}

// isWaitedFor keeps a resend from going to a node that already has it on its
// way in this term, as its client waits there.
func (w *World) isWaitedFor(m *machine, number int) bool {
	for _, each := range m.waiting {
		if each.operation == number {
			return true
		}
	}
	return false
}

// read asks a machine for the configuration.
func (w *World) read(number, at int) bool {
	each, m := &w.operators[number], w.own(at)
	if m.group == nil || !m.group.IsLeader() || each.current >= 0 || len(w.operations) >= w.limits.Operations {
		return false
	}
	m.reads++
	if m.group.ReadIndex(m.clock, m.reads) != nil {
		return false
	}
	each.current = len(w.operations)
	w.operations = append(w.operations, operation{operator: number, isRead: true, asked: w.tick(), floor: w.told})
	m.reading[m.reads] = each.current
	return true
}

// giveUp leaves an operation unclear: its answer, if one comes, is lost.
func (w *World) giveUp(number int) bool {
	each := &w.operators[number]
	if each.current < 0 {
		return false
	}
	w.operations[each.current].isGivenUp = true
	each.current = -1
	return true
}

// answerPut brings a replace's result to its operator.
func (w *World) answerPut(number int, result *clusterstate.Result) {
	o := &w.operations[number]
	if !o.isOpen() {
		return
	}
	o.answered, o.code = w.tick(), result.Code
	each := &w.operators[o.operator]
	each.current = -1
	switch result.Code {
	case 200:
		each.knows = max(each.knows, o.edition)
		w.told = max(w.told, o.edition)
		if !o.isTaken {
			w.fail("operation %d was confirmed, yet nobody has taken it", number)
		}
	default:
		each.knows = result.Error.GetCurrent()
		if o.isTaken {
			w.fail("operation %d was taken and refused", number)
		}
	}
}

// answerRead brings what a read shows to its operator.
func (w *World) answerRead(number int, plan *schema.Configuration) {
	o := &w.operations[number]
	if !o.isOpen() {
		return
	}
	o.answered, o.code, o.got, o.gotContent = w.tick(), 200, plan.GetVersion(), string(plan.GetDocument())
	each := &w.operators[o.operator]
	each.current, each.knows = -1, o.got
	if o.got < o.floor {
		w.fail("stale read: operation %d shows edition %d, after %d was told", number, o.got, o.floor)
	}
	w.told = max(w.told, o.got)
}
