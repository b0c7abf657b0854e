package replica

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"
	"strconv"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
)

func (h *Host) handleRequest(now eventloop.Micros, from string, m *schema.Request, effects eventloop.Effects) {
	r := h.groupFor(m)
	if r == nil || !r.group.IsLeader() || r.group.Transferee() != "" {
		effects.Send(from, &schema.Response{Id: m.Id, Group: m.Group, Leader: currentLeader(r)})
		return
	}
	pending := pendingReply{term: r.group.Term(), from: from, request: m}
	if (m.Kind == "cancel" || m.Kind == "clusterstate") && !h.canCommit(now, r) {
		h.reply(pending, 503, faultJSON("not_ready", "too many stores take no writes at the moment"), r.group, effects)
		return
	}
	switch m.Kind {
	case "status", "list", "counts", "plan", "history", "state":
		h.lastReadID++
		if r.group.ReadIndex(now, h.lastReadID) != nil {
			// Elected a moment ago: what is committed isn't known before our first record is.
			effects.Send(from, &schema.Response{Id: m.Id, Group: m.Group})
			return
		}
		r.pendingReads[h.lastReadID] = pending
	case "cancel":
		command := &schema.QueueCommand{Body: &schema.QueueCommand_Cancel{Cancel: &schema.Cancel{Name: m.Name}}}
		if index := h.proposeQueue(now, r, command); index > 0 {
			r.pendingCommands[index] = pending
		}
	case "clusterstate":
		// What can't be read mustn't get into the log: no replica could go on from it.
		if _, err := clusterstate.DecodeCommand(m.Body); err != nil {
			h.reply(pending, 400, faultJSON("bad_request", "the command can't be read"), r.group, effects)
			return
		}
		if index, _, err := r.group.Propose(now, m.Body); err == nil {
			r.pendingCommands[index] = pending
		}
	default:
		h.reply(pending, 400, faultJSON("bad_request", "no such request: "+m.Kind), r.group, effects)
	}
}

func (h *Host) groupFor(m *schema.Request) *replica {
	if m.Group == clusterstate.Group {
		return h.groups[clusterstate.Group]
	}
	if place := clusterstate.FindQueue(h.state, m.Group); place != nil {
		return h.groups[GroupName(place)]
	}
	return nil
}

func (h *Host) completeRead(now eventloop.Micros, r *replica, readID uint64, effects eventloop.Effects) {
	pending, found := r.pendingReads[readID]
	if !found {
		return
	}
	delete(r.pendingReads, readID)
	m := pending.request
	switch m.Kind {
	case "status":
		view, found := r.queue.JobView(m.Name)
		if !found {
			h.reply(pending, 404, faultJSON("unknown_job", "no job of this name is known in the queue"), r.group, effects)
			return
		}
		h.reply(pending, 200, mustMarshalJSON(view), r.group, effects)
	case "list":
		h.reply(pending, 200, mustMarshalJSON(r.queue.List(m.PageAfter, int(m.Limit))), r.group, effects)
	case "counts":
		h.reply(pending, 200, mustMarshalJSON(r.queue.Counts()), r.group, effects)
	case "plan":
		h.reply(pending, 200, clusterstate.Compress(configurationJSON(h.clusterState.Configuration())), r.group, effects)
	case "state":
		h.reply(pending, 200, h.encodeClusterState(now, pending), r.group, effects)
	case "history":
		history := h.clusterState.History()
		parts := make([]json.RawMessage, 0, len(history)+1)
		for _, configuration := range append(history[:len(history):len(history)], clusterstate.WithoutDocument(h.clusterState.Configuration())) {
			parts = append(parts, configurationJSON(configuration))
		}
		h.reply(pending, 200, clusterstate.Compress(mustMarshalJSON(parts)), r.group, effects)
	}
}

func (h *Host) reply(pending pendingReply, code int32, body []byte, group *raft.Group, effects eventloop.Effects) {
	effects.Send(pending.from, &schema.Response{Id: pending.request.Id, Code: code, Body: body, Leader: h.id, Group: pending.request.Group})
}

func (h *Host) replyClusterStateResult(pending pendingReply, result *clusterstate.Result, r *replica, effects eventloop.Effects) {
	var body []byte
	switch {
	case result.Error != nil:
		body = mustMarshalJSON(result.Error)
	case result.Configuration != nil:
		// Who has sent the document needn't get it back.
		body = clusterstate.Compress(configurationJSON(clusterstate.WithoutDocument(result.Configuration)))
	default:
		body = mustMarshalJSON(map[string]uint64{"lease": result.FencingToken})
	}
	h.reply(pending, result.Code, body, r.group, effects)
}

