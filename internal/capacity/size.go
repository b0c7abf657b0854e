package capacity

import (
	"bytes"
	_ "embed"
	"math"
)

// slopes are the readings that docs/CAPACITY.md is worked out from.
//
//go:embed slopes.csv
var slopes []byte

// Slopes reads the product's own measured slopes.
func Slopes() ([]Reading, error) { return Read(bytes.NewReader(slopes)) }

// Wanted is the deployment that is asked for.
type Wanted struct {
	Workers int
	Queues  int
	Starts  float64 // task starts a second at the peak
	Share   float64 // of a core that a front or a store may give
	Memory  float64 // MB of such a machine
	Busy    float64 // how much of that is planned with; the rest is for peaks and losses
}

// Check names the first field that can't be taken.
func (w Wanted) Check() error {
	switch {
	case w.Workers < 1 || w.Workers > 100_000:
		return Bad.New("workers: must lie between 1 and 100000")
	case w.Queues < 1 || w.Queues > 10_000:
		return Bad.New("queues: must lie between 1 and 10000")
	case !(w.Starts >= 0 && w.Starts <= 100_000):
		return Bad.New("starts: must lie between 0 and 100000 a second")
	case !(w.Share > 0 && w.Share <= 256):
		return Bad.New("share: must be above 0, and at most 256 cores")
	case !(w.Memory >= 16 && w.Memory <= 1<<20):
		return Bad.New("memory_mb: must lie between 16 and 1048576")
	case !(w.Busy > 0 && w.Busy <= 1):
		return Bad.New("busy: must be above 0, and at most 1")
	}
	return nil
}

// Need is what a role needs. Amounts are of one machine.
type Need struct {
	Role     string
	Machines int
	Cpu      float64 // thousandths of a core
	Memory   float64 // MB
	Bytes    float64 // a second, out and in
	Reach    float64 // the farthest of the sizes beyond what was measured: 1 and less is measured
	Over     string  // what one machine of this role can't give; empty: nothing
}

// model adds up what one size costs over what the others' sweeps stood at.
type model struct {
	fits map[[3]string]Fit
	base map[string]float64
}

func newModel(readings []Reading) (*model, error) {
	m := &model{fits: map[[3]string]Fit{}, base: map[string]float64{}}
	for _, fit := range Fits(readings) {
		m.fits[[3]string{fit.Size, fit.Role, fit.What}] = fit
	}
	for _, r := range readings {
		if r.Size == "base" {
			m.base[r.Role] = r.Amount
		}
	}
	for _, size := range []string{"workers", "queues", "starts"} {
		if m.base[size] == 0 {
			return nil, Bad.New("slopes: no base for %s", size)
		}
		if _, isKnown := m.fits[[3]string{size, "leader", "cpu_milli"}]; !isKnown {
			return nil, Bad.New("slopes: no sweep over %s", size)
		}
	}
	return m, nil
}

// processor is what a role spends for its workers: its tables' steps where those
// were timed by themselves, which shows their square, and what its messages cost
// besides; else what the real runs show.
func (m *model) processor(role string, w Wanted) float64 {
	workers := float64(w.Workers)
	of := func(what string) (Fit, bool) {
		fit, isKnown := m.fits[[3]string{"workers", role, what}]
		return fit, isKnown
	}
	tables, isTimed := of("cpu_tables_milli")
	if !isTimed {
		whole, _ := of("cpu_milli")
		return whole.At(workers)
	}
	sent, _ := of("sent_s")
	received, _ := of("received_s")
	return m.base["ground_milli"] + tables.At(workers) + m.base["message_us"]/1000*(sent.At(workers)+received.At(workers))
}

// at is a quantity of a role: the sweep over workers gives the ground, the other
// two what they add to it. What workers and starts cost a leader together beyond
// that was measured once, at the whole size; of other pairs it isn't known.
func (m *model) at(role, what string, w Wanted) float64 {
	sum := 0.0
	for _, each := range []struct {
		size  string
		value float64
	}{{"workers", float64(w.Workers)}, {"queues", float64(w.Queues)}, {"starts", w.Starts}} {
		fit, isKnown := m.fits[[3]string{each.size, role, what}]
		if each.size == "workers" && what == "cpu_milli" {
			sum += m.processor(role, w)
			continue
		}
		if !isKnown {
			continue
		}
		sum += fit.At(each.value)
		if each.size != "workers" {
			sum -= fit.At(m.base[each.size])
		}
	}
	if role == "leader" && what == "cpu_milli" {
		sum += m.base["together_milli"] * max(float64(w.Workers)-m.base["workers"], 0) * max(w.Starts-m.base["starts"], 0)
	}
	return max(sum, 0)
}

func (m *model) reach(w Wanted) float64 {
	most := 0.0
	for size, value := range map[string]float64{"workers": float64(w.Workers), "queues": float64(w.Queues), "starts": w.Starts} {
		fit := m.fits[[3]string{size, "leader", "cpu_milli"}]
		most = max(most, fit.Reach(value))
	}
	return most
}

// What a side machine may spend on control, by the users' letter.
const (
	sideCpu    = 44
	sideMemory = 64
	sideBytes  = 2000
)

const (
	storeCount = 3
	leastFront = 2 // one may be lost
)

// Size works out what a deployment needs. Errors are Bad and name the field.
func Size(readings []Reading, w Wanted) ([]Need, error) {
	if err := w.Check(); err != nil {
		return nil, err
	}
	m, err := newModel(readings)
	if err != nil {
		return nil, err
	}
	need := func(role string, machines int) Need {
		return Need{
			Role: role, Machines: machines, Cpu: m.at(role, "cpu_milli", w), Memory: m.at(role, "rss_mb", w),
			Bytes: m.at(role, "bytes_out_s", w) + m.at(role, "bytes_in_s", w), Reach: m.reach(w),
		}
	}
	room := Need{Cpu: w.Share * 1000 * w.Busy, Memory: w.Memory * w.Busy, Bytes: math.Inf(1)}
	// Any store may lead, so each must have the leader's room.
	leader := need("leader", storeCount)
	leader.Role, leader.Over = "store", over(leader, room)
	front := need("front", 0)
	// All the fronts' work, over as many as it takes.
	whole := front.Cpu * m.base["fronts"]
	front.Machines = max(leastFront, int(math.Ceil(whole/room.Cpu)))
	front.Cpu = whole / float64(front.Machines)
	front.Over = over(front, room)
	side := need("side", w.Workers)
	side.Over = over(side, Need{Cpu: sideCpu, Memory: sideMemory, Bytes: sideBytes})
	return []Need{leader, front, side}, nil
}

func over(n, room Need) string {
	switch {
	case n.Cpu > room.Cpu:
		return "processor"
	case n.Memory > room.Memory:
		return "memory"
	case n.Bytes > room.Bytes:
		return "bytes"
	}
	return ""
}
