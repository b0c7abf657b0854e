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

func (t *Table) request(now eventloop.Micros, from string, m *schema.Request, out eventloop.Effects) {
	r := t.groupFor(m)
	if r == nil || !r.group.IsLeader() || r.group.Transferee() != "" {
		out.Send(from, &schema.Response{Id: m.Id, Group: m.Group, Leader: leaderOf(r)})
		return
	}
	asked := waiter{term: r.group.Term(), from: from, request: m}
	if (m.Kind == "cancel" || m.Kind == "clusterstate") && !t.canCommit(now, r) {
		t.reply(asked, 503, faultBody("not_ready", "too many stores take no writes at the moment"), r.group, out)
		return
	}
	switch m.Kind {
	case "status", "list", "counts", "plan", "history", "state":
		t.reads++
		if r.group.ReadIndex(now, t.reads) != nil {
			// Elected a moment ago: what is committed isn't known before our first record is.
			out.Send(from, &schema.Response{Id: m.Id, Group: m.Group})
			return
		}
		r.reading[t.reads] = asked
	case "cancel":
		command := &schema.QueueCommand{Body: &schema.QueueCommand_Cancel{Cancel: &schema.Cancel{Name: m.Name}}}
		if index := t.proposeQueue(now, r, command); index > 0 {
			r.waiting[index] = asked
		}
	case "clusterstate":
		// What can't be read mustn't get into the log: no replica could go on from it.
		if _, err := clusterstate.DecodeCommand(m.Body); err != nil {
			t.reply(asked, 400, faultBody("bad_request", "the command can't be read"), r.group, out)
			return
		}
		if index, _, err := r.group.Propose(now, m.Body); err == nil {
			r.waiting[index] = asked
		}
	default:
		t.reply(asked, 400, faultBody("bad_request", "no such request: "+m.Kind), r.group, out)
	}
}

func (t *Table) groupFor(m *schema.Request) *replica {
	if m.Group == clusterstate.Group {
		return t.groups[clusterstate.Group]
	}
	if place := clusterstate.FindQueue(t.state, m.Group); place != nil {
		return t.groups[GroupOf(place)]
	}
	return nil
}

func (t *Table) read(now eventloop.Micros, r *replica, number uint64, out eventloop.Effects) {
	asked, isKnown := r.reading[number]
	if !isKnown {
		return
	}
	delete(r.reading, number)
	m := asked.request
	switch m.Kind {
	case "status":
		view, isFound := r.queue.View(m.Name)
		if !isFound {
			t.reply(asked, 404, faultBody("unknown_job", "no job of this name is known in the queue"), r.group, out)
			return
		}
		t.reply(asked, 200, mustJSON(view), r.group, out)
	case "list":
		t.reply(asked, 200, mustJSON(r.queue.List(m.PageAfter, int(m.Limit))), r.group, out)
	case "counts":
		t.reply(asked, 200, mustJSON(r.queue.Counts()), r.group, out)
	case "plan":
		t.reply(asked, 200, clusterstate.Compress(planBody(t.clusterState.Configuration())), r.group, out)
	case "state":
		t.reply(asked, 200, t.stateBody(now, asked), r.group, out)
	case "history":
		history := t.clusterState.History()
		parts := make([]json.RawMessage, 0, len(history)+1)
		for _, plan := range append(history[:len(history):len(history)], clusterstate.WithoutDocument(t.clusterState.Configuration())) {
			parts = append(parts, planBody(plan))
		}
		t.reply(asked, 200, clusterstate.Compress(mustJSON(parts)), r.group, out)
	}
}

func (t *Table) reply(asked waiter, code int32, body []byte, group *raft.Group, out eventloop.Effects) {
	out.Send(asked.from, &schema.Response{Id: asked.request.Id, Code: code, Body: body, Leader: t.id, Group: asked.request.Group})
}

func (t *Table) answerClusterState(asked waiter, result *clusterstate.Result, r *replica, out eventloop.Effects) {
	var body []byte
	switch {
	case result.Error != nil:
		body = mustJSON(result.Error)
	case result.Configuration != nil:
		// Who has sent the document needn't get it back.
		body = clusterstate.Compress(planBody(clusterstate.WithoutDocument(result.Configuration)))
	default:
		body = mustJSON(map[string]uint64{"lease": result.FencingToken})
	}
	t.reply(asked, result.Code, body, r.group, out)
}

