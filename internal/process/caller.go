package process

import (
	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
)

const (
	maxConcurrentCalls = 64 // starts and stops at once
	maxConcurrentLooks = 4  // looks wait at the worker, so they have room of their own
)

// workerCaller puts each call to a goroutine, for calls may block.
type workerCaller struct {
	caller               agent.WorkerClient
	reply                func(agent.Reply)
	callSlots, lookSlots chan struct{}
}

func newWorkerCaller(caller agent.WorkerClient, reply func(agent.Reply)) *workerCaller {
	return &workerCaller{caller: caller, reply: reply, callSlots: make(chan struct{}, maxConcurrentCalls), lookSlots: make(chan struct{}, maxConcurrentLooks)}
}

func (c *workerCaller) Step(now eventloop.Micros, message eventloop.Message, effects eventloop.Effects) {
	call, isCall := message.Body.(agent.Call)
	if !isCall {
		return
	}
	slots := c.callSlots
	if call.Action == agent.Inspect {
		slots = c.lookSlots
	}
	select {
	case slots <- struct{}{}:
	default:
		// Nothing was done, and it may be tried again.
		go c.reply(agent.Reply{Number: call.Number, Outcome: agent.Busy})
		return
	}
	go func() {
		defer func() { <-slots }()
		reply := c.caller.Call(call)
		reply.Number = call.Number
		c.reply(reply)
	}()
}
