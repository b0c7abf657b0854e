// Package sim runs whole fleets in virtual time: the components that real processes run,
// over a simulated network, simulated disks and clocks, all drawn from one seed. The same
// seed gives the same history, byte for byte.
//
// A Simulation owns the clock, the network and the hosts. A Host is a machine with one
// process; its Disk and its Link are its own. A Fleet is a simulation of a deployment with
// clients, workers and operators. A Scenario injects faults into a fleet, and RunScenario
// has its history judged by package checker. A Schedule is a scenario in writing.
//
// Everything random is drawn from Simulation.Rng, in the order in which calls happen: who
// adds a draw, or iterates over a map where that has an effect, changes every seed's run.
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

// seedCount is how many storage nodes a process is told to contact at its start.
const seedCount = 3

// Simulation is one simulated run.
type Simulation struct {
	clock
	network
	Rng       *rand.Rand
	SyncDelay eventloop.Micros // of the disks of hosts that are added, in µs
	Hosts     []*Host
	History   []checker.Event

	DamageReports []string // the errors of opening damaged disks
	// CPUClock, where steps are to be timed, reads the processor's time in ns, and OnStepTime
	// is called with the time of each step.
	CPUClock   func() int64
	OnStepTime func(h *Host, component string, nanos int64)

	lastID       uint64
	lastRequest  uint64
	seeds        []string        // addresses of the first storage nodes
	bounds       *schema.Bounds  // the deployment's, where workers are called
	usesVersions bool            // operators number the versions of configurations
	shownVersion uint64          // newest version whose rows are in the history
	observers    []eventObserver // in the order in which they were added

	submittedJobs           map[string]submittedJob // by name
	tenants                 *tenantClients          // nil: the deployment isn't shared
	acknowledgementLossRate float64                 // on their way to clients

	calledWorkers map[string]*CalledWorker // by the name of their machine
	gangs         *fakeworker.Gangs
}

// eventObserver sees each event that is recorded until it returns true.
type eventObserver func(checker.Event) (done bool)

// NewSimulation makes a simulation without hosts; sync is how long a disk takes, in µs.
func NewSimulation(seed uint64, profile NetworkProfile, sync eventloop.Micros) *Simulation {
	return &Simulation{
		clock: clock{Now: eventloop.Second}, network: newNetwork(profile),
		Rng: rand.New(rand.NewPCG(seed, 0x5eed)), SyncDelay: sync,
		submittedJobs: map[string]submittedJob{}, calledWorkers: map[string]*CalledWorker{}, gangs: fakeworker.NewGangs(),
	}
}

// AddHost adds a machine that is down; the first three with a disk are the seeds.
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

// newID draws the id of a process.
func (s *Simulation) newID() string {
	s.lastID++
	return fmt.Sprintf("p%03d-%04x", s.lastID, s.Rng.IntN(1<<16))
}

// Record adds an event to the history, now if it has no time.
func (s *Simulation) Record(e checker.Event) {
	if e.At == 0 {
		e.At = s.Now
	}
	s.History = append(s.History, e)
	s.observers = slices.DeleteFunc(s.observers, func(observe eventObserver) bool { return observe(e) })
}

// RecordFault records a major fault of the system.
func (s *Simulation) RecordFault(format string, args ...any) {
	s.Record(checker.Event{Kind: checker.Fault, State: fmt.Sprintf(format, args...)})
}

// EncodeHistory gives the history as JSON, one event a line.
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
