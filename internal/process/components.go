// Package process assembles a node of the cluster from its components: which it has,
// and which of them each message goes to.
//
// There are two kinds of nodes, by their role: ROLE_SERVER is a gateway node, and with a
// data directory a storage node too; ROLE_CONTROLLER is an agent node, which runs beside
// a worker and is a candidate for the controller lease. GatewayNodeComponents and
// AgentNodeComponents make their components; the simulator runs these on a simulated
// clock, network and disk.
//
// Node runs them in a real process. It owns the process's transport, its store and the
// goroutines; each component owns its own state and is driven by eventloop.Process.
package process

import (
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/agent"
	"sparnotch/internal/controller"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/gateway"
	"sparnotch/internal/membership"
	"sparnotch/internal/raft"
	"sparnotch/internal/replica"
	"sparnotch/internal/scheduler"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// Names of components.
const (
	AgentComponent        = "agent"
	ControllerComponent   = "controller"
	GatewayComponent      = "gateway"
	MembershipComponent   = "membership"
	ReplicaComponent      = "replica"
	SchedulerComponent    = "scheduler"
	StorageComponent      = "storage" // writes batches; a Node's or the simulator's
	WorkerCallerComponent = "caller"  // calls the worker; likewise
)

// Streams of random numbers: each component that needs one has its own.
const (
	membershipStream = 1
	gatewayStream    = 2
)

// ComponentSlot is a component of a process.
type ComponentSlot struct {
	Name         string
	Component    eventloop.Component
	TickInterval eventloop.Micros // 0: no ticks
}

// Config is what the components of a process start with.
type Config struct {
	Member          *schema.Member
	Seeds           []string // internal addresses, IP:PORT
	Bootstrap       bool     // the whole system starts for the first time
	DiskBytes       int64    // that the data directory may hold; 0: unlimited
	MachineFailures uint32   // at once, that must be tolerated; 0: one
	ZoneFailures    uint32   // of whole zones, likewise
	RegionFailures  uint32   // of whole regions, likewise
	RegionByZone    map[string]string
	Storage         *storage.State // nil without a data directory
	AddressBook     *membership.AddressBook
	WallClock       func() int64 // microseconds since 1970
	RandomSeed      uint64
	Now             eventloop.Micros
	Bounds          *schema.Bounds
	CallsWorker     bool // of an agent node: it has a WorkerCallerComponent
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

// newMembership makes the membership component, which notifies the readers of each new
// view.
func (c *Config) newMembership(isAgentNode bool, identity *schema.StoreIdentity, readers []string) ComponentSlot {
	member := proto.Clone(c.Member).(*schema.Member)
	component := membership.New(member, c.membershipConfig(isAgentNode), identity, c.AddressBook, readers, c.newRand(membershipStream))
	return ComponentSlot{MembershipComponent, component, membership.TickInterval}
}

// GatewayNodeComponents makes the components of a gateway node, and with Storage those of a
// storage node. It panics with replica.UndecodableState where the storage holds what can't be
// decoded.
func GatewayNodeComponents(cfg *Config) []ComponentSlot {
	hasStorage := cfg.Storage != nil
	var identity *schema.StoreIdentity
	readers := []string{GatewayComponent}
	if hasStorage {
		identity = cfg.Storage.Identity
		readers = append(readers, ReplicaComponent)
	}
	id := cfg.Member.Id
	gatewayComponent := gateway.New(id, cfg.Member.Incarnation, hasStorage, cfg.newRand(gatewayStream)).WithBounds(cfg.Bounds)
	slots := []ComponentSlot{
		cfg.newMembership(false, identity, readers),
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
	)
}

// AgentNodeComponents makes the components of an agent node.
func AgentNodeComponents(cfg *Config) []ComponentSlot {
	var readers []string // of the controller's updates
	if cfg.CallsWorker {
		readers = []string{AgentComponent}
	}
	controllerComponent := controller.New(cfg.Member.Id, cfg.MachineFailures, readers...).
		WithTolerance(cfg.membershipConfig(true).Tolerance()).
		WithBounds(cfg.Bounds)
	slots := []ComponentSlot{
		cfg.newMembership(true, nil, []string{ControllerComponent}),
		{ControllerComponent, controllerComponent, controller.TickInterval},
	}
	if cfg.CallsWorker {
		slots = append(slots, ComponentSlot{AgentComponent, agent.New(cfg.Bounds, uint64(cfg.WallClock())), agent.TickInterval})
	}
	return slots
}

// ComponentFor returns the name of the component that a message from another process
// goes to, in a process of this role.
func ComponentFor(role schema.Role, body any) string {
	isAgentNode := role == schema.Role_ROLE_CONTROLLER
	switch body.(type) {
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
	case *schema.WorkerPollRequest, *schema.TaskEndAck:
		return SchedulerComponent
	}
	return ReplicaComponent
}
