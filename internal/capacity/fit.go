package capacity

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"
)

// Fit is a curve fitted to a series: Intercept + Slope·x + Quadratic·x².
type Fit struct {
	Dimension, Role, Metric     string
	Intercept, Slope, Quadratic float64
	RSquared                    float64 // share of the variance that the curve explains
	StandardError               float64 // of the measurements around the curve, in the unit of the metric
	MinX, MaxX                  float64 // range of the measured levels
	Samples                     int     // number of measurements
}

// maxQuadraticResidual limits the residual sum of squares of a parabola, as a share of
// that of the straight line. A parabola with a larger residual is rejected: its quadratic
// part is assumed to be noise, which extrapolation would magnify.
const maxQuadraticResidual = 0.5

// FitSeries fits a straight line to a series, or a parabola if that leaves a clearly
// smaller residual. The line is flat when all x are equal, or when its slope isn't
// significant.
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
		// A slope that is only noise could give any value when it is extrapolated to ten
		// times the measured range.
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
	// minSlopeErrors is the smallest ratio of a slope to its standard error at which the
	// slope counts as significant.
	minSlopeErrors = 2
	// minQuadraticLevels is the number of distinct values of x that a parabola needs.
	minQuadraticLevels = 4
)

// hasSignificantSlope reports whether the slope is more than minSlopeErrors times its
// standard error. The argument residual is the line's residual sum of squares.
func (f *Fit) hasSignificantSlope(s *Series, residual float64) bool {
	if len(s.X) < 3 {
		return true
	}
	mean, spread := stat.Mean(s.X, nil), 0.0
	for _, x := range s.X {
		spread += (x - mean) * (x - mean)
	}
	standardError := math.Sqrt(residual / float64(len(s.X)-2) / spread)
	return math.Abs(f.Slope) > minSlopeErrors*standardError
}

// fitQuadratic fits a parabola by least squares. It returns false when there is no solution.
func (f *Fit) fitQuadratic(s *Series) bool {
	// The columns are scaled to similar magnitudes for numerical stability.
	scale := f.MaxX
	a, b := mat.NewDense(len(s.X), 3, nil), mat.NewVecDense(len(s.X), s.Y)
	for k, x := range s.X {
		a.SetRow(k, []float64{1, x / scale, x * x / scale / scale})
	}
	var solution mat.VecDense
	if err := solution.SolveVec(a, b); err != nil {
		return false
	}
	f.Intercept, f.Slope, f.Quadratic = solution.AtVec(0), solution.AtVec(1)/scale, solution.AtVec(2)/scale/scale
	return true
}

// residualSumOfSquares returns the sum of the squared differences between the series and
// the curve.
func (f *Fit) residualSumOfSquares(s *Series) float64 {
	sum := 0.0
	for k, x := range s.X {
		residual := s.Y[k] - f.At(x)
		sum += residual * residual
	}
	return sum
}

// computeQuality sets StandardError and RSquared from the curve and the series.
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

// At returns the value of the curve at x.
func (f *Fit) At(x float64) float64 { return f.Intercept + f.Slope*x + f.Quadratic*x*x }

// Extrapolation returns the ratio of x to the largest measured level. Up to 1, x doesn't
// exceed the measured range.
func (f *Fit) Extrapolation(x float64) float64 {
	if f.MaxX <= 0 {
		return math.Inf(1)
	}
	return x / f.MaxX
}

// String formats the curve with its quality and its measured range.
func (f *Fit) String() string {
	text := fmt.Sprintf("%.4g %+.4g·x", f.Intercept, f.Slope)
	if f.Quadratic != 0 {
		text += fmt.Sprintf(" %+.4g·x²", f.Quadratic)
	}
	return fmt.Sprintf("%s, ±%.3g, R² %.3f, %g to %g, %d runs", text, f.StandardError, f.RSquared, f.MinX, f.MaxX, f.Samples)
}

// FitAll fits a curve to each series of the measurements.
func FitAll(measurements []Measurement) []Fit {
	var list []Fit
	for _, s := range GroupSeries(measurements) {
		list = append(list, FitSeries(s))
	}
	return list
}
