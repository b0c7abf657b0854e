package modelcheck

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/schema"
)

// operation is what an operator has asked for.
type operation struct {
	operator             int
	isRead               bool
	baseVersion, version uint64 // a replace: which one it is built on, and its own number
	content              string
	invokedAt            int // when, in steps of the world
	returnedAt           int // 0: no answer
	code                 int32
	readVersion          uint64 // what a read showed
	readContent          string
	minVersion           uint64 // highest edition that anybody had been told of when it was asked
	isAbandoned          bool
	isApplied            bool // some machine applied it as the next edition
}

func (o *operation) isOpen() bool { return o.returnedAt == 0 && !o.isAbandoned }

// operator asks for one thing at a time.
type operator struct {
	operation    int    // operation under way; -1: none
	knownVersion uint64 // the edition it would build on
}

func replaceCommand(o *operation) []byte {
	update := &schema.ConfigurationUpdate{Version: o.version, BaseVersion: o.baseVersion, Document: []byte(o.content)}
	return marshalCommand(&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: update}}})
}

// fillerCommand is a command that changes little and costs a record.
func fillerCommand() []byte {
	return marshalCommand(&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_ClaimControllerLease{ClaimControllerLease: &schema.ClaimControllerLease{Holder: "controller"}}})
}

func marshalCommand(command *schema.ClusterStateCommand) []byte {
	data, err := proto.Marshal(command)
	if err != nil {
		panic("modelcheck: " + err.Error())
	}
	return data
}

// proposeReplace asks a machine for a replace: an operator's next one, or the one under
// way once more.
func (w *World) proposeReplace(number, at int) bool {
	each, m := &w.operators[number], w.mutableMachine(at)
	if m.group == nil || !m.group.IsLeader() || m.group.Transferee() != "" {
		return false
	}
	if each.operation < 0 {
		if len(w.operations) >= w.limits.Operations {
			return false
		}
		o := operation{operator: number, baseVersion: each.knownVersion, version: each.knownVersion + 1 + uint64(number), invokedAt: w.nextEvent(), minVersion: w.maxKnownVersion}
		o.content = string(rune('A' + len(w.operations)))
		if w.limits.LargeBytes > 0 && len(w.operations)%2 == 0 {
			o.content += strings.Repeat("-", w.limits.LargeBytes)
		}
		each.operation = len(w.operations)
		w.operations = append(w.operations, o)
	} else if w.operations[each.operation].isRead || w.isPending(m, each.operation) {
		return false
	}
	index, term, err := m.group.Propose(m.clock, replaceCommand(&w.operations[each.operation]))
	if err == nil {
		m.pendingProposals[index] = pendingProposal{term: term, operation: each.operation}
	}
	return true
}

// isPending keeps a resend from going to a node that already has it on its
// way in this term, as its client waits there.
func (w *World) isPending(m *machine, number int) bool {
	for _, each := range m.pendingProposals {
		if each.operation == number {
			return true
		}
	}
	return false
}

// startRead asks a machine for the configuration.
func (w *World) startRead(number, at int) bool {
	each, m := &w.operators[number], w.mutableMachine(at)
	if m.group == nil || !m.group.IsLeader() || each.operation >= 0 || len(w.operations) >= w.limits.Operations {
		return false
	}
	m.lastReadID++
	if m.group.ReadIndex(m.clock, m.lastReadID) != nil {
		return false
	}
	each.operation = len(w.operations)
	w.operations = append(w.operations, operation{operator: number, isRead: true, invokedAt: w.nextEvent(), minVersion: w.maxKnownVersion})
	m.pendingReads[m.lastReadID] = each.operation
	return true
}

// abandon leaves an operation unclear: its answer, if one comes, is lost.
func (w *World) abandon(number int) bool {
	each := &w.operators[number]
	if each.operation < 0 {
		return false
	}
	w.operations[each.operation].isAbandoned = true
	each.operation = -1
	return true
}

// completeReplace brings a replace's result to its operator.
func (w *World) completeReplace(number int, result *clusterstate.Result) {
	o := &w.operations[number]
	if !o.isOpen() {
		return
	}
	o.returnedAt, o.code = w.nextEvent(), result.Code
	each := &w.operators[o.operator]
	each.operation = -1
	switch result.Code {
	case 200:
		each.knownVersion = max(each.knownVersion, o.version)
		w.maxKnownVersion = max(w.maxKnownVersion, o.version)
		if !o.isApplied {
			w.fail("operation %d was confirmed, yet nobody has taken it", number)
		}
	default:
		each.knownVersion = result.Error.GetCurrent()
		if o.isApplied {
			w.fail("operation %d was taken and refused", number)
		}
	}
}

// completeRead brings what a read shows to its operator.
func (w *World) completeRead(number int, configuration *schema.Configuration) {
	o := &w.operations[number]
	if !o.isOpen() {
		return
	}
	o.returnedAt, o.code, o.readVersion, o.readContent = w.nextEvent(), 200, configuration.GetVersion(), string(configuration.GetDocument())
	each := &w.operators[o.operator]
	each.operation, each.knownVersion = -1, o.readVersion
	if o.readVersion < o.minVersion {
		w.fail("stale read: operation %d shows edition %d, after %d was told", number, o.readVersion, o.minVersion)
	}
	w.maxKnownVersion = max(w.maxKnownVersion, o.readVersion)
}
