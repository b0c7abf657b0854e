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

const (
	tileWidth  = 4.2 * vg.Inch
	tileHeight = 3 * vg.Inch
	columns    = 2
)

// Plot draws one size: a tile for each quantity, in it a curve for each role
// through its readings, as a PNG file.
func Plot(path, size string, readings []Measurement, quantities []string) error {
	fault := Errors.NewType("plot")
	rows := (len(quantities) + columns - 1) / columns
	tiles := make([][]*plot.Plot, rows)
	for k, what := range quantities {
		tile, err := newTile(size, what, readings)
		if err != nil {
			return fault.Wrap(err, "%s over %s", what, size)
		}
		tiles[k/columns] = append(tiles[k/columns], tile)
	}
	for k := range tiles {
		for len(tiles[k]) < columns {
			tiles[k] = append(tiles[k], nil)
		}
	}
	canvas := vgimg.New(columns*tileWidth, vg.Length(rows)*tileHeight)
	drawn := draw.New(canvas)
	places := plot.Align(tiles, draw.Tiles{Rows: rows, Cols: columns, PadX: vg.Millimeter, PadY: vg.Millimeter}, drawn)
	for r := range tiles {
		for c, tile := range tiles[r] {
			if tile != nil {
				tile.Draw(places[r][c])
			}
		}
	}
	file, err := os.Create(path)
	if err != nil {
		return fault.Wrap(err, "file")
	}
	defer file.Close()
	if _, err := (vgimg.PngCanvas{Canvas: canvas}).WriteTo(file); err != nil {
		return fault.Wrap(err, "file")
	}
	return nil
}

func newTile(size, what string, readings []Measurement) (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = size, what
	p.Legend.Top, p.Legend.Left = true, true
	k := 0
	for _, s := range GroupSeries(readings) {
		if s.Dimension != size || s.Metric != what {
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
