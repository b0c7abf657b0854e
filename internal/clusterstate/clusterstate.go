// Package clusterstate is the pure machine of the system's own group: the plan and
// its generation, where queues stand, who wards which worker, and the controller's
// lease. Every change is checked when it is applied, so that whoever acts on
// an old view is fenced by the log itself.
package clusterstate

import (
	"slices"
	"sort"
	"strconv"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// Group is the name of the system's own group.
const Group = "clusterstate"

// ControllerLeaseUs is how long a controller's lease lasts in the group's time.
const ControllerLeaseUs = 2_000_000

// What the cluster state keeps of the past is bounded, for the whole of it is its
// checkpoint: of old plans the rows, of editions only what tells them apart.
const (
	maxHistory           = 20
	maxHistoryBytes      = 512 << 10 // of all old plans but the last
	maxRememberedUpdates = 1024      // changes whose resend is known again
	maxDocumentBytes     = 256 << 10
	digestBytes          = 16
)

// Result is what a command came to, in HTTP's numbers.
type Result struct {
	Code          int32
	Error         *schema.Error
	FencingToken  uint64
	Configuration *schema.Configuration
}

// StateMachine is the cluster state's state.
type StateMachine struct {
	state           *schema.ClusterState
	changed         bool // by the command in hand; renewals change nothing others need
	values          *Values
	parsedFrom      *schema.Configuration // of which the values and the bare plan were made
	withoutDocument *schema.Configuration
	compressedRows  []byte                // rows of a plan as they are told
	compressedFrom  *schema.Configuration // and of which
}

// New makes an empty cluster state; Restore one from a checkpoint.
func New() *StateMachine {
	return &StateMachine{state: &schema.ClusterState{Configuration: &schema.Configuration{}, ControllerLease: &schema.ControllerLease{}, NextToken: 1}}
}

// Restore makes the cluster state that a snapshot holds; none is an empty one.
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

// Snapshot encodes the state.
func (m *StateMachine) Snapshot() []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m.state)
	if err != nil {
		panic("cluster state: state can't be encoded: " + err.Error())
	}
	return data
}

// State is a copy that may be handed to others.
func (m *StateMachine) State() *schema.ClusterState {
	return proto.Clone(m.state).(*schema.ClusterState)
}

// Configuration is the plan with its document, not to be changed.
func (m *StateMachine) Configuration() *schema.Configuration { return m.state.Configuration }

// History is the old plans, the oldest first, not to be changed.
func (m *StateMachine) History() []*schema.Configuration { return m.state.PreviousConfigurations }

// Values are the plan's weights and limits.
func (m *StateMachine) Values() *Values {
	m.refreshParsed()
	return m.values
}

// SharedState is what every process carries. It goes out whole with each change, so
// what only readers of the plan ask for isn't in it: document, history, and the
// editions taken. The plan in it is the same as long as the plan is.
func (m *StateMachine) SharedState() *schema.ClusterState {
	m.refreshParsed()
	state := m.state
	shared := &schema.ClusterState{Version: state.Version, Configuration: m.withoutDocument, Voters: state.Voters, NowUs: state.NowUs, NextToken: state.NextToken}
	shared.ControllerLease = proto.Clone(state.ControllerLease).(*schema.ControllerLease)
	for _, placement := range state.Queues {
		shared.Queues = append(shared.Queues, proto.Clone(placement).(*schema.QueuePlacement))
	}
	for _, lease := range state.WorkerLeases {
		shared.WorkerLeases = append(shared.WorkerLeases, proto.Clone(lease).(*schema.WorkerLease))
	}
	return shared
}

func (m *StateMachine) refreshParsed() {
	if m.values == nil || m.parsedFrom != m.state.Configuration {
		m.parsedFrom, m.values, m.withoutDocument = m.state.Configuration, ParseValues(m.state.Configuration), WithoutDocument(m.state.Configuration)
	}
}

// WithoutDocument is a plan without its document.
func WithoutDocument(configuration *schema.Configuration) *schema.Configuration {
	return &schema.Configuration{Revision: configuration.GetRevision(), Rows: configuration.GetRows(), Version: configuration.GetVersion()}
}

// ControllerLeaseExpiry is when the controller's lease ends, in the group's time.
func (m *StateMachine) ControllerLeaseExpiry() int64 { return m.state.ControllerLease.GetExpiresUs() }

// Version goes up by one with each change of the cluster state.
func (m *StateMachine) Version() uint64 { return m.state.Version }

// Apply takes one record's command.
func (m *StateMachine) Apply(at int64, data []byte) (*Result, error) {
	command, err := DecodeCommand(data)
	if err != nil {
		return nil, err
	}
	if at > m.state.NowUs {
		m.state.NowUs = at
	}
	var result *Result
	switch body := command.Body.(type) {
	case *schema.ClusterStateCommand_UpdateConfiguration:
		result = m.replaceConfiguration(body.UpdateConfiguration.Update)
	case *schema.ClusterStateCommand_ClaimControllerLease:
		result = m.claimLease(body.ClaimControllerLease.Holder)
	case *schema.ClusterStateCommand_PlaceQueues:
		result = m.placeQueues(body.PlaceQueues)
	case *schema.ClusterStateCommand_AssignWorkers:
		result = m.assignWorkers(body.AssignWorkers)
	case *schema.ClusterStateCommand_RegisterWorker:
		result = m.registerWorker(body.RegisterWorker.Worker)
	default:
		result = &Result{Code: 400}
	}
	if m.changed {
		m.state.Version++
		m.changed = false
	}
	return result, nil
}

func (m *StateMachine) nextToken() uint64 {
	m.state.NextToken++
	return m.state.NextToken - 1
}

