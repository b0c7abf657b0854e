package sim

import (
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/gateway"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// newRequest returns the message to a gateway for a request with the given id and deadline.
// The deadline is a time of the gateway process's own clock.
type newRequest func(id uint64, deadline eventloop.Micros) any

// Request simulates an HTTP request to a gateway. The callback is called once with the
// response, or with nil if the connection breaks or there is no response within the timeout.
func (s *Simulation) Request(h *Host, timeout eventloop.Micros, request newRequest, onResponse func(response any)) {
	s.lastRequest++
	id := s.lastRequest
	done := false
	finish := func(response any) {
		if !done {
			done = true
			onResponse(response)
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

// submitRequest returns a request that submits a job without a key.
func submitRequest(queue, client, name string, job *schema.Job) newRequest {
	return (*routes)(nil).submitWithKey(queue, client, "", name, job)
}

// submitWithKey returns a request that submits a job with the hash of a key.
func (r *routes) submitWithKey(queue, client, keyHash, name string, job *schema.Job) newRequest {
	return func(id uint64, deadline eventloop.Micros) any {
		submission := gateway.SubmitJob{
			RequestID: id, Queue: queue, Client: client, KeyHash: keyHash, Name: name, Digest: gateway.Digest(job), Job: job, Deadline: deadline,
		}
		if r != nil {
			submission.Path, submission.Queue, submission.Name = r.pathOf(queue, name), "", ""
		}
		return submission
	}
}

// leaderRequest returns a request that the gateway forwards to the leader of a group. The id
// and the deadline of the argument are filled in.
func leaderRequest(request gateway.LeaderRequest) newRequest {
	return func(id uint64, deadline eventloop.Micros) any {
		request.RequestID, request.Deadline = id, deadline
		return request
	}
}

// updateRequest returns a request that replaces the configuration.
func updateRequest(update *schema.ConfigurationUpdate) gateway.LeaderRequest {
	return gateway.LeaderRequest{Kind: "clusterstate", Group: clusterstate.GroupName, Body: replica.EncodeClusterStateCommand(
		&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: update}}})}
}

// configurationRequest returns a request that reads the configuration.
func configurationRequest() gateway.LeaderRequest {
	return gateway.LeaderRequest{Kind: "plan", Group: clusterstate.GroupName}
}

// responseOf converts the argument of a request's callback to a response. The code is 0 if
// there was no response.
func responseOf(answer any) gateway.Response {
	response, _ := answer.(gateway.Response)
	return response
}

// isConfirmed reports whether a submission was accepted, by this request or an earlier one.
func isConfirmed(response gateway.Response) bool { return response.Code == 200 || response.Code == 201 }

// isUnclear reports whether it is unknown if a request has had an effect, so that the client
// may send it again.
func isUnclear(response gateway.Response) bool {
	return response.Code == 0 || response.Code >= 500 || response.Code == 429
}
