package sim

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"sparnotch/internal/checker"
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/gateway"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// platformFaultActions are the kinds of trouble that the users' platform knows
// beside those of schedule.go.
var platformFaultActions = map[string]faultAction{
	// A process ends at once, its files stay as they were written.
	"abort": {"leader store lean side", true, func(f *Fleet, n string, duration eventloop.Micros) {
		h := f.host(n)
		f.RecordFault("the process of %s killed", h.Name)
		h.Abort()
		f.After(min(duration, eventloop.Second), h.Start)
	}},
	// The disk is lost, the machine comes back at its old address.
	"wipe": {"leader store", true, func(f *Fleet, n string, duration eventloop.Micros) { f.wipe(f.host(n), duration) }},
	// A successor comes first, then the machine leaves in order.
	"succeed": {"leader store", true, func(f *Fleet, n string, _ eventloop.Micros) { f.replaceGracefully(f.host(n)) }},
	// A disk machine can't speak to the other two, but to everybody else.
	"corecut": {"leader store", true, func(f *Fleet, n string, duration eventloop.Micros) {
		f.partitionFromCore(f.host(n), duration, true, true)
	}},
	"coremute": {"leader store", true, func(f *Fleet, n string, duration eventloop.Micros) {
		f.partitionFromCore(f.host(n), duration, true, false)
	}},
	"coredeaf": {"leader store", true, func(f *Fleet, n string, duration eventloop.Micros) {
		f.partitionFromCore(f.host(n), duration, false, true)
	}},
	// The seeds begin with one that is cut off, and processes start inside the cut.
	"seedcut": {"leader store", true, func(f *Fleet, n string, duration eventloop.Micros) { f.partitionSeeds(f.host(n), duration) }},
	// The settings name other machines; some processes start with them.
	"turnover": {"all", false, func(f *Fleet, _ string, _ eventloop.Micros) { f.rotateSeeds() }},
	// Right after the next acknowledgement of a replace or a hand-in.
	"ackkill": {"all", true, func(f *Fleet, _ string, duration eventloop.Micros) {
		f.afterAcknowledgement(func(h *Host) { f.kill(h, duration) })
	}},
	"ackpower": {"all", true, func(f *Fleet, _ string, duration eventloop.Micros) {
		f.afterAcknowledgement(func(h *Host) { f.kill(f.leaderOrFirst(), duration) })
	}},
	"ackwipe": {"all", true, func(f *Fleet, _ string, duration eventloop.Micros) {
		f.afterAcknowledgement(func(h *Host) { f.wipe(f.leaderOrFirst(), duration) })
	}},
	// All disk machines at once.
	"herd": {"all", true, func(f *Fleet, _ string, duration eventloop.Micros) {
		f.powerCycleStorageNodes(min(duration, 2*eventloop.Second))
	}},
	"ackherd": {"all", true, func(f *Fleet, _ string, duration eventloop.Micros) {
		f.afterAcknowledgement(func(*Host) { f.powerCycleStorageNodes(min(duration, 2*eventloop.Second)) })
	}},
	// Closing faults: everything goes right after an acknowledgement.
	"closepower": {"all", true, func(f *Fleet, _ string, duration eventloop.Micros) {
		f.afterAcknowledgement(func(*Host) { f.stopAll(duration, (*Host).Kill) })
	}},
	"closekill": {"all", true, func(f *Fleet, _ string, duration eventloop.Micros) {
		f.afterAcknowledgement(func(*Host) { f.stopAll(duration, (*Host).Abort) })
	}},
	"closewipe": {"all", true, func(f *Fleet, _ string, duration eventloop.Micros) {
		f.afterAcknowledgement(func(*Host) {
			f.wipe(f.leaderOrFirst(), duration)
			f.stopAll(duration, (*Host).Kill)
		})
	}},
	// A disk takes no more, or its syncs fail.
	"full": {"leader store", true, func(f *Fleet, n string, duration eventloop.Micros) {
		f.refuseWrites(f.host(n), DiskFault{IsFull: true}, duration)
	}},
	"nosync": {"leader store", true, func(f *Fleet, n string, duration eventloop.Micros) {
		f.refuseWrites(f.host(n), DiskFault{SyncFails: true}, duration)
	}},
	"drag": {"leader store lean side", true, func(f *Fleet, n string, duration eventloop.Micros) { f.slowDown(f.host(n), duration) }},
	"resets": {"leader store lean side", false, func(f *Fleet, n string, duration eventloop.Micros) {
		f.resetConnections(f.host(n))
		f.After(duration/2, func() { f.resetConnections(f.host(n)) })
	}},
	"clocks": {"all", false, func(f *Fleet, _ string, duration eventloop.Micros) { f.stepClocks(duration) }},
	"ackloss": {"all", false, func(f *Fleet, _ string, duration eventloop.Micros) {
		f.acknowledgementLossRate = 0.7
		f.After(duration, func() { f.acknowledgementLossRate = 0 })
	}},
	"bad": {"numbered", false, func(f *Fleet, _ string, _ eventloop.Micros) { f.putInvalidConfigurations() }},
	// Many operators at once, each on what it has just read.
	"crowd": {"all", false, func(f *Fleet, _ string, _ eventloop.Micros) {
		for k := range 8 {
			f.PutConfiguration(fmt.Sprint("crowd-", k), f.ConfigurationRows(20+f.Rng.IntN(60)))
		}
	}},
	"hang": {"called", false, func(f *Fleet, n string, duration eventloop.Micros) {
		w := f.worker(n).(*CalledWorker)
		w.SetUnhealthy(0, 1)
		f.After(duration, func() { w.SetUnhealthy(0, 0) })
	}},
}

