package capacity

import (
	"math"

	"gonum.org/v1/gonum/mat"
)

// Cost holds the processor time, in microseconds, that a process spends on transport
// and storage, without the steps of its components.
type Cost struct {
	Baseline      float64 // per second, when the process is idle
	Message       float64 // per message, sent or received
	Byte          float64 // per byte, sent or received
	Sync          float64 // per sync of a file
	StandardError float64 // of the measurements around this model, in microseconds per second
	Samples       int     // number of points that the model was fitted to
}

// minCostSamples is the number of points, measured both really and in the simulator,
// that EstimateCost needs.
const minCostSamples = 8

// point identifies one role at one level of a dimension.
type point struct {
	dimension, role string
	level           float64
}

// meanMetrics returns the mean of each metric over the repeats, by point.
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

// EstimateCost compares real runs with simulated ones at the same levels. The simulated
// runs give the processor time of the components' steps. EstimateCost attributes the
// rest of a real process's time to its messages, bytes and syncs by least squares. It
// returns an Invalid error when too few points have both kinds of measurements.
func EstimateCost(real, simulated []Measurement) (Cost, error) {
	realMeans, simulatedMeans := meanMetrics(real), meanMetrics(simulated)
	var rows, excess []float64
	for at, metrics := range realMeans {
		// A gateway also spends time on HTTP, which is part neither of a component's
		// steps nor of the transport.
		components, found := simulatedMeans[at][componentCPUMetric]
		if !found || at.role == gatewayRole {
			continue
		}
		rows = append(rows, 1, metrics["sent_s"]+metrics["received_s"], metrics["bytes_out_s"]+metrics["bytes_in_s"], metrics["syncs_s"])
		excess = append(excess, (metrics[cpuMetric]-components)*1000)
	}
	if len(excess) < minCostSamples {
		return Cost{}, Invalid.New("real and simulated: the two have only %d points in common, but %d are needed", len(excess), minCostSamples)
	}
	const unknowns = 4
	a := mat.NewDense(len(excess), unknowns, rows)
	var solution, predicted mat.VecDense
	if err := solution.SolveVec(a, mat.NewVecDense(len(excess), excess)); err != nil {
		return Cost{}, Invalid.Wrap(err, "real and simulated: the measurements do not determine the costs")
	}
	predicted.MulVec(a, &solution)
	residual := 0.0
	for k, y := range excess {
		residual += (y - predicted.AtVec(k)) * (y - predicted.AtVec(k))
	}
	return Cost{
		Baseline: solution.AtVec(0), Message: solution.AtVec(1), Byte: solution.AtVec(2), Sync: solution.AtVec(3),
		StandardError: math.Sqrt(residual / float64(len(excess)-unknowns)), Samples: len(excess),
	}, nil
}
