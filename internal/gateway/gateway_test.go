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

// harness drives a gateway by hand.
type harness struct {
	gateway       *Gateway
	now           eventloop.Micros
	sent          []sentMessage
	responses     map[uint64]Response
	lastRequestID uint64
}

type sentMessage struct {
	to   string
	body any
}

func (h *harness) Send(to string, body any) { h.sent = append(h.sent, sentMessage{to, body}) }
func (h *harness) Dial(string, any)         {}
func (h *harness) Notify(string, any)       {}
func (h *harness) Respond(requestID uint64, body any) {
	if answer, isAnswer := body.(Response); isAnswer {
		h.responses[requestID] = answer
	}
}
func (h *harness) step(body any) { h.deliver("", body) }

// deliver delivers a message; word of the cluster state answers a question asked just now.
func (h *harness) deliver(sender string, body any) {
	if update, isUpdate := body.(*schema.ClusterStateResponse); isUpdate && update.Leaders != nil && update.Sequence == 0 {
		update.Sequence = h.gateway.lease.newQuery(h.now)
	}
	h.gateway.Step(h.now, eventloop.Message{From: sender, Body: body}, h)
}

// sendConfirmation has the cluster state's leader answer the question after queues that is out;
// a nil state: ours is the newest.
func (h *harness) confirmState(state *schema.ClusterState) {
	update := &schema.ClusterStateResponse{Version: max(h.gateway.state.Version, state.GetVersion()), State: state, Leaders: map[string]string{}}
	for _, place := range state.GetQueues() {
		update.Leaders[place.Queue] = "a"
	}
	body, err := proto.Marshal(update)
	So(err, ShouldBeNil)
	h.deliver("a", &schema.Response{Id: h.gateway.confirmation.requestID, Code: 200, Group: clusterstate.Group, Leader: "a", Body: body})
}

func newHarness(rows ...*schema.ConfigurationRow) *harness {
	h := newDisconnectedHarness()
	rows = append(rows, &schema.ConfigurationRow{Kind: "queue", Name: "l", Key: "urgency", Value: "1"})
	h.step(&schema.ClusterStateResponse{
		Version: 1, Leaders: map[string]string{"l": "a", clusterstate.Group: "a"},
		State: &schema.ClusterState{Version: 1, Configuration: &schema.Configuration{Revision: 1, Rows: rows}, Queues: []*schema.QueuePlacement{{Queue: "l", Generation: 1}}},
	})
	return h
}

func newDisconnectedHarness() *harness {
	return &harness{gateway: New("me", 1, false, rand.New(rand.NewPCG(1, 1))), now: 100 * eventloop.Second, responses: map[uint64]Response{}}
}

// setStorageNodes are heard of now.
func (h *harness) setStorageNodes(ids ...string) {
	known := map[string]membership.MemberStatus{}
	for _, id := range ids {
		known[id] = membership.MemberStatus{Member: &schema.Member{Id: id, HasStorage: true}, LastHeard: h.now}
	}
	h.step(&membership.View{Members: known})
}

func (h *harness) submit(client, name string) uint64 {
	h.lastRequestID++
	job := &schema.Job{Text: name, Steps: []*schema.Step{{Name: "s", Tasks: 1, CoresMilli: 1}}}
	h.step(SubmitJob{RequestID: h.lastRequestID, Queue: "l", Client: client, Name: name, Digest: Digest(job), Job: job})
	return h.lastRequestID
}

func (h *harness) lastSubmit() (string, *schema.SubmitRequest) {
	for k := len(h.sent) - 1; k >= 0; k-- {
		if submit, isSubmit := h.sent[k].body.(*schema.SubmitRequest); isSubmit {
			return h.sent[k].to, submit
		}
	}
	return "", nil
}

func (h *harness) deliverApplied(leader string, numbers ...uint64) {
	_, submit := h.lastSubmit()
	m := &schema.SubmitResponse{Queue: "l", Leader: leader}
	for _, number := range numbers {
		m.Results = append(m.Results, &schema.SubmitResult{Session: submit.Enqueues[0].Session, Number: number, Code: 201, View: &schema.JobView{Name: "x"}})
	}
	h.step(m)
}

