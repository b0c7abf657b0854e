package process

// How messages enter and leave the components of a node: requests from this process,
// messages from other ones, and the components' effects.

import (
	"context"
	"time"

	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/gateway"
)

// Call posts a request to a component and waits for the response; newMessage makes the
// request for the id and deadline that it is given. It returns nil when the timeout is
// over or the context has ended, and gateway.Overloaded where the component's mailbox is
// full. A component that the node doesn't have counts as full.
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

// ReportHeartbeat passes a worker's heartbeat to the agent. It returns false where there
// is no agent or its mailbox is full.
func (n *Node) ReportHeartbeat(heartbeat agent.Heartbeat) bool {
	return n.loop.Post(AgentComponent, eventloop.Message{Body: heartbeat})
}

// ReportDeparture tells the agent that a worker has ended. It returns false where there
// is no agent or its mailbox is full.
func (n *Node) ReportDeparture(departed agent.Departed) bool {
	return n.loop.Post(AgentComponent, eventloop.Message{Body: departed})
}

// deliver takes a message from another process.
func (n *Node) deliver(from string, body any) {
	n.loop.Post(ComponentFor(n.Member.Role, body), eventloop.Message{From: from, Body: body})
}

// nodeEffects implements eventloop.Effects for a Node's components.
type nodeEffects Node

// Send sends a message to the process with an id, which may be this one.
func (e *nodeEffects) Send(to string, body any) {
	n := (*Node)(e)
	if to == n.Member.Id {
		n.deliver(to, body)
		return
	}
	n.transport.SendTo(to, n.addresses.Address(to), body)
}

// SendToAddress sends a message to whichever process is at an internal address.
func (e *nodeEffects) SendToAddress(address string, body any) { e.transport.Send(address, body) }

// Notify sends a message to a component of this process.
func (e *nodeEffects) Notify(component string, body any) { e.loop.Notify(component, body) }

// Respond completes a Call; nobody may wait for it any more.
func (e *nodeEffects) Respond(requestID uint64, body any) {
	e.mu.Lock()
	waiter := e.waiters[requestID]
	delete(e.waiters, requestID)
	e.mu.Unlock()
	if waiter != nil {
		waiter <- body
	}
}
