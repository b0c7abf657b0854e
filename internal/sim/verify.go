package sim

import (
	"fmt"
	"slices"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/replica"
)

const (
	minGroups     = 5   // of the default configuration
	maxReplicaLag = 200 // log entries that a replica that has caught up may lack
)

// verifyRepaired: every group has three voters, and all of them are up.
func verifyRepaired(f *Fleet) []string {
	var problems []string
	isUp := map[string]bool{}
	for _, h := range f.StorageNodes() {
		if h.IsUp {
			isUp[h.ID] = true
		}
	}
	led := map[string]bool{}
	for _, group := range ledGroups(f) {
		led[group.Group] = true
		live := 0
		for _, id := range group.Voters {
			if isUp[id] {
				live++
			}
		}
		if live != storageNodes || len(group.Voters) != storageNodes {
			problems = append(problems, fmt.Sprintf("%s has the voters %v, %d of them up", group.Group, group.Voters, live))
		}
	}
	if len(led) < minGroups {
		problems = append(problems, fmt.Sprintf("only %d groups are led", len(led)))
	}
	return problems
}

// ledGroups are the groups as their leaders see them.
func ledGroups(f *Fleet) []*replica.GroupStateView {
	var groups []*replica.GroupStateView
	for _, h := range f.StorageNodes() {
		view := h.StateView()
		if view == nil {
			continue
		}
		for _, group := range view.Groups {
			if group.Role == "leader" {
				groups = append(groups, group)
			}
		}
	}
	return groups
}

// verifyCaughtUp: every storage node votes in every group and has what the others have.
func verifyCaughtUp(f *Fleet) []string {
	problems := append(verifyRepaired(f), f.problems...)
	commit := map[string]uint64{} // the highest of each group
	for _, h := range f.StorageNodes() {
		view := h.StateView()
		if view == nil {
			problems = append(problems, h.Name+" has no storage again")
			continue
		}
		if view.ReadOnlyReason != "" {
			problems = append(problems, h.Name+" still says that its disk refuses: "+view.ReadOnlyReason)
		}
		for _, group := range view.Groups {
			commit[group.Group] = max(commit[group.Group], group.Commit)
		}
	}
	for _, h := range f.StorageNodes() {
		for _, group := range h.StateView().Groups {
			if group.StableIndex+maxReplicaLag < commit[group.Group] {
				problems = append(problems, fmt.Sprintf("%s holds %s to %d of %d", h.Name, group.Group, group.StableIndex, commit[group.Group]))
			}
		}
	}
	return problems
}

// verifySubmissionDelays: no submission that was sent within a window after one of several
// moments waits longer than for a handover.
func (f *Fleet) verifySubmissionDelays(moments []eventloop.Micros, window eventloop.Micros, when string) []string {
	var problems []string
	sentAt := map[string]eventloop.Micros{}
	for _, e := range f.History {
		if e.Kind == checker.Submit && sentAt[e.Name] == 0 {
			sentAt[e.Name] = e.At
		}
		if e.Kind != checker.SubmitReply || e.Code != 201 || e.At-sentAt[e.Name] <= maxHandoverDelay {
			continue
		}
		for _, at := range moments {
			if sentAt[e.Name] >= at && sentAt[e.Name] < at+window {
				problems = append(problems, fmt.Sprintf("%s waited %d us %s", e.Name, e.At-sentAt[e.Name], when))
			}
		}
	}
	return problems
}

// leads reports whether a node leads a group, as it sees it itself.
func leads(view *replica.NodeStateView, group string) bool {
	return view != nil && slices.ContainsFunc(view.Groups, func(g *replica.GroupStateView) bool { return g.Group == group && g.Role == "leader" })
}
