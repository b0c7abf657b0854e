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
	*World
	Size     Size
	Workers  []Hand
	sides    []*Host
	lean     []*Host // fronts without a disk
	Began    eventloop.Micros
	Over     eventloop.Micros
	Again    eventloop.Micros // until the last task of a lost worker was begun elsewhere
	struck   eventloop.Micros
	lost     string // worker that was then
	slow     *Host  // whose disk was slowed
	warned   []eventloop.Micros
	groups   []string
	later    []string
	refusals []eventloop.Micros // when disks began to refuse
	wrong    []string           // seen meanwhile
}

func step(name string, tasks uint32, cores int64, after ...string) *schema.Step {
	return &schema.Step{Name: name, Tasks: tasks, CoresMilli: cores, MemoryMb: 256, Dependencies: after, AllowedFailures: 3}
}

// Kinds are the load: urgent and slow work, steps, groups, timed jobs, tasks
// that fail, and jobs that are cancelled.
func Kinds() []Kind {
	together := step("gang", 4, 1000)
	together.Gang = true
	limited := step("work", 3, 500)
	limited.AllowedFailures = 2
	limited.TimeLimitUs, limited.StallTimeoutUs = int64(4*eventloop.Second), int64(eventloop.Second)
	due := step("due", 1, 500)
	due.StallTimeoutUs = int64(eventloop.Second)
	return []Kind{
		{Queue: "quick", Every: 250 * eventloop.Millisecond, Job: &schema.Job{Text: "run_us=30000", Steps: []*schema.Step{step("rates", 3, 500), step("sum", 1, 500, "rates")}}},
		{Queue: "slow", Every: 2 * eventloop.Second, Cancel: 0.2, Job: &schema.Job{Text: "run_us=700000", Steps: []*schema.Step{step("load", 4, 2000), step("rows", 10, 2000, "load"), step("pack", 1, 1000, "rows")}}},
		{Queue: "group", Every: eventloop.Second, Job: &schema.Job{Text: "run_us=200000 fail=0.05", Steps: []*schema.Step{together, step("after", 1, 500, "gang")}}},
		{Name: "due", Queue: "timed", Every: 4 * eventloop.Second, Wall: 2 * eventloop.Second, Job: &schema.Job{Text: "run_us=20000", Steps: []*schema.Step{due}}},
		{Queue: "timed", Every: 700 * eventloop.Millisecond, Cancel: 0.2, Job: &schema.Job{Text: "run_us=20000 fail=0.2", DelayUs: int64(1500 * eventloop.Millisecond), Steps: []*schema.Step{limited}}},
	}
}

