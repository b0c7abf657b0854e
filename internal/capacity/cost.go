package capacity

import (
	"math"

	"gonum.org/v1/gonum/mat"
)

// Cost is what carrying messages and keeping records costs a process besides its
// tables' steps: microseconds of processor time.
type Cost struct {
	Ground  float64 // a second, whatever it does
	Message float64 // each, sent or received
	Byte    float64 // each, out or in
	Sync    float64 // each
	Error   float64 // standard error of a reading around it, microseconds a second
	Points  int
}

// CostOf sets real runs beside simulated ones of the same sizes. What a process
// spent beyond its tables' steps is laid on its messages, bytes and syncs, by
// least squares. Errors are Bad: too few readings have a fellow.
func CostOf(real, simulated []Reading) (Cost, error) {
	type point struct {
		size, role string
		value      float64
	}
	mean := func(readings []Reading) map[point]map[string]float64 {
		sums, counts := map[point]map[string]float64{}, map[point]map[string]float64{}
		for _, r := range readings {
			at := point{r.Size, r.Role, r.Value}
			if sums[at] == nil {
				sums[at], counts[at] = map[string]float64{}, map[string]float64{}
			}
			sums[at][r.What] += r.Amount
			counts[at][r.What]++
		}
		for at := range sums {
			for what := range sums[at] {
				sums[at][what] /= counts[at][what]
			}
		}
		return sums
	}
	seen, tables := mean(real), mean(simulated)
	var rows, left []float64
	for at, each := range seen {
		// A front's HTTP is neither a table nor a wire.
		spent, isKnown := tables[at]["cpu_tables_milli"]
		if !isKnown || at.role == "front" {
			continue
		}
		rows = append(rows, 1, each["sent_s"]+each["received_s"], each["bytes_out_s"]+each["bytes_in_s"], each["syncs_s"])
		left = append(left, (each["cpu_milli"]-spent)*1000)
	}
	if len(left) < 8 {
		return Cost{}, Bad.New("real and simulated: only %d readings have a fellow, 8 are needed", len(left))
	}
	a := mat.NewDense(len(left), 4, rows)
	var found, gap mat.VecDense
	if err := found.SolveVec(a, mat.NewVecDense(len(left), left)); err != nil {
		return Cost{}, Bad.Wrap(err, "real and simulated")
	}
	gap.MulVec(a, &found)
	sum := 0.0
	for k, y := range left {
		sum += (y - gap.AtVec(k)) * (y - gap.AtVec(k))
	}
	return Cost{
		Ground: found.AtVec(0), Message: found.AtVec(1), Byte: found.AtVec(2), Sync: found.AtVec(3),
		Error: math.Sqrt(sum / float64(len(left)-4)), Points: len(left),
	}, nil
}
