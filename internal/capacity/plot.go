package capacity

import (
	"os"
	"sort"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// plotError is the type of errors in drawing or writing a plot.
var plotError = Errors.NewType("plot_failed")

const (
	tileWidth  = 4.2 * vg.Inch
	tileHeight = 3 * vg.Inch
	columns    = 2
)

// Plot draws the measurements over one dimension to a PNG file. It draws one tile for
// each metric, with the measurements and the fitted curve of each role.
func Plot(path, dimension string, measurements []Measurement, metrics []string) error {
	rows := (len(metrics) + columns - 1) / columns
	tiles := make([][]*plot.Plot, rows)
	for k, metric := range metrics {
		tile, err := newTile(dimension, metric, measurements)
		if err != nil {
			return plotError.Wrap(err, "the plot of %s over %s could not be drawn", metric, dimension)
		}
		tiles[k/columns] = append(tiles[k/columns], tile)
	}
	for k := range tiles {
		for len(tiles[k]) < columns {
			tiles[k] = append(tiles[k], nil)
		}
	}
	canvas := vgimg.New(columns*tileWidth, vg.Length(rows)*tileHeight)
	root := draw.New(canvas)
	canvases := plot.Align(tiles, draw.Tiles{Rows: rows, Cols: columns, PadX: vg.Millimeter, PadY: vg.Millimeter}, root)
	for r := range tiles {
		for c, tile := range tiles[r] {
			if tile != nil {
				tile.Draw(canvases[r][c])
			}
		}
	}
	file, err := os.Create(path)
	if err != nil {
		return plotError.Wrap(err, "the file of the plot could not be created")
	}
	defer file.Close()
	if _, err := (vgimg.PngCanvas{Canvas: canvas}).WriteTo(file); err != nil {
		return plotError.Wrap(err, "the file of the plot could not be written")
	}
	return nil
}

// newTile returns the plot of one metric over a dimension, for all roles.
func newTile(dimension, metric string, measurements []Measurement) (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = dimension, metric
	p.Legend.Top, p.Legend.Left = true, true
	k := 0
	for _, s := range GroupSeries(measurements) {
		if s.Dimension != dimension || s.Metric != metric {
			continue
		}
		points := make(plotter.XYs, len(s.X))
		for at := range s.X {
			points[at].X, points[at].Y = s.X[at], s.Y[at]
		}
		sort.Slice(points, func(a, b int) bool { return points[a].X < points[b].X })
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return nil, err
		}
		scatter.Color, scatter.Shape = plotutil.Color(k), plotutil.Shape(k)
		fit := FitSeries(s)
		curve := plotter.NewFunction(fit.At)
		curve.Color, curve.XMin, curve.XMax = plotutil.Color(k), fit.MinX, fit.MaxX
		p.Add(scatter, curve)
		p.Legend.Add(s.Role, scatter)
		k++
	}
	return p, nil
}
