package raft

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// rig is a group of replicas with a network that a test shapes by hand.
type rig struct {
	now     eventloop.Micros
	rng     *rand.Rand
	groups  map[string]*Group
	images  map[string]*storage.GroupState // what is durable
	pending map[string][]Post              // posts that wait for a sync
	changes map[string][]*schema.StoreChange
	applied map[string][]string
	reads   map[string][]uint64
	mail    []parcel
	isDown  map[string]bool
	cut     func(from, to string) bool
	loss    float64
	noSync  map[string]bool
	appends int
	// isOrdered keeps messages in order, as wires do.
	isOrdered bool
}

type parcel struct {
	from, to string
	body     proto.Message
}

var ids = []string{"a", "b", "c"}

func newRig(seed uint64, members ...string) *rig {
	r := &rig{
		now: eventloop.Second, rng: rand.New(rand.NewPCG(seed, 1)), groups: map[string]*Group{}, images: map[string]*storage.GroupState{},
		pending: map[string][]Post{}, changes: map[string][]*schema.StoreChange{}, applied: map[string][]string{}, reads: map[string][]uint64{},
		isDown: map[string]bool{}, noSync: map[string]bool{}, cut: func(string, string) bool { return false },
	}
	for _, id := range members {
		r.images[id] = &storage.GroupState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{MemberSet: &schema.MemberSet{Voters: members}}}
		r.start(id)
	}
	return r
}

func (r *rig) start(id string) {
	r.isDown[id] = false
	r.pending[id], r.changes[id] = nil, nil
	r.applied[id] = nil
	image := r.images[id]
	copied := &storage.GroupState{HardState: image.HardState, Snapshot: image.Snapshot, Entries: append([]*schema.Entry(nil), image.Entries...)}
	r.groups[id] = New("g", id, copied, UsualTimes, rand.New(rand.NewPCG(r.rng.Uint64(), 2)), r.now)
}

// collect takes a replica's effects; its disk lasts at once unless told not to.
func (r *rig) collect(id string) {
	g := r.groups[id]
	g.FlushReads(r.now)
	effects, mark := g.Take()
	for _, post := range effects.Posts {
		if post.After {
			r.pending[id] = append(r.pending[id], post)
		} else {
			r.mail = append(r.mail, parcel{id, post.To, post.Body})
		}
	}
	if effects.Restore != nil {
		r.applied[id] = []string{string(effects.Restore.Data)}
	}
	for _, record := range effects.Commits {
		if record.Kind == schema.EntryKind_ENTRY_COMMAND {
			r.applied[id] = append(r.applied[id], string(record.Data))
		}
	}
	r.reads[id] = append(r.reads[id], effects.Reads...)
	r.changes[id] = append(r.changes[id], effects.Changes...)
	if r.noSync[id] {
		return
	}
	content := &storage.State{Groups: map[string]*storage.GroupState{"g": r.images[id]}}
	changes := r.changes[id]
	r.changes[id] = nil
	for _, change := range changes {
		content.Apply(change)
	}
	for _, post := range r.pending[id] {
		r.mail = append(r.mail, parcel{id, post.To, post.Body})
	}
	r.pending[id] = nil
	if len(changes) > 0 {
		g.Synced(r.now, mark)
		r.collect(id)
	}
}

// run lets time pass in steps of 10 ms, delivering everything each time.
func (r *rig) run(span eventloop.Micros) {
	for end := r.now + span; r.now < end; r.now += 10 * eventloop.Millisecond {
		for _, id := range sortedIDs(r.groups) {
			if !r.isDown[id] {
				r.groups[id].Tick(r.now)
				r.collect(id)
			}
		}
		for round := 0; len(r.mail) > 0 && round < 50; round++ {
			mail := r.mail
			r.mail = nil
			if !r.isOrdered {
				r.rng.Shuffle(len(mail), func(i, j int) { mail[i], mail[j] = mail[j], mail[i] })
			}
			for _, p := range mail {
				if _, isAppend := p.body.(*schema.AppendRequest); isAppend {
					r.appends++
				}
				if r.groups[p.to] == nil || r.isDown[p.to] || r.isDown[p.from] || r.cut(p.from, p.to) || r.rng.Float64() < r.loss {
					continue
				}
				r.groups[p.to].Step(r.now, p.from, p.body)
				r.collect(p.to)
			}
		}
	}
}

