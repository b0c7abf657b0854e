package sim

import (
	"strings"

	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/process"
	"sparnotch/internal/replica"
)

// stepCost is what one step of a component costs a whole core, on average, in µs; see
// docs/measurements.md for how it was found.
const stepCost = 110

// runOnCPU runs a call in the process once its simulated CPU is free.
func (h *Host) runOnCPU(run int, call func()) {
	if h.CPUShare == 0 {
		h.runAwake(run, call)
		return
	}
	h.cpuBusyUntil = max(h.cpuBusyUntil, h.sim.Now) + eventloop.Micros(stepCost/h.CPUShare)
	h.sim.At(h.cpuBusyUntil, func() { h.runAwake(run, call) })
}

// scheduleTicks has a component tick from some time on.
func (h *Host) scheduleTicks(component string, interval, first eventloop.Micros) {
	run := h.run
	h.sim.After(first, func() {
		if h.run != run {
			return
		}
		// Like a time.Ticker, this drops a tick while the one before it is pending.
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

// step gives a message to a component, if the process has it.
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

// deliver puts a message into a component's mailbox, where it is found soon and in order.
func (h *Host) deliver(component string, message eventloop.Message) {
	run := h.run
	at := max(h.sim.Now+eventloop.Micros(10+h.sim.Rng.Int64N(60)), h.lastDelivery[component])
	h.lastDelivery[component] = at
	h.sim.At(at, func() { h.runOnCPU(run, func() { h.step(component, message) }) })
}

// receive takes a message of another process from the network.
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

// effects carries out what the components of a host's process do.
type effects struct{ host *Host }

// Send sends to a process by its id.
func (e *effects) Send(to string, body any) {
	h := e.host
	if to == h.ID {
		h.deliver(process.ComponentFor(h.Role, body), eventloop.Message{From: to, Body: body})
		return
	}
	h.sim.send(h, to, h.addresses.Address(to), body)
}

// SendToAddress sends to whichever process is at an address.
func (e *effects) SendToAddress(address string, body any) { e.host.sim.send(e.host, "", address, body) }

// Notify gives a message to another component of the process; writes and calls of workers
// go to the simulated disk and machine.
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

// Respond answers a client's request.
func (e *effects) Respond(request uint64, body any) {
	if answer := e.host.pendingRequests[request]; answer != nil {
		delete(e.host.pendingRequests, request)
		answer(body)
	}
}

// StateView asks a host's replicas for their state, outside of time; nil: it is down.
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

// Groups lists the replicas that a host holds whose group's name starts with a prefix.
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

// responseRecorder keeps responses from the clients.
type responseRecorder struct {
	effects
	onResponse func(any)
}

// Respond records the response.
func (r *responseRecorder) Respond(_ uint64, body any) { r.onResponse(body) }
