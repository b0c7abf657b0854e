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

// Berth is one table of a process and its pace.
type Berth struct {
	Name  string
	Table eventloop.Component
	Pace  eventloop.Micros
}

// Papers are what a process starts with.
type Papers struct {
	Member         *schema.Member
	Seeds          []string
	First          bool              // the whole system starts for the first time
	DiskBytes      int64             // that the data folder may hold; 0: not told
	Losses         uint32            // stores that may be lost at once; 0: one
	Zones, Regions uint32            // that may be lost whole
	RegionOf       map[string]string // of each zone
	Store          *storage.State    // nil without a data folder
	Book           *membership.AddressBook
	Wall           func() int64
	Seed           uint64
	Now            eventloop.Micros
	Bounds         *schema.Bounds
	Calls          bool // a side process that calls the worker on its machine: there is a "caller"
}

func (p *Papers) rng(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(p.Seed, stream)) }

func (p *Papers) terms(isSide bool) membership.Config {
	return membership.Config{
		Seeds: p.Seeds, Bootstrap: p.First, MachineFailures: p.Losses, IsAgentNode: isSide, ZoneFailures: p.Zones, RegionFailures: p.Regions, RegionByZone: p.RegionOf,
	}
}

// ServerTables makes a front process's tables.
func ServerTables(p *Papers) []Berth {
	var account *schema.StoreIdentity
	readers := []string{"gateway"}
	if p.Store != nil {
		account = p.Store.Identity
		readers = append(readers, "replica")
	}
	member := p.Member
	berths := []Berth{
		{"membership", membership.New(proto.Clone(member).(*schema.Member), p.terms(false), account, p.Book, readers, p.rng(1)), membership.TickInterval},
		{"gateway", gateway.New(member.Id, member.Incarnation, p.Store != nil, p.rng(2)).WithBounds(p.Bounds), gateway.TickInterval},
	}
	if p.Store != nil {
		berths = append(berths,
			Berth{"replica", replica.New(member.Id, p.Store, p.Wall, raft.DefaultTimeouts, p.Seed, p.Now).WithTolerance(p.terms(false).Tolerance()).WithBounds(p.Bounds).WithDiskCapacity(p.DiskBytes), replica.TickInterval},
			Berth{"scheduler", scheduler.New(member.Id).WithBounds(p.Bounds), scheduler.TickInterval},
		)
	}
	return berths
}

// ControllerTables makes a side process's tables.
func ControllerTables(p *Papers) []Berth {
	var readers []string
	var berths []Berth
	if p.Calls {
		readers = []string{"agent"}
		berths = []Berth{{"agent", agent.New(p.Bounds, uint64(p.Wall())), agent.TickInterval}}
	}
	return append([]Berth{
		{"membership", membership.New(proto.Clone(p.Member).(*schema.Member), p.terms(true), nil, p.Book, []string{"controller"}, p.rng(1)), membership.TickInterval},
		{"controller", controller.New(p.Member.Id, p.Losses, readers...).WithTolerance(p.terms(true).Tolerance()).WithBounds(p.Bounds), controller.TickInterval},
	}, berths...)
}

// Table names the table a message from another process is for.
func Table(role schema.Role, body any) string {
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
