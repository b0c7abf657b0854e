package sim

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/gateway"
	"sparnotch/internal/hollow"
	"sparnotch/internal/process"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// HollowSetup is a hollow deployment in virtual time, past what one machine carries.
type HollowSetup struct {
	Workers           int
	Gateways          int
	Queues            int
	StartsPerSecond   float64 // task starts a second
	RunUs             int64
	TasksPerJob       int  // tasks of a job's one step
	IsGang            bool // and whether they are a group
	ChangesPerMinute  float64
	ConfigurationRows int // of the plan, at least
	Zones             int
	Regions           int              // zones stand in them in turn
	RegionDelay       eventloop.Micros // one way between regions
	WorkersPerRack    int
	Controllers       int // sides with the controller's table; 0: all
	Seed              uint64
	WarmUp            eventloop.Micros
	Duration          eventloop.Micros
	CPUClock          func() int64 // nanoseconds of this thread's processor time; nil: steps aren't timed
	LossScope         string       // node, rack, zone, region, link; empty: nothing
}

// zoneDelay is a message's way within a region, between zones.
const zoneDelay = 450 * eventloop.Micros(1)

// propagationTimeout is how long a plan may take, by the users' letter.
const propagationTimeout = 8 * eventloop.Second

// Result is one quantity of one process of a role, or of all (whole).
type Result struct {
	Role, Metric string
	Value        float64
}

// hollowRun is a Hollow that runs.
type hollowRun struct {
	*Simulation
	setup            HollowSetup
	region           map[string]int // of a cell
	messagesSent     map[string]float64
	bytesSent        map[string]float64
	messagesReceived map[string]float64
	bytesReceived    map[string]float64
	bytesByMessage   map[string]float64 // bytes by message
	interRegionBytes float64            // bytes between regions
	isMeasuring      bool
	leader           *Host // when the measuring began
	stepTime         map[*Host]map[string]int64
	starts           []taskStart
	expectedEnds     map[string]eventloop.Micros
	submittedAt      map[string]eventloop.Micros
	seenBy           map[uint64]int
	seenAt           map[uint64]eventloop.Micros
	sentAt           map[uint64]eventloop.Micros
	lastHost         map[string]*Host // last worker a task began on
	lostTasks        map[string]bool  // tasks that ran where something was lost
	lostAt           eventloop.Micros
	firstStartAt     eventloop.Micros // a job handed in after the loss has begun
	lastRestartAt    eventloop.Micros // the last of the wanted has begun again
	submitted        int
}

type taskStart struct{ delay eventloop.Micros }

func (r *hollowRun) roleOf(h *Host) string {
	switch {
	case h == r.leader:
		return "leader"
	case h.Role == schema.Role_ROLE_CONTROLLER:
		return "side"
	case h.Disk != nil:
		return "store"
	}
	return "front"
}

// RunHollow runs it and tells what each role sent and kept; bytes are those of
// the messages themselves, without the wire's frames.
func RunHollow(setup HollowSetup) []Result {
	r := &hollowRun{
		Simulation: NewSimulation(setup.Seed, ReliableNetwork, 500), setup: setup, region: map[string]int{},
		messagesSent: map[string]float64{}, bytesSent: map[string]float64{}, messagesReceived: map[string]float64{}, bytesReceived: map[string]float64{},
		bytesByMessage: map[string]float64{}, expectedEnds: map[string]eventloop.Micros{}, submittedAt: map[string]eventloop.Micros{}, seenBy: map[uint64]int{}, seenAt: map[uint64]eventloop.Micros{},
		stepTime: map[*Host]map[string]int64{}, sentAt: map[uint64]eventloop.Micros{}, lastHost: map[string]*Host{}, lostTasks: map[string]bool{},
	}
	r.MaxCallsPerSecond = 1 << 30
	for zone := 0; zone < setup.Zones; zone++ {
		r.region[r.cell(zone)] = zone % max(setup.Regions, 1)
	}
	r.ZoneDelay = func(from, to string) eventloop.Micros {
		switch {
		case from == to:
			return ReliableNetwork.IntraZoneDelay
		case r.region[from] != r.region[to]:
			return setup.RegionDelay
		}
		return zoneDelay
	}
	r.OnSend = r.countMessage
	r.CPUClock = setup.CPUClock
	r.OnStepTime = func(h *Host, component string, nanos int64) {
		if !r.isMeasuring {
			return
		}
		if r.stepTime[h] == nil {
			r.stepTime[h] = map[string]int64{}
		}
		r.stepTime[h][component] += nanos
	}
	r.build()
	r.After(500*eventloop.Millisecond, func() { r.putConfiguration(0) })
	ready := r.awaitReady()
	r.generateLoad()
	r.Run(r.Now + setup.WarmUp)
	r.isMeasuring, r.leader = true, r.Leader()
	from, beginsFrom := r.Now, len(r.starts)
	r.Run(r.Now + setup.Duration)
	r.isMeasuring = false
	list := r.results(from, beginsFrom)
	if setup.ChangesPerMinute > 0 {
		// What was put last may still be on its way.
		until := r.Now
		r.Run(r.Now + propagationTimeout)
		list = append(list, r.propagationResults(from, until)...)
	}
	list = append(list, Result{"whole", "up_ms", float64(ready) / 1000})
	if setup.LossScope != "" {
		list = append(list, r.injectLoss()...)
	}
	return list
}

