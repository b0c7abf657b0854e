package sim

import (
	"cmp"
	"fmt"

	"sparnotch/internal/checker"
	"sparnotch/internal/deployments"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	storageNodes    = 3
	zoneCount       = 3
	operatorUrgency = 60 // of the queue quick, at first

	startUp         = 7 * eventloop.Second // from the simulation's start to the load's
	drainAfterLoad  = 40 * eventloop.Second
	rareKindsFactor = 4 // how much rarer the default kinds are in a whole deployment
)

// Fleet is a simulated deployment under load.
type Fleet struct {
	*Simulation
	Spec      FleetSpec
	Workers   []Worker
	LoadStart eventloop.Micros
	LoadEnd   eventloop.Micros

	agentNodes       []*Host
	disklessGateways []*Host
	observations
}

// observations are what scenarios see of a fleet while it runs.
type observations struct {
	RestartDelay         eventloop.Micros // from a worker's loss until its last task was started elsewhere
	lostWorker           string
	workerLostAt         eventloop.Micros
	slowDiskHost         *Host
	drainedAt            []eventloop.Micros // when leaders were told to drain
	refusedAt            []eventloop.Micros // when disks began to refuse
	groupsAfterRemoval   []string           // replicas of a queue, soon after it was removed
	groupsAfterRetention []string           // and when its ended jobs' retention is over
	problems             []string
	faultAt              eventloop.Micros     // when a tenant was at its limit
	addedKeys            map[string]keyChange // by hash
	revokedKeys          map[string]keyChange
}

// FleetSpec is how large a fleet is, and what its clients do.
type FleetSpec struct {
	Name              string
	Gateways          int // three of them with a disk
	AgentNodes        int
	Workers           int
	WorkersPerRack    int
	Cores, Memory     int64            // of a worker, in thousandths and MB
	SyncDelay         eventloop.Micros // of a disk, in µs; 0: the scenario's
	GatewayCPUShare   float64          // of a core, without disk; 0: steps take no time
	AgentCPUShare     float64          // of a core; 0: steps take no time
	JobKinds          []JobKind
	ConfigurationRows func(urgency int) []*schema.ConfigurationRow
	Bounds            *schema.Bounds       // nil: the workers aren't called, they poll
	Tenants           []deployments.Tenant // nil: calls carry no keys
}

// HasCalledWorkers reports whether the fleet's workers are called by agents.
func (s FleetSpec) HasCalledWorkers() bool { return s.Bounds != nil }

// SmallFleet is large enough for every fault and rule.
var SmallFleet = FleetSpec{
	Name: "small", Gateways: 5, AgentNodes: 3, Workers: 5, WorkersPerRack: 2, Cores: 8000, Memory: 16000,
	JobKinds: DefaultJobKinds(), ConfigurationRows: DefaultConfigurationRows,
}

// DeploymentSpec is a deployment as it stands, with its own clients; the default kinds of
// jobs, which touch the other rules, are rare.
func DeploymentSpec(d *deployments.Deployment) FleetSpec {
	spec := FleetSpec{
		Name: d.Name, Gateways: d.Gateways, AgentNodes: d.Agents, Workers: d.Workers, WorkersPerRack: 3, Cores: d.WorkerCoresMilli, Memory: d.WorkerMemoryMB,
		SyncDelay: eventloop.Micros(d.SyncUs), GatewayCPUShare: d.GatewayCores, AgentCPUShare: d.AgentCores,
	}
	for _, k := range d.JobTypes {
		spec.JobKinds = append(spec.JobKinds, JobKind{
			Name: k.Name, Queue: k.Queue, Interval: eventloop.Micros(k.MeanInterval * float64(eventloop.Second)), Job: &schema.Job{Text: k.Text, Steps: k.Steps},
		})
	}
	spec.JobKinds = append(spec.JobKinds, rarer(DefaultJobKinds())...)
	spec.ConfigurationRows = func(urgency int) []*schema.ConfigurationRow {
		return append(d.ConfigRows(), DefaultConfigurationRows(urgency)...)
	}
	return spec
}

// rarer makes kinds of jobs rarer.
func rarer(kinds []JobKind) []JobKind {
	for k := range kinds {
		kinds[k].Interval *= rareKindsFactor
	}
	return kinds
}

