package gateway

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

// desk drives a gateway by hand.
type desk struct {
	t       *Table
	now     eventloop.Micros
	sent    []sending
	answers map[uint64]Answer
	request uint64
}

type sending struct {
	to   string
	body any
}

func (d *desk) Send(to string, body any) { d.sent = append(d.sent, sending{to, body}) }
func (d *desk) Dial(string, any)         {}
func (d *desk) Notify(string, any)       {}
func (d *desk) Respond(request uint64, body any) {
	if answer, isAnswer := body.(Answer); isAnswer {
		d.answers[request] = answer
	}
}
func (d *desk) step(body any) { d.from("", body) }

// from delivers a message; word of the cluster state answers a question asked just now.
func (d *desk) from(sender string, body any) {
	if tell, isTell := body.(*schema.ClusterStateResponse); isTell && tell.Leaders != nil && tell.Sequence == 0 {
		tell.Sequence = d.t.lease.question(d.now)
	}
	d.t.Step(d.now, eventloop.Message{From: sender, Body: body}, d)
}

// confirm has the cluster state's leader answer the question after queues that is out;
// a nil state: ours is the newest.
func (d *desk) confirm(state *schema.ClusterState) {
	tell := &schema.ClusterStateResponse{Version: max(d.t.state.Version, state.GetVersion()), State: state, Leaders: map[string]string{}}
	for _, place := range state.GetQueues() {
		tell.Leaders[place.Queue] = "a"
	}
	body, err := proto.Marshal(tell)
	So(err, ShouldBeNil)
	d.from("a", &schema.Response{Id: d.t.confirmation.number, Code: 200, Group: clusterstate.Group, Leader: "a", Body: body})
}

func newDesk(rows ...*schema.ConfigurationRow) *desk {
	d := youngDesk()
	rows = append(rows, &schema.ConfigurationRow{Kind: "queue", Name: "l", Key: "urgency", Value: "1"})
	d.step(&schema.ClusterStateResponse{
		Version: 1, Leaders: map[string]string{"l": "a", clusterstate.Group: "a"},
		State: &schema.ClusterState{Version: 1, Configuration: &schema.Configuration{Revision: 1, Rows: rows}, Queues: []*schema.QueuePlacement{{Queue: "l", Generation: 1}}},
	})
	return d
}

func youngDesk() *desk {
	return &desk{t: New("me", 1, false, rand.New(rand.NewPCG(1, 1))), now: 100 * eventloop.Second, answers: map[uint64]Answer{}}
}

// stores are heard of now.
func (d *desk) stores(ids ...string) {
	known := map[string]membership.MemberStatus{}
	for _, id := range ids {
		known[id] = membership.MemberStatus{Member: &schema.Member{Id: id, HasStorage: true}, LastHeard: d.now}
	}
	d.step(&membership.View{Members: known})
}

func (d *desk) handIn(client, name string) uint64 {
	d.request++
	job := &schema.Job{Text: name, Steps: []*schema.Step{{Name: "s", Tasks: 1, CoresMilli: 1}}}
	d.step(HandIn{Request: d.request, Queue: "l", Client: client, Name: name, Digest: Digest(job), Job: job})
	return d.request
}

func (d *desk) lastSubmit() (string, *schema.SubmitRequest) {
	for k := len(d.sent) - 1; k >= 0; k-- {
		if submit, isSubmit := d.sent[k].body.(*schema.SubmitRequest); isSubmit {
			return d.sent[k].to, submit
		}
	}
	return "", nil
}

func (d *desk) applied(leader string, numbers ...uint64) {
	_, submit := d.lastSubmit()
	m := &schema.SubmitResponse{Queue: "l", Leader: leader}
	for _, number := range numbers {
		m.Results = append(m.Results, &schema.SubmitResult{Session: submit.Enqueues[0].Session, Number: number, Code: 201, View: &schema.JobView{Name: "x"}})
	}
	d.step(m)
}

