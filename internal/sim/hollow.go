package sim

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/hollow"
	"sparnotch/internal/process"
	"sparnotch/internal/schema"
)

// HollowSetup describes a hollow deployment. Its processes run the real components without
// real disks, connections and tasks, so that the deployment can be larger than one machine
// could run. Times are in µs.
type HollowSetup struct {
	Workers           int
	Gateways          int
	Queues            int
	StartsPerSecond   float64 // rate of task starts
	RunUs             int64   // run time of a task
	TasksPerJob       int
	IsGang            bool    // whether a job's tasks are a gang
	ChangesPerMinute  float64 // rate of configuration changes
	ConfigurationRows int     // least number of rows in the configuration
	Zones             int
	Regions           int              // number of regions, to which the zones are assigned in turn
	RegionDelay       eventloop.Micros // one-way delay between two regions
	WorkersPerRack    int
	StorageCPUShare   float64          // share of a core of each storage node; 0: its steps take no time
	BurstFactor       float64          // factor by which the load grows for BurstDuration after the warm-up; 0: no burst
	BurstDuration     eventloop.Micros // duration of the burst
	BurstRecovery     eventloop.Micros // time between the end of the burst and the measurement
	Controllers       int              // number of agent nodes that may hold the controller's lease; 0: all
	Seed              uint64
	WarmUp            eventloop.Micros // time between the start of the load and the measurement
	Duration          eventloop.Micros // duration of the measurement
	CPUClock          func() int64     // returns this thread's processor time in ns; nil: steps aren't timed
	LossScope         string           // what is lost after the measurement: node, worker, rack, zone, region or link; empty: nothing
}

const (
	zoneDelay          = 450 * eventloop.Micros(1)   // one-way delay between two zones of a region
	hollowReadyTimeout = 120 * eventloop.Second      // longest time until a hollow deployment is ready
	propagationTimeout = 8 * eventloop.Second        // time in which every agent must have a configuration, as the users' pages allow
	hollowRetryDelay   = 200 * eventloop.Millisecond // between two attempts of a request
	hollowSampling     = 500 * eventloop.Millisecond // between two checks of the deployment's state
)

// hollowRun is a running hollow deployment with its measurements.
type hollowRun struct {
	*Simulation
	setup  HollowSetup
	region map[string]int // region number by zone

	isMeasuring      bool
	leader           *Host                      // leader at the start of the measurement
	traffic          map[string]*roleTraffic    // by role
	bytesByMessage   map[string]float64         // bytes sent by message type
	leaderMessages   map[messageFlow]float64    // messages that the leader sent and received
	interRegionBytes float64                    // bytes sent between regions
	stepTime         map[*Host]map[string]int64 // processor time of steps in ns, by host and component

	loadFactor   float64 // factor of the load; above 1 during a burst
	submitted    int
	submittedAt  map[string]eventloop.Micros // by job
	startDelays  []eventloop.Micros          // time from the submission of the job to each start of a task
	lastHost     map[string]*Host            // host on which a task last started, by task
	expectedEnds map[string]eventloop.Micros // by task

	sentAt     map[uint64]eventloop.Micros // when a configuration was sent, by revision
	seenBy     map[uint64]int              // number of agents that have received a configuration, by revision
	lastSeenAt map[uint64]eventloop.Micros // when the last of them received it, by revision

	lostAt        eventloop.Micros // time of the loss; 0: nothing was lost yet
	lostTasks     map[string]bool  // lost tasks that haven't started again
	firstStartAt  eventloop.Micros // first start of a task whose job was submitted after the loss
	lastRestartAt eventloop.Micros // last start of a lost task
}

// roleTraffic counts the messages and bytes that the processes of one role sent and received.
type roleTraffic struct{ messagesSent, bytesSent, messagesReceived, bytesReceived float64 }

// messageFlow identifies the messages of one type in one direction.
type messageFlow struct{ direction, kind string }

