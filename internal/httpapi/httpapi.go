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
	jobBytes      = 256 << 10
	announceBytes = 4 << 20
	planBytes     = 4 << 20
	handInSpan    = 10 * eventloop.Second
	readSpan      = 5 * eventloop.Second
	planSpan      = 8 * eventloop.Second
	pollSpan      = 1200 * eventloop.Millisecond
	usualPage     = 100
	mostPage      = 1000
)

// Server serves one process's HTTP.
type Server struct {
	real *process.Real
	http *http.Server
}

// Serve starts listening.
func Serve(real *process.Real, log *zap.Logger) (*Server, error) {
	s := &Server{real: real}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutBodyConsumptionOnUnmarshal, iris.WithoutPathCorrectionRedirection, iris.WithoutStartupLog)
	s.routes(app)
	if err := app.Build(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", real.Options.Outer)
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{
		Handler: app, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 15 * time.Second, WriteTimeout: 30 * time.Second,
		IdleTimeout: 90 * time.Second, MaxHeaderBytes: 16 << 10, ErrorLog: stdlog.New(io.Discard, "", 0),
	}
	go func() {
		if err := s.http.Serve(transport.RetryingListener(context.Background(), listener)); err != nil && !errors.Is(err, http.ErrServerClosed) {
			real.Failed <- err
		}
	}()
	return s, nil
}

// Warn has nothing to do: the tables know, and say that they aren't ready.
func (s *Server) Warn() {}

// Shutdown lets open requests finish until the context ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

func (s *Server) routes(app *iris.Application) {
	app.OnAnyErrorCode(func(ctx iris.Context) {
		code := "no_such_path"
		if ctx.GetStatusCode() == http.StatusMethodNotAllowed {
			code = "no_such_method"
		}
		write(ctx, gateway.Response{Code: int32(ctx.GetStatusCode()), Body: gateway.FaultBody(code, http.StatusText(ctx.GetStatusCode()), "")})
	})
	app.Get("/livez", func(ctx iris.Context) { write(ctx, gateway.Response{Code: 200, Body: []byte(`{"alive":true}`)}) })
	app.Get("/v1/counts", func(ctx iris.Context) { writeValue(ctx, s.real.Counts()) })
	if s.real.Member.Role == schema.Role_ROLE_CONTROLLER {
		app.Get("/readyz", func(ctx iris.Context) { write(ctx, gateway.Response{Code: 200, Body: []byte(`{"ready":true}`)}) })
		app.Get("/v1/belief", func(ctx iris.Context) {
			s.belief(ctx, "controller", func(id uint64, _ eventloop.Micros) any { return controller.StateViewRequest{Request: id} })
		})
		return
	}
	app.Get("/readyz", func(ctx iris.Context) {
		s.run(ctx, eventloop.Second, func(id uint64, _ eventloop.Micros) any { return gateway.CheckReadiness{RequestID: id} })
	})
	app.Get("/v1/fronts", func(ctx iris.Context) {
		s.run(ctx, eventloop.Second, func(id uint64, _ eventloop.Micros) any { return gateway.ListGateways{RequestID: id} })
	})
	app.Get("/v1/belief", func(ctx iris.Context) {
		s.belief(ctx, "replica", func(id uint64, _ eventloop.Micros) any { return replica.GetStateView{Request: id} })
	})
	app.Get("/v1/placements", func(ctx iris.Context) {
		s.belief(ctx, "scheduler", func(id uint64, _ eventloop.Micros) any { return scheduler.StateViewRequest{Request: id} })
	})
	app.Put("/v1/queues/{queue}/jobs/{name}", s.handIn)
	app.Get("/v1/queues/{queue}/jobs/{name}", func(ctx iris.Context) { s.ofJob(ctx, "status") })
	app.Post("/v1/queues/{queue}/jobs/{name}/cancel", func(ctx iris.Context) { s.ofJob(ctx, "cancel") })
	app.Get("/v1/queues/{queue}/jobs", s.list)
	app.Get("/v1/plan", func(ctx iris.Context) {
		s.ask(ctx, planSpan, gateway.LeaderRequest{Kind: "plan", Group: clusterstate.Group})
	})
	app.Get("/v1/plan/history", func(ctx iris.Context) {
		s.ask(ctx, planSpan, gateway.LeaderRequest{Kind: "history", Group: clusterstate.Group})
	})
	app.Put("/v1/plan", s.putPlan)
	app.Post("/v1/workers/{worker}/announce", s.announce)
}

