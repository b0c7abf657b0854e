// Package httpapi is the HTTP interface for callers, workers and operators.
package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protojson"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/controller"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/gateway"
	"sparnotch/internal/process"
	"sparnotch/internal/replica"
	"sparnotch/internal/scheduler"
	"sparnotch/internal/schema"
	"sparnotch/internal/transport"
)

const (
	maxJobBytes           = 256 << 10
	maxAnnouncementBytes  = 4 << 20
	maxConfigurationBytes = 4 << 20
	submitTimeout         = 10 * eventloop.Second
	readTimeout           = 5 * eventloop.Second
	configurationTimeout  = 8 * eventloop.Second
	announceTimeout       = 1200 * eventloop.Millisecond
	defaultPageSize       = 100
	maxPageSize           = 1000
)

// Server serves one process's HTTP.
type Server struct {
	node       *process.Node
	httpServer *http.Server
}

// Serve starts listening.
func Serve(node *process.Node, log *zap.Logger) (*Server, error) {
	s := &Server{node: node}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutBodyConsumptionOnUnmarshal, iris.WithoutPathCorrectionRedirection, iris.WithoutStartupLog)
	s.routes(app)
	if err := app.Build(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", node.Options.Outer)
	if err != nil {
		return nil, err
	}
	s.httpServer = &http.Server{
		Handler: app, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 15 * time.Second, WriteTimeout: 30 * time.Second,
		IdleTimeout: 90 * time.Second, MaxHeaderBytes: 16 << 10, ErrorLog: stdlog.New(io.Discard, "", 0),
	}
	go func() {
		if err := s.httpServer.Serve(transport.RetryingListener(context.Background(), listener)); err != nil && !errors.Is(err, http.ErrServerClosed) {
			node.Failed <- err
		}
	}()
	return s, nil
}

// StartDraining has nothing to do: the tables know, and say that they aren't ready.
func (s *Server) StartDraining() {}

// Shutdown lets open requests finish until the context ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.httpServer.Shutdown(ctx) }

func (s *Server) routes(app *iris.Application) {
	app.OnAnyErrorCode(func(ctx iris.Context) {
		code := "no_such_path"
		if ctx.GetStatusCode() == http.StatusMethodNotAllowed {
			code = "no_such_method"
		}
		writeResponse(ctx, gateway.Response{Code: int32(ctx.GetStatusCode()), Body: gateway.FaultBody(code, http.StatusText(ctx.GetStatusCode()), "")})
	})
	app.Get("/livez", func(ctx iris.Context) {
		writeResponse(ctx, gateway.Response{Code: 200, Body: []byte(`{"alive":true}`)})
	})
	app.Get("/v1/counts", func(ctx iris.Context) { writeJSON(ctx, s.node.Counts()) })
	if s.node.Member.Role == schema.Role_ROLE_CONTROLLER {
		app.Get("/readyz", func(ctx iris.Context) {
			writeResponse(ctx, gateway.Response{Code: 200, Body: []byte(`{"ready":true}`)})
		})
		app.Get("/v1/belief", func(ctx iris.Context) {
			s.writeStateView(ctx, "controller", func(id uint64, _ eventloop.Micros) any { return controller.StateViewRequest{Request: id} })
		})
		return
	}
	app.Get("/readyz", func(ctx iris.Context) {
		s.callGateway(ctx, eventloop.Second, func(id uint64, _ eventloop.Micros) any { return gateway.CheckReadiness{RequestID: id} })
	})
	app.Get("/v1/fronts", func(ctx iris.Context) {
		s.callGateway(ctx, eventloop.Second, func(id uint64, _ eventloop.Micros) any { return gateway.ListGateways{RequestID: id} })
	})
	app.Get("/v1/belief", func(ctx iris.Context) {
		s.writeStateView(ctx, "replica", func(id uint64, _ eventloop.Micros) any { return replica.GetStateView{Request: id} })
	})
	app.Get("/v1/placements", func(ctx iris.Context) {
		s.writeStateView(ctx, "scheduler", func(id uint64, _ eventloop.Micros) any { return scheduler.StateViewRequest{Request: id} })
	})
	app.Put("/v1/queues/{queue}/jobs/{name}", s.submitJob)
	app.Get("/v1/queues/{queue}/jobs/{name}", func(ctx iris.Context) { s.requestJob(ctx, "status") })
	app.Post("/v1/queues/{queue}/jobs/{name}/cancel", func(ctx iris.Context) { s.requestJob(ctx, "cancel") })
	app.Get("/v1/queues/{queue}/jobs", s.listJobs)
	app.Get("/v1/plan", func(ctx iris.Context) {
		s.requestLeader(ctx, configurationTimeout, gateway.LeaderRequest{Kind: "plan", Group: clusterstate.Group})
	})
	app.Get("/v1/plan/history", func(ctx iris.Context) {
		s.requestLeader(ctx, configurationTimeout, gateway.LeaderRequest{Kind: "history", Group: clusterstate.Group})
	})
	app.Put("/v1/plan", s.putConfiguration)
	app.Post("/v1/workers/{worker}/announce", s.announceWorker)
}

