package capacity

import (
	"math"

	"gonum.org/v1/gonum/mat"
)

// Cost is the processor time in microseconds that transport and storage cost a
// process, besides the steps of its components.
type Cost struct {
	Baseline      float64 // a second, idle
	Message       float64 // each, sent or received
	Byte          float64 // each, out or in
	Sync          float64 // each
	StandardError float64 // of a measurement around the model, microseconds a second
	Samples       int
}

// minCostSamples is how many pairs of real and simulated means EstimateCost needs.
const minCostSamples = 8

// point is one role at one level of a dimension.
type point struct {
	dimension, role string
	level           float64
}

// meanMetrics are the means over the repeats, by point and metric.
func meanMetrics(measurements []Measurement) map[point]map[string]float64 {
	sums, counts := map[point]map[string]float64{}, map[point]map[string]float64{}
	for _, m := range measurements {
		at := point{m.Dimension, m.Role, m.Level}
		if sums[at] == nil {
			sums[at], counts[at] = map[string]float64{}, map[string]float64{}
		}
		sums[at][m.Metric] += m.Amount
		counts[at][m.Metric]++
	}
	for at := range sums {
		for metric := range sums[at] {
			sums[at][metric] /= counts[at][metric]
		}
	}
	return sums
}

// EstimateCost compares real runs with simulated ones at the same levels. What a
// process spent beyond its components' steps is attributed to its messages, bytes and
// syncs by least squares. It returns an Invalid error when too few real measurements
// have simulated counterparts.
func EstimateCost(real, simulated []Measurement) (Cost, error) {
	realMeans, simulatedMeans := meanMetrics(real), meanMetrics(simulated)
	var rows, spent []float64
	for at, metrics := range realMeans {
		// A gateway's HTTP is neither a component's step nor transport.
		components, found := simulatedMeans[at][componentCPUMetric]
		if !found || at.role == gatewayRole {
			continue
		}
		rows = append(rows, 1, metrics["sent_s"]+metrics["received_s"], metrics["bytes_out_s"]+metrics["bytes_in_s"], metrics["syncs_s"])
		spent = append(spent, (metrics[cpuMetric]-components)*1000)
	}
	if len(spent) < minCostSamples {
		return Cost{}, Invalid.New("real and simulated: only %d points are in both, %d are needed", len(spent), minCostSamples)
	}
	const unknowns = 4
	a := mat.NewDense(len(spent), unknowns, rows)
	var solution, predicted mat.VecDense
	if err := solution.SolveVec(a, mat.NewVecDense(len(spent), spent)); err != nil {
		return Cost{}, Invalid.Wrap(err, "real and simulated")
	}
	predicted.MulVec(a, &solution)
	residual := 0.0
	for k, y := range spent {
		residual += (y - predicted.AtVec(k)) * (y - predicted.AtVec(k))
	}
	return Cost{
		Baseline: solution.AtVec(0), Message: solution.AtVec(1), Byte: solution.AtVec(2), Sync: solution.AtVec(3),
		StandardError: math.Sqrt(residual / float64(len(spent)-unknowns)), Samples: len(spent),
	}, nil
}
