package sim

import (
	"fmt"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// platformFaultActions holds the kinds of faults that the users' platform may inject in
// addition to the basic ones.
var platformFaultActions = map[string]faultAction{
	// A process ends at once; its files keep all data that was written.
	"abort": {anyMachine, true, onHost(func(f *Fleet, h *Host, duration eventloop.Micros) {
		f.RecordFault("the process of %s killed", h.Name)
		h.Abort()
		f.After(min(duration, eventloop.Second), h.startIfDown)
	})},
	// A storage node loses power and its disk, and returns with an empty disk at its address.
	"wipe": {anyStorageNode, true, onHost((*Fleet).wipe)},
	// A storage node is replaced as planned: its successor starts before it is drained.
	"succeed": {anyStorageNode, true, onHost(func(f *Fleet, h *Host, _ eventloop.Micros) { f.replaceGracefully(h) })},

	// A storage node is partitioned from the other two, but not from the rest of the fleet. The
	// partition blocks both directions (corecut), only messages from the node (coremute) or only
	// messages to it (coredeaf).
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

	// A loss right after the next acknowledgement: the gateway that sent it loses power (ackkill),
	// the leader loses power (ackpower), the leader loses its disk (ackwipe), or all storage nodes
	// lose power (ackherd).
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

	// Every process ends right after the next acknowledgement: with a loss of power (closepower),
	// without one (closekill), or with a loss of power and of the leader's disk (closewipe).
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

	// A machine has only a fraction of its usual processor share.
	"drag": {anyMachine, true, onHost((*Fleet).slowDown)},
	// Half of a machine's connections break, and again after half of the duration.
	"resets": {anyMachine, false, func(f *Fleet, name string, duration eventloop.Micros) {
		f.resetConnections(f.host(name))
		f.After(duration/2, func() { f.resetConnections(f.host(name)) })
	}},
	// The wall clocks of about a third of all machines are wrong by two seconds.
	"clocks": {wholeFleet, false, onFleet((*Fleet).stepClocks)},
	// 70 percent of the acknowledgements are lost on the way to clients.
	"ackloss": {wholeFleet, false, onFleet(func(f *Fleet, duration eventloop.Micros) {
		f.acknowledgementLossRate = 0.7
		f.After(duration, func() { f.acknowledgementLossRate = 0 })
	})},
	// A called worker answers none of the calls to it.
	"hang": {calledWorker, false, unhealthyFor(0, 1)},

	// An operator sends configurations that must be rejected.
	"bad": {[]target{targetVersions}, false, onFleet(func(f *Fleet, _ eventloop.Micros) { f.putInvalidConfigurations() })},
	// Eight operators replace the configuration at once, each based on the version it has read.
	"crowd": {wholeFleet, false, onFleet(func(f *Fleet, _ eventloop.Micros) {
		for k := range 8 {
			f.PutConfiguration(fmt.Sprint("crowd-", k), f.ConfigurationRows(20+f.Rng.IntN(60)))
		}
	})},
}

// leaderOrFirst returns the storage node that leads most queues, or the first machine if none
// leads a queue.
func (f *Fleet) leaderOrFirst() *Host { return f.host("leader") }

// endEverything ends every process with the given function and starts it again after the
// downtime, which maxDowntime limits.
func (f *Fleet) endEverything(downtime eventloop.Micros, end func(*Host)) {
	f.RecordFault("every process ends right after an acknowledgement")
	f.restartAll(min(downtime, maxDowntime), end)
}

// putInvalidConfigurations sends configurations that must be rejected: an old version, the
// current version with other content, and a new version based on an old one.
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
