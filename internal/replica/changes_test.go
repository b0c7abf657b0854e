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
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// memory is a disk that never fails and knows how much lay on it at most.
type memory struct {
	files map[string][]byte
	peak  int
}

func (m *memory) Read(name string) ([]byte, error) {
	if data, isThere := m.files[name]; isThere {
		return append([]byte(nil), data...), nil
	}
	return nil, os.ErrNotExist
}

func (m *memory) Write(name string, offset int64, data []byte) error {
	if short := offset + int64(len(data)) - int64(len(m.files[name])); short > 0 {
		m.files[name] = append(m.files[name], make([]byte, short)...)
	}
	copy(m.files[name][offset:], data)
	sum := 0
	for _, each := range m.files {
		sum += len(each)
	}
	m.peak = max(m.peak, sum)
	return nil
}

func (m *memory) Truncate(name string, size int64) error {
	m.files[name] = append(make([]byte, 0, size), m.files[name][:min(size, int64(len(m.files[name])))]...)[:size]
	return nil
}

func (m *memory) Sync(string) error { return nil }

// largeSheet is a configuration of 256 KB that can hardly be packed.
func largeSheet(edition uint64) *schema.ConfigurationUpdate {
	rng := rand.New(rand.NewPCG(edition, 1))
	sheet := queuesSheet(edition, "", "l")
	var document strings.Builder
	for document.Len() < 256<<10 {
		name := fmt.Sprintf("%x%x", rng.Uint64(), rng.Uint64())
		document.WriteString(name)
		if len(sheet.Rows) < 2000 {
			sheet.Rows = append(sheet.Rows, &schema.ConfigurationRow{Kind: "rack", Name: name, Key: "weight", Value: "50"})
		}
	}
	sheet.Document = []byte(document.String()[:256<<10])
	return sheet
}

// putLarge puts a sheet that takes its time.
func (c *core) putLarge(sheet *schema.ConfigurationUpdate) int32 {
	reply := c.put(sheet)
	for k := 0; reply == nil && k < 100; k++ {
		c.run(10 * eventloop.Millisecond)
		for _, each := range c.heard["h"] {
			reply, _ = each.(*schema.Response)
		}
	}
	return reply.GetCode()
}

func TestHundredsOfLargeChanges(t *testing.T) {
	Convey("However many large changes come, the log, the disk and what a replica lacks at most stay bounded", t, func() {
		c := newCore()
		disk := &memory{files: map[string][]byte{}}
		store, err := storage.Open(disk)
		So(err, ShouldBeNil)
		// One store's batches are kept for real.
		c.batch = func(id string, batch Batch) {
			if id == "a" {
				So(store.Commit(batch.Changes), ShouldBeNil)
			}
		}
		So(store.Commit([]*schema.StoreChange{{Identity: &schema.StoreIdentity{Id: "a"}}, {Group: clusterstate.Group, Snapshot: &schema.Snapshot{MemberSet: &schema.MemberSet{Voters: stores}}}}), ShouldBeNil)
		const count = 24
		most := 0
		for edition := uint64(1); edition <= count; edition++ {
			So(c.putLarge(largeSheet(edition)), ShouldEqual, 200)
			c.run(20 * eventloop.Millisecond)
			for _, id := range stores {
				most = max(most, c.tables[id].groups[clusterstate.Group].logBytes)
			}
		}
		r := c.tables["a"].groups[clusterstate.Group]
		So(most, ShouldBeLessThanOrEqualTo, max(stateLogBytes, r.group.SnapshotBytes()))
		So(r.group.SnapshotIndex(), ShouldBeGreaterThan, 0)
		t.Logf("base %d bytes, log %d, disk %d", r.group.SnapshotBytes(), most, disk.peak)
		So(disk.peak, ShouldBeLessThan, 32<<20)
		Convey("and a process that starts from that disk holds the last of them", func() {
			again, err := storage.Open(disk)
			So(err, ShouldBeNil)
			table := New("a", again.State(), func() int64 { return 0 }, raft.DefaultTimeouts, 1, c.now)
			image := again.State().Groups[clusterstate.Group]
			So(image.Snapshot.Index, ShouldEqual, r.group.SnapshotIndex())
			So(table.state.Configuration.Revision, ShouldBeGreaterThan, count-20)
			So(table.isClusterStateFresh(c.now), ShouldBeFalse)
		})
	})
}

func TestWhoLagsFeedsNobody(t *testing.T) {
	Convey("A replica that comes back behind tells nobody of the cluster state, and gives its placer no leave, before it holds all that was acknowledged", t, func() {
		c := newCore()
		So(c.put(queuesSheet(1, "one", "l")).Code, ShouldEqual, 200)
		c.run(500 * eventloop.Millisecond)
		lagging := "a"
		if c.leader("") == "a" {
			lagging = "b"
		}
		table := c.tables[lagging]
		c.isDown[lagging] = true
		acknowledged := uint64(1)
		for edition := uint64(2); edition <= 12; edition++ {
			So(c.putLarge(largeSheet(edition)), ShouldEqual, 200)
			acknowledged = edition
		}
		c.run(2 * eventloop.Second)
		c.isDown[lagging] = false
		// For a while heartbeats come through and nothing of what it lacks.
		until := c.now + 2*eventloop.Second
		c.isLost = func(to string, body any) bool {
			switch body.(type) {
			case *schema.TransferChunk, *schema.AppendRequest, *schema.InstallSnapshot:
				return to == lagging && c.now < until
			}
			return false
		}
		isCaught := false
		for k := 0; k < 3000 && !isCaught; k++ {
			c.heard["f"], c.heard[lagging+"/placer"] = nil, nil
			c.step(lagging, "f", &schema.ClusterStateRequest{})
			c.run(2 * eventloop.Millisecond)
			for _, each := range c.heard["f"] {
				if tell, isTell := each.(*schema.ClusterStateResponse); isTell {
					isCaught = true
					So(c.now, ShouldBeGreaterThanOrEqualTo, until)
					So(tell.Version, ShouldEqual, c.tables[c.leader("")].state.Version)
				}
			}
			for _, each := range c.heard[lagging+"/placer"] {
				if fresh, isFresh := each.(Fresh); isFresh && fresh.ClusterState {
					So(table.state.Configuration.Revision, ShouldEqual, acknowledged)
				}
			}
		}
		So(isCaught, ShouldBeTrue)
		So(table.state.Configuration.Revision, ShouldEqual, acknowledged)
	})
}

func TestRowsOnTheirWay(t *testing.T) {
	Convey("Who asks often is sent the rows of a large plan once, and again when they must have been lost", t, func() {
		c := newCore()
		So(c.putLarge(largeSheet(1)), ShouldEqual, 200)
		c.run(300 * eventloop.Millisecond)
		ask := func(span eventloop.Micros) (withRows, all int) {
			c.heard["f"] = nil
			for end := c.now + span; c.now < end; {
				c.step("a", "f", &schema.ClusterStateRequest{})
				c.run(20 * eventloop.Millisecond)
			}
			for _, each := range c.heard["f"] {
				if tell, isTell := each.(*schema.ClusterStateResponse); isTell {
					all++
					if len(tell.State.GetConfiguration().GetPackedRows()) > 0 {
						withRows++
					}
				}
			}
			return withRows, all
		}
		withRows, all := ask(200 * eventloop.Millisecond)
		So(withRows, ShouldEqual, 1)
		So(all, ShouldEqual, 1)
		withRows, _ = ask(2 * eventloop.Second)
		So(withRows, ShouldBeBetween, 1, 8)
	})
}
