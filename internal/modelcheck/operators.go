package modelcheck

import (
	"net/http"
	"strings"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/schema"
)

// operation is a request of an operator and its result, an entry of the history that is
// checked for linearizability.
type operation struct {
	operator             int
	isRead               bool
	baseVersion, version uint64 // of a replace: the version that it expects, and its own
	content              string
	invokedAt            int // event number
	returnedAt           int // event number; 0: no result
	code                 int32
	readVersion          uint64 // result of a read
	readContent          string
	minVersion           uint64 // highest version that any operator had seen at the invocation
	isAbandoned          bool
	isApplied            bool // a machine applied it as the next version
}

func (o *operation) isOpen() bool { return o.returnedAt == 0 && !o.isAbandoned }

// noOperation stands for the operation of an idle operator.
const noOperation = -1

// operator has one operation in progress at most.
type operator struct {
	operation    int    // index of the one in progress, or noOperation
	knownVersion uint64 // that its next replace is based on
}

func replaceCommand(o *operation) []byte {
	update := &schema.ConfigurationUpdate{Version: o.version, BaseVersion: o.baseVersion, Document: []byte(o.content)}
	return marshalCommand(&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{
		UpdateConfiguration: &schema.UpdateConfiguration{Update: update},
	}})
}

// fillerCommand is a command without an effect that matters; it takes up an entry.
func fillerCommand() []byte {
	return marshalCommand(&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_ClaimControllerLease{
		ClaimControllerLease: &schema.ClaimControllerLease{Holder: "controller"},
	}})
}

func marshalCommand(command *schema.ClusterStateCommand) []byte {
	data, err := proto.Marshal(command)
	if err != nil {
		panic("modelcheck: " + err.Error())
	}
	return data
}

// proposeReplace proposes a replace to a machine: the operator's next one, or the one in
// progress once more.
func (w *World) proposeReplace(number, at int) bool {
	operator, m := &w.operators[number], w.mutableMachine(at)
	if m.group == nil || !m.group.IsLeader() || m.group.Transferee() != "" {
		return false
	}
	if operator.operation == noOperation {
		if len(w.operations) >= w.limits.Operations {
			return false
		}
		operator.operation = len(w.operations)
		w.operations = append(w.operations, w.newReplace(number))
	} else if w.operations[operator.operation].isRead || m.hasPendingProposal(operator.operation) {
		return false
	}
	index, term, err := m.group.Propose(m.clock, replaceCommand(&w.operations[operator.operation]))
	if err == nil {
		m.pendingProposals[index] = pendingProposal{term: term, operation: operator.operation}
	}
	return true
}

// newReplace makes an operator's next replace, with a content and a version of its own.
func (w *World) newReplace(operator int) operation {
	base := w.operators[operator].knownVersion
	content := string(rune('A' + len(w.operations)))
	if w.limits.LargeBytes > 0 && len(w.operations)%2 == 0 {
		content += strings.Repeat("-", w.limits.LargeBytes)
	}
	return operation{
		operator: operator, baseVersion: base, version: base + 1 + uint64(operator), content: content,
		invokedAt: w.nextEvent(), minVersion: w.maxKnownVersion,
	}
}

// hasPendingProposal reports whether the machine has proposed an operation in this term: its
// client waits there, and doesn't repeat the request to the same node.
func (m *machine) hasPendingProposal(operation int) bool {
	for _, proposal := range m.pendingProposals {
		if proposal.operation == operation {
			return true
		}
	}
	return false
}

// startRead asks a machine for the configuration.
func (w *World) startRead(number, at int) bool {
	operator, m := &w.operators[number], w.mutableMachine(at)
	if m.group == nil || !m.group.IsLeader() || operator.operation != noOperation || len(w.operations) >= w.limits.Operations {
		return false
	}
	m.lastReadID++
	if m.group.ReadIndex(m.clock, m.lastReadID) != nil {
		return false
	}
	operator.operation = len(w.operations)
	w.operations = append(w.operations, operation{operator: number, isRead: true, invokedAt: w.nextEvent(), minVersion: w.maxKnownVersion})
	m.pendingReads[m.lastReadID] = operator.operation
	return true
}

// abandon gives an operation up: whether it takes effect stays unknown to its operator.
func (w *World) abandon(number int) bool {
	operator := &w.operators[number]
	if operator.operation == noOperation {
		return false
	}
	w.operations[operator.operation].isAbandoned = true
	operator.operation = noOperation
	return true
}

// completeReplace returns a replace's result to its operator.
func (w *World) completeReplace(number int, result *clusterstate.Result) {
	o := &w.operations[number]
	if !o.isOpen() {
		return
	}
	o.returnedAt, o.code = w.nextEvent(), result.Code
	operator := &w.operators[o.operator]
	operator.operation = noOperation
	if result.Code != http.StatusOK {
		operator.knownVersion = result.Error.GetCurrent()
		if o.isApplied {
			w.fail("operation %d was applied and then refused", number)
		}
		return
	}
	operator.knownVersion = max(operator.knownVersion, o.version)
	w.maxKnownVersion = max(w.maxKnownVersion, o.version)
	if !o.isApplied {
		w.fail("operation %d was confirmed, yet never applied", number)
	}
}

// completeRead returns a read's result to its operator.
func (w *World) completeRead(number int, configuration *schema.Configuration) {
	o := &w.operations[number]
	if !o.isOpen() {
		return
	}
	o.returnedAt, o.code, o.readVersion, o.readContent = w.nextEvent(), http.StatusOK, configuration.GetVersion(), string(configuration.GetDocument())
	operator := &w.operators[o.operator]
	operator.operation, operator.knownVersion = noOperation, o.readVersion
	if o.readVersion < o.minVersion {
		w.fail("stale read: operation %d returns version %d, after %d was seen", number, o.readVersion, o.minVersion)
	}
	w.maxKnownVersion = max(w.maxKnownVersion, o.readVersion)
}