func write(ctx iris.Context, answer gateway.Response) {
	header := ctx.ResponseWriter().Header()
	header.Set("Content-Type", "application/json")
	if answer.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(answer.RetryAfter))
	}
	ctx.StatusCode(int(answer.Code))
	ctx.Write(append(answer.Body, '\n'))
	ctx.StopExecution()
}

func writeValue(ctx iris.Context, value any) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		write(ctx, gateway.Response{Code: 500, Body: gateway.FaultBody("internal", err.Error(), "")})
		return
	}
	write(ctx, gateway.Response{Code: 200, Body: data})
}

func fault(ctx iris.Context, code int32, name, message, field string) {
	write(ctx, gateway.Response{Code: code, Body: gateway.FaultBody(name, message, field)})
}

func (s *Server) run(ctx iris.Context, span eventloop.Micros, mail func(id uint64, deadline eventloop.Micros) any) {
	answer, isAnswered := s.real.Run(ctx.Request().Context(), "gateway", span, mail).(gateway.Response)
	if !isAnswered {
		answer = gateway.Response{Code: 504, RetryAfter: 1, Body: gateway.FaultBody("unknown", "no answer in time: whether this took effect is not known; send it again", "")}
	}
	write(ctx, answer)
}

func (s *Server) belief(ctx iris.Context, table string, mail func(id uint64, deadline eventloop.Micros) any) {
	belief := s.real.Run(ctx.Request().Context(), table, readSpan, mail)
	if _, isTurnedAway := belief.(gateway.Response); belief == nil || isTurnedAway {
		fault(ctx, 404, "nothing_here", "this process holds no replicas", "")
		return
	}
	writeValue(ctx, belief)
}

func (s *Server) ask(ctx iris.Context, span eventloop.Micros, ask gateway.LeaderRequest) {
	s.run(ctx, span, func(id uint64, deadline eventloop.Micros) any {
		ask.RequestID, ask.Deadline = id, deadline
		return ask
	})
}

// body reads a limited body, or answers why it can't.
func body(ctx iris.Context, limit int64) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, limit))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			fault(ctx, 413, "too_large", "the body may have at most "+strconv.FormatInt(limit, 10)+" bytes", "")
		} else {
			fault(ctx, 400, "unreadable", "the body could not be read", "")
		}
		return nil, false
	}
	return data, true
}

// decode reads JSON strictly; a fault is answered here.
func decode(ctx iris.Context, data []byte, into any) bool {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		if _, err = decoder.Token(); errors.Is(err, io.EOF) {
			return true
		}
		fault(ctx, 400, "bad_json", "there is more after the JSON value", "")
		return false
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		// A number that doesn't fit is a value we understand and can't take.
		code := int32(400)
		if strings.HasPrefix(wrongType.Value, "number ") {
			code = 422
		}
		fault(ctx, code, "bad_value", wrongType.Value+" is no "+wrongType.Type.Kind().String(), wrongType.Field)
		return false
	}
	if field, isUnknown := strings.CutPrefix(err.Error(), "json: unknown field "); isUnknown {
		name, _ := strconv.Unquote(field)
		fault(ctx, 400, "unknown_field", "there is no such field", name)
		return false
	}
	fault(ctx, 400, "bad_json", err.Error(), "")
	return false
}

func client(ctx iris.Context) (string, bool) {
	name := ctx.GetHeader("Sparnotch-Client")
	if name == "" {
		host, _, err := net.SplitHostPort(ctx.Request().RemoteAddr)
		if err != nil {
			return "unknown", true
		}
		return strings.ReplaceAll(host, ":", "."), true
	}
	if !gateway.IsValidName(name) {
		fault(ctx, 400, "bad_client", "letters, digits, '.', '_', ':' and '-', at most 128", "Sparnotch-Client")
		return "", false
	}
	return name, true
}

