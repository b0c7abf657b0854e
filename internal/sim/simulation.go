// Package sim simulates whole deployments in virtual time. It runs the components of real
// processes over a simulated network, simulated disks and simulated clocks. All randomness
// derives from one seed: the same seed gives the same history, byte for byte.
//
// A Simulation owns the clock, the network and the hosts. A Host is a machine that runs one
// process and has its own Disk and Uplink. A Fleet is a simulated deployment with clients,
// workers and operators. A Scenario injects faults into a fleet; RunScenario runs it and
// checks the history with package checker. A Schedule is a list of timed faults that can be
// written as text and turned into a Scenario.
//
// Random values are drawn from Simulation.Rng in the order in which calls happen. Adding a
// draw, or iterating over a map where the order has an effect, changes the run of every seed.
package sim

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
	"sparnotch/internal/schema"
)

// seedCount is the number of seeds: the storage nodes that a process contacts at its start.
const seedCount = 3

// Simulation is one simulated run.
type Simulation struct {
	clock
	network
	Rng       *rand.Rand
	SyncDelay eventloop.Micros // sync time of the disks of hosts that are added later
	Hosts     []*Host
	History   []checker.Event

	DamageReports []string // errors returned when damaged disks were opened
	// CPUClock returns the processor time used, in ns. If it is set, OnStepTime is called with
	// the processor time of each step; if it is nil, steps aren't timed.
	CPUClock   func() int64
	OnStepTime func(h *Host, component string, nanos int64)

	lastID       uint64
	lastRequest  uint64
	seeds        []string        // addresses of the first storage nodes
	bounds       *schema.Bounds  // bounds of a deployment with called workers; nil: workers poll
	usesVersions bool            // whether operators number the versions of configurations
	routes       *routes         // nil: clients know queues by their names
	shownVersion uint64          // version whose rows were last recorded in the history
	observers    []eventObserver // called in the order in which they were added

	submittedJobs           map[string]submittedJob // by name
	tenants                 *tenantClients          // nil: the deployment isn't shared by tenants
	acknowledgementLossRate float64                 // share of acknowledgements lost on the way to clients

	calledWorkers map[string]*CalledWorker // by machine name
	gangs         *fakeworker.Gangs
}

// eventObserver is called with each recorded event until it returns true.
type eventObserver func(checker.Event) (done bool)

// NewSimulation returns a simulation without hosts. The argument sync is the time that a
// disk takes for a sync.
func NewSimulation(seed uint64, profile NetworkProfile, sync eventloop.Micros) *Simulation {
	return &Simulation{
		clock: clock{Now: eventloop.Second}, network: newNetwork(profile),
		Rng: rand.New(rand.NewPCG(seed, 0x5eed)), SyncDelay: sync,
		submittedJobs: map[string]submittedJob{}, calledWorkers: map[string]*CalledWorker{}, gangs: fakeworker.NewGangs(),
	}
}

// AddHost adds a machine whose process isn't started yet. The first three machines with a
// disk become the seeds.
func (s *Simulation) AddHost(name, zone string, role schema.Role, hasDisk bool) *Host {
	h := &Host{
		sim: s, Name: name, Address: fmt.Sprintf("10.0.0.%d:1", len(s.Hosts)+1), Zone: zone, Role: role, SyncDelay: s.SyncDelay,
	}
	if hasDisk {
		h.Disk = NewDisk()
		if len(s.seeds) < seedCount {
			s.seeds = append(s.seeds, h.Address)
		}
	}
	s.Hosts = append(s.Hosts, h)
	return h
}

// newID returns a unique process id; part of it is drawn at random.
func (s *Simulation) newID() string {
	s.lastID++
	return fmt.Sprintf("p%03d-%04x", s.lastID, s.Rng.IntN(1<<16))
}

// Record appends an event to the history and passes it to the observers. An event without
// a time gets the current time.
func (s *Simulation) Record(e checker.Event) {
	if e.At == 0 {
		e.At = s.Now
	}
	s.History = append(s.History, e)
	s.observers = slices.DeleteFunc(s.observers, func(observe eventObserver) bool { return observe(e) })
}

// RecordFault records that a major fault was injected; the arguments describe it.
func (s *Simulation) RecordFault(format string, args ...any) {
	s.Record(checker.Event{Kind: checker.Fault, State: fmt.Sprintf(format, args...)})
}

// EncodeHistory returns the history as JSON, one event per line.
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
