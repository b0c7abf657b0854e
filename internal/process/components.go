// Package process assembles a node of the cluster from its components. It determines
// which components a node has, and which component handles each message.
//
// A node has one of two roles. A node with ROLE_SERVER is a gateway node; if it has a data
// directory, it is a storage node too. A node with ROLE_CONTROLLER is an agent node, which
// runs beside a worker and is a candidate for the controller lease. GatewayNodeComponents
// and AgentNodeComponents make the components of these nodes. The simulator runs the same
// components on a simulated clock, network and disk.
//
// Node runs the components in a real process. It owns the process's transport, its store
// and the goroutines; each component owns its own state and is driven by
// eventloop.Loop.
package process

import (
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/agent"
	"sparnotch/internal/controller"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/gateway"
	"sparnotch/internal/membership"
	"sparnotch/internal/pollrelay"
	"sparnotch/internal/raft"
	"sparnotch/internal/replica"
	"sparnotch/internal/scheduler"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// Names of the components of a node.
const (
	AgentComponent        = "agent"
	ControllerComponent   = "controller"
	GatewayComponent      = "gateway"
	MembershipComponent   = "membership"
	ReplicaComponent      = "replica"
	SchedulerComponent    = "scheduler"
	StorageComponent      = "storage" // writes batches to the disk; Node and the simulator each have their own
	WorkerCallerComponent = "caller"  // calls the worker; Node and the simulator each have their own
)

// Streams of the random number generator. Each component that needs random numbers has a
// stream of its own.
const (
	membershipStream = 1
	gatewayStream    = 2
)

// ComponentSlot is a component of a process, with its name and the interval of its
// ticks.
type ComponentSlot struct {
	Name         string
	Component    eventloop.Component
	TickInterval eventloop.Micros // 0: no ticks
}

// Config holds the initial parameters of a process's components.
type Config struct {
	Member          *schema.Member
	Seeds           []string // internal addresses, IP:PORT
	Bootstrap       bool     // the whole system starts for the first time
	DiskBytes       int64    // maximum size of the data directory; 0: unlimited
	MachineFailures uint32   // simultaneous failures of machines that must be tolerated; 0: one
	ZoneFailures    uint32   // simultaneous failures of whole zones that must be tolerated
	RegionFailures  uint32   // simultaneous failures of whole regions that must be tolerated
	RegionByZone    map[string]string
	Storage         *storage.State // nil without a data directory
	AddressBook     *membership.AddressBook
	WallClock       func() int64 // microseconds since 1970
	RandomSeed      uint64
	Now             eventloop.Micros
	Bounds          *schema.Bounds
	ViewSubscribers []string // further components of an agent node that receive the views of the members
	CallsWorker     bool     // on an agent node: it calls a worker, so it has an AgentComponent and a WorkerCallerComponent
}

func (c *Config) newRand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(c.RandomSeed, stream))
}

func (c *Config) membershipConfig(isAgentNode bool) membership.Config {
	return membership.Config{
		Seeds: c.Seeds, Bootstrap: c.Bootstrap, IsAgentNode: isAgentNode,
		MachineFailures: c.MachineFailures, ZoneFailures: c.ZoneFailures, RegionFailures: c.RegionFailures,
		RegionByZone: c.RegionByZone,
	}
}

// newMembership returns the membership component, which notifies the components named
// in subscribers of each new view of the members.
func (c *Config) newMembership(isAgentNode bool, identity *schema.StoreIdentity, subscribers []string) ComponentSlot {
	member := proto.Clone(c.Member).(*schema.Member)
	component := membership.New(member, c.membershipConfig(isAgentNode), identity, c.AddressBook, subscribers, c.newRand(membershipStream))
	return ComponentSlot{MembershipComponent, component, membership.TickInterval}
}

// GatewayNodeComponents returns the components of a gateway node, and if cfg.Storage is
// set, also those of a storage node. It panics with replica.UndecodableState if the stored
// state can't be decoded.
func GatewayNodeComponents(cfg *Config) []ComponentSlot {
	hasStorage := cfg.Storage != nil
	var identity *schema.StoreIdentity
	subscribers := []string{GatewayComponent}
	if hasStorage {
		identity = cfg.Storage.Identity
		subscribers = append(subscribers, ReplicaComponent, pollrelay.ComponentName)
	}
	id := cfg.Member.Id
	gatewayComponent := gateway.New(id, cfg.Member.Incarnation, hasStorage, cfg.newRand(gatewayStream)).WithBounds(cfg.Bounds)
	slots := []ComponentSlot{
		cfg.newMembership(false, identity, subscribers),
		{GatewayComponent, gatewayComponent, gateway.TickInterval},
	}
	if !hasStorage {
		return slots
	}
	replicaHost := replica.New(id, cfg.Storage, cfg.WallClock, raft.DefaultTimeouts, cfg.RandomSeed, cfg.Now).
		WithTolerance(cfg.membershipConfig(false).Tolerance()).
		WithBounds(cfg.Bounds).
		WithDiskCapacity(cfg.DiskBytes)
	return append(slots,
		ComponentSlot{ReplicaComponent, replicaHost, replica.TickInterval},
		ComponentSlot{SchedulerComponent, scheduler.New(id).WithBounds(cfg.Bounds), scheduler.TickInterval},
		ComponentSlot{pollrelay.ComponentName, pollrelay.New(), pollrelay.TickInterval},
	)
}

// AgentNodeComponents returns the components of an agent node.
func AgentNodeComponents(cfg *Config) []ComponentSlot {
	viewSubscribers := append([]string{ControllerComponent}, cfg.ViewSubscribers...)
	var stateSubscribers []string // components that the controller notifies of cluster states
	if cfg.CallsWorker {
		viewSubscribers = append(viewSubscribers, AgentComponent)
		stateSubscribers = []string{AgentComponent}
	}
	controllerComponent := controller.New(cfg.Member.Id, cfg.MachineFailures, stateSubscribers...).
		WithTolerance(cfg.membershipConfig(true).Tolerance()).
		WithBounds(cfg.Bounds)
	slots := []ComponentSlot{
		cfg.newMembership(true, nil, viewSubscribers),
		{ControllerComponent, controllerComponent, controller.TickInterval},
	}
	if cfg.CallsWorker {
		slots = append(slots, ComponentSlot{AgentComponent, agent.New(cfg.Bounds, uint64(cfg.WallClock())), agent.TickInterval})
	}
	return slots
}

// ComponentFor returns the name of the component that handles a message from another
// process, in a process with the given role.
func ComponentFor(role schema.Role, body any) string {
	isAgentNode := role == schema.Role_ROLE_CONTROLLER
	switch message := body.(type) {
	case *schema.Gossip:
		return MembershipComponent
	case *schema.SubmitResponse:
		return GatewayComponent
	case *schema.WorkerPollResponse:
		if isAgentNode {
			return AgentComponent
		}
		return GatewayComponent
	case *schema.Response, *schema.ClusterStateResponse:
		if isAgentNode {
			return ControllerComponent
		}
		return GatewayComponent
	case *schema.WorkerPollRequest:
		if message.Scheduler != "" {
			return pollrelay.ComponentName
		}
		return SchedulerComponent
	case *schema.RelayedResponses:
		return pollrelay.ComponentName
	case *schema.RelayedPolls, *schema.TaskEndAck:
		return SchedulerComponent
	}
	return ReplicaComponent
}
