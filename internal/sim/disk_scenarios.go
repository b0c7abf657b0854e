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

// diskFullPeriod is how long a disk takes nothing in these scenarios.
const diskFullPeriod = 6 * eventloop.Second

// refuseWritesAndVerify has a host's disk refuse for a span, and looks at the host meanwhile.
func (f *Fleet) refuseWritesAndVerify(h *Host, fault DiskFault, duration eventloop.Micros) {
	f.RecordFault("the disk of %s takes no more", h.Name)
	f.refusals = append(f.refusals, f.Now)
	h.RefuseWrites(fault, duration)
	f.After(duration/2, func() { f.verifyRefusing(h) })
}

// verifyRefusing: a process whose disk refuses says so, and leads nothing that
// another could lead.
func (f *Fleet) verifyRefusing(h *Host) {
	view := h.StateView()
	switch {
	case !h.IsUp:
		f.problems = append(f.problems, h.Name+" has ended")
		return
	case view == nil:
		// It has started without its store.
		return
	case view.ReadOnlyReason == "":
		f.problems = append(f.problems, h.Name+" doesn't say that its store takes no writes")
	}
	for _, group := range view.Groups {
		if group.Role == "leader" {
			f.problems = append(f.problems, fmt.Sprintf("%s still leads %s", h.Name, group.Group))
		}
	}
	if count := f.workerLeasesOf(h); count > 0 {
		f.problems = append(f.problems, fmt.Sprintf("%s still holds the wards of %d workers", h.Name, count))
	}
}

// workerLeasesOf counts the workers that are with a host, as the cluster state's leader
// has it.
func (f *Fleet) workerLeasesOf(h *Host) int {
	count := 0
	for _, other := range f.StorageNodes() {
		view := other.StateView()
		if view == nil || !slices.ContainsFunc(view.Groups, func(g *replica.GroupStateView) bool {
			return g.Group == clusterstate.Group && g.Role == "leader"
		}) {
			continue
		}
		for _, lease := range view.WorkerLeases {
			if lease.Scheduler == h.ID {
				count++
			}
		}
	}
	return count
}

// verifyCaughtUp: every store votes in every group again and holds what the others do.
func verifyCaughtUp(f *Fleet) []string {
	problems := append(verifyRepaired(f), f.problems...)
	last := map[string]uint64{}
	for _, h := range f.StorageNodes() {
		view := h.StateView()
		if view == nil {
			problems = append(problems, h.Name+" has no store again")
			continue
		}
		if view.ReadOnlyReason != "" {
			problems = append(problems, h.Name+" still says that its store refuses: "+view.ReadOnlyReason)
		}
		for _, group := range view.Groups {
			last[group.Group] = max(last[group.Group], group.Commit)
		}
	}
	for _, h := range f.StorageNodes() {
		for _, group := range h.StateView().Groups {
			if group.Stable+200 < last[group.Group] {
				problems = append(problems, fmt.Sprintf("%s holds %s to %d of %d", h.Name, group.Group, group.Stable, last[group.Group]))
			}
		}
	}
	return problems
}

// verifyServedThroughout: whoever hands in around a refusal waits no longer than for a
// redirect or a resend.
func verifyServedThroughout(f *Fleet) []string {
	problems := verifyCaughtUp(f)
	sent := map[string]eventloop.Micros{}
	for _, e := range f.History {
		if e.Kind == checker.Submit && sent[e.Name] == 0 {
			sent[e.Name] = e.At
		}
		if e.Kind != checker.SubmitReply || e.Code != 201 {
			continue
		}
		for _, at := range f.refusals {
			if duration := e.At - sent[e.Name]; sent[e.Name] >= at && sent[e.Name] < at+diskFullPeriod && duration > maxHandoverDelay {
				problems = append(problems, fmt.Sprintf("%s waited %d us while a disk took nothing", e.Name, duration))
			}
		}
	}
	return problems
}

// maxHandoverDelay is a redirect or two, and a resend of what was lost with them.
const maxHandoverDelay = 1200 * eventloop.Millisecond

