package replica

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// memoryDisk keeps files in memory and never fails. peak is the largest number of bytes that
// it has held.
type memoryDisk struct {
	files map[string][]byte
	peak  int
}

func (m *memoryDisk) Read(name string) ([]byte, error) {
	if data, isThere := m.files[name]; isThere {
		return append([]byte(nil), data...), nil
	}
	return nil, os.ErrNotExist
}

func (m *memoryDisk) Write(name string, offset int64, data []byte) error {
	if missing := offset + int64(len(data)) - int64(len(m.files[name])); missing > 0 {
		m.files[name] = append(m.files[name], make([]byte, missing)...)
	}
	copy(m.files[name][offset:], data)
	total := 0
	for _, file := range m.files {
		total += len(file)
	}
	m.peak = max(m.peak, total)
	return nil
}

func (m *memoryDisk) Truncate(name string, size int64) error {
	m.files[name] = append(make([]byte, 0, size), m.files[name][:min(size, int64(len(m.files[name])))]...)[:size]
	return nil
}

func (m *memoryDisk) Sync(string) error { return nil }

// largeUpdate returns an update with a document of 256 KB that can hardly be compressed.
func largeUpdate(version uint64) *schema.ConfigurationUpdate {
	rng := rand.New(rand.NewPCG(version, 1))
	update := queuesUpdate(version, "", "l")
	var document strings.Builder
	for document.Len() < 256<<10 {
		name := fmt.Sprintf("%x%x", rng.Uint64(), rng.Uint64())
		document.WriteString(name)
		if len(update.Rows) < 2000 {
			update.Rows = append(update.Rows, &schema.ConfigurationRow{Kind: "rack", Name: name, Key: "weight", Value: "50"})
		}
	}
	update.Document = []byte(document.String()[:256<<10])
	return update
}

// putLargeConfiguration sends an update, waits up to 1 s for the reply and returns its code. It
// returns 0 if there is no reply.
func (c *testCluster) putLargeConfiguration(update *schema.ConfigurationUpdate) int32 {
	reply := c.putConfiguration(update)
	for k := 0; reply == nil && k < 100; k++ {
		c.run(10 * eventloop.Millisecond)
		for _, body := range c.received["h"] {
			reply, _ = body.(*schema.Response)
		}
	}
	return reply.GetCode()
}

func TestLargeUpdatesKeepLogBounded(t *testing.T) {
	Convey("However many large updates come, the log, the disk and a lagging replica's gap stay bounded", t, func() {
		c := newTestCluster()
		disk := &memoryDisk{files: map[string][]byte{}}
		store, err := storage.Open(disk)
		So(err, ShouldBeNil)
		// The batches of node "a" are written to a real store.
		c.onBatch = func(id string, batch Batch) {
			if id == "a" {
				So(store.Commit(batch.Changes), ShouldBeNil)
			}
		}
		So(store.Commit([]*schema.StoreChange{{Identity: &schema.StoreIdentity{Id: "a"}}, {Group: clusterstate.GroupName, Snapshot: &schema.Snapshot{MemberSet: &schema.MemberSet{Voters: nodeIDs}}}}), ShouldBeNil)
		const count = 24
		maxLogBytes := 0
		for version := uint64(1); version <= count; version++ {
			So(c.putLargeConfiguration(largeUpdate(version)), ShouldEqual, 200)
			c.run(20 * eventloop.Millisecond)
			for _, id := range nodeIDs {
				maxLogBytes = max(maxLogBytes, c.hosts[id].groups[clusterstate.GroupName].logBytes)
			}
		}
		r := c.hosts["a"].groups[clusterstate.GroupName]
		So(maxLogBytes, ShouldBeLessThanOrEqualTo, max(maxStateLogBytes, r.group.SnapshotBytes()))
		So(r.group.SnapshotIndex(), ShouldBeGreaterThan, 0)
		t.Logf("base %d bytes, log %d, disk %d", r.group.SnapshotBytes(), maxLogBytes, disk.peak)
		So(disk.peak, ShouldBeLessThan, 32<<20)
		Convey("and a node that restarts from that disk has one of the last of them", func() {
			reopened, err := storage.Open(disk)
			So(err, ShouldBeNil)
			host := New("a", reopened.State(), func() int64 { return 0 }, raft.DefaultTimeouts, 1, c.now)
			state := reopened.State().Groups[clusterstate.GroupName]
			So(state.Snapshot.Index, ShouldEqual, r.group.SnapshotIndex())
			So(host.sharedState.Configuration.Revision, ShouldBeGreaterThan, count-20)
			So(host.isClusterStateFresh(c.now), ShouldBeFalse)
		})
	})
}

