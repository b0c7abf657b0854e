// Package httpapi implements the HTTP interface of a node, for clients, workers and
// operators.
//
// Server decodes and validates requests and posts them to the node's components, which own
// all state. docs/interface.md describes paths, JSON and error codes. The body of a response
// comes from the gateway, or from the component whose state view is requested.
package httpapi

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"
	"go.uber.org/zap"

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

// Timeouts and limits of connections.
const (
	headerTimeout      = 5 * time.Second
	requestReadTimeout = 15 * time.Second
	responseTimeout    = 30 * time.Second
	idleTimeout        = 90 * time.Second
	maxHeaderBytes     = 16 << 10
)

// Server serves the HTTP interface of one node.
type Server struct {
	node       *process.Node
	httpServer *http.Server
}

// Serve starts to listen on the node's HTTP address, and serves requests in the background.
// If the server fails later, it sends the error to the node's Failed channel.
func Serve(node *process.Node, _ *zap.Logger) (*Server, error) {
	s := &Server{node: node}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutBodyConsumptionOnUnmarshal, iris.WithoutPathCorrectionRedirection, iris.WithoutStartupLog)
	s.routes(app)
	if err := app.Build(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", node.Settings.HttpAddress)
	if err != nil {
		return nil, err
	}
	s.httpServer = &http.Server{
		Handler:           app,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestReadTimeout,
		WriteTimeout:      responseTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          stdlog.New(io.Discard, "", 0),
	}
	go func() {
		err := s.httpServer.Serve(transport.RetryingListener(context.Background(), listener))
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			node.Failed <- err
		}
	}()
	return s, nil
}

// StartDraining implements daemon.Server. The server continues to serve requests; it is the
// node's gateway that reports that it isn't ready.
func (s *Server) StartDraining() {}

// Shutdown stops accepting requests, and waits for the requests in progress until the
// context ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.httpServer.Shutdown(ctx) }

func (s *Server) routes(app *iris.Application) {
	app.OnAnyErrorCode(writeRoutingError)
	app.Get("/livez", func(ctx iris.Context) {
		writeResponse(ctx, gateway.Response{Code: http.StatusOK, Body: []byte(`{"alive":true}`)})
	})
	app.Get("/v1/counts", func(ctx iris.Context) { writeJSON(ctx, s.node.Counts()) })
	if s.node.Member.Role == schema.Role_ROLE_CONTROLLER {
		s.agentNodeRoutes(app)
		return
	}
	s.clientRoutes(app)
	s.operatorRoutes(app)
	app.Post("/v1/workers/{worker}/announce", s.forwardHeartbeat)
}

func (s *Server) agentNodeRoutes(app *iris.Application) {
	app.Get("/readyz", func(ctx iris.Context) {
		writeResponse(ctx, gateway.Response{Code: http.StatusOK, Body: []byte(`{"ready":true}`)})
	})
	app.Get("/v1/belief", func(ctx iris.Context) {
		s.writeStateView(ctx, process.ControllerComponent, func(id uint64, _ eventloop.Micros) any {
			return controller.StateViewRequest{Request: id}
		})
	})
}

func (s *Server) clientRoutes(app *iris.Application) {
	app.Get("/readyz", func(ctx iris.Context) {
		s.callGateway(ctx, probeTimeout, func(id uint64, _ eventloop.Micros) any {
			return gateway.CheckReadiness{RequestID: id}
		})
	})
	app.Get("/v1/fronts", func(ctx iris.Context) {
		s.callGateway(ctx, probeTimeout, func(id uint64, _ eventloop.Micros) any {
			return gateway.ListGateways{RequestID: id}
		})
	})
	app.Put("/v1/queues/{queue}/jobs/{name}", s.submitJob)
	app.Get("/v1/queues/{queue}/jobs/{name}", func(ctx iris.Context) { s.requestJob(ctx, gateway.KindStatus) })
	app.Post("/v1/queues/{queue}/jobs/{name}/cancel", func(ctx iris.Context) { s.requestJob(ctx, gateway.KindCancel) })
	app.Get("/v1/queues/{queue}/jobs", s.listJobs)
}

func (s *Server) operatorRoutes(app *iris.Application) {
	app.Get("/v1/belief", func(ctx iris.Context) {
		s.writeStateView(ctx, process.ReplicaComponent, func(id uint64, _ eventloop.Micros) any {
			return replica.StateViewRequest{Request: id}
		})
	})
	app.Get("/v1/placements", func(ctx iris.Context) {
		s.writeStateView(ctx, process.SchedulerComponent, func(id uint64, _ eventloop.Micros) any {
			return scheduler.StateViewRequest{Request: id}
		})
	})
	app.Get("/v1/plan", func(ctx iris.Context) {
		s.requestLeader(ctx, configurationTimeout, gateway.LeaderRequest{Kind: gateway.KindConfiguration, Group: clusterstate.GroupName})
	})
	app.Get("/v1/plan/history", func(ctx iris.Context) {
		s.requestLeader(ctx, configurationTimeout, gateway.LeaderRequest{Kind: gateway.KindHistory, Group: clusterstate.GroupName})
	})
	app.Put("/v1/plan", s.putConfiguration)
	app.Patch("/v1/plan", s.patchConfiguration)
}
