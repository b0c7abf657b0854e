// Package clusterstate is the replicated state machine of the cluster's own Raft group.
// It holds the operators' configuration with its history, the placement of the queues,
// the worker leases (which scheduler alone may command a worker; they don't expire, the
// controller reassigns them) and the controller lease (which controller alone may act).
//
// A StateMachine applies the group's committed entries in log order and is deterministic:
// its only clock is the time that the entries carry. Each replica of the group owns one;
// internal/replica feeds it and persists its snapshots. Everybody else works on copies of
// SharedState, which are sent by EncodeUpdate and read by DecodeUpdate. Each command is
// validated when it is applied, against the fencing token of its lease or the version it is
// based on, so that a sender with a stale view is rejected by the log itself.
package clusterstate

import (
	"net/http"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// GroupName is the name of the cluster's own Raft group.
const GroupName = "clusterstate"

// Result is the outcome of a command, with HTTP's status codes.
type Result struct {
	Code          int32
	Error         *schema.Error         // why the command was rejected; nil if it was applied
	FencingToken  uint64                // of the controller lease, after a granted claim
	Configuration *schema.Configuration // the current one, after a configuration update; not to be changed
}

func succeeded() *Result { return &Result{Code: http.StatusOK} }

// StateMachine is one replica of the cluster state. It isn't safe for concurrent use.
type StateMachine struct {
	state   *schema.ClusterState
	changed bool // by the command being applied; lease renewals don't count

	// Derived from the current configuration, and rebuilt when that is replaced.
	parsedFrom      *schema.Configuration
	values          *Values
	withoutDocument *schema.Configuration

	// The compressed rows of the configuration that was encoded last.
	compressedFrom *schema.Configuration
	compressedRows []byte
}

// New returns an empty cluster state.
func New() *StateMachine {
	return &StateMachine{state: &schema.ClusterState{
		Configuration: &schema.Configuration{}, ControllerLease: &schema.ControllerLease{}, NextToken: 1,
	}}
}

// Restore returns the cluster state of a snapshot, compressed or not; no data is an empty
// state.
func Restore(data []byte) (*StateMachine, error) {
	m := New()
	if len(data) == 0 {
		return m, nil
	}
	decompressed, err := Decompress(data)
	if err != nil {
		return m, err
	}
	return m, proto.Unmarshal(decompressed, m.state)
}

// Snapshot encodes the whole state. The bytes are deterministic: replicas that have applied
// the same entries encode alike.
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

// Configuration returns the current configuration with its document; not to be changed.
func (m *StateMachine) Configuration() *schema.Configuration { return m.state.Configuration }

// History returns the previous configurations that are kept, the oldest first, without
// their documents; not to be changed.
func (m *StateMachine) History() []*schema.Configuration { return m.state.PreviousConfigurations }

// Values returns the parsed settings of the current configuration.
func (m *StateMachine) Values() *Values {
	m.refreshDerived()
	return m.values
}

// SharedState returns a copy of the part of the state that every process holds. It is sent
// on each change, so it leaves out what is only served on request: the configuration's
// document, the history and the accepted versions. Its Configuration is the same pointer
// until the configuration is replaced; it is shared and not to be changed.
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

// withConfiguration returns the shared part of a state with another configuration in it.
// All the rest is shared with the given state.
func withConfiguration(state *schema.ClusterState, configuration *schema.Configuration) *schema.ClusterState {
	return &schema.ClusterState{
		Version: state.Version, Configuration: configuration, Queues: state.Queues, WorkerLeases: state.WorkerLeases,
		ControllerLease: state.ControllerLease, Voters: state.Voters, NowUs: state.NowUs, NextToken: state.NextToken,
	}
}

func (m *StateMachine) refreshDerived() {
	if m.values != nil && m.parsedFrom == m.state.Configuration {
		return
	}
	m.parsedFrom = m.state.Configuration
	m.values = ParseValues(m.parsedFrom)
	m.withoutDocument = WithoutDocument(m.parsedFrom)
}

// WithoutDocument returns a configuration without its document; the rows are shared.
func WithoutDocument(configuration *schema.Configuration) *schema.Configuration {
	return &schema.Configuration{
		Revision: configuration.GetRevision(), Rows: configuration.GetRows(), Version: configuration.GetVersion(),
		FormerTenants: configuration.GetFormerTenants(),
	}
}

// Version counts the applied changes; a renewal of the controller lease is none.
func (m *StateMachine) Version() uint64 { return m.state.Version }

// Apply applies the command of one committed entry, compressed or not, at the entry's time
// in µs. A rejected command is a Result with an error code; an error means that the command
// can't be decoded.
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

// nextToken returns a number that was never used before: a fencing token or the generation
// of a queue.
func (m *StateMachine) nextToken() uint64 {
	m.state.NextToken++
	return m.state.NextToken - 1
}