func TestLaggingReplicaServesNoClusterState(t *testing.T) {
	Convey("A lagging replica answers no query for the cluster state, and isn't fresh for its scheduler, until it has all that was acknowledged", t, func() {
		c := newTestCluster()
		So(c.putConfiguration(queuesUpdate(1, "one", "l")).Code, ShouldEqual, 200)
		c.run(500 * eventloop.Millisecond)
		lagging := "a"
		if c.leader("") == "a" {
			lagging = "b"
		}
		host := c.hosts[lagging]
		c.isDown[lagging] = true
		acknowledged := uint64(1)
		for version := uint64(2); version <= 12; version++ {
			So(c.putLargeConfiguration(largeUpdate(version)), ShouldEqual, 200)
			acknowledged = version
		}
		c.run(2 * eventloop.Second)
		c.isDown[lagging] = false
		// For 2 s after it is up again the lagging replica receives heartbeats but no entries.
		until := c.now + 2*eventloop.Second
		c.isLost = func(to string, body any) bool {
			switch body.(type) {
			case *schema.TransferChunk, *schema.AppendRequest, *schema.InstallSnapshot:
				return to == lagging && c.now < until
			}
			return false
		}
		isCaughtUp := false
		for k := 0; k < 3000 && !isCaughtUp; k++ {
			c.received["f"], c.received[lagging+"/scheduler"] = nil, nil
			c.step(lagging, "f", &schema.ClusterStateRequest{})
			c.run(2 * eventloop.Millisecond)
			for _, body := range c.received["f"] {
				if update, isUpdate := body.(*schema.ClusterStateResponse); isUpdate {
					isCaughtUp = true
					So(c.now, ShouldBeGreaterThanOrEqualTo, until)
					So(update.Version, ShouldEqual, c.hosts[c.leader("")].sharedState.Version)
				}
			}
			for _, body := range c.received[lagging+"/scheduler"] {
				if status, isStatus := body.(LeadershipStatus); isStatus && status.IsClusterStateFresh {
					So(host.sharedState.Configuration.Revision, ShouldEqual, acknowledged)
				}
			}
		}
		So(isCaughtUp, ShouldBeTrue)
		So(host.sharedState.Configuration.Revision, ShouldEqual, acknowledged)
	})
}

// TestInstalledClusterStateIsPublished guards against a node that receives the cluster state
// only in a snapshot and doesn't notify its components of it.
func TestInstalledClusterStateIsPublished(t *testing.T) {
	Convey("A node that was down gets the cluster state by a snapshot, and notifies its components", t, func() {
		c := newTestCluster()
		down := c.follower()
		c.isDown[down] = true
		leader := c.leader("")
		group := c.clusterStateGroup(leader)
		for version := uint64(1); group.SnapshotIndex() != group.LastIndex(); version++ {
			So(version, ShouldBeLessThan, 60)
			So(c.putLargeConfiguration(largeUpdate(version)), ShouldEqual, 200)
			c.run(50 * eventloop.Millisecond)
		}
		want := c.hosts[leader].sharedState.Version
		c.isDown[down] = false
		c.received[down+"/scheduler"] = nil
		c.run(6 * eventloop.Second)
		So(c.hosts[down].sharedState.Version, ShouldEqual, want)
		So(lastNotifiedVersion(c.received[down+"/scheduler"]), ShouldEqual, want)
		So(lastNotifiedVersion(c.received[down+"/gateway"]), ShouldEqual, want)
	})
}

// TestRestoredClusterStateIsPublished guards against a node that starts with the cluster state
// only in its snapshot and doesn't notify its components before the next change.
func TestRestoredClusterStateIsPublished(t *testing.T) {
	Convey("A node that restarts from a snapshot alone notifies its components of the cluster state", t, func() {
		c := newTestCluster()
		So(c.putConfiguration(queuesUpdate(1, "", "q")).Code, ShouldEqual, 200)
		c.run(100 * eventloop.Millisecond)
		old := c.hosts["a"]
		group := c.clusterStateGroup("a")
		state := &storage.State{Identity: old.identity, Groups: map[string]*storage.GroupState{clusterstate.GroupName: {
			HardState: &schema.HardState{Term: group.Term()},
			Snapshot:  &schema.Snapshot{Index: group.LastIndex(), Term: group.Term(), Data: clusterstate.Compress(old.stateMachine.Snapshot()), MemberSet: group.MemberSet()},
		}}}
		c.hosts["a"] = New("a", state, old.wallClock, raft.DefaultTimeouts, 1, c.now)
		c.received["a/scheduler"], c.received["a/gateway"], c.received["a/membership"] = nil, nil, nil
		c.step("a", "", eventloop.Tick{})
		So(lastNotifiedVersion(c.received["a/scheduler"]), ShouldEqual, old.sharedState.Version)
		So(lastNotifiedVersion(c.received["a/gateway"]), ShouldEqual, old.sharedState.Version)
		So(c.received["a/membership"], ShouldContain, membership.ClusterStateObserved{Version: old.sharedState.Version})
		Convey("once", func() {
			count := len(c.received["a/gateway"])
			c.step("a", "", eventloop.Tick{})
			So(c.received["a/gateway"], ShouldHaveLength, count)
		})
	})
}

// lastNotifiedVersion returns the version of the last cluster state that the messages contain.
func lastNotifiedVersion(messages []any) uint64 {
	var version uint64
	for _, body := range messages {
		if response, isState := body.(*schema.ClusterStateResponse); isState && response.State != nil {
			version = response.Version
		}
	}
	return version
}
