package main

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
)

// TestSoak makes one short run of real processes; a longer one is started by hand.
func TestSoak(t *testing.T) {
	bin := buildPrograms(t)
	Convey("A fleet under overlapping series of signals, restarts and changes breaks no rule", t, func() {
		c := &soakCommand{processes: 12, span: 8 * time.Second, bin: bin, folder: t.TempDir(), net: freeNetwork(t)}
		So(c.runSeed(context.Background(), 2, relaxedBounds), ShouldBeTrue)
	})
}

func TestSoakPlanFollowsFromItsSeed(t *testing.T) {
	Convey("The same seed draws the same plan, with at most so many processes", t, func() {
		isLarge := false
		for seed := range uint64(100) {
			plan := drawSoakPlan(seed, 10*time.Second, 60, true)
			So(plan, ShouldResemble, drawSoakPlan(seed, 10*time.Second, 60, true))
			So(plan.nodeCount(), ShouldBeLessThanOrEqualTo, 60)
			So(plan.deployment.Gateways, ShouldBeGreaterThanOrEqualTo, storageNodeCount)
			isLarge = isLarge || plan.nodeCount() == 60
		}
		So(isLarge, ShouldBeTrue)
	})
	Convey("Every process that a series ends or freezes, it also starts or resumes", t, func() {
		for seed := range uint64(100) {
			for _, series := range drawSoakPlan(seed, 10*time.Second, 60, true).series {
				last := map[int]soakAction{}
				for _, step := range series.steps {
					last[step.node] = step.action
				}
				for _, action := range last {
					So(action, ShouldBeIn, actionStart, actionThaw, actionFlushLog)
				}
			}
		}
	})
}

// newTestJudge knows two configurations: the first holds the key "old" of the tenant a and
// limits it to 2 cores, the second, accepted at 10 s, holds "new" and a limit of 4.
func newTestJudge() *soakJudge {
	book := &keyBook{}
	for k, c := range []*keyedConfiguration{
		{tenantOfKey: map[string]string{"old": "a"}, maxCores: map[string]int64{"a": 2000}},
		{tenantOfKey: map[string]string{"new": "a"}, maxCores: map[string]int64{"a": 4000}},
	} {
		c.requiresKeys, c.publicQueue = true, "open"
		c.sentAt = eventloop.Micros(k) * 9 * eventloop.Second
		book.begin(c)
		book.accept(eventloop.Micros(k)*10*eventloop.Second, nil)
	}
	book.configurations[0].acceptedAt = 1
	return &soakJudge{book: book, propagation: 2 * eventloop.Second}
}

func TestSoakJudgeOfKeys(t *testing.T) {
	Convey("A call is served with a key that may be in force, and refused only without one", t, func() {
		judge := newTestJudge()
		for _, test := range []struct {
			seconds  eventloop.Micros
			key      string
			queue    string
			code     int32
			isBroken bool
		}{
			{5, "old", "q", 201, false},
			{5, "old", "q", 401, true},
			{5, "new", "q", 401, false},
			{5, "new", "q", 201, true},
			{5, "", "q", 201, true},
			{5, "", "open", 201, false},
			{5, "nobody's", "open", 200, true},
			{5, "nobody's", "q", 404, false},
			{11, "old", "q", 201, false},
			{11, "old", "q", 401, false},
			{11, "new", "q", 401, false},
			{13, "old", "q", 201, true},
			{13, "new", "q", 403, true},
			{13, "new", "q", 200, false},
		} {
			at := test.seconds * eventloop.Second
			call := keyedCall{sentAt: at, answeredAt: at, queue: test.queue, tenant: "a", key: test.key, code: test.code}
			So(judge.checkCall(call) != "", ShouldEqual, test.isBroken)
		}
	})
}

func TestSoakJudgeOfQuotas(t *testing.T) {
	start := func(seconds eventloop.Micros, task uint32, worker string, cores int64) checker.Event {
		return checker.Event{At: seconds * eventloop.Second, Kind: checker.TaskStart, Actor: worker, Queue: "q", Name: "s1.a-quote-c1-0", Job: 1, Task: task, Cores: cores}
	}
	Convey("A start above the tenant's limit and one task more is reported", t, func() {
		judge := newTestJudge()
		So(judge.checkQuotas([]checker.Event{start(1, 0, "w", 2000), start(1, 1, "w", 2000)}), ShouldBeEmpty)
		So(judge.checkQuotas([]checker.Event{start(1, 0, "w", 2000), start(1, 1, "w", 2000), start(1, 2, "w", 1)}), ShouldHaveLength, 1)
		So(judge.checkQuotas([]checker.Event{start(11, 0, "w", 2000), start(11, 1, "w", 2000), start(11, 2, "w", 1)}), ShouldBeEmpty)
	})
	Convey("Runs that ended, and those of a worker that is gone, don't count", t, func() {
		judge := newTestJudge()
		end := start(2, 0, "w", 0)
		end.Kind = checker.TaskEnd
		gone := checker.Event{At: 2 * eventloop.Second, Kind: checker.WorkerGone, Actor: "v"}
		before := []checker.Event{start(1, 0, "w", 2000), start(1, 1, "v", 2000)}
		So(judge.checkQuotas(append(before, end, start(3, 2, "w", 1000))), ShouldBeEmpty)
		So(judge.checkQuotas(append(before, gone, start(3, 2, "w", 1000), start(3, 3, "w", 1000))), ShouldHaveLength, 1)
	})
}