func writeResponse(ctx iris.Context, response gateway.Response) {
	header := ctx.ResponseWriter().Header()
	header.Set("Content-Type", "application/json")
	if response.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(response.RetryAfter))
	}
	ctx.StatusCode(int(response.Code))
	ctx.Write(append(response.Body, '\n'))
	ctx.StopExecution()
}

func writeJSON(ctx iris.Context, value any) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		writeResponse(ctx, gateway.Response{Code: 500, Body: gateway.FaultBody("internal", err.Error(), "")})
		return
	}
	writeResponse(ctx, gateway.Response{Code: 200, Body: data})
}

func writeFault(ctx iris.Context, code int32, name, message, field string) {
	writeResponse(ctx, gateway.Response{Code: code, Body: gateway.FaultBody(name, message, field)})
}

func (s *Server) callGateway(ctx iris.Context, timeout eventloop.Micros, newMessage func(id uint64, deadline eventloop.Micros) any) {
	response, responded := s.node.Call(ctx.Request().Context(), "gateway", timeout, newMessage).(gateway.Response)
	if !responded {
		response = gateway.Response{Code: 504, RetryAfter: 1, Body: gateway.FaultBody("unknown", "no answer in time: whether this took effect is not known; send it again", "")}
	}
	writeResponse(ctx, response)
}

func (s *Server) writeStateView(ctx iris.Context, component string, newMessage func(id uint64, deadline eventloop.Micros) any) {
	view := s.node.Call(ctx.Request().Context(), component, readTimeout, newMessage)
	if _, isRejected := view.(gateway.Response); view == nil || isRejected {
		writeFault(ctx, 404, "nothing_here", "this process holds no replicas", "")
		return
	}
	writeJSON(ctx, view)
}

func (s *Server) requestLeader(ctx iris.Context, timeout eventloop.Micros, request gateway.LeaderRequest) {
	s.callGateway(ctx, timeout, func(id uint64, deadline eventloop.Micros) any {
		request.RequestID, request.Deadline = id, deadline
		return request
	})
}

// readBody reads a limited body, or answers why it can't.
func readBody(ctx iris.Context, limit int64) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, limit))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			writeFault(ctx, 413, "too_large", "the body may have at most "+strconv.FormatInt(limit, 10)+" bytes", "")
		} else {
			writeFault(ctx, 400, "unreadable", "the body could not be read", "")
		}
		return nil, false
	}
	return data, true
}

// decodeJSON reads JSON strictly; a fault is answered here.
func decodeJSON(ctx iris.Context, data []byte, into any) bool {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		if _, err = decoder.Token(); errors.Is(err, io.EOF) {
			return true
		}
		writeFault(ctx, 400, "bad_json", "there is more after the JSON value", "")
		return false
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		// A number that doesn't fit is a value we understand and can't take.
		code := int32(400)
		if strings.HasPrefix(wrongType.Value, "number ") {
			code = 422
		}
		writeFault(ctx, code, "bad_value", wrongType.Value+" is no "+wrongType.Type.Kind().String(), wrongType.Field)
		return false
	}
	if field, isUnknown := strings.CutPrefix(err.Error(), "json: unknown field "); isUnknown {
		name, _ := strconv.Unquote(field)
		writeFault(ctx, 400, "unknown_field", "there is no such field", name)
		return false
	}
	writeFault(ctx, 400, "bad_json", err.Error(), "")
	return false
}

func clientName(ctx iris.Context) (string, bool) {
	name := ctx.GetHeader("Sparnotch-Client")
	if name == "" {
		host, _, err := net.SplitHostPort(ctx.Request().RemoteAddr)
		if err != nil {
			return "unknown", true
		}
		return strings.ReplaceAll(host, ":", "."), true
	}
	if !gateway.IsValidName(name) {
		writeFault(ctx, 400, "bad_client", "letters, digits, '.', '_', ':' and '-', at most 128", "Sparnotch-Client")
		return "", false
	}
	return name, true
}