func (r *hollowRun) cell(k int) string { return fmt.Sprintf("c%d", k%r.setup.Zones+1) }

func (r *hollowRun) build() {
	s := r.setup
	for k := 0; k < 3; k++ {
		r.AddHost(fmt.Sprintf("store%d", k), r.cell(k), schema.Role_ROLE_SERVER, true)
	}
	for k := 0; k < s.Gateways; k++ {
		r.AddHost(fmt.Sprintf("front%d", k), r.cell(k), schema.Role_ROLE_SERVER, false)
	}
	for k := 0; k < s.Workers; k++ {
		rack := k / s.WorkersPerRack
		h := r.AddHost(fmt.Sprintf("side%d", k), r.cell(rack), schema.Role_ROLE_CONTROLLER, false)
		h.Route = hollow.ComponentsFor
		h.Customize = func(config *process.Config, slots []process.ComponentSlot) []process.ComponentSlot {
			return r.hollowComponents(h, k, rack, config, slots)
		}
	}
	// As at a start after a power cut: within a few seconds, whole racks at a time.
	for k, h := range r.Hosts {
		r.After(eventloop.Micros(k)*2*eventloop.Millisecond, h.Start)
	}
}

func (r *hollowRun) hollowComponents(h *Host, k, rack int, config *process.Config, slots []process.ComponentSlot) []process.ComponentSlot {
	for at := range slots {
		if slots[at].Name == "controller" && r.setup.Controllers > 0 && k >= r.setup.Controllers {
			slots[at] = process.ComponentSlot{Name: "controller", Component: &hollow.StatePoller{}, TickInterval: hollow.StatePollInterval}
		}
	}
	watch := hollow.Hooks{
		OnStart: func(_ eventloop.Micros, job string, step, task uint32) { r.recordStart(h, job, task) },
		OnConfig: func(_ eventloop.Micros, generation uint64) {
			r.seenBy[generation]++
			r.seenAt[generation] = r.Now
		},
	}
	hand := hollow.New(config.Now, fmt.Sprintf("w%04d", k), fmt.Sprintf("r%d", rack), hollow.Resources{Cores: 64_000, Memory: 128_000},
		uint64(r.Now), rand.New(rand.NewPCG(config.RandomSeed, 9)), watch)
	return append(slots, process.ComponentSlot{Name: hollow.AgentName, Component: hand, TickInterval: hollow.AgentTickInterval})
}

func (r *hollowRun) countMessage(from, to *Host, body any) {
	if !r.isMeasuring {
		return
	}
	message, ok := body.(proto.Message)
	if !ok {
		return
	}
	size := float64(proto.Size(message))
	role := r.roleOf(from)
	r.messagesSent[role]++
	r.bytesSent[role] += size
	r.bytesByMessage[string(message.ProtoReflect().Descriptor().Name())] += size
	if to != nil {
		r.messagesReceived[r.roleOf(to)]++
		r.bytesReceived[r.roleOf(to)] += size
		if r.region[from.Zone] != r.region[to.Zone] {
			r.interRegionBytes += size
		}
	}
}

// awaitReady lets everything come up: a ward for each worker, a leader for each
// queue; at most two minutes.
func (r *hollowRun) awaitReady() eventloop.Micros {
	from := r.Now
	for r.Now < from+120*eventloop.Second {
		r.Run(r.Now + 500*eventloop.Millisecond)
		leads, leases := 0, 0
		for _, h := range r.StorageNodes() {
			view := h.StateView()
			if view == nil {
				continue
			}
			for _, group := range view.Groups {
				if group.Role == "leader" && group.Group != clusterstate.Group {
					leads++
				}
			}
			held := 0
			for _, lease := range view.WorkerLeases {
				if lease.Scheduler != "" {
					held++
				}
			}
			leases = max(leases, held)
		}
		if leads >= r.setup.Queues && leases >= r.setup.Workers {
			break
		}
	}
	return r.Now - from
}

// --- load ---

func queueName(k int) string { return fmt.Sprintf("l%03d", k) }