func TestNumbersAndGaps(t *testing.T) {
	Convey("Submissions are numbered, and a returned number above the lowest brings the gap again", t, func() {
		d := newDesk()
		first, second, third := d.handIn("c", "one"), d.handIn("c", "two"), d.handIn("c", "three")
		to, submit := d.lastSubmit()
		So(to, ShouldEqual, "a")
		So(submit.Enqueues[0].Number, ShouldEqual, 3)
		So(submit.Enqueues[0].LowestUnconfirmed, ShouldEqual, 1)
		So(len(d.answers), ShouldEqual, 0) // nothing is confirmed before it was applied
		count := len(d.sent)
		d.applied("a", 3)
		So(d.answers[third].Code, ShouldEqual, 201)
		So(len(d.sent), ShouldEqual, count+1)
		_, again := d.lastSubmit()
		So(len(again.Enqueues), ShouldEqual, 2)
		So(again.Enqueues[0].Number, ShouldEqual, 1)
		d.applied("a", 1, 2)
		So(d.answers[first].Code, ShouldEqual, 201)
		So(d.answers[second].Code, ShouldEqual, 201)
		// An outcome that comes twice is nobody's any more.
		count = len(d.sent)
		d.applied("a", 1)
		So(len(d.sent), ShouldEqual, count)
	})
	Convey("The new leader gets everything that isn't confirmed, also what nobody waits for any more", t, func() {
		d := newDesk()
		request := d.handIn("c", "one")
		d.step(Forget{Request: request})
		d.step(&schema.SubmitResponse{Queue: "l", Leader: "b"})
		to, submit := d.lastSubmit()
		So(to, ShouldEqual, "b")
		So(submit.Enqueues[0].Name, ShouldEqual, "one")
		Convey("but two that name each other aren't fed in a circle", func() {
			count := len(d.sent)
			for k := 0; k < 100; k++ {
				d.step(&schema.SubmitResponse{Queue: "l", Leader: "a"})
				d.step(&schema.SubmitResponse{Queue: "l", Leader: "b"})
			}
			So(len(d.sent), ShouldBeLessThan, count+3)
			d.now += 60 * eventloop.Millisecond
			d.step(eventloop.Tick{})
			_, submit := d.lastSubmit()
			So(submit.Enqueues[0].Name, ShouldEqual, "one")
		})
	})
	Convey("A front that had been given up calls what it held unknown, and starts afresh", t, func() {
		d := newDesk()
		first, second := d.handIn("c", "one"), d.handIn("c", "two")
		_, submit := d.lastSubmit()
		d.step(&schema.SubmitResponse{Queue: "l", Leader: "a", Results: []*schema.SubmitResult{{Session: submit.Enqueues[0].Session, Number: 1, Code: 410}}})
		So(d.answers[first].Code, ShouldEqual, 504)
		So(d.answers[second].Code, ShouldEqual, 504)
		d.handIn("c", "three")
		_, fresh := d.lastSubmit()
		So(fresh.Enqueues[0].Number, ShouldEqual, 1)
		So(fresh.Enqueues[0].Session.Incarnation, ShouldNotEqual, submit.Enqueues[0].Session.Incarnation)
	})
	Convey("So does one that was frozen for long", t, func() {
		d := newDesk()
		d.step(eventloop.Tick{})
		request := d.handIn("c", "one")
		d.now += frozenSpan + eventloop.Second
		d.step(eventloop.Tick{})
		So(d.answers[request].Code, ShouldEqual, 504)
	})
}

