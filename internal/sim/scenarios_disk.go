package sim

import (
	"fmt"

	"sparnotch/internal/checker"
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/process"
)

// diskFullPeriod is how long a disk refuses writes in most of these scenarios.
const diskFullPeriod = 6 * eventloop.Second

// maxRejectionDelay is the time within which a submission that can't be confirmed must be
// rejected.
const maxRejectionDelay = 500 * eventloop.Millisecond

// diskFull is the fault of a disk that has no free space.
var diskFull = DiskFault{IsFull: true}

// DiskScenarios lists scenarios in which disks refuse writes, fail to sync, or hang.
var DiskScenarios = []Scenario{
	{Name: "leader's disk is full", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 25 * eventloop.Second, Inject: func(f *Fleet) {
		f.atLeader(4*eventloop.Second, func(leader *Host) { f.refuseWritesAndVerify(leader, diskFull, diskFullPeriod) })
	}, Verify: verifyServedThroughout},
	{Name: "syncs of the leader's disk fail, then the power", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 25 * eventloop.Second, Inject: func(f *Fleet) {
		f.atLeader(4*eventloop.Second, func(leader *Host) {
			f.refuseWritesAndVerify(leader, DiskFault{SyncFails: true}, 3*eventloop.Second)
			f.After(4*eventloop.Second, func() { f.kill(leader, eventloop.Second) })
		})
	}, Verify: verifyCaughtUp},
	{Name: "every disk is full, one after another", Network: ReliableNetwork, SyncDelay: slowSync, Duration: 40 * eventloop.Second, Inject: func(f *Fleet) {
		for k, h := range f.StorageNodes() {
			f.atLoad(eventloop.Micros(3+10*k)*eventloop.Second, func() { f.refuseWritesAndVerify(h, diskFull, diskFullPeriod) })
		}
	}, Verify: verifyServedThroughout},
	{Name: "full when the process starts", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 30 * eventloop.Second, Inject: func(f *Fleet) {
		f.atLeader(4*eventloop.Second, func(leader *Host) {
			f.kill(leader, eventloop.Second)
			f.refuseWritesAndVerify(leader, diskFull, diskFullPeriod)
		})
	}, Verify: verifyCaughtUp},
	{Name: "most disks are full", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 25 * eventloop.Second, Inject: func(f *Fleet) {
		f.atLoad(4*eventloop.Second, func() {
			f.RecordFault("most disks take no more")
			for _, h := range f.StorageNodes()[1:] {
				h.RefuseWrites(diskFull, diskFullPeriod)
			}
			f.refusedAt = append(f.refusedAt, f.Now)
		})
	}, Verify: verifyRejectedAtOnce},
	{Name: "a full disk beside a machine that is away", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 25 * eventloop.Second, Inject: func(f *Fleet) {
		f.atLeader(4*eventloop.Second, fillDiskBesideLoss(f))
	}, Verify: verifyRejectedAtOnce},
	{Name: "most disks hang", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 25 * eventloop.Second, Inject: func(f *Fleet) {
		f.atLoad(4*eventloop.Second, func() { f.hangMostDisks(process.DiskHangTimeout + diskFullPeriod) })
	}, Verify: verifyRejectedAtOnce},
	{Name: "every disk is full at once, rough net", Network: LossyNetwork, SyncDelay: slowSync, Duration: 30 * eventloop.Second, Inject: func(f *Fleet) {
		f.atLoad(4*eventloop.Second, func() {
			f.RecordFault("every disk takes no more")
			for _, h := range f.StorageNodes() {
				h.RefuseWrites(diskFull, diskFullPeriod)
			}
		})
	}, Verify: verifyCaughtUp},
	{Name: "the disk is full again and again while the leader is killed", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 45 * eventloop.Second, Inject: func(f *Fleet) {
		for k := range 5 {
			f.atLeader(eventloop.Micros(3+7*k)*eventloop.Second, func(leader *Host) {
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

// fillDiskBesideLoss returns a function that kills a storage node other than the leader and
// fills the leader's disk at the same time.
func fillDiskBesideLoss(f *Fleet) func(leader *Host) {
	return func(leader *Host) {
		for _, h := range f.StorageNodes() {
			if h != leader {
				f.kill(h, diskFullPeriod+2*eventloop.Second)
				break
			}
		}
		f.RecordFault("the disk of %s takes no more", leader.Name)
		leader.RefuseWrites(diskFull, diskFullPeriod+2*eventloop.Second)
		// The other node counts as down only after its heartbeats have timed out.
		f.refusedAt = append(f.refusedAt, f.Now+2*eventloop.Second)
	}
}

// hangMostDisks makes all disks but one complete no writes for the given duration.
func (f *Fleet) hangMostDisks(duration eventloop.Micros) {
	f.RecordFault("most disks hang")
	for _, h := range f.StorageNodes()[1:] {
		h.StallUntil = f.Now + duration
	}
	f.refusedAt = append(f.refusedAt, f.Now+process.DiskHangTimeout)
}

// refuseWritesAndVerify makes a host's disk refuse writes for the given duration, and checks
// the host's process halfway through with verifyRefusing.
func (f *Fleet) refuseWritesAndVerify(h *Host, fault DiskFault, duration eventloop.Micros) {
	f.RecordFault("the disk of %s takes no more", h.Name)
	f.refusedAt = append(f.refusedAt, f.Now)
	h.RefuseWrites(fault, duration)
	f.After(duration/2, func() { f.problems = append(f.problems, f.verifyRefusing(h)...) })
}

// verifyRefusing checks that a process whose disk refuses writes reports that it is read-only,
// and that it leads no group and holds no worker leases, which other nodes can take over.
func (f *Fleet) verifyRefusing(h *Host) []string {
	view := h.StateView()
	if !h.IsUp {
		return []string{h.Name + " is down, but a refused write must not end its process"}
	}
	if view == nil {
		// The process has started without storage, so it has no state to check.
		return nil
	}
	var problems []string
	if view.ReadOnlyReason == "" {
		problems = append(problems, h.Name+" doesn't say that its disk takes no writes")
	}
	for _, group := range view.Groups {
		if group.Role == "leader" {
			problems = append(problems, fmt.Sprintf("%s still leads %s", h.Name, group.Group))
		}
	}
	if count := f.workerLeasesOf(h); count > 0 {
		problems = append(problems, fmt.Sprintf("%s still holds the leases of %d workers", h.Name, count))
	}
	return problems
}

// workerLeasesOf counts the worker leases that a host holds according to the leader of the
// cluster state.
func (f *Fleet) workerLeasesOf(h *Host) int {
	count := 0
	for _, other := range f.StorageNodes() {
		view := other.StateView()
		if !leads(view, clusterstate.GroupName) {
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

// verifyServedThroughout checks that submissions sent while a disk refuses writes wait no longer
// than a handover takes.
func verifyServedThroughout(f *Fleet) []string {
	return append(verifyCaughtUp(f), f.verifySubmissionDelays(f.refusedAt, diskFullPeriod, "while a disk refused writes")...)
}

// verifyRejectedAtOnce checks that submissions are rejected at once while nothing can be
// confirmed, and that service resumes afterwards.
func verifyRejectedAtOnce(f *Fleet) []string {
	problems := verifyCaughtUp(f)
	from, to := f.refusedAt[0]+eventloop.Second, f.refusedAt[0]+diskFullPeriod
	count, slow := 0, 0
	for _, e := range f.History {
		if e.Kind != checker.SubmitReply || e.SentAt < from || e.SentAt >= to-eventloop.Second {
			continue
		}
		count++
		if e.Code == 201 && e.At < to {
			problems = append(problems, fmt.Sprintf("%s was confirmed by %s while most disks refused writes", e.Name, e.Gateway))
		}
		if e.At-e.SentAt > maxRejectionDelay {
			slow++
		}
	}
	if count < 10 || slow > count/10 {
		problems = append(problems, fmt.Sprintf("%d submissions were sent while most disks refused writes, and %d of them waited too long", count, slow))
	}
	return problems
}
