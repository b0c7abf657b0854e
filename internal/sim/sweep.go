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

// Hollow is a hollow deployment in virtual time, past what one machine carries.
type Hollow struct {
	Workers     int
	Fronts      int
	Queues      int
	Starts      float64 // task starts a second
	RunUs       int64
	Width       int  // tasks of a job's one step
	Together    bool // and whether they are a group
	Changes     float64
	Rows        int // of the plan, at least
	Zones       int
	Regions     int              // zones stand in them in turn
	Far         eventloop.Micros // one way between regions
	PerRack     int
	Controllers int // sides with the controller's table; 0: all
	Seed        uint64
	Warm        eventloop.Micros
	Span        eventloop.Micros
	Cpu         func() int64 // nanoseconds of this thread's processor time; nil: steps aren't timed
	Lose        string       // node, rack, zone, region, link; empty: nothing
}

// zoneWay is a message's way within a region, between zones.
const zoneWay = 450 * eventloop.Micros(1)

// forceSpan is how long a plan may take, by the users' letter.
const forceSpan = 8 * eventloop.Second

// Result is one quantity of one process of a role, or of all (whole).
type Result struct {
	Role, What string
	Amount     float64
}

// hollowRun is a Hollow that runs.
type hollowRun struct {
	*World
	setup   Hollow
	region  map[string]int // of a cell
	sent    map[string]float64
	bytes   map[string]float64
	got     map[string]float64
	gotten  map[string]float64
	kinds   map[string]float64 // bytes by message
	far     float64            // bytes between regions
	isOn    bool
	leader  *Host // when the measuring began
	spent   map[*Host]map[string]int64
	begins  []begin
	ends    map[string]eventloop.Micros
	handed  map[string]eventloop.Micros
	seen    map[uint64]int
	seenAt  map[uint64]eventloop.Micros
	put     map[uint64]eventloop.Micros
	where   map[string]*Host // last worker a task began on
	wanted  map[string]bool  // tasks that ran where something was lost
	lostAt  eventloop.Micros
	firstAt eventloop.Micros // a job handed in after the loss has begun
	lastAt  eventloop.Micros // the last of the wanted has begun again
	number  int
}

type begin struct{ took eventloop.Micros }

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

// PlayHollow runs it and tells what each role sent and kept; bytes are those of
// the messages themselves, without the wire's frames.
func PlayHollow(setup Hollow) []Result {
	r := &hollowRun{
		World: NewWorld(setup.Seed, CalmNet, 500), setup: setup, region: map[string]int{},
		sent: map[string]float64{}, bytes: map[string]float64{}, got: map[string]float64{}, gotten: map[string]float64{},
		kinds: map[string]float64{}, ends: map[string]eventloop.Micros{}, handed: map[string]eventloop.Micros{}, seen: map[uint64]int{}, seenAt: map[uint64]eventloop.Micros{},
		spent: map[*Host]map[string]int64{}, put: map[uint64]eventloop.Micros{}, where: map[string]*Host{}, wanted: map[string]bool{},
	}
	r.Storm = 1 << 30
	for zone := 0; zone < setup.Zones; zone++ {
		r.region[r.cell(zone)] = zone % max(setup.Regions, 1)
	}
	r.Way = func(from, to string) eventloop.Micros {
		switch {
		case from == to:
			return CalmNet.Near
		case r.region[from] != r.region[to]:
			return setup.Far
		}
		return zoneWay
	}
	r.Tap = r.tap
	r.Cpu = setup.Cpu
	r.Spent = func(h *Host, table string, nanos int64) {
		if !r.isOn {
			return
		}
		if r.spent[h] == nil {
			r.spent[h] = map[string]int64{}
		}
		r.spent[h][table] += nanos
	}
	r.build()
	r.After(500*eventloop.Millisecond, func() { r.plan(0) })
	ready := r.untilReady()
	r.call()
	r.Run(r.Now + setup.Warm)
	r.isOn, r.leader = true, r.Leader()
	from, beginsFrom := r.Now, len(r.begins)
	r.Run(r.Now + setup.Span)
	r.isOn = false
	list := r.results(from, beginsFrom)
	if setup.Changes > 0 {
		// What was put last may still be on its way.
		until := r.Now
		r.Run(r.Now + forceSpan)
		list = append(list, r.inForce(from, until)...)
	}
	list = append(list, Result{"whole", "up_ms", float64(ready) / 1000})
	if setup.Lose != "" {
		list = append(list, r.lose()...)
	}
	return list
}