func TestTurningAway(t *testing.T) {
	code := func(d *desk, request uint64) (int32, string) {
		fault := &schema.Error{}
		So(json.Unmarshal(d.answers[request].Body, fault), ShouldBeNil)
		return d.answers[request].Code, fault.Code
	}
	Convey("Overload is said at once, with when to come back, and before anything has a number", t, func() {
		d := newDesk(&schema.ConfigurationRow{Kind: "fleet", Key: "window", Value: "2"})
		d.handIn("c", "one")
		d.handIn("c", "two")
		count := len(d.sent)
		third := d.handIn("c", "three")
		status, name := code(d, third)
		So(status, ShouldEqual, 429)
		So(name, ShouldEqual, "window_full")
		So(d.answers[third].Retry, ShouldBeGreaterThan, 0)
		So(len(d.sent), ShouldEqual, count)
		Convey("another client isn't held up by it", func() {
			request := d.handIn("d", "four")
			_, isAnswered := d.answers[request]
			So(isAnswered, ShouldBeFalse)
		})
		Convey("and the window opens again", func() {
			d.applied("a", 1)
			So(len(d.answers), ShouldEqual, 2)
			d.handIn("c", "three")
			_, submit := d.lastSubmit()
			So(submit.Enqueues[0].Number, ShouldEqual, 3)
		})
	})
	Convey("A queue that is full by its leader's word takes no more", t, func() {
		d := newDesk(&schema.ConfigurationRow{Kind: "fleet", Key: "live_jobs", Value: "5"})
		d.step(&schema.ClusterStateResponse{Version: 1, Leaders: map[string]string{}, QueueStatuses: []*schema.QueueStatus{{Queue: "l", LiveJobs: 5}}})
		status, name := code(d, d.handIn("c", "one"))
		So(status, ShouldEqual, 429)
		So(name, ShouldEqual, "queue_full")
	})
	Convey("A front without a fresh cluster state isn't ready, and says so rather than that a queue is unknown", t, func() {
		d := newDesk()
		d.step(Ready{Request: 900})
		So(d.answers[900].Code, ShouldEqual, 200)
		d.now += usualApplyBound + eventloop.Second
		d.step(Ready{Request: 901})
		So(d.answers[901].Code, ShouldEqual, 503)
		d.step(HandIn{Request: 902, Queue: "new", Client: "c", Name: "x", Job: &schema.Job{}})
		So(d.answers[902].Code, ShouldEqual, 503)
		Convey("nor is one that was warned", func() {
			d := newDesk()
			d.step(Warned{})
			d.step(Ready{Request: 903})
			So(d.answers[903].Code, ShouldEqual, 503)
		})
	})
}

func TestQueuesThisFrontDoesNotKnow(t *testing.T) {
	Convey("A queue that our copy lacks is asked for, and the answer decides", t, func() {
		d := newDesk()
		version := uint64(1)
		state := func(queues ...string) *schema.ClusterState {
			version++
			state := &schema.ClusterState{Version: version, Configuration: &schema.Configuration{Revision: version}}
			for _, queue := range queues {
				state.Configuration.Rows = append(state.Configuration.Rows, &schema.ConfigurationRow{Kind: "queue", Name: queue, Key: "urgency", Value: "1"})
				state.Queues = append(state.Queues, &schema.QueuePlacement{Queue: queue, Generation: 2})
			}
			return state
		}
		d.step(Ask{Request: 5, Kind: "status", Group: "new", Name: "j"})
		So(d.sent[len(d.sent)-1].body.(*schema.Request).Kind, ShouldEqual, "state")
		_, isAnswered := d.answers[5]
		So(isAnswered, ShouldBeFalse)
		Convey("there now: it goes on", func() {
			d.confirm(state("l", "new"))
			_, isAnswered := d.answers[5]
			So(isAnswered, ShouldBeFalse)
			So(d.sent[len(d.sent)-1].body.(*schema.Request).Group, ShouldEqual, "new")
		})
		Convey("not there: told at once, but only by the leader's answer to this very question", func() {
			for _, from := range []string{"b", "a"} {
				d.from(from, &schema.ClusterStateResponse{State: state("l"), Version: version, Leaders: map[string]string{"clusterstate": "a"}})
				d.from(from, &schema.Response{Id: d.t.confirmation.number, Group: clusterstate.Group, Leader: from})
			}
			So(d.answers, ShouldNotContainKey, uint64(5))
			d.confirm(state("l"))
			So(d.answers[5].Code, ShouldEqual, 404)
		})
		Convey("no answer: nobody knows, whatever our copy says", func() {
			d.now += confirmationSpan + eventloop.Millisecond
			d.step(eventloop.Tick{})
			So(d.answers[5].Code, ShouldEqual, 503)
			So(d.answers[5].Retry, ShouldEqual, 1)
		})
		Convey("who comes while a question is out waits for the next: the plan may have changed since it was answered", func() {
			d.step(HandIn{Request: 6, Queue: "new", Client: "c", Name: "j", Job: &schema.Job{}})
			d.confirm(state("l"))
			So(d.answers[5].Code, ShouldEqual, 404)
			So(d.answers, ShouldNotContainKey, uint64(6))
			d.confirm(state("l", "new"))
			So(d.answers, ShouldNotContainKey, uint64(6))
			_, submit := d.lastSubmit()
			So(submit.Queue, ShouldEqual, "new")
		})
		Convey("where too many wait already, nobody knows either", func() {
			for id := uint64(100); id < 100+maxParked; id++ {
				d.step(Ask{Request: id, Kind: "status", Group: "new", Name: "j"})
			}
			So(d.answers[100+maxParked-1].Code, ShouldEqual, 503)
			So(d.answers, ShouldHaveLength, 1)
		})
	})
}

