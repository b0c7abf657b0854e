package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/hollow"
	"sparnotch/internal/httpapi"
	"sparnotch/internal/membership"
	"sparnotch/internal/process"
	"sparnotch/internal/schema"
	"sparnotch/internal/transport"
)

const (
	shutdownTimeoutUs = 1_000_000
	controllerName    = "controller" // name of the component
)

// hollowResources is the capacity of each worker: 64 cores and 128 GB.
var hollowResources = hollow.Resources{Cores: 64_000, Memory: 128_000}

// startNodes starts storage or gateway nodes. Unlike the agent nodes, these are complete
// nodes.
func (p *hollowProcess) startNodes(hasStorage bool) error {
	for k := p.first; k < p.first+p.count; k++ {
		settings := &schema.Settings{
			Zone: p.config.zone(k), InternalAddress: p.config.address(k, internalPort), HttpAddress: p.config.address(k, httpPort),
			Seeds: p.config.seeds(), ShutdownTimeoutUs: shutdownTimeoutUs,
		}
		if hasStorage {
			settings.DataDir, settings.TestSyncUs, settings.InitialBootstrap = fmt.Sprintf("%s/store%d", p.config.Folder, k), p.config.SyncUs, true
		}
		node, err := process.Start(settings, schema.Role_ROLE_SERVER, zap.NewNop())
		if err != nil {
			return err
		}
		if _, err := httpapi.Serve(node, zap.NewNop()); err != nil {
			return err
		}
		p.processes = append(p.processes, node)
	}
	return nil
}

// hollowEffects sends the messages of the components of a hollow node.
type hollowEffects struct {
	network *transport.Transport
	members *membership.AddressBook
	loop    *eventloop.Loop
}

func (e *hollowEffects) Send(to string, body any)               { e.network.SendTo(to, e.members.Address(to), body) }
func (e *hollowEffects) SendToAddress(address string, body any) { e.network.Send(address, body) }
func (e *hollowEffects) Notify(component string, body any)      { e.loop.Notify(component, body) }
func (e *hollowEffects) Respond(request uint64, body any)       {}

// deliver passes a message from the network to the components that it is for.
func (e *hollowEffects) deliver(from string, body any) {
	for _, component := range hollow.ComponentsFor(body) {
		e.loop.Post(component, eventloop.Message{From: from, Body: body})
	}
}

// startAgents starts the hollow agent nodes of this process.
func (p *hollowProcess) startAgents(ctx context.Context) error {
	for k := p.first; k < p.first+p.count; k++ {
		if err := p.startAgent(ctx, k); err != nil {
			return err
		}
	}
	return nil
}

// startAgent starts the hollow agent node with the index k. It has the components of a real
// agent node, the controller among them, but a hollow agent.
func (p *hollowProcess) startAgent(ctx context.Context, k int) error {
	host := firstAgentHost + k
	clock := eventloop.RealClock()
	seed := rand.Uint64()
	member := &schema.Member{
		Id: fmt.Sprintf("%016x", seed), Incarnation: 1, Role: schema.Role_ROLE_CONTROLLER, Zone: p.config.zone(k),
		InternalAddress: p.config.address(host, internalPort), HttpAddress: p.config.address(host, httpPort),
	}
	members := &membership.AddressBook{}
	config := &process.Config{Member: member, Seeds: p.config.seeds(), AddressBook: members, WallClock: clock.Wall, RandomSeed: seed, Now: clock.Now(), ViewSubscribers: []string{hollow.AgentName}}
	loop := eventloop.NewLoop(clock)
	effects := &hollowEffects{members: members, loop: loop}
	loop.Outbound = effects
	for _, slot := range process.AgentNodeComponents(config) {
		// A node that isn't a controller candidate has a StatePoller in place of the
		// controller.
		if slot.Name == controllerName && p.config.Controllers > 0 && k >= p.config.Controllers {
			loop.Add(slot.Name, &hollow.StatePoller{}, hollow.StatePollInterval)
			continue
		}
		loop.Add(slot.Name, slot.Component, slot.TickInterval)
	}
	loop.Add(hollow.AgentName, p.newAgent(clock.Now(), k, seed), hollow.AgentTickInterval)
	network, err := transport.Listen(transport.Identity{ID: member.Id, Boot: member.Incarnation}, member.InternalAddress, effects.deliver)
	if err != nil {
		return err
	}
	effects.network = network
	p.networks, p.loops = append(p.networks, network), append(p.loops, loop)
	loop.Run(ctx)
	return nil
}

// newAgent returns a hollow agent for the agent node with the index k. Its hooks count the
// events of its worker.
func (p *hollowProcess) newAgent(now eventloop.Micros, k int, seed uint64) *hollow.Agent {
	hooks := hollow.Hooks{
		OnStart: func(_ eventloop.Micros, job string, _, _ uint32) {
			p.running.Add(1)
			p.recordStart(job)
		},
		OnEnd: func() {
			p.running.Add(-1)
		},
		OnConfig: func(_ eventloop.Micros, revision uint64) { p.recordConfig(revision) },
	}
	name, rack := fmt.Sprintf("w%04d", k), fmt.Sprintf("r%d", k/p.config.PerRack)
	return hollow.New(now, name, rack, hollowResources, uint64(time.Now().UnixMicro()), rand.New(rand.NewPCG(seed, 2)), hooks)
}
