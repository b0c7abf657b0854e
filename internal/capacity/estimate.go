package capacity

import (
	"bytes"
	_ "embed"
	"math"
)

// defaultCSV are the measurements behind docs/CAPACITY.md.
//
//go:embed slopes.csv
var defaultCSV []byte

// DefaultMeasurements are those that come with the program.
func DefaultMeasurements() ([]Measurement, error) { return ReadCSV(bytes.NewReader(defaultCSV)) }

// Demand is the deployment that an estimate is asked for.
type Demand struct {
	Workers         int
	Queues          int
	StartsPerSecond float64 // task starts at the peak
	Cores           float64 // of a storage or gateway node
	MemoryMB        float64 // of such a node
	Utilization     float64 // planned share of both; the rest is headroom for peaks and failures
}

// Validate returns an Invalid error that names the first field out of range.
func (d Demand) Validate() error {
	switch {
	case d.Workers < 1 || d.Workers > 100_000:
		return Invalid.New("workers: must lie between 1 and 100000")
	case d.Queues < 1 || d.Queues > 10_000:
		return Invalid.New("queues: must lie between 1 and 10000")
	case !(d.StartsPerSecond >= 0 && d.StartsPerSecond <= 100_000):
		return Invalid.New("starts: must lie between 0 and 100000 a second")
	case !(d.Cores > 0 && d.Cores <= 256):
		return Invalid.New("share: must be above 0, and at most 256 cores")
	case !(d.MemoryMB >= 16 && d.MemoryMB <= 1<<20):
		return Invalid.New("memory_mb: must lie between 16 and 1048576")
	case !(d.Utilization > 0 && d.Utilization <= 1):
		return Invalid.New("busy: must be above 0, and at most 1")
	}
	return nil
}

// Estimate is what one node of a role needs.
type Estimate struct {
	Role           string
	Nodes          int     // nodes of the role
	CPUMilli       float64 // thousandths of a core
	MemoryMB       float64
	BytesPerSecond float64 // out and in
	Extrapolation  float64 // largest of the dimensions'; up to 1 the demand lies within what was measured
	Bottleneck     string  // what a node of this role lacks: processor, memory or bytes; empty: nothing
}

// Roles, dimensions and metrics of measurements that the model uses.
const (
	leaderRole  = "leader"
	gatewayRole = "front"
	agentRole   = "side"

	workersDimension = "workers"
	queuesDimension  = "queues"
	startsDimension  = "starts"
	// baseDimension has no sweep: a measurement's role names one of the model's parameters.
	baseDimension = "base"

	cpuMetric          = "cpu_milli"
	componentCPUMetric = "cpu_tables_milli"
)

// seriesKey names a series, and the curve fitted to it.
type seriesKey struct{ dimension, role, metric string }

// model adds up what each dimension costs beyond the level at which the sweeps over
// the other dimensions were run, its base.
type model struct {
	fits map[seriesKey]Fit
	base map[string]float64
}

func newModel(measurements []Measurement) (*model, error) {
	m := &model{fits: map[seriesKey]Fit{}, base: map[string]float64{}}
	for _, fit := range FitAll(measurements) {
		m.fits[seriesKey{fit.Dimension, fit.Role, fit.Metric}] = fit
	}
	for _, measurement := range measurements {
		if measurement.Dimension == baseDimension {
			m.base[measurement.Role] = measurement.Amount
		}
	}
	for _, dimension := range []string{workersDimension, queuesDimension, startsDimension} {
		if m.base[dimension] == 0 {
			return nil, Invalid.New("slopes: no base for %s", dimension)
		}
		if _, found := m.fits[seriesKey{dimension, leaderRole, cpuMetric}]; !found {
			return nil, Invalid.New("slopes: no sweep over %s", dimension)
		}
	}
	return m, nil
}

// workerCPU is the processor time that a role spends for its workers. Where the steps
// of its components were timed by themselves, which shows their quadratic part, it is
// theirs and that of the messages; else it is what the real runs show.
func (m *model) workerCPU(role string, d Demand) float64 {
	workers := float64(d.Workers)
	fitOf := func(metric string) (Fit, bool) {
		fit, found := m.fits[seriesKey{workersDimension, role, metric}]
		return fit, found
	}
	components, timed := fitOf(componentCPUMetric)
	if !timed {
		process, _ := fitOf(cpuMetric)
		return process.At(workers)
	}
	sent, _ := fitOf("sent_s")
	received, _ := fitOf("received_s")
	return m.base["ground_milli"] + components.At(workers) + m.base["message_us"]/1000*(sent.At(workers)+received.At(workers))
}

