package gateway

// Hand-ins: numbered in their client's session, sent until they are confirmed.

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"strconv"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

type submission struct {
	enqueue *schema.Enqueue
	request uint64
	sent    eventloop.Micros
	to      string
}

type session struct {
	queue   string
	id      *schema.Session
	next    uint64
	waiting []*submission // unconfirmed, by number
	used    eventloop.Micros
}

func (s *session) lowest() uint64 {
	if len(s.waiting) > 0 {
		return s.waiting[0].enqueue.Number
	}
	return s.next
}

type queueClient struct{ queue, client string }

func (t *Table) handIn(now eventloop.Micros, m HandIn, isConfirmed bool, out eventloop.Effects) {
	// What is parked must be looked up anew, so the mail stays as it came.
	mail := m
	if m.Queue == "" {
		m.Queue, m.Name, _ = t.values.MatchRoute(m.Host, m.Path)
	}
	if !t.values.HasQueue(m.Queue) || clusterstate.FindQueue(t.state, m.Queue) == nil {
		t.unknownQueue(now, m.Request, m.Queue, mail, isConfirmed, out)
		return
	}
	if !GoodName(m.Name) {
		out.Respond(m.Request, Answer{Code: 422, Body: Fault("bad_name", "letters, digits, '.', '_', ':' and '-', at most 128", "name")})
		return
	}
	if !t.lease.isValid(now) {
		t.notReady(now, m.Request, out)
		return
	}
	if fault := tooLarge(t.values, m.Queue, m.Job); fault != nil {
		data, _ := json.Marshal(fault)
		out.Respond(m.Request, Answer{Code: 422, Body: data})
		return
	}
	if !t.canCommit(now, m.Queue) {
		t.refuse(m.Request, 503, "not_ready", "too many stores take no writes at the moment", 1, out)
		return
	}
	if t.isUnled(now, m.Queue) {
		t.refuse(m.Request, 503, "not_ready", "nobody is known to lead the queue at the moment", 1, out)
		return
	}
	// Turning away is final, so it happens before the submission has a number.
	s := t.sessions[queueClient{m.Queue, m.Client}]
	window := int(t.values.Fleet("window"))
	note := t.waits[m.Queue]
	switch {
	case t.pending >= maxPending:
		t.turnAway(now, m, "front_full", "this front has too much in hand", "", out)
		return
	case s != nil && len(s.waiting) >= window:
		t.turnAway(now, m, "window_full", "this client has too many hand-ins unconfirmed", m.Queue, out)
		return
	case t.queueHas[m.Queue] >= maxPending/2:
		t.turnAway(now, m, "queue_full", "the queue has too many hand-ins unconfirmed", m.Queue, out)
		return
	case note != nil && note.StorageExhausted:
		t.turnAway(now, m, "store_full", "the stores keep the room they have for the work they hold", "live/"+m.Queue, out)
		return
	case note != nil && int64(note.LiveJobs) >= t.values.Fleet("live_jobs"):
		t.turnAway(now, m, "queue_full", "the queue has as many live jobs as the plan allows", "live/"+m.Queue, out)
		return
	}
	if s == nil {
		t.epoch++
		s = &session{
			queue: m.Queue, next: 1,
			id: &schema.Session{Gateway: t.id, Incarnation: t.boot, Client: m.Client + "~" + strconv.FormatUint(t.epoch, 10)},
		}
		t.sessions[queueClient{m.Queue, m.Client}] = s
		t.byId[s.queue+"/"+s.id.Client] = s
	}
	each := &submission{
		request: m.Request,
		enqueue: &schema.Enqueue{Session: s.id, Number: s.next, Name: m.Name, Digest: m.Digest, Job: withAttempts(t.values, m.Queue, m.Job)},
	}
	s.next++
	s.used = now
	s.waiting = append(s.waiting, each)
	t.pending++
	t.queueHas[m.Queue]++
	t.asked[m.Request] = each
	t.send(now, s.queue, []*submission{each}, out)
}

