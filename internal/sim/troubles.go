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

// platformTroubles are the kinds of trouble that the users' platform knows
// beside those of schedule.go.
var platformTroubles = map[string]deed{
	// A process ends at once, its files stay as they were written.
	"abort": {"leader store lean side", true, func(f *Fleet, n string, span eventloop.Micros) {
		h := f.host(n)
		f.Fault("the process of %s killed", h.Name)
		h.Abort()
		f.After(min(span, eventloop.Second), h.Start)
	}},
	// The disk is lost, the machine comes back at its old address.
	"wipe": {"leader store", true, func(f *Fleet, n string, span eventloop.Micros) { f.wiped(f.host(n), span) }},
	// A successor comes first, then the machine leaves in order.
	"succeed": {"leader store", true, func(f *Fleet, n string, _ eventloop.Micros) { f.succeeded(f.host(n)) }},
	// A disk machine can't speak to the other two, but to everybody else.
	"corecut": {"leader store", true, func(f *Fleet, n string, span eventloop.Micros) { f.cutFromCore(f.host(n), span, true, true) }},
	"coremute": {"leader store", true, func(f *Fleet, n string, span eventloop.Micros) {
		f.cutFromCore(f.host(n), span, true, false)
	}},
	"coredeaf": {"leader store", true, func(f *Fleet, n string, span eventloop.Micros) {
		f.cutFromCore(f.host(n), span, false, true)
	}},
	// The seeds begin with one that is cut off, and processes start inside the cut.
	"seedcut": {"leader store", true, func(f *Fleet, n string, span eventloop.Micros) { f.seedsCutOff(f.host(n), span) }},
	// The settings name other machines; some processes start with them.
	"turnover": {"all", false, func(f *Fleet, _ string, _ eventloop.Micros) { f.turnSeeds() }},
	// Right after the next acknowledgement of a replace or a hand-in.
	"ackkill": {"all", true, func(f *Fleet, _ string, span eventloop.Micros) { f.onAcknowledged(func(h *Host) { f.killed(h, span) }) }},
	"ackpower": {"all", true, func(f *Fleet, _ string, span eventloop.Micros) {
		f.onAcknowledged(func(h *Host) { f.killed(f.leading(), span) })
	}},
	"ackwipe": {"all", true, func(f *Fleet, _ string, span eventloop.Micros) {
		f.onAcknowledged(func(h *Host) { f.wiped(f.leading(), span) })
	}},
	// All disk machines at once.
	"herd": {"all", true, func(f *Fleet, _ string, span eventloop.Micros) { f.everyStore(min(span, 2*eventloop.Second)) }},
	"ackherd": {"all", true, func(f *Fleet, _ string, span eventloop.Micros) {
		f.onAcknowledged(func(*Host) { f.everyStore(min(span, 2*eventloop.Second)) })
	}},
	// Closing faults: everything goes right after an acknowledgement.
	"closepower": {"all", true, func(f *Fleet, _ string, span eventloop.Micros) {
		f.onAcknowledged(func(*Host) { f.everything(span, (*Host).Kill) })
	}},
	"closekill": {"all", true, func(f *Fleet, _ string, span eventloop.Micros) {
		f.onAcknowledged(func(*Host) { f.everything(span, (*Host).Abort) })
	}},
	"closewipe": {"all", true, func(f *Fleet, _ string, span eventloop.Micros) {
		f.onAcknowledged(func(*Host) {
			f.wiped(f.leading(), span)
			f.everything(span, (*Host).Kill)
		})
	}},
	// A disk takes no more, or its syncs fail.
	"full":   {"leader store", true, func(f *Fleet, n string, span eventloop.Micros) { f.refusing(f.host(n), Fault{IsFull: true}, span) }},
	"nosync": {"leader store", true, func(f *Fleet, n string, span eventloop.Micros) { f.refusing(f.host(n), Fault{SyncFails: true}, span) }},
	"drag":   {"leader store lean side", true, func(f *Fleet, n string, span eventloop.Micros) { f.slowed(f.host(n), span) }},
	"resets": {"leader store lean side", false, func(f *Fleet, n string, span eventloop.Micros) {
		f.connectionsReset(f.host(n))
		f.After(span/2, func() { f.connectionsReset(f.host(n)) })
	}},
	"clocks": {"all", false, func(f *Fleet, _ string, span eventloop.Micros) { f.clocksStep(span) }},
	"ackloss": {"all", false, func(f *Fleet, _ string, span eventloop.Micros) {
		f.answersLost = 0.7
		f.After(span, func() { f.answersLost = 0 })
	}},
	"bad": {"numbered", false, func(f *Fleet, _ string, _ eventloop.Micros) { f.putInvalid() }},
	// Many operators at once, each on what it has just read.
	"crowd": {"all", false, func(f *Fleet, _ string, _ eventloop.Micros) {
		for k := range 8 {
			f.Put(fmt.Sprint("crowd-", k), f.Rows(20+f.Rng.IntN(60)))
		}
	}},
	"hang": {"called", false, func(f *Fleet, n string, span eventloop.Micros) {
		w := f.worker(n).(*CalledWorker)
		w.Sick(0, 1)
		f.After(span, func() { w.Sick(0, 0) })
	}},
}