// estimate is a metric of a role. The sweep over workers gives its value at the base
// of the other dimensions, and their sweeps what they add to it. Of interactions
// only that of workers and starts at a leader was measured.
func (m *model) estimate(role, metric string, d Demand) float64 {
	sum := 0.0
	if metric == cpuMetric {
		sum = m.workerCPU(role, d)
	} else if fit, found := m.fits[seriesKey{workersDimension, role, metric}]; found {
		sum = fit.At(float64(d.Workers))
	}
	sum += m.beyondBase(queuesDimension, role, metric, float64(d.Queues))
	sum += m.beyondBase(startsDimension, role, metric, d.StartsPerSecond)
	if role == leaderRole && metric == cpuMetric {
		sum += m.base["together_milli"] * max(float64(d.Workers)-m.base[workersDimension], 0) * max(d.StartsPerSecond-m.base[startsDimension], 0)
	}
	return max(sum, 0)
}

// beyondBase is what a dimension adds over its base.
func (m *model) beyondBase(dimension, role, metric string, level float64) float64 {
	fit, found := m.fits[seriesKey{dimension, role, metric}]
	if !found {
		return 0
	}
	return fit.At(level) - fit.At(m.base[dimension])
}

// extrapolation is the largest of the dimensions'.
func (m *model) extrapolation(d Demand) float64 {
	largest := 0.0
	for dimension, level := range map[string]float64{workersDimension: float64(d.Workers), queuesDimension: float64(d.Queues), startsDimension: d.StartsPerSecond} {
		fit := m.fits[seriesKey{dimension, leaderRole, cpuMetric}]
		largest = max(largest, fit.Extrapolation(level))
	}
	return largest
}

// What an agent node may spend on control: the users' requirement.
const (
	agentCPUMilli       = 44
	agentMemoryMB       = 64
	agentBytesPerSecond = 2000
)

const (
	storageNodeCount = 3
	minGateways      = 2 // one may fail
)

// EstimateNodes estimates the nodes of each role that a deployment needs. Errors are
// Invalid and name the field.
func EstimateNodes(measurements []Measurement, d Demand) ([]Estimate, error) {
	if err := d.Validate(); err != nil {
		return nil, err
	}
	m, err := newModel(measurements)
	if err != nil {
		return nil, err
	}
	newEstimate := func(role string, nodes int) Estimate {
		return Estimate{
			Role: role, Nodes: nodes, CPUMilli: m.estimate(role, cpuMetric, d), MemoryMB: m.estimate(role, "rss_mb", d),
			BytesPerSecond: m.estimate(role, "bytes_out_s", d) + m.estimate(role, "bytes_in_s", d), Extrapolation: m.extrapolation(d),
		}
	}
	limit := Estimate{CPUMilli: d.Cores * 1000 * d.Utilization, MemoryMB: d.MemoryMB * d.Utilization, BytesPerSecond: math.Inf(1)}
	// Any storage node may lead, so each needs the leader's capacity.
	storage := newEstimate(leaderRole, storageNodeCount)
	storage.Role, storage.Bottleneck = "store", bottleneck(storage, limit)
	gateway := newEstimate(gatewayRole, 0)
	// The work of all gateway nodes is spread over as many as it takes.
	total := gateway.CPUMilli * m.base["fronts"]
	gateway.Nodes = max(minGateways, int(math.Ceil(total/limit.CPUMilli)))
	gateway.CPUMilli = total / float64(gateway.Nodes)
	gateway.Bottleneck = bottleneck(gateway, limit)
	agent := newEstimate(agentRole, d.Workers)
	agent.Bottleneck = bottleneck(agent, Estimate{CPUMilli: agentCPUMilli, MemoryMB: agentMemoryMB, BytesPerSecond: agentBytesPerSecond})
	return []Estimate{storage, gateway, agent}, nil
}

// bottleneck is the first resource of which an estimate exceeds the limit.
func bottleneck(estimate, limit Estimate) string {
	switch {
	case estimate.CPUMilli > limit.CPUMilli:
		return "processor"
	case estimate.MemoryMB > limit.MemoryMB:
		return "memory"
	case estimate.BytesPerSecond > limit.BytesPerSecond:
		return "bytes"
	}
	return ""
}
