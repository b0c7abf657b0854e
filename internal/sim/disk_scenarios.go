package sim

import (
	"fmt"
	"slices"

	"sparnotch/internal/checker"
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/process"
	"sparnotch/internal/replica"
)

// fullSpan is how long a disk takes nothing in these scenarios.
const fullSpan = 6 * eventloop.Second

// refused has a host's disk refuse for a span, and looks at the host meanwhile.
func (f *Fleet) refused(h *Host, fault Fault, span eventloop.Micros) {
	f.Fault("the disk of %s takes no more", h.Name)
	f.refusals = append(f.refusals, f.Now)
	h.Refuse(fault, span)
	f.After(span/2, func() { f.lookAtRefused(h) })
}

// lookAtRefused: a process whose disk refuses says so, and leads nothing that
// another could lead.
func (f *Fleet) lookAtRefused(h *Host) {
	belief := h.Belief()
	switch {
	case !h.IsUp:
		f.wrong = append(f.wrong, h.Name+" has ended")
		return
	case belief == nil:
		// It has started without its store.
		return
	case belief.ReadOnlyReason == "":
		f.wrong = append(f.wrong, h.Name+" doesn't say that its store takes no writes")
	}
	for _, group := range belief.Groups {
		if group.Role == "leader" {
			f.wrong = append(f.wrong, fmt.Sprintf("%s still leads %s", h.Name, group.Group))
		}
	}
	if count := f.wardsOf(h); count > 0 {
		f.wrong = append(f.wrong, fmt.Sprintf("%s still holds the wards of %d workers", h.Name, count))
	}
}

// wardsOf counts the workers that are with a host, as the cluster state's leader
// has it.
func (f *Fleet) wardsOf(h *Host) int {
	count := 0
	for _, other := range f.Stores() {
		belief := other.Belief()
		if belief == nil || !slices.ContainsFunc(belief.Groups, func(g *replica.GroupStateView) bool {
			return g.Group == clusterstate.Group && g.Role == "leader"
		}) {
			continue
		}
		for _, ward := range belief.WorkerLeases {
			if ward.Scheduler == h.Id {
				count++
			}
		}
	}
	return count
}

// caughtUp: every store votes in every group again and holds what the others do.
func caughtUp(f *Fleet) []string {
	wrong := append(repaired(f), f.wrong...)
	last := map[string]uint64{}
	for _, h := range f.Stores() {
		belief := h.Belief()
		if belief == nil {
			wrong = append(wrong, h.Name+" has no store again")
			continue
		}
		if belief.ReadOnlyReason != "" {
			wrong = append(wrong, h.Name+" still says that its store refuses: "+belief.ReadOnlyReason)
		}
		for _, group := range belief.Groups {
			last[group.Group] = max(last[group.Group], group.Commit)
		}
	}
	for _, h := range f.Stores() {
		for _, group := range h.Belief().Groups {
			if group.Stable+200 < last[group.Group] {
				wrong = append(wrong, fmt.Sprintf("%s holds %s to %d of %d", h.Name, group.Group, group.Stable, last[group.Group]))
			}
		}
	}
	return wrong
}

// servedOn: whoever hands in around a refusal waits no longer than for a
// redirect or a resend.
func servedOn(f *Fleet) []string {
	wrong := caughtUp(f)
	sent := map[string]eventloop.Micros{}
	for _, e := range f.History {
		if e.Kind == checker.Submit && sent[e.Name] == 0 {
			sent[e.Name] = e.At
		}
		if e.Kind != checker.SubmitReply || e.Code != 201 {
			continue
		}
		for _, at := range f.refusals {
			if span := e.At - sent[e.Name]; sent[e.Name] >= at && sent[e.Name] < at+fullSpan && span > handoverMost {
				wrong = append(wrong, fmt.Sprintf("%s waited %d us while a disk took nothing", e.Name, span))
			}
		}
	}
	return wrong
}

// handoverMost is a redirect or two, and a resend of what was lost with them.
const handoverMost = 1200 * eventloop.Millisecond

