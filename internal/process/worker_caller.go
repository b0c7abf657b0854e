package process

import (
	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
)

const (
	maxConcurrentCalls       = 64 // starts and stops of tasks
	maxConcurrentInspections = 4  // inspections are long polls, so they have a limit of their own
)

// workerCaller is the component that carries out the agent's calls to its worker. Each
// call has a goroutine of its own, because it may block. The slots limit how many calls
// run at once.
type workerCaller struct {
	client          agent.WorkerClient
	reply           func(agent.Reply)
	callSlots       chan struct{}
	inspectionSlots chan struct{}
}

func newWorkerCaller(client agent.WorkerClient, reply func(agent.Reply)) *workerCaller {
	return &workerCaller{
		client: client, reply: reply,
		callSlots: make(chan struct{}, maxConcurrentCalls), inspectionSlots: make(chan struct{}, maxConcurrentInspections),
	}
}

// Step implements eventloop.Component.
func (c *workerCaller) Step(_ eventloop.Micros, message eventloop.Message, _ eventloop.Effects) {
	call, isCall := message.Body.(agent.Call)
	if !isCall {
		return
	}
	slots := c.callSlots
	if call.Action == agent.Inspect {
		slots = c.inspectionSlots
	}
	select {
	case slots <- struct{}{}:
	default:
		// Nothing was sent, so the agent may retry the call. Sending the reply may block
		// on the agent's mailbox, and a step must not block.
		go c.reply(agent.Reply{Number: call.Number, Outcome: agent.Busy})
		return
	}
	go func() {
		defer func() { <-slots }()
		reply := c.client.Call(call)
		reply.Number = call.Number
		c.reply(reply)
	}()
}