// --- machines ---

// wiped loses a machine's power and disk; it comes back empty where it was.
func (f *Fleet) wiped(h *Host, span eventloop.Micros) {
	f.Fault("%s loses its disk", h.Name)
	h.Wipe()
	f.After(span, h.Start)
}

// succeeded replaces a machine as planned: the new one first.
func (f *Fleet) succeeded(old *Host) {
	f.Fault("%s is to leave for a new one", old.Name)
	fresh := f.AddHost(old.Name+"'", old.Cell, old.Role, true)
	fresh.Share = old.Share
	for _, other := range f.Hosts {
		if other.IsUp && len(fresh.Seeds) < 3 {
			fresh.Seeds = append(fresh.Seeds, other.Address)
		}
	}
	fresh.Start()
	f.After(eventloop.Second, func() {
		f.Fault("%s warned", old.Name)
		old.Warn(6 * eventloop.Second)
	})
}

// refusing has a disk refuse for a span.
func (f *Fleet) refusing(h *Host, fault Fault, span eventloop.Micros) {
	f.Fault("the disk of %s refuses", h.Name)
	h.Refuse(fault, span)
}

// leading is the store that leads most, or between two leaders any.
func (f *Fleet) leading() *Host { return f.host("leader") }

// everyStore cuts the power of all disk machines.
func (f *Fleet) everyStore(span eventloop.Micros) {
	f.Fault("every disk machine loses power")
	for _, h := range f.Stores() {
		if h.IsUp {
			h.Kill()
			f.After(span, h.Start)
		}
	}
}

// everything ends every process in one way; what was down already comes back by
// itself.
func (f *Fleet) everything(span eventloop.Micros, end func(*Host)) {
	f.Fault("every process ends right after an acknowledgement")
	for _, h := range f.Hosts {
		if h.IsUp {
			end(h)
			f.After(min(span, 2*eventloop.Second), h.Start)
		}
	}
}

// cutFromCore cuts what a store says to the other stores, what it hears of
// them, or both.
func (f *Fleet) cutFromCore(h *Host, span eventloop.Micros, isMute, isDeaf bool) {
	f.Fault("%s cut off from the other disk machines", h.Name)
	cut := func(isCut bool) {
		for _, other := range f.Stores() {
			if other == h {
				continue
			}
			if isMute {
				f.Cut(h, other, isCut)
			}
			if isDeaf {
				f.Cut(other, h, isCut)
			}
		}
	}
	cut(true)
	f.After(span, func() { cut(false) })
}

// seedsCutOff cuts a store off from the others, names it the first seed, and
// starts some processes that know nobody else but two diskless fronts.
func (f *Fleet) seedsCutOff(h *Host, span eventloop.Micros) {
	f.cutFromCore(h, span, true, true)
	seeds := []string{h.Address}
	for _, front := range f.lean {
		seeds = append(seeds, front.Address)
	}
	seeds = seeds[:min(3, len(seeds))]
	f.After(span/4, func() {
		for k, other := range f.Hosts {
			if other.Disk == nil && other.IsUp && k%3 == 2 {
				other.Seeds = seeds
				f.Fault("%s starts inside the cut", other.Name)
				other.Abort()
				f.After(200*eventloop.Millisecond, other.Start)
			}
		}
	})
}

// turnSeeds has the settings name other machines, and starts some processes.
func (f *Fleet) turnSeeds() {
	var seeds []string
	for _, h := range f.Fronts() {
		if h.IsUp {
			seeds = append(seeds, h.Address)
		}
	}
	f.Rng.Shuffle(len(seeds), func(a, b int) { seeds[a], seeds[b] = seeds[b], seeds[a] })
	seeds = seeds[:min(3, len(seeds))]
	f.Fault("the seeds are turned over")
	for k, h := range f.Hosts {
		h.Seeds = seeds
		if h.Disk == nil && h.IsUp && k%4 == 3 {
			h.Abort()
			f.After(500*eventloop.Millisecond, h.Start)
		}
	}
}

// slowed makes a machine's steps cost a multiple.
func (f *Fleet) slowed(h *Host, span eventloop.Micros) {
	f.Fault("%s is slow", h.Name)
	usual := h.Share
	h.Share = 0.12
	if usual > 0 {
		h.Share = usual / 5
	}
	f.After(span, func() { h.Share = usual })
}

// connectionsReset breaks half of a machine's connections: the requests that are
// open there get no answer, and half of what is on the wire is lost.
func (f *Fleet) connectionsReset(h *Host) {
	f.Fault("connections of %s reset", h.Name)
	h.resetUntil = f.Now + resetWindow
	for k, request := range slices.Sorted(maps.Keys(h.waiting)) {
		if k%2 == 0 {
			answer := h.waiting[request]
			delete(h.waiting, request)
			answer(nil)
		}
	}
}