func planBody(plan *schema.Configuration) []byte {
	data, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(plan)
	if err != nil {
		return faultBody("internal", err.Error())
	}
	return data
}

func viewOrFault(view *schema.JobView) []byte {
	if view == nil {
		return faultBody("unknown_job", "no job of this name is known in the queue")
	}
	return mustJSON(view)
}

func faultBody(code, message string) []byte {
	return mustJSON(&schema.Error{Code: code, Message: message})
}

func mustJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic("replica: " + err.Error())
	}
	return data
}

// tellClusterState answers whoever carries a copy of the cluster state.
func (t *Table) tellClusterState(now eventloop.Micros, from string, m *schema.ClusterStateRequest, out eventloop.Effects) {
	r := t.groups[clusterstate.Group]
	// A copy that may be behind would only hold the asker back.
	if !t.isClusterStateFresh(now) {
		return
	}
	tell := &schema.ClusterStateResponse{
		Sequence: m.Sequence, AgeUs: int64(now - r.group.FreshAsOf()), Version: t.state.Version,
		Leaders: t.leaders(), ControllerLeaseExpiresUs: t.clusterState.ControllerLeaseExpiry(),
	}
	if t.state.Version > m.Version {
		tell.State, tell.ConfigurationOmitted = t.clusterState.EncodeUpdate(t.state, m.HeldRevision)
		if !tell.ConfigurationOmitted && t.isOnItsWay(now, from, tell.State.Configuration) {
			// Its leaders and the controller's lease are news to a side; a front is
			// ready only with the whole, and waits for it.
			if tell.State = nil; !t.isSide(from) {
				return
			}
		}
	}
	// Of the sides only the controller reads how the groups stand; the others ask
	// often, and there is a note for every queue.
	hasUse := from == t.state.ControllerLease.GetHolder() || !t.isSide(from)
	for _, name := range t.names() {
		each := t.groups[name]
		if hasUse && each.group.IsLeader() {
			tell.QueueStatuses = append(tell.QueueStatuses, t.note(each))
		}
	}
	out.Send(from, tell)
}

// stateBody is the cluster state for a front that holds an older one, or its version
// alone. A plan that is on its way there already isn't sent twice.
func (t *Table) stateBody(now eventloop.Micros, asked waiter) []byte {
	ask, tell := &schema.ClusterStateRequest{}, &schema.ClusterStateResponse{Version: t.state.Version, Leaders: t.leaders()}
	if proto.Unmarshal(asked.request.Body, ask) != nil || ask.Version < t.state.Version {
		tell.State, tell.ConfigurationOmitted = t.clusterState.EncodeUpdate(t.state, ask.HeldRevision)
		if !tell.ConfigurationOmitted && t.isOnItsWay(now, asked.from, tell.State.Configuration) {
			tell.State = nil
		}
	}
	data, err := proto.Marshal(tell)
	if err != nil {
		panic("replica: " + err.Error())
	}
	return data
}

// leaders names who leads each group that has a replica here.
func (t *Table) leaders() map[string]string {
	leaders := map[string]string{}
	for _, name := range t.names() {
		r := t.groups[name]
		leaders[cmp.Or(r.name, clusterstate.Group)] = r.group.Leader()
	}
	return leaders
}

// isSide tells whether a process is known to be a side.
func (t *Table) isSide(id string) bool {
	return t.roll != nil && t.roll.Members[id].Member.GetRole() == schema.Role_ROLE_CONTROLLER
}

