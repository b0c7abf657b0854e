package httpapi

import (
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/kataras/iris/v12"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/gateway"
	"sparnotch/internal/process"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

const (
	maxJobBytes           = 256 << 10
	maxHeartbeatBytes     = 4 << 20
	maxConfigurationBytes = 4 << 20

	submitTimeout        = 10 * eventloop.Second
	readTimeout          = 5 * eventloop.Second
	configurationTimeout = 8 * eventloop.Second
	heartbeatTimeout     = 1200 * eventloop.Millisecond
	probeTimeout         = eventloop.Second

	defaultPageSize = 100
	maxPageSize     = 1000

	clientHeader = "Sparnotch-Client"

	// Accepted schemes in the Authorization header.
	keyScheme    = "Token"
	bearerScheme = "Bearer"

	workerNameRule = "a name has at most 63 characters: lower-case letters, digits, '.', '_' and '-'; the first is a letter or digit"
)

// messageFactory returns the message that posts a request to a component, with the request
// ID and the deadline that process.Node.Call assigns to it.
type messageFactory = func(id uint64, deadline eventloop.Micros) any

// callGateway posts a request to the gateway and writes the gateway's response. If there is
// none before the timeout, it reports an unknown outcome.
func (s *Server) callGateway(ctx iris.Context, timeout eventloop.Micros, newMessage messageFactory) {
	response, responded := s.node.Call(ctx.Request().Context(), process.GatewayComponent, timeout, newMessage).(gateway.Response)
	if !responded {
		response = gateway.Response{
			Code: http.StatusGatewayTimeout, RetryAfter: 1,
			Body: gateway.ErrorBody("unknown", "the request timed out, and it is not known whether it took effect; send it again", ""),
		}
	}
	writeResponse(ctx, response)
}

// requestLeader lets the gateway forward a request to the leader of the request's group, and
// writes the response.
func (s *Server) requestLeader(ctx iris.Context, timeout eventloop.Micros, request gateway.LeaderRequest) {
	s.callGateway(ctx, timeout, func(id uint64, deadline eventloop.Micros) any {
		request.RequestID, request.Deadline = id, deadline
		return request
	})
}

// writeStateView writes the state of one of this node's components, for debugging.
func (s *Server) writeStateView(ctx iris.Context, component string, newMessage messageFactory) {
	view := s.node.Call(ctx.Request().Context(), component, readTimeout, newMessage)
	if _, isRejected := view.(gateway.Response); view == nil || isRejected {
		writeError(ctx, http.StatusNotFound, "nothing_here", "the component whose state was requested isn't part of this process, or it didn't respond", "")
		return
	}
	writeJSON(ctx, view)
}

// clientName returns the client's name from the Sparnotch-Client header. If there is none, it
// returns the client's IP address, with dots instead of colons. If the name is invalid,
// clientName writes an error response and returns false.
func clientName(ctx iris.Context) (string, bool) {
	name := ctx.GetHeader(clientHeader)
	if name == "" {
		host, _, err := net.SplitHostPort(ctx.Request().RemoteAddr)
		if err != nil {
			return "unknown", true
		}
		return strings.ReplaceAll(host, ":", "."), true
	}
	if !gateway.IsValidName(name) {
		writeError(ctx, http.StatusBadRequest, "bad_client", gateway.NameRule, clientHeader)
		return "", false
	}
	return name, true
}

// keyHash returns the hash of the tenant's key that a request carries.
func keyHash(ctx iris.Context) string {
	return gateway.KeyHashOf(ctx.Request().Header.Values("Authorization"), keyScheme, bearerScheme)
}

func (s *Server) submitJob(ctx iris.Context) {
	queue, name := ctx.Params().Get("queue"), ctx.Params().Get("name")
	if !gateway.IsValidName(name) {
		writeError(ctx, http.StatusUnprocessableEntity, "bad_name", gateway.NameRule, "name")
		return
	}
	client, isValid := clientName(ctx)
	if !isValid {
		return
	}
	data, isRead := readBody(ctx, maxJobBytes)
	if !isRead {
		return
	}
	job := &schema.Job{}
	if !decodeJSON(ctx, data, job) {
		return
	}
	if invalid := gateway.ValidateJob(job); invalid != nil {
		writeResponse(ctx, gateway.Unprocessable(invalid))
		return
	}
	s.callGateway(ctx, submitTimeout, func(id uint64, deadline eventloop.Micros) any {
		return gateway.SubmitJob{
			RequestID: id, Queue: queue, Client: client, Name: name, Digest: gateway.Digest(job), Job: job, Deadline: deadline,
			KeyHash: keyHash(ctx),
		}
	})
}

func (s *Server) requestJob(ctx iris.Context, kind string) {
	s.requestLeader(ctx, readTimeout, gateway.LeaderRequest{
		Kind: kind, Group: ctx.Params().Get("queue"), Name: ctx.Params().Get("name"), KeyHash: keyHash(ctx),
	})
}

func (s *Server) listJobs(ctx iris.Context) {
	limit := defaultPageSize
	if limitParam := ctx.URLParam("most"); limitParam != "" {
		number, err := strconv.Atoi(limitParam)
		if err != nil || number < 1 || number > maxPageSize {
			writeError(ctx, http.StatusBadRequest, "bad_value", "the value must lie between 1 and "+strconv.Itoa(maxPageSize), "most")
			return
		}
		limit = number
	}
	s.requestLeader(ctx, readTimeout, gateway.LeaderRequest{
		Kind: gateway.KindList, Group: ctx.Params().Get("queue"), After: ctx.URLParam("after"), Limit: uint32(limit),
		KeyHash: keyHash(ctx),
	})
}

// readUpdate decodes an update of the configuration from the body of a request. If the body
// is invalid, readUpdate writes an error response and returns false.
func readUpdate(ctx iris.Context) (*schema.ConfigurationUpdate, bool) {
	data, isRead := readBody(ctx, maxConfigurationBytes)
	if !isRead {
		return nil, false
	}
	update := &schema.ConfigurationUpdate{}
	return update, decodeProtoJSON(ctx, data, update)
}

// putConfiguration replaces all rows of the configuration.
func (s *Server) putConfiguration(ctx iris.Context) {
	update, isRead := readUpdate(ctx)
	if !isRead {
		return
	}
	update.IsPatch, update.Removed = false, nil
	if invalid := clusterstate.ValidateRows(update.Rows); invalid != nil {
		writeResponse(ctx, gateway.Unprocessable(invalid))
		return
	}
	s.proposeUpdate(ctx, update)
}

// patchConfiguration sets and removes single rows of the configuration. The patch names the
// revision or version that it is based on.
func (s *Server) patchConfiguration(ctx iris.Context) {
	update, isRead := readUpdate(ctx)
	if !isRead {
		return
	}
	update.IsPatch = true
	s.proposeUpdate(ctx, update)
}

// proposeUpdate proposes an update of the configuration to the leader of the cluster state.
func (s *Server) proposeUpdate(ctx iris.Context, update *schema.ConfigurationUpdate) {
	update.NamesAreLabels = proto.Bool(update.GetNamesAreLabels())
	command := &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{
		UpdateConfiguration: &schema.UpdateConfiguration{Update: update},
	}}
	s.requestLeader(ctx, configurationTimeout, gateway.LeaderRequest{
		Kind: gateway.KindProposeClusterState, Group: clusterstate.GroupName, Body: replica.EncodeClusterStateCommand(command),
	})
}