// --- machines ---

// wipe loses a machine's power and disk; it comes back empty where it was.
func (f *Fleet) wipe(h *Host, duration eventloop.Micros) {
	f.RecordFault("%s loses its disk", h.Name)
	h.Wipe()
	f.After(duration, h.Start)
}

// replaceGracefully replaces a machine as planned: the new one first.
func (f *Fleet) replaceGracefully(old *Host) {
	f.RecordFault("%s is to leave for a new one", old.Name)
	newHost := f.AddHost(old.Name+"'", old.Zone, old.Role, true)
	newHost.CPUShare = old.CPUShare
	for _, other := range f.Hosts {
		if other.IsUp && len(newHost.Seeds) < 3 {
			newHost.Seeds = append(newHost.Seeds, other.Address)
		}
	}
	newHost.Start()
	f.After(eventloop.Second, func() {
		f.RecordFault("%s warned", old.Name)
		old.Drain(6 * eventloop.Second)
	})
}

// refuseWrites has a disk refuse for a span.
func (f *Fleet) refuseWrites(h *Host, fault DiskFault, duration eventloop.Micros) {
	f.RecordFault("the disk of %s refuses", h.Name)
	h.RefuseWrites(fault, duration)
}

// leaderOrFirst is the store that leads most, or between two leaders any.
func (f *Fleet) leaderOrFirst() *Host { return f.host("leader") }

// powerCycleStorageNodes cuts the power of all disk machines.
func (f *Fleet) powerCycleStorageNodes(duration eventloop.Micros) {
	f.RecordFault("every disk machine loses power")
	for _, h := range f.StorageNodes() {
		if h.IsUp {
			h.Kill()
			f.After(duration, h.Start)
		}
	}
}

// stopAll ends every process in one way; what was down already comes back by
// itself.
func (f *Fleet) stopAll(duration eventloop.Micros, end func(*Host)) {
	f.RecordFault("every process ends right after an acknowledgement")
	for _, h := range f.Hosts {
		if h.IsUp {
			end(h)
			f.After(min(duration, 2*eventloop.Second), h.Start)
		}
	}
}