// FleetSpecs lists the fleets that can be run by name.
func FleetSpecs() []FleetSpec {
	specs := []FleetSpec{SmallFleet}
	for _, d := range deployments.All {
		specs = append(specs, DeploymentSpec(d))
	}
	specs = append(specs, SmallCalledFleet)
	for _, d := range deployments.All {
		specs = append(specs, CalledDeploymentSpec(d))
	}
	return specs
}

// NewFleet makes a fleet that comes up, and whose load lasts for a duration from LoadStart
// on. The sync delay, in µs, counts where the spec has none.
func NewFleet(seed uint64, spec FleetSpec, profile NetworkProfile, sync, duration eventloop.Micros) *Fleet {
	f := &Fleet{Simulation: NewSimulation(seed, profile, cmp.Or(spec.SyncDelay, sync)), Spec: spec}
	f.tenants = newTenantClients(seed, spec.Tenants)
	f.addHosts()
	if spec.HasCalledWorkers() {
		f.addCalledWorkers()
	}
	for _, h := range f.Hosts {
		f.After(eventloop.Micros(f.Rng.Int64N(int64(300*eventloop.Millisecond))), h.Start)
	}
	f.After(500*eventloop.Millisecond, func() { f.PutConfiguration("operator", f.ConfigurationRows(operatorUrgency)) })
	f.After(eventloop.Second, func() {
		if !spec.HasCalledWorkers() {
			f.addPollingWorkers()
		}
	})
	f.LoadStart = f.Now + startUp
	f.LoadEnd = f.LoadStart + duration
	f.At(f.LoadStart, f.startLoad)
	return f
}

// zoneOf spreads machines over the zones.
func zoneOf(k int) string { return fmt.Sprintf("c%d", k%zoneCount+1) }

func (f *Fleet) addHosts() {
	spec := f.Spec
	for k := range spec.Gateways {
		hasDisk := k < storageNodes
		h := f.AddHost(fmt.Sprintf("server%d", k+1), zoneOf(k), schema.Role_ROLE_SERVER, hasDisk)
		switch {
		case !hasDisk:
			h.CPUShare = spec.GatewayCPUShare
			f.disklessGateways = append(f.disklessGateways, h)
		case spec.GatewayCPUShare > 0:
			h.CPUShare = 1
		}
	}
	for k := range spec.AgentNodes {
		h := f.AddHost(fmt.Sprintf("controller%d", k+1), zoneOf(k), schema.Role_ROLE_CONTROLLER, false)
		h.CPUShare = spec.AgentCPUShare
		f.agentNodes = append(f.agentNodes, h)
	}
}

func (f *Fleet) addPollingWorkers() {
	for k := range f.Spec.Workers {
		rack := k / f.Spec.WorkersPerRack
		f.Workers = append(f.Workers, f.AddPollingWorker(fmt.Sprintf("w%d", k), fmt.Sprintf("r%d", rack), zoneOf(rack), f.Spec.Cores, f.Spec.Memory))
	}
}

func (f *Fleet) startLoad() {
	f.Record(checker.Event{Kind: checker.Clock, WallTime: wallZero + int64(f.Now)})
	f.ListPeriodically("quick", 5*eventloop.Second, f.LoadEnd)
	for _, kind := range f.Spec.JobKinds {
		f.GenerateLoad(kind, f.LoadEnd)
	}
	f.ReadPeriodically(500*eventloop.Millisecond, f.LoadEnd+20*eventloop.Second)
}

// ConfigurationRows is the configuration of this fleet and of its tenants as they are now,
// with an urgency of the queue quick.
func (f *Fleet) ConfigurationRows(urgency int) []*schema.ConfigurationRow {
	rows := f.Spec.ConfigurationRows(urgency)
	if f.tenants != nil {
		rows = append(rows, deployments.TenantRows(f.tenants.configured)...)
	}
	return rows
}

// Finish runs the load to its end, lets the jobs end, and checks the history.
func (f *Fleet) Finish() []checker.Violation {
	f.Run(f.LoadEnd + drainAfterLoad)
	// Much work may be left; what is stuck is stuck after this, too.
	for k := 0; k < 15 && f.sample().LiveJobs > 0; k++ {
		f.Run(f.Now + 20*eventloop.Second)
	}
	// Clients that wait for the last jobs ask once more.
	f.Run(f.Now + 3*eventloop.Second)
	f.Record(checker.Event{Kind: checker.Close})
	bounds := checker.DefaultTolerances
	if f.Spec.HasCalledWorkers() {
		bounds = checker.CalledWorkerTolerances
	}
	return checker.Check(f.History, bounds)
}