func (r *hollowRun) cell(k int) string { return fmt.Sprintf("c%d", k%r.setup.Zones+1) }

func (r *hollowRun) build() {
	s := r.setup
	for k := 0; k < 3; k++ {
		r.AddHost(fmt.Sprintf("store%d", k), r.cell(k), schema.Role_ROLE_SERVER, true)
	}
	for k := 0; k < s.Fronts; k++ {
		r.AddHost(fmt.Sprintf("front%d", k), r.cell(k), schema.Role_ROLE_SERVER, false)
	}
	for k := 0; k < s.Workers; k++ {
		rack := k / s.PerRack
		h := r.AddHost(fmt.Sprintf("side%d", k), r.cell(rack), schema.Role_ROLE_CONTROLLER, false)
		h.Routes = hollow.ComponentsFor
		h.Also = func(papers *process.Config, berths []process.ComponentSlot) []process.ComponentSlot {
			return r.side(h, k, rack, papers, berths)
		}
	}
	// As at a start after a power cut: within a few seconds, whole racks at a time.
	for k, h := range r.Hosts {
		r.After(eventloop.Micros(k)*2*eventloop.Millisecond, h.Start)
	}
}

func (r *hollowRun) side(h *Host, k, rack int, papers *process.Config, berths []process.ComponentSlot) []process.ComponentSlot {
	for at := range berths {
		if berths[at].Name == "controller" && r.setup.Controllers > 0 && k >= r.setup.Controllers {
			berths[at] = process.ComponentSlot{Name: "controller", Component: &hollow.StatePoller{}, TickInterval: hollow.StatePollInterval}
		}
	}
	watch := hollow.Hooks{
		OnStart: func(_ eventloop.Micros, job string, step, task uint32) { r.began(h, job, task) },
		OnConfig: func(_ eventloop.Micros, generation uint64) {
			r.seen[generation]++
			r.seenAt[generation] = r.Now
		},
	}
	hand := hollow.New(papers.Now, fmt.Sprintf("w%04d", k), fmt.Sprintf("r%d", rack), hollow.Resources{Cores: 64_000, Memory: 128_000},
		uint64(r.Now), rand.New(rand.NewPCG(papers.RandomSeed, 9)), watch)
	return append(berths, process.ComponentSlot{Name: hollow.AgentName, Component: hand, TickInterval: hollow.AgentTickInterval})
}

func (r *hollowRun) tap(from, to *Host, body any) {
	if !r.isOn {
		return
	}
	message, isMessage := body.(proto.Message)
	if !isMessage {
		return
	}
	size := float64(proto.Size(message))
	role := r.roleOf(from)
	r.sent[role]++
	r.bytes[role] += size
	r.kinds[string(message.ProtoReflect().Descriptor().Name())] += size
	if to != nil {
		r.got[r.roleOf(to)]++
		r.gotten[r.roleOf(to)] += size
		if r.region[from.Cell] != r.region[to.Cell] {
			r.far += size
		}
	}
}

// untilReady lets everything come up: a ward for each worker, a leader for each
// queue; at most two minutes.
func (r *hollowRun) untilReady() eventloop.Micros {
	from := r.Now
	for r.Now < from+120*eventloop.Second {
		r.Run(r.Now + 500*eventloop.Millisecond)
		leads, wards := 0, 0
		for _, h := range r.Stores() {
			belief := h.Belief()
			if belief == nil {
				continue
			}
			for _, group := range belief.Groups {
				if group.Role == "leader" && group.Group != clusterstate.Group {
					leads++
				}
			}
			warded := 0
			for _, ward := range belief.WorkerLeases {
				if ward.Scheduler != "" {
					warded++
				}
			}
			wards = max(wards, warded)
		}
		if leads >= r.setup.Queues && wards >= r.setup.Workers {
			break
		}
	}
	return r.Now - from
}

// --- load ---

func queueName(k int) string { return fmt.Sprintf("l%03d", k) }

