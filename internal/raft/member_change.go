package raft

// What one change of members may do, whoever asks for it: asked for by word that is
// old or comes late, no change may leave two majorities without a common voter.

import (
	"slices"

	"sparnotch/internal/schema"
)

// NotSingleServerChange says that a change of members isn't one step from those there are.
var NotSingleServerChange = Errors.NewType("not_one_step")

// checkSingleServerChange tells why a change of members may not be made now. One voter comes or goes
// at most, so that every majority of the old and the new shares a voter; who comes was
// a learner before and has caught up, so that the group can bear as much at once.
func (g *Group) checkSingleServerChange(next *schema.MemberSet) error {
	old := g.memberSet
	added, removed := missingFrom(old.Voters, next.Voters), missingFrom(next.Voters, old.Voters)
	if len(next.Voters) == 0 || len(added)+len(removed) > 1 {
		return NotSingleServerChange.New("%s: from %v to %v isn't one step", g.name, old.Voters, next.Voters)
	}
	for _, id := range added {
		if !slices.Contains(old.Learners, id) || !g.IsCaughtUp(id) {
			return Busy.New("%s: %s hasn't caught up", g.name, id)
		}
	}
	return nil
}

// missingFrom are those of a list that another doesn't have.
func missingFrom(list, of []string) []string {
	var missing []string
	for _, id := range of {
		if !slices.Contains(list, id) {
			missing = append(missing, id)
		}
	}
	return missing
}
