package sim

import (
	"bytes"
	"encoding/json"
	"fmt"

	"sparnotch/check"
	"sparnotch/loop"
	"sparnotch/schema"
)

// Fleet is a deployment in small, with a load that touches every rule.
type Fleet struct {
	*World
	Workers []*Worker
	Began   loop.Micros
	Over    loop.Micros
	slow    *Host // whose disk was slowed
	warned  []loop.Micros
	groups  []string
	later   []string
}

func step(name string, tasks uint32, cores int64, after ...string) *schema.Step {
	return &schema.Step{Name: name, Tasks: tasks, CoresMilli: cores, MemoryMb: 256, After: after, AllowedFailures: 3}
}

// Kinds are the load: urgent and slow work, steps, groups, timed jobs, tasks
// that fail, and jobs that are cancelled.
func Kinds() []Kind {
	together := step("gang", 4, 1000)
	together.Together = true
	limited := step("work", 3, 500)
	limited.AllowedFailures = 2
	limited.TimeLimitUs, limited.StillUs = int64(4*loop.Second), int64(loop.Second)
	due := step("due", 1, 500)
	due.StillUs = int64(loop.Second)
	return []Kind{
		{Lane: "quick", Every: 250 * loop.Milli, Job: &schema.Job{Text: "run_us=30000", Steps: []*schema.Step{step("rates", 3, 500), step("sum", 1, 500, "rates")}}},
		{Lane: "slow", Every: 2 * loop.Second, Cancel: 0.2, Job: &schema.Job{Text: "run_us=700000", Steps: []*schema.Step{step("load", 4, 2000), step("rows", 10, 2000, "load"), step("pack", 1, 1000, "rows")}}},
		{Lane: "group", Every: loop.Second, Job: &schema.Job{Text: "run_us=200000 fail=0.05", Steps: []*schema.Step{together, step("after", 1, 500, "gang")}}},
		{Name: "due", Lane: "timed", Every: 4 * loop.Second, Wall: 2 * loop.Second, Job: &schema.Job{Text: "run_us=20000", Steps: []*schema.Step{due}}},
		{Lane: "timed", Every: 700 * loop.Milli, Cancel: 0.2, Job: &schema.Job{Text: "run_us=20000 fail=0.2", DelayUs: int64(1500 * loop.Milli), Steps: []*schema.Step{limited}}},
	}
}

// Rows is the table of the load's lanes.
func Rows(urgency int) []*schema.Row {
	return []*schema.Row{
		{Kind: "lane", Name: "quick", Key: "urgency", Value: fmt.Sprint(urgency)},
		{Kind: "lane", Name: "slow", Key: "urgency", Value: "10"},
		{Kind: "lane", Name: "group", Key: "urgency", Value: "30"},
		{Kind: "lane", Name: "timed", Key: "urgency", Value: "40"},
		{Kind: "fleet", Key: "cache_every", Value: "16"},
		{Kind: "lane", Name: "quick", Key: "still_ms", Value: "1000"},
		{Kind: "lane", Name: "slow", Key: "still_ms", Value: "2000"},
		{Kind: "lane", Name: "group", Key: "still_ms", Value: "2000"},
	}
}

// NewFleet brings a fleet up and starts its load; Began is when it does.
func NewFleet(seed uint64, net Net, sync, span loop.Micros) *Fleet {
	f := &Fleet{World: NewWorld(seed, net, sync)}
	for k := 0; k < 3; k++ {
		f.AddHost(fmt.Sprintf("keep%d", k+1), fmt.Sprintf("c%d", k+1), schema.Role_ROLE_KEEP, true)
	}
	for k := 3; k < 5; k++ {
		f.AddHost(fmt.Sprintf("keep%d", k+1), fmt.Sprintf("c%d", k-2), schema.Role_ROLE_KEEP, false)
	}
	for k := 0; k < 3; k++ {
		f.AddHost(fmt.Sprintf("heed%d", k+1), fmt.Sprintf("c%d", k+1), schema.Role_ROLE_HEED, false)
	}
	for _, h := range f.Hosts {
		f.After(loop.Micros(f.Rng.Int64N(int64(300*loop.Milli))), h.Start)
	}
	f.After(500*loop.Milli, func() { f.Put("operator", Rows(60)) })
	f.After(loop.Second, func() {
		for k := 0; k < 5; k++ {
			f.Workers = append(f.Workers, f.AddWorker(fmt.Sprintf("w%d", k), fmt.Sprintf("r%d", k/2), fmt.Sprintf("c%d", k/2+1), 8000, 16000))
		}
	})
	f.Began = f.Now + 7*loop.Second
	f.Over = f.Began + span
	f.At(f.Began, func() {
		f.Tell(check.Event{Kind: check.Clock, Wall: wallZero + int64(f.Now)})
		f.Lists("quick", 5*loop.Second, f.Over)
		for _, kind := range Kinds() {
			f.Load(kind, f.Over)
		}
		f.Read(500*loop.Milli, f.Over+20*loop.Second)
	})
	return f
}

// Finish runs the load to its end, lets everything drain, and judges.
func (f *Fleet) Finish() []check.Breach {
	f.Run(f.Over + 40*loop.Second)
	f.Tell(check.Event{Kind: check.Close})
	return check.Judge(f.History, check.Usual)
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
