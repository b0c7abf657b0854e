package sim

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

var changes = flag.Int("changes", 40, "number of configurations that TestHundredsOfConfigurationChanges sends")
var changesPeriod = flag.Int("changes-span", 60, "period in seconds over which the configurations are sent")

// changeOperator sends configurations one after another. Each is based on the one before and
// is sent again until it is accepted.
type changeOperator struct {
	*Fleet
	changes             int
	interval            eventloop.Micros
	largeEvery          int // every largeEvery-th change has a document of 256 KB; 0: none has
	rng                 *rand.Rand
	acknowledgedAt      []eventloop.Micros // when each version was acknowledged, from version 2 on
	problems            []string
	bytesReceived       map[string]map[string]int     // by the receiver's role and the kind of message
	askedVersion        map[string]uint64             // by process, the newest version in its requests
	catchUpTimes        map[string][]eventloop.Micros // of storage nodes, by the fault before the return
	lastFaultAt         eventloop.Micros              // time of the last fault, or of the machine's return after it
	interruptedInstalls int                           // number of snapshot installations whose receiver was killed
	peakDiskBytes       int
	peakLogEntries      uint64
}

func newChangeOperator(seed uint64, count int, duration eventloop.Micros, bytesPerSecond int64) *changeOperator {
	spec := SmallFleet
	spec.JobKinds, spec.Workers = nil, 2
	f := NewFleet(seed, spec, ReliableNetwork, fastSync, duration)
	for _, h := range f.Hosts {
		h.Uplink.BytesPerSecond = bytesPerSecond
	}
	o := &changeOperator{
		Fleet: f, changes: count, interval: duration / eventloop.Micros(count), largeEvery: 20, rng: rand.New(rand.NewPCG(seed, 7)),
		bytesReceived: map[string]map[string]int{}, askedVersion: map[string]uint64{}, catchUpTimes: map[string][]eventloop.Micros{},
	}
	f.OnSend = o.inspectMessage
	f.atLoad(0, func() { o.publishNext(2) })
	return o
}

// configuration returns an update to a version with a document of the given size in bytes.
func (o *changeOperator) configuration(version uint64, size int) *schema.ConfigurationUpdate {
	update := &schema.ConfigurationUpdate{Version: version, BaseVersion: version - 1, Rows: o.ConfigurationRows(operatorUrgency)}
	if version == 2 {
		update.BaseVersion = 0
	}
	var document strings.Builder
	for k := 0; document.Len() < size; k++ {
		name, path := fmt.Sprintf("rack-%d-%d", version, k), fmt.Sprintf("%x", o.rng.Uint64())
		fmt.Fprintf(&document, `{"name":"%s","host":"jobs.example","prefix":"/%s/","kind":"jobs","timeout_ms":3000,"service":"%s"},`, name, path, path)
		update.Rows = append(update.Rows, &schema.ConfigurationRow{Kind: "rack", Name: name, Key: "weight", Value: fmt.Sprint(o.rng.IntN(100))})
	}
	update.Document = []byte(document.String()[:size])
	return update
}

// publishNext sends a version, and the next version when this one is accepted.
func (o *changeOperator) publishNext(version uint64) {
	if len(o.acknowledgedAt) >= o.changes {
		return
	}
	size := 1000 + o.rng.IntN(3000)
	if o.largeEvery > 0 && len(o.acknowledgedAt)%o.largeEvery == o.largeEvery-1 {
		size = 256 << 10
	}
	began := o.Now
	o.send(o.configuration(version, size), func() {
		o.acknowledgedAt = append(o.acknowledgedAt, o.Now)
		o.samplePeaks()
		o.After(max(o.interval-(o.Now-began), 10*eventloop.Millisecond), func() { o.publishNext(version + 1) })
	})
}

// send sends an update repeatedly until it is accepted, and then calls done.
func (o *changeOperator) send(update *schema.ConfigurationUpdate, done func()) {
	o.Request(o.anyGateway(), versionUpdateTimeout, leaderRequest(updateRequest(update)), func(answer any) {
		response := responseOf(answer)
		switch {
		case response.Code == 200:
			done()
		case isUnclear(response):
			o.After(configurationRetryDelay, func() { o.send(update, done) })
		default:
			o.report("version %d was refused: %d %s", update.Version, response.Code, response.Body)
		}
	})
}

func (o *changeOperator) report(format string, args ...any) {
	if len(o.problems) < 12 {
		o.problems = append(o.problems, fmt.Sprintf("%.3f s: ", float64(o.Now)/1e6)+fmt.Sprintf(format, args...))
	}
}