func (r *hollowRun) configurationRows(change int) []*schema.ConfigurationRow {
	rows := []*schema.ConfigurationRow{{Kind: "fleet", Key: "live_jobs", Value: "1000000"}, {Kind: "fleet", Key: "window", Value: "65536"}}
	for k := 0; k < r.setup.Queues; k++ {
		rows = append(rows, &schema.ConfigurationRow{Kind: "queue", Name: queueName(k), Key: "urgency", Value: "50"})
	}
	for k := len(rows); k < r.setup.ConfigurationRows; k++ {
		rows = append(rows, &schema.ConfigurationRow{Kind: "rack", Name: fmt.Sprintf("x%04d", k), Key: "weight", Value: "100"})
	}
	return append(rows, &schema.ConfigurationRow{Kind: "fleet", Key: "weight_rack", Value: fmt.Sprint(30 + change%10)})
}

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

// putConfiguration puts the plan until it is taken, and changes it at the wanted pace.
func (r *hollowRun) putConfiguration(change int) {
	generation := uint64(change)
	configuration := &schema.ConfigurationUpdate{BaseRevision: &generation, Rows: r.configurationRows(change)}
	sent := r.Now
	r.Request(r.randomGateway(), 3*eventloop.Second, func(request uint64, deadline eventloop.Micros) any {
		return gateway.LeaderRequest{RequestID: request, Kind: "clusterstate", Group: clusterstate.Group, Deadline: deadline, Body: replica.EncodeClusterStateCommand(
			&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: configuration}}})}
	}, func(answer any) {
		reply, _ := answer.(gateway.Response)
		if reply.Code != 200 && reply.Code != 412 {
			r.After(200*eventloop.Millisecond, func() { r.putConfiguration(change) })
			return
		}
		r.sentAt[generation+1] = sent
		if r.setup.ChangesPerMinute > 0 {
			r.After(eventloop.Micros(60e6/r.setup.ChangesPerMinute), func() { r.putConfiguration(change + 1) })
		}
	})
}

// callWorker hands in jobs at the wanted rate from now on.
func (r *hollowRun) generateLoad() {
	if r.setup.StartsPerSecond <= 0 {
		return
	}
	every := float64(r.setup.TasksPerJob) / r.setup.StartsPerSecond * float64(eventloop.Second)
	var next func()
	next = func() {
		r.submitted++
		name := fmt.Sprintf("h%d", r.submitted)
		r.submittedAt[name] = r.Now
		r.submit(queueName(r.submitted%r.setup.Queues), name)
		r.After(eventloop.Micros(r.Rng.ExpFloat64()*every), next)
	}
	next()
}

func (r *hollowRun) submit(queue, name string) {
	job := &schema.Job{Text: fmt.Sprintf("run_us=%d", r.setup.RunUs), Steps: []*schema.Step{
		{Name: "s", Tasks: uint32(r.setup.TasksPerJob), CoresMilli: 10, MemoryMb: 1, Gang: r.setup.IsGang},
	}}
	node := r.randomGateway()
	r.Request(node, 3*eventloop.Second, func(request uint64, deadline eventloop.Micros) any {
		return gateway.SubmitJob{RequestID: request, Queue: queue, Client: "c-" + node.Name, Name: name, Digest: gateway.Digest(job), Job: job, Deadline: deadline}
	}, func(answer any) {
		if reply, _ := answer.(gateway.Response); reply.Code != 200 && reply.Code != 201 {
			r.After(200*eventloop.Millisecond, func() { r.submit(queue, name) })
		}
	})
}

func (r *hollowRun) recordStart(h *Host, job string, task uint32) {
	r.starts = append(r.starts, taskStart{r.Now - r.submittedAt[job]})
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

// --- what came of it ---

func (r *hollowRun) results(from eventloop.Micros, beginsFrom int) []Result {
	seconds := float64(r.Now-from) / float64(eventloop.Second)
	var list []Result
	counts := map[string]float64{}
	for _, h := range r.Hosts {
		counts[r.roleOf(h)]++
	}
	for _, role := range []string{"leader", "store", "front", "side"} {
		n := counts[role]
		if n == 0 {
			continue
		}
		list = append(list,
			Result{role, "sent_s", r.messagesSent[role] / seconds / n}, Result{role, "received_s", r.messagesReceived[role] / seconds / n},
			Result{role, "bytes_out_s", r.bytesSent[role] / seconds / n}, Result{role, "bytes_in_s", r.bytesReceived[role] / seconds / n},
		)
	}
	list = append(list, r.cpuResults(seconds)...)
	for kind, bytes := range r.bytesByMessage {
		list = append(list, Result{"whole", strings.ToLower(kind) + "_bytes_s", bytes / seconds})
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Role+list[a].Metric < list[b].Role+list[b].Metric })
	var took []eventloop.Micros
	for _, each := range r.starts[beginsFrom:] {
		took = append(took, each.delay)
	}
	sort.Slice(took, func(a, b int) bool { return took[a] < took[b] })
	list = append(list, Result{"whole", "starts_s", float64(len(took)) / seconds}, Result{"whole", "between_regions_bytes_s", r.interRegionBytes / seconds})
	if len(took) > 0 {
		list = append(list, Result{"whole", "start_p50_ms", float64(took[len(took)/2]) / 1000}, Result{"whole", "start_p99_ms", float64(took[len(took)*99/100]) / 1000})
	}
	return list
}