func sortedIDs(groups map[string]*Group) []string {
	var list []string
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		if groups[id] != nil {
			list = append(list, id)
		}
	}
	return list
}

func (r *rig) leader() *Group {
	var best *Group
	for id, g := range r.groups {
		if g.IsLeader() && !r.isDown[id] && (best == nil || g.Term() > best.Term()) {
			best = g
		}
	}
	return best
}

func (r *rig) propose(text string) bool {
	g := r.leader()
	if g == nil {
		return false
	}
	_, _, err := g.Propose(r.now, []byte(text))
	r.collect(g.self)
	return err == nil
}

func TestElection(t *testing.T) {
	Convey("Three replicas elect one leader, and its records reach all", t, func() {
		r := newRig(1, ids...)
		r.run(4 * eventloop.Second)
		So(r.leader(), ShouldNotBeNil)
		So(r.propose("one"), ShouldBeTrue)
		So(r.propose("two"), ShouldBeTrue)
		r.run(eventloop.Second)
		for _, id := range ids {
			So(r.applied[id], ShouldResemble, []string{"one", "two"})
		}
		Convey("one that was cut off and comes back doesn't disturb the leader", func() {
			old := r.leader()
			var far string
			for _, id := range ids {
				if id != old.self {
					far = id
				}
			}
			r.cut = func(from, to string) bool { return from == far || to == far }
			r.run(20 * eventloop.Second)
			term := old.Term()
			So(r.groups[far].Term(), ShouldEqual, term)
			r.cut = func(string, string) bool { return false }
			r.run(3 * eventloop.Second)
			So(r.leader(), ShouldEqual, old)
			So(old.Term(), ShouldEqual, term)
		})
		Convey("a leader without a quorum steps down and commits nothing", func() {
			old := r.leader()
			r.cut = func(from, to string) bool { return from == old.self || to == old.self }
			r.propose("lost")
			So(old.Acting(r.now), ShouldBeTrue)
			r.run(500 * eventloop.Millisecond)
			So(old.Acting(r.now), ShouldBeFalse)
			r.run(5 * eventloop.Second)
			So(old.IsLeader(), ShouldBeFalse)
			So(r.propose("three"), ShouldBeTrue)
			r.run(eventloop.Second)
			r.cut = func(string, string) bool { return false }
			r.run(4 * eventloop.Second)
			for _, id := range ids {
				So(r.applied[id], ShouldResemble, []string{"one", "two", "three"})
			}
		})
		Convey("leadership is handed over without an election's wait", func() {
			old := r.leader()
			to := "a"
			if old.self == "a" {
				to = "b"
			}
			old.Pass(r.now, to)
			r.collect(old.self)
			r.run(50 * eventloop.Millisecond)
			So(r.leader().self, ShouldEqual, to)
		})
	})
}

