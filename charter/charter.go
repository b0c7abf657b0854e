// Package charter is the pure machine of the system's own group: the plan and
// its generation, where lanes stand, who wards which worker, and the steward's
// licence. Every change is checked when it is applied, so that whoever acts on
// an old view is fenced by the log itself.
package charter

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"sparnotch/schema"
)

// Group is the name of the system's own group.
const Group = "charter"

// LicenceUs is how long a steward's licence lasts in the group's time.
const LicenceUs = 2_000_000

const keptPlans = 20

// Result is what a command came to, in HTTP's numbers.
type Result struct {
	Code    int32
	Fault   *schema.Fault
	Licence uint64
	Plan    *schema.Plan
}

// Machine is the charter's state.
type Machine struct {
	state     *schema.CharterState
	isChanged bool // by the command in hand; renewals change nothing others need
}

// New makes an empty charter; Restore one from a checkpoint.
func New() *Machine {
	return &Machine{state: &schema.CharterState{Plan: &schema.Plan{}, Steward: &schema.Steward{}, Next: 1}}
}

func Restore(data []byte) (*Machine, error) {
	m := New()
	if len(data) == 0 {
		return m, nil
	}
	return m, proto.Unmarshal(data, m.state)
}

// Rest encodes the state.
func (m *Machine) Rest() []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m.state)
	if err != nil {
		panic("charter: state can't be encoded: " + err.Error())
	}
	return data
}

// State is a copy that may be handed to others.
func (m *Machine) State() *schema.CharterState {
	return proto.Clone(m.state).(*schema.CharterState)
}

// StewardUntil is when the steward's licence ends, in the group's time.
func (m *Machine) StewardUntil() int64 { return m.state.Steward.GetUntilUs() }

func (m *Machine) Version() uint64 { return m.state.Version }

// Apply takes one record's command.
func (m *Machine) Apply(at int64, data []byte) (*Result, error) {
	command := &schema.CharterCommand{}
	if err := proto.Unmarshal(data, command); err != nil {
		return nil, err
	}
	if at > m.state.NowUs {
		m.state.NowUs = at
	}
	var result *Result
	switch body := command.Body.(type) {
	case *schema.CharterCommand_Put:
		result = m.put(body.Put.Sheet)
	case *schema.CharterCommand_Claim:
		result = m.claim(body.Claim.Id)
	case *schema.CharterCommand_Lanes:
		result = m.placeLanes(body.Lanes)
	case *schema.CharterCommand_Wards:
		result = m.moveWards(body.Wards)
	case *schema.CharterCommand_Meet:
		result = m.meet(body.Meet.Worker)
	default:
		result = &Result{Code: 400}
	}
	if m.isChanged {
		m.state.Version++
		m.isChanged = false
	}
	return result, nil
}

func (m *Machine) next() uint64 {
	m.state.Next++
	return m.state.Next - 1
}

func (m *Machine) put(sheet *schema.Sheet) *Result {
	current := m.state.Plan
	if sheet.Generation == nil {
		return &Result{Code: 428, Fault: &schema.Fault{Code: "generation_missing", Message: "the sheet must say which generation it was built on", Field: "generation", Current: current.Generation}}
	}
	given := sheet.GetGeneration()
	if given+1 == current.Generation && SameRows(sheet.Rows, current.Rows) {
		// The sheet that has just taken effect, sent again after a silence.
		return &Result{Code: 200, Plan: current}
	}
	if given != current.Generation {
		return &Result{Code: 412, Fault: &schema.Fault{
			Code: "outdated", Message: "the plan has changed since this sheet was made: get it anew and repeat the edit",
			Field: "generation", Given: given, Current: current.Generation,
		}}
	}
	if fault := CheckRows(sheet.Rows); fault != nil {
		return &Result{Code: 422, Fault: fault}
	}
	m.state.History = append(m.state.History, current)
	if len(m.state.History) > keptPlans {
		m.state.History = m.state.History[1:]
	}
	m.isChanged = true
	m.state.Plan = &schema.Plan{Generation: given + 1, Rows: sheet.Rows}
	return &Result{Code: 200, Plan: m.state.Plan}
}

