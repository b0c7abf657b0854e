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
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/gateway"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

var changes = flag.Int("changes", 40, "how many configurations TestHundredsOfChanges sends")
var changesPeriod = flag.Int("changes-span", 60, "over how many seconds")

// changeOperator sends one configuration after the other, each built on the one before,
// again until it is taken.
type changeOperator struct {
	*Fleet
	changes             int
	interval            eventloop.Micros
	largeEvery          int // every so manieth has 256 KB
	rng                 *rand.Rand
	acknowledgedAt      []eventloop.Micros // when each was acknowledged
	problems            []string
	bytesReceived       map[string]map[string]int     // by role and kind of message
	askedVersion        map[string]uint64             // newest version that a life has asked with
	catchUpTimes        map[string][]eventloop.Micros // how long stores took to catch up, by what had struck them
	lastFaultAt         eventloop.Micros              // when something was last struck, or came back
	interruptedInstalls int                           // installations whose receiver was killed
	peakDiskBytes       int
	peakLogEntries      uint64
}

func newChangeOperator(seed uint64, count int, duration eventloop.Micros, speed int64) *changeOperator {
	size := SmallFleet
	size.JobKinds, size.Workers = nil, 2
	f := NewFleet(seed, size, ReliableNetwork, 500, duration)
	for _, h := range f.Hosts {
		h.Link.BytesPerSecond = speed
	}
	o := &changeOperator{
		Fleet: f, changes: count, interval: duration / eventloop.Micros(count), largeEvery: 20, rng: rand.New(rand.NewPCG(seed, 7)),
		bytesReceived: map[string]map[string]int{}, askedVersion: map[string]uint64{}, catchUpTimes: map[string][]eventloop.Micros{},
	}
	f.OnSend = o.inspectMessage
	f.At(f.LoadStart, func() { o.publishNext(2) })
	return o
}

// configuration makes one of some bytes, as a front makes it of what an operator sends.
func (o *changeOperator) configuration(version uint64, size int) *schema.ConfigurationUpdate {
	configuration := &schema.ConfigurationUpdate{Version: version, BaseVersion: version - 1, Rows: o.ConfigurationRows(60)}
	if version == 2 {
		configuration.BaseVersion = 0
	}
	var document strings.Builder
	for k := 0; document.Len() < size; k++ {
		name, path := fmt.Sprintf("rack-%d-%d", version, k), fmt.Sprintf("%x", o.rng.Uint64())
		fmt.Fprintf(&document, `{"name":"%s","host":"jobs.example","prefix":"/%s/","kind":"jobs","timeout_ms":3000,"service":"%s"},`, name, path, path)
		configuration.Rows = append(configuration.Rows, &schema.ConfigurationRow{Kind: "rack", Name: name, Key: "weight", Value: fmt.Sprint(o.rng.IntN(100))})
	}
	configuration.Document = []byte(document.String()[:size])
	return configuration
}

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

func (o *changeOperator) send(configuration *schema.ConfigurationUpdate, back func()) {
	node := o.pickGateway(o.randomZone())
	o.Request(node, 4*eventloop.Second, func(request uint64, deadline eventloop.Micros) any {
		return gateway.LeaderRequest{RequestID: request, Kind: "clusterstate", Group: clusterstate.Group, Deadline: deadline, Body: replica.EncodeClusterStateCommand(
			&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: configuration}}})}
	}, func(answer any) {
		reply, _ := answer.(gateway.Response)
		switch {
		case reply.Code == 200:
			back()
		case reply.Code == 0 || reply.Code >= 500 || reply.Code == 429:
			o.After(200*eventloop.Millisecond, func() { o.send(configuration, back) })
		default:
			o.report("edition %d was refused: %d %s", configuration.Version, reply.Code, reply.Body)
		}
	})
}

func (o *changeOperator) report(form string, args ...any) {
	if len(o.problems) < 12 {
		o.problems = append(o.problems, fmt.Sprintf("%.3f s: ", float64(o.Now)/1e6)+fmt.Sprintf(form, args...))
	}
}

func (o *changeOperator) roleOf(h *Host) string {
	switch {
	case h.Disk != nil:
		return "store"
	case h.Role == schema.Role_ROLE_SERVER:
		return "front"
	}
	return "side"
}