func TestNothingIsToldBeforeItLasts(t *testing.T) {
	Convey("A follower whose disk doesn't answer acknowledges nothing, and votes for nobody", t, func() {
		r := newRig(3, ids...)
		r.run(4 * eventloop.Second)
		lead := r.leader()
		for _, id := range ids {
			if id != lead.self {
				r.noSync[id] = true
			}
		}
		r.propose("one")
		r.run(3 * eventloop.Second)
		So(len(r.applied[lead.self]), ShouldEqual, 0)
		// Heartbeats go on meanwhile, so it still leads.
		So(lead.IsLeader(), ShouldBeTrue)
		for _, id := range ids {
			r.noSync[id] = false
		}
		r.run(2 * eventloop.Second)
		So(r.applied[lead.self], ShouldResemble, []string{"one"})
	})
	Convey("A vote isn't told before it lasts, nor does a candidate count its own", t, func() {
		r := newRig(8, ids...)
		for _, id := range ids[1:] {
			r.noSync[id] = true
		}
		r.run(6 * eventloop.Second)
		So(r.leader(), ShouldBeNil)
		// Votes that were never synced are lost with the power, and another may
		// be given in the same term.
		for _, id := range ids[1:] {
			r.noSync[id] = false
			r.start(id)
		}
		r.run(6 * eventloop.Second)
		So(r.leader(), ShouldNotBeNil)
	})
	Convey("A sync that is reported for a record replaced meanwhile proves nothing", t, func() {
		r := newRig(4, ids...)
		g := r.groups["a"]
		entries := func(term, prevIndex, prevTerm uint64, data string) {
			g.Step(r.now, "b", &schema.AppendRequest{Group: "g", Term: term, PrevIndex: prevIndex, PrevTerm: prevTerm,
				Entries: []*schema.Entry{{Index: prevIndex + 1, Term: term, Data: []byte(data)}}})
		}
		entries(1, 0, 0, "old")
		_, oldMark := g.Take()
		entries(2, 0, 0, "new")
		_, newMark := g.Take()
		g.Synced(r.now, oldMark)
		So(g.Stable(), ShouldEqual, 0)
		g.Synced(r.now, newMark)
		So(g.Stable(), ShouldEqual, 1)
	})
}

func TestCheckpointReachesWhoLags(t *testing.T) {
	Convey("A replica that was away beyond the released log gets the checkpoint, then the rest", t, func() {
		r := newRig(5, ids...)
		r.run(4 * eventloop.Second)
		lead := r.leader()
		var far string
		for _, id := range ids {
			if id != lead.self {
				far = id
			}
		}
		r.isDown[far] = true
		for k := 0; k < 50; k++ {
			r.propose(fmt.Sprint(k))
		}
		r.run(eventloop.Second)
		lead.Release(lead.Applied()-5, []byte("state"))
		r.collect(lead.self)
		r.start(far)
		r.run(3 * eventloop.Second)
		So(r.applied[far], ShouldResemble, []string{"state", "45", "46", "47", "48", "49"})
		So(r.groups[far].GroupTime(r.now), ShouldBeGreaterThan, 0)
	})
}

func TestCatchingUpCostsWhatIsMissing(t *testing.T) {
	Convey("A replica that was away gets what it lacks about once, however much was on its way", t, func() {
		for seed := uint64(1); seed < 20; seed++ {
			r := newRig(seed, ids...)
			r.run(4 * eventloop.Second)
			lead := r.leader()
			var far string
			for _, id := range ids {
				if id != lead.self {
					far = id
				}
			}
			r.cut = func(from, to string) bool { return to == far || from == far }
			for k := 0; k < 900; k++ {
				r.propose(fmt.Sprint(k))
			}
			r.run(3 * eventloop.Second)
			r.cut = func(string, string) bool { return false }
			// Many records come in the moment before it catches up.
			r.appends, r.isOrdered = 0, true
			for k := 0; k < 40; k++ {
				r.propose(fmt.Sprint("n", k))
			}
			r.run(2 * eventloop.Second)
			So(len(r.applied[far]), ShouldEqual, 940)
			So(r.appends, ShouldBeLessThan, 120)
		}
	})
}

func TestNewLeaderOfALongLog(t *testing.T) {
	Convey("A new leader of a log longer than what may be on its way acts at once, and sends nothing anew", t, func() {
		r := newRig(9, ids...)
		r.run(4 * eventloop.Second)
		for k := 0; k < maxFlight+500; k++ {
			r.propose(fmt.Sprint(k))
		}
		r.run(2 * eventloop.Second)
		old := r.leader()
		to := "a"
		if old.self == "a" {
			to = "b"
		}
		r.appends = 0
		Convey("as one that was handed the group", func() {
			old.Pass(r.now, to)
			r.collect(old.self)
			r.run(50 * eventloop.Millisecond)
			So(r.groups[to].Acting(r.now), ShouldBeTrue)
			So(r.appends, ShouldBeLessThan, 10)
		})
		Convey("also where the first Append was lost", func() {
			r.cut = func(from, other string) bool { return len(r.applied[to]) > 0 && r.groups[to].IsLeader() }
			old.Pass(r.now, to)
			r.collect(old.self)
			r.run(50 * eventloop.Millisecond)
			So(r.groups[to].IsLeader(), ShouldBeTrue)
			r.cut = func(string, string) bool { return false }
			r.run(500 * eventloop.Millisecond)
			So(r.groups[to].Acting(r.now), ShouldBeTrue)
			So(r.appends, ShouldBeLessThan, 20)
		})
	})
}