// RunHollow runs a hollow deployment and returns the traffic of each role, the delays of task
// starts and the other results that the setup asks for. Byte counts cover the messages
// themselves, without the frames of the transport.
func RunHollow(setup HollowSetup) []Result {
	r := newHollowRun(setup)
	r.addHosts()
	r.After(hollowSampling, func() { r.putConfiguration(0) })
	readyAfter := r.awaitReady()
	r.generateLoad()
	r.Run(r.Now + setup.WarmUp)
	if setup.BurstFactor > 0 {
		r.loadFactor = setup.BurstFactor
		r.Run(r.Now + setup.BurstDuration)
		r.loadFactor = 1
		r.Run(r.Now + setup.BurstRecovery)
	}
	r.isMeasuring, r.leader = true, r.Leader()
	from, startsBefore := r.Now, len(r.startDelays)
	r.Run(r.Now + setup.Duration)
	r.isMeasuring = false
	list := r.results(from, r.startDelays[startsBefore:])
	if setup.ChangesPerMinute > 0 {
		// The last configurations may still be on their way.
		until := r.Now
		r.Run(r.Now + propagationTimeout)
		list = append(list, r.propagationResults(from, until)...)
	}
	list = append(list, Result{roleWhole, "up_ms", milliseconds(readyAfter)})
	if setup.LossScope != "" {
		list = append(list, r.measureLoss()...)
	}
	return list
}

func newHollowRun(setup HollowSetup) *hollowRun {
	r := &hollowRun{
		Simulation: NewSimulation(setup.Seed, ReliableNetwork, fastSync), setup: setup, region: map[string]int{}, loadFactor: 1,
		traffic: map[string]*roleTraffic{}, bytesByMessage: map[string]float64{}, leaderMessages: map[messageFlow]float64{}, stepTime: map[*Host]map[string]int64{},
		submittedAt: map[string]eventloop.Micros{}, lastHost: map[string]*Host{}, expectedEnds: map[string]eventloop.Micros{},
		sentAt: map[uint64]eventloop.Micros{}, seenBy: map[uint64]int{}, lastSeenAt: map[uint64]eventloop.Micros{}, lostTasks: map[string]bool{},
	}
	for zone := range setup.Zones {
		r.region[r.zoneOf(zone)] = zone % max(setup.Regions, 1)
	}
	r.MaxCallsPerSecond = 1 << 30
	r.ZoneDelay, r.OnSend = r.zoneDelay, r.countMessage
	r.CPUClock, r.OnStepTime = setup.CPUClock, r.countStepTime
	return r
}

func (r *hollowRun) zoneDelay(from, to string) eventloop.Micros {
	switch {
	case from == to:
		return ReliableNetwork.IntraZoneDelay
	case r.region[from] != r.region[to]:
		return r.setup.RegionDelay
	}
	return zoneDelay
}

// zoneOf returns the zone of the machine or rack with a number; the zones take turns.
func (r *hollowRun) zoneOf(k int) string { return fmt.Sprintf("c%d", k%r.setup.Zones+1) }

func (r *hollowRun) addHosts() {
	s := r.setup
	for k := range storageNodes {
		r.AddHost(fmt.Sprintf("store%d", k), r.zoneOf(k), schema.Role_ROLE_SERVER, true).CPUShare = s.StorageCPUShare
	}
	for k := range s.Gateways {
		r.AddHost(fmt.Sprintf("front%d", k), r.zoneOf(k), schema.Role_ROLE_SERVER, false)
	}
	for k := range s.Workers {
		rack := k / s.WorkersPerRack
		h := r.AddHost(fmt.Sprintf("side%d", k), r.zoneOf(rack), schema.Role_ROLE_CONTROLLER, false)
		h.Route, h.ViewSubscribers = hollow.ComponentsFor, []string{hollow.AgentName}
		h.Customize = func(config *process.Config, slots []process.ComponentSlot) []process.ComponentSlot {
			return r.hollowSlots(h, k, rack, config, slots)
		}
	}
	// The machines start as after a power failure: one after another within a few seconds, and
	// the machines of a rack together.
	for k, h := range r.Hosts {
		r.After(eventloop.Micros(k)*2*eventloop.Millisecond, h.Start)
	}
}

