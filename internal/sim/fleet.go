package sim

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"

	"sparnotch/internal/checker"
	"sparnotch/internal/deployments"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Fleet is a deployment in small, with a load that touches every rule.
type Fleet struct {
	*Simulation
	Spec                 FleetSpec
	Workers              []Worker
	agentNodes           []*Host
	disklessGateways     []*Host // fronts without a disk
	LoadStart            eventloop.Micros
	LoadEnd              eventloop.Micros
	RestartDelay         eventloop.Micros // until the last task of a lost worker was begun elsewhere
	workerLostAt         eventloop.Micros
	lostWorker           string // worker that was then
	slowDiskHost         *Host  // whose disk was slowed
	drainedAt            []eventloop.Micros
	groupsAfterRemoval   []string
	groupsAfterRetention []string
	refusals             []eventloop.Micros // when disks began to refuse
	problems             []string           // seen meanwhile
}

func newStep(name string, tasks uint32, cores int64, after ...string) *schema.Step {
	return &schema.Step{Name: name, Tasks: tasks, CoresMilli: cores, MemoryMb: 256, Dependencies: after, AllowedFailures: 3}
}

// JobKinds are the load: urgent and slow work, steps, groups, timed jobs, tasks
// that fail, and jobs that are cancelled.
func DefaultJobKinds() []JobKind {
	together := newStep("gang", 4, 1000)
	together.Gang = true
	limited := newStep("work", 3, 500)
	limited.AllowedFailures = 2
	limited.TimeLimitUs, limited.StallTimeoutUs = int64(4*eventloop.Second), int64(eventloop.Second)
	due := newStep("due", 1, 500)
	due.StallTimeoutUs = int64(eventloop.Second)
	return []JobKind{
		{Queue: "quick", Interval: 250 * eventloop.Millisecond, Job: &schema.Job{Text: "run_us=30000", Steps: []*schema.Step{newStep("rates", 3, 500), newStep("sum", 1, 500, "rates")}}},
		{Queue: "slow", Interval: 2 * eventloop.Second, CancelShare: 0.2, Job: &schema.Job{Text: "run_us=700000", Steps: []*schema.Step{newStep("load", 4, 2000), newStep("rows", 10, 2000, "load"), newStep("pack", 1, 1000, "rows")}}},
		{Queue: "group", Interval: eventloop.Second, Job: &schema.Job{Text: "run_us=200000 fail=0.05", Steps: []*schema.Step{together, newStep("after", 1, 500, "gang")}}},
		{Name: "due", Queue: "timed", Interval: 4 * eventloop.Second, StartDelay: 2 * eventloop.Second, Job: &schema.Job{Text: "run_us=20000", Steps: []*schema.Step{due}}},
		{Queue: "timed", Interval: 700 * eventloop.Millisecond, CancelShare: 0.2, Job: &schema.Job{Text: "run_us=20000 fail=0.2", DelayUs: int64(1500 * eventloop.Millisecond), Steps: []*schema.Step{limited}}},
	}
}

// ConfigurationRows is the table of the load's queues.
func DefaultConfigurationRows(urgency int) []*schema.ConfigurationRow {
	return []*schema.ConfigurationRow{
		{Kind: "queue", Name: "quick", Key: "urgency", Value: fmt.Sprint(urgency)},
		{Kind: "queue", Name: "slow", Key: "urgency", Value: "10"},
		{Kind: "queue", Name: "group", Key: "urgency", Value: "30"},
		{Kind: "queue", Name: "timed", Key: "urgency", Value: "40"},
		{Kind: "fleet", Key: "cache_every", Value: "16"},
		{Kind: "queue", Name: "quick", Key: "still_ms", Value: "1000"},
		{Kind: "queue", Name: "slow", Key: "still_ms", Value: "2000"},
		{Kind: "queue", Name: "group", Key: "still_ms", Value: "2000"},
	}
}

// FleetSpec is how large a simulated fleet is, and what its callers do.
type FleetSpec struct {
	Name                           string
	Gateways, AgentNodes           int
	Workers                        int
	WorkersPerRack                 int
	Cores, Memory                  int64
	SyncDelay                      eventloop.Micros // 0: the scenario's
	GatewayCPUShare, AgentCPUShare float64          // processors' shares; 0: steps cost nothing
	JobKinds                       []JobKind
	ConfigurationRows              func(urgency int) []*schema.ConfigurationRow
	Bounds                         *schema.Bounds // of a fleet whose workers are called; nil: they ask
}

// SmallFleet is large enough for every fault and rule.
var SmallFleet = FleetSpec{
	Name: "small", Gateways: 5, AgentNodes: 3, Workers: 5, WorkersPerRack: 2, Cores: 8000, Memory: 16000, JobKinds: DefaultJobKinds(), ConfigurationRows: DefaultConfigurationRows,
}