// DiskScenarios are disks that refuse; a stall is among the Scenarios.
var DiskScenarios = []Scenario{
	{Name: "leader's disk is full", Net: CalmNet, Sync: 500, Span: 25 * eventloop.Second, Plan: func(f *Fleet) {
		during(f, 4*eventloop.Second, func(leader *Host) { f.refused(leader, Fault{IsFull: true}, fullSpan) })
	}, After: servedOn},
	{Name: "syncs of the leader's disk fail, then the power", Net: CalmNet, Sync: 500, Span: 25 * eventloop.Second, Plan: func(f *Fleet) {
		during(f, 4*eventloop.Second, func(leader *Host) {
			f.refused(leader, Fault{SyncFails: true}, 3*eventloop.Second)
			f.After(4*eventloop.Second, func() { f.killed(leader, eventloop.Second) })
		})
	}, After: caughtUp},
	{Name: "every disk is full, one after another", Net: CalmNet, Sync: 5 * eventloop.Millisecond, Span: 40 * eventloop.Second, Plan: func(f *Fleet) {
		for k, h := range f.Stores() {
			f.At(f.Began+eventloop.Micros(3+10*k)*eventloop.Second, func() { f.refused(h, Fault{IsFull: true}, fullSpan) })
		}
	}, After: servedOn},
	{Name: "full when the process starts", Net: CalmNet, Sync: 500, Span: 30 * eventloop.Second, Plan: func(f *Fleet) {
		during(f, 4*eventloop.Second, func(leader *Host) {
			f.killed(leader, eventloop.Second)
			f.refused(leader, Fault{IsFull: true}, fullSpan)
		})
	}, After: caughtUp},
	{Name: "most disks are full", Net: CalmNet, Sync: 500, Span: 25 * eventloop.Second, Plan: func(f *Fleet) {
		f.At(f.Began+4*eventloop.Second, func() {
			f.Fault("most disks take no more")
			for _, h := range f.Stores()[1:] {
				h.Refuse(Fault{IsFull: true}, fullSpan)
			}
			f.refusals = append(f.refusals, f.Now)
		})
	}, After: turnedAway},
	{Name: "a full disk beside a machine that is away", Net: CalmNet, Sync: 500, Span: 25 * eventloop.Second, Plan: func(f *Fleet) {
		during(f, 4*eventloop.Second, func(leader *Host) {
			for _, h := range f.Stores() {
				if h != leader {
					f.killed(h, fullSpan+2*eventloop.Second)
					break
				}
			}
			f.Fault("the disk of %s takes no more", leader.Name)
			leader.Refuse(Fault{IsFull: true}, fullSpan+2*eventloop.Second)
			// The other is known to be away once it has been unheard of for long.
			f.refusals = append(f.refusals, f.Now+2*eventloop.Second)
		})
	}, After: turnedAway},
	{Name: "most disks hang", Net: CalmNet, Sync: 500, Span: 25 * eventloop.Second, Plan: func(f *Fleet) {
		f.At(f.Began+4*eventloop.Second, func() { mostHang(f, process.DiskHangTimeout+fullSpan) })
	}, After: turnedAway},
	{Name: "every disk is full at once, rough net", Net: RoughNet, Sync: 5 * eventloop.Millisecond, Span: 30 * eventloop.Second, Plan: func(f *Fleet) {
		f.At(f.Began+4*eventloop.Second, func() {
			f.Fault("every disk takes no more")
			for _, h := range f.Stores() {
				h.Refuse(Fault{IsFull: true}, fullSpan)
			}
		})
	}, After: caughtUp},
	{Name: "the disk is full again and again while the leader is killed", Net: CalmNet, Sync: 500, Span: 45 * eventloop.Second, Plan: func(f *Fleet) {
		for k := range 5 {
			during(f, eventloop.Micros(3+7*k)*eventloop.Second, func(leader *Host) {
				leader.Refuse(Fault{IsFull: k%2 == 0, SyncFails: k%2 == 1}, 1500*eventloop.Millisecond)
				f.After(2200*eventloop.Millisecond, func() {
					if other := f.Leader(); other != nil {
						f.killed(other, eventloop.Second)
					}
				})
			})
		}
	}, After: caughtUp},
}

// mostHang has most disks answer nothing for a span.
func mostHang(f *Fleet, span eventloop.Micros) {
	f.Fault("most disks hang")
	for _, h := range f.Stores()[1:] {
		h.Stall = f.Now + span
	}
	// They are known to once they have for so long.
	f.refusals = append(f.refusals, f.Now+process.DiskHangTimeout)
}

// turnedAway: while nothing can be confirmed, who hands in is told so at once,
// and afterwards it goes on.
func turnedAway(f *Fleet) []string {
	wrong := caughtUp(f)
	from, to := f.refusals[0]+eventloop.Second, f.refusals[0]+fullSpan
	waits := []eventloop.Micros{}
	slow := 0
	for _, e := range f.History {
		if e.Kind != checker.SubmitReply || e.SentAt < from || e.SentAt >= to-eventloop.Second {
			continue
		}
		waits = append(waits, e.At-e.SentAt)
		if e.Code == 201 && e.At < to {
			wrong = append(wrong, fmt.Sprintf("%s was confirmed by %s while most disks took nothing", e.Name, e.Gateway))
		}
		if e.At-e.SentAt > 500*eventloop.Millisecond {
			slow++
		}
	}
	if len(waits) < 10 || slow > len(waits)/10 {
		wrong = append(wrong, fmt.Sprintf("of %d hand-ins while most disks took nothing %d waited", len(waits), slow))
	}
	return wrong
}
