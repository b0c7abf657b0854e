// Package capacity owns what capacity is worked out from: readings taken while one
// size of a deployment is swept, the curves fitted to them, and the sums that
// lead from those to machines.
package capacity

import (
	"encoding/csv"
	"io"
	"sort"
	"strconv"

	"github.com/joomcode/errorx"
)

var (
	// Errors is the namespace of what this package refuses.
	Errors = errorx.NewNamespace("capacity")
	// Invalid is a file or a size that can't be taken; its text names the field.
	Invalid = Errors.NewType("bad")
)

// Measurement is one quantity of one role, read in one run.
type Measurement struct {
	Dimension string  // what was swept: workers, queues, starts, ...
	Level     float64 // how much of it there was
	Repeat    int     // which of the runs at this value, from 1
	Role      string  // store, front, side, caller, whole
	Metric    string  // quantity with its unit: cpu_milli, sent_s, bytes_s, rss_mb, ...
	Amount    float64 // of one process of the role; of all, where the role is whole
}

var header = []string{"size", "value", "repeat", "role", "what", "amount"}

func formatNumber(value float64) string { return strconv.FormatFloat(value, 'g', 6, 64) }

// WriteCSV writes readings as CSV, with a header.
func WriteCSV(out io.Writer, readings []Measurement) error {
	writer := csv.NewWriter(out)
	lines := [][]string{header}
	for _, r := range readings {
		lines = append(lines, []string{r.Dimension, formatNumber(r.Level), strconv.Itoa(r.Repeat), r.Role, r.Metric, formatNumber(r.Amount)})
	}
	if err := writer.WriteAll(lines); err != nil {
		return Errors.NewType("write").Wrap(err, "readings")
	}
	return nil
}

// ReadCSV reads what Write has written. Errors are Bad, with line and column.
func ReadCSV(in io.Reader) ([]Measurement, error) {
	reader := csv.NewReader(in)
	reader.FieldsPerRecord = len(header)
	lines, err := reader.ReadAll()
	if err != nil {
		return nil, Invalid.Wrap(err, "readings")
	}
	var list []Measurement
	for at, line := range lines {
		if at == 0 {
			for k, name := range header {
				if line[k] != name {
					return nil, Invalid.New("line 1: column %d is %q and not %q", k+1, line[k], name)
				}
			}
			continue
		}
		value, err := strconv.ParseFloat(line[1], 64)
		if err != nil {
			return nil, Invalid.New("line %d, value: %q is no number", at+1, line[1])
		}
		repeat, err := strconv.Atoi(line[2])
		if err != nil {
			return nil, Invalid.New("line %d, repeat: %q is no whole number", at+1, line[2])
		}
		amount, err := strconv.ParseFloat(line[5], 64)
		if err != nil {
			return nil, Invalid.New("line %d, amount: %q is no number", at+1, line[5])
		}
		list = append(list, Measurement{line[0], value, repeat, line[3], line[4], amount})
	}
	return list, nil
}

// Series are the readings of one quantity of one role over one size.
type Series struct {
	Dimension, Role, Metric string
	X, Y                    []float64
}

// GroupSeries parts readings into series, in a steady order.
func GroupSeries(readings []Measurement) []*Series {
	found := map[[3]string]*Series{}
	var list []*Series
	for _, r := range readings {
		key := [3]string{r.Dimension, r.Role, r.Metric}
		s := found[key]
		if s == nil {
			s = &Series{Dimension: r.Dimension, Role: r.Role, Metric: r.Metric}
			found[key] = s
			list = append(list, s)
		}
		s.X, s.Y = append(s.X, r.Level), append(s.Y, r.Amount)
	}
	sort.Slice(list, func(a, b int) bool {
		x, y := list[a], list[b]
		if x.Dimension != y.Dimension {
			return x.Dimension < y.Dimension
		}
		if x.Role != y.Role {
			return x.Role < y.Role
		}
		return x.Metric < y.Metric
	})
	return list
}
