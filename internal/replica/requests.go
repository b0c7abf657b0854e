package replica

// This file handles the requests of callers: reads of a state machine, cancels, and commands
// for the cluster state.

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

// Kinds of requests, as schema.Request.Kind names them.
const (
	requestJobStatus     = "status"
	requestJobList       = "list"
	requestQueueCounts   = "counts"
	requestConfiguration = "plan"
	requestHistory       = "history" // the current and previous configurations, without their documents
	requestClusterState  = "state"
	requestCancel        = "cancel"
	requestCommand       = "clusterstate" // changes the cluster state
)

// Error codes of replies.
const (
	codeNotReady       = "not_ready"
	codeBadRequest     = "bad_request"
	codeUnknownJob     = "unknown_job"
	codeOtherTenant    = "other_tenant"
	codeTooManyCancels = "too_many_cancels"
	codeInternal       = "internal"
)

const (
	unknownJobMessage     = "no job of this name is known in the queue"
	otherTenantMessage    = "the job is another tenant's"
	tooManyCancelsMessage = "no job of this name is known, and the queue remembers too many cancelled names to bar another; send the cancel again"
)

// pendingReply is a request or task report whose reply waits until its command is applied or
// its read is confirmed.
type pendingReply struct {
	term    uint64 // term in which this node accepted it as leader
	from    string // process to reply to; empty: the scheduler of this process
	request *schema.Request
	report  *schema.TaskEndReport
}

// handleRequest starts a caller's read or proposes its command if this node leads the
// group. Otherwise it replies with the leader that this node knows.
func (h *Host) handleRequest(now eventloop.Micros, from string, m *schema.Request, effects eventloop.Effects) {
	r := h.replicaFor(m)
	if r == nil || !r.group.IsLeader() || r.group.Transferee() != "" {
		effects.Send(from, &schema.Response{Id: m.Id, Group: m.Group, Leader: currentLeader(r)})
		return
	}
	pending := pendingReply{term: r.group.Term(), from: from, request: m}
	if isQueueRequest(m.Kind) != (m.Group != clusterstate.GroupName) {
		h.reply(pending, http.StatusBadRequest, errorJSON(codeBadRequest, "this group doesn't answer requests of kind "+m.Kind), effects)
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
		h.handleCommand(now, r, pending, effects)
	default:
		h.reply(pending, http.StatusBadRequest, errorJSON(codeBadRequest, "unknown kind of request: "+m.Kind), effects)
	}
}

// isQueueRequest reports whether requests of this kind are answered by the groups of queues.
// The cluster state's group answers all others.
func isQueueRequest(kind string) bool {
	switch kind {
	case requestJobStatus, requestJobList, requestQueueCounts, requestCancel:
		return true
	}
	return false
}

// replicaFor returns this node's replica of the group that a request addresses. It returns
// nil if there is none.
func (h *Host) replicaFor(m *schema.Request) *replica {
	if m.Group == clusterstate.GroupName {
		return h.groups[clusterstate.GroupName]
	}
	return h.queueReplica(m.Group)
}

// completeRead answers a pending read whose read index is confirmed and applied.
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

// jobStatus returns the reply to a status request. For another tenant's job it is an error.
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

// listJobs returns a page of a queue's jobs. It leaves out those of other tenants, so the page
// may hold fewer jobs than the request's limit.
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

// leaseReply is the body of the reply to a command of the cluster state whose result has
// neither an error nor a configuration.
type leaseReply struct {
	Lease uint64 `json:"lease"` // fencing token; 0 except after a claim of the controller lease
}

// replyClusterStateResult sends the caller the result of an applied command of the cluster
// state.
func (h *Host) replyClusterStateResult(pending pendingReply, result *clusterstate.Result, effects eventloop.Effects) {
	var body []byte
	switch {
	case result.Error != nil:
		body = mustMarshalJSON(result.Error)
	case result.Configuration != nil:
		// The caller sent the document, so the reply leaves it out.
		body = clusterstate.Compress(configurationJSON(clusterstate.WithoutDocument(result.Configuration)))
	default:
		body = mustMarshalJSON(leaseReply{Lease: result.FencingToken})
	}
	h.reply(pending, result.Code, body, effects)
}

// historyJSON returns the previous configurations and the current one as a JSON array, all
// without their documents.
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

// cancelBody returns the body of the reply to an applied cancel command.
func cancelBody(result *queue.Effects) []byte {
	switch {
	case result.CancelCode == http.StatusForbidden:
		return errorJSON(codeOtherTenant, otherTenantMessage)
	case result.CancelCode == http.StatusServiceUnavailable:
		return errorJSON(codeTooManyCancels, tooManyCancelsMessage)
	case result.CancelView == nil:
		return errorJSON(codeUnknownJob, unknownJobMessage)
	}
	return mustMarshalJSON(result.CancelView)
}

func errorJSON(code, message string) []byte {
	return mustMarshalJSON(&schema.Error{Code: code, Message: message})
}

// mustMarshalJSON encodes a value as JSON. It panics on an error, which none of the types that
// are passed to it can cause.
func mustMarshalJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic("replica: failed to encode a reply as JSON: " + err.Error())
	}
	return data
}

// mustMarshal encodes a message. It panics on an error, which a message of the schema can cause
// only by containing invalid UTF-8.
func mustMarshal(message proto.Message) []byte {
	data, err := proto.Marshal(message)
	if err != nil {
		panic("replica: failed to encode a message: " + err.Error())
	}
	return data
}

// EncodeClusterStateCommand encodes a command for the body of a request, and compresses it if
// it is large. It panics if a string in the command contains invalid UTF-8.
func EncodeClusterStateCommand(command *schema.ClusterStateCommand) []byte {
	return clusterstate.Compress(mustMarshal(command))
}