func (t *Table) note(r *replica) *schema.QueueStatus {
	g := r.group
	note := &schema.QueueStatus{
		Group: g.Name(), Queue: r.name, Leader: t.id, Voters: g.MemberSet().Voters, Learners: g.MemberSet().Learners,
		ReplicaLag: map[string]uint64{}, StorageExhausted: t.room.isNarrow,
	}
	for _, id := range append(append([]string(nil), note.Voters...), note.Learners...) {
		if id != t.id {
			match, _ := g.PeerProgress(id)
			note.ReplicaLag[id] = g.LastIndex() - match
		}
	}
	for _, id := range note.Learners {
		if !g.IsCaughtUp(id) {
			note.ReplicaLag[id] = max(note.ReplicaLag[id], raft.MaxLearnerLag+1)
		}
	}
	if r.queue != nil {
		note.LiveJobs, note.RetainedJobs, note.EndedJobs = uint32(r.queue.Live()), uint32(r.queue.Kept()), r.queue.Ended()
		seen := map[string]bool{}
		for _, session := range r.queue.Boots() {
			key := session.Gateway + "/" + strconv.FormatUint(session.Incarnation, 10)
			if !seen[key] {
				seen[key] = true
				note.Gateways = append(note.Gateways, &schema.ExpiredGateway{Gateway: session.Gateway, Incarnation: session.Incarnation})
			}
		}
	}
	return note
}

// GroupBelief is what a node believes of one group.
type GroupBelief struct {
	Group    string   `json:"group"`
	Role     string   `json:"role"`
	Leader   string   `json:"leader"`
	Term     uint64   `json:"term"`
	Commit   uint64   `json:"commit"`
	Applied  uint64   `json:"applied"`
	Last     uint64   `json:"last"`
	Stable   uint64   `json:"stable"`
	Released uint64   `json:"released"`
	Voters   []string `json:"voters"`
	Learners []string `json:"learners,omitempty"`
	Live     int      `json:"live_jobs"`
	Kept     int      `json:"kept_jobs"`
	Sessions int      `json:"sessions"`
	Carries  uint64   `json:"carries"`
	Digest   string   `json:"digest"` // of the state at `applied`
}

// NodeBelief is what a node believes.
type NodeBelief struct {
	Node       string                   `json:"node"`
	Version    uint64                   `json:"cluster_state_version"`
	Generation uint64                   `json:"plan_generation"`
	Fresh      bool                     `json:"cluster_state_fresh"`
	Controller string                   `json:"controller"`
	Lease      uint64                   `json:"controller_lease"`
	Refusal    string                   `json:"store_refuses,omitempty"` // why the store takes no writes
	Groups     []*GroupBelief           `json:"groups"`
	Wards      []*schema.WorkerLease    `json:"wards"`
	Queues     []*schema.QueuePlacement `json:"queues"`
	Members    []*schema.Member         `json:"members"`
	Bears      *Bears                   `json:"bears"`
	IsNeeded   bool                     `json:"needed"` // it has something to hand over before it may leave
}

func (t *Table) belief(now eventloop.Micros) *NodeBelief {
	belief := &NodeBelief{
		Node: t.id, Version: t.state.Version, Generation: t.state.Configuration.GetRevision(), Wards: t.state.WorkerLeases, Queues: t.state.Queues,
		Controller: t.state.ControllerLease.GetHolder(), Lease: t.state.ControllerLease.GetFencingToken(), IsNeeded: t.isNeeded(now), Bears: t.bears(now),
		Refusal: t.refusalText(now),
	}
	for _, name := range t.names() {
		r := t.groups[name]
		g := r.group
		b := &GroupBelief{
			Group: name, Role: g.Role(), Leader: g.Leader(), Term: g.Term(), Commit: g.CommitIndex(), Applied: g.AppliedIndex(),
			Last: g.LastIndex(), Stable: g.StableIndex(), Released: g.SnapshotIndex(), Voters: g.MemberSet().Voters, Learners: g.MemberSet().Learners,
		}
		if r.queue != nil {
			b.Live, b.Kept, b.Carries, b.Sessions = r.queue.Live(), r.queue.Kept(), r.queue.Carries(), len(r.queue.Boots())
			b.Digest = Digest(r.queue.Rest(true))
		} else {
			b.Digest = Digest(t.clusterState.Snapshot())
			belief.Fresh = t.isClusterStateFresh(now)
		}
		belief.Groups = append(belief.Groups, b)
	}
	if t.roll != nil {
		for _, known := range t.roll.Members {
			belief.Members = append(belief.Members, known.Member)
		}
		sort.Slice(belief.Members, func(a, b int) bool { return belief.Members[a].Id < belief.Members[b].Id })
	}
	return belief
}

// ClusterStateBody encodes a cluster state command for a request, packed if it is large.
func ClusterStateBody(command *schema.ClusterStateCommand) []byte {
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
