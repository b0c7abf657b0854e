package gateway

// Worker heartbeats, forwarded to the scheduler that holds the worker's lease.

import (
	"encoding/json"
	"net/http"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func (g *Gateway) handleAnnouncement(now eventloop.Micros, m ForwardAnnouncement, effects eventloop.Effects) {
	if !g.lease.isValid(now) {
		g.rejectNotReady(now, m.RequestID, effects)
		return
	}
	lease := clusterstate.FindWorkerLease(g.state, m.Worker)
	if lease == nil {
		g.registerWorker(now, m.Worker, effects)
	}
	if lease == nil || lease.Scheduler == "" || len(g.announcements) >= maxPending {
		g.reject(m.RequestID, http.StatusServiceUnavailable, codeNoLease, "nobody wards this worker yet", 1, effects)
		return
	}
	g.announcements[m.RequestID] = m
	effects.Send(lease.Scheduler, &schema.WorkerPollRequest{Id: m.RequestID, Worker: m.Worker, Heartbeat: m.Announce})
}

// registerWorker has a worker that has no lease yet added to the cluster state. Nobody
// waits for the response: the worker's next heartbeats repeat it.
func (g *Gateway) registerWorker(now eventloop.Micros, worker string, effects eventloop.Effects) {
	if g.state.Version == 0 || now-g.registrationSentAt[worker] <= registrationInterval {
		return
	}
	g.registrationSentAt[worker] = now
	to := g.target(now, clusterstate.Group)
	if to == "" {
		return
	}
	command := &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_RegisterWorker{
		RegisterWorker: &schema.RegisterWorker{Worker: worker},
	}}
	effects.Send(to, &schema.Request{Kind: KindClusterState, Group: clusterstate.Group, Body: marshal(command)})
}

func (g *Gateway) handlePollReply(m *schema.WorkerPollResponse, effects eventloop.Effects) {
	if _, found := g.announcements[m.Id]; !found {
		return
	}
	delete(g.announcements, m.Id)
	if m.Orders == nil {
		g.reject(m.Id, http.StatusServiceUnavailable, codeNoLease, "the ward is elsewhere or not sure of itself", 1, effects)
		return
	}
	data, err := json.Marshal(m.Orders)
	if err != nil {
		g.reject(m.Id, http.StatusInternalServerError, codeInternal, err.Error(), 1, effects)
		return
	}
	effects.Respond(m.Id, Response{Code: http.StatusOK, Body: data})
}