func TestSubmissionNumbersAndGaps(t *testing.T) {
	Convey("Submissions are numbered, and a returned number above the lowest brings the gap again", t, func() {
		h := newHarness()
		first, second, third := h.submit("c", "one"), h.submit("c", "two"), h.submit("c", "three")
		to, submit := h.lastSubmit()
		So(to, ShouldEqual, "a")
		So(submit.Enqueues[0].Number, ShouldEqual, 3)
		So(submit.Enqueues[0].LowestUnconfirmed, ShouldEqual, 1)
		So(len(h.responses), ShouldEqual, 0) // nothing is confirmed before it was applied
		count := len(h.sent)
		h.deliverApplied("a", 3)
		So(h.responses[third].Code, ShouldEqual, 201)
		So(len(h.sent), ShouldEqual, count+1)
		_, again := h.lastSubmit()
		So(len(again.Enqueues), ShouldEqual, 2)
		So(again.Enqueues[0].Number, ShouldEqual, 1)
		h.deliverApplied("a", 1, 2)
		So(h.responses[first].Code, ShouldEqual, 201)
		So(h.responses[second].Code, ShouldEqual, 201)
		// An outcome that comes twice is nobody's any more.
		count = len(h.sent)
		h.deliverApplied("a", 1)
		So(len(h.sent), ShouldEqual, count)
	})
	Convey("The new leader gets everything that isn't confirmed, also what nobody waits for any more", t, func() {
		h := newHarness()
		requestID := h.submit("c", "one")
		h.step(ForgetRequest{RequestID: requestID})
		h.step(&schema.SubmitResponse{Queue: "l", Leader: "b"})
		to, submit := h.lastSubmit()
		So(to, ShouldEqual, "b")
		So(submit.Enqueues[0].Name, ShouldEqual, "one")
		Convey("but two that name each other aren't fed in a circle", func() {
			count := len(h.sent)
			for k := 0; k < 100; k++ {
				h.step(&schema.SubmitResponse{Queue: "l", Leader: "a"})
				h.step(&schema.SubmitResponse{Queue: "l", Leader: "b"})
			}
			So(len(h.sent), ShouldBeLessThan, count+3)
			h.now += 60 * eventloop.Millisecond
			h.step(eventloop.Tick{})
			_, submit := h.lastSubmit()
			So(submit.Enqueues[0].Name, ShouldEqual, "one")
		})
	})
	Convey("A front that had been given up calls what it held unknown, and starts afresh", t, func() {
		h := newHarness()
		first, second := h.submit("c", "one"), h.submit("c", "two")
		_, submit := h.lastSubmit()
		h.step(&schema.SubmitResponse{Queue: "l", Leader: "a", Results: []*schema.SubmitResult{{Session: submit.Enqueues[0].Session, Number: 1, Code: 410}}})
		So(h.responses[first].Code, ShouldEqual, 504)
		So(h.responses[second].Code, ShouldEqual, 504)
		h.submit("c", "three")
		_, fresh := h.lastSubmit()
		So(fresh.Enqueues[0].Number, ShouldEqual, 1)
		So(fresh.Enqueues[0].Session.Incarnation, ShouldNotEqual, submit.Enqueues[0].Session.Incarnation)
	})
	Convey("So does one that was frozen for long", t, func() {
		h := newHarness()
		h.step(eventloop.Tick{})
		requestID := h.submit("c", "one")
		h.now += maxTickGap + eventloop.Second
		h.step(eventloop.Tick{})
		So(h.responses[requestID].Code, ShouldEqual, 504)
	})
}