// partitionFromCore cuts what a store says to the other stores, what it hears of
// them, or both.
func (f *Fleet) partitionFromCore(h *Host, duration eventloop.Micros, isMute, isDeaf bool) {
	f.RecordFault("%s cut off from the other disk machines", h.Name)
	cut := func(blocked bool) {
		for _, other := range f.StorageNodes() {
			if other == h {
				continue
			}
			if isMute {
				f.BlockLink(h, other, blocked)
			}
			if isDeaf {
				f.BlockLink(other, h, blocked)
			}
		}
	}
	cut(true)
	f.After(duration, func() { cut(false) })
}

// partitionSeeds cuts a store off from the others, names it the first seed, and
// starts some processes that know nobody else but two diskless fronts.
func (f *Fleet) partitionSeeds(h *Host, duration eventloop.Micros) {
	f.partitionFromCore(h, duration, true, true)
	seeds := []string{h.Address}
	for _, node := range f.disklessGateways {
		seeds = append(seeds, node.Address)
	}
	seeds = seeds[:min(3, len(seeds))]
	f.After(duration/4, func() {
		for k, other := range f.Hosts {
			if other.Disk == nil && other.IsUp && k%3 == 2 {
				other.Seeds = seeds
				f.RecordFault("%s starts inside the cut", other.Name)
				other.Abort()
				f.After(200*eventloop.Millisecond, other.Start)
			}
		}
	})
}

// rotateSeeds has the settings name other machines, and starts some processes.
func (f *Fleet) rotateSeeds() {
	var seeds []string
	for _, h := range f.Gateways() {
		if h.IsUp {
			seeds = append(seeds, h.Address)
		}
	}
	f.Rng.Shuffle(len(seeds), func(a, b int) { seeds[a], seeds[b] = seeds[b], seeds[a] })
	seeds = seeds[:min(3, len(seeds))]
	f.RecordFault("the seeds are turned over")
	for k, h := range f.Hosts {
		h.Seeds = seeds
		if h.Disk == nil && h.IsUp && k%4 == 3 {
			h.Abort()
			f.After(500*eventloop.Millisecond, h.Start)
		}
	}
}

// slowDown makes a machine's steps cost a multiple.
func (f *Fleet) slowDown(h *Host, duration eventloop.Micros) {
	f.RecordFault("%s is slow", h.Name)
	usual := h.CPUShare
	h.CPUShare = 0.12
	if usual > 0 {
		h.CPUShare = usual / 5
	}
	f.After(duration, func() { h.CPUShare = usual })
}

// resetConnections breaks half of a machine's connections: the requests that are
// open there get no answer, and half of what is on the wire is lost.
func (f *Fleet) resetConnections(h *Host) {
	f.RecordFault("connections of %s reset", h.Name)
	h.resetUntil = f.Now + resetDuration
	for k, request := range slices.Sorted(maps.Keys(h.pendingRequests)) {
		if k%2 == 0 {
			answer := h.pendingRequests[request]
			delete(h.pendingRequests, request)
			answer(nil)
		}
	}
}

// stepClocks sets the time of day of about a third of all machines wrong by two
// seconds, all in one direction.
func (f *Fleet) stepClocks(duration eventloop.Micros) {
	step := int64(2 * eventloop.Second)
	if f.Rng.IntN(2) == 0 {
		step = -step
	}
	for _, h := range f.Hosts {
		if f.Rng.Float64() < 0.34 {
			h.WallClockOffset = step
			f.After(duration, func() { h.WallClockOffset = 0 })
		}
	}
}

// --- acknowledgements ---

// afterAcknowledgement does something within 4 ms of the next acknowledgement that a
// caller or an operator gets, and is told through which front that came.
func (f *Fleet) afterAcknowledgement(strike func(node *Host)) {
	f.observers = append(f.observers, func(e checker.Event) bool {
		isHandIn := e.Kind == checker.SubmitReply && (e.Code == 200 || e.Code == 201)
		isReplace := e.Kind == checker.ConfigurationReply && e.Code == 200
		if !isHandIn && !isReplace {
			return false
		}
		f.After(eventloop.Micros(f.Rng.Int64N(int64(4*eventloop.Millisecond))), func() { strike(f.host(strings.TrimRight(e.Gateway, "'"))) })
		return true
	})
}

