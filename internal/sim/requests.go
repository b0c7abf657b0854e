package sim

import (
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/gateway"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// newRequest makes a gateway's message of the request's id and its deadline, by the clock
// of the gateway's process.
type newRequest func(id uint64, deadline eventloop.Micros) any

// Request sends an HTTP request to a gateway and calls back once with the response; with
// nil if the connection broke, or if there was no response within the timeout.
func (s *Simulation) Request(h *Host, timeout eventloop.Micros, request newRequest, back func(response any)) {
	s.lastRequest++
	id := s.lastRequest
	done := false
	finish := func(response any) {
		if !done {
			done = true
			back(response)
		}
	}
	s.After(s.drawClientDelay(), func() {
		if !h.IsUp || h.isDraining {
			finish(nil)
			return
		}
		run := h.run
		h.pendingRequests[id] = func(response any) { s.After(s.drawClientDelay(), func() { finish(response) }) }
		h.deliver("gateway", eventloop.Message{Body: request(id, h.now()+timeout)})
		s.After(timeout, func() {
			if !done && h.run == run && h.pendingRequests[id] != nil {
				delete(h.pendingRequests, id)
				h.deliver("gateway", eventloop.Message{Body: gateway.ForgetRequest{RequestID: id}})
			}
		})
	})
	s.After(timeout, func() { finish(nil) })
}

// drawClientDelay draws the one-way delay between a client and a gateway.
func (s *Simulation) drawClientDelay() eventloop.Micros {
	return 3*eventloop.Millisecond + eventloop.Micros(s.Rng.Int64N(500))
}

// submitRequest submits a job without a key.
func submitRequest(queue, client, name string, job *schema.Job) newRequest {
	return submitWithKey(queue, client, "", name, job)
}

// submitWithKey submits a job with the hash of a key.
func submitWithKey(queue, client, keyHash, name string, job *schema.Job) newRequest {
	return func(id uint64, deadline eventloop.Micros) any {
		return gateway.SubmitJob{
			RequestID: id, Queue: queue, Client: client, KeyHash: keyHash, Name: name, Digest: gateway.Digest(job), Job: job, Deadline: deadline,
		}
	}
}

// leaderRequest is a request that a group's leader answers; its id and deadline are set.
func leaderRequest(request gateway.LeaderRequest) newRequest {
	return func(id uint64, deadline eventloop.Micros) any {
		request.RequestID, request.Deadline = id, deadline
		return request
	}
}

// updateRequest sends a configuration.
func updateRequest(update *schema.ConfigurationUpdate) gateway.LeaderRequest {
	return gateway.LeaderRequest{Kind: "clusterstate", Group: clusterstate.GroupName, Body: replica.EncodeClusterStateCommand(
		&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: update}}})}
}

// configurationRequest reads the configuration.
func configurationRequest() gateway.LeaderRequest {
	return gateway.LeaderRequest{Kind: "plan", Group: clusterstate.GroupName}
}

// responseOf is a request's response; its code is 0 if there was none.
func responseOf(answer any) gateway.Response {
	response, _ := answer.(gateway.Response)
	return response
}

// isConfirmed reports whether a submission was accepted, now or before.
func isConfirmed(response gateway.Response) bool { return response.Code == 200 || response.Code == 201 }

// isUnclear reports whether a request may or may not have had an effect, and may be sent
// again.
func isUnclear(response gateway.Response) bool {
	return response.Code == 0 || response.Code >= 500 || response.Code == 429
}
