package capacity

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"
)

// Fit is a curve through a series: Base + Slope·x + Curve·x².
type Fit struct {
	Size, Role, What   string
	Base, Slope, Curve float64
	Squared            float64 // share of the readings' variance that the curve explains
	Error              float64 // standard error of a reading around the curve, in its unit
	Least, Most        float64 // range of x that was measured
	Points             int
}

// curveGain: a bend counts only where it takes away so much of what a straight
// line leaves unexplained, or every noise would be drawn out to a square.
const curveGain = 0.5

// FitOf fits a straight line, or a parabola where that explains clearly more.
// Fewer than three readings, or one value of x, give a flat line.
func FitOf(s *Series) Fit {
	fit := Fit{Size: s.Size, Role: s.Role, What: s.What, Points: len(s.X)}
	if len(s.X) == 0 {
		return fit
	}
	fit.Least, fit.Most = slices.Min(s.X), slices.Max(s.X)
	distinct := map[float64]bool{}
	for _, x := range s.X {
		distinct[x] = true
	}
	if len(distinct) < 2 {
		fit.Base = stat.Mean(s.Y, nil)
		if len(s.Y) > 1 {
			fit.Error = stat.StdDev(s.Y, nil)
		}
		return fit
	}
	fit.Base, fit.Slope = stat.LinearRegression(s.X, s.Y, nil, false)
	line := fit.left(s)
	if !fit.isSlope(s, line) {
		// Drawn out to ten times the range, noise would say anything.
		fit.Base, fit.Slope = stat.Mean(s.Y, nil), 0
	}
	if len(distinct) >= 4 {
		bent := fit
		if bent.solve(s) && bent.Curve > 0 && bent.left(s) < curveGain*line {
			fit = bent
		}
	}
	fit.judge(s)
	return fit
}

// slopeErrors: a slope within so many of its own standard errors is none.
const slopeErrors = 2

func (f *Fit) isSlope(s *Series, left float64) bool {
	if len(s.X) < 3 {
		return true
	}
	mean, spread := stat.Mean(s.X, nil), 0.0
	for _, x := range s.X {
		spread += (x - mean) * (x - mean)
	}
	err := math.Sqrt(left / float64(len(s.X)-2) / spread)
	return math.Abs(f.Slope) > slopeErrors*err
}

func (f *Fit) solve(s *Series) bool {
	// Columns of like size, or the square drowns the rest.
	scale := f.Most
	a, b := mat.NewDense(len(s.X), 3, nil), mat.NewVecDense(len(s.X), s.Y)
	for k, x := range s.X {
		a.SetRow(k, []float64{1, x / scale, x * x / scale / scale})
	}
	var found mat.VecDense
	if err := found.SolveVec(a, b); err != nil {
		return false
	}
	f.Base, f.Slope, f.Curve = found.AtVec(0), found.AtVec(1)/scale, found.AtVec(2)/scale/scale
	return true
}

// left is the sum of squares the curve leaves.
func (f *Fit) left(s *Series) float64 {
	sum := 0.0
	for k, x := range s.X {
		gap := s.Y[k] - f.At(x)
		sum += gap * gap
	}
	return sum
}

func (f *Fit) judge(s *Series) {
	left := f.left(s)
	free := 2
	if f.Curve != 0 {
		free = 3
	}
	if len(s.X) > free {
		f.Error = math.Sqrt(left / float64(len(s.X)-free))
	}
	mean, whole := stat.Mean(s.Y, nil), 0.0
	for _, y := range s.Y {
		whole += (y - mean) * (y - mean)
	}
	if whole > 0 {
		f.Squared = 1 - left/whole
	}
}

// At is the curve's value.
func (f *Fit) At(x float64) float64 { return f.Base + f.Slope*x + f.Curve*x*x }

// Reach is by how much x lies beyond what was measured: 1 and less is measured.
func (f *Fit) Reach(x float64) float64 {
	if f.Most <= 0 {
		return math.Inf(1)
	}
	return x / f.Most
}

func (f *Fit) String() string {
	text := fmt.Sprintf("%.4g %+.4g·x", f.Base, f.Slope)
	if f.Curve != 0 {
		text += fmt.Sprintf(" %+.4g·x²", f.Curve)
	}
	return fmt.Sprintf("%s, ±%.3g, R² %.3f, %g to %g, %d runs", text, f.Error, f.Squared, f.Least, f.Most, f.Points)
}

// Fits fits every series.
func Fits(readings []Reading) []Fit {
	var list []Fit
	for _, s := range Sort(readings) {
		list = append(list, FitOf(s))
	}
	return list
}