func TestStartingAnew(t *testing.T) {
	Convey("When all start anew whoever led last leads again, without an election's time", t, func() {
		for seed := uint64(1); seed <= 50; seed++ {
			r := newRig(seed, ids...)
			r.run(4 * eventloop.Second)
			r.propose("one")
			r.run(eventloop.Second)
			old := r.leader().self
			isSplit := false
			for _, id := range ids {
				// Who stood against the leader has voted for itself as well.
				isSplit = isSplit || id != old && r.images[id].HardState.Vote == id
				r.start(id)
			}
			r.run(UsualTimes.acting() + 50*eventloop.Millisecond)
			if !isSplit {
				So(r.leader().self, ShouldEqual, old)
			}
			So(r.leader().Acting(r.now), ShouldBeTrue)
		}
	})
	Convey("and another does a moment later if that one stays away", t, func() {
		for seed := uint64(1); seed <= 50; seed++ {
			r := newRig(seed, ids...)
			r.run(4 * eventloop.Second)
			old := r.leader().self
			for _, id := range ids {
				r.start(id)
			}
			r.isDown[old] = true
			r.run(eventloop.Second)
			So(r.leader(), ShouldNotBeNil)
		}
	})
	Convey("One that starts alone disturbs nobody, nor does it lead before the last leader acts no more", t, func() {
		r := newRig(1, ids...)
		r.run(4 * eventloop.Second)
		lead := r.leader()
		term := lead.Term()
		for _, id := range ids {
			if id != lead.self {
				r.start(id)
				r.run(3 * eventloop.Second)
			}
		}
		So(r.leader(), ShouldEqual, lead)
		So(lead.Term(), ShouldEqual, term)
	})
}

func TestMembersChangeByOne(t *testing.T) {
	Convey("A fresh replica learns, is promoted, and the lost one is dropped", t, func() {
		r := newRig(6, ids...)
		r.run(4 * eventloop.Second)
		r.propose("one")
		r.run(eventloop.Second)
		lead := r.leader()
		lost, other := "", ""
		for _, id := range ids {
			if id != lead.self {
				lost, other = other, id
			}
		}
		if lost == "" {
			lost = "a"
		}
		r.isDown[lost] = true
		r.images["d"] = &storage.GroupState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{}}
		r.start("d")
		r.run(3 * eventloop.Second)
		So(r.groups["d"].Term(), ShouldEqual, 0) // it never campaigns unasked
		So(lead.ProposeMemberSet(r.now, &schema.MemberSet{Voters: ids, Learners: []string{"d"}}), ShouldBeNil)
		r.collect(lead.self)
		r.run(eventloop.Second)
		So(r.applied["d"], ShouldResemble, []string{"one"})
		So(lead.ProposeMemberSet(r.now, &schema.MemberSet{Voters: append(append([]string{}, ids...), "d")}), ShouldBeNil)
		So(lead.ProposeMemberSet(r.now, &schema.MemberSet{Voters: ids}), ShouldNotBeNil)
		r.collect(lead.self)
		r.run(eventloop.Second)
		So(lead.ProposeMemberSet(r.now, &schema.MemberSet{Voters: []string{lead.self, other, "d"}}), ShouldBeNil)
		r.collect(lead.self)
		r.run(eventloop.Second)
		// A second loss is survived now.
		r.isDown[other] = true
		r.propose("two")
		r.run(eventloop.Second)
		So(r.applied["d"], ShouldResemble, []string{"one", "two"})
	})
}

