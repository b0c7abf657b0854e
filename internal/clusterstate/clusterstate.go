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

// LeaseUs is how long a controller's lease lasts in the group's time.
const LeaseUs = 2_000_000

// What the cluster state keeps of the past is bounded, for the whole of it is its
// checkpoint: of old plans the rows, of editions only what tells them apart.
const (
	keptPlans    = 20
	keptBytes    = 512 << 10 // of all old plans but the last
	keptEditions = 1024      // changes whose resend is known again
	maxDocument  = 256 << 10
	digestBytes  = 16
)

// Result is what a command came to, in HTTP's numbers.
type Result struct {
	Code  int32
	Fault *schema.Error
	Lease uint64
	Plan  *schema.Configuration
}

// Machine is the cluster state's state.
type Machine struct {
	state     *schema.ClusterState
	isChanged bool // by the command in hand; renewals change nothing others need
	values    *Values
	read      *schema.Configuration // of which the values and the bare plan were made
	bare      *schema.Configuration
	packed    []byte                // rows of a plan as they are told
	packedOf  *schema.Configuration // and of which
}

// New makes an empty cluster state; Restore one from a checkpoint.
func New() *Machine {
	return &Machine{state: &schema.ClusterState{Configuration: &schema.Configuration{}, ControllerLease: &schema.ControllerLease{}, NextToken: 1}}
}

// Restore makes the cluster state that a snapshot holds; none is an empty one.
func Restore(data []byte) (*Machine, error) {
	m := New()
	if len(data) == 0 {
		return m, nil
	}
	whole, err := Unpack(data)
	if err != nil {
		return m, err
	}
	return m, proto.Unmarshal(whole, m.state)
}

// Rest encodes the state.
func (m *Machine) Rest() []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m.state)
	if err != nil {
		panic("cluster state: state can't be encoded: " + err.Error())
	}
	return data
}

// State is a copy that may be handed to others.
func (m *Machine) State() *schema.ClusterState {
	return proto.Clone(m.state).(*schema.ClusterState)
}

// Plan is the plan with its document, not to be changed.
func (m *Machine) Plan() *schema.Configuration { return m.state.Configuration }

// History is the old plans, the oldest first, not to be changed.
func (m *Machine) History() []*schema.Configuration { return m.state.PreviousConfigurations }

// Values are the plan's weights and limits.
func (m *Machine) Values() *Values {
	m.readPlan()
	return m.values
}

// Copy is what every process carries. It goes out whole with each change, so
// what only readers of the plan ask for isn't in it: document, history, and the
// editions taken. The plan in it is the same as long as the plan is.
func (m *Machine) Copy() *schema.ClusterState {
	m.readPlan()
	s := m.state
	shown := &schema.ClusterState{Version: s.Version, Configuration: m.bare, Voters: s.Voters, NowUs: s.NowUs, NextToken: s.NextToken}
	shown.ControllerLease = proto.Clone(s.ControllerLease).(*schema.ControllerLease)
	for _, place := range s.Queues {
		shown.Queues = append(shown.Queues, proto.Clone(place).(*schema.QueuePlacement))
	}
	for _, ward := range s.WorkerLeases {
		shown.WorkerLeases = append(shown.WorkerLeases, proto.Clone(ward).(*schema.WorkerLease))
	}
	return shown
}

func (m *Machine) readPlan() {
	if m.values == nil || m.read != m.state.Configuration {
		m.read, m.values, m.bare = m.state.Configuration, Read(m.state.Configuration), Bare(m.state.Configuration)
	}
}

// Bare is a plan without its document.
func Bare(plan *schema.Configuration) *schema.Configuration {
	return &schema.Configuration{Revision: plan.GetRevision(), Rows: plan.GetRows(), Version: plan.GetVersion()}
}

// ControllerUntil is when the controller's lease ends, in the group's time.
func (m *Machine) ControllerUntil() int64 { return m.state.ControllerLease.GetExpiresUs() }

// Version goes up by one with each change of the cluster state.
func (m *Machine) Version() uint64 { return m.state.Version }

// Apply takes one record's command.
func (m *Machine) Apply(at int64, data []byte) (*Result, error) {
	command, err := ReadCommand(data)
	if err != nil {
		return nil, err
	}
	if at > m.state.NowUs {
		m.state.NowUs = at
	}
	var result *Result
	switch body := command.Body.(type) {
	case *schema.ClusterStateCommand_UpdateConfiguration:
		result = m.put(body.UpdateConfiguration.Update)
	case *schema.ClusterStateCommand_ClaimControllerLease:
		result = m.claim(body.ClaimControllerLease.Holder)
	case *schema.ClusterStateCommand_PlaceQueues:
		result = m.placeQueues(body.PlaceQueues)
	case *schema.ClusterStateCommand_AssignWorkers:
		result = m.moveWards(body.AssignWorkers)
	case *schema.ClusterStateCommand_RegisterWorker:
		result = m.meet(body.RegisterWorker.Worker)
	default:
		result = &Result{Code: 400}
	}
	if m.isChanged {
		m.state.Version++
		m.isChanged = false
	}
	return result, nil
}

func (m *Machine) next() uint64 {
	m.state.NextToken++
	return m.state.NextToken - 1
}

