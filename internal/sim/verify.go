package sim

import (
	"fmt"
	"slices"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/replica"
)

const (
	minGroups     = 5   // least number of groups with the default configuration
	maxReplicaLag = 200 // log entries that may still be missing from a replica that counts as caught up
)

// verifyRepaired reports groups that don't have exactly three voters, or whose voters aren't
// all up, and too few groups with a leader.
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
			problems = append(problems, fmt.Sprintf("group %s has the voters %v, of which %d are up", group.Group, group.Voters, live))
		}
	}
	if len(led) < minGroups {
		problems = append(problems, fmt.Sprintf("only %d groups have a leader", len(led)))
	}
	return problems
}

// ledGroups returns the state of the groups according to their leaders.
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

// verifyCaughtUp reports what verifyRepaired reports, storage nodes without storage or with a
// disk that refuses writes, and replicas that lag behind the others of their group.
func verifyCaughtUp(f *Fleet) []string {
	problems := append(verifyRepaired(f), f.problems...)
	commit := map[string]uint64{} // highest commit index by group
	for _, h := range f.StorageNodes() {
		view := h.StateView()
		if view == nil {
			problems = append(problems, h.Name+" is down or has started without storage")
			continue
		}
		if view.ReadOnlyReason != "" {
			problems = append(problems, h.Name+" still reports that its disk refuses writes: "+view.ReadOnlyReason)
		}
		for _, group := range view.Groups {
			commit[group.Group] = max(commit[group.Group], group.Commit)
		}
	}
	for _, h := range f.StorageNodes() {
		for _, group := range h.StateView().Groups {
			if group.StableIndex+maxReplicaLag < commit[group.Group] {
				problems = append(problems, fmt.Sprintf("%s has the log of %s only to index %d, but %d is committed", h.Name, group.Group, group.StableIndex, commit[group.Group]))
			}
		}
	}
	return problems
}

// verifySubmissionDelays reports submissions that waited longer than maxHandoverDelay and were
// first sent within a window after one of the given times. The text when ends each message.
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
				problems = append(problems, fmt.Sprintf("the submission of %s waited %d us %s", e.Name, e.At-sentAt[e.Name], when))
			}
		}
	}
	return problems
}

// leads reports whether a node regards itself as the leader of a group.
func leads(view *replica.NodeStateView, group string) bool {
	return view != nil && slices.ContainsFunc(view.Groups, func(g *replica.GroupStateView) bool { return g.Group == group && g.Role == "leader" })
}
