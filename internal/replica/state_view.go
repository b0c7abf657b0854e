package replica

// This file builds the state view: this node's possibly stale view of the cluster, for
// operators.

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// NodeStateView is this node's view of the cluster, as GET /v1/belief returns it. The view may
// be stale. IsClusterStateFresh reports whether its copy of the cluster state is fresh.
type NodeStateView struct {
	Node                  string                   `json:"node"`
	ClusterStateVersion   uint64                   `json:"cluster_state_version"`
	ConfigurationRevision uint64                   `json:"plan_generation"`
	IsClusterStateFresh   bool                     `json:"cluster_state_fresh"`
	Controller            string                   `json:"controller"`
	ControllerLease       uint64                   `json:"controller_lease"`        // fencing token of the controller lease
	ReadOnlyReason        string                   `json:"store_refuses,omitempty"` // why the storage takes no writes; empty if it does
	Groups                []*GroupStateView        `json:"groups"`
	WorkerLeases          []*schema.WorkerLease    `json:"wards"`
	Queues                []*schema.QueuePlacement `json:"queues"`
	Members               []*schema.Member         `json:"members"`
	FaultTolerance        *FaultToleranceView      `json:"bears"`
	HasHandoverPending    bool                     `json:"needed"` // the node must hand over leadership or a vote before it may shut down
}

// GroupStateView is this node's view of a Raft group of which it has a replica. Commit, Applied,
// LastIndex, StableIndex and SnapshotIndex are log indexes.
type GroupStateView struct {
	Group         string   `json:"group"`
	Role          string   `json:"role"`
	Leader        string   `json:"leader"`
	Term          uint64   `json:"term"`
	Commit        uint64   `json:"commit"`
	Applied       uint64   `json:"applied"`
	LastIndex     uint64   `json:"last"`
	StableIndex   uint64   `json:"stable"`
	SnapshotIndex uint64   `json:"released"`
	Voters        []string `json:"voters"`
	Learners      []string `json:"learners,omitempty"`
	LiveJobs      int      `json:"live_jobs"`
	RetainedJobs  int      `json:"kept_jobs"`
	Sessions      int      `json:"sessions"`
	Reenqueues    uint64   `json:"carries"`
	Digest        string   `json:"digest"` // digest of the state at Applied, as the function Digest returns it

	CancelledNames int    `json:"cancelled_names,omitempty"`
	CommandVersion uint32 `json:"command_version,omitempty"` // version of the rules that the queue's replicas follow
}

// stateView returns this node's current view of the cluster.
func (h *Host) stateView(now eventloop.Micros) *NodeStateView {
	view := &NodeStateView{
		Node: h.id, ClusterStateVersion: h.sharedState.Version, ConfigurationRevision: h.sharedState.Configuration.GetRevision(),
		IsClusterStateFresh: h.isClusterStateFresh(now), WorkerLeases: h.sharedState.WorkerLeases, Queues: h.sharedState.Queues,
		Controller: h.sharedState.ControllerLease.GetHolder(), ControllerLease: h.sharedState.ControllerLease.GetFencingToken(),
		HasHandoverPending: h.hasHandoverPending(now), FaultTolerance: h.faultTolerance(now), ReadOnlyReason: h.readOnlyReason(now),
	}
	for _, name := range h.groupNames() {
		view.Groups = append(view.Groups, h.groupStateView(h.groups[name]))
	}
	if h.membership != nil {
		for _, status := range h.membership.Members {
			view.Members = append(view.Members, status.Member)
		}
		sort.Slice(view.Members, func(a, b int) bool { return view.Members[a].Id < view.Members[b].Id })
	}
	return view
}

func (h *Host) groupStateView(r *replica) *GroupStateView {
	g := r.group
	view := &GroupStateView{
		Group: g.Name(), Role: g.Role(), Leader: g.Leader(), Term: g.Term(), Commit: g.CommitIndex(), Applied: g.CommitIndex(),
		LastIndex: g.LastIndex(), StableIndex: g.StableIndex(), SnapshotIndex: g.SnapshotIndex(), Voters: g.MemberSet().Voters, Learners: g.MemberSet().Learners,
	}
	if r.queue == nil {
		view.Digest = Digest(h.stateMachine.Snapshot())
		return view
	}
	view.LiveJobs, view.RetainedJobs = r.queue.LiveJobs(), r.queue.RetainedJobs()
	view.Reenqueues, view.Sessions = r.queue.Reenqueues(), len(r.queue.Sessions())
	view.CancelledNames, view.CommandVersion = r.queue.CancelledNames(), r.queue.Settings().CommandVersion
	view.Digest = Digest(r.queue.Snapshot(true))
	return view
}

// Digest returns the digest of an encoded state as the state view shows it: the first 8 bytes
// of the state's SHA-256 hash, in hexadecimal.
func Digest(state []byte) string {
	sum := sha256.Sum256(state)
	return hex.EncodeToString(sum[:8])
}