func (m *Machine) claim(id string) *Result {
	s := m.state.ControllerLease
	isFree := s.Holder == "" || s.ExpiresUs <= m.state.NowUs
	if s.Holder != id && !isFree {
		return &Result{Code: 409, Fault: &schema.Error{Code: "controller_taken", Message: "another controller holds the lease"}}
	}
	lease := s.FencingToken
	// Whoever let it lapse gets a new one: what it sent under the old one may
	// still be on its way.
	if s.Holder != id || isFree {
		lease = m.next()
		m.isChanged = true
	}
	m.state.ControllerLease = &schema.ControllerLease{Holder: id, FencingToken: lease, ExpiresUs: m.state.NowUs + LeaseUs}
	return &Result{Code: 200, Lease: lease}
}

// IsController tells whether a lease is the current one and hasn't run out.
func (m *Machine) IsController(lease uint64) bool {
	s := m.state.ControllerLease
	return s.FencingToken == lease && lease != 0 && s.ExpiresUs > m.state.NowUs
}

func fenced() *Result {
	return &Result{Code: 403, Fault: &schema.Error{Code: "lease_over", Message: "the controller lease is not the current one"}}
}

func (m *Machine) placeQueues(c *schema.PlaceQueues) *Result {
	if !m.IsController(c.FencingToken) {
		return fenced()
	}
	values := m.Values()
	for _, name := range c.Removed {
		for k, place := range m.state.Queues {
			// A queue that has rows again was wanted back meanwhile.
			if isMeant(place, name) && !values.HasQueue(place.Queue) {
				m.state.Queues = append(m.state.Queues[:k:k], m.state.Queues[k+1:]...)
				m.isChanged = true
				break
			}
		}
	}
	for _, wanted := range c.Queues {
		if place := Place(m.state, wanted.Queue); place != nil {
			m.isChanged = m.isChanged || place.PreferredLeader != wanted.PreferredLeader
			place.PreferredLeader = wanted.PreferredLeader
			continue
		}
		if values.HasQueue(wanted.Queue) && len(wanted.InitialVoters) > 0 {
			m.isChanged = true
			m.state.Queues = slices.Insert(m.state.Queues, queueAt(m.state.Queues, wanted.Queue), &schema.QueuePlacement{
				Queue: wanted.Queue, Generation: m.next(), InitialVoters: wanted.InitialVoters, PreferredLeader: wanted.PreferredLeader,
			})
		}
	}
	return &Result{Code: 200}
}

// isMeant tells whether a queue that is to go is this one. The word of it may come
// late, when a queue of that name has been made anew: that is another one. Logs of
// older programs have the bare name.
func isMeant(place *schema.QueuePlacement, name string) bool {
	return name == place.Queue || name == place.Queue+"#"+strconv.FormatUint(place.Generation, 10)
}

func (m *Machine) moveWards(c *schema.AssignWorkers) *Result {
	if !m.IsController(c.FencingToken) {
		return fenced()
	}
	for _, wanted := range c.WorkerLeases {
		ward := WardOf(m.state, wanted.Worker)
		switch {
		case ward == nil:
			m.isChanged = true
			m.addWard(wanted.Worker, wanted.Scheduler)
		case ward.Scheduler != wanted.Scheduler:
			m.isChanged = true
			ward.Scheduler, ward.FencingToken = wanted.Scheduler, m.next()
		}
	}
	return &Result{Code: 200}
}

// Queues and wards are listed by name.
func queueAt(list []*schema.QueuePlacement, queue string) int {
	return sort.Search(len(list), func(k int) bool { return list[k].Queue >= queue })
}

func wardAt(list []*schema.WorkerLease, worker string) int {
	return sort.Search(len(list), func(k int) bool { return list[k].Worker >= worker })
}

func (m *Machine) addWard(worker, scheduler string) {
	m.state.WorkerLeases = slices.Insert(m.state.WorkerLeases, wardAt(m.state.WorkerLeases, worker), &schema.WorkerLease{Worker: worker, Scheduler: scheduler, FencingToken: m.next()})
}

// meet gives a new worker to the scheduler that wards most, so that it can work
// before a controller looks.
func (m *Machine) meet(worker string) *Result {
	if WardOf(m.state, worker) != nil {
		return &Result{Code: 200}
	}
	counts := map[string]int{}
	best := ""
	for _, ward := range m.state.WorkerLeases {
		counts[ward.Scheduler]++
		if ward.Scheduler != "" && (best == "" || counts[ward.Scheduler] > counts[best]) {
			best = ward.Scheduler
		}
	}
	m.isChanged = true
	m.addWard(worker, best)
	return &Result{Code: 200}
}

// Place finds a queue's place; the cluster state lists them by name.
func Place(state *schema.ClusterState, queue string) *schema.QueuePlacement {
	list := state.GetQueues()
	if at := queueAt(list, queue); at < len(list) && list[at].Queue == queue {
		return list[at]
	}
	return nil
}

// WardOf finds a worker's ward; the cluster state lists them by name.
func WardOf(state *schema.ClusterState, worker string) *schema.WorkerLease {
	list := state.GetWorkerLeases()
	if at := wardAt(list, worker); at < len(list) && list[at].Worker == worker {
		return list[at]
	}
	return nil
}
