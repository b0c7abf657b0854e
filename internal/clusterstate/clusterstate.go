// Package clusterstate implements the replicated state machine of the cluster state group,
// the Raft group that holds the state of the cluster as a whole:
//
//   - the operators' configuration with its history;
//   - the placement of the queues;
//   - the worker leases, each of which allows exactly one scheduler to command a worker; they
//     don't expire, but the controller reassigns them;
//   - the controller lease, which allows exactly one controller to act.
//
// A StateMachine applies the group's committed entries in log order and is deterministic: its
// only clock is the time that the entries carry. Each replica of the group owns one
// StateMachine; internal/replica applies entries to it and persists its snapshots. All other
// processes work on copies of SharedState, which EncodeUpdate prepares for sending and
// DecodeUpdate decodes. Each command is validated when it is applied, against the fencing
// token of its lease or the configuration version it is based on. A command from a sender
// with a stale view is therefore rejected when its log entry is applied.
package clusterstate

import (
	"net/http"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// GroupName is the name of the cluster state group.
const GroupName = "clusterstate"

// Result is the outcome of a command.
type Result struct {
	Code          int32                 // HTTP status code
	Error         *schema.Error         // reason for the rejection; nil if the command was applied
	FencingToken  uint64                // token of the controller lease; set when a claim is granted
	Configuration *schema.Configuration // current configuration; set after a configuration update; must not be modified
}

func succeeded() *Result { return &Result{Code: http.StatusOK} }

// StateMachine is one replica of the cluster state. It isn't safe for concurrent use.
type StateMachine struct {
	state   *schema.ClusterState
	changed bool // whether the command being applied changed the state; lease renewals don't count

	// The following fields are derived from parsedFrom, the current configuration, and are
	// rebuilt when it is replaced.
	parsedFrom      *schema.Configuration
	values          *Values
	withoutDocument *schema.Configuration

	// compressedRows caches the compressed rows of compressedFrom, the configuration that
	// EncodeUpdate encoded last.
	compressedFrom *schema.Configuration
	compressedRows []byte
}

// New returns an empty cluster state.
func New() *StateMachine {
	return &StateMachine{state: &schema.ClusterState{
		Configuration: &schema.Configuration{}, ControllerLease: &schema.ControllerLease{}, NextToken: 1,
	}}
}

// Restore decodes a snapshot, compressed or not, into a state machine. Empty data gives an
// empty cluster state.
func Restore(data []byte) (*StateMachine, error) {
	m := New()
	if len(data) == 0 {
		return m, nil
	}
	decompressed, err := Decompress(data)
	if err != nil {
		return m, err
	}
	if err := proto.Unmarshal(decompressed, m.state); err != nil {
		return m, err
	}
	m.completeFormerQueues()
	return m, nil
}

// Snapshot encodes the whole state. The encoding is deterministic: replicas that have applied
// the same entries return the same bytes.
func (m *StateMachine) Snapshot() []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m.state)
	if err != nil {
		panic("cluster state: the state can't be encoded: " + err.Error())
	}
	return data
}

// State returns a deep copy of the whole state, which the caller owns.
func (m *StateMachine) State() *schema.ClusterState {
	return proto.Clone(m.state).(*schema.ClusterState)
}

// Configuration returns the current configuration with its document. The caller must not
// modify it.
func (m *StateMachine) Configuration() *schema.Configuration { return m.state.Configuration }

// History returns the previous configurations that are still kept, oldest first, without
// their documents. The caller must not modify them.
func (m *StateMachine) History() []*schema.Configuration { return m.state.PreviousConfigurations }

// Values returns the parsed settings of the current configuration.
func (m *StateMachine) Values() *Values {
	m.refreshDerived()
	return m.values
}