func TestReadsAreNotOlderThanAsked(t *testing.T) {
	Convey("A read is answered only when a quorum has heard from this leader since", t, func() {
		r := newRig(7, ids...)
		r.run(4 * eventloop.Second)
		lead := r.leader()
		So(lead.Read(r.now, 1), ShouldBeNil)
		r.collect(lead.self)
		r.run(20 * eventloop.Millisecond)
		So(r.reads[lead.self], ShouldResemble, []uint64{1})
		r.cut = func(from, to string) bool { return from == lead.self || to == lead.self }
		So(lead.Read(r.now, 2), ShouldBeNil)
		r.collect(lead.self)
		r.run(4 * eventloop.Second)
		So(r.reads[lead.self], ShouldResemble, []uint64{1})
	})
}

// TestRandomHistories: whatever happens, replicas apply one sequence, and what
// was applied anywhere stays.
func TestRandomHistories(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		r := newRig(seed, ids...)
		r.loss = 0.1
		longest := []string{}
		for k := 0; k < 60; k++ {
			r.propose(fmt.Sprint(k))
			switch r.rng.IntN(6) {
			case 0:
				id := ids[r.rng.IntN(3)]
				r.isDown[id] = true
			case 1, 2:
				for _, id := range ids {
					if r.isDown[id] {
						r.start(id)
					}
				}
			case 3:
				a, b := ids[r.rng.IntN(3)], ids[r.rng.IntN(3)]
				r.cut = func(from, to string) bool { return from == a && to == b }
			case 4:
				r.cut = func(string, string) bool { return false }
			}
			r.run(eventloop.Micros(r.rng.Int64N(int64(eventloop.Second))))
			for _, id := range ids {
				got := r.applied[id]
				for i := 0; i < min(len(got), len(longest)); i++ {
					if got[i] != longest[i] {
						t.Fatalf("seed %d: %s applied %q at %d, where %q was applied before", seed, id, got[i], i, longest[i])
					}
				}
				if len(got) > len(longest) {
					longest = append([]string{}, got...)
				}
			}
		}
		r.cut = func(string, string) bool { return false }
		r.loss = 0
		for _, id := range ids {
			if r.isDown[id] {
				r.start(id)
			}
		}
		r.run(8 * eventloop.Second)
		if len(longest) == 0 {
			t.Fatalf("seed %d: nothing was ever applied", seed)
		}
		for _, id := range ids {
			if len(r.applied[id]) < len(longest) {
				t.Fatalf("seed %d: %s applied %d of %d in the end", seed, id, len(r.applied[id]), len(longest))
			}
		}
	}
}