func TestRejection(t *testing.T) {
	code := func(h *harness, requestID uint64) (int32, string) {
		fault := &schema.Error{}
		So(json.Unmarshal(h.responses[requestID].Body, fault), ShouldBeNil)
		return h.responses[requestID].Code, fault.Code
	}
	Convey("Overload is said at once, with when to come back, and before anything has a number", t, func() {
		h := newHarness(&schema.ConfigurationRow{Kind: "fleet", Key: "window", Value: "2"})
		h.submit("c", "one")
		h.submit("c", "two")
		count := len(h.sent)
		third := h.submit("c", "three")
		status, name := code(h, third)
		So(status, ShouldEqual, 429)
		So(name, ShouldEqual, "window_full")
		So(h.responses[third].RetryAfter, ShouldBeGreaterThan, 0)
		So(len(h.sent), ShouldEqual, count)
		Convey("another client isn't held up by it", func() {
			requestID := h.submit("d", "four")
			_, isAnswered := h.responses[requestID]
			So(isAnswered, ShouldBeFalse)
		})
		Convey("and the window opens again", func() {
			h.deliverApplied("a", 1)
			So(len(h.responses), ShouldEqual, 2)
			h.submit("c", "three")
			_, submit := h.lastSubmit()
			So(submit.Enqueues[0].Number, ShouldEqual, 3)
		})
	})
	Convey("A queue that is full by its leader's word takes no more", t, func() {
		h := newHarness(&schema.ConfigurationRow{Kind: "fleet", Key: "live_jobs", Value: "5"})
		h.step(&schema.ClusterStateResponse{Version: 1, Leaders: map[string]string{}, QueueStatuses: []*schema.QueueStatus{{Queue: "l", LiveJobs: 5}}})
		status, name := code(h, h.submit("c", "one"))
		So(status, ShouldEqual, 429)
		So(name, ShouldEqual, "queue_full")
	})
	Convey("A front without a fresh cluster state isn't ready, and says so rather than that a queue is unknown", t, func() {
		h := newHarness()
		h.step(CheckReadiness{RequestID: 900})
		So(h.responses[900].Code, ShouldEqual, 200)
		h.now += defaultApplyBound + eventloop.Second
		h.step(CheckReadiness{RequestID: 901})
		So(h.responses[901].Code, ShouldEqual, 503)
		h.step(SubmitJob{RequestID: 902, Queue: "new", Client: "c", Name: "x", Job: &schema.Job{}})
		So(h.responses[902].Code, ShouldEqual, 503)
		Convey("nor is one that was warned", func() {
			h := newHarness()
			h.step(StartDraining{})
			h.step(CheckReadiness{RequestID: 903})
			So(h.responses[903].Code, ShouldEqual, 503)
		})
	})
}

func TestUnknownQueueConfirmation(t *testing.T) {
	Convey("A queue that our copy lacks is asked for, and the answer decides", t, func() {
		h := newHarness()
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
		h.step(LeaderRequest{RequestID: 5, Kind: "status", Group: "new", Name: "j"})
		So(h.sent[len(h.sent)-1].body.(*schema.Request).Kind, ShouldEqual, "state")
		_, isAnswered := h.responses[5]
		So(isAnswered, ShouldBeFalse)
		Convey("there now: it goes on", func() {
			h.confirmState(state("l", "new"))
			_, isAnswered := h.responses[5]
			So(isAnswered, ShouldBeFalse)
			So(h.sent[len(h.sent)-1].body.(*schema.Request).Group, ShouldEqual, "new")
		})
		Convey("not there: told at once, but only by the leader's answer to this very question", func() {
			for _, from := range []string{"b", "a"} {
				h.deliver(from, &schema.ClusterStateResponse{State: state("l"), Version: version, Leaders: map[string]string{"clusterstate": "a"}})
				h.deliver(from, &schema.Response{Id: h.gateway.confirmation.requestID, Group: clusterstate.Group, Leader: from})
			}
			So(h.responses, ShouldNotContainKey, uint64(5))
			h.confirmState(state("l"))
			So(h.responses[5].Code, ShouldEqual, 404)
		})
		Convey("no answer: nobody knows, whatever our copy says", func() {
			h.now += confirmationTimeout + eventloop.Millisecond
			h.step(eventloop.Tick{})
			So(h.responses[5].Code, ShouldEqual, 503)
			So(h.responses[5].RetryAfter, ShouldEqual, 1)
		})
		Convey("who comes while a question is out waits for the next: the plan may have changed since it was answered", func() {
			h.step(SubmitJob{RequestID: 6, Queue: "new", Client: "c", Name: "j", Job: &schema.Job{}})
			h.confirmState(state("l"))
			So(h.responses[5].Code, ShouldEqual, 404)
			So(h.responses, ShouldNotContainKey, uint64(6))
			h.confirmState(state("l", "new"))
			So(h.responses, ShouldNotContainKey, uint64(6))
			_, submit := h.lastSubmit()
			So(submit.Queue, ShouldEqual, "new")
		})
		Convey("where too many wait already, nobody knows either", func() {
			for id := uint64(100); id < 100+maxAwaitingConfirmation; id++ {
				h.step(LeaderRequest{RequestID: id, Kind: "status", Group: "new", Name: "j"})
			}
			So(h.responses[100+maxAwaitingConfirmation-1].Code, ShouldEqual, 503)
			So(h.responses, ShouldHaveLength, 1)
		})
	})
}