func (s *Server) submitJob(ctx iris.Context) {
	queue, name := ctx.Params().Get("queue"), ctx.Params().Get("name")
	if !gateway.IsValidName(name) {
		writeFault(ctx, 422, "bad_name", "letters, digits, '.', '_', ':' and '-', at most 128", "name")
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
	if rejected := gateway.ValidateJob(job); rejected != nil {
		text, _ := json.Marshal(rejected)
		writeResponse(ctx, gateway.Response{Code: 422, Body: text})
		return
	}
	s.callGateway(ctx, submitTimeout, func(id uint64, deadline eventloop.Micros) any {
		return gateway.SubmitJob{RequestID: id, Queue: queue, Client: client, Name: name, Digest: gateway.Digest(job), Job: job, Deadline: deadline}
	})
}

func (s *Server) requestJob(ctx iris.Context, kind string) {
	s.requestLeader(ctx, readTimeout, gateway.LeaderRequest{Kind: kind, Group: ctx.Params().Get("queue"), Name: ctx.Params().Get("name")})
}

func (s *Server) listJobs(ctx iris.Context) {
	limit := defaultPageSize
	if given := ctx.URLParam("most"); given != "" {
		number, err := strconv.Atoi(given)
		if err != nil || number < 1 || number > maxPageSize {
			writeFault(ctx, 400, "bad_value", "must lie between 1 and "+strconv.Itoa(maxPageSize), "most")
			return
		}
		limit = number
	}
	s.requestLeader(ctx, readTimeout, gateway.LeaderRequest{Kind: "list", Group: ctx.Params().Get("queue"), After: ctx.URLParam("after"), Limit: uint32(limit)})
}

var unknownFieldPattern = regexp.MustCompile(`unknown field "([^"]*)"`)

func (s *Server) putConfiguration(ctx iris.Context) {
	data, isRead := readBody(ctx, maxConfigurationBytes)
	if !isRead {
		return
	}
	update := &schema.ConfigurationUpdate{}
	if err := protojson.Unmarshal(data, update); err != nil {
		message := strings.ReplaceAll(err.Error(), "\u00a0", " ")
		if found := unknownFieldPattern.FindStringSubmatch(message); found != nil {
			writeFault(ctx, 400, "unknown_field", "there is no such field", found[1])
			return
		}
		writeFault(ctx, 400, "bad_json", message, "")
		return
	}
	if rejected := clusterstate.ValidateRows(update.Rows); rejected != nil {
		text, _ := json.Marshal(rejected)
		writeResponse(ctx, gateway.Response{Code: 422, Body: text})
		return
	}
	s.requestLeader(ctx, configurationTimeout, gateway.LeaderRequest{Kind: "clusterstate", Group: clusterstate.Group, Body: replica.EncodeClusterStateCommand(
		&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: update}}})})
}

func (s *Server) announceWorker(ctx iris.Context) {
	worker := ctx.Params().Get("worker")
	if !clusterstate.IsValidName(worker) {
		writeFault(ctx, 422, "bad_name", "lower-case letters, digits, '.', '_' and '-', at most 63", "worker")
		return
	}
	data, isRead := readBody(ctx, maxAnnouncementBytes)
	if !isRead {
		return
	}
	announce := &schema.WorkerHeartbeat{}
	if !decodeJSON(ctx, data, announce) {
		return
	}
	switch {
	case announce.Incarnation == 0:
		writeFault(ctx, 422, "bad_value", "must be 1 or more and grow with each start of the worker", "incarnation")
	case announce.Seq == 0:
		writeFault(ctx, 422, "bad_value", "must be 1 or more and grow with each announce", "seq")
	case announce.CoresMilli < 0:
		writeFault(ctx, 422, "bad_value", "must not be negative", "cores_milli")
	case announce.MemoryMb < 0:
		writeFault(ctx, 422, "bad_value", "must not be negative", "memory_mb")
	case announce.Rack != "" && !clusterstate.IsValidName(announce.Rack):
		writeFault(ctx, 422, "bad_name", "lower-case letters, digits, '.', '_' and '-', at most 63", "rack")
	default:
		s.callGateway(ctx, announceTimeout, func(id uint64, deadline eventloop.Micros) any {
			return gateway.ForwardAnnouncement{RequestID: id, Worker: worker, Announce: announce, Deadline: deadline}
		})
	}
}
