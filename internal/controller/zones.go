package controller

// Voters are spread over zones and regions where those may be lost whole.

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// cellOf is the zone of a store, also of one that the book has let go.
func (t *Table) cellOf(id string) string {
	if known, isKnown := t.roll.Members[id]; isKnown {
		return known.Member.GetZone()
	}
	return t.homes[id].cell
}

// excess is by how many voters too many the zones or regions that may be lost would
// hold, were one voter gone and another there; empty: none.
func (t *Table) excess(note *schema.QueueStatus, gone, there string) int {
	if !t.tolerance.RequiresSpread() {
		return 0
	}
	var zones []string
	for _, id := range note.Voters {
		if id != gone {
			zones = append(zones, t.cellOf(id))
		}
	}
	if there != "" {
		zones = append(zones, t.cellOf(there))
	}
	return t.tolerance.ExcessVoters(zones)
}

// canSpread tells whether the stores that are known, the silent ones too, stand so that
// the zones and regions can be lost.
func (t *Table) canSpread() bool {
	var zones []string
	for _, known := range t.roll.Members {
		if known.Member.HasStorage {
			zones = append(zones, known.Member.Zone)
		}
	}
	return t.tolerance.RequiresSpread() && t.tolerance.Shortfall(zones) == ""
}

// mayReplace tells whether the vote of one may go to another: not where that leaves the
// zones or regions worse spread than they may be. The lost one's zone may come back;
// until then the others bear what they bore.
func (t *Table) mayReplace(note *schema.QueueStatus, goer, id string) bool {
	if goer == "" || !t.canSpread() {
		return true
	}
	after := t.excess(note, goer, id)
	return after == 0 || after < t.excess(note, "", "")
}

// isBetterSpread tells whether one store is to be preferred to another.
func (t *Table) isBetterSpread(note *schema.QueueStatus, goer, id, other string, inCell map[string]int) bool {
	if a, b := t.excess(note, goer, id), t.excess(note, goer, other); a != b {
		return a < b
	}
	return inCell[t.cellOf(id)] < inCell[t.cellOf(other)]
}

// misplaced is a voter whose vote stands better with another store, where the zones or
// regions can't be lost as the voters are; never the leader's.
func (t *Table) misplaced(now eventloop.Micros, note *schema.QueueStatus) string {
	least := t.excess(note, "", "")
	if least == 0 || len(note.Voters) != t.voters || !t.canSpread() {
		return ""
	}
	others := note.Learners
	if len(others) == 0 {
		for _, id := range t.stores(now) {
			if t.mayLearn(now, note, id) {
				others = append(others, id)
			}
		}
	}
	best := ""
	for _, id := range note.Voters {
		for _, other := range others {
			if after := t.excess(note, id, other); id != note.Leader && after < least {
				best, least = id, after
			}
		}
	}
	return best
}
