package modelcheck

import (
	"net/http"
	"strings"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/schema"
)

// operation is a request of an operator together with its result. The operations of a run are
// the history that is checked for linearizability.
type operation struct {
	operator             int
	isRead               bool
	baseVersion, version uint64 // of a replace: the version that it expects, and the new version
	content              string
	invokedAt            int    // event number
	returnedAt           int    // event number; 0: no result
	code                 int32  // HTTP status of the result; 0: no result
	readVersion          uint64 // result of a read
	readContent          string
	minVersion           uint64 // highest version that any operator had seen at the invocation
	isAbandoned          bool
	isApplied            bool // a machine applied it as the next version of the configuration
}

func (o *operation) isOpen() bool { return o.returnedAt == 0 && !o.isAbandoned }

// noOperation stands for the operation of an idle operator.
const noOperation = -1

// operator is a client that reads and replaces the configuration. It has at most one operation
// in progress.
type operator struct {
	operation    int    // index of the operation in progress, or noOperation
	knownVersion uint64 // latest version that it knows, on which its next replace is based
}

func replaceCommand(o *operation) []byte {
	update := &schema.ConfigurationUpdate{Version: o.version, BaseVersion: o.baseVersion, Document: []byte(o.content)}
	return marshalCommand(&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{
		UpdateConfiguration: &schema.UpdateConfiguration{Update: update},
	}})
}

// fillerCommand returns a command that fills a log entry and whose effect doesn't matter.
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

// proposeReplace proposes a replace of the configuration to a machine. An idle operator starts
// a new replace; otherwise the replace in progress is sent again. It returns false if the
// machine can't take the request now.
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

// newReplace returns an operator's next replace, whose content and version are unique.
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

// hasPendingProposal reports whether an operation's proposal is pending on the machine. Its
// client then waits for the result, and doesn't repeat the request to the same machine.
func (m *machine) hasPendingProposal(operation int) bool {
	for _, proposal := range m.pendingProposals {
		if proposal.operation == operation {
			return true
		}
	}
	return false
}

// startRead starts a read of the configuration at a machine. It returns false if the operator
// or the machine can't do that now.
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

// abandon lets an operator give up its operation, without knowing whether it takes effect. It
// returns false if the operator is idle.
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
		w.fail("operation %d was confirmed, but never applied", number)
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
		w.fail("stale read: operation %d returns version %d after version %d was seen", number, o.readVersion, o.minVersion)
	}
	w.maxKnownVersion = max(w.maxKnownVersion, o.readVersion)
}