// applyTimeout is by when every process in touch acts by what was acknowledged, and
// settlePeriod for how long nothing must have been in trouble for that.
const (
	applyTimeout = 2 * eventloop.Second
	settlePeriod = 3 * eventloop.Second
)

// applyTimeout is that span here: over a slow link the document comes to the leader, its
// rows go out, and those who read it are answered with it meanwhile.
func (o *changeOperator) applyTimeout() eventloop.Micros {
	if o.Hosts[0].Link.BytesPerSecond == 0 {
		return applyTimeout
	}
	return applyTimeout + 4*eventloop.LinkTime(256<<10)
}

// countMessage counts what each role is sent, and sees that no life goes back and that no
// calm one stays behind.
func (o *changeOperator) inspectMessage(from, to *Host, body any) {
	switch m := body.(type) {
	case *schema.ClusterStateRequest:
		o.checkReplica(from, m)
	case *schema.TransferChunk:
		if m.IsSnapshot && to != nil && o.interruptedInstalls < o.changes/40 && o.rng.IntN(8) == 0 {
			o.interruptedInstalls++
			o.RecordFault("%s killed in the middle of an installation", to.Name)
			o.lastFaultAt = o.Now + 2*eventloop.Second
			run := to.run
			o.After(0, func() {
				if to.run == run {
					to.Kill()
					o.After(2*eventloop.Second, func() { to.Start(); o.measureCatchUp("installing", to) })
				}
			})
		}
	}
	message, ok := body.(proto.Message)
	if !ok || to == nil {
		return
	}
	kinds := o.bytesReceived[o.roleOf(to)]
	if kinds == nil {
		kinds = map[string]int{}
		o.bytesReceived[o.roleOf(to)] = kinds
	}
	kinds[strings.TrimPrefix(fmt.Sprintf("%T", body), "*schema.")] += proto.Size(message)
}

func (o *changeOperator) checkReplica(from *Host, ask *schema.ClusterStateRequest) {
	life := fmt.Sprint(from.Name, "/", from.run)
	if ask.Version < o.askedVersion[life] {
		o.report("%s went back from version %d to %d", life, o.askedVersion[life], ask.Version)
	}
	o.askedVersion[life] = max(o.askedVersion[life], ask.Version)
	if o.Now-o.lastFaultAt < settlePeriod || from.now() < settlePeriod+eventloop.Second {
		return
	}
	taken := uint64(0)
	for k, at := range o.acknowledgedAt {
		if at < o.Now-o.applyTimeout() {
			taken = uint64(k + 2)
		}
	}
	if ask.HeldRevision < taken {
		o.report("%s holds generation %d, and %d was acknowledged %.1f s ago", life, ask.HeldRevision, taken, float64(o.Now-o.acknowledgedAt[taken-2])/1e6)
	}
}

// samplePeaks notes what the stores hold.
func (o *changeOperator) samplePeaks() {
	for _, h := range o.StorageNodes() {
		bytes := 0
		for _, name := range []string{"slot-0", "slot-1", "log-0", "log-1"} {
			bytes += h.Disk.Size(name)
		}
		o.peakDiskBytes = max(o.peakDiskBytes, bytes)
		for _, g := range o.clusterStateGroup(h) {
			o.peakLogEntries = max(o.peakLogEntries, g.Last-g.Released)
		}
	}
}

func (o *changeOperator) clusterStateGroup(h *Host) []*replica.GroupStateView {
	if view := h.StateView(); view != nil {
		for _, g := range view.Groups {
			if g.Group == clusterstate.Group {
				return []*replica.GroupStateView{g}
			}
		}
	}
	return nil
}