func (r *hollowRun) planRows(change int) []*schema.ConfigurationRow {
	rows := []*schema.ConfigurationRow{{Kind: "fleet", Key: "live_jobs", Value: "1000000"}, {Kind: "fleet", Key: "window", Value: "65536"}}
	for k := 0; k < r.setup.Queues; k++ {
		rows = append(rows, &schema.ConfigurationRow{Kind: "queue", Name: queueName(k), Key: "urgency", Value: "50"})
	}
	for k := len(rows); k < r.setup.Rows; k++ {
		rows = append(rows, &schema.ConfigurationRow{Kind: "rack", Name: fmt.Sprintf("x%04d", k), Key: "weight", Value: "100"})
	}
	return append(rows, &schema.ConfigurationRow{Kind: "fleet", Key: "weight_rack", Value: fmt.Sprint(30 + change%10)})
}

func (r *hollowRun) anyFront() *Host {
	var list []*Host
	for _, h := range r.Fronts() {
		if h.isHere() && h.canServe {
			list = append(list, h)
		}
	}
	if len(list) == 0 {
		return r.Hosts[0]
	}
	return list[r.Rng.IntN(len(list))]
}

// plan puts the plan until it is taken, and changes it at the wanted pace.
func (r *hollowRun) plan(change int) {
	generation := uint64(change)
	sheet := &schema.ConfigurationUpdate{BaseRevision: &generation, Rows: r.planRows(change)}
	sent := r.Now
	r.Ask(r.anyFront(), 3*eventloop.Second, func(request uint64, deadline eventloop.Micros) any {
		return gateway.LeaderRequest{RequestID: request, Kind: "clusterstate", Group: clusterstate.Group, Deadline: deadline, Body: replica.EncodeClusterStateCommand(
			&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: sheet}}})}
	}, func(answer any) {
		reply, _ := answer.(gateway.Response)
		if reply.Code != 200 && reply.Code != 412 {
			r.After(200*eventloop.Millisecond, func() { r.plan(change) })
			return
		}
		r.put[generation+1] = sent
		if r.setup.Changes > 0 {
			r.After(eventloop.Micros(60e6/r.setup.Changes), func() { r.plan(change + 1) })
		}
	})
}

// call hands in jobs at the wanted rate from now on.
func (r *hollowRun) call() {
	if r.setup.Starts <= 0 {
		return
	}
	every := float64(r.setup.Width) / r.setup.Starts * float64(eventloop.Second)
	var next func()
	next = func() {
		r.number++
		name := fmt.Sprintf("h%d", r.number)
		r.handed[name] = r.Now
		r.handInHollow(queueName(r.number%r.setup.Queues), name)
		r.After(eventloop.Micros(r.Rng.ExpFloat64()*every), next)
	}
	next()
}

func (r *hollowRun) handInHollow(queue, name string) {
	job := &schema.Job{Text: fmt.Sprintf("run_us=%d", r.setup.RunUs), Steps: []*schema.Step{
		{Name: "s", Tasks: uint32(r.setup.Width), CoresMilli: 10, MemoryMb: 1, Gang: r.setup.Together},
	}}
	front := r.anyFront()
	r.Ask(front, 3*eventloop.Second, func(request uint64, deadline eventloop.Micros) any {
		return gateway.SubmitJob{RequestID: request, Queue: queue, Client: "c-" + front.Name, Name: name, Digest: gateway.Digest(job), Job: job, Deadline: deadline}
	}, func(answer any) {
		if reply, _ := answer.(gateway.Response); reply.Code != 200 && reply.Code != 201 {
			r.After(200*eventloop.Millisecond, func() { r.handInHollow(queue, name) })
		}
	})
}

func (r *hollowRun) began(h *Host, job string, task uint32) {
	r.begins = append(r.begins, begin{r.Now - r.handed[job]})
	key := fmt.Sprintf("%s/%d", job, task)
	r.where[key] = h
	r.ends[key] = r.Now + eventloop.Micros(r.setup.RunUs)
	if r.lostAt == 0 {
		return
	}
	if r.handed[job] > r.lostAt && r.firstAt == 0 {
		r.firstAt = r.Now
	}
	if r.wanted[key] {
		delete(r.wanted, key)
		r.lastAt = r.Now
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
			Result{role, "sent_s", r.sent[role] / seconds / n}, Result{role, "received_s", r.got[role] / seconds / n},
			Result{role, "bytes_out_s", r.bytes[role] / seconds / n}, Result{role, "bytes_in_s", r.gotten[role] / seconds / n},
		)
	}
	list = append(list, r.processors(seconds)...)
	for kind, bytes := range r.kinds {
		list = append(list, Result{"whole", strings.ToLower(kind) + "_bytes_s", bytes / seconds})
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Role+list[a].What < list[b].Role+list[b].What })
	var took []eventloop.Micros
	for _, each := range r.begins[beginsFrom:] {
		took = append(took, each.took)
	}
	sort.Slice(took, func(a, b int) bool { return took[a] < took[b] })
	list = append(list, Result{"whole", "starts_s", float64(len(took)) / seconds}, Result{"whole", "between_regions_bytes_s", r.far / seconds})
	if len(took) > 0 {
		list = append(list, Result{"whole", "start_p50_ms", float64(took[len(took)/2]) / 1000}, Result{"whole", "start_p99_ms", float64(took[len(took)*99/100]) / 1000})
	}
	return list
}