func roleName(h *Host) string {
	switch {
	case h.Disk != nil:
		return roleStorage
	case h.Role == schema.Role_ROLE_SERVER:
		return roleGateway
	}
	return roleAgent
}

const (
	applyTimeout = 2 * eventloop.Second // within it every connected process applies an acknowledged configuration
	settlePeriod = 3 * eventloop.Second // time without faults after which applyTimeout holds
)

// applyTimeout returns the timeout for this fleet's links. It is longer on slow links, over which
// the leader receives the document, sends its rows out, and meanwhile serves it to readers.
func (o *changeOperator) applyTimeout() eventloop.Micros {
	if o.Hosts[0].Uplink.BytesPerSecond == 0 {
		return applyTimeout
	}
	return applyTimeout + 4*eventloop.SlowestLinkTransferTime(256<<10)
}

// inspectMessage counts the bytes that each role receives. It checks that no process goes back
// to an older version, and that no process stays behind when there are no faults. Occasionally
// it interrupts the installation of a snapshot.
func (o *changeOperator) inspectMessage(from, to *Host, body any) {
	switch m := body.(type) {
	case *schema.ClusterStateRequest:
		o.checkReplica(from, m)
	case *schema.TransferChunk:
		if m.IsSnapshot && to != nil && o.interruptedInstalls < o.changes/40 && o.rng.IntN(8) == 0 {
			o.interruptInstall(to)
		}
	}
	message, ok := body.(proto.Message)
	if !ok || to == nil {
		return
	}
	kinds := o.bytesReceived[roleName(to)]
	if kinds == nil {
		kinds = map[string]int{}
		o.bytesReceived[roleName(to)] = kinds
	}
	kinds[strings.TrimPrefix(fmt.Sprintf("%T", body), "*schema.")] += proto.Size(message)
}

// interruptInstall kills a host that receives a snapshot, and restarts it after 2 s.
func (o *changeOperator) interruptInstall(h *Host) {
	o.interruptedInstalls++
	o.RecordFault("%s killed in the middle of an installation", h.Name)
	o.lastFaultAt = o.Now + 2*eventloop.Second
	run := h.run
	o.After(0, func() {
		if h.run == run {
			h.Kill()
			o.After(2*eventloop.Second, func() { h.Start(); o.measureCatchUp("installing", h) })
		}
	})
}

func (o *changeOperator) checkReplica(from *Host, request *schema.ClusterStateRequest) {
	process := fmt.Sprint(from.Name, "/", from.run)
	if request.Version < o.askedVersion[process] {
		o.report("%s went back from version %d to %d", process, o.askedVersion[process], request.Version)
	}
	o.askedVersion[process] = max(o.askedVersion[process], request.Version)
	if o.Now-o.lastFaultAt < settlePeriod || from.now() < settlePeriod+eventloop.Second {
		return
	}
	acknowledged := uint64(0)
	for k, at := range o.acknowledgedAt {
		if at < o.Now-o.applyTimeout() {
			acknowledged = uint64(k + 2)
		}
	}
	if request.HeldRevision < acknowledged {
		o.report("%s holds revision %d, and %d was acknowledged %.1f s ago", process, request.HeldRevision, acknowledged, float64(o.Now-o.acknowledgedAt[acknowledged-2])/1e6)
	}
}

// samplePeaks updates the peaks of the storage nodes' used disk space and of the length of the
// cluster state's log.
func (o *changeOperator) samplePeaks() {
	for _, h := range o.StorageNodes() {
		o.peakDiskBytes = max(o.peakDiskBytes, h.Disk.usedBytes())
		if group := clusterStateReplica(h); group != nil {
			o.peakLogEntries = max(o.peakLogEntries, group.LastIndex-group.SnapshotIndex)
		}
	}
}

// measureCatchUp measures how long a storage node takes after its start until it has all
// committed entries and knows that it has them.
func (o *changeOperator) measureCatchUp(fault string, h *Host) {
	began, run := o.Now, h.run
	var watch func()
	watch = func() {
		if h.run != run {
			return
		}
		if view := h.StateView(); view != nil && view.IsClusterStateFresh {
			o.catchUpTimes[fault] = append(o.catchUpTimes[fault], o.Now-began)
			return
		}
		if o.Now-began > 30*eventloop.Second {
			o.report("%s hasn't caught up %.1f s after its start", h.Name, float64(o.Now-began)/1e6)
			return
		}
		o.After(20*eventloop.Millisecond, watch)
	}
	watch()
}

// liveStorageAddresses returns the addresses of at most seedCount storage nodes that are up.
func (o *changeOperator) liveStorageAddresses() []string {
	var list []string
	for _, h := range o.Hosts {
		if h.IsUp && h.Disk != nil && len(list) < seedCount {
			list = append(list, h.Address)
		}
	}
	return list
}