func TestWhenToComeBack(t *testing.T) {
	window := &schema.ConfigurationRow{Kind: "fleet", Key: "window", Value: "8"}
	Convey("Who is turned away is told when there should be room, each the next turn at the queue's pace", t, func() {
		d := newDesk(window)
		// Four are confirmed a second.
		for k := 0; k < 12; k++ {
			d.handIn("c", "n")
			_, submit := d.lastSubmit()
			d.applied("a", submit.Enqueues[0].Number)
			d.now += 250 * eventloop.Millisecond
			d.step(eventloop.Tick{})
			d.step(&schema.ClusterStateResponse{Version: 1, Leaders: map[string]string{"l": "a"}})
		}
		for k := 0; k < 8; k++ {
			d.handIn("c", "held")
		}
		var told []int
		for k := 0; k < 12; k++ {
			answer := d.answers[d.handIn("c", "more")]
			So(answer.Code, ShouldEqual, 429)
			told = append(told, answer.Retry)
		}
		So(told[0], ShouldEqual, 1)
		So(told[11], ShouldBeBetweenOrEqual, 3, 4)
		// Turns that have passed are given anew.
		d.now += 4 * eventloop.Second
		d.step(&schema.ClusterStateResponse{Version: 1, Leaders: map[string]string{"l": "a"}})
		So(d.answers[d.handIn("c", "more")].Retry, ShouldEqual, 1)
	})
	Convey("Where nothing gets done the time grows, within bounds", t, func() {
		d := newDesk(window)
		for k := 0; k < 8; k++ {
			d.handIn("c", "held")
		}
		So(d.answers[d.handIn("c", "more")].Retry, ShouldEqual, 5)
		for k := 0; k < 20; k++ {
			d.handIn("c", "more")
		}
		So(d.answers[d.handIn("c", "more")].Retry, ShouldEqual, longestRetry)
	})
	Convey("A full queue's time is by the jobs it ends", t, func() {
		d := newDesk(&schema.ConfigurationRow{Kind: "fleet", Key: "live_jobs", Value: "100"})
		for k := uint64(0); k < 8; k++ {
			d.step(&schema.ClusterStateResponse{Version: 1, Leaders: map[string]string{"l": "a"}, QueueStatuses: []*schema.QueueStatus{{Queue: "l", LiveJobs: 100, EndedJobs: 2 * k}}})
			d.now += eventloop.Second
		}
		told := 0
		for k := 0; k < 10; k++ {
			answer := d.answers[d.handIn("c", "n")]
			So(answer.Code, ShouldEqual, 429)
			told = answer.Retry
		}
		So(told, ShouldBeBetweenOrEqual, 5, 6)
	})
	Convey("A front whose lease on the cluster state is over takes nothing, so that callers go to another; what it has it keeps a little", t, func() {
		d := newDesk()
		d.step(eventloop.Tick{})
		id := d.handIn("c", "one")
		d.now += d.t.lease.duration() + eventloop.Millisecond
		d.step(eventloop.Tick{})
		d.step(Ready{Request: 900})
		So(d.answers[900].Code, ShouldEqual, 503)
		So(d.answers[d.handIn("c", "two")].Code, ShouldEqual, 503)
		d.step(Ask{Request: 901, Kind: "status", Group: "l", Name: "one", Deadline: d.now + 60*eventloop.Second})
		So(d.answers[901].Code, ShouldEqual, 503)
		_, isAnswered := d.answers[id]
		So(isAnswered, ShouldBeFalse)
		for id, kind := range map[uint64]string{902: "plan", 904: "clusterstate"} {
			d.step(Ask{Request: id, Kind: kind, Group: clusterstate.Group, Deadline: d.now + 60*eventloop.Second})
			So(d.answers[id].Code, ShouldEqual, 503)
			So(d.answers[id].Retry, ShouldBeGreaterThan, 0)
		}
		Convey("and with a word it is ready again", func() {
			d.step(&schema.ClusterStateResponse{Version: d.t.state.Version, Leaders: map[string]string{"l": "a"}})
			d.step(Ready{Request: 903})
			So(d.answers[903].Code, ShouldEqual, 200)
		})
	})
	Convey("A front whose own replica has no word asks other stores", t, func() {
		d := newDesk()
		d.t.isLocal = true
		known := map[string]membership.MemberStatus{}
		for _, id := range []string{"me", "a", "b"} {
			known[id] = membership.MemberStatus{Member: &schema.Member{Id: id, HasStorage: true}, LastHeard: d.now}
		}
		d.step(&membership.View{Members: known})
		d.step(&schema.ClusterStateResponse{Version: d.t.state.Version, Leaders: map[string]string{"l": "a"}})
		asked := func() map[string]bool {
			to := map[string]bool{}
			for _, each := range d.sent {
				if _, isAsk := each.body.(*schema.ClusterStateRequest); isAsk {
					to[each.to] = true
				}
			}
			return to
		}
		d.sent = nil
		d.now += askSpan
		d.step(eventloop.Tick{})
		So(asked(), ShouldResemble, map[string]bool{"me": true})
		d.sent = nil
		for k := 0; k < 20; k++ {
			d.now += Pace
			d.step(eventloop.Tick{})
		}
		So(asked()["a"] || asked()["b"], ShouldBeTrue)
	})
	Convey("A front that has lost touch answers at once what it holds and what comes, with when to come back", t, func() {
		d := newDesk()
		d.step(eventloop.Tick{})
		id := d.handIn("c", "one")
		d.step(Ask{Request: 900, Kind: "status", Group: "l", Name: "one", Deadline: d.now + 60*eventloop.Second})
		d.step(Ask{Request: 901, Kind: "cancel", Group: "l", Name: "one", Deadline: d.now + 60*eventloop.Second})
		d.now += usualApplyBound + eventloop.Millisecond
		d.step(eventloop.Tick{})
		// Numbered, so whether it takes effect isn't known; and it goes on being sent.
		So(d.answers[id].Code, ShouldEqual, 504)
		So(d.answers[900].Code, ShouldEqual, 503)
		So(d.answers[901].Code, ShouldEqual, 504)
		So(d.t.sessions[queueClient{"l", "c"}].waiting, ShouldHaveLength, 1)
		late := d.answers[d.handIn("c", "two")]
		So(late.Code, ShouldEqual, 503)
		d.now += 12 * eventloop.Second
		So(d.answers[d.handIn("c", "two")].Retry, ShouldBeGreaterThan, late.Retry)
	})
}