func configurationJSON(configuration *schema.Configuration) []byte {
	data, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(configuration)
	if err != nil {
		return faultJSON("internal", err.Error())
	}
	return data
}

func jobViewOrFault(view *schema.JobView) []byte {
	if view == nil {
		return faultJSON("unknown_job", "no job of this name is known in the queue")
	}
	return mustMarshalJSON(view)
}

func faultJSON(code, message string) []byte {
	return mustMarshalJSON(&schema.Error{Code: code, Message: message})
}

func mustMarshalJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic("replica: " + err.Error())
	}
	return data
}

// sendClusterState answers whoever carries a copy of the cluster state.
func (h *Host) sendClusterState(now eventloop.Micros, from string, m *schema.ClusterStateRequest, effects eventloop.Effects) {
	r := h.groups[clusterstate.Group]
	// A copy that may be behind would only hold the asker back.
	if !h.isClusterStateFresh(now) {
		return
	}
	update := &schema.ClusterStateResponse{
		Sequence: m.Sequence, AgeUs: int64(now - r.group.FreshAsOf()), Version: h.state.Version,
		Leaders: h.leaders(), ControllerLeaseExpiresUs: h.clusterState.ControllerLeaseExpiry(),
	}
	if h.state.Version > m.Version {
		update.State, update.ConfigurationOmitted = h.clusterState.EncodeUpdate(h.state, m.HeldRevision)
		if !update.ConfigurationOmitted && h.suppressResend(now, from, update.State.Configuration) {
			// Its leaders and the controller's lease are news to a side; a front is
			// ready only with the whole, and waits for it.
			if update.State = nil; !h.isAgentNode(from) {
				return
			}
		}
	}
	// Of the sides only the controller reads how the groups stand; the others ask
	// often, and there is a note for every queue.
	needsGroupStatus := from == h.state.ControllerLease.GetHolder() || !h.isAgentNode(from)
	for _, name := range h.groupNamesInOrder() {
		r := h.groups[name]
		if needsGroupStatus && r.group.IsLeader() {
			update.QueueStatuses = append(update.QueueStatuses, h.groupStatus(r))
		}
	}
	effects.Send(from, update)
}

// encodeClusterState is the cluster state for a front that holds an older one, or its version
// alone. A plan that is on its way there already isn't sent twice.
func (h *Host) encodeClusterState(now eventloop.Micros, pending pendingReply) []byte {
	known, update := &schema.ClusterStateRequest{}, &schema.ClusterStateResponse{Version: h.state.Version, Leaders: h.leaders()}
	if proto.Unmarshal(pending.request.Body, known) != nil || known.Version < h.state.Version {
		update.State, update.ConfigurationOmitted = h.clusterState.EncodeUpdate(h.state, known.HeldRevision)
		if !update.ConfigurationOmitted && h.suppressResend(now, pending.from, update.State.Configuration) {
			update.State = nil
		}
	}
	data, err := proto.Marshal(update)
	if err != nil {
		panic("replica: " + err.Error())
	}
	return data
}

// leaders names who leads each group that has a replica here.
func (h *Host) leaders() map[string]string {
	leaders := map[string]string{}
	for _, name := range h.groupNamesInOrder() {
		r := h.groups[name]
		leaders[cmp.Or(r.name, clusterstate.Group)] = r.group.Leader()
	}
	return leaders
}

// isAgentNode tells whether a process is known to be a side.
func (h *Host) isAgentNode(id string) bool {
	return h.membership != nil && h.membership.Members[id].Member.GetRole() == schema.Role_ROLE_CONTROLLER
}

func (h *Host) groupStatus(r *replica) *schema.QueueStatus {
	g := r.group
	status := &schema.QueueStatus{
		Group: g.Name(), Queue: r.name, Leader: h.id, Voters: g.MemberSet().Voters, Learners: g.MemberSet().Learners,
		ReplicaLag: map[string]uint64{}, StorageExhausted: h.disk.isLow,
	}
	for _, id := range append(append([]string(nil), status.Voters...), status.Learners...) {
		if id != h.id {
			match, _ := g.PeerProgress(id)
			status.ReplicaLag[id] = g.LastIndex() - match
		}
	}
	for _, id := range status.Learners {
		if !g.IsCaughtUp(id) {
			status.ReplicaLag[id] = max(status.ReplicaLag[id], raft.MaxLearnerLag+1)
		}
	}
	if r.queue != nil {
		status.LiveJobs, status.RetainedJobs, status.EndedJobs = uint32(r.queue.LiveJobs()), uint32(r.queue.RetainedJobs()), r.queue.EndedJobs()
		seen := map[string]bool{}
		for _, session := range r.queue.Sessions() {
			key := session.Gateway + "/" + strconv.FormatUint(session.Incarnation, 10)
			if !seen[key] {
				seen[key] = true
				status.Gateways = append(status.Gateways, &schema.ExpiredGateway{Gateway: session.Gateway, Incarnation: session.Incarnation})
			}
		}
	}
	return status
}