// SharedState returns a copy of the part of the state that every process holds. The copy is
// sent on each change, so it omits the parts that are only served on request: the
// configuration's document, the history and the accepted versions. Its Configuration isn't
// copied: all calls return the same pointer until the configuration is replaced, and callers
// must not modify it.
func (m *StateMachine) SharedState() *schema.ClusterState {
	m.refreshDerived()
	shared := withConfiguration(m.state, m.withoutDocument)
	shared.ControllerLease = proto.Clone(m.state.ControllerLease).(*schema.ControllerLease)
	shared.Queues, shared.WorkerLeases = nil, nil
	for _, placement := range m.state.Queues {
		shared.Queues = append(shared.Queues, proto.Clone(placement).(*schema.QueuePlacement))
	}
	for _, lease := range m.state.WorkerLeases {
		shared.WorkerLeases = append(shared.WorkerLeases, proto.Clone(lease).(*schema.WorkerLease))
	}
	return shared
}

// withConfiguration returns the part of a state that SharedState contains, with the given
// configuration instead of its own. Everything else points into the given state.
func withConfiguration(state *schema.ClusterState, configuration *schema.Configuration) *schema.ClusterState {
	return &schema.ClusterState{
		Version: state.Version, Configuration: configuration, Queues: state.Queues, WorkerLeases: state.WorkerLeases,
		ControllerLease: state.ControllerLease, Voters: state.Voters, NowUs: state.NowUs, NextToken: state.NextToken,
	}
}

// refreshDerived rebuilds the fields that are derived from the configuration if the
// configuration has been replaced.
func (m *StateMachine) refreshDerived() {
	if m.values != nil && m.parsedFrom == m.state.Configuration {
		return
	}
	m.parsedFrom = m.state.Configuration
	m.values = ParseValues(m.parsedFrom)
	m.withoutDocument = WithoutDocument(m.parsedFrom)
}

// WithoutDocument returns a copy of a configuration without its document. The copy shares the
// rows with the original.
func WithoutDocument(configuration *schema.Configuration) *schema.Configuration {
	return &schema.Configuration{
		Revision: configuration.GetRevision(), Rows: configuration.GetRows(), Version: configuration.GetVersion(),
		FormerTenants: configuration.GetFormerTenants(),
	}
}

// Version returns the number of changes applied so far. Renewals of the controller lease
// don't count as changes.
func (m *StateMachine) Version() uint64 { return m.state.Version }

// Apply applies the command of one committed entry, compressed or not, at the entry's time in
// µs. A rejected command yields a Result with an HTTP error code and no error; Apply returns
// an error only if the command can't be decoded.
func (m *StateMachine) Apply(timeUs int64, data []byte) (*Result, error) {
	command, err := DecodeCommand(data)
	if err != nil {
		return nil, err
	}
	if timeUs > m.state.NowUs {
		m.state.NowUs = timeUs
	}
	result := m.dispatch(command)
	if m.changed {
		m.state.Version++
		m.changed = false
	}
	return result, nil
}

func (m *StateMachine) dispatch(command *schema.ClusterStateCommand) *Result {
	switch body := command.Body.(type) {
	case *schema.ClusterStateCommand_UpdateConfiguration:
		return m.replaceConfiguration(body.UpdateConfiguration.Update)
	case *schema.ClusterStateCommand_ClaimControllerLease:
		return m.claimControllerLease(body.ClaimControllerLease.Holder)
	case *schema.ClusterStateCommand_PlaceQueues:
		return m.placeQueues(body.PlaceQueues)
	case *schema.ClusterStateCommand_AssignWorkers:
		return m.assignWorkers(body.AssignWorkers)
	case *schema.ClusterStateCommand_RegisterWorker:
		return m.registerWorker(body.RegisterWorker.Worker)
	}
	return &Result{Code: http.StatusBadRequest}
}

// nextToken returns a number that has never been used before, to serve as a fencing token or
// as the generation of a queue.
func (m *StateMachine) nextToken() uint64 {
	m.state.NextToken++
	return m.state.NextToken - 1
}
