// Package capacity estimates how many nodes a deployment needs, from measurements.
//
// sparnotch-bench sweeps one dimension of a deployment (workers, queues, task starts
// per second) and takes a Measurement of each metric of each role. FitSeries fits a
// curve to one metric of one role over one dimension. EstimateNodes adds these curves
// up for a Demand. EstimateCost compares real and simulated sweeps to find the
// processor time that messages, bytes and syncs cost. The package holds no state;
// docs/CAPACITY.md explains the method.
package capacity

import (
	"cmp"
	"encoding/csv"
	"io"
	"slices"
	"strconv"

	"github.com/joomcode/errorx"
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("capacity")
	// Invalid is the type of errors for an invalid file of measurements or an invalid
	// Demand. The message names the field.
	Invalid = Errors.NewType("invalid")

	// writeError is the type of errors in writing a file of measurements.
	writeError = Errors.NewType("write_failed")
)

// Measurement is the value of one metric of one role in one run.
type Measurement struct {
	Dimension string  // quantity that the sweep varies: workers, queues, starts, ...
	Level     float64 // value of the dimension in this run
	Repeat    int     // number of the run among those at this level, from 1
	Role      string  // leader, store, front, side or caller; whole: all processes together
	Metric    string  // name with its unit: cpu_milli, sent_s, bytes_out_s, rss_mb, ...
	Amount    float64 // value of the metric, as the mean over the processes of the role
}

// header is the first line of a file of measurements.
var header = []string{"size", "value", "repeat", "role", "what", "amount"}

func formatNumber(value float64) string { return strconv.FormatFloat(value, 'g', 6, 64) }

// WriteCSV writes measurements as CSV, with a header line.
func WriteCSV(out io.Writer, measurements []Measurement) error {
	writer := csv.NewWriter(out)
	lines := [][]string{header}
	for _, m := range measurements {
		lines = append(lines, []string{m.Dimension, formatNumber(m.Level), strconv.Itoa(m.Repeat), m.Role, m.Metric, formatNumber(m.Amount)})
	}
	if err := writer.WriteAll(lines); err != nil {
		return writeError.Wrap(err, "the measurements could not be written")
	}
	return nil
}

// ReadCSV reads the measurements that WriteCSV has written. Its errors are of the type
// Invalid and name the line and the column.
func ReadCSV(in io.Reader) ([]Measurement, error) {
	reader := csv.NewReader(in)
	reader.FieldsPerRecord = len(header)
	lines, err := reader.ReadAll()
	if err != nil {
		return nil, Invalid.Wrap(err, "the measurements could not be read")
	}
	if len(lines) == 0 {
		return nil, nil
	}
	for k, name := range header {
		if lines[0][k] != name {
			return nil, Invalid.New("line 1: the header of column %d is %q, but %q is expected", k+1, lines[0][k], name)
		}
	}
	var list []Measurement
	for k, fields := range lines[1:] {
		m, err := parseMeasurement(k+2, fields)
		if err != nil {
			return nil, err
		}
		list = append(list, m)
	}
	return list, nil
}

func parseMeasurement(line int, fields []string) (Measurement, error) {
	level, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return Measurement{}, Invalid.New("line %d, value: %q is not a number", line, fields[1])
	}
	repeat, err := strconv.Atoi(fields[2])
	if err != nil {
		return Measurement{}, Invalid.New("line %d, repeat: %q is not a whole number", line, fields[2])
	}
	amount, err := strconv.ParseFloat(fields[5], 64)
	if err != nil {
		return Measurement{}, Invalid.New("line %d, amount: %q is not a number", line, fields[5])
	}
	return Measurement{Dimension: fields[0], Level: level, Repeat: repeat, Role: fields[3], Metric: fields[4], Amount: amount}, nil
}

// Series holds the measurements of one metric of one role over one dimension.
type Series struct {
	Dimension, Role, Metric string
	X, Y                    []float64 // levels of the dimension, and the amounts measured there
}

// GroupSeries groups measurements into series. It returns these sorted by dimension,
// role and metric.
func GroupSeries(measurements []Measurement) []*Series {
	found := map[seriesKey]*Series{}
	var list []*Series
	for _, m := range measurements {
		k := seriesKey{m.Dimension, m.Role, m.Metric}
		s := found[k]
		if s == nil {
			s = &Series{Dimension: m.Dimension, Role: m.Role, Metric: m.Metric}
			found[k] = s
			list = append(list, s)
		}
		s.X, s.Y = append(s.X, m.Level), append(s.Y, m.Amount)
	}
	slices.SortFunc(list, func(a, b *Series) int {
		return cmp.Or(cmp.Compare(a.Dimension, b.Dimension), cmp.Compare(a.Role, b.Role), cmp.Compare(a.Metric, b.Metric))
	})
	return list
}