// hollowSlots adds a hollow agent to the components of a process. It also replaces the
// controller if only some agent nodes may hold the controller's lease and this one may not.
func (r *hollowRun) hollowSlots(h *Host, k, rack int, config *process.Config, slots []process.ComponentSlot) []process.ComponentSlot {
	for at := range slots {
		if slots[at].Name == "controller" && r.setup.Controllers > 0 && k >= r.setup.Controllers {
			slots[at] = process.ComponentSlot{Name: "controller", Component: &hollow.StatePoller{}, TickInterval: hollow.StatePollInterval}
		}
	}
	hooks := hollow.Hooks{
		OnStart: func(_ eventloop.Micros, job string, _, task uint32) { r.recordStart(h, job, task) },
		OnConfig: func(_ eventloop.Micros, revision uint64) {
			r.seenBy[revision]++
			r.lastSeenAt[revision] = r.Now
		},
	}
	agent := hollow.New(config.Now, fmt.Sprintf("w%04d", k), fmt.Sprintf("r%d", rack), hollow.Resources{Cores: 64_000, Memory: 128_000},
		uint64(r.Now), rand.New(rand.NewPCG(config.RandomSeed, 9)), hooks)
	return append(slots, process.ComponentSlot{Name: hollow.AgentName, Component: agent, TickInterval: hollow.AgentTickInterval})
}

// awaitReady runs the deployment until each worker has a lease and each queue has a leader, or
// until hollowReadyTimeout. It returns the time that this took.
func (r *hollowRun) awaitReady() eventloop.Micros {
	from := r.Now
	for r.Now < from+hollowReadyTimeout {
		r.Run(r.Now + hollowSampling)
		if r.isReady() {
			break
		}
	}
	return r.Now - from
}

func (r *hollowRun) isReady() bool {
	queuesLed, workersLeased := 0, 0
	for _, h := range r.StorageNodes() {
		view := h.StateView()
		if view == nil {
			continue
		}
		for _, group := range view.Groups {
			if group.Role == "leader" && group.Group != clusterstate.GroupName {
				queuesLed++
			}
		}
		leased := 0
		for _, lease := range view.WorkerLeases {
			if lease.Scheduler != "" {
				leased++
			}
		}
		workersLeased = max(workersLeased, leased)
	}
	return queuesLed >= r.setup.Queues && workersLeased >= r.setup.Workers
}

// --- load ---

func queueName(k int) string { return fmt.Sprintf("l%03d", k) }

// configurationRows returns the configuration after the given number of changes.
func (r *hollowRun) configurationRows(change int) []*schema.ConfigurationRow {
	rows := []*schema.ConfigurationRow{{Kind: "fleet", Key: "live_jobs", Value: "1000000"}, {Kind: "fleet", Key: "window", Value: "65536"}}
	for k := range r.setup.Queues {
		rows = append(rows, &schema.ConfigurationRow{Kind: "queue", Name: queueName(k), Key: "urgency", Value: "50"})
	}
	for k := len(rows); k < r.setup.ConfigurationRows; k++ {
		rows = append(rows, &schema.ConfigurationRow{Kind: "rack", Name: fmt.Sprintf("x%04d", k), Key: "weight", Value: "100"})
	}
	return append(rows, &schema.ConfigurationRow{Kind: "fleet", Key: "weight_rack", Value: fmt.Sprint(30 + change%10)})
}

// randomGateway draws a gateway that can serve. If none can, it returns the first host.
func (r *hollowRun) randomGateway() *Host {
	var list []*Host
	for _, h := range r.Gateways() {
		if h.isServing() && h.canServe {
			list = append(list, h)
		}
	}
	if len(list) == 0 {
		return r.Hosts[0]
	}
	return list[r.Rng.IntN(len(list))]
}