func TestRetryAfter(t *testing.T) {
	window := &schema.ConfigurationRow{Kind: "fleet", Key: "window", Value: "8"}
	Convey("Who is turned away is told when there should be room, each the next turn at the queue's pace", t, func() {
		h := newHarness(window)
		// Four are confirmed a second.
		for k := 0; k < 12; k++ {
			h.submit("c", "n")
			_, submit := h.lastSubmit()
			h.deliverApplied("a", submit.Enqueues[0].Number)
			h.now += 250 * eventloop.Millisecond
			h.step(eventloop.Tick{})
			h.step(&schema.ClusterStateResponse{Version: 1, Leaders: map[string]string{"l": "a"}})
		}
		for k := 0; k < 8; k++ {
			h.submit("c", "held")
		}
		var retryAfters []int
		for k := 0; k < 12; k++ {
			answer := h.responses[h.submit("c", "more")]
			So(answer.Code, ShouldEqual, 429)
			retryAfters = append(retryAfters, answer.RetryAfter)
		}
		So(retryAfters[0], ShouldEqual, 1)
		So(retryAfters[11], ShouldBeBetweenOrEqual, 3, 4)
		// Turns that have passed are given anew.
		h.now += 4 * eventloop.Second
		h.step(&schema.ClusterStateResponse{Version: 1, Leaders: map[string]string{"l": "a"}})
		So(h.responses[h.submit("c", "more")].RetryAfter, ShouldEqual, 1)
	})
	Convey("Where nothing gets done the time grows, within bounds", t, func() {
		h := newHarness(window)
		for k := 0; k < 8; k++ {
			h.submit("c", "held")
		}
		So(h.responses[h.submit("c", "more")].RetryAfter, ShouldEqual, 5)
		for k := 0; k < 20; k++ {
			h.submit("c", "more")
		}
		So(h.responses[h.submit("c", "more")].RetryAfter, ShouldEqual, maxRetryAfterSeconds)
	})
	Convey("A full queue's time is by the jobs it ends", t, func() {
		h := newHarness(&schema.ConfigurationRow{Kind: "fleet", Key: "live_jobs", Value: "100"})
		for k := uint64(0); k < 8; k++ {
			h.step(&schema.ClusterStateResponse{Version: 1, Leaders: map[string]string{"l": "a"}, QueueStatuses: []*schema.QueueStatus{{Queue: "l", LiveJobs: 100, EndedJobs: 2 * k}}})
			h.now += eventloop.Second
		}
		retryAfters := 0
		for k := 0; k < 10; k++ {
			answer := h.responses[h.submit("c", "n")]
			So(answer.Code, ShouldEqual, 429)
			retryAfters = answer.RetryAfter
		}
		So(retryAfters, ShouldBeBetweenOrEqual, 5, 6)
	})
	Convey("A front whose lease on the cluster state is over takes nothing, so that callers go to another; what it has it keeps a little", t, func() {
		h := newHarness()
		h.step(eventloop.Tick{})
		id := h.submit("c", "one")
		h.now += h.gateway.lease.duration() + eventloop.Millisecond
		h.step(eventloop.Tick{})
		h.step(CheckReadiness{RequestID: 900})
		So(h.responses[900].Code, ShouldEqual, 503)
		So(h.responses[h.submit("c", "two")].Code, ShouldEqual, 503)
		h.step(LeaderRequest{RequestID: 901, Kind: "status", Group: "l", Name: "one", Deadline: h.now + 60*eventloop.Second})
		So(h.responses[901].Code, ShouldEqual, 503)
		_, isAnswered := h.responses[id]
		So(isAnswered, ShouldBeFalse)
		for id, kind := range map[uint64]string{902: "plan", 904: "clusterstate"} {
			h.step(LeaderRequest{RequestID: id, Kind: kind, Group: clusterstate.Group, Deadline: h.now + 60*eventloop.Second})
			So(h.responses[id].Code, ShouldEqual, 503)
			So(h.responses[id].RetryAfter, ShouldBeGreaterThan, 0)
		}
		Convey("and with a word it is ready again", func() {
			h.step(&schema.ClusterStateResponse{Version: h.gateway.state.Version, Leaders: map[string]string{"l": "a"}})
			h.step(CheckReadiness{RequestID: 903})
			So(h.responses[903].Code, ShouldEqual, 200)
		})
	})
	Convey("A front whose own replica has no word asks other stores", t, func() {
		h := newHarness()
		h.gateway.hasLocalReplica = true
		known := map[string]membership.MemberStatus{}
		for _, id := range []string{"me", "a", "b"} {
			known[id] = membership.MemberStatus{Member: &schema.Member{Id: id, HasStorage: true}, LastHeard: h.now}
		}
		h.step(&membership.View{Members: known})
		h.step(&schema.ClusterStateResponse{Version: h.gateway.state.Version, Leaders: map[string]string{"l": "a"}})
		asked := func() map[string]bool {
			to := map[string]bool{}
			for _, each := range h.sent {
				if _, isAsk := each.body.(*schema.ClusterStateRequest); isAsk {
					to[each.to] = true
				}
			}
			return to
		}
		h.sent = nil
		h.now += maxStateQueryInterval
		h.step(eventloop.Tick{})
		So(asked(), ShouldResemble, map[string]bool{"me": true})
		h.sent = nil
		for k := 0; k < 20; k++ {
			h.now += TickInterval
			h.step(eventloop.Tick{})
		}
		So(asked()["a"] || asked()["b"], ShouldBeTrue)
	})
	Convey("A front that has lost touch answers at once what it holds and what comes, with when to come back", t, func() {
		h := newHarness()
		h.step(eventloop.Tick{})
		id := h.submit("c", "one")
		h.step(LeaderRequest{RequestID: 900, Kind: "status", Group: "l", Name: "one", Deadline: h.now + 60*eventloop.Second})
		h.step(LeaderRequest{RequestID: 901, Kind: "cancel", Group: "l", Name: "one", Deadline: h.now + 60*eventloop.Second})
		h.now += defaultApplyBound + eventloop.Millisecond
		h.step(eventloop.Tick{})
		// Numbered, so whether it takes effect isn't known; and it goes on being sent.
		So(h.responses[id].Code, ShouldEqual, 504)
		So(h.responses[900].Code, ShouldEqual, 503)
		So(h.responses[901].Code, ShouldEqual, 504)
		So(h.gateway.sessions[queueClient{"l", "c"}].unconfirmed, ShouldHaveLength, 1)
		late := h.responses[h.submit("c", "two")]
		So(late.Code, ShouldEqual, 503)
		h.now += 12 * eventloop.Second
		So(h.responses[h.submit("c", "two")].RetryAfter, ShouldBeGreaterThan, late.RetryAfter)
	})
}