// propagationResults is how long the plans put in a span took until the last side had seen
// them; one that a side skipped for a newer one is missed.
func (r *hollowRun) propagationResults(from, until eventloop.Micros) []Result {
	var list []Result
	plans, slowest, missed := 0, eventloop.Micros(0), 0.0
	for generation, sent := range r.sentAt {
		if sent < from || sent > until {
			continue
		}
		plans++
		if r.seenBy[generation] < r.setup.Workers {
			missed++
			continue
		}
		slowest = max(slowest, r.seenAt[generation]-sent)
	}
	if plans > 0 {
		list = append(list, Result{"whole", "plan_max_ms", float64(slowest) / 1000}, Result{"whole", "plan_missed", missed})
	}
	return list
}

// cpuResults is what the tables of one process of each role spent, in
// thousandths of a core: without the wire and the disk, which aren't there.
func (r *hollowRun) cpuResults(seconds float64) []Result {
	if r.CPUClock == nil {
		return nil
	}
	sums, counts := map[[2]string]float64{}, map[string]float64{}
	for _, h := range r.Hosts {
		role := r.roleOf(h)
		counts[role]++
		for component, nanos := range r.stepTime[h] {
			sums[[2]string{role, component}] += float64(nanos) / 1e6 / seconds
			sums[[2]string{role, "tables"}] += float64(nanos) / 1e6 / seconds
		}
	}
	var list []Result
	for key, sum := range sums {
		list = append(list, Result{key[0], "cpu_" + key[1] + "_milli", sum / counts[key[0]]})
	}
	return list
}

// injectLoss takes away what the setup says and tells how long until a job handed in
// after that runs, and until the last task that ran there runs again.
func (r *hollowRun) injectLoss() []Result {
	leader := r.Leader()
	lost := func(h *Host) bool { return false }
	switch r.setup.LossScope {
	case "node":
		lost = func(h *Host) bool { return h == leader }
	case "worker":
		lost = func(h *Host) bool { return h.Name == "side0" }
	case "rack":
		lost = func(h *Host) bool {
			var k int
			count, _ := fmt.Sscanf(h.Name, "side%d", &k)
			return count == 1 && k/r.setup.WorkersPerRack == 0
		}
	case "zone":
		lost = func(h *Host) bool { return h.Zone == leader.Zone }
	case "region", "link":
		lost = func(h *Host) bool { return r.region[h.Zone] == r.region[leader.Zone] }
	}
	hit := 0
	for _, h := range r.Hosts {
		if lost(h) {
			hit++
		}
	}
	r.lostAt = r.Now
	for key, at := range r.lastHost {
		// What a leader's region loses of the other one is lost to it all the same.
		isOut := r.expectedEnds[key] > r.Now
		if isOut && lost(at) && r.setup.LossScope != "link" {
			r.lostTasks[key] = true
		}
	}
	wanted := len(r.lostTasks)
	if r.setup.LossScope == "link" {
		for _, a := range r.Hosts {
			for _, b := range r.Hosts {
				if r.region[a.Zone] != r.region[b.Zone] {
					r.blockedLinks[[2]string{a.Address, b.Address}] = true
				}
			}
		}
		r.updateAvailability()
	} else {
		for _, h := range r.Hosts {
			if lost(h) {
				h.Kill()
			}
		}
	}
	for r.Now < r.lostAt+40*eventloop.Second && (r.firstStartAt == 0 || len(r.lostTasks) > 0) {
		r.Run(r.Now + 500*eventloop.Millisecond)
	}
	list := []Result{{"whole", "lost_processes", float64(hit)}, {"whole", "lost_tasks", float64(wanted)}, {"whole", "not_again", float64(len(r.lostTasks))}}
	if r.firstStartAt > 0 {
		list = append(list, Result{"whole", "first_ms", float64(r.firstStartAt-r.lostAt) / 1000})
	}
	if r.lastRestartAt > 0 {
		list = append(list, Result{"whole", "again_ms", float64(r.lastRestartAt-r.lostAt) / 1000})
	}
	return list
}
