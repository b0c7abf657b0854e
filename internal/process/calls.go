package process

// This file passes messages to and from the components of a node: requests from this
// process, messages from other processes, and the components' effects.

import (
	"context"
	"time"

	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/gateway"
)

// Call posts a request to a component and waits for the response. newMessage makes the
// request from the ID and the deadline that it is passed. Call returns nil when the
// timeout has passed or the context has ended, and gateway.Overloaded when the
// component's mailbox is full. A component that the node doesn't have is treated as
// full.
func (n *Node) Call(ctx context.Context, component string, timeout eventloop.Micros, newMessage func(requestID uint64, deadline eventloop.Micros) any) any {
	requestID := n.lastRequestID.Add(1)
	waiter := make(chan any, 1)
	n.mu.Lock()
	n.waiters[requestID] = waiter
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.waiters, requestID)
		n.mu.Unlock()
	}()
	if !n.loop.Post(component, eventloop.Message{Body: newMessage(requestID, n.Clock.Now()+timeout)}) {
		return gateway.Overloaded(1)
	}
	timer := time.NewTimer(timeout.Duration())
	defer timer.Stop()
	select {
	case response := <-waiter:
		return response
	case <-timer.C:
	case <-ctx.Done():
	}
	n.loop.Post(component, eventloop.Message{Body: gateway.ForgetRequest{RequestID: requestID}})
	return nil
}

// ReportHeartbeat passes a worker's heartbeat to the agent. It returns false if there
// is no agent or the agent's mailbox is full.
func (n *Node) ReportHeartbeat(heartbeat agent.Heartbeat) bool {
	return n.loop.Post(AgentComponent, eventloop.Message{Body: heartbeat})
}

// ReportDeparture tells the agent that a worker departs. It returns false if there is
// no agent or the agent's mailbox is full.
func (n *Node) ReportDeparture(departed agent.Departed) bool {
	return n.loop.Post(AgentComponent, eventloop.Message{Body: departed})
}

// deliver passes a message from another process to the component that handles it.
func (n *Node) deliver(from string, body any) {
	n.loop.Post(ComponentFor(n.Member.Role, body), eventloop.Message{From: from, Body: body})
}

// nodeEffects implements eventloop.Effects for a Node's components.
type nodeEffects Node

// Send sends a message to the process with the given ID, which may be this process.
func (e *nodeEffects) Send(to string, body any) {
	n := (*Node)(e)
	if to == n.Member.Id {
		n.deliver(to, body)
		return
	}
	n.transport.SendTo(to, n.addresses.Address(to), body)
}

// SendToAddress sends a message to the process that listens at an internal address,
// whatever its ID.
func (e *nodeEffects) SendToAddress(address string, body any) { e.transport.Send(address, body) }

// Notify sends a message to a component of this process.
func (e *nodeEffects) Notify(component string, body any) { e.loop.Notify(component, body) }

// Respond completes the Call with the given request ID. It does nothing if no caller
// waits for the response any more.
func (e *nodeEffects) Respond(requestID uint64, body any) {
	e.mu.Lock()
	waiter := e.waiters[requestID]
	delete(e.waiters, requestID)
	e.mu.Unlock()
	if waiter != nil {
		waiter <- body
	}
}