// clocksStep sets the time of day of about a third of all machines wrong by two
// seconds, all in one direction.
func (f *Fleet) clocksStep(span eventloop.Micros) {
	step := int64(2 * eventloop.Second)
	if f.Rng.IntN(2) == 0 {
		step = -step
	}
	for _, h := range f.Hosts {
		if f.Rng.Float64() < 0.34 {
			h.WallOff = step
			f.After(span, func() { h.WallOff = 0 })
		}
	}
}

// --- acknowledgements ---

// onAcknowledged does something within 4 ms of the next acknowledgement that a
// caller or an operator gets, and is told through which front that came.
func (f *Fleet) onAcknowledged(strike func(front *Host)) {
	f.triggers = append(f.triggers, func(e checker.Event) bool {
		isHandIn := e.Kind == checker.SubmitReply && (e.Code == 200 || e.Code == 201)
		isReplace := e.Kind == checker.ConfigurationReply && e.Code == 200
		if !isHandIn && !isReplace {
			return false
		}
		f.After(eventloop.Micros(f.Rng.Int64N(int64(4*eventloop.Millisecond))), func() { strike(f.host(strings.TrimRight(e.Gateway, "'"))) })
		return true
	})
}

// isAnswerLost draws whether an acknowledgement is lost on its way.
func (w *World) isAnswerLost() bool { return w.answersLost > 0 && w.Rng.Float64() < w.answersLost }

// putInvalid sends sheets that must be refused: an old edition, the present
// edition with other content, and one built on what isn't there.
func (f *Fleet) putInvalid() {
	f.readPlan(f.pickFront(f.anyCell()), func(plan *schema.Configuration) {
		if plan == nil || plan.Version < 2 {
			return
		}
		for k, sheet := range []*schema.ConfigurationUpdate{
			{Version: plan.Version - 1, BaseVersion: plan.Version},
			{Version: plan.Version, BaseVersion: plan.Version - 1},
			{Version: plan.Version + 50, BaseVersion: plan.Version - 1},
		} {
			sheet.Rows, sheet.Document = plan.Rows, []byte(fmt.Sprintf("invalid %d %d", plan.Version, k))
			f.sendInvalid(sheet)
		}
	})
}

func (f *Fleet) sendInvalid(sheet *schema.ConfigurationUpdate) {
	front := f.pickFront(f.anyCell())
	f.Ask(front, 2*eventloop.Second, func(request uint64, deadline eventloop.Micros) any {
		return gateway.LeaderRequest{RequestID: request, Kind: "clusterstate", Group: clusterstate.Group, Deadline: deadline, Body: replica.EncodeClusterStateCommand(
			&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: sheet}}})}
	}, func(answer any) {
		if reply, _ := answer.(gateway.Response); reply.Code > 0 && reply.Code < 300 {
			f.Tell(checker.Event{Kind: checker.ConfigurationReply, Actor: "invalid", Gateway: front.Name, Code: reply.Code, Version: sheet.Version, State: checker.Invalid})
		}
	})
}

// closings are the faults that a day ends with.
var closings = []string{"closepower", "closekill", "closewipe"}

const (
	overlapRounds = 2
	overlapFaults = 3
	roundEvery    = 20 * eventloop.Second
	roundSpread   = 2 * eventloop.Second // in which the faults of a round begin
)

// OverlappingSchedule draws any three kinds of faults that overlap, twice, and
// one that closes the day right after an acknowledgement.
func OverlappingSchedule(seed uint64, size Size) Schedule {
	rng := rand.New(rand.NewPCG(seed, 0x3a7))
	names := slices.DeleteFunc(DeedNames(), func(name string) bool {
		return slices.Contains(closings, name) || len(deeds[name].names(size)) == 0
	})
	var list Schedule
	draw := func(names []string, from, spread eventloop.Micros) {
		for range 100 {
			what := names[rng.IntN(len(names))]
			targets := deeds[what].names(size)
			stroke := Stroke{
				What: what, Whom: targets[rng.IntN(len(targets))],
				Span: eventloop.Micros(2+rng.IntN(11)) * eventloop.Second / 2, At: from + eventloop.Micros(rng.Int64N(int64(spread/eventloop.Millisecond)))*eventloop.Millisecond,
			}
			isAgain := slices.ContainsFunc(list, func(other Stroke) bool { return other.What == what })
			if next := append(slices.Clone(list), stroke); !isAgain && next.Check(size) == nil {
				list = next
				return
			}
		}
	}
	for round := range eventloop.Micros(overlapRounds) {
		for range overlapFaults {
			draw(names, 3*eventloop.Second+round*roundEvery, roundSpread)
		}
	}
	// The last fault takes everything, so all must be back by then.
	end := 3*eventloop.Second + overlapRounds*roundEvery
	for _, stroke := range list {
		if stroke.isDisk() {
			end = max(end, stroke.until(closest))
		}
	}
	draw(closings, end, roundSpread)
	return list
}
