package httpapi

import (
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/kataras/iris/v12"

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

	// Schemes of the header Authorization.
	keyScheme    = "Token"
	bearerScheme = "Bearer"

	workerNameRule = "lower-case letters, digits, '.', '_' and '-', at most 63"
)

// messageFactory makes the message of a request, for the id and the deadline that
// process.Node.Call gives it.
type messageFactory = func(id uint64, deadline eventloop.Micros) any

// callGateway posts a request to the gateway and writes its response.
func (s *Server) callGateway(ctx iris.Context, timeout eventloop.Micros, newMessage messageFactory) {
	response, responded := s.node.Call(ctx.Request().Context(), process.GatewayComponent, timeout, newMessage).(gateway.Response)
	if !responded {
		response = gateway.Response{
			Code: http.StatusGatewayTimeout, RetryAfter: 1,
			Body: gateway.ErrorBody("unknown", "no answer in time: whether this took effect is not known; send it again", ""),
		}
	}
	writeResponse(ctx, response)
}

// requestLeader has the gateway forward a request to the leader of its group.
func (s *Server) requestLeader(ctx iris.Context, timeout eventloop.Micros, request gateway.LeaderRequest) {
	s.callGateway(ctx, timeout, func(id uint64, deadline eventloop.Micros) any {
		request.RequestID, request.Deadline = id, deadline
		return request
	})
}

// writeStateView writes what a component of this node knows, for debugging.
func (s *Server) writeStateView(ctx iris.Context, component string, newMessage messageFactory) {
	view := s.node.Call(ctx.Request().Context(), component, readTimeout, newMessage)
	if _, isRejected := view.(gateway.Response); view == nil || isRejected {
		writeError(ctx, http.StatusNotFound, "nothing_here", "this process holds no replicas", "")
		return
	}
	writeJSON(ctx, view)
}

// clientName returns the name that the client gives itself, or else its address. False:
// the name is invalid, and an error was written.
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

// keyHash is the hash of the tenant's key that a call carries.
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
	if given := ctx.URLParam("most"); given != "" {
		number, err := strconv.Atoi(given)
		if err != nil || number < 1 || number > maxPageSize {
			writeError(ctx, http.StatusBadRequest, "bad_value", "must lie between 1 and "+strconv.Itoa(maxPageSize), "most")
			return
		}
		limit = number
	}
	s.requestLeader(ctx, readTimeout, gateway.LeaderRequest{
		Kind: gateway.KindList, Group: ctx.Params().Get("queue"), After: ctx.URLParam("after"), Limit: uint32(limit),
		KeyHash: keyHash(ctx),
	})
}

// readUpdate reads an update of the configuration from a body. False: an error was written.
func readUpdate(ctx iris.Context) (*schema.ConfigurationUpdate, bool) {
	data, isRead := readBody(ctx, maxConfigurationBytes)
	if !isRead {
		return nil, false
	}
	update := &schema.ConfigurationUpdate{}
	return update, decodeProtoJSON(ctx, data, update)
}

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

// patchConfiguration sets and removes rows of the configuration that the patch is based on.
func (s *Server) patchConfiguration(ctx iris.Context) {
	update, isRead := readUpdate(ctx)
	if !isRead {
		return
	}
	update.IsPatch = true
	s.proposeUpdate(ctx, update)
}

// proposeUpdate has the cluster state decide on an update of the configuration.
func (s *Server) proposeUpdate(ctx iris.Context, update *schema.ConfigurationUpdate) {
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

// validateHeartbeat returns the first thing that is wrong with a worker's heartbeat;
// nil: nothing is.
func validateHeartbeat(announce *schema.WorkerHeartbeat) *schema.Error {
	badValue := func(field, message string) *schema.Error {
		return &schema.Error{Code: "bad_value", Message: message, Field: field}
	}
	switch {
	case announce.Incarnation == 0:
		return badValue("incarnation", "must be 1 or more and grow with each start of the worker")
	case announce.Seq == 0:
		return badValue("seq", "must be 1 or more and grow with each announce")
	case announce.CoresMilli < 0:
		return badValue("cores_milli", "must not be negative")
	case announce.MemoryMb < 0:
		return badValue("memory_mb", "must not be negative")
	case announce.Rack != "" && !clusterstate.IsValidName(announce.Rack):
		return &schema.Error{Code: "bad_name", Message: workerNameRule, Field: "rack"}
	}
	return nil
}
