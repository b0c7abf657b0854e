package capacity

import (
	"math"

	"gonum.org/v1/gonum/mat"
)

// Cost is what carrying messages and keeping records costs a process besides its
// tables' steps: microseconds of processor time.
type Cost struct {
	Baseline      float64 // a second, whatever it does
	Message       float64 // each, sent or received
	Byte          float64 // each, out or in
	Sync          float64 // each
	StandardError float64 // standard error of a reading around it, microseconds a second
	Samples       int
}

// EstimateCost sets real runs beside simulated ones of the same sizes. What a process
// spent beyond its tables' steps is laid on its messages, bytes and syncs, by
// least squares. Errors are Bad: too few readings have a fellow.
func EstimateCost(real, simulated []Measurement) (Cost, error) {
	type point struct {
		size, role string
		value      float64
	}
	mean := func(readings []Measurement) map[point]map[string]float64 {
		sums, counts := map[point]map[string]float64{}, map[point]map[string]float64{}
		for _, r := range readings {
			at := point{r.Dimension, r.Role, r.Level}
			if sums[at] == nil {
				sums[at], counts[at] = map[string]float64{}, map[string]float64{}
			}
			sums[at][r.Metric] += r.Amount
			counts[at][r.Metric]++
		}
		for at := range sums {
			for what := range sums[at] {
				sums[at][what] /= counts[at][what]
			}
		}
		return sums
	}
	seen, components := mean(real), mean(simulated)
	var rows, residuals []float64
	for at, each := range seen {
		// A front's HTTP is neither a table nor a wire.
		spent, found := components[at]["cpu_tables_milli"]
		if !found || at.role == "front" {
			continue
		}
		rows = append(rows, 1, each["sent_s"]+each["received_s"], each["bytes_out_s"]+each["bytes_in_s"], each["syncs_s"])
		residuals = append(residuals, (each["cpu_milli"]-spent)*1000)
	}
	if len(residuals) < 8 {
		return Cost{}, Invalid.New("real and simulated: only %d readings have a fellow, 8 are needed", len(residuals))
	}
	a := mat.NewDense(len(residuals), 4, rows)
	var solution, predicted mat.VecDense
	if err := solution.SolveVec(a, mat.NewVecDense(len(residuals), residuals)); err != nil {
		return Cost{}, Invalid.Wrap(err, "real and simulated")
	}
	predicted.MulVec(a, &solution)
	sum := 0.0
	for k, y := range residuals {
		sum += (y - predicted.AtVec(k)) * (y - predicted.AtVec(k))
	}
	return Cost{
		Baseline: solution.AtVec(0), Message: solution.AtVec(1), Byte: solution.AtVec(2), Sync: solution.AtVec(3),
		StandardError: math.Sqrt(sum / float64(len(residuals)-4)), Samples: len(residuals),
	}, nil
}