func (m *Machine) claim(id string) *Result {
	s := m.state.Steward
	isFree := s.Id == "" || s.UntilUs <= m.state.NowUs
	if s.Id != id && !isFree {
		return &Result{Code: 409, Fault: &schema.Fault{Code: "steward_taken", Message: "another steward holds the licence"}}
	}
	licence := s.Licence
	// Whoever let it lapse gets a new one: what it sent under the old one may
	// still be on its way.
	if s.Id != id || isFree {
		licence = m.next()
		m.isChanged = true
	}
	m.state.Steward = &schema.Steward{Id: id, Licence: licence, UntilUs: m.state.NowUs + LicenceUs}
	return &Result{Code: 200, Licence: licence}
}

// IsSteward tells whether a licence is the current one and hasn't run out.
func (m *Machine) IsSteward(licence uint64) bool {
	s := m.state.Steward
	return s.Licence == licence && licence != 0 && s.UntilUs > m.state.NowUs
}

func fenced() *Result {
	return &Result{Code: 403, Fault: &schema.Fault{Code: "licence_over", Message: "the steward licence is not the current one"}}
}

func (m *Machine) placeLanes(c *schema.PlaceLanes) *Result {
	if !m.IsSteward(c.Licence) {
		return fenced()
	}
	values := Read(m.state.Plan)
	for _, name := range c.Gone {
		for k, place := range m.state.Lanes {
			// A lane that has rows again was wanted back meanwhile.
			if place.Lane == name && !values.HasLane(name) {
				m.state.Lanes = append(m.state.Lanes[:k:k], m.state.Lanes[k+1:]...)
				m.isChanged = true
				break
			}
		}
	}
	for _, wanted := range c.Lanes {
		if place := Place(m.state, wanted.Lane); place != nil {
			m.isChanged = m.isChanged || place.Keeper != wanted.Keeper
			place.Keeper = wanted.Keeper
			continue
		}
		if values.HasLane(wanted.Lane) && len(wanted.Founders) > 0 {
			m.isChanged = true
			m.state.Lanes = append(m.state.Lanes, &schema.LanePlace{
				Lane: wanted.Lane, Generation: m.next(), Founders: wanted.Founders, Keeper: wanted.Keeper,
			})
		}
	}
	sort.Slice(m.state.Lanes, func(a, b int) bool { return m.state.Lanes[a].Lane < m.state.Lanes[b].Lane })
	return &Result{Code: 200}
}

func (m *Machine) moveWards(c *schema.MoveWards) *Result {
	if !m.IsSteward(c.Licence) {
		return fenced()
	}
	for _, wanted := range c.Wards {
		ward := WardOf(m.state, wanted.Worker)
		switch {
		case ward == nil:
			m.isChanged = true
			m.state.Wards = append(m.state.Wards, &schema.Ward{Worker: wanted.Worker, Placer: wanted.Placer, Generation: m.next()})
		case ward.Placer != wanted.Placer:
			m.isChanged = true
			ward.Placer, ward.Generation = wanted.Placer, m.next()
		}
	}
	m.sortWards()
	return &Result{Code: 200}
}

func (m *Machine) sortWards() {
	sort.Slice(m.state.Wards, func(a, b int) bool { return m.state.Wards[a].Worker < m.state.Wards[b].Worker })
}

// meet gives a new worker to the placer that wards most, so that it can work
// before a steward looks.
func (m *Machine) meet(worker string) *Result {
	if WardOf(m.state, worker) != nil {
		return &Result{Code: 200}
	}
	counts := map[string]int{}
	best := ""
	for _, ward := range m.state.Wards {
		counts[ward.Placer]++
		if ward.Placer != "" && (best == "" || counts[ward.Placer] > counts[best]) {
			best = ward.Placer
		}
	}
	m.isChanged = true
	m.state.Wards = append(m.state.Wards, &schema.Ward{Worker: worker, Placer: best, Generation: m.next()})
	m.sortWards()
	return &Result{Code: 200}
}

// Place finds a lane's place.
func Place(state *schema.CharterState, lane string) *schema.LanePlace {
	for _, place := range state.GetLanes() {
		if place.Lane == lane {
			return place
		}
	}
	return nil
}

// WardOf finds a worker's ward.
func WardOf(state *schema.CharterState, worker string) *schema.Ward {
	for _, ward := range state.GetWards() {
		if ward.Worker == worker {
			return ward
		}
	}
	return nil
}