// giveUp answers at once, when this front has lost touch, all that it can't
// carry any more. What was handed in has its number and goes on being resent,
// so whether it takes effect is unknown.
func (t *Table) giveUp(now eventloop.Micros, out eventloop.Effects) {
	for _, id := range slices.Sorted(maps.Keys(t.asked)) {
		t.asked[id].request = 0
		delete(t.asked, id)
		out.Respond(id, unknown())
	}
	t.stateUnconfirmed(now, out)
	for _, id := range slices.Sorted(maps.Keys(t.polls)) {
		t.notReady(now, id, out)
		delete(t.polls, id)
	}
	for _, id := range slices.Sorted(maps.Keys(t.requests)) {
		switch t.requests[id].ask.Kind {
		case "cancel", "clusterstate":
			out.Respond(id, unknown())
		default:
			t.notReady(now, id, out)
		}
		delete(t.requests, id)
	}
}

// withAttempts states what the queue allows where a step states nothing. The
// digest is of what the caller gave, so a resend is the same job whatever the
// plan has become.
func withAttempts(values *clusterstate.Values, queue string, job *schema.Job) *schema.Job {
	attempts := values.Number("queue", queue, "attempts")
	if !values.IsSet("queue", queue, "attempts") || attempts <= 1 {
		return job
	}
	job = proto.Clone(job).(*schema.Job)
	for _, step := range job.Steps {
		if step.AllowedFailures == 0 {
			step.AllowedFailures = uint32(attempts - 1)
		}
	}
	return job
}

// tooLarge finds a task that no worker of the plan could ever hold. Of a pool's
// workers the plan says nothing: the scheduler sees what they are.
func tooLarge(values *clusterstate.Values, queue string, job *schema.Job) *schema.Error {
	if values.Text("queue", queue, "pool") != "" {
		return nil
	}
	cores, memory := values.Fleet("worker_cores_milli"), values.Fleet("worker_memory_mb")
	for k, step := range job.Steps {
		field := "steps[" + strconv.Itoa(k) + "]."
		if step.CoresMilli > cores {
			return &schema.Error{Code: "never_fits", Field: field + "cores_milli", Message: "no worker has more than " + strconv.FormatInt(cores, 10) + " thousandths of a core (worker_cores_milli)"}
		}
		if step.MemoryMb > memory {
			return &schema.Error{Code: "never_fits", Field: field + "memory_mb", Message: "no worker has more than " + strconv.FormatInt(memory, 10) + " megabytes (worker_memory_mb)"}
		}
	}
	return nil
}

func (t *Table) send(now eventloop.Micros, queue string, list []*submission, out eventloop.Effects) {
	to := t.leader(now, queue)
	m := &schema.SubmitRequest{Queue: queue}
	for _, each := range list {
		each.sent, each.to = now, to
		s := t.byId[queue+"/"+each.enqueue.Session.Client]
		e := each.enqueue
		m.Enqueues = append(m.Enqueues, &schema.Enqueue{
			Session: e.Session, Number: e.Number, Name: e.Name, Digest: e.Digest, Job: e.Job, LowestUnconfirmed: s.lowest(),
		})
	}
	if to != "" {
		out.Send(to, m)
	}
}

func (t *Table) applied(now eventloop.Micros, from string, m *schema.SubmitResponse, out eventloop.Effects) {
	if len(m.Results) == 0 && from != "" && m.Leader != from {
		t.denied[queueStore{m.Queue, from}] = now
	}
	if len(m.Results) > 0 || t.mayLead(now, m.Leader) {
		t.lead(m.Queue, m.Leader)
	} else if len(m.Results) == 0 {
		// It leads no more and knows nobody: ask around.
		t.unlead(now, m.Queue)
	}
	var again []*submission
	for _, outcome := range m.Results {
		again = append(again, t.confirmed(now, m.Queue, outcome, out)...)
	}
	if len(m.Results) == 0 && t.leaders[m.Queue] != "" {
		// Two that each name the other, as happens while a leader is being
		// elected, must not have everything thrown to and fro between them.
		if now-t.redirected[m.Queue] > redirectSpan {
			t.redirected[m.Queue] = now
			again = t.elsewhere(m.Queue)
		} else {
			t.owed[m.Queue] = true
		}
	}
	if len(again) > 0 {
		t.send(now, m.Queue, again, out)
	}
}

