package process

import (
	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
)

const (
	mostCalls = 64 // starts and stops at once
	mostLooks = 4  // looks wait at the worker, so they have room of their own
)

// callerTable puts each call to a goroutine, for calls may block.
type callerTable struct {
	hand         agent.WorkerClient
	reply        func(agent.Reply)
	calls, looks chan struct{}
}

func newCallerTable(hand agent.WorkerClient, reply func(agent.Reply)) *callerTable {
	return &callerTable{hand: hand, reply: reply, calls: make(chan struct{}, mostCalls), looks: make(chan struct{}, mostLooks)}
}

func (c *callerTable) Step(now eventloop.Micros, mail eventloop.Message, out eventloop.Effects) {
	call, isCall := mail.Body.(agent.Call)
	if !isCall {
		return
	}
	room := c.calls
	if call.Action == agent.Inspect {
		room = c.looks
	}
	select {
	case room <- struct{}{}:
	default:
		// Nothing was done, and it may be tried again.
		go c.reply(agent.Reply{Number: call.Number, Outcome: agent.Busy})
		return
	}
	go func() {
		defer func() { <-room }()
		reply := c.hand.Call(call)
		reply.Number = call.Number
		c.reply(reply)
	}()
}