// drawAcknowledgementLoss draws whether an acknowledgement is lost on its way.
func (s *Simulation) drawAcknowledgementLoss() bool {
	return s.acknowledgementLossRate > 0 && s.Rng.Float64() < s.acknowledgementLossRate
}

// putInvalidConfigurations sends sheets that must be refused: an old edition, the present
// edition with other content, and one built on what isn't there.
func (f *Fleet) putInvalidConfigurations() {
	f.readConfiguration(f.pickGateway(f.randomZone()), func(current *schema.Configuration) {
		if current == nil || current.Version < 2 {
			return
		}
		for k, configuration := range []*schema.ConfigurationUpdate{
			{Version: current.Version - 1, BaseVersion: current.Version},
			{Version: current.Version, BaseVersion: current.Version - 1},
			{Version: current.Version + 50, BaseVersion: current.Version - 1},
		} {
			configuration.Rows, configuration.Document = current.Rows, []byte(fmt.Sprintf("invalid %d %d", current.Version, k))
			f.sendInvalidConfiguration(configuration)
		}
	})
}

func (f *Fleet) sendInvalidConfiguration(configuration *schema.ConfigurationUpdate) {
	node := f.pickGateway(f.randomZone())
	f.Request(node, 2*eventloop.Second, func(request uint64, deadline eventloop.Micros) any {
		return gateway.LeaderRequest{RequestID: request, Kind: "clusterstate", Group: clusterstate.Group, Deadline: deadline, Body: replica.EncodeClusterStateCommand(
			&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: configuration}}})}
	}, func(answer any) {
		if reply, _ := answer.(gateway.Response); reply.Code > 0 && reply.Code < 300 {
			f.Record(checker.Event{Kind: checker.ConfigurationReply, Actor: "invalid", Gateway: node.Name, Code: reply.Code, Version: configuration.Version, State: checker.Invalid})
		}
	})
}

// closingFaults are the faults that a day ends with.
var closingFaults = []string{"closepower", "closekill", "closewipe"}

const (
	overlapRounds = 2
	overlapFaults = 3
	roundInterval = 20 * eventloop.Second
	roundSpread   = 2 * eventloop.Second // in which the faults of a round begin
)

// OverlappingSchedule draws any three kinds of faults that overlap, twice, and
// one that closes the day right after an acknowledgement.
func OverlappingSchedule(seed uint64, size FleetSpec) Schedule {
	rng := rand.New(rand.NewPCG(seed, 0x3a7))
	names := slices.DeleteFunc(FaultNames(), func(name string) bool {
		return slices.Contains(closingFaults, name) || len(faultActions[name].targetNames(size)) == 0
	})
	var list Schedule
	draw := func(names []string, from, spread eventloop.Micros) {
		for range 100 {
			what := names[rng.IntN(len(names))]
			targets := faultActions[what].targetNames(size)
			fault := ScheduledFault{
				Kind: what, Target: targets[rng.IntN(len(targets))],
				Duration: eventloop.Micros(2+rng.IntN(11)) * eventloop.Second / 2, At: from + eventloop.Micros(rng.Int64N(int64(spread/eventloop.Millisecond)))*eventloop.Millisecond,
			}
			isAgain := slices.ContainsFunc(list, func(other ScheduledFault) bool { return other.Kind == what })
			if next := append(slices.Clone(list), fault); !isAgain && next.Check(size) == nil {
				list = next
				return
			}
		}
	}
	for round := range eventloop.Micros(overlapRounds) {
		for range overlapFaults {
			draw(names, 3*eventloop.Second+round*roundInterval, roundSpread)
		}
	}
	// The last fault takes everything, so all must be back by then.
	end := 3*eventloop.Second + overlapRounds*roundInterval
	for _, fault := range list {
		if fault.isStorageLoss() {
			end = max(end, fault.recoveredAt(minSpacing))
		}
	}
	draw(closingFaults, end, roundSpread)
	return list
}