// DiskScenarios are disks that refuse; a stall is among the Scenarios.
var DiskScenarios = []Scenario{
	{Name: "leader's disk is full", Network: ReliableNetwork, SyncDelay: 500, Duration: 25 * eventloop.Second, Inject: func(f *Fleet) {
		withLeaderAt(f, 4*eventloop.Second, func(leader *Host) { f.refuseWritesAndVerify(leader, DiskFault{IsFull: true}, diskFullPeriod) })
	}, Verify: verifyServedThroughout},
	{Name: "syncs of the leader's disk fail, then the power", Network: ReliableNetwork, SyncDelay: 500, Duration: 25 * eventloop.Second, Inject: func(f *Fleet) {
		withLeaderAt(f, 4*eventloop.Second, func(leader *Host) {
			f.refuseWritesAndVerify(leader, DiskFault{SyncFails: true}, 3*eventloop.Second)
			f.After(4*eventloop.Second, func() { f.kill(leader, eventloop.Second) })
		})
	}, Verify: verifyCaughtUp},
	{Name: "every disk is full, one after another", Network: ReliableNetwork, SyncDelay: 5 * eventloop.Millisecond, Duration: 40 * eventloop.Second, Inject: func(f *Fleet) {
		for k, h := range f.StorageNodes() {
			f.At(f.LoadStart+eventloop.Micros(3+10*k)*eventloop.Second, func() { f.refuseWritesAndVerify(h, DiskFault{IsFull: true}, diskFullPeriod) })
		}
	}, Verify: verifyServedThroughout},
	{Name: "full when the process starts", Network: ReliableNetwork, SyncDelay: 500, Duration: 30 * eventloop.Second, Inject: func(f *Fleet) {
		withLeaderAt(f, 4*eventloop.Second, func(leader *Host) {
			f.kill(leader, eventloop.Second)
			f.refuseWritesAndVerify(leader, DiskFault{IsFull: true}, diskFullPeriod)
		})
	}, Verify: verifyCaughtUp},
	{Name: "most disks are full", Network: ReliableNetwork, SyncDelay: 500, Duration: 25 * eventloop.Second, Inject: func(f *Fleet) {
		f.At(f.LoadStart+4*eventloop.Second, func() {
			f.RecordFault("most disks take no more")
			for _, h := range f.StorageNodes()[1:] {
				h.RefuseWrites(DiskFault{IsFull: true}, diskFullPeriod)
			}
			f.refusals = append(f.refusals, f.Now)
		})
	}, Verify: verifyRejectedAtOnce},
	{Name: "a full disk beside a machine that is away", Network: ReliableNetwork, SyncDelay: 500, Duration: 25 * eventloop.Second, Inject: func(f *Fleet) {
		withLeaderAt(f, 4*eventloop.Second, func(leader *Host) {
			for _, h := range f.StorageNodes() {
				if h != leader {
					f.kill(h, diskFullPeriod+2*eventloop.Second)
					break
				}
			}
			f.RecordFault("the disk of %s takes no more", leader.Name)
			leader.RefuseWrites(DiskFault{IsFull: true}, diskFullPeriod+2*eventloop.Second)
			// The other is known to be away once it has been unheard of for long.
			f.refusals = append(f.refusals, f.Now+2*eventloop.Second)
		})
	}, Verify: verifyRejectedAtOnce},
	{Name: "most disks hang", Network: ReliableNetwork, SyncDelay: 500, Duration: 25 * eventloop.Second, Inject: func(f *Fleet) {
		f.At(f.LoadStart+4*eventloop.Second, func() { hangMajority(f, process.DiskHangTimeout+diskFullPeriod) })
	}, Verify: verifyRejectedAtOnce},
	{Name: "every disk is full at once, rough net", Network: LossyNetwork, SyncDelay: 5 * eventloop.Millisecond, Duration: 30 * eventloop.Second, Inject: func(f *Fleet) {
		f.At(f.LoadStart+4*eventloop.Second, func() {
			f.RecordFault("every disk takes no more")
			for _, h := range f.StorageNodes() {
				h.RefuseWrites(DiskFault{IsFull: true}, diskFullPeriod)
			}
		})
	}, Verify: verifyCaughtUp},
	{Name: "the disk is full again and again while the leader is killed", Network: ReliableNetwork, SyncDelay: 500, Duration: 45 * eventloop.Second, Inject: func(f *Fleet) {
		for k := range 5 {
			withLeaderAt(f, eventloop.Micros(3+7*k)*eventloop.Second, func(leader *Host) {
				leader.RefuseWrites(DiskFault{IsFull: k%2 == 0, SyncFails: k%2 == 1}, 1500*eventloop.Millisecond)
				f.After(2200*eventloop.Millisecond, func() {
					if other := f.Leader(); other != nil {
						f.kill(other, eventloop.Second)
					}
				})
			})
		}
	}, Verify: verifyCaughtUp},
}

// hangMajority has most disks answer nothing for a span.
func hangMajority(f *Fleet, duration eventloop.Micros) {
	f.RecordFault("most disks hang")
	for _, h := range f.StorageNodes()[1:] {
		h.StallUntil = f.Now + duration
	}
	// They are known to once they have for so long.
	f.refusals = append(f.refusals, f.Now+process.DiskHangTimeout)
}

// verifyRejectedAtOnce: while nothing can be confirmed, who hands in is told so at once,
// and afterwards it goes on.
func verifyRejectedAtOnce(f *Fleet) []string {
	problems := verifyCaughtUp(f)
	from, to := f.refusals[0]+eventloop.Second, f.refusals[0]+diskFullPeriod
	waits := []eventloop.Micros{}
	slow := 0
	for _, e := range f.History {
		if e.Kind != checker.SubmitReply || e.SentAt < from || e.SentAt >= to-eventloop.Second {
			continue
		}
		waits = append(waits, e.At-e.SentAt)
		if e.Code == 201 && e.At < to {
			problems = append(problems, fmt.Sprintf("%s was confirmed by %s while most disks took nothing", e.Name, e.Gateway))
		}
		if e.At-e.SentAt > 500*eventloop.Millisecond {
			slow++
		}
	}
	if len(waits) < 10 || slow > len(waits)/10 {
		problems = append(problems, fmt.Sprintf("of %d hand-ins while most disks took nothing %d waited", len(waits), slow))
	}
	return problems
}