// DeploymentSpec is a deployment as it stands, with its own callers; the kinds that
// touch the other rules come more seldom.
func DeploymentSpec(d *deployments.Deployment) FleetSpec {
	size := FleetSpec{
		Name: d.Name, Gateways: d.Gateways, AgentNodes: d.Agents, Workers: d.Workers, WorkersPerRack: 3, Cores: d.Cores, Memory: d.Memory,
		SyncDelay: eventloop.Micros(d.SyncUs), GatewayCPUShare: d.GatewayCores, AgentCPUShare: d.AgentCores,
	}
	for _, k := range d.JobTypes {
		size.JobKinds = append(size.JobKinds, JobKind{
			Name: k.Name, Queue: k.Queue, Interval: eventloop.Micros(k.MeanInterval * float64(eventloop.Second)), Job: &schema.Job{Text: k.Text, Steps: k.Steps},
		})
	}
	for _, k := range DefaultJobKinds() {
		k.Interval *= 4
		size.JobKinds = append(size.JobKinds, k)
	}
	size.ConfigurationRows = func(urgency int) []*schema.ConfigurationRow {
		return append(d.ConfigRows(), DefaultConfigurationRows(urgency)...)
	}
	return size
}

// FleetSpecs are what can be run.
func FleetSpecs() []FleetSpec {
	sizes := []FleetSpec{SmallFleet}
	for _, d := range deployments.All {
		sizes = append(sizes, DeploymentSpec(d))
	}
	sizes = append(sizes, SmallCalledFleet)
	for _, d := range deployments.All {
		sizes = append(sizes, CalledDeploymentSpec(d))
	}
	return sizes
}

// NewFleet brings a fleet up and starts its load; Began is when it does.
func NewFleet(seed uint64, size FleetSpec, net NetworkProfile, sync, duration eventloop.Micros) *Fleet {
	f := &Fleet{Simulation: NewSimulation(seed, net, cmp.Or(size.SyncDelay, sync)), Spec: size}
	zone := func(k int) string { return fmt.Sprintf("c%d", k%3+1) }
	for k := 0; k < size.Gateways; k++ {
		h := f.AddHost(fmt.Sprintf("server%d", k+1), zone(k), schema.Role_ROLE_SERVER, k < 3)
		if h.CPUShare = size.GatewayCPUShare; k < 3 {
			h.CPUShare = 1
		} else {
			f.disklessGateways = append(f.disklessGateways, h)
		}
		if size.GatewayCPUShare == 0 {
			h.CPUShare = 0
		}
	}
	for k := 0; k < size.AgentNodes; k++ {
		h := f.AddHost(fmt.Sprintf("controller%d", k+1), zone(k), schema.Role_ROLE_CONTROLLER, false)
		h.CPUShare = size.AgentCPUShare
		f.agentNodes = append(f.agentNodes, h)
	}
	if size.Bounds != nil {
		f.addCalledWorkers()
	}
	for _, h := range f.Hosts {
		f.After(eventloop.Micros(f.Rng.Int64N(int64(300*eventloop.Millisecond))), h.Start)
	}
	f.After(500*eventloop.Millisecond, func() { f.PutConfiguration("operator", f.ConfigurationRows(60)) })
	f.After(eventloop.Second, func() {
		for k := 0; k < size.Workers && size.Bounds == nil; k++ {
			rack := k / size.WorkersPerRack
			f.Workers = append(f.Workers, f.AddPollingWorker(fmt.Sprintf("w%d", k), fmt.Sprintf("r%d", rack), zone(rack), size.Cores, size.Memory))
		}
	})
	f.LoadStart = f.Now + 7*eventloop.Second
	f.LoadEnd = f.LoadStart + duration
	f.At(f.LoadStart, func() {
		f.Record(checker.Event{Kind: checker.Clock, WallTime: wallZero + int64(f.Now)})
		f.ListPeriodically("quick", 5*eventloop.Second, f.LoadEnd)
		for _, kind := range size.JobKinds {
			f.GenerateLoad(kind, f.LoadEnd)
		}
		f.ReadPeriodically(500*eventloop.Millisecond, f.LoadEnd+20*eventloop.Second)
	})
	return f
}

// ConfigurationRows is the table of this fleet.
func (f *Fleet) ConfigurationRows(urgency int) []*schema.ConfigurationRow {
	return f.Spec.ConfigurationRows(urgency)
}

// Finish runs the load to its end, lets everything drain, and judges.
func (f *Fleet) Finish() []checker.Violation {
	f.Run(f.LoadEnd + 40*eventloop.Second)
	// A rush may leave more than that can be worked off; what is stuck is so still
	// after this.
	for k := 0; k < 15 && f.sample().LiveJobs > 0; k++ {
		f.Run(f.Now + 20*eventloop.Second)
	}
	// Whoever waits for the last of them asks once more.
	f.Run(f.Now + 3*eventloop.Second)
	f.Record(checker.Event{Kind: checker.Close})
	if f.Spec.Bounds != nil {
		return checker.Check(f.History, checker.CalledWorkerBounds)
	}
	return checker.Check(f.History, checker.DefaultBounds)
}

// EncodeHistory is the history as it would be written.
func (s *Simulation) EncodeHistory() []byte {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	for _, e := range s.History {
		if err := encoder.Encode(e); err != nil {
			panic(err)
		}
	}
	return out.Bytes()
}