func TestEntries(t *testing.T) {
	rows := func(rows ...*schema.ConfigurationRow) []*schema.ConfigurationRow {
		return append(rows,
			&schema.ConfigurationRow{Kind: "queue", Name: "l", Key: "host", Value: "one.example"},
			&schema.ConfigurationRow{Kind: "queue", Name: "l", Key: "prefix", Value: "/p/"},
		)
	}
	job := func() *schema.Job {
		return &schema.Job{Text: "t", Steps: []*schema.Step{{Name: "s", Tasks: 1, CoresMilli: 1}, {Name: "u", Tasks: 1, CoresMilli: 1, AllowedFailures: 9}}}
	}
	Convey("Host and path lead to a queue, and the rest of the path is the name", t, func() {
		d := newDesk(rows()...)
		given := job()
		d.step(HandIn{Request: 1, Host: "ONE.example:80", Path: "/p/j1", Client: "c", Digest: Digest(given), Job: given})
		_, submit := d.lastSubmit()
		So(submit.Queue, ShouldEqual, "l")
		So(submit.Enqueues[0].Name, ShouldEqual, "j1")
		So(proto.Equal(submit.Enqueues[0].Job, given), ShouldBeTrue)
		for kind, path := range map[string]string{"status": "/p/j1", "cancel": "/p/j1", "counts": "/p/"} {
			d.request = 100
			d.step(Ask{Request: d.request, Kind: kind, Host: "one.example", Path: path})
			sent := d.sent[len(d.sent)-1].body.(*schema.Request)
			So([]string{sent.Kind, sent.Group, "/p/" + sent.Name}, ShouldResemble, []string{kind, "l", path})
		}
		d.step(HandIn{Request: 2, Host: "one.example", Path: "/p/", Client: "c", Job: given})
		So(d.answers[2].Code, ShouldEqual, 422)
	})
	Convey("An entry that our copy lacks is asked for, and looked up anew", t, func() {
		d := newDesk()
		fresh := func(rows []*schema.ConfigurationRow) {
			d.confirm(&schema.ClusterState{Version: 2, Configuration: &schema.Configuration{Revision: 2, Rows: rows}, Queues: []*schema.QueuePlacement{{Queue: "l", Generation: 1}}})
			for d.t.confirmation.number != 0 {
				d.confirm(nil)
			}
		}
		d.step(HandIn{Request: 1, Host: "one.example", Path: "/p/j1", Client: "c", Job: job()})
		d.step(Ask{Request: 2, Kind: "status", Host: "one.example", Path: "/p/j1"})
		So(d.answers, ShouldBeEmpty)
		Convey("there now: it goes on", func() {
			fresh(rows())
			So(d.answers, ShouldBeEmpty)
			_, submit := d.lastSubmit()
			So(submit.Enqueues[0].Name, ShouldEqual, "j1")
			So(d.sent[len(d.sent)-1].body.(*schema.Request).Name, ShouldEqual, "j1")
		})
		Convey("not there: 404", func() {
			fresh([]*schema.ConfigurationRow{{Kind: "queue", Name: "l", Key: "urgency", Value: "1"}})
			So(d.answers[1].Code, ShouldEqual, 404)
			So(d.answers[2].Code, ShouldEqual, 404)
			So(string(d.answers[1].Body), ShouldContainSubstring, "unknown_queue")
		})
		Convey("a queue that has been dropped takes nothing more, once the leader has said so", func() {
			fresh([]*schema.ConfigurationRow{})
			So(d.answers[1].Code, ShouldEqual, 404)
			d.step(HandIn{Request: 3, Queue: "l", Client: "c", Name: "j", Job: job()})
			So(d.answers, ShouldNotContainKey, uint64(3))
			d.confirm(nil)
			So(d.answers[3].Code, ShouldEqual, 404)
		})
	})
	Convey("Before the first plan, and without fresh word, nothing is called unknown", t, func() {
		d := youngDesk()
		d.step(HandIn{Request: 1, Host: "one.example", Path: "/p/j1", Client: "c", Job: job()})
		d.step(Ask{Request: 2, Kind: "status", Host: "one.example", Path: "/p/j1"})
		So([]int32{d.answers[1].Code, d.answers[2].Code}, ShouldResemble, []int32{503, 503})
		tell := &schema.ClusterStateResponse{Version: 1, State: &schema.ClusterState{Version: 1, Configuration: &schema.Configuration{}}, Leaders: map[string]string{"clusterstate": "a"}}
		d.from("a", tell)
		d.step(HandIn{Request: 3, Host: "one.example", Path: "/p/j1", Client: "c", Job: job()})
		d.confirm(nil)
		So(d.answers[3].Code, ShouldEqual, 503)
		So(d.answers[3].Retry, ShouldEqual, 1)
	})
	Convey("The queue's attempts hold where a step states nothing, and the digest stays the caller's", t, func() {
		d := newDesk(rows(&schema.ConfigurationRow{Kind: "queue", Name: "l", Key: "attempts", Value: "4"})...)
		given := job()
		digest := Digest(given)
		d.step(HandIn{Request: 1, Host: "one.example", Path: "/p/j1", Client: "c", Digest: digest, Job: given})
		_, submit := d.lastSubmit()
		e := submit.Enqueues[0]
		So([]uint32{e.Job.Steps[0].AllowedFailures, e.Job.Steps[1].AllowedFailures}, ShouldResemble, []uint32{3, 9})
		So(e.Digest, ShouldResemble, digest)
		So(given.Steps[0].AllowedFailures, ShouldEqual, 0)
	})
	Convey("What a pool's workers can hold the plan doesn't say", t, func() {
		large := job()
		large.Steps[0].CoresMilli = 1_000_000
		d := newDesk(rows()...)
		d.step(HandIn{Request: 1, Queue: "l", Name: "j", Client: "c", Job: large})
		So(d.answers[1].Code, ShouldEqual, 422)
		d = newDesk(rows(&schema.ConfigurationRow{Kind: "queue", Name: "l", Key: "pool", Value: "p"}, &schema.ConfigurationRow{Kind: "pool", Name: "p", Key: "guards", Value: "1"})...)
		d.step(HandIn{Request: 1, Queue: "l", Name: "j", Client: "c", Job: large})
		So(d.answers, ShouldBeEmpty)
	})
}