// measureCatchUp measures how long a store takes after its start until it holds, and
// knows that it holds, all that is committed.
func (o *changeOperator) measureCatchUp(what string, h *Host) {
	began, run := o.Now, h.run
	var watch func()
	watch = func() {
		if h.run != run {
			return
		}
		if view := h.StateView(); view != nil && view.IsClusterStateFresh {
			o.catchUpTimes[what] = append(o.catchUpTimes[what], o.Now-began)
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

// liveStorageAddresses are the addresses of stores that are up, three at most.
func (o *changeOperator) liveStorageAddresses() []string {
	var list []string
	for _, h := range o.Hosts {
		if h.IsUp && h.Disk != nil && len(list) < 3 {
			list = append(list, h.Address)
		}
	}
	return list
}

// inject takes one store away after the other, each for a span that is drawn:
// killed, wiped and back, or replaced by another machine.
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
	away := 2*eventloop.Second + eventloop.Micros(o.rng.Int64N(int64(maxAbsence-2*eventloop.Second)))
	what := []string{"wiped", "replaced", "killed", "killed"}[o.rng.IntN(4)]
	o.RecordFault("%s %s", h.Name, what)
	o.lastFaultAt = o.Now + away
	h.Kill()
	if what != "killed" {
		h.Wipe()
	}
	o.After(away, func() {
		if what == "replaced" {
			zone := h.Zone
			h.Disk = nil
			newHost := o.AddHost(h.Name+"'", zone, h.Role, true)
			newHost.Link.BytesPerSecond = h.Link.BytesPerSecond
			h = newHost
		}
		if what != "killed" {
			// Whoever begins with an empty disk is given settings of today; who has only
			// been away finds its way by those it knew.
			h.Seeds = o.liveStorageAddresses()
		}
		h.Start()
		o.measureCatchUp(what, h)
		o.After(14*eventloop.Second, func() { o.loseStorageNodes(maxAbsence) })
	})
}

func (o *changeOperator) finish(t *testing.T) {
	o.Run(o.LoadEnd)
	for k := 0; k < 60 && len(o.acknowledgedAt) < o.changes; k++ {
		o.Run(o.Now + 5*eventloop.Second)
	}
	// Readers go on for 20 s, and all of them read at once at the end.
	o.Run(max(o.Now, o.LoadEnd+20*eventloop.Second) + 10*eventloop.Second)
	if len(o.acknowledgedAt) < o.changes {
		o.report("only %d of %d were taken", len(o.acknowledgedAt), o.changes)
	}
	newest := uint64(0)
	for _, h := range o.StorageNodes() {
		if view := h.StateView(); view != nil {
			newest = max(newest, view.ConfigurationRevision)
		}
	}
	for _, h := range o.StorageNodes() {
		if view := h.StateView(); view != nil && (view.ConfigurationRevision != newest || !view.IsClusterStateFresh) {
			o.report("%s holds generation %d of %d, fresh %v", h.Name, view.ConfigurationRevision, newest, view.IsClusterStateFresh)
		}
	}
	for _, each := range o.problems {
		t.Error(each)
	}
	for _, e := range o.History {
		if len(o.problems) > 0 && e.Kind == checker.Fault {
			t.Logf("%.3f s: %s", float64(e.At)/1e6, e.State)
		}
	}
	t.Logf("%d taken in %.0f s; disk at most %d bytes, the cluster state's log at most %d records", len(o.acknowledgedAt), float64(o.Now-o.LoadStart)/1e6, o.peakDiskBytes, o.peakLogEntries)
	for what, durations := range o.catchUpTimes {
		slices.Sort(durations)
		t.Logf("%s: %d returns, caught up in %.2f s at the middle, %.2f s at most", what, len(durations), float64(durations[len(durations)/2])/1e6, float64(durations[len(durations)-1])/1e6)
	}
	for role, kinds := range o.bytesReceived {
		for kind, bytes := range kinds {
			if bytes/o.changes > 100 {
				t.Logf("bytes a change, to %s: %s %d", role, kind, bytes/o.changes)
			}
		}
	}
}

func TestHundredsOfConfigurationChanges(t *testing.T) {
	for _, each := range []struct {
		name  string
		speed int64
	}{{"1000 Mbit/s", 0}, {"2 Mbit/s", 250_000}} {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			o := newChangeOperator(*firstSeed, *changes, eventloop.Micros(*changesPeriod)*eventloop.Second, each.speed)
			o.At(o.LoadStart+5*eventloop.Second, func() { o.loseStorageNodes(20 * eventloop.Second) })
			o.finish(t)
		})
	}
}