// confirmed settles one submission, and returns those below it that must have
// been lost on the way.
func (t *Table) confirmed(now eventloop.Micros, queue string, outcome *schema.SubmitResult, out eventloop.Effects) []*submission {
	// Starts and numbers are alike on many fronts: the id is what tells whose a
	// submission is.
	if outcome.Session == nil || outcome.Session.Gateway != t.id || outcome.Session.Incarnation != t.boot {
		return nil
	}
	s := t.byId[queue+"/"+outcome.Session.Client]
	if s == nil {
		return nil
	}
	at := sort.Search(len(s.waiting), func(k int) bool { return s.waiting[k].enqueue.Number >= outcome.Number })
	if at == len(s.waiting) || s.waiting[at].enqueue.Number != outcome.Number {
		return nil
	}
	each := s.waiting[at]
	lost := append([]*submission(nil), s.waiting[:at]...)
	s.waiting = append(s.waiting[:at:at], s.waiting[at+1:]...)
	t.pending--
	t.queueHas[queue]--
	t.pace("").done++
	t.pace(queue).done++
	if each.request != 0 {
		delete(t.asked, each.request)
		out.Respond(each.request, answerOf(outcome))
	}
	if outcome.Code == 410 {
		// This front had been given up as dead. Its numbers mean nothing any
		// more; what isn't confirmed is unknown, and callers resend.
		t.restart(now, out)
		return nil
	}
	return lost
}

func answerOf(outcome *schema.SubmitResult) Answer {
	var body []byte
	switch {
	case outcome.Error != nil:
		body, _ = json.Marshal(outcome.Error)
	case outcome.View != nil:
		body, _ = json.Marshal(outcome.View)
	default:
		return unknown()
	}
	return Answer{Code: outcome.Code, Body: body}
}

func unknown() Answer {
	return Answer{Code: 504, Body: Fault("unknown", "whether this took effect is not known: send it again under the same name", ""), Retry: 1}
}

// unconfirmed lists a queue's submissions that are to be sent again, as many as
// one pass may send.
func (t *Table) unconfirmed(queue string, isWanted func(*submission) bool) []*submission {
	var keys []string
	for key, s := range t.sessions {
		if key.queue == queue && len(s.waiting) > 0 {
			keys = append(keys, key.client)
		}
	}
	sort.Strings(keys)
	var list []*submission
	for _, client := range keys {
		for _, each := range t.sessions[queueClient{queue, client}].waiting {
			if len(list) < maxResend && isWanted(each) {
				list = append(list, each)
			}
		}
	}
	return list
}

// restart gives up every session: whatever they hold is unknown.
func (t *Table) restart(now eventloop.Micros, out eventloop.Effects) {
	queues := map[string]bool{}
	for _, s := range t.sessions {
		queues[s.queue] = true
		for _, each := range s.waiting {
			if each.request != 0 {
				out.Respond(each.request, unknown())
			}
		}
	}
	for _, queue := range sorted(queues) {
		out.Send(t.leader(now, queue), &schema.EndSessionsRequest{Queue: queue, Gateways: []*schema.ExpiredGateway{{Gateway: t.id, Incarnation: t.boot}}})
	}
	t.sessions, t.byId, t.pending = map[queueClient]*session{}, map[string]*session{}, 0
	t.queueHas, t.asked = map[string]int{}, map[uint64]*submission{}
	t.boot += 1 << 32
}

// endQuiet ends sessions of clients that rest, by our own word, so that the
// queue doesn't hold them for ever.
func (t *Table) endQuiet(now eventloop.Micros, out eventloop.Effects) {
	for key, s := range t.sessions {
		if len(s.waiting) == 0 && now-s.used > quietSpan {
			delete(t.sessions, key)
			delete(t.byId, s.queue+"/"+s.id.Client)
			t.quitting[key.queue] = append(t.quitting[key.queue], s.id)
		}
	}
	queues := map[string]bool{}
	for queue, list := range t.quitting {
		if len(list) >= quietedMost || now%(10*eventloop.Second) < Pace {
			queues[queue] = true
		}
	}
	for _, queue := range sorted(queues) {
		list := t.quitting[queue]
		delete(t.quitting, queue)
		sort.Slice(list, func(a, b int) bool { return list[a].Client < list[b].Client })
		out.Send(t.leader(now, queue), &schema.EndSessionsRequest{Queue: queue, Sessions: list})
	}
}
