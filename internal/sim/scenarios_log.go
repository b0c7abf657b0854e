package sim

import (
	"fmt"
	"slices"
	"strings"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// maxHandoverDelay is the longest time that a submission may wait because of a handover: one or
// two redirects, and a retry of the messages that were lost with them.
const maxHandoverDelay = 1200 * eventloop.Millisecond

// logScenarios lists scenarios about the logs of groups (compaction, damage and handover) and
// about changes of the configuration.
var logScenarios = []Scenario{
	{
		Name: "jobs that last, and the log", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 50 * eventloop.Second,
		Inject: jobsThatOutliveTheLog, Verify: verifyLogIsCompacted,
	},
	{Name: "a store damaged in the middle", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 40 * eventloop.Second, Inject: func(f *Fleet) {
		f.atLeader(5*eventloop.Second, func(leader *Host) {
			f.RecordFault("%s killed, its disk damaged", leader.Name)
			leader.Kill()
			leader.Disk.CorruptByte("log-0", leader.Disk.Size("log-0")/2)
			f.After(2*eventloop.Second, leader.Start)
		})
	}, Verify: verifyDamageIsReported},
	{Name: "leader warned, then the next", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 40 * eventloop.Second, Inject: func(f *Fleet) {
		for k := range eventloop.Micros(2) {
			f.atLeader((4+15*k)*eventloop.Second, func(leader *Host) {
				f.RecordFault("%s warned", leader.Name)
				f.drainedAt = append(f.drainedAt, f.Now)
				leader.Drain(10 * eventloop.Second)
				f.After(8*eventloop.Second, leader.Start)
			})
		}
	}, Verify: verifyNoElectionOnDrain},
	{
		Name: "a queue removed and made anew", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 30 * eventloop.Second,
		Inject: recreateQueue, Verify: verifyQueueIsNew,
	},
	{Name: "operators race", Network: LossyNetwork, SyncDelay: fastSync, Duration: 25 * eventloop.Second, Inject: func(f *Fleet) {
		for k := range 6 {
			f.atLoad(eventloop.Micros(2+3*k)*eventloop.Second, func() {
				f.PutConfiguration("one", f.ConfigurationRows(50+k))
				f.PutConfiguration("two", f.ConfigurationRows(70+k))
			})
		}
		f.killLeaderAt(8*eventloop.Second, 2*eventloop.Second)
	}},
}

// jobsThatOutliveTheLog submits jobs with a delay so long that the log must be compacted while
// they wait.
func jobsThatOutliveTheLog(f *Fleet) {
	f.atLoad(0, func() {
		f.PutConfiguration("operator", append(f.ConfigurationRows(operatorUrgency), &schema.ConfigurationRow{Kind: "fleet", Key: "carry_records", Value: "200"}))
	})
	long := newJob("run_us=20000", newStep("late", 1, 100))
	long.DelayUs = int64(45 * eventloop.Second)
	f.atLoad(eventloop.Second, func() {
		f.Submit(JobKind{Queue: "quick", Job: long}, "long-1")
		f.Submit(JobKind{Queue: "timed", Job: long}, "long-2")
	})
	f.killLeaderAt(30*eventloop.Second, 2*eventloop.Second)
}

// verifyLogIsCompacted checks that the logs stay short because waiting jobs in old entries are
// reenqueued.
func verifyLogIsCompacted(f *Fleet) []string {
	var problems []string
	reenqueues := uint64(0)
	for _, h := range f.StorageNodes() {
		for _, group := range h.StateView().Groups {
			reenqueues += group.Reenqueues
			if entries := group.LastIndex - group.SnapshotIndex; entries > 1200 {
				problems = append(problems, fmt.Sprintf("%s on %s holds %d log entries", group.Group, h.Name, entries))
			}
		}
	}
	if reenqueues == 0 {
		problems = append(problems, "no job was reenqueued")
	}
	return problems
}

// verifyDamageIsReported checks that the damage is reported with its file and offset, and that
// it is repaired.
func verifyDamageIsReported(f *Fleet) []string {
	problems := verifyRepaired(f)
	if len(f.DamageReports) != 1 || !strings.Contains(f.DamageReports[0], "log-0 at offset") {
		problems = append(problems, fmt.Sprintf("the damage reports are %q instead of one report with the offset in log-0", f.DamageReports))
	}
	return problems
}

// verifyNoElectionOnDrain checks that submissions don't wait for an election when a leader
// drains.
func verifyNoElectionOnDrain(f *Fleet) []string {
	return f.verifySubmissionDelays(f.drainedAt, 3*eventloop.Second, "while a leader left")
}

// recreateQueue removes a queue, and adds a queue of the same name after the retention period
// of the removed queue's ended jobs.
func recreateQueue(f *Fleet) {
	extra := &schema.ConfigurationRow{Kind: "queue", Name: "extra", Key: "urgency", Value: "5"}
	retention := &schema.ConfigurationRow{Kind: "fleet", Key: "status_s", Value: "120"}
	kind := JobKind{Queue: "extra", Job: DefaultJobKinds()[0].Job}
	put := func(rows ...*schema.ConfigurationRow) {
		f.PutConfiguration("operator", slices.Concat(f.ConfigurationRows(operatorUrgency), rows))
	}
	f.atLoad(0, func() { put(extra, retention) })
	f.atLoad(4*eventloop.Second, func() { f.Submit(kind, "before") })
	f.atLoad(8*eventloop.Second, func() { put(retention) })
	f.atLoad(20*eventloop.Second, func() { f.groupsAfterRemoval = f.allGroups("extra#") })
	f.LoadEnd += 130 * eventloop.Second
	f.atLoad(150*eventloop.Second, func() {
		f.groupsAfterRetention = f.allGroups("extra#")
		put(extra, retention)
	})
	f.atLoad(155*eventloop.Second, func() { f.Submit(kind, "after") })
}

// allGroups lists the replicas on all storage nodes that belong to groups whose names start
// with a prefix.
func (f *Fleet) allGroups(prefix string) []string {
	var list []string
	for _, h := range f.StorageNodes() {
		list = append(list, h.Groups(prefix)...)
	}
	return list
}

// verifyQueueIsNew checks that the removed queue's group exists until the retention period of
// its ended jobs is over, and that the new queue has another group.
func verifyQueueIsNew(f *Fleet) []string {
	var problems []string
	if len(f.groupsAfterRemoval) != storageNodes || len(f.groupsAfterRetention) != 0 {
		problems = append(problems, fmt.Sprintf("replicas 12 s after the rows were removed: %v; after the retention: %v", f.groupsAfterRemoval, f.groupsAfterRetention))
	}
	for _, h := range f.StorageNodes() {
		if now := h.Groups("extra#"); len(now) != 1 || len(f.groupsAfterRemoval) > 0 && now[0] == f.groupsAfterRemoval[0] {
			problems = append(problems, fmt.Sprintf("%s holds %v after the queue was added again, and %v was held before", h.Name, now, f.groupsAfterRemoval))
		}
	}
	return problems
}
