package capacity

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"
)

// Fit is a curve through a series: Intercept + Slope·x + Quadratic·x².
type Fit struct {
	Dimension, Role, Metric     string
	Intercept, Slope, Quadratic float64
	RSquared                    float64 // share of the variance that the curve explains
	StandardError               float64 // of a measurement around the curve, in its unit
	MinX, MaxX                  float64 // range that was measured
	Samples                     int
}

// maxQuadraticResidual is the share of the straight line's residual that a parabola may
// leave. A parabola that explains less is taken for noise, which extrapolation would
// magnify.
const maxQuadraticResidual = 0.5

// FitSeries fits a straight line, or a parabola where that explains clearly more.
// With a single value of x, or without a significant slope, the line is flat.
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
		// Noise, extrapolated to ten times the range, could give any value.
		fit.Intercept, fit.Slope = stat.Mean(s.Y, nil), 0
	}
	if len(distinct) >= minQuadraticLevels {
		parabola := fit
		if parabola.fitQuadratic(s) && parabola.Quadratic > 0 && parabola.residualSumOfSquares(s) < maxQuadraticResidual*line {
			fit = parabola
		}
	}
	fit.computeQuality(s)
	return fit
}

const (
	// minSlopeErrors is how many of its own standard errors a slope must exceed.
	minSlopeErrors = 2
	// minQuadraticLevels is how many distinct values of x a parabola needs.
	minQuadraticLevels = 4
)

// hasSignificantSlope reports whether the slope exceeds its own standard error
// clearly; residual is the sum of squares that the line leaves.
func (f *Fit) hasSignificantSlope(s *Series, residual float64) bool {
	if len(s.X) < 3 {
		return true
	}
	mean, spread := stat.Mean(s.X, nil), 0.0
	for _, x := range s.X {
		spread += (x - mean) * (x - mean)
	}
	err := math.Sqrt(residual / float64(len(s.X)-2) / spread)
	return math.Abs(f.Slope) > minSlopeErrors*err
}

// fitQuadratic fits a parabola by least squares; false when that has no solution.
func (f *Fit) fitQuadratic(s *Series) bool {
	// The columns are scaled to a like size, for numerical stability.
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

// residualSumOfSquares is the sum of the squared residuals.
func (f *Fit) residualSumOfSquares(s *Series) float64 {
	sum := 0.0
	for k, x := range s.X {
		gap := s.Y[k] - f.At(x)
		sum += gap * gap
	}
	return sum
}

// computeQuality sets StandardError and RSquared.
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

// At is the curve's value at x.
func (f *Fit) At(x float64) float64 { return f.Intercept + f.Slope*x + f.Quadratic*x*x }

// Extrapolation is x as a multiple of the largest measured value: up to 1, x lies
// within what was measured.
func (f *Fit) Extrapolation(x float64) float64 {
	if f.MaxX <= 0 {
		return math.Inf(1)
	}
	return x / f.MaxX
}

// String prints the curve with its quality and range.
func (f *Fit) String() string {
	text := fmt.Sprintf("%.4g %+.4g·x", f.Intercept, f.Slope)
	if f.Quadratic != 0 {
		text += fmt.Sprintf(" %+.4g·x²", f.Quadratic)
	}
	return fmt.Sprintf("%s, ±%.3g, R² %.3f, %g to %g, %d runs", text, f.StandardError, f.RSquared, f.MinX, f.MaxX, f.Samples)
}

// FitAll fits every series of measurements.
func FitAll(measurements []Measurement) []Fit {
	var list []Fit
	for _, s := range GroupSeries(measurements) {
		list = append(list, FitSeries(s))
	}
	return list
}
