// Package pollrelay carries the polls of agents to their scheduler through the other storage
// nodes. Each poll that a process receives on a connection of its own costs it a wake-up and
// several system calls, which would fill the processor of the scheduler's node when there are
// hundreds of agents. So an agent may send its polls to another storage node, whose Relay passes
// the polls of all its agents on in a few messages, and the responses back.
//
// A relay keeps no polls: it neither answers them nor repeats them. Fencing tokens, leases and
// sequence numbers are checked by the scheduler and the agent as if there were no relay. An agent
// whose polls aren't answered sends them to the scheduler itself (Selector).
package pollrelay

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

const (
	// ComponentName is the name of a node's Relay.
	ComponentName = "relay"
	// TickInterval is the interval of a Relay's ticks.
	TickInterval = 5 * eventloop.Millisecond

	// minBatchInterval is the minimum time between two batches to a node. It is shorter than the
	// interval of the ticks, so that each tick sends what has come since the last one.
	minBatchInterval = 4 * eventloop.Millisecond

	// maxBatchedMessages is the number of messages at which a batch is sent at once.
	maxBatchedMessages = 256
	// livenessTimeout is the time without a sign of life after which a scheduler's node is no
	// longer relayed to.
	livenessTimeout = 2 * eventloop.Second
	// batchRetention is the time after its last batch for which a node is remembered.
	batchRetention = 10 * eventloop.Second
)

// Response is a response of the scheduler of this node, for a Relay of another node to pass on.
type Response struct {
	Relay    string // node that relayed the poll
	Agent    string // process that sent the poll
	Response *schema.WorkerPollResponse
}

// Relay is the component of a storage node that relays polls and responses. It owns the batches
// that aren't sent yet.
type Relay struct {
	members *membership.View // nil until the membership component has sent its first view
	batches map[string]*outgoingBatch
}

// outgoingBatch holds the messages for one node that aren't sent yet.
type outgoingBatch struct {
	polls     []*schema.RelayedMessage
	responses []*schema.RelayedMessage
	sentAt    eventloop.Micros // when the last batch was sent; 0: never
}

// New returns a Relay.
func New() *Relay { return &Relay{batches: map[string]*outgoingBatch{}} }

// Step implements eventloop.Component.
func (r *Relay) Step(now eventloop.Micros, message eventloop.Message, effects eventloop.Effects) {
	switch body := message.Body.(type) {
	case eventloop.Tick:
		r.sendDue(now, effects)
	case *membership.View:
		r.members = body
	case *schema.WorkerPollRequest:
		r.handlePoll(now, message.From, body, effects)
	case Response:
		r.handleResponse(now, body, effects)
	case *schema.RelayedResponses:
		passOnResponses(body, effects)
	}
}

// handlePoll relays a poll, or responds that the agent must poll the scheduler itself: without
// the name of a scheduler.
func (r *Relay) handlePoll(now eventloop.Micros, agent string, poll *schema.WorkerPollRequest, effects eventloop.Effects) {
	data, err := proto.Marshal(poll)
	if err != nil || !canRelayTo(r.members, now, poll.Scheduler) {
		effects.Send(agent, &schema.WorkerPollResponse{Id: poll.Id})
		return
	}
	batch := r.batchFor(poll.Scheduler)
	batch.polls = append(batch.polls, &schema.RelayedMessage{Agent: agent, Data: data})
	r.sendIfDue(now, poll.Scheduler, batch, effects)
}

// handleResponse sends a response of this node's scheduler to the relay of its poll, or to the agent
// itself if it can't be encoded.
func (r *Relay) handleResponse(now eventloop.Micros, response Response, effects eventloop.Effects) {
	data, err := proto.Marshal(response.Response)
	if err != nil {
		effects.Send(response.Agent, response.Response)
		return
	}
	batch := r.batchFor(response.Relay)
	batch.responses = append(batch.responses, &schema.RelayedMessage{Agent: response.Agent, Data: data})
	r.sendIfDue(now, response.Relay, batch, effects)
}

// canRelayTo reports whether a node is alive and understands batches.
func canRelayTo(members *membership.View, now eventloop.Micros, id string) bool {
	return members != nil && members.IsAlive(id, now, livenessTimeout) && members.Members[id].Member.GetRelaysPolls()
}

func (r *Relay) batchFor(node string) *outgoingBatch {
	if r.batches[node] == nil {
		r.batches[node] = &outgoingBatch{}
	}
	return r.batches[node]
}

// sendIfDue sends a batch if it is full or if no other batch was sent to its node within the last
// interval, so that polls are delayed only where there are many of them.
func (r *Relay) sendIfDue(now eventloop.Micros, node string, batch *outgoingBatch, effects eventloop.Effects) {
	waiting := len(batch.polls) + len(batch.responses)
	if waiting == 0 || waiting < maxBatchedMessages && batch.sentAt > 0 && now-batch.sentAt < minBatchInterval {
		return
	}
	if len(batch.polls) > 0 {
		effects.Send(node, &schema.RelayedPolls{Polls: batch.polls})
	}
	if len(batch.responses) > 0 {
		effects.Send(node, &schema.RelayedResponses{Responses: batch.responses})
	}
	batch.polls, batch.responses, batch.sentAt = nil, nil, now
}

// sendDue sends the batches that are due, and forgets nodes that get none any more.
func (r *Relay) sendDue(now eventloop.Micros, effects eventloop.Effects) {
	for _, node := range slices.Sorted(maps.Keys(r.batches)) {
		batch := r.batches[node]
		r.sendIfDue(now, node, batch, effects)
		if now-batch.sentAt > batchRetention {
			delete(r.batches, node)
		}
	}
}

// passOnResponses sends the agents the responses in a batch. One that can't be decoded counts as lost.
func passOnResponses(batch *schema.RelayedResponses, effects eventloop.Effects) {
	for _, relayed := range batch.Responses {
		response := &schema.WorkerPollResponse{}
		if proto.Unmarshal(relayed.GetData(), response) == nil {
			effects.Send(relayed.GetAgent(), response)
		}
	}
}

// DecodePoll returns a relayed poll, or an error of the package proto if it can't be decoded.
func DecodePoll(relayed *schema.RelayedMessage) (*schema.WorkerPollRequest, error) {
	poll := &schema.WorkerPollRequest{}
	return poll, proto.Unmarshal(relayed.GetData(), poll)
}