func TestRoutes(t *testing.T) {
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
		h := newHarness(rows()...)
		given := job()
		h.step(SubmitJob{RequestID: 1, Host: "ONE.example:80", Path: "/p/j1", Client: "c", Digest: Digest(given), Job: given})
		_, submit := h.lastSubmit()
		So(submit.Queue, ShouldEqual, "l")
		So(submit.Enqueues[0].Name, ShouldEqual, "j1")
		So(proto.Equal(submit.Enqueues[0].Job, given), ShouldBeTrue)
		for kind, path := range map[string]string{"status": "/p/j1", "cancel": "/p/j1", "counts": "/p/"} {
			h.lastRequestID = 100
			h.step(LeaderRequest{RequestID: h.lastRequestID, Kind: kind, Host: "one.example", Path: path})
			sent := h.sent[len(h.sent)-1].body.(*schema.Request)
			So([]string{sent.Kind, sent.Group, "/p/" + sent.Name}, ShouldResemble, []string{kind, "l", path})
		}
		h.step(SubmitJob{RequestID: 2, Host: "one.example", Path: "/p/", Client: "c", Job: given})
		So(h.responses[2].Code, ShouldEqual, 422)
	})
	Convey("An entry that our copy lacks is asked for, and looked up anew", t, func() {
		h := newHarness()
		fresh := func(rows []*schema.ConfigurationRow) {
			h.confirmState(&schema.ClusterState{Version: 2, Configuration: &schema.Configuration{Revision: 2, Rows: rows}, Queues: []*schema.QueuePlacement{{Queue: "l", Generation: 1}}})
			for h.gateway.confirmation.requestID != 0 {
				h.confirmState(nil)
			}
		}
		h.step(SubmitJob{RequestID: 1, Host: "one.example", Path: "/p/j1", Client: "c", Job: job()})
		h.step(LeaderRequest{RequestID: 2, Kind: "status", Host: "one.example", Path: "/p/j1"})
		So(h.responses, ShouldBeEmpty)
		Convey("there now: it goes on", func() {
			fresh(rows())
			So(h.responses, ShouldBeEmpty)
			_, submit := h.lastSubmit()
			So(submit.Enqueues[0].Name, ShouldEqual, "j1")
			So(h.sent[len(h.sent)-1].body.(*schema.Request).Name, ShouldEqual, "j1")
		})
		Convey("not there: 404", func() {
			fresh([]*schema.ConfigurationRow{{Kind: "queue", Name: "l", Key: "urgency", Value: "1"}})
			So(h.responses[1].Code, ShouldEqual, 404)
			So(h.responses[2].Code, ShouldEqual, 404)
			So(string(h.responses[1].Body), ShouldContainSubstring, "unknown_queue")
		})
		Convey("a queue that has been dropped takes nothing more, once the leader has said so", func() {
			fresh([]*schema.ConfigurationRow{})
			So(h.responses[1].Code, ShouldEqual, 404)
			h.step(SubmitJob{RequestID: 3, Queue: "l", Client: "c", Name: "j", Job: job()})
			So(h.responses, ShouldNotContainKey, uint64(3))
			h.confirmState(nil)
			So(h.responses[3].Code, ShouldEqual, 404)
		})
	})
	Convey("Before the first plan, and without fresh word, nothing is called unknown", t, func() {
		h := newDisconnectedHarness()
		h.step(SubmitJob{RequestID: 1, Host: "one.example", Path: "/p/j1", Client: "c", Job: job()})
		h.step(LeaderRequest{RequestID: 2, Kind: "status", Host: "one.example", Path: "/p/j1"})
		So([]int32{h.responses[1].Code, h.responses[2].Code}, ShouldResemble, []int32{503, 503})
		update := &schema.ClusterStateResponse{Version: 1, State: &schema.ClusterState{Version: 1, Configuration: &schema.Configuration{}}, Leaders: map[string]string{"clusterstate": "a"}}
		h.deliver("a", update)
		h.step(SubmitJob{RequestID: 3, Host: "one.example", Path: "/p/j1", Client: "c", Job: job()})
		h.confirmState(nil)
		So(h.responses[3].Code, ShouldEqual, 503)
		So(h.responses[3].RetryAfter, ShouldEqual, 1)
	})
	Convey("The queue's attempts hold where a step states nothing, and the digest stays the caller's", t, func() {
		h := newHarness(rows(&schema.ConfigurationRow{Kind: "queue", Name: "l", Key: "attempts", Value: "4"})...)
		given := job()
		digest := Digest(given)
		h.step(SubmitJob{RequestID: 1, Host: "one.example", Path: "/p/j1", Client: "c", Digest: digest, Job: given})
		_, submit := h.lastSubmit()
		e := submit.Enqueues[0]
		So([]uint32{e.Job.Steps[0].AllowedFailures, e.Job.Steps[1].AllowedFailures}, ShouldResemble, []uint32{3, 9})
		So(e.Digest, ShouldResemble, digest)
		So(given.Steps[0].AllowedFailures, ShouldEqual, 0)
	})
	Convey("What a pool's workers can hold the plan doesn't say", t, func() {
		large := job()
		large.Steps[0].CoresMilli = 1_000_000
		h := newHarness(rows()...)
		h.step(SubmitJob{RequestID: 1, Queue: "l", Name: "j", Client: "c", Job: large})
		So(h.responses[1].Code, ShouldEqual, 422)
		h = newHarness(rows(&schema.ConfigurationRow{Kind: "queue", Name: "l", Key: "pool", Value: "p"}, &schema.ConfigurationRow{Kind: "pool", Name: "p", Key: "guards", Value: "1"})...)
		h.step(SubmitJob{RequestID: 1, Queue: "l", Name: "j", Client: "c", Job: large})
		So(h.responses, ShouldBeEmpty)
	})
}