// GroupStateView is what a node believes of one group.
type GroupStateView struct {
	Group        string   `json:"group"`
	Role         string   `json:"role"`
	Leader       string   `json:"leader"`
	Term         uint64   `json:"term"`
	Commit       uint64   `json:"commit"`
	Applied      uint64   `json:"applied"`
	Last         uint64   `json:"last"`
	Stable       uint64   `json:"stable"`
	Released     uint64   `json:"released"`
	Voters       []string `json:"voters"`
	Learners     []string `json:"learners,omitempty"`
	LiveJobs     int      `json:"live_jobs"`
	RetainedJobs int      `json:"kept_jobs"`
	Sessions     int      `json:"sessions"`
	Reenqueues   uint64   `json:"carries"`
	Digest       string   `json:"digest"` // of the state at `applied`
}

// NodeStateView is what a node believes.
type NodeStateView struct {
	Node                  string                   `json:"node"`
	ClusterStateVersion   uint64                   `json:"cluster_state_version"`
	ConfigurationRevision uint64                   `json:"plan_generation"`
	IsClusterStateFresh   bool                     `json:"cluster_state_fresh"`
	Controller            string                   `json:"controller"`
	ControllerLease       uint64                   `json:"controller_lease"`
	ReadOnlyReason        string                   `json:"store_refuses,omitempty"` // why the store takes no writes
	Groups                []*GroupStateView        `json:"groups"`
	WorkerLeases          []*schema.WorkerLease    `json:"wards"`
	Queues                []*schema.QueuePlacement `json:"queues"`
	Members               []*schema.Member         `json:"members"`
	FaultTolerance        *FaultTolerance          `json:"bears"`
	HasHandoverPending    bool                     `json:"needed"` // it has something to hand over before it may leave
}

func (h *Host) stateView(now eventloop.Micros) *NodeStateView {
	view := &NodeStateView{
		Node: h.id, ClusterStateVersion: h.state.Version, ConfigurationRevision: h.state.Configuration.GetRevision(), WorkerLeases: h.state.WorkerLeases, Queues: h.state.Queues,
		Controller: h.state.ControllerLease.GetHolder(), ControllerLease: h.state.ControllerLease.GetFencingToken(), HasHandoverPending: h.hasHandoverPending(now), FaultTolerance: h.faultTolerance(now),
		ReadOnlyReason: h.readOnlyReason(now),
	}
	for _, name := range h.groupNamesInOrder() {
		r := h.groups[name]
		g := r.group
		groupView := &GroupStateView{
			Group: name, Role: g.Role(), Leader: g.Leader(), Term: g.Term(), Commit: g.CommitIndex(), Applied: g.AppliedIndex(),
			Last: g.LastIndex(), Stable: g.StableIndex(), Released: g.SnapshotIndex(), Voters: g.MemberSet().Voters, Learners: g.MemberSet().Learners,
		}
		if r.queue != nil {
			groupView.LiveJobs, groupView.RetainedJobs, groupView.Reenqueues, groupView.Sessions = r.queue.LiveJobs(), r.queue.RetainedJobs(), r.queue.Reenqueues(), len(r.queue.Sessions())
			groupView.Digest = Digest(r.queue.Snapshot(true))
		} else {
			groupView.Digest = Digest(h.clusterState.Snapshot())
			view.IsClusterStateFresh = h.isClusterStateFresh(now)
		}
		view.Groups = append(view.Groups, groupView)
	}
	if h.membership != nil {
		for _, known := range h.membership.Members {
			view.Members = append(view.Members, known.Member)
		}
		sort.Slice(view.Members, func(a, groupView int) bool { return view.Members[a].Id < view.Members[groupView].Id })
	}
	return view
}

// EncodeClusterStateCommand encodes a cluster state command for a request, packed if it is large.
func EncodeClusterStateCommand(command *schema.ClusterStateCommand) []byte {
	data, err := proto.Marshal(command)
	if err != nil {
		panic("replica: " + err.Error())
	}
	return clusterstate.Compress(data)
}

// Digest is a state's digest as `belief` shows it.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:8])
}
