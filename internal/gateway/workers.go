package gateway

// Announcements of workers, carried to the scheduler that holds their lease.

import (
	"encoding/json"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

type queueStore struct{ queue, store string }

func (t *Table) poll(now eventloop.Micros, m PollIn, out eventloop.Effects) {
	if !t.lease.isValid(now) {
		t.notReady(now, m.Request, out)
		return
	}
	ward := clusterstate.FindWorkerLease(t.state, m.Worker)
	if ward == nil && t.state.Version > 0 && now-t.met[m.Worker] > eventloop.Second {
		t.met[m.Worker] = now
		if to := t.leader(now, clusterstate.Group); to != "" {
			command := &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_RegisterWorker{RegisterWorker: &schema.RegisterWorker{Worker: m.Worker}}}
			out.Send(to, &schema.Request{Kind: "clusterstate", Group: clusterstate.Group, Body: marshal(command)})
		}
	}
	if ward == nil || ward.Scheduler == "" || len(t.polls) >= maxPending {
		t.refuse(m.Request, 503, "no_ward", "nobody wards this worker yet", 1, out)
		return
	}
	t.polls[m.Request] = m
	out.Send(ward.Scheduler, &schema.WorkerPollRequest{Id: m.Request, Worker: m.Worker, Heartbeat: m.Announce})
}

func (t *Table) polled(m *schema.WorkerPollResponse, out eventloop.Effects) {
	if _, isKnown := t.polls[m.Id]; !isKnown {
		return
	}
	delete(t.polls, m.Id)
	if m.Orders == nil {
		t.refuse(m.Id, 503, "no_ward", "the ward is elsewhere or not sure of itself", 1, out)
		return
	}
	data, err := json.Marshal(m.Orders)
	if err != nil {
		t.refuse(m.Id, 500, "internal", err.Error(), 1, out)
		return
	}
	out.Respond(m.Id, Answer{Code: 200, Body: data})
}
