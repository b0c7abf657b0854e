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
	operatorUrgency = 60 // initial urgency of the queue quick

	loadStartDelay  = 7 * eventloop.Second  // time from the start of the simulation to the start of the load
	drainAfterLoad  = 40 * eventloop.Second // time that jobs have to end after the load
	rareKindsFactor = 4                     // factor by which the default kinds of jobs are rarer in a whole deployment
)

// Fleet is a simulated deployment with clients, workers and operators.
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

// observations hold what scenarios observe while a fleet runs.
type observations struct {
	RestartDelay         eventloop.Micros // time from a worker's loss until the last of its tasks was started elsewhere
	lostWorker           string           // name of the worker whose loss RestartDelay measures
	workerLostAt         eventloop.Micros
	slowDiskHost         *Host
	drainedAt            []eventloop.Micros // times when leaders were told to drain
	refusedAt            []eventloop.Micros // times when disks began to refuse writes
	groupsAfterRemoval   []string           // replicas of a queue that still exist soon after its removal
	groupsAfterRetention []string           // replicas of it that still exist after the retention of its ended jobs
	problems             []string
	faultAt              eventloop.Micros     // time of a fault that struck while a tenant was at its limit
	addedKeys            map[string]keyChange // by hash
	revokedKeys          map[string]keyChange // by hash
}

// FleetSpec describes the size of a fleet and the load of its clients.
type FleetSpec struct {
	Name              string
	Gateways          int // number of gateways, including the three with a disk
	AgentNodes        int
	Workers           int
	WorkersPerRack    int
	Cores, Memory     int64            // capacity of a worker in thousandths of a core and in MB
	SyncDelay         eventloop.Micros // time that a disk takes for a sync; 0: the scenario's
	GatewayCPUShare   float64          // share of a core of each gateway without a disk; 0: steps take no time
	AgentCPUShare     float64          // share of a core of each agent node; 0: steps take no time
	JobKinds          []JobKind
	ConfigurationRows func(urgency int) []*schema.ConfigurationRow // rows for an urgency of the queue quick
	Bounds            *schema.Bounds                               // bounds for called workers; nil: the workers poll
	Tenants           []deployments.Tenant                         // nil: requests carry no keys
}

// HasCalledWorkers reports whether agents call the fleet's workers; otherwise the workers poll
// gateways.
func (s FleetSpec) HasCalledWorkers() bool { return s.Bounds != nil }

// SmallFleet is a small fleet that is still large enough for every fault and rule.
var SmallFleet = FleetSpec{
	Name: "small", Gateways: 5, AgentNodes: 3, Workers: 5, WorkersPerRack: 2, Cores: 8000, Memory: 16000,
	JobKinds: DefaultJobKinds(), ConfigurationRows: DefaultConfigurationRows,
}

// DeploymentSpec returns the fleet of a deployment with the load of its own clients. The
// default kinds of jobs, which exercise the rules that this load doesn't, are added at a low
// rate.
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
	spec.JobKinds = append(spec.JobKinds, makeRarer(DefaultJobKinds())...)
	spec.ConfigurationRows = func(urgency int) []*schema.ConfigurationRow {
		return append(d.ConfigRows(), DefaultConfigurationRows(urgency)...)
	}
	return spec
}

// makeRarer multiplies the intervals of the given kinds of jobs by rareKindsFactor and returns
// the same slice.
func makeRarer(kinds []JobKind) []JobKind {
	for k := range kinds {
		kinds[k].Interval *= rareKindsFactor
	}
	return kinds
}

// FleetSpecs returns the fleets that can be selected by name.
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

// NewFleet returns a fleet whose processes are about to start and whose load begins at
// LoadStart and lasts for a duration. The sync delay applies if the spec has none.
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
	f.LoadStart = f.Now + loadStartDelay
	f.LoadEnd = f.LoadStart + duration
	f.At(f.LoadStart, f.startLoad)
	return f
}

// zoneOf returns the zone of the machine or rack with a number; the zones take turns.
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

// ConfigurationRows returns the configuration of this fleet and its current tenants, with the
// given urgency of the queue quick.
func (f *Fleet) ConfigurationRows(urgency int) []*schema.ConfigurationRow {
	rows := f.Spec.ConfigurationRows(urgency)
	if f.tenants != nil {
		rows = append(rows, deployments.TenantRows(f.tenants.configured)...)
	}
	return rows
}

// Finish runs the fleet to the end of its load and until its jobs have ended, and returns the
// violations of rules in its history.
func (f *Fleet) Finish() []checker.Violation {
	f.Run(f.LoadEnd + drainAfterLoad)
	// Much work may be left. Jobs that are still live after this loop are stuck.
	for k := 0; k < 15 && f.sample().LiveJobs > 0; k++ {
		f.Run(f.Now + 20*eventloop.Second)
	}
	// Clients that wait for the last jobs need time for one more request.
	f.Run(f.Now + 3*eventloop.Second)
	f.Record(checker.Event{Kind: checker.Close})
	bounds := checker.DefaultTolerances
	if f.Spec.HasCalledWorkers() {
		bounds = checker.CalledWorkerTolerances
	}
	return checker.Check(f.History, bounds)
}