func TestQueuesThatNobodyLeads(t *testing.T) {
	Convey("While nobody is known to lead a queue, hand-ins are turned away before they have a number", t, func() {
		d := newDesk()
		first := d.handIn("c", "one")
		// It leads no more and knows nobody.
		d.step(&schema.SubmitResponse{Queue: "l"})
		second := d.handIn("c", "two")
		d.now += ledSpan + eventloop.Millisecond
		third := d.handIn("c", "three")
		So(d.answers[third].Code, ShouldEqual, 503)
		So(d.answers[third].Retry, ShouldEqual, 1)
		So(string(d.answers[third].Body), ShouldContainSubstring, "not_ready")
		// What has a number may never be turned away.
		So(d.answers, ShouldNotContainKey, first)
		So(d.answers, ShouldNotContainKey, second)
		So(d.t.sessions[queueClient{"l", "c"}].waiting, ShouldHaveLength, 2)
		Convey("and taken again as soon as somebody is", func() {
			d.step(&schema.ClusterStateResponse{Version: 1, Leaders: map[string]string{"l": "b"}})
			fourth := d.handIn("c", "four")
			So(d.answers, ShouldNotContainKey, fourth)
			to, submit := d.lastSubmit()
			So(to, ShouldEqual, "b")
			So(submit.Enqueues[0].Number, ShouldEqual, 3)
		})
	})
	Convey("The cluster state is looked at more often then, and what was asked goes to whoever leads now", t, func() {
		d := newDesk()
		known := func(id string) membership.MemberStatus {
			return membership.MemberStatus{Member: &schema.Member{Id: id, HasStorage: true}, LastHeard: d.now}
		}
		d.step(&membership.View{Members: map[string]membership.MemberStatus{"b": known("b")}})
		d.step(Ask{Request: 1, Kind: "status", Group: "l", Name: "j", Deadline: d.now + 9*eventloop.Second})
		requests, looks := 0, 0
		pass := func() {
			before := len(d.sent)
			d.now += Pace
			d.step(&membership.View{Members: map[string]membership.MemberStatus{"b": known("b")}})
			d.step(eventloop.Tick{})
			requests, looks = 0, 0
			for _, each := range d.sent[before:] {
				switch each.body.(type) {
				case *schema.Request:
					requests++
					So(each.to, ShouldEqual, "b")
				case *schema.ClusterStateRequest:
					looks++
				}
			}
		}
		pass()
		// It leads no more and knows nobody.
		d.step(&schema.Response{Id: 1, Group: "l"})
		pass()
		So(looks, ShouldEqual, 1)
		pass()
		So([]int{looks, requests}, ShouldResemble, []int{1, 0})
		d.step(&schema.ClusterStateResponse{Version: 1, Leaders: map[string]string{"l": "b"}})
		pass()
		So([]int{looks, requests}, ShouldResemble, []int{0, 1})
	})
	Convey("A hand-in that a store turned away before it came to lead is sent there again at once", t, func() {
		d := newDesk()
		d.handIn("c", "one")
		d.now += 5 * eventloop.Millisecond
		d.t.Step(d.now, eventloop.Message{From: "a", Body: &schema.SubmitResponse{Queue: "l"}}, d)
		d.now += 100 * eventloop.Millisecond
		d.step(&schema.ClusterStateResponse{Version: 1, Leaders: map[string]string{"l": "a"}})
		before := len(d.sent)
		for k := 0; k < 3; k++ {
			d.now += Pace
			d.step(eventloop.Tick{})
		}
		count := 0
		for _, each := range d.sent[before:] {
			if submit, isSubmit := each.body.(*schema.SubmitRequest); isSubmit {
				So([]string{each.to, submit.Enqueues[0].Name}, ShouldResemble, []string{"a", "one"})
				count++
			}
		}
		So(count, ShouldEqual, 1)
	})
	Convey("A new queue has that long to find a leader, and one that was dropped is forgotten", t, func() {
		d := newDesk()
		queues := func(version uint64, queues ...string) {
			state := &schema.ClusterState{Version: version, Configuration: &schema.Configuration{Revision: version}}
			for _, queue := range queues {
				state.Configuration.Rows = append(state.Configuration.Rows, &schema.ConfigurationRow{Kind: "queue", Name: queue, Key: "urgency", Value: "1"})
				state.Queues = append(state.Queues, &schema.QueuePlacement{Queue: queue, Generation: version})
			}
			d.step(&schema.ClusterStateResponse{Version: version, State: state, Leaders: map[string]string{"clusterstate": "a"}})
		}
		queues(2, "l", "new")
		job := &schema.Job{Steps: []*schema.Step{{Name: "s", Tasks: 1, CoresMilli: 1}}}
		d.step(HandIn{Request: 1, Queue: "new", Client: "c", Name: "j", Job: job})
		d.now += ledSpan + eventloop.Millisecond
		d.step(HandIn{Request: 2, Queue: "new", Client: "c", Name: "j", Job: job})
		So(d.answers, ShouldNotContainKey, uint64(1))
		So(d.answers[2].Code, ShouldEqual, 503)
		queues(3, "l")
		So(d.t.unled, ShouldBeEmpty)
	})
}

