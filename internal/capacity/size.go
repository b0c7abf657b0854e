package capacity

import (
	"bytes"
	_ "embed"
	"math"
)

// defaultCSV are the readings that docs/CAPACITY.md is worked out from.
//
//go:embed slopes.csv
var defaultCSV []byte

// DefaultMeasurements reads the product's own measured slopes.
func DefaultMeasurements() ([]Measurement, error) { return ReadCSV(bytes.NewReader(defaultCSV)) }

// Demand is the deployment that is asked for.
type Demand struct {
	Workers         int
	Queues          int
	StartsPerSecond float64 // task starts a second at the peak
	Cores           float64 // of a core that a front or a store may give
	MemoryMB        float64 // MB of such a machine
	Utilization     float64 // how much of that is planned with; the rest is for peaks and losses
}

// Check names the first field that can't be taken.
func (w Demand) Check() error {
	switch {
	case w.Workers < 1 || w.Workers > 100_000:
		return Invalid.New("workers: must lie between 1 and 100000")
	case w.Queues < 1 || w.Queues > 10_000:
		return Invalid.New("queues: must lie between 1 and 10000")
	case !(w.StartsPerSecond >= 0 && w.StartsPerSecond <= 100_000):
		return Invalid.New("starts: must lie between 0 and 100000 a second")
	case !(w.Cores > 0 && w.Cores <= 256):
		return Invalid.New("share: must be above 0, and at most 256 cores")
	case !(w.MemoryMB >= 16 && w.MemoryMB <= 1<<20):
		return Invalid.New("memory_mb: must lie between 16 and 1048576")
	case !(w.Utilization > 0 && w.Utilization <= 1):
		return Invalid.New("busy: must be above 0, and at most 1")
	}
	return nil
}

// Estimate is what a role needs. Amounts are of one machine.
type Estimate struct {
	Role           string
	Machines       int
	CPUMilli       float64 // thousandths of a core
	MemoryMB       float64 // MB
	BytesPerSecond float64 // a second, out and in
	Extrapolation  float64 // the farthest of the sizes beyond what was measured: 1 and less is measured
	Bottleneck     string  // what one machine of this role can't give; empty: nothing
}

// model adds up what one size costs over what the others' sweeps stood at.
type model struct {
	fits map[[3]string]Fit
	base map[string]float64
}

func newModel(readings []Measurement) (*model, error) {
	m := &model{fits: map[[3]string]Fit{}, base: map[string]float64{}}
	for _, fit := range FitAll(readings) {
		m.fits[[3]string{fit.Dimension, fit.Role, fit.Metric}] = fit
	}
	for _, r := range readings {
		if r.Dimension == "base" {
			m.base[r.Role] = r.Amount
		}
	}
	for _, size := range []string{"workers", "queues", "starts"} {
		if m.base[size] == 0 {
			return nil, Invalid.New("slopes: no base for %s", size)
		}
		if _, found := m.fits[[3]string{size, "leader", "cpu_milli"}]; !found {
			return nil, Invalid.New("slopes: no sweep over %s", size)
		}
	}
	return m, nil
}

// workerCPU is what a role spends for its workers: its tables' steps where those
// were timed by themselves, which shows their square, and what its messages cost
// besides; else what the real runs show.
func (m *model) workerCPU(role string, w Demand) float64 {
	workers := float64(w.Workers)
	fitOf := func(what string) (Fit, bool) {
		fit, found := m.fits[[3]string{"workers", role, what}]
		return fit, found
	}
	tables, timed := fitOf("cpu_tables_milli")
	if !timed {
		whole, _ := fitOf("cpu_milli")
		return whole.At(workers)
	}
	sent, _ := fitOf("sent_s")
	received, _ := fitOf("received_s")
	return m.base["ground_milli"] + tables.At(workers) + m.base["message_us"]/1000*(sent.At(workers)+received.At(workers))
}

// estimate is a quantity of a role: the sweep over workers gives the ground, the other
// two what they add to it. What workers and starts cost a leader together beyond
// that was measured once, at the whole size; of other pairs it isn't known.
func (m *model) estimate(role, what string, w Demand) float64 {
	sum := 0.0
	for _, each := range []struct {
		size  string
		value float64
	}{{"workers", float64(w.Workers)}, {"queues", float64(w.Queues)}, {"starts", w.StartsPerSecond}} {
		fit, found := m.fits[[3]string{each.size, role, what}]
		if each.size == "workers" && what == "cpu_milli" {
			sum += m.workerCPU(role, w)
			continue
		}
		if !found {
			continue
		}
		sum += fit.At(each.value)
		if each.size != "workers" {
			sum -= fit.At(m.base[each.size])
		}
	}
	if role == "leader" && what == "cpu_milli" {
		sum += m.base["together_milli"] * max(float64(w.Workers)-m.base["workers"], 0) * max(w.StartsPerSecond-m.base["starts"], 0)
	}
	return max(sum, 0)
}

func (m *model) extrapolation(w Demand) float64 {
	largest := 0.0
	for size, value := range map[string]float64{"workers": float64(w.Workers), "queues": float64(w.Queues), "starts": w.StartsPerSecond} {
		fit := m.fits[[3]string{size, "leader", "cpu_milli"}]
		largest = max(largest, fit.Extrapolation(value))
	}
	return largest
}

// What a side machine may spend on control, by the users' letter.
const (
	agentCPUMilli       = 44
	agentMemoryMB       = 64
	agentBytesPerSecond = 2000
)

const (
	storageNodeCount = 3
	minGateways      = 2 // one may be lost
)

// Dimension works out what a deployment needs. Errors are Bad and name the field.
func EstimateNodes(readings []Measurement, w Demand) ([]Estimate, error) {
	if err := w.Check(); err != nil {
		return nil, err
	}
	m, err := newModel(readings)
	if err != nil {
		return nil, err
	}
	newEstimate := func(role string, machines int) Estimate {
		return Estimate{
			Role: role, Machines: machines, CPUMilli: m.estimate(role, "cpu_milli", w), MemoryMB: m.estimate(role, "rss_mb", w),
			BytesPerSecond: m.estimate(role, "bytes_out_s", w) + m.estimate(role, "bytes_in_s", w), Extrapolation: m.extrapolation(w),
		}
	}
	limit := Estimate{CPUMilli: w.Cores * 1000 * w.Utilization, MemoryMB: w.MemoryMB * w.Utilization, BytesPerSecond: math.Inf(1)}
	// Any store may lead, so each must have the leader's room.
	leader := newEstimate("leader", storageNodeCount)
	leader.Role, leader.Bottleneck = "store", bottleneck(leader, limit)
	gateway := newEstimate("front", 0)
	// All the fronts' work, over as many as it takes.
	total := gateway.CPUMilli * m.base["fronts"]
	gateway.Machines = max(minGateways, int(math.Ceil(total/limit.CPUMilli)))
	gateway.CPUMilli = total / float64(gateway.Machines)
	gateway.Bottleneck = bottleneck(gateway, limit)
	agent := newEstimate("side", w.Workers)
	agent.Bottleneck = bottleneck(agent, Estimate{CPUMilli: agentCPUMilli, MemoryMB: agentMemoryMB, BytesPerSecond: agentBytesPerSecond})
	return []Estimate{leader, gateway, agent}, nil
}

func bottleneck(n, limit Estimate) string {
	switch {
	case n.CPUMilli > limit.CPUMilli:
		return "processor"
	case n.MemoryMB > limit.MemoryMB:
		return "memory"
	case n.BytesPerSecond > limit.BytesPerSecond:
		return "bytes"
	}
	return ""
}