func (s *Server) handIn(ctx iris.Context) {
	queue, name := ctx.Params().Get("queue"), ctx.Params().Get("name")
	if !gateway.IsValidName(name) {
		fault(ctx, 422, "bad_name", "letters, digits, '.', '_', ':' and '-', at most 128", "name")
		return
	}
	who, isGood := client(ctx)
	if !isGood {
		return
	}
	data, isRead := body(ctx, jobBytes)
	if !isRead {
		return
	}
	job := &schema.Job{}
	if !decode(ctx, data, job) {
		return
	}
	if bad := gateway.ValidateJob(job); bad != nil {
		text, _ := json.Marshal(bad)
		write(ctx, gateway.Response{Code: 422, Body: text})
		return
	}
	s.run(ctx, handInSpan, func(id uint64, deadline eventloop.Micros) any {
		return gateway.SubmitJob{RequestID: id, Queue: queue, Client: who, Name: name, Digest: gateway.Digest(job), Job: job, Deadline: deadline}
	})
}

func (s *Server) ofJob(ctx iris.Context, kind string) {
	s.ask(ctx, readSpan, gateway.LeaderRequest{Kind: kind, Group: ctx.Params().Get("queue"), Name: ctx.Params().Get("name")})
}

func (s *Server) list(ctx iris.Context) {
	most := usualPage
	if given := ctx.URLParam("most"); given != "" {
		number, err := strconv.Atoi(given)
		if err != nil || number < 1 || number > mostPage {
			fault(ctx, 400, "bad_value", "must lie between 1 and "+strconv.Itoa(mostPage), "most")
			return
		}
		most = number
	}
	s.ask(ctx, readSpan, gateway.LeaderRequest{Kind: "list", Group: ctx.Params().Get("queue"), After: ctx.URLParam("after"), Limit: uint32(most)})
}

var unknownField = regexp.MustCompile(`unknown field "([^"]*)"`)

func (s *Server) putPlan(ctx iris.Context) {
	data, isRead := body(ctx, planBytes)
	if !isRead {
		return
	}
	sheet := &schema.ConfigurationUpdate{}
	if err := protojson.Unmarshal(data, sheet); err != nil {
		message := strings.ReplaceAll(err.Error(), "\u00a0", " ")
		if found := unknownField.FindStringSubmatch(message); found != nil {
			fault(ctx, 400, "unknown_field", "there is no such field", found[1])
			return
		}
		fault(ctx, 400, "bad_json", message, "")
		return
	}
	if bad := clusterstate.ValidateRows(sheet.Rows); bad != nil {
		text, _ := json.Marshal(bad)
		write(ctx, gateway.Response{Code: 422, Body: text})
		return
	}
	s.ask(ctx, planSpan, gateway.LeaderRequest{Kind: "clusterstate", Group: clusterstate.Group, Body: replica.EncodeClusterStateCommand(
		&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: sheet}}})})
}

func (s *Server) announce(ctx iris.Context) {
	worker := ctx.Params().Get("worker")
	if !clusterstate.IsValidName(worker) {
		fault(ctx, 422, "bad_name", "lower-case letters, digits, '.', '_' and '-', at most 63", "worker")
		return
	}
	data, isRead := body(ctx, announceBytes)
	if !isRead {
		return
	}
	announce := &schema.WorkerHeartbeat{}
	if !decode(ctx, data, announce) {
		return
	}
	switch {
	case announce.Incarnation == 0:
		fault(ctx, 422, "bad_value", "must be 1 or more and grow with each start of the worker", "incarnation")
	case announce.Seq == 0:
		fault(ctx, 422, "bad_value", "must be 1 or more and grow with each announce", "seq")
	case announce.CoresMilli < 0:
		fault(ctx, 422, "bad_value", "must not be negative", "cores_milli")
	case announce.MemoryMb < 0:
		fault(ctx, 422, "bad_value", "must not be negative", "memory_mb")
	case announce.Rack != "" && !clusterstate.IsValidName(announce.Rack):
		fault(ctx, 422, "bad_name", "lower-case letters, digits, '.', '_' and '-', at most 63", "rack")
	default:
		s.run(ctx, pollSpan, func(id uint64, deadline eventloop.Micros) any {
			return gateway.ForwardAnnouncement{RequestID: id, Worker: worker, Announce: announce, Deadline: deadline}
		})
	}
}