// putConfiguration sends the configuration with the given number of changes until it is
// accepted, and then the next ones at the rate that the setup gives.
func (r *hollowRun) putConfiguration(change int) {
	revision := uint64(change)
	update := &schema.ConfigurationUpdate{BaseRevision: &revision, Rows: r.configurationRows(change)}
	sentAt := r.Now
	r.Request(r.randomGateway(), clientTimeout, leaderRequest(updateRequest(update)), func(answer any) {
		if code := responseOf(answer).Code; code != 200 && code != 412 {
			r.After(hollowRetryDelay, func() { r.putConfiguration(change) })
			return
		}
		r.sentAt[revision+1] = sentAt
		if r.setup.ChangesPerMinute > 0 {
			r.After(eventloop.Micros(60e6/r.setup.ChangesPerMinute), func() { r.putConfiguration(change + 1) })
		}
	})
}

// generateLoad submits jobs at the rate that the setup gives, from now on.
func (r *hollowRun) generateLoad() {
	if r.setup.StartsPerSecond <= 0 {
		return
	}
	interval := float64(r.setup.TasksPerJob) / r.setup.StartsPerSecond * float64(eventloop.Second)
	var next func()
	next = func() {
		r.submitted++
		name := fmt.Sprintf("h%d", r.submitted)
		r.submittedAt[name] = r.Now
		r.submit(queueName(r.submitted%r.setup.Queues), name)
		r.After(eventloop.Micros(r.Rng.ExpFloat64()*interval/r.loadFactor), next)
	}
	next()
}

// submit repeats the submission of a job until it is accepted.
func (r *hollowRun) submit(queue, name string) {
	step := &schema.Step{Name: "s", Tasks: uint32(r.setup.TasksPerJob), CoresMilli: 10, MemoryMb: 1, Gang: r.setup.IsGang}
	node := r.randomGateway()
	request := submitRequest(queue, "c-"+node.Name, name, newJob(fmt.Sprintf("run_us=%d", r.setup.RunUs), step))
	r.Request(node, clientTimeout, request, func(answer any) {
		if !isConfirmed(responseOf(answer)) {
			r.After(hollowRetryDelay, func() { r.submit(queue, name) })
		}
	})
}

func (r *hollowRun) recordStart(h *Host, job string, task uint32) {
	r.startDelays = append(r.startDelays, r.Now-r.submittedAt[job])
	key := fmt.Sprintf("%s/%d", job, task)
	r.lastHost[key] = h
	r.expectedEnds[key] = r.Now + eventloop.Micros(r.setup.RunUs)
	if r.lostAt == 0 {
		return
	}
	if r.submittedAt[job] > r.lostAt && r.firstStartAt == 0 {
		r.firstStartAt = r.Now
	}
	if r.lostTasks[key] {
		delete(r.lostTasks, key)
		r.lastRestartAt = r.Now
	}
}

// --- measuring ---

func (r *hollowRun) trafficOf(h *Host) *roleTraffic {
	role := r.roleOf(h)
	if r.traffic[role] == nil {
		r.traffic[role] = &roleTraffic{}
	}
	return r.traffic[role]
}

func (r *hollowRun) countMessage(from, to *Host, body any) {
	message, ok := body.(proto.Message)
	if !ok || !r.isMeasuring {
		return
	}
	size := float64(proto.Size(message))
	sender := r.trafficOf(from)
	sender.messagesSent++
	sender.bytesSent += size
	kind := strings.ToLower(string(message.ProtoReflect().Descriptor().Name()))
	r.bytesByMessage[kind] += size
	if from == r.leader {
		r.leaderMessages[messageFlow{"sent", kind}]++
	}
	if to == nil {
		return
	}
	if to == r.leader {
		r.leaderMessages[messageFlow{"received", kind}]++
	}
	receiver := r.trafficOf(to)
	receiver.messagesReceived++
	receiver.bytesReceived += size
	if r.region[from.Zone] != r.region[to.Zone] {
		r.interRegionBytes += size
	}
}

func (r *hollowRun) countStepTime(h *Host, component string, nanos int64) {
	if !r.isMeasuring {
		return
	}
	if r.stepTime[h] == nil {
		r.stepTime[h] = map[string]int64{}
	}
	r.stepTime[h][component] += nanos
}
