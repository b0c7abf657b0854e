// Package process owns which tables a process is made of and where each message
// goes, for real processes and simulated ones alike.
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

// ComponentSlot is one table of a process and its pace.
type ComponentSlot struct {
	Name         string
	Component    eventloop.Component
	TickInterval eventloop.Micros
}

// Config are what a process starts with.
type Config struct {
	Member                       *schema.Member
	Seeds                        []string
	Bootstrap                    bool              // the whole system starts for the first time
	DiskBytes                    int64             // that the data folder may hold; 0: not told
	MachineFailures              uint32            // stores that may be lost at once; 0: one
	ZoneFailures, RegionFailures uint32            // that may be lost whole
	RegionByZone                 map[string]string // of each zone
	Storage                      *storage.State    // nil without a data folder
	AddressBook                  *membership.AddressBook
	WallClock                    func() int64
	RandomSeed                   uint64
	Now                          eventloop.Micros
	Bounds                       *schema.Bounds
	CallsWorker                  bool // a side process that calls the worker on its machine: there is a "caller"
}

func (c *Config) newRand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(c.RandomSeed, stream))
}

func (c *Config) membershipConfig(isAgentNode bool) membership.Config {
	return membership.Config{
		Seeds: c.Seeds, Bootstrap: c.Bootstrap, MachineFailures: c.MachineFailures, IsAgentNode: isAgentNode, ZoneFailures: c.ZoneFailures, RegionFailures: c.RegionFailures, RegionByZone: c.RegionByZone,
	}
}

// ServerComponents makes a front process's tables.
func ServerComponents(cfg *Config) []ComponentSlot {
	var identity *schema.StoreIdentity
	readers := []string{"gateway"}
	if cfg.Storage != nil {
		identity = cfg.Storage.Identity
		readers = append(readers, "replica")
	}
	member := cfg.Member
	slots := []ComponentSlot{
		{"membership", membership.New(proto.Clone(member).(*schema.Member), cfg.membershipConfig(false), identity, cfg.AddressBook, readers, cfg.newRand(1)), membership.TickInterval},
		{"gateway", gateway.New(member.Id, member.Incarnation, cfg.Storage != nil, cfg.newRand(2)).WithBounds(cfg.Bounds), gateway.TickInterval},
	}
	if cfg.Storage != nil {
		slots = append(slots,
			ComponentSlot{"replica", replica.New(member.Id, cfg.Storage, cfg.WallClock, raft.DefaultTimeouts, cfg.RandomSeed, cfg.Now).WithTolerance(cfg.membershipConfig(false).Tolerance()).WithBounds(cfg.Bounds).WithDiskCapacity(cfg.DiskBytes), replica.TickInterval},
			ComponentSlot{"scheduler", scheduler.New(member.Id).WithBounds(cfg.Bounds), scheduler.TickInterval},
		)
	}
	return slots
}

// ControllerComponents makes a side process's tables.
func ControllerComponents(cfg *Config) []ComponentSlot {
	var readers []string
	var slots []ComponentSlot
	if cfg.CallsWorker {
		readers = []string{"agent"}
		slots = []ComponentSlot{{"agent", agent.New(cfg.Bounds, uint64(cfg.WallClock())), agent.TickInterval}}
	}
	return append([]ComponentSlot{
		{"membership", membership.New(proto.Clone(cfg.Member).(*schema.Member), cfg.membershipConfig(true), nil, cfg.AddressBook, []string{"controller"}, cfg.newRand(1)), membership.TickInterval},
		{"controller", controller.New(cfg.Member.Id, cfg.MachineFailures, readers...).WithTolerance(cfg.membershipConfig(true).Tolerance()).WithBounds(cfg.Bounds), controller.TickInterval},
	}, slots...)
}

// Component names the table a message from another process is for.
func ComponentFor(role schema.Role, body any) string {
	switch body.(type) {
	case *schema.Gossip:
		return "membership"
	case *schema.SubmitResponse:
		return "gateway"
	case *schema.WorkerPollResponse:
		if role == schema.Role_ROLE_CONTROLLER {
			return "agent"
		}
		return "gateway"
	case *schema.Response, *schema.ClusterStateResponse:
		if role == schema.Role_ROLE_CONTROLLER {
			return "controller"
		}
		return "gateway"
	case *schema.WorkerPollRequest, *schema.TaskEndAck:
		return "scheduler"
	}
	return "replica"
}
