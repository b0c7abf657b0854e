package gateway

import (
	"encoding/json"
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// keyedRows returns configuration rows that require keys, and give the tenant "t" the given
// keys.
func keyedRows(keys ...string) []*schema.ConfigurationRow {
	rows := []*schema.ConfigurationRow{
		{Kind: "fleet", Key: "require_keys", Value: "1"},
		{Kind: "tenant", Name: "t", Key: "weight_milli", Value: "1000"},
	}
	hashes := ""
	for _, key := range keys {
		hashes += " " + clusterstate.HashKey(key)
	}
	if hashes != "" {
		rows = append(rows, &schema.ConfigurationRow{Kind: "tenant", Name: "t", Key: "key_hashes", Value: hashes[1:]})
	}
	return rows
}

// keyedState returns a cluster state whose configuration consists of the queue "l" and the
// rows of keyedRows.
func keyedState(version uint64, keys ...string) *schema.ClusterState {
	rows := append(keyedRows(keys...), &schema.ConfigurationRow{Kind: "queue", Name: "l", Key: "urgency", Value: "1"})
	return &schema.ClusterState{
		Version: version, Configuration: &schema.Configuration{Revision: version, Rows: rows}, Queues: []*schema.QueuePlacement{{Queue: "l", Generation: 1}},
	}
}

// hashOf returns the KeyHash of a call that carries a key, or "" if the key is "".
func hashOf(key string) string {
	if key == "" {
		return ""
	}
	return clusterstate.HashKey(key)
}

// submitWithKey submits a job in a call that carries a key, or none if the key is "". It
// returns the request ID.
func (h *harness) submitWithKey(key, name string) uint64 {
	h.lastRequestID++
	job := &schema.Job{Text: name, Steps: []*schema.Step{{Name: "s", Tasks: 1, CoresMilli: 1}}}
	h.step(SubmitJob{RequestID: h.lastRequestID, Queue: "l", Client: "c", KeyHash: hashOf(key), Name: name, Digest: Digest(job), Job: job})
	return h.lastRequestID
}

// requestWithKey makes a client's call of a kind such as KindStatus, which carries a key, or
// none if the key is "". It returns the request ID.
func (h *harness) requestWithKey(kind, key string) uint64 {
	h.lastRequestID++
	h.step(LeaderRequest{RequestID: h.lastRequestID, Kind: kind, Group: "l", KeyHash: hashOf(key), Name: "j", Deadline: h.now + 9*eventloop.Second})
	return h.lastRequestID
}

// forwardedCalls counts the calls that were sent to the leader of the queue "l".
func (h *harness) forwardedCalls() int {
	count := 0
	for _, message := range h.sent {
		switch body := message.body.(type) {
		case *schema.SubmitRequest:
			count++
		case *schema.Request:
			if body.Group == "l" {
				count++
			}
		}
	}
	return count
}

// errorCode returns the code in an error response. It returns "" if there is no response yet
// or the response isn't an error.
func (h *harness) errorCode(id uint64) string {
	fault := &schema.Error{}
	if json.Unmarshal(h.responses[id].Body, fault) != nil {
		return ""
	}
	return fault.Code
}

var clientKinds = []string{KindStatus, KindCancel, KindCounts, KindList}

// Guards against requests that are forwarded although no configuration contains their key.
func TestUnknownKeysAreRefused(t *testing.T) {
	for _, key := range []string{"guessed", ""} {
		Convey("A call with the key '"+key+"' is refused with 401, and reaches no leader", t, func() {
			h := newHarness(keyedRows("given")...)
			ids := []uint64{h.submitWithKey(key, "j")}
			for _, kind := range clientKinds {
				ids = append(ids, h.requestWithKey(kind, key))
			}
			for h.gateway.confirmation.requestID != 0 {
				h.confirmState(nil)
			}
			So(h.forwardedCalls(), ShouldEqual, 0)
			for _, id := range ids {
				So(h.responses[id].Code, ShouldEqual, 401)
				So(h.errorCode(id), ShouldEqual, "unknown_key")
			}
		})
	}
	Convey("On a public queue a call needs no key, but one that it carries must be known", t, func() {
		h := newHarness(append(keyedRows("given"), &schema.ConfigurationRow{Kind: "queue", Name: "l", Key: "public", Value: "1"})...)
		h.submitWithKey("", "j")
		h.requestWithKey(KindStatus, "")
		h.submitWithKey("given", "j")
		So(h.forwardedCalls(), ShouldEqual, 3)
		refused := h.submitWithKey("guessed", "j")
		h.confirmState(nil)
		So(h.responses[refused].Code, ShouldEqual, 401)
		So(h.forwardedCalls(), ShouldEqual, 3)
	})
	Convey("The job and the leader's requests carry the tenant of the key, also when they are sent again", t, func() {
		h := newHarness(keyedRows("other", "given")...)
		h.submitWithKey("given", "j")
		_, submit := h.lastSubmit()
		So(submit.Enqueues[0].Tenant, ShouldEqual, "t")
		h.setStorageNodes("a")
		h.sent = nil
		h.now += resendInterval
		h.step(eventloop.Tick{})
		_, submit = h.lastSubmit()
		So(submit.Enqueues[0].Tenant, ShouldEqual, "t")
		h.requestWithKey(KindCancel, "given")
		So(h.sent[len(h.sent)-1].body.(*schema.Request).Tenant, ShouldEqual, "t")
	})
	Convey("Operators' requests need no key", t, func() {
		h := newHarness(keyedRows("given")...)
		for id, kind := range []string{KindConfiguration, KindHistory, KindReadClusterState, KindProposeClusterState} {
			h.step(LeaderRequest{RequestID: uint64(900 + id), Kind: kind, Group: clusterstate.GroupName, Deadline: h.now + eventloop.Second})
			So(h.sent[len(h.sent)-1].body.(*schema.Request).Kind, ShouldEqual, kind)
		}
		So(h.responses, ShouldBeEmpty)
	})
	Convey("Where the configuration requires no keys, none is looked at", t, func() {
		h := newHarness(keyedRows("given")[1:]...)
		h.submitWithKey("guessed", "j")
		h.submitWithKey("", "j")
		h.requestWithKey(KindStatus, "guessed")
		So(h.forwardedCalls(), ShouldEqual, 3)
	})
}

// Guards against requests that are forwarded although their key was removed from the
// configuration.
func TestRevokedKeysAreRefused(t *testing.T) {
	Convey("Given two gateways that know a key, which is then taken away", t, func() {
		current, lagging := newHarness(keyedRows("given")...), newHarness(keyedRows("given")...)
		for _, h := range []*harness{current, lagging} {
			h.submitWithKey("given", "before")
			So(h.forwardedCalls(), ShouldEqual, 1)
		}
		revoked := keyedState(2)
		leaders := map[string]string{"l": "a", clusterstate.GroupName: "a"}
		current.step(&schema.ClusterStateResponse{Version: 2, State: revoked, Leaders: leaders})
		Convey("the gateway that has heard of it refuses the key", func() {
			id := current.submitWithKey("given", "after")
			current.confirmState(nil)
			So(current.responses[id].Code, ShouldEqual, 401)
			So(current.forwardedCalls(), ShouldEqual, 1)
		})
		Convey("the other one serves it no longer than its lease lasts, and then refuses nothing for good", func() {
			lagging.now += lagging.gateway.lease.duration() + 1
			id := lagging.submitWithKey("given", "after")
			unknown := lagging.submitWithKey("guessed", "after")
			statusID := lagging.requestWithKey(KindStatus, "guessed")
			So([]int32{lagging.responses[id].Code, lagging.responses[unknown].Code, lagging.responses[statusID].Code}, ShouldResemble, []int32{503, 503, 503})
			So(lagging.forwardedCalls(), ShouldEqual, 1)
		})
		Convey("a call that waits while its key goes is checked anew", func() {
			waiting := &harness{gateway: lagging.gateway, now: lagging.now, responses: map[uint64]Response{}}
			waiting.step(SubmitJob{RequestID: 50, Queue: "new", Client: "c", KeyHash: clusterstate.HashKey("given"), Name: "j", Job: &schema.Job{}})
			So(waiting.responses, ShouldBeEmpty)
			state := keyedState(2)
			state.Configuration.Rows = append(state.Configuration.Rows, &schema.ConfigurationRow{Kind: "queue", Name: "new", Key: "urgency", Value: "1"})
			state.Queues = append(state.Queues, &schema.QueuePlacement{Queue: "new", Generation: 2})
			waiting.confirmState(state)
			So(waiting.responses[50].Code, ShouldEqual, 401)
		})
		Convey("a submission that was numbered before goes on", func() {
			current.setStorageNodes("a")
			current.sent = nil
			current.now += resendInterval
			current.step(eventloop.Tick{})
			_, submit := current.lastSubmit()
			So(submit, ShouldNotBeNil)
			So(submit.Enqueues[0].Name, ShouldEqual, "before")
		})
	})
}

// Guards against the refusal of a key that was just added to the configuration, by a gateway
// whose copy of the configuration is older.
func TestNewKeysWorkAtOnce(t *testing.T) {
	Convey("A key that the copy lacks is confirmed to be unknown before it is refused", t, func() {
		h := newHarness(keyedRows("given")...)
		submitted, statusID := h.submitWithKey("new", "j"), h.requestWithKey(KindStatus, "new")
		So(h.forwardedCalls(), ShouldEqual, 0)
		So(h.responses, ShouldBeEmpty)
		Convey("it was added: the calls go on, as the tenant's", func() {
			h.confirmState(keyedState(2, "given", "new"))
			h.confirmState(nil)
			So(h.responses, ShouldBeEmpty)
			So(h.forwardedCalls(), ShouldEqual, 2)
			_, submit := h.lastSubmit()
			So(submit.Enqueues[0].Tenant, ShouldEqual, "t")
		})
		Convey("the queue has become public: a call without a key goes on", func() {
			without := h.requestWithKey(KindStatus, "")
			state := keyedState(2, "given")
			state.Configuration.Rows = append(state.Configuration.Rows, &schema.ConfigurationRow{Kind: "queue", Name: "l", Key: "public", Value: "1"})
			h.confirmState(state)
			h.confirmState(nil)
			So(h.responses, ShouldNotContainKey, without)
			So(h.forwardedCalls(), ShouldEqual, 1)
			So([]int32{h.responses[submitted].Code, h.responses[statusID].Code}, ShouldResemble, []int32{401, 401})
		})
		Convey("nobody confirms: 503 with a time to retry", func() {
			for range 2 {
				h.now += confirmationTimeout + eventloop.Millisecond
				h.step(eventloop.Tick{})
			}
			So([]int32{h.responses[submitted].Code, h.responses[statusID].Code}, ShouldResemble, []int32{503, 503})
			So(h.responses[submitted].RetryAfter, ShouldEqual, 1)
			So(h.forwardedCalls(), ShouldEqual, 0)
		})
	})
	Convey("A queue that doesn't exist is 404, whatever the key", t, func() {
		h := newHarness(keyedRows("given")...)
		h.step(LeaderRequest{RequestID: 70, Kind: KindStatus, Group: "nowhere", KeyHash: clusterstate.HashKey("guessed"), Name: "j"})
		h.confirmState(nil)
		So(h.responses[70].Code, ShouldEqual, 404)
	})
}

// Guards against invalid Authorization headers that count as a call without a key.
func TestKeyHashOf(t *testing.T) {
	Convey("A call's key is read from one header with one of the schemes", t, func() {
		So(KeyHashOf(nil, "Token"), ShouldEqual, "")
		for _, header := range []string{"Token k", "tOKEN k", " Token   k\t", "Bearer k"} {
			So(KeyHashOf([]string{header}, "Token", "Bearer"), ShouldEqual, clusterstate.HashKey("k"))
		}
		So(KeyHashOf([]string{"Token k k"}, "Token"), ShouldEqual, clusterstate.HashKey("k k"))
		for _, headers := range [][]string{{""}, {" "}, {"Token"}, {"Token "}, {"k"}, {"Bearer k"}, {"Token k", "Token k"}} {
			So(KeyHashOf(headers, "Token"), ShouldEqual, unreadableKey)
		}
	})
}

// Guards against a client with a revoked key whose calls take up all the room for calls that
// wait for a confirmation, so that calls to new queues are rejected.
func TestUnknownKeysLeaveRoomForNewQueues(t *testing.T) {
	requestNewQueue := func(h *harness) uint64 {
		h.lastRequestID++
		h.step(LeaderRequest{RequestID: h.lastRequestID, Kind: KindStatus, Group: "new", KeyHash: hashOf("given"), Name: "j"})
		return h.lastRequestID
	}
	Convey("At most half of the calls that wait for a confirmation wait because of their key", t, func() {
		h := newHarness(keyedRows("given")...)
		refused := 0
		for range 3 * maxAwaitingConfirmation {
			id := h.requestWithKey(KindStatus, "guessed")
			if response, isAnswered := h.responses[id]; isAnswered {
				So(response.Code, ShouldEqual, 503)
				refused++
			}
		}
		So(refused, ShouldEqual, 3*maxAwaitingConfirmation-maxAwaitingConfirmation/2)
		first := requestNewQueue(h)
		So(h.responses, ShouldNotContainKey, first)
		for range maxAwaitingConfirmation/2 - 1 {
			So(h.responses, ShouldNotContainKey, requestNewQueue(h))
		}
		So(h.responses[requestNewQueue(h)].Code, ShouldEqual, 503)
		Convey("and their room is free again when they are answered", func() {
			h.confirmState(nil)
			h.confirmState(nil)
			So(h.responses[first].Code, ShouldEqual, 404)
			So(h.responses, ShouldNotContainKey, h.requestWithKey(KindStatus, "another"))
		})
	})
}

// Guards against a flood of calls with a revoked key, each of which sends a confirmation to
// the leader of the cluster state.
func TestConfirmedUnknownKeysAreRefusedAtOnce(t *testing.T) {
	confirmUnknown := func(h *harness, key string) {
		id := h.requestWithKey(KindStatus, key)
		So(h.responses, ShouldNotContainKey, id)
		h.confirmState(nil)
		So(h.responses[id].Code, ShouldEqual, 401)
	}
	Convey("Given a key that was confirmed to be unknown", t, func() {
		h := newHarness(keyedRows("given")...)
		confirmUnknown(h, "guessed")
		h.sent = nil
		Convey("further calls with it are refused at once, those with another one confirmed", func() {
			So(h.responses[h.requestWithKey(KindStatus, "guessed")].Code, ShouldEqual, 401)
			So(h.responses[h.submitWithKey("guessed", "j")].Code, ShouldEqual, 401)
			So(h.sent, ShouldBeEmpty)
			confirmUnknown(h, "another")
			confirmUnknown(h, "")
		})
		Convey("not without a lease on the copy", func() {
			h.now += h.gateway.lease.duration() + 1
			So(h.responses[h.requestWithKey(KindStatus, "guessed")].Code, ShouldEqual, 503)
			So(h.responses[h.submitWithKey("guessed", "j")].Code, ShouldEqual, 503)
		})
		Convey("a new configuration forgets it: the key may be in the next one", func() {
			h.step(&schema.ClusterStateResponse{Version: 2, State: keyedState(2, "given"), Leaders: map[string]string{"l": "a", clusterstate.GroupName: "a"}})
			id := h.requestWithKey(KindStatus, "guessed")
			So(h.responses, ShouldNotContainKey, id)
			h.confirmState(keyedState(3, "given", "guessed"))
			So(h.responses, ShouldNotContainKey, id)
			So(h.forwardedCalls(), ShouldEqual, 1)
		})
		Convey("another version of the cluster state with the same configuration doesn't", func() {
			state := keyedState(2, "given")
			state.Configuration.Revision = 1
			h.step(&schema.ClusterStateResponse{Version: 2, State: state, Leaders: map[string]string{"l": "a", clusterstate.GroupName: "a"}})
			So(h.responses[h.requestWithKey(KindStatus, "guessed")].Code, ShouldEqual, 401)
		})
	})
	Convey("The set of such keys is bounded", t, func() {
		h := newHarness(keyedRows("given")...)
		for number := range 2 * maxRefusedKeys {
			h.requestWithKey(KindStatus, strconv.Itoa(number))
			h.confirmState(nil)
		}
		So(len(h.gateway.refusedKeys.calls), ShouldBeBetweenOrEqual, 1, maxRefusedKeys)
	})
}