func TestWallTime(t *testing.T) {
	const right, jump = int64(1_800_000_000_000_000), int64(3600 * eventloop.Second)
	clock := func(g *Group, walls map[string]int64) {
		for id, wall := range walls {
			g.peers[id].wall = wall
		}
	}
	Convey("Of three clocks the middle one counts", t, func() {
		r := newRig(1, ids...)
		r.run(3 * eventloop.Second)
		g := r.leader()
		for k, id := range g.others() {
			clock(g, map[string]int64{id: []int64{right + jump, right}[k]})
		}
		So(g.WallTime(0, right), ShouldEqual, right)
		So(g.WallTime(0, right-jump), ShouldEqual, right)
	})
	Convey("Most clocks that jump together aren't believed for a while", t, func() {
		r := newRig(1, ids...)
		r.run(3 * eventloop.Second)
		g := r.leader()
		now, others := r.now, g.others()
		at := func(jump int64, span eventloop.Micros) int64 {
			walls := map[string]int64{}
			for _, id := range others {
				walls[id] = right + jump - int64(now)
			}
			clock(g, walls)
			g.AgreeWall(now+span, right+jump+int64(span))
			return g.WallTime(now+span, right+jump+int64(span)) - int64(span)
		}
		So(at(0, 0), ShouldEqual, right)
		for _, each := range []int64{jump, -jump, 5_000_000, -5_000_000} {
			So(at(each, eventloop.Second), ShouldEqual, right)
			So(at(each, 7*eventloop.Second), ShouldEqual, right)
			So(at(0, 8*eventloop.Second), ShouldEqual, right)
		}
		So(at(200_000, 9*eventloop.Second), ShouldEqual, right+200_000)
		So(at(jump, 10*eventloop.Second), ShouldEqual, right+200_000)
		So(at(jump, 29*eventloop.Second), ShouldEqual, right+200_000)
		So(at(jump, 30*eventloop.Second), ShouldEqual, right+jump)
	})
	Convey("A later time than a former leader's is no jump: group time may have stood still", t, func() {
		r := newRig(1, ids...)
		r.run(3 * eventloop.Second)
		g := r.leader()
		walls := map[string]int64{}
		for _, id := range g.others() {
			walls[id] = right - int64(r.now)
		}
		clock(g, walls)
		g.wallOffset = right - g.GroupTime(r.now) - 13*int64(eventloop.Second)
		So(g.WallTime(r.now, right), ShouldEqual, right)
		offset, isKnown := g.WallOffset(r.now, right)
		So(isKnown, ShouldBeTrue)
		So(offset, ShouldEqual, right-g.GroupTime(r.now))
		clock(g, map[string]int64{g.others()[0]: 0, g.others()[1]: 0})
		_, isKnown = g.WallOffset(r.now, right)
		So(isKnown, ShouldBeFalse)
	})
	Convey("Of two, the one that fits what three agreed on, and never an earlier start", t, func() {
		r := newRig(1, ids...)
		r.run(3 * eventloop.Second)
		g := r.leader()
		now := r.now
		others := g.others()
		clock(g, map[string]int64{others[0]: right - int64(now), others[1]: right - int64(now)})
		g.AgreeWall(now, right)
		g.beat(now)
		r.collect(g.self)
		r.run(20 * eventloop.Millisecond)
		// The leader goes; its successor has heard one clock besides its own.
		r.isDown[g.self] = true
		r.run(4 * eventloop.Second)
		next := r.leader()
		So(next.self, ShouldNotEqual, g.self)
		for _, id := range next.others() {
			next.peers[id].wall = 0
		}
		live := others[0]
		if live == next.self {
			live = others[1]
		}
		now, later := r.now, right+int64(4*eventloop.Second)
		for _, each := range []struct{ own, other, want int64 }{
			{later, later + jump, later}, {later + jump, later, later}, {later, later - jump, later}, {later - jump, later, later},
		} {
			next.peers[live].wall = each.other - int64(now)
			So(next.WallTime(now, each.own), ShouldEqual, each.want)
		}
	})
}

func TestActing(t *testing.T) {
	Convey("A leader acts only while a quorum has answered it a moment ago, long before it steps down", t, func() {
		r := newRig(1, ids...)
		r.run(3 * eventloop.Second)
		g := r.leader()
		So(g.Acting(r.now), ShouldBeTrue)
		r.cut = func(from, to string) bool { return from == g.self || to == g.self }
		r.run(UsualTimes.ElectionLeast - UsualTimes.Beat)
		So(g.IsLeader(), ShouldBeTrue)
		So(g.Acting(r.now), ShouldBeFalse)
	})
	Convey("and acts no more when another may lead, however soon that is", t, func() {
		for seed := uint64(1); seed <= 50; seed++ {
			r := newRig(seed, ids...)
			r.run(3 * eventloop.Second)
			g := r.leader()
			r.cut = func(from, to string) bool { return from == g.self || to == g.self }
			for k := 0; k < 200 && g.Acting(r.now); k++ {
				for id, other := range r.groups {
					So(id == g.self || !other.IsLeader(), ShouldBeTrue)
				}
				r.run(10 * eventloop.Millisecond)
			}
			So(g.Acting(r.now), ShouldBeFalse)
		}
	})
	Convey("A beat that lay in a buffer makes no copy fresh", t, func() {
		r := newRig(1, ids...)
		r.run(3 * eventloop.Second)
		g := r.leader()
		other := r.groups[g.others()[0]]
		beat := &schema.Heartbeat{Group: "g", Term: g.term, Commit: g.commit, Round: g.round, CommitConfirmed: true, AckedRound: g.peers[other.self].round}
		before := other.Fresh()
		So(r.now-before, ShouldBeLessThan, eventloop.Second)
		// It is delivered an hour later.
		other.Step(r.now+3600*eventloop.Second, g.self, beat)
		So(other.Fresh()-before, ShouldBeLessThan, eventloop.Second)
	})
}

