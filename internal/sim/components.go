package sim

import (
	"strings"

	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/process"
	"sparnotch/internal/replica"
)

// stepCost is the average processor time of one step of a component on a whole core, in µs.
// docs/measurements.md describes how it was measured.
const stepCost = 110

// runOnCPU runs a call in the process with the given run number once the host's simulated CPU is
// free. The call is dropped if that process has ended.
func (h *Host) runOnCPU(run int, call func()) {
	if h.CPUShare == 0 {
		h.runWhenAwake(run, call)
		return
	}
	h.cpuBusyUntil = max(h.cpuBusyUntil, h.sim.Now) + eventloop.Micros(stepCost/h.CPUShare)
	h.sim.At(h.cpuBusyUntil, func() { h.runWhenAwake(run, call) })
}

// scheduleTicks sends a component its ticks at an interval, the first one after a delay.
func (h *Host) scheduleTicks(component string, interval, first eventloop.Micros) {
	run := h.run
	h.sim.After(first, func() {
		if h.run != run {
			return
		}
		// A tick is dropped while the previous one is pending, as with a time.Ticker.
		if !h.tickPending[component] {
			h.tickPending[component] = true
			h.runOnCPU(run, func() {
				h.tickPending[component] = false
				h.step(component, eventloop.Message{Body: eventloop.Tick{}})
			})
		}
		h.scheduleTicks(component, interval, interval)
	})
}

// step passes a message to the component of the given name, if the process has one.
func (h *Host) step(name string, message eventloop.Message) {
	component := h.components[name]
	if component == nil {
		return
	}
	h.Steps++
	if h.sim.CPUClock == nil {
		component.Step(h.now(), message, &effects{h})
		return
	}
	began := h.sim.CPUClock()
	component.Step(h.now(), message, &effects{h})
	h.sim.OnStepTime(h, name, h.sim.CPUClock()-began)
}

// deliver puts a message into a component's mailbox. The component receives the messages
// of its mailbox in order, each after a short random delay.
func (h *Host) deliver(component string, message eventloop.Message) {
	run := h.run
	at := max(h.sim.Now+eventloop.Micros(10+h.sim.Rng.Int64N(60)), h.lastDelivery[component])
	h.lastDelivery[component] = at
	h.sim.At(at, func() { h.runOnCPU(run, func() { h.step(component, message) }) })
}

// receive passes a message from another process to the components that handle it.
func (h *Host) receive(sender string, body any) {
	run := h.run
	for _, component := range h.routes(body) {
		h.runOnCPU(run, func() { h.step(component, eventloop.Message{From: sender, Body: body}) })
	}
}

func (h *Host) routes(body any) []string {
	if h.Route != nil {
		return h.Route(body)
	}
	return []string{process.ComponentFor(h.Role, body)}
}

// effects implements the effects of the components of a host's process: messages,
// notifications and responses.
type effects struct{ host *Host }

// Send sends a message to the process with the given id.
func (e *effects) Send(to string, body any) {
	h := e.host
	if to == h.ID {
		h.deliver(process.ComponentFor(h.Role, body), eventloop.Message{From: to, Body: body})
		return
	}
	h.sim.send(h, to, h.addresses.Address(to), body)
}

// SendToAddress sends a message to whichever process runs at an address.
func (e *effects) SendToAddress(address string, body any) { e.host.sim.send(e.host, "", address, body) }

// Notify sends a message to another component of the process. Batches of writes go to the
// simulated disk, and calls to workers go to the worker on the simulated machine.
func (e *effects) Notify(component string, body any) {
	h := e.host
	switch b := body.(type) {
	case agent.Call:
		h.callWorker(b)
	case replica.Batch:
		h.write(b)
	default:
		if h.components[component] != nil {
			h.deliver(component, eventloop.Message{Body: body})
		}
	}
}

// Respond sends the response to a client's request, if that is still pending.
func (e *effects) Respond(request uint64, body any) {
	if answer := e.host.pendingRequests[request]; answer != nil {
		delete(e.host.pendingRequests, request)
		answer(body)
	}
}

// StateView returns the state of the replicas on a host without advancing virtual time. It
// returns nil if the host is down or has no replicas.
func (h *Host) StateView() *replica.NodeStateView {
	component := h.components["replica"]
	if !h.IsUp || component == nil {
		return nil
	}
	var view *replica.NodeStateView
	record := func(body any) { view, _ = body.(*replica.NodeStateView) }
	component.Step(h.now(), eventloop.Message{Body: replica.StateViewRequest{Request: 1}}, &responseRecorder{effects{h}, record})
	return view
}

// Groups returns the names of the groups that the host has replicas of and whose names
// start with a prefix.
func (h *Host) Groups(prefix string) []string {
	var list []string
	if view := h.StateView(); view != nil {
		for _, group := range view.Groups {
			if strings.HasPrefix(group.Group, prefix) {
				list = append(list, group.Group)
			}
		}
	}
	return list
}

// responseRecorder passes responses to a callback instead of sending them to clients.
type responseRecorder struct {
	effects
	onResponse func(any)
}

// Respond passes the response to the callback.
func (r *responseRecorder) Respond(_ uint64, body any) { r.onResponse(body) }