func TestJobLimits(t *testing.T) {
	Convey("A job is checked whatever the plan says, and the field is named", t, func() {
		step := func() *schema.Step { return &schema.Step{Name: "s", Tasks: 20, CoresMilli: 1} }
		long := make([]*schema.Step, MaxSteps+1)
		for k := range long {
			long[k] = &schema.Step{Name: strconv.Itoa(k), Tasks: 1, CoresMilli: 1}
		}
		good := step()
		good.Labels, good.DataRack, good.MaxPerWorker, good.Accelerators, good.EstimatedRunUs, good.RunUntilCancelled = []string{"a", "r1-3"}, "r1-3", 2, 1, 900_000, true
		So(Check(&schema.Job{Rounds: MaxRounds, PeriodUs: 1, Steps: []*schema.Step{good}}), ShouldBeNil)
		So(Check(&schema.Job{Steps: long[:MaxSteps]}), ShouldBeNil)
		for field, job := range map[string]*schema.Job{
			"steps":          {Steps: long},
			"rounds":         {Rounds: MaxRounds + 1, Steps: []*schema.Step{step()}},
			"every_us":       {PeriodUs: -1, Steps: []*schema.Step{step()}},
			"steps[0].tasks": {Rounds: MaxRounds, Steps: []*schema.Step{{Name: "s", Tasks: 21, CoresMilli: 1}}},
		} {
			So(Check(job).Field, ShouldEqual, field)
		}
		for field, change := range map[string]func(s *schema.Step){
			"accelerators": func(s *schema.Step) { s.Accelerators = -1 },
			"labels":       func(s *schema.Step) { s.Labels = make([]string, maxLabels+1) },
			"labels[1]":    func(s *schema.Step) { s.Labels = []string{"a", ""} },
			"data_rack":    func(s *schema.Step) { s.DataRack = "a b" },
			"per_worker":   func(s *schema.Step) { s.MaxPerWorker = maxCores + 1 },
			"estimate_us":  func(s *schema.Step) { s.EstimatedRunUs = -1 },
		} {
			bad := step()
			change(bad)
			So(Check(&schema.Job{Steps: []*schema.Step{bad}}).Field, ShouldEqual, "steps[0]."+field)
		}
	})
}
