package gateway

import (
	"math/rand/v2"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

// harness drives a gateway step by step, and records its effects. It implements
// eventloop.Effects.
type harness struct {
	gateway       *Gateway
	now           eventloop.Micros
	sent          []sentMessage       // in the order of sending
	responses     map[uint64]Response // by request ID
	lastRequestID uint64
}

// sentMessage is a message that the gateway sent to a node.
type sentMessage struct {
	to   string
	body any
}

func (h *harness) Send(to string, body any) { h.sent = append(h.sent, sentMessage{to, body}) }

func (h *harness) SendToAddress(string, any) {}

func (h *harness) Notify(string, any) {}

func (h *harness) Respond(requestID uint64, body any) {
	if response, isResponse := body.(Response); isResponse {
		h.responses[requestID] = response
	}
}

// step delivers a message without a sender.
func (h *harness) step(body any) { h.deliver("", body) }

// deliver delivers a message from a sender. An update of the cluster state that names leaders
// but no query is turned into the response to a query that was sent just now.
func (h *harness) deliver(sender string, body any) {
	if update, isUpdate := body.(*schema.ClusterStateResponse); isUpdate && update.Leaders != nil && update.Sequence == 0 {
		update.Sequence = h.gateway.lease.newQuery(h.now)
	}
	h.gateway.Step(h.now, eventloop.Message{From: sender, Body: body}, h)
}

// confirmState delivers the response of the cluster state's leader to the confirmation in
// flight. The response contains the given state, or confirms that the gateway's copy is the
// newest if state is nil.
func (h *harness) confirmState(state *schema.ClusterState) {
	update := &schema.ClusterStateResponse{Version: max(h.gateway.state.Version, state.GetVersion()), State: state, Leaders: map[string]string{}}
	for _, place := range state.GetQueues() {
		update.Leaders[place.Queue] = "a"
	}
	body, err := proto.Marshal(update)
	So(err, ShouldBeNil)
	h.deliver("a", &schema.Response{Id: h.gateway.confirmation.requestID, Code: 200, Group: clusterstate.GroupName, Leader: "a", Body: body})
}

// newHarness returns a harness whose gateway has received a cluster state with the queue "l",
// led by the node "a", and with these rows in its configuration.
func newHarness(rows ...*schema.ConfigurationRow) *harness {
	h := newDisconnectedHarness()
	rows = append(rows, &schema.ConfigurationRow{Kind: "queue", Name: "l", Key: "urgency", Value: "1"})
	h.step(&schema.ClusterStateResponse{
		Version: 1, Leaders: map[string]string{"l": "a", clusterstate.GroupName: "a"},
		State: &schema.ClusterState{Version: 1, Configuration: &schema.Configuration{Revision: 1, Rows: rows}, Queues: []*schema.QueuePlacement{{Queue: "l", Generation: 1}}},
	})
	return h
}

// newDisconnectedHarness returns a harness whose gateway has received no cluster state yet.
func newDisconnectedHarness() *harness {
	return &harness{gateway: New("me", 1, false, rand.New(rand.NewPCG(1, 1))), now: 100 * eventloop.Second, responses: map[uint64]Response{}}
}

// setStorageNodes delivers a membership view with these storage nodes, heard from just now.
func (h *harness) setStorageNodes(ids ...string) {
	members := map[string]membership.MemberStatus{}
	for _, id := range ids {
		members[id] = membership.MemberStatus{Member: &schema.Member{Id: id, HasStorage: true}, LastHeard: h.now}
	}
	h.step(&membership.View{Members: members})
}

// submit submits a job to the queue "l" and returns the request ID.
func (h *harness) submit(client, name string) uint64 {
	h.lastRequestID++
	job := &schema.Job{Text: name, Steps: []*schema.Step{{Name: "s", Tasks: 1, CoresMilli: 1}}}
	h.step(SubmitJob{RequestID: h.lastRequestID, Queue: "l", Client: client, Name: name, Digest: Digest(job), Job: job})
	return h.lastRequestID
}

// lastSubmit returns the last message with submissions that the gateway sent, and its
// recipient; nil if there is none.
func (h *harness) lastSubmit() (string, *schema.SubmitRequest) {
	for k := len(h.sent) - 1; k >= 0; k-- {
		if submit, isSubmit := h.sent[k].body.(*schema.SubmitRequest); isSubmit {
			return h.sent[k].to, submit
		}
	}
	return "", nil
}

// deliverApplied delivers a response in which a leader confirms submissions, by their
// numbers, of the session in the last sent message.
func (h *harness) deliverApplied(leader string, numbers ...uint64) {
	_, submit := h.lastSubmit()
	m := &schema.SubmitResponse{Queue: "l", Leader: leader}
	for _, number := range numbers {
		m.Results = append(m.Results, &schema.SubmitResult{Session: submit.Enqueues[0].Session, Number: number, Code: 201, View: &schema.JobView{Name: "x"}})
	}
	h.step(m)
}

// deliverOutcome delivers an outcome of the last sent submission, for the session that change
// makes of its session.
func (h *harness) deliverOutcome(code int32, change func(session *schema.Session)) {
	_, submit := h.lastSubmit()
	sent := submit.Enqueues[len(submit.Enqueues)-1]
	session := &schema.Session{Gateway: sent.Session.Gateway, Incarnation: sent.Session.Incarnation, Client: sent.Session.Client}
	change(session)
	h.step(&schema.SubmitResponse{Queue: "l", Leader: "a", Results: []*schema.SubmitResult{{Session: session, Number: sent.Number, Code: code, View: &schema.JobView{Name: "x"}}}})
}

// isReady reports whether the gateway reports itself as ready.
func (h *harness) isReady() bool {
	h.lastRequestID++
	h.step(CheckReadiness{RequestID: h.lastRequestID})
	return h.responses[h.lastRequestID].Code == 200
}