// Rows is the table of the load's queues.
func Rows(urgency int) []*schema.ConfigurationRow {
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

// Size is how large a simulated fleet is, and what its callers do.
type Size struct {
	Name          string
	Fronts, Sides int
	Workers       int
	PerRack       int
	Cores, Memory int64
	Sync          eventloop.Micros // 0: the scenario's
	Weak, Side    float64          // processors' shares; 0: steps cost nothing
	Kinds         []Kind
	Rows          func(urgency int) []*schema.ConfigurationRow
	Bounds        *schema.Bounds // of a fleet whose workers are called; nil: they ask
}

// Small is large enough for every fault and rule.
var Small = Size{
	Name: "small", Fronts: 5, Sides: 3, Workers: 5, PerRack: 2, Cores: 8000, Memory: 16000, Kinds: Kinds(), Rows: Rows,
}

// Whole is a deployment as it stands, with its own callers; the kinds that
// touch the other rules come more seldom.
func Whole(d *deployments.Deployment) Size {
	size := Size{
		Name: d.Name, Fronts: d.Gateways, Sides: d.Agents, Workers: d.Workers, PerRack: 3, Cores: d.Cores, Memory: d.Memory,
		Sync: eventloop.Micros(d.SyncUs), Weak: d.GatewayCores, Side: d.AgentCores,
	}
	for _, k := range d.JobTypes {
		size.Kinds = append(size.Kinds, Kind{
			Name: k.Name, Queue: k.Queue, Every: eventloop.Micros(k.MeanInterval * float64(eventloop.Second)), Job: &schema.Job{Text: k.Text, Steps: k.Steps},
		})
	}
	for _, k := range Kinds() {
		k.Every *= 4
		size.Kinds = append(size.Kinds, k)
	}
	size.Rows = func(urgency int) []*schema.ConfigurationRow { return append(d.ConfigRows(), Rows(urgency)...) }
	return size
}

// Sizes are what can be run.
func Sizes() []Size {
	sizes := []Size{Small}
	for _, d := range deployments.All {
		sizes = append(sizes, Whole(d))
	}
	sizes = append(sizes, SmallCalled)
	for _, d := range deployments.All {
		sizes = append(sizes, WholeCalled(d))
	}
	return sizes
}

// NewFleet brings a fleet up and starts its load; Began is when it does.
func NewFleet(seed uint64, size Size, net Net, sync, span eventloop.Micros) *Fleet {
	f := &Fleet{World: NewWorld(seed, net, cmp.Or(size.Sync, sync)), Size: size}
	cell := func(k int) string { return fmt.Sprintf("c%d", k%3+1) }
	for k := 0; k < size.Fronts; k++ {
		h := f.AddHost(fmt.Sprintf("server%d", k+1), cell(k), schema.Role_ROLE_SERVER, k < 3)
		if h.Share = size.Weak; k < 3 {
			h.Share = 1
		} else {
			f.lean = append(f.lean, h)
		}
		if size.Weak == 0 {
			h.Share = 0
		}
	}
	for k := 0; k < size.Sides; k++ {
		h := f.AddHost(fmt.Sprintf("controller%d", k+1), cell(k), schema.Role_ROLE_CONTROLLER, false)
		h.Share = size.Side
		f.sides = append(f.sides, h)
	}
	if size.Bounds != nil {
		f.addCalled()
	}
	for _, h := range f.Hosts {
		f.After(eventloop.Micros(f.Rng.Int64N(int64(300*eventloop.Millisecond))), h.Start)
	}
	f.After(500*eventloop.Millisecond, func() { f.Put("operator", f.Rows(60)) })
	f.After(eventloop.Second, func() {
		for k := 0; k < size.Workers && size.Bounds == nil; k++ {
			rack := k / size.PerRack
			f.Workers = append(f.Workers, f.AddWorker(fmt.Sprintf("w%d", k), fmt.Sprintf("r%d", rack), cell(rack), size.Cores, size.Memory))
		}
	})
	f.Began = f.Now + 7*eventloop.Second
	f.Over = f.Began + span
	f.At(f.Began, func() {
		f.Tell(checker.Event{Kind: checker.Clock, WallTime: wallZero + int64(f.Now)})
		f.Lists("quick", 5*eventloop.Second, f.Over)
		for _, kind := range size.Kinds {
			f.Load(kind, f.Over)
		}
		f.Read(500*eventloop.Millisecond, f.Over+20*eventloop.Second)
	})
	return f
}

// Rows is the table of this fleet.
func (f *Fleet) Rows(urgency int) []*schema.ConfigurationRow { return f.Size.Rows(urgency) }

// Finish runs the load to its end, lets everything drain, and judges.
func (f *Fleet) Finish() []checker.Violation {
	f.Run(f.Over + 40*eventloop.Second)
	// A rush may leave more than that can be worked off; what is stuck is so still
	// after this.
	for k := 0; k < 15 && f.sample().Live > 0; k++ {
		f.Run(f.Now + 20*eventloop.Second)
	}
	// Whoever waits for the last of them asks once more.
	f.Run(f.Now + 3*eventloop.Second)
	f.Tell(checker.Event{Kind: checker.Close})
	if f.Size.Bounds != nil {
		return checker.Check(f.History, checker.CalledWorkerBounds)
	}
	return checker.Check(f.History, checker.DefaultBounds)
}

// Bytes is the history as it would be written.
func (w *World) Bytes() []byte {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	for _, e := range w.History {
		if err := encoder.Encode(e); err != nil {
			panic(err)
		}
	}
	return out.Bytes()
}
