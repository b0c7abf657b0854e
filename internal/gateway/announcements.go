package gateway

// Announcements of workers, carried to the scheduler that holds their lease.

import (
	"encoding/json"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

type queueNode struct{ queue, node string }

func (g *Gateway) handleAnnouncement(now eventloop.Micros, m ForwardAnnouncement, effects eventloop.Effects) {
	if !g.lease.isValid(now) {
		g.rejectNotReady(now, m.RequestID, effects)
		return
	}
	lease := clusterstate.FindWorkerLease(g.state, m.Worker)
	if lease == nil && g.state.Version > 0 && now-g.registrationSentAt[m.Worker] > eventloop.Second {
		g.registrationSentAt[m.Worker] = now
		if to := g.target(now, clusterstate.Group); to != "" {
			command := &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_RegisterWorker{RegisterWorker: &schema.RegisterWorker{Worker: m.Worker}}}
			effects.Send(to, &schema.Request{Kind: "clusterstate", Group: clusterstate.Group, Body: marshal(command)})
		}
	}
	if lease == nil || lease.Scheduler == "" || len(g.announcements) >= maxPending {
		g.reject(m.RequestID, 503, "no_ward", "nobody wards this worker yet", 1, effects)
		return
	}
	g.announcements[m.RequestID] = m
	effects.Send(lease.Scheduler, &schema.WorkerPollRequest{Id: m.RequestID, Worker: m.Worker, Heartbeat: m.Announce})
}

func (g *Gateway) handlePollReply(m *schema.WorkerPollResponse, effects eventloop.Effects) {
	if _, isKnown := g.announcements[m.Id]; !isKnown {
		return
	}
	delete(g.announcements, m.Id)
	if m.Orders == nil {
		g.reject(m.Id, 503, "no_ward", "the ward is elsewhere or not sure of itself", 1, effects)
		return
	}
	data, err := json.Marshal(m.Orders)
	if err != nil {
		g.reject(m.Id, 500, "internal", err.Error(), 1, effects)
		return
	}
	effects.Respond(m.Id, Response{Code: 200, Body: data})
}
