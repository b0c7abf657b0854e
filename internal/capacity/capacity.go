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
	// Bad is a file or a size that can't be taken; its text names the field.
	Bad = Errors.NewType("bad")
)

// Reading is one quantity of one role, read in one run.
type Reading struct {
	Size   string  // what was swept: workers, queues, starts, ...
	Value  float64 // how much of it there was
	Repeat int     // which of the runs at this value, from 1
	Role   string  // store, front, side, caller, whole
	What   string  // quantity with its unit: cpu_milli, sent_s, bytes_s, rss_mb, ...
	Amount float64 // of one process of the role; of all, where the role is whole
}

var header = []string{"size", "value", "repeat", "role", "what", "amount"}

func number(value float64) string { return strconv.FormatFloat(value, 'g', 6, 64) }

// Write writes readings as CSV, with a header.
func Write(out io.Writer, readings []Reading) error {
	writer := csv.NewWriter(out)
	lines := [][]string{header}
	for _, r := range readings {
		lines = append(lines, []string{r.Size, number(r.Value), strconv.Itoa(r.Repeat), r.Role, r.What, number(r.Amount)})
	}
	if err := writer.WriteAll(lines); err != nil {
		return Errors.NewType("write").Wrap(err, "readings")
	}
	return nil
}

// Read reads what Write has written. Errors are Bad, with line and column.
func Read(in io.Reader) ([]Reading, error) {
	reader := csv.NewReader(in)
	reader.FieldsPerRecord = len(header)
	lines, err := reader.ReadAll()
	if err != nil {
		return nil, Bad.Wrap(err, "readings")
	}
	var list []Reading
	for at, line := range lines {
		if at == 0 {
			for k, name := range header {
				if line[k] != name {
					return nil, Bad.New("line 1: column %d is %q and not %q", k+1, line[k], name)
				}
			}
			continue
		}
		value, err := strconv.ParseFloat(line[1], 64)
		if err != nil {
			return nil, Bad.New("line %d, value: %q is no number", at+1, line[1])
		}
		repeat, err := strconv.Atoi(line[2])
		if err != nil {
			return nil, Bad.New("line %d, repeat: %q is no whole number", at+1, line[2])
		}
		amount, err := strconv.ParseFloat(line[5], 64)
		if err != nil {
			return nil, Bad.New("line %d, amount: %q is no number", at+1, line[5])
		}
		list = append(list, Reading{line[0], value, repeat, line[3], line[4], amount})
	}
	return list, nil
}

// Series are the readings of one quantity of one role over one size.
type Series struct {
	Size, Role, What string
	X, Y             []float64
}

// Sort parts readings into series, in a steady order.
func Sort(readings []Reading) []*Series {
	found := map[[3]string]*Series{}
	var list []*Series
	for _, r := range readings {
		key := [3]string{r.Size, r.Role, r.What}
		s := found[key]
		if s == nil {
			s = &Series{Size: r.Size, Role: r.Role, What: r.What}
			found[key] = s
			list = append(list, s)
		}
		s.X, s.Y = append(s.X, r.Value), append(s.Y, r.Amount)
	}
	sort.Slice(list, func(a, b int) bool {
		x, y := list[a], list[b]
		if x.Size != y.Size {
			return x.Size < y.Size
		}
		if x.Role != y.Role {
			return x.Role < y.Role
		}
		return x.What < y.What
	})
	return list
}