func (m *StateMachine) claimLease(id string) *Result {
	current := m.state.ControllerLease
	expired := current.Holder == "" || current.ExpiresUs <= m.state.NowUs
	if current.Holder != id && !expired {
		return &Result{Code: 409, Error: &schema.Error{Code: "controller_taken", Message: "another controller holds the lease"}}
	}
	token := current.FencingToken
	// Whoever let it lapse gets a new one: what it sent under the old one may
	// still be on its way.
	if current.Holder != id || expired {
		token = m.nextToken()
		m.changed = true
	}
	m.state.ControllerLease = &schema.ControllerLease{Holder: id, FencingToken: token, ExpiresUs: m.state.NowUs + ControllerLeaseUs}
	return &Result{Code: 200, FencingToken: token}
}

// HoldsControllerLease tells whether a lease is the current one and hasn't run out.
func (m *StateMachine) HoldsControllerLease(lease uint64) bool {
	current := m.state.ControllerLease
	return current.FencingToken == lease && lease != 0 && current.ExpiresUs > m.state.NowUs
}

func staleLease() *Result {
	return &Result{Code: 403, Error: &schema.Error{Code: "lease_over", Message: "the controller lease is not the current one"}}
}

func (m *StateMachine) placeQueues(command *schema.PlaceQueues) *Result {
	if !m.HoldsControllerLease(command.FencingToken) {
		return staleLease()
	}
	values := m.Values()
	for _, removed := range command.Removed {
		for k, placement := range m.state.Queues {
			// A queue that has rows again was wanted back meanwhile.
			if matchesQueue(placement, removed) && !values.HasQueue(placement.Queue) {
				m.state.Queues = append(m.state.Queues[:k:k], m.state.Queues[k+1:]...)
				m.changed = true
				break
			}
		}
	}
	for _, wanted := range command.Queues {
		if placement := FindQueue(m.state, wanted.Queue); placement != nil {
			m.changed = m.changed || placement.PreferredLeader != wanted.PreferredLeader
			placement.PreferredLeader = wanted.PreferredLeader
			continue
		}
		if values.HasQueue(wanted.Queue) && len(wanted.InitialVoters) > 0 {
			m.changed = true
			m.state.Queues = slices.Insert(m.state.Queues, searchQueue(m.state.Queues, wanted.Queue), &schema.QueuePlacement{
				Queue: wanted.Queue, Generation: m.nextToken(), InitialVoters: wanted.InitialVoters, PreferredLeader: wanted.PreferredLeader,
			})
		}
	}
	return &Result{Code: 200}
}

// matchesQueue tells whether a queue that is to go is this one. The word of it may come
// late, when a queue of that name has been made anew: that is another one. Logs of
// older programs have the bare name.
func matchesQueue(placement *schema.QueuePlacement, name string) bool {
	return name == placement.Queue || name == placement.Queue+"#"+strconv.FormatUint(placement.Generation, 10)
}

func (m *StateMachine) assignWorkers(command *schema.AssignWorkers) *Result {
	if !m.HoldsControllerLease(command.FencingToken) {
		return staleLease()
	}
	for _, wanted := range command.WorkerLeases {
		lease := FindWorkerLease(m.state, wanted.Worker)
		switch {
		case lease == nil:
			m.changed = true
			m.insertWorkerLease(wanted.Worker, wanted.Scheduler)
		case lease.Scheduler != wanted.Scheduler:
			m.changed = true
			lease.Scheduler, lease.FencingToken = wanted.Scheduler, m.nextToken()
		}
	}
	return &Result{Code: 200}
}

// Queues and wards are listed by name.
func searchQueue(placements []*schema.QueuePlacement, queue string) int {
	return sort.Search(len(placements), func(k int) bool { return placements[k].Queue >= queue })
}

func searchWorkerLease(leases []*schema.WorkerLease, worker string) int {
	return sort.Search(len(leases), func(k int) bool { return leases[k].Worker >= worker })
}

func (m *StateMachine) insertWorkerLease(worker, scheduler string) {
	m.state.WorkerLeases = slices.Insert(m.state.WorkerLeases, searchWorkerLease(m.state.WorkerLeases, worker), &schema.WorkerLease{Worker: worker, Scheduler: scheduler, FencingToken: m.nextToken()})
}

// registerWorker gives a new worker to the scheduler that wards most, so that it can work
// before a controller looks.
func (m *StateMachine) registerWorker(worker string) *Result {
	if FindWorkerLease(m.state, worker) != nil {
		return &Result{Code: 200}
	}
	counts := map[string]int{}
	scheduler := ""
	for _, lease := range m.state.WorkerLeases {
		counts[lease.Scheduler]++
		if lease.Scheduler != "" && (scheduler == "" || counts[lease.Scheduler] > counts[scheduler]) {
			scheduler = lease.Scheduler
		}
	}
	m.changed = true
	m.insertWorkerLease(worker, scheduler)
	return &Result{Code: 200}
}

// FindQueue finds a queue's place; the cluster state lists them by name.
func FindQueue(state *schema.ClusterState, queue string) *schema.QueuePlacement {
	placements := state.GetQueues()
	if at := searchQueue(placements, queue); at < len(placements) && placements[at].Queue == queue {
		return placements[at]
	}
	return nil
}

// FindWorkerLease finds a worker's ward; the cluster state lists them by name.
func FindWorkerLease(state *schema.ClusterState, worker string) *schema.WorkerLease {
	leases := state.GetWorkerLeases()
	if at := searchWorkerLease(leases, worker); at < len(leases) && leases[at].Worker == worker {
		return leases[at]
	}
	return nil
}
