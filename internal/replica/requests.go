package replica

// Requests of callers: reads of a state machine, cancels, and commands of the cluster
// state.

import (
	"encoding/json"
	"net/http"
	"slices"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

// Kinds of requests.
const (
	requestJobStatus     = "status"
	requestJobList       = "list"
	requestQueueCounts   = "counts"
	requestConfiguration = "plan"
	requestHistory       = "history" // of configurations
	requestClusterState  = "state"
	requestCancel        = "cancel"
	requestCommand       = "clusterstate" // changes the cluster state
)

// Error codes of replies.
const (
	codeNotReady    = "not_ready"
	codeBadRequest  = "bad_request"
	codeUnknownJob  = "unknown_job"
	codeOtherTenant = "other_tenant"
	codeInternal    = "internal"
)

const (
	unknownJobMessage  = "no job of this name is known in the queue"
	otherTenantMessage = "the job is another tenant's"
)

// pendingReply is a request or task report that waits for its reply: until its command is
// applied, or its read confirmed.
type pendingReply struct {
	term    uint64 // of the leadership that took it
	from    string // process to answer; empty: a component of this one
	request *schema.Request
	report  *schema.TaskEndReport
}

// handleRequest answers a caller's request, or proposes its command, if this node leads
// the group. If it doesn't, the reply names the leader.
func (h *Host) handleRequest(now eventloop.Micros, from string, m *schema.Request, effects eventloop.Effects) {
	r := h.replicaFor(m)
	if r == nil || !r.group.IsLeader() || r.group.Transferee() != "" {
		effects.Send(from, &schema.Response{Id: m.Id, Group: m.Group, Leader: currentLeader(r)})
		return
	}
	pending := pendingReply{term: r.group.Term(), from: from, request: m}
	if isQueueRequest(m.Kind) != (m.Group != clusterstate.GroupName) {
		h.reply(pending, http.StatusBadRequest, errorJSON(codeBadRequest, "no such request of this group: "+m.Kind), effects)
		return
	}
	if (m.Kind == requestCancel || m.Kind == requestCommand) && !h.canCommit(now, r) {
		h.reply(pending, http.StatusServiceUnavailable, errorJSON(codeNotReady, "too few of the group's voters can write at the moment"), effects)
		return
	}
	switch m.Kind {
	case requestJobStatus, requestJobList, requestQueueCounts, requestConfiguration, requestHistory, requestClusterState:
		h.lastReadID++
		if r.group.ReadIndex(now, h.lastReadID) != nil {
			// A new leader doesn't know the commit index before its first entry is
			// committed (Raft, section 8).
			effects.Send(from, &schema.Response{Id: m.Id, Group: m.Group})
			return
		}
		r.pendingReads[h.lastReadID] = pending
	case requestCancel:
		command := &schema.QueueCommand{Body: &schema.QueueCommand_Cancel{Cancel: &schema.Cancel{Name: m.Name, Tenant: m.Tenant}}}
		if index := h.proposeQueue(now, r, command); index > 0 {
			r.pendingCommands[index] = pending
		}
	case requestCommand:
		// A command that can't be decoded must not get into the log: no replica could
		// apply it.
		if _, err := clusterstate.DecodeCommand(m.Body); err != nil {
			h.reply(pending, http.StatusBadRequest, errorJSON(codeBadRequest, "the command can't be read"), effects)
			return
		}
		if index, _, err := r.group.Propose(now, m.Body); err == nil {
			r.pendingCommands[index] = pending
		}
	default:
		h.reply(pending, http.StatusBadRequest, errorJSON(codeBadRequest, "no such request: "+m.Kind), effects)
	}
}

// isQueueRequest reports whether queues answer requests of a kind; the cluster state answers
// the others.
func isQueueRequest(kind string) bool {
	switch kind {
	case requestJobStatus, requestJobList, requestQueueCounts, requestCancel:
		return true
	}
	return false
}

// replicaFor is the replica that a request is for; nil: this node has none.
func (h *Host) replicaFor(m *schema.Request) *replica {
	if m.Group == clusterstate.GroupName {
		return h.groups[clusterstate.GroupName]
	}
	return h.queueReplica(m.Group)
}

// completeRead answers a read whose index is confirmed and applied.
func (h *Host) completeRead(now eventloop.Micros, r *replica, readID uint64, effects eventloop.Effects) {
	pending, found := r.pendingReads[readID]
	if !found {
		return
	}
	delete(r.pendingReads, readID)
	switch m := pending.request; m.Kind {
	case requestJobStatus:
		code, body := jobStatus(r.queue, m)
		h.reply(pending, code, body, effects)
	case requestJobList:
		h.reply(pending, http.StatusOK, mustMarshalJSON(listJobs(r.queue, m)), effects)
	case requestQueueCounts:
		h.reply(pending, http.StatusOK, mustMarshalJSON(r.queue.Counts()), effects)
	case requestConfiguration:
		h.reply(pending, http.StatusOK, clusterstate.Compress(configurationJSON(h.stateMachine.Configuration())), effects)
	case requestClusterState:
		h.reply(pending, http.StatusOK, h.encodeClusterState(now, pending), effects)
	case requestHistory:
		h.reply(pending, http.StatusOK, clusterstate.Compress(h.historyJSON()), effects)
	}
}

// jobStatus answers a status request: another tenant's job isn't shown.
func jobStatus(machine *queue.Machine, m *schema.Request) (code int32, body []byte) {
	view, found := machine.JobView(m.Name)
	switch {
	case !found:
		return http.StatusNotFound, errorJSON(codeUnknownJob, unknownJobMessage)
	case queue.IsOtherTenant(view.Tenant, m.Tenant):
		return http.StatusForbidden, errorJSON(codeOtherTenant, otherTenantMessage)
	}
	return http.StatusOK, mustMarshalJSON(view)
}

// listJobs is a page of a queue's jobs without those of other tenants, so it may hold fewer
// than its limit.
func listJobs(machine *queue.Machine, m *schema.Request) *schema.JobList {
	page := machine.List(m.PageAfter, int(m.Limit))
	page.Jobs = slices.DeleteFunc(page.Jobs, func(view *schema.JobView) bool {
		return queue.IsOtherTenant(view.Tenant, m.Tenant)
	})
	return page
}

func (h *Host) reply(pending pendingReply, code int32, body []byte, effects eventloop.Effects) {
	effects.Send(pending.from, &schema.Response{Id: pending.request.Id, Code: code, Body: body, Leader: h.id, Group: pending.request.Group})
}

// leaseReply is the body of a reply whose result has neither an error nor a configuration.
// The token is 0 except after a claim of the controller lease.
type leaseReply struct {
	Lease uint64 `json:"lease"`
}

// replyClusterStateResult answers an applied command of the cluster state.
func (h *Host) replyClusterStateResult(pending pendingReply, result *clusterstate.Result, effects eventloop.Effects) {
	var body []byte
	switch {
	case result.Error != nil:
		body = mustMarshalJSON(result.Error)
	case result.Configuration != nil:
		// The sender has the document already.
		body = clusterstate.Compress(configurationJSON(clusterstate.WithoutDocument(result.Configuration)))
	default:
		body = mustMarshalJSON(leaseReply{Lease: result.FencingToken})
	}
	h.reply(pending, result.Code, body, effects)
}

// historyJSON lists the previous configurations and the current one, all without their
// documents.
func (h *Host) historyJSON() []byte {
	history := h.stateMachine.History()
	parts := make([]json.RawMessage, 0, len(history)+1)
	for _, configuration := range history {
		parts = append(parts, configurationJSON(configuration))
	}
	parts = append(parts, configurationJSON(clusterstate.WithoutDocument(h.stateMachine.Configuration())))
	return mustMarshalJSON(parts)
}

func configurationJSON(configuration *schema.Configuration) []byte {
	data, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(configuration)
	if err != nil {
		return errorJSON(codeInternal, err.Error())
	}
	return data
}

// cancelBody is the body of the reply to an applied cancel.
func cancelBody(result *queue.Effects) []byte {
	switch {
	case result.CancelCode == http.StatusForbidden:
		return errorJSON(codeOtherTenant, otherTenantMessage)
	case result.CancelView == nil:
		return errorJSON(codeUnknownJob, unknownJobMessage)
	}
	return mustMarshalJSON(result.CancelView)
}

func errorJSON(code, message string) []byte {
	return mustMarshalJSON(&schema.Error{Code: code, Message: message})
}

// mustMarshalJSON panics on an error: none of the types that are passed can cause one.
func mustMarshalJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic("replica: " + err.Error())
	}
	return data
}

// mustMarshal panics on an error, which a message of ours can only cause by invalid UTF-8.
func mustMarshal(message proto.Message) []byte {
	data, err := proto.Marshal(message)
	if err != nil {
		panic("replica: " + err.Error())
	}
	return data
}

// EncodeClusterStateCommand encodes a command for the body of a request, compressed if
// it is large.
func EncodeClusterStateCommand(command *schema.ClusterStateCommand) []byte {
	return clusterstate.Compress(mustMarshal(command))
}
