package sim

import (
	"fmt"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// platformFaultActions are the kinds of faults of the users' platform, beside the basic
// ones.
var platformFaultActions = map[string]faultAction{
	// A process ends at once; its files stay as they were written.
	"abort": {anyMachine, true, onHost(func(f *Fleet, h *Host, duration eventloop.Micros) {
		f.RecordFault("the process of %s killed", h.Name)
		h.Abort()
		f.After(min(duration, eventloop.Second), h.startIfDown)
	})},
	// A storage node loses power and its disk; it comes back empty at its address.
	"wipe": {anyStorageNode, true, onHost((*Fleet).wipe)},
	// A storage node is replaced as planned: the new one comes first.
	"succeed": {anyStorageNode, true, onHost(func(f *Fleet, h *Host, _ eventloop.Micros) { f.replaceGracefully(h) })},

	// A storage node is partitioned from the other two alone.
	"corecut": {anyStorageNode, true, onHost(func(f *Fleet, h *Host, duration eventloop.Micros) {
		f.partitionFromStorageNodes(h, duration, true, true)
	})},
	"coremute": {anyStorageNode, true, onHost(func(f *Fleet, h *Host, duration eventloop.Micros) {
		f.partitionFromStorageNodes(h, duration, true, false)
	})},
	"coredeaf": {anyStorageNode, true, onHost(func(f *Fleet, h *Host, duration eventloop.Micros) {
		f.partitionFromStorageNodes(h, duration, false, true)
	})},

	// A storage node is partitioned from the others and made the first seed of processes that restart.
	"seedcut": {anyStorageNode, true, onHost((*Fleet).partitionSeeds)},
	// Three gateways become the seeds of every machine, and some processes restart.
	"turnover": {wholeFleet, false, onFleet(func(f *Fleet, _ eventloop.Micros) { f.rotateSeeds() })},

	// Losses right after the next acknowledgement: of the gateway that sent it, of the
	// leader, or of all storage nodes.
	"ackkill": {wholeFleet, true, onFleet(func(f *Fleet, duration eventloop.Micros) {
		f.afterAcknowledgement(func(gateway *Host) { f.kill(gateway, duration) })
	})},
	"ackpower": {wholeFleet, true, onFleet(func(f *Fleet, duration eventloop.Micros) {
		f.afterAcknowledgement(func(*Host) { f.kill(f.leaderOrFirst(), duration) })
	})},
	"ackwipe": {wholeFleet, true, onFleet(func(f *Fleet, duration eventloop.Micros) {
		f.afterAcknowledgement(func(*Host) { f.wipe(f.leaderOrFirst(), duration) })
	})},
	"ackherd": {wholeFleet, true, onFleet(func(f *Fleet, duration eventloop.Micros) {
		f.afterAcknowledgement(func(*Host) { f.powerCycleStorageNodes(min(duration, maxDowntime)) })
	})},
	// All storage nodes lose power at once.
	"herd": {wholeFleet, true, onFleet(func(f *Fleet, duration eventloop.Micros) {
		f.powerCycleStorageNodes(min(duration, maxDowntime))
	})},

	// Losses of everything right after the next acknowledgement.
	"closepower": {wholeFleet, true, onFleet(func(f *Fleet, duration eventloop.Micros) {
		f.afterAcknowledgement(func(*Host) { f.endEverything(duration, (*Host).Kill) })
	})},
	"closekill": {wholeFleet, true, onFleet(func(f *Fleet, duration eventloop.Micros) {
		f.afterAcknowledgement(func(*Host) { f.endEverything(duration, (*Host).Abort) })
	})},
	"closewipe": {wholeFleet, true, onFleet(func(f *Fleet, duration eventloop.Micros) {
		f.afterAcknowledgement(func(*Host) {
			f.wipe(f.leaderOrFirst(), duration)
			f.endEverything(duration, (*Host).Kill)
		})
	})},

	// A storage node's disk is full.
	"full": {anyStorageNode, true, onHost(func(f *Fleet, h *Host, duration eventloop.Micros) {
		f.refuseWrites(h, DiskFault{IsFull: true}, duration)
	})},
	// A storage node's disk fails to sync.
	"nosync": {anyStorageNode, true, onHost(func(f *Fleet, h *Host, duration eventloop.Micros) {
		f.refuseWrites(h, DiskFault{SyncFails: true}, duration)
	})},

	// A machine gets a fraction of its CPU for a while.
	"drag": {anyMachine, true, onHost((*Fleet).slowDown)},
	// Half of a machine's connections break, twice.
	"resets": {anyMachine, false, func(f *Fleet, name string, duration eventloop.Micros) {
		f.resetConnections(f.host(name))
		f.After(duration/2, func() { f.resetConnections(f.host(name)) })
	}},
	// The wall clocks of about a third of all machines are wrong by two seconds.
	"clocks": {wholeFleet, false, onFleet((*Fleet).stepClocks)},
	// 70 percent of the acknowledgements to clients are lost on their way.
	"ackloss": {wholeFleet, false, onFleet(func(f *Fleet, duration eventloop.Micros) {
		f.acknowledgementLossRate = 0.7
		f.After(duration, func() { f.acknowledgementLossRate = 0 })
	})},
	// A called worker answers no calls.
	"hang": {calledWorker, false, unhealthyFor(0, 1)},

	// An operator sends configurations that must be refused.
	"bad": {[]target{targetVersions}, false, onFleet(func(f *Fleet, _ eventloop.Micros) { f.putInvalidConfigurations() })},
	// Many operators at once, each on the version that it has just read.
	"crowd": {wholeFleet, false, onFleet(func(f *Fleet, _ eventloop.Micros) {
		for k := range 8 {
			f.PutConfiguration(fmt.Sprint("crowd-", k), f.ConfigurationRows(20+f.Rng.IntN(60)))
		}
	})},
}

// leaderOrFirst is the storage node that leads most queues, or where none does the first.
func (f *Fleet) leaderOrFirst() *Host { return f.host("leader") }

// endEverything ends every process in one way, right after an acknowledgement.
func (f *Fleet) endEverything(downtime eventloop.Micros, end func(*Host)) {
	f.RecordFault("every process ends right after an acknowledgement")
	f.restartAll(min(downtime, maxDowntime), end)
}

// putInvalidConfigurations sends configurations that must be refused: an old version, the
// present version with other content, and one that is built on an old version.
func (f *Fleet) putInvalidConfigurations() {
	f.readConfiguration(f.anyGateway(), func(current *schema.Configuration) {
		if current == nil || current.Version < 2 {
			return
		}
		for k, update := range []*schema.ConfigurationUpdate{
			{Version: current.Version - 1, BaseVersion: current.Version},
			{Version: current.Version, BaseVersion: current.Version - 1},
			{Version: current.Version + 50, BaseVersion: current.Version - 1},
		} {
			update.Rows, update.Document = current.Rows, []byte(fmt.Sprintf("invalid %d %d", current.Version, k))
			f.sendInvalidConfiguration(update)
		}
	})
}

func (f *Fleet) sendInvalidConfiguration(update *schema.ConfigurationUpdate) {
	node := f.anyGateway()
	f.Request(node, 2*eventloop.Second, leaderRequest(updateRequest(update)), func(answer any) {
		if code := responseOf(answer).Code; code > 0 && code < 300 {
			f.Record(checker.Event{
				Kind: checker.ConfigurationReply, Actor: "invalid", Gateway: node.Name, Code: code, Version: update.Version, State: checker.Invalid,
			})
		}
	})
}