func TestFoundersStand(t *testing.T) {
	Convey("Who stands when a group is founded leads it within a round trip", t, func() {
		for seed := uint64(1); seed <= 20; seed++ {
			r := newRig(seed, ids...)
			r.groups["b"].Stand(r.now)
			r.run(50 * eventloop.Millisecond)
			So(r.leader(), ShouldEqual, r.groups["b"])
			So(r.propose("x"), ShouldBeTrue)
			r.run(400 * eventloop.Millisecond)
			So(r.applied["a"], ShouldResemble, []string{"x"})
		}
	})
	Convey("also when the others found it later, and the first calls were dropped", t, func() {
		r := newRig(3, ids...)
		others := map[string]*Group{"a": r.groups["a"], "c": r.groups["c"]}
		delete(r.groups, "a")
		delete(r.groups, "c")
		r.groups["b"].Stand(r.now)
		r.run(230 * eventloop.Millisecond)
		So(r.leader(), ShouldBeNil)
		r.groups["c"] = others["c"]
		r.run(callRest + 20*eventloop.Millisecond)
		So(r.leader(), ShouldEqual, r.groups["b"])
		So(r.groups["b"].Term(), ShouldEqual, 1)
	})
	Convey("or votes are lost; at last it goes on as ever", t, func() {
		for seed := uint64(1); seed <= 20; seed++ {
			r := newRig(seed, ids...)
			r.loss = 0.5
			r.groups["b"].Stand(r.now)
			r.run(600 * eventloop.Millisecond)
			r.loss = 0
			r.run(4 * eventloop.Second)
			So(r.leader(), ShouldNotBeNil)
		}
	})
	Convey("Two that stand at once are no worse than any split vote", t, func() {
		r := newRig(5, ids...)
		r.groups["a"].Stand(r.now)
		r.groups["b"].Stand(r.now)
		r.run(4 * eventloop.Second)
		So(r.leader(), ShouldNotBeNil)
		leaders := 0
		for _, g := range r.groups {
			if g.IsLeader() {
				leaders++
			}
		}
		So(leaders, ShouldEqual, 1)
	})
	Convey("Who has lived through a term, leads, or has no vote doesn't stand", t, func() {
		r := newRig(7, ids...)
		r.run(3 * eventloop.Second)
		term := r.leader().Term()
		for _, id := range ids {
			r.groups[id].Stand(r.now)
		}
		r.run(2 * eventloop.Second)
		So(r.leader().Term(), ShouldEqual, term)
		stranger := New("g", "x", &storage.GroupState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{}}, UsualTimes, r.rng, r.now)
		stranger.Stand(r.now)
		effects, _ := stranger.Take()
		So(effects.Changes, ShouldBeEmpty)
	})
	Convey("A founder that its leader reached before it had founded becomes a voter, and stays one", t, func() {
		r := newRig(9, ids...)
		// c was opened empty, by the leader's first word.
		r.images["c"] = &storage.GroupState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{}}
		r.start("c")
		r.groups["a"].Stand(r.now)
		r.run(300 * eventloop.Millisecond)
		So(r.propose("x"), ShouldBeTrue)
		r.run(300 * eventloop.Millisecond)
		So(r.applied["c"], ShouldResemble, []string{"x"})
		r.groups["c"].Found(ids)
		r.collect("c")
		So(r.groups["c"].MemberSet().Voters, ShouldResemble, ids)
		r.start("c")
		So(r.propose("y"), ShouldBeTrue)
		r.run(300 * eventloop.Millisecond)
		So(r.groups["c"].MemberSet().Voters, ShouldResemble, ids)
		So(r.applied["c"], ShouldResemble, []string{"x", "y"})
		r.groups["a"].Pass(r.now, "c")
		r.run(100 * eventloop.Millisecond)
		So(r.leader(), ShouldEqual, r.groups["c"])
	})
}