func (s *Server) forwardHeartbeat(ctx iris.Context) {
	worker := ctx.Params().Get("worker")
	if !clusterstate.IsValidName(worker) {
		writeError(ctx, http.StatusUnprocessableEntity, "bad_name", workerNameRule, "worker")
		return
	}
	data, isRead := readBody(ctx, maxHeartbeatBytes)
	if !isRead {
		return
	}
	heartbeat := &schema.WorkerHeartbeat{}
	if !decodeJSON(ctx, data, heartbeat) {
		return
	}
	if invalid := validateHeartbeat(heartbeat); invalid != nil {
		writeError(ctx, http.StatusUnprocessableEntity, invalid.Code, invalid.Message, invalid.Field)
		return
	}
	s.callGateway(ctx, heartbeatTimeout, func(id uint64, deadline eventloop.Micros) any {
		return gateway.ForwardHeartbeat{RequestID: id, Worker: worker, Heartbeat: heartbeat, Deadline: deadline}
	})
}

// validateHeartbeat returns the first error in a worker's heartbeat, or nil if the heartbeat
// is valid.
func validateHeartbeat(heartbeat *schema.WorkerHeartbeat) *schema.Error {
	badValue := func(field, message string) *schema.Error {
		return &schema.Error{Code: "bad_value", Message: message, Field: field}
	}
	switch {
	case heartbeat.Incarnation == 0:
		return badValue("incarnation", "the value must be at least 1 and increase with each start of the worker")
	case heartbeat.Seq == 0:
		return badValue("seq", "the value must be at least 1 and increase with each heartbeat")
	case heartbeat.CoresMilli < 0:
		return badValue("cores_milli", "the value must not be negative")
	case heartbeat.MemoryMb < 0:
		return badValue("memory_mb", "the value must not be negative")
	case heartbeat.Rack != "" && !clusterstate.IsValidName(heartbeat.Rack):
		return &schema.Error{Code: "bad_name", Message: workerNameRule, Field: "rack"}
	}
	return nil
}