// inForce is how long the plans put in a span took until the last side had seen
// them; one that a side skipped for a newer one is missed.
func (r *hollowRun) inForce(from, until eventloop.Micros) []Result {
	var list []Result
	plans, slowest, missed := 0, eventloop.Micros(0), 0.0
	for generation, sent := range r.put {
		if sent < from || sent > until {
			continue
		}
		plans++
		if r.seen[generation] < r.setup.Workers {
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

// processors is what the tables of one process of each role spent, in
// thousandths of a core: without the wire and the disk, which aren't there.
func (r *hollowRun) processors(seconds float64) []Result {
	if r.Cpu == nil {
		return nil
	}
	sums, counts := map[[2]string]float64{}, map[string]float64{}
	for _, h := range r.Hosts {
		role := r.roleOf(h)
		counts[role]++
		for table, nanos := range r.spent[h] {
			sums[[2]string{role, table}] += float64(nanos) / 1e6 / seconds
			sums[[2]string{role, "tables"}] += float64(nanos) / 1e6 / seconds
		}
	}
	var list []Result
	for key, sum := range sums {
		list = append(list, Result{key[0], "cpu_" + key[1] + "_milli", sum / counts[key[0]]})
	}
	return list
}

// lose takes away what the setup says and tells how long until a job handed in
// after that runs, and until the last task that ran there runs again.
func (r *hollowRun) lose() []Result {
	leader := r.Leader()
	isLost := func(h *Host) bool { return false }
	switch r.setup.Lose {
	case "node":
		isLost = func(h *Host) bool { return h == leader }
	case "worker":
		isLost = func(h *Host) bool { return h.Name == "side0" }
	case "rack":
		isLost = func(h *Host) bool {
			var k int
			count, _ := fmt.Sscanf(h.Name, "side%d", &k)
			return count == 1 && k/r.setup.PerRack == 0
		}
	case "zone":
		isLost = func(h *Host) bool { return h.Cell == leader.Cell }
	case "region", "link":
		isLost = func(h *Host) bool { return r.region[h.Cell] == r.region[leader.Cell] }
	}
	hit := 0
	for _, h := range r.Hosts {
		if isLost(h) {
			hit++
		}
	}
	r.lostAt = r.Now
	for key, at := range r.where {
		// What a leader's region loses of the other one is lost to it all the same.
		isOut := r.ends[key] > r.Now
		if isOut && isLost(at) && r.setup.Lose != "link" {
			r.wanted[key] = true
		}
	}
	wanted := len(r.wanted)
	if r.setup.Lose == "link" {
		for _, a := range r.Hosts {
			for _, b := range r.Hosts {
				if r.region[a.Cell] != r.region[b.Cell] {
					r.cuts[[2]string{a.Address, b.Address}] = true
				}
			}
		}
		r.reckon()
	} else {
		for _, h := range r.Hosts {
			if isLost(h) {
				h.Kill()
			}
		}
	}
	for r.Now < r.lostAt+40*eventloop.Second && (r.firstAt == 0 || len(r.wanted) > 0) {
		r.Run(r.Now + 500*eventloop.Millisecond)
	}
	list := []Result{{"whole", "lost_processes", float64(hit)}, {"whole", "lost_tasks", float64(wanted)}, {"whole", "not_again", float64(len(r.wanted))}}
	if r.firstAt > 0 {
		list = append(list, Result{"whole", "first_ms", float64(r.firstAt-r.lostAt) / 1000})
	}
	if r.lastAt > 0 {
		list = append(list, Result{"whole", "again_ms", float64(r.lastAt-r.lostAt) / 1000})
	}
	return list
}
