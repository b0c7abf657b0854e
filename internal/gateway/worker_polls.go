package gateway

// This file forwards worker heartbeats to the scheduler that holds the worker's lease.

import (
	"encoding/json"
	"net/http"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func (g *Gateway) handleHeartbeat(now eventloop.Micros, m ForwardHeartbeat, effects eventloop.Effects) {
	if !g.lease.isValid(now) {
		g.rejectNotReady(now, m.RequestID, effects)
		return
	}
	lease := clusterstate.FindWorkerLease(g.state, m.Worker)
	if lease == nil {
		g.registerWorker(now, m.Worker, effects)
	}
	if lease == nil || lease.Scheduler == "" {
		g.reject(m.RequestID, http.StatusServiceUnavailable, codeNoLease, "no scheduler holds this worker's lease yet", 1, effects)
		return
	}
	if len(g.pendingHeartbeats) >= maxPending {
		g.reject(m.RequestID, http.StatusServiceUnavailable, codeGatewayFull, gatewayFullMessage, 1, effects)
		return
	}
	g.pendingHeartbeats[m.RequestID] = m
	effects.Send(lease.Scheduler, &schema.WorkerPollRequest{Id: m.RequestID, Worker: m.Worker, Heartbeat: m.Heartbeat})
}

// registerWorker proposes to add a worker without a lease to the cluster state. It doesn't
// wait for a response: if the proposal is lost, the worker's next heartbeats repeat it.
func (g *Gateway) registerWorker(now eventloop.Micros, worker string, effects eventloop.Effects) {
	if g.state.Version == 0 || now-g.registrationSentAt[worker] <= registrationInterval {
		return
	}
	g.registrationSentAt[worker] = now
	to := g.target(now, clusterstate.GroupName)
	if to == "" {
		return
	}
	command := &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_RegisterWorker{
		RegisterWorker: &schema.RegisterWorker{Worker: worker},
	}}
	effects.Send(to, &schema.Request{Kind: KindProposeClusterState, Group: clusterstate.GroupName, Body: marshal(command)})
}

func (g *Gateway) handlePollResponse(m *schema.WorkerPollResponse, effects eventloop.Effects) {
	if _, found := g.pendingHeartbeats[m.Id]; !found {
		return
	}
	delete(g.pendingHeartbeats, m.Id)
	if m.Orders == nil {
		g.reject(m.Id, http.StatusServiceUnavailable, codeNoLease, "the scheduler no longer holds this worker's lease, or can't confirm it", 1, effects)
		return
	}
	data, err := json.Marshal(m.Orders)
	if err != nil {
		g.reject(m.Id, http.StatusInternalServerError, codeInternal, err.Error(), 1, effects)
		return
	}
	effects.Respond(m.Id, Response{Code: http.StatusOK, Body: data})
}