// loseStorageNodes takes storage nodes down one after another, each for a random time of at most
// maxAbsence. Each is killed and restarted, wiped and restarted, or replaced by another machine.
func (o *changeOperator) loseStorageNodes(maxAbsence eventloop.Micros) {
	if len(o.acknowledgedAt) >= o.changes-5 {
		return
	}
	nodes := []*Host{}
	for _, h := range o.StorageNodes() {
		if h.IsUp {
			nodes = append(nodes, h)
		}
	}
	h := nodes[o.rng.IntN(len(nodes))]
	downtime := 2*eventloop.Second + eventloop.Micros(o.rng.Int64N(int64(maxAbsence-2*eventloop.Second)))
	fault := []string{"wiped", "replaced", "killed", "killed"}[o.rng.IntN(4)]
	o.RecordFault("%s %s", h.Name, fault)
	o.lastFaultAt = o.Now + downtime
	h.Kill()
	if fault != "killed" {
		h.Wipe()
	}
	o.After(downtime, func() {
		if fault == "replaced" {
			zone := h.Zone
			h.Disk = nil
			successor := o.AddHost(h.Name+"'", zone, h.Role, true)
			successor.Uplink.BytesPerSecond = h.Uplink.BytesPerSecond
			h = successor
		}
		if fault != "killed" {
			// A node with an empty disk needs seeds that are up. A node that was only down finds
			// the peers that it knew before.
			h.Seeds = o.liveStorageAddresses()
		}
		h.Start()
		o.measureCatchUp(fault, h)
		o.After(14*eventloop.Second, func() { o.loseStorageNodes(maxAbsence) })
	})
}

// finish runs the fleet until every change is accepted, and reports the problems as test errors.
func (o *changeOperator) finish(t *testing.T) {
	o.Run(o.LoadEnd)
	for k := 0; k < 60 && len(o.acknowledgedAt) < o.changes; k++ {
		o.Run(o.Now + 5*eventloop.Second)
	}
	// The operator's periodic reads continue for 20 s after the load, and end with one read through
	// every gateway at once.
	o.Run(max(o.Now, o.LoadEnd+20*eventloop.Second) + 10*eventloop.Second)
	if len(o.acknowledgedAt) < o.changes {
		o.report("only %d of %d configurations were accepted", len(o.acknowledgedAt), o.changes)
	}
	newest := uint64(0)
	for _, h := range o.StorageNodes() {
		if view := h.StateView(); view != nil {
			newest = max(newest, view.ConfigurationRevision)
		}
	}
	for _, h := range o.StorageNodes() {
		if view := h.StateView(); view != nil && (view.ConfigurationRevision != newest || !view.IsClusterStateFresh) {
			o.report("%s holds revision %d of %d, fresh %v", h.Name, view.ConfigurationRevision, newest, view.IsClusterStateFresh)
		}
	}
	for _, problem := range o.problems {
		t.Error(problem)
	}
	for _, e := range o.History {
		if len(o.problems) > 0 && e.Kind == checker.Fault {
			t.Logf("%.3f s: %s", float64(e.At)/1e6, e.State)
		}
	}
	t.Logf("%d configurations were accepted in %.0f s; disk at most %d bytes, the cluster state's log at most %d entries", len(o.acknowledgedAt), float64(o.Now-o.LoadStart)/1e6, o.peakDiskBytes, o.peakLogEntries)
	for fault, durations := range o.catchUpTimes {
		slices.Sort(durations)
		t.Logf("%s: %d returns, caught up in %.2f s at the median, %.2f s at most", fault, len(durations), float64(durations[len(durations)/2])/1e6, float64(durations[len(durations)-1])/1e6)
	}
	for role, kinds := range o.bytesReceived {
		for kind, bytes := range kinds {
			if bytes/o.changes > 100 {
				t.Logf("bytes per change that the role %s received: %s %d", role, kind, bytes/o.changes)
			}
		}
	}
}

func TestHundredsOfConfigurationChanges(t *testing.T) {
	for _, test := range []struct {
		name           string
		bytesPerSecond int64
	}{{"1000 Mbit/s", 0}, {"2 Mbit/s", 250_000}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			o := newChangeOperator(*firstSeed, *changes, eventloop.Micros(*changesPeriod)*eventloop.Second, test.bytesPerSecond)
			o.atLoad(5*eventloop.Second, func() { o.loseStorageNodes(20 * eventloop.Second) })
			o.finish(t)
		})
	}
}
