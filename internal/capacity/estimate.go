package capacity

import (
	"bytes"
	_ "embed"
	"math"
)

// defaultCSV holds the measurements that docs/CAPACITY.md is based on.
//
//go:embed slopes.csv
var defaultCSV []byte

// DefaultMeasurements returns the measurements that are embedded in the program.
func DefaultMeasurements() ([]Measurement, error) { return ReadCSV(bytes.NewReader(defaultCSV)) }

// Demand describes the deployment to estimate nodes for.
type Demand struct {
	Workers         int
	Queues          int
	StartsPerSecond float64 // task starts at the peak
	Cores           float64 // of each storage or gateway node
	MemoryMB        float64 // of each storage or gateway node
	Utilization     float64 // planned share of the cores and memory; the rest is headroom for peaks and failures
}

// Validate returns an Invalid error that names the first field out of range, or nil.
func (d Demand) Validate() error {
	switch {
	case d.Workers < 1 || d.Workers > 100_000:
		return Invalid.New("workers: must lie between 1 and 100000")
	case d.Queues < 1 || d.Queues > 10_000:
		return Invalid.New("queues: must lie between 1 and 10000")
	case !(d.StartsPerSecond >= 0 && d.StartsPerSecond <= 100_000):
		return Invalid.New("starts: must lie between 0 and 100000 per second")
	case !(d.Cores > 0 && d.Cores <= 256):
		return Invalid.New("share: must be above 0 and at most 256 cores")
	case !(d.MemoryMB >= 16 && d.MemoryMB <= 1<<20):
		return Invalid.New("memory_mb: must lie between 16 and 1048576")
	case !(d.Utilization > 0 && d.Utilization <= 1):
		return Invalid.New("busy: must be above 0 and at most 1")
	}
	return nil
}

// Estimate holds the number of nodes of a role, and the resources that each of them needs.
type Estimate struct {
	Role           string
	Nodes          int     // number of nodes of the role
	CPUMilli       float64 // thousandths of a core
	MemoryMB       float64
	BytesPerSecond float64 // sent and received
	Extrapolation  float64 // largest value of Fit.Extrapolation over the dimensions; up to 1, the demand lies within the measured range
	Bottleneck     string  // resource that a node of this role has too little of: processor, memory or bytes; empty: none
}

// Names of the roles, dimensions and metrics that the model reads from measurements.
const (
	leaderRole  = "leader"
	gatewayRole = "front"
	agentRole   = "side"

	workersDimension = "workers"
	queuesDimension  = "queues"
	startsDimension  = "starts"
	// baseDimension marks measurements that belong to no sweep. Their role is the name of
	// one of the model's parameters, and their amount is its value.
	baseDimension = "base"

	cpuMetric          = "cpu_milli"
	componentCPUMetric = "cpu_tables_milli"
)

// seriesKey identifies a series and the curve fitted to it.
type seriesKey struct{ dimension, role, metric string }

// model estimates metrics by adding up the contributions of the dimensions. A sweep
// varies one dimension and keeps each other one at a fixed level, which is the base of
// that dimension. A dimension contributes the difference between its curve at the
// demanded level and at its base.
type model struct {
	fits map[seriesKey]Fit
	base map[string]float64 // parameters of the model by name, among them each dimension's base
}

// newModel fits all series. It returns an Invalid error when a dimension has no base or
// no sweep.
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
			return nil, Invalid.New("slopes: the measurements have no base level for the dimension %s", dimension)
		}
		if _, found := m.fits[seriesKey{dimension, leaderRole, cpuMetric}]; !found {
			return nil, Invalid.New("slopes: the measurements have no sweep over the dimension %s", dimension)
		}
	}
	return m, nil
}

// workerCPU returns the processor time, in thousandths of a core, that a role spends at
// the demanded number of workers, with the other dimensions at their base. If the steps
// of the role's components were timed separately, which shows a quadratic part of their
// cost, it is the time of the steps and the messages, and a fixed part. Otherwise it is
// the processor time of the whole process in the real runs.
func (m *model) workerCPU(role string, d Demand) float64 {
	workers := float64(d.Workers)
	fitOf := func(metric string) (Fit, bool) {
		fit, found := m.fits[seriesKey{workersDimension, role, metric}]
		return fit, found
	}
	components, isTimed := fitOf(componentCPUMetric)
	if !isTimed {
		process, _ := fitOf(cpuMetric)
		return process.At(workers)
	}
	sent, _ := fitOf("sent_s")
	received, _ := fitOf("received_s")
	return m.base["ground_milli"] + components.At(workers) + m.base["message_us"]/1000*(sent.At(workers)+received.At(workers))
}

// estimate returns the value of a metric of a role. The sweep over workers gives the
// value at the base of the other dimensions, and the sweeps over these give the
// amounts to add. The only interaction between dimensions that was measured is the one
// between workers and task starts at a leader.
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

// beyondBase returns the amount that a dimension at a level adds to a metric, compared
// with its base.
func (m *model) beyondBase(dimension, role, metric string, level float64) float64 {
	fit, found := m.fits[seriesKey{dimension, role, metric}]
	if !found {
		return 0
	}
	return fit.At(level) - fit.At(m.base[dimension])
}

// extrapolation returns the largest value of Fit.Extrapolation over the dimensions.
func (m *model) extrapolation(d Demand) float64 {
	largest := 0.0
	for dimension, level := range map[string]float64{workersDimension: float64(d.Workers), queuesDimension: float64(d.Queues), startsDimension: d.StartsPerSecond} {
		fit := m.fits[seriesKey{dimension, leaderRole, cpuMetric}]
		largest = max(largest, fit.Extrapolation(level))
	}
	return largest
}

// Limits on the resources that the control software may use on an agent node, as the
// users require.
const (
	agentCPUMilli       = 44
	agentMemoryMB       = 64
	agentBytesPerSecond = 2000
)

const (
	storageNodeCount = 3
	minGateways      = 2 // the deployment tolerates the failure of one
)

// EstimateNodes estimates how many nodes of each role a deployment needs, and the
// resources of each node. Its errors are of the type Invalid; the message names the
// field of the demand, or the part of the measurements that is missing.
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
	// Any storage node may become the leader, so each needs the leader's capacity.
	storage := newEstimate(leaderRole, storageNodeCount)
	storage.Role, storage.Bottleneck = "store", bottleneck(storage, limit)
	gateway := newEstimate(gatewayRole, 0)
	// The total load of the gateway nodes is spread over as many nodes as it requires.
	total := gateway.CPUMilli * m.base["fronts"]
	gateway.Nodes = max(minGateways, int(math.Ceil(total/limit.CPUMilli)))
	gateway.CPUMilli = total / float64(gateway.Nodes)
	gateway.Bottleneck = bottleneck(gateway, limit)
	agent := newEstimate(agentRole, d.Workers)
	agent.Bottleneck = bottleneck(agent, Estimate{CPUMilli: agentCPUMilli, MemoryMB: agentMemoryMB, BytesPerSecond: agentBytesPerSecond})
	return []Estimate{storage, gateway, agent}, nil
}

// bottleneck returns the first resource for which an estimate exceeds the limit: processor,
// memory or bytes. It returns an empty string when there is none.
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