func TestLeaderlessQueues(t *testing.T) {
	Convey("While nobody is known to lead a queue, hand-ins are turned away before they have a number", t, func() {
		h := newHarness()
		first := h.submit("c", "one")
		// It leads no more and knows nobody.
		h.step(&schema.SubmitResponse{Queue: "l"})
		second := h.submit("c", "two")
		h.now += leaderlessGracePeriod + eventloop.Millisecond
		third := h.submit("c", "three")
		So(h.responses[third].Code, ShouldEqual, 503)
		So(h.responses[third].RetryAfter, ShouldEqual, 1)
		So(string(h.responses[third].Body), ShouldContainSubstring, "not_ready")
		// What has a number may never be turned away.
		So(h.responses, ShouldNotContainKey, first)
		So(h.responses, ShouldNotContainKey, second)
		So(h.gateway.sessions[queueClient{"l", "c"}].unconfirmed, ShouldHaveLength, 2)
		Convey("and taken again as soon as somebody is", func() {
			h.step(&schema.ClusterStateResponse{Version: 1, Leaders: map[string]string{"l": "b"}})
			fourth := h.submit("c", "four")
			So(h.responses, ShouldNotContainKey, fourth)
			to, submit := h.lastSubmit()
			So(to, ShouldEqual, "b")
			So(submit.Enqueues[0].Number, ShouldEqual, 3)
		})
	})
	Convey("The cluster state is looked at more often then, and what was asked goes to whoever leads now", t, func() {
		h := newHarness()
		known := func(id string) membership.MemberStatus {
			return membership.MemberStatus{Member: &schema.Member{Id: id, HasStorage: true}, LastHeard: h.now}
		}
		h.step(&membership.View{Members: map[string]membership.MemberStatus{"b": known("b")}})
		h.step(LeaderRequest{RequestID: 1, Kind: "status", Group: "l", Name: "j", Deadline: h.now + 9*eventloop.Second})
		requests, looks := 0, 0
		pass := func() {
			before := len(h.sent)
			h.now += TickInterval
			h.step(&membership.View{Members: map[string]membership.MemberStatus{"b": known("b")}})
			h.step(eventloop.Tick{})
			requests, looks = 0, 0
			for _, each := range h.sent[before:] {
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
		h.step(&schema.Response{Id: 1, Group: "l"})
		pass()
		So(looks, ShouldEqual, 1)
		pass()
		So([]int{looks, requests}, ShouldResemble, []int{1, 0})
		h.step(&schema.ClusterStateResponse{Version: 1, Leaders: map[string]string{"l": "b"}})
		pass()
		So([]int{looks, requests}, ShouldResemble, []int{0, 1})
	})
	Convey("A hand-in that a store turned away before it came to lead is sent there again at once", t, func() {
		h := newHarness()
		h.submit("c", "one")
		h.now += 5 * eventloop.Millisecond
		h.gateway.Step(h.now, eventloop.Message{From: "a", Body: &schema.SubmitResponse{Queue: "l"}}, h)
		h.now += 100 * eventloop.Millisecond
		h.step(&schema.ClusterStateResponse{Version: 1, Leaders: map[string]string{"l": "a"}})
		before := len(h.sent)
		for k := 0; k < 3; k++ {
			h.now += TickInterval
			h.step(eventloop.Tick{})
		}
		count := 0
		for _, each := range h.sent[before:] {
			if submit, isSubmit := each.body.(*schema.SubmitRequest); isSubmit {
				So([]string{each.to, submit.Enqueues[0].Name}, ShouldResemble, []string{"a", "one"})
				count++
			}
		}
		So(count, ShouldEqual, 1)
	})
	Convey("A new queue has that long to find a leader, and one that was dropped is forgotten", t, func() {
		h := newHarness()
		queues := func(version uint64, queues ...string) {
			state := &schema.ClusterState{Version: version, Configuration: &schema.Configuration{Revision: version}}
			for _, queue := range queues {
				state.Configuration.Rows = append(state.Configuration.Rows, &schema.ConfigurationRow{Kind: "queue", Name: queue, Key: "urgency", Value: "1"})
				state.Queues = append(state.Queues, &schema.QueuePlacement{Queue: queue, Generation: version})
			}
			h.step(&schema.ClusterStateResponse{Version: version, State: state, Leaders: map[string]string{"clusterstate": "a"}})
		}
		queues(2, "l", "new")
		job := &schema.Job{Steps: []*schema.Step{{Name: "s", Tasks: 1, CoresMilli: 1}}}
		h.step(SubmitJob{RequestID: 1, Queue: "new", Client: "c", Name: "j", Job: job})
		h.now += leaderlessGracePeriod + eventloop.Millisecond
		h.step(SubmitJob{RequestID: 2, Queue: "new", Client: "c", Name: "j", Job: job})
		So(h.responses, ShouldNotContainKey, uint64(1))
		So(h.responses[2].Code, ShouldEqual, 503)
		queues(3, "l")
		So(h.gateway.leaderlessSince, ShouldBeEmpty)
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
		So(ValidateJob(&schema.Job{Rounds: MaxRounds, PeriodUs: 1, Steps: []*schema.Step{good}}), ShouldBeNil)
		So(ValidateJob(&schema.Job{Steps: long[:MaxSteps]}), ShouldBeNil)
		for field, job := range map[string]*schema.Job{
			"steps":          {Steps: long},
			"rounds":         {Rounds: MaxRounds + 1, Steps: []*schema.Step{step()}},
			"every_us":       {PeriodUs: -1, Steps: []*schema.Step{step()}},
			"steps[0].tasks": {Rounds: MaxRounds, Steps: []*schema.Step{{Name: "s", Tasks: 21, CoresMilli: 1}}},
		} {
			So(ValidateJob(job).Field, ShouldEqual, field)
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
			So(ValidateJob(&schema.Job{Steps: []*schema.Step{bad}}).Field, ShouldEqual, "steps[0]."+field)
		}
	})
}
