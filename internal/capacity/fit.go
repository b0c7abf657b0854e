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
	Dimension, Role, Metric     string
	Intercept, Slope, Quadratic float64
	RSquared                    float64 // share of the readings' variance that the curve explains
	StandardError               float64 // standard error of a reading around the curve, in its unit
	MinX, MaxX                  float64 // range of x that was measured
	Samples                     int
}

// maxQuadraticResidual: a bend counts only where it takes away so much of what a straight
// line leaves unexplained, or every noise would be drawn out to a square.
const maxQuadraticResidual = 0.5

// FitSeries fits a straight line, or a parabola where that explains clearly more.
// Fewer than three readings, or one value of x, give a flat line.
func FitSeries(s *Series) Fit {
	fit := Fit{Dimension: s.Dimension, Role: s.Role, Metric: s.Metric, Samples: len(s.X)}
	if len(s.X) == 0 {
		return fit
	}
	fit.MinX, fit.MaxX = slices.Min(s.X), slices.Max(s.X)
	distinct := map[float64]bool{}
	for _, x := range s.X {
		distinct[x] = true
	}
	if len(distinct) < 2 {
		fit.Intercept = stat.Mean(s.Y, nil)
		if len(s.Y) > 1 {
			fit.StandardError = stat.StdDev(s.Y, nil)
		}
		return fit
	}
	fit.Intercept, fit.Slope = stat.LinearRegression(s.X, s.Y, nil, false)
	line := fit.residualSumOfSquares(s)
	if !fit.hasSignificantSlope(s, line) {
		// Drawn out to ten times the range, noise would say anything.
		fit.Intercept, fit.Slope = stat.Mean(s.Y, nil), 0
	}
	if len(distinct) >= 4 {
		bent := fit
		if bent.fitQuadratic(s) && bent.Quadratic > 0 && bent.residualSumOfSquares(s) < maxQuadraticResidual*line {
			fit = bent
		}
	}
	fit.computeQuality(s)
	return fit
}

// minSlopeErrors: a slope within so many of its own standard errors is none.
const minSlopeErrors = 2

func (f *Fit) hasSignificantSlope(s *Series, left float64) bool {
	if len(s.X) < 3 {
		return true
	}
	mean, spread := stat.Mean(s.X, nil), 0.0
	for _, x := range s.X {
		spread += (x - mean) * (x - mean)
	}
	err := math.Sqrt(left / float64(len(s.X)-2) / spread)
	return math.Abs(f.Slope) > minSlopeErrors*err
}

func (f *Fit) fitQuadratic(s *Series) bool {
	// Columns of like size, or the square drowns the rest.
	scale := f.MaxX
	a, b := mat.NewDense(len(s.X), 3, nil), mat.NewVecDense(len(s.X), s.Y)
	for k, x := range s.X {
		a.SetRow(k, []float64{1, x / scale, x * x / scale / scale})
	}
	var found mat.VecDense
	if err := found.SolveVec(a, b); err != nil {
		return false
	}
	f.Intercept, f.Slope, f.Quadratic = found.AtVec(0), found.AtVec(1)/scale, found.AtVec(2)/scale/scale
	return true
}

// residualSumOfSquares is the sum of squares the curve leaves.
func (f *Fit) residualSumOfSquares(s *Series) float64 {
	sum := 0.0
	for k, x := range s.X {
		gap := s.Y[k] - f.At(x)
		sum += gap * gap
	}
	return sum
}

func (f *Fit) computeQuality(s *Series) {
	residual := f.residualSumOfSquares(s)
	parameters := 2
	if f.Quadratic != 0 {
		parameters = 3
	}
	if len(s.X) > parameters {
		f.StandardError = math.Sqrt(residual / float64(len(s.X)-parameters))
	}
	mean, total := stat.Mean(s.Y, nil), 0.0
	for _, y := range s.Y {
		total += (y - mean) * (y - mean)
	}
	if total > 0 {
		f.RSquared = 1 - residual/total
	}
}

// At is the curve's value.
func (f *Fit) At(x float64) float64 { return f.Intercept + f.Slope*x + f.Quadratic*x*x }

// Extrapolation is by how much x lies beyond what was measured: 1 and less is measured.
func (f *Fit) Extrapolation(x float64) float64 {
	if f.MaxX <= 0 {
		return math.Inf(1)
	}
	return x / f.MaxX
}

func (f *Fit) String() string {
	text := fmt.Sprintf("%.4g %+.4g·x", f.Intercept, f.Slope)
	if f.Quadratic != 0 {
		text += fmt.Sprintf(" %+.4g·x²", f.Quadratic)
	}
	return fmt.Sprintf("%s, ±%.3g, R² %.3f, %g to %g, %d runs", text, f.StandardError, f.RSquared, f.MinX, f.MaxX, f.Samples)
}

// FitAll fits every series.
func FitAll(readings []Measurement) []Fit {
	var list []Fit
	for _, s := range GroupSeries(readings) {
		list = append(list, FitSeries(s))
	}
	return list
}
