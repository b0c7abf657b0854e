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
	enqueue   *schema.Enqueue
	requestID uint64
	sentAt    eventloop.Micros
	sentTo    string
}

type session struct {
	queue       string
	id          *schema.Session
	nextNumber  uint64
	unconfirmed []*submission // unconfirmed, by number
	lastUsed    eventloop.Micros
}

func (s *session) lowestUnconfirmed() uint64 {
	if len(s.unconfirmed) > 0 {
		return s.unconfirmed[0].enqueue.Number
	}
	return s.nextNumber
}

type queueClient struct{ queue, client string }

func (g *Gateway) handleSubmit(now eventloop.Micros, m SubmitJob, isConfirmed bool, effects eventloop.Effects) {
	// What is parked must be looked up anew, so the mail stays as it came.
	message := m
	if m.Queue == "" {
		m.Queue, m.Name, _ = g.values.MatchRoute(m.Host, m.Path)
	}
	if !g.values.HasQueue(m.Queue) || clusterstate.FindQueue(g.state, m.Queue) == nil {
		g.handleUnknownQueue(now, m.RequestID, m.Queue, message, isConfirmed, effects)
		return
	}
	if !IsValidName(m.Name) {
		effects.Respond(m.RequestID, Response{Code: 422, Body: FaultBody("bad_name", "letters, digits, '.', '_', ':' and '-', at most 128", "name")})
		return
	}
	if !g.lease.isValid(now) {
		g.rejectNotReady(now, m.RequestID, effects)
		return
	}
	if fault := exceedsLargestWorker(g.values, m.Queue, m.Job); fault != nil {
		data, _ := json.Marshal(fault)
		effects.Respond(m.RequestID, Response{Code: 422, Body: data})
		return
	}
	if !g.canCommit(now, m.Queue) {
		g.reject(m.RequestID, 503, "not_ready", "too many stores take no writes at the moment", 1, effects)
		return
	}
	if g.isLeaderless(now, m.Queue) {
		g.reject(m.RequestID, 503, "not_ready", "nobody is known to lead the queue at the moment", 1, effects)
		return
	}
	// Turning away is final, so it happens before the submission has a number.
	s := g.sessions[queueClient{m.Queue, m.Client}]
	window := int(g.values.Fleet("window"))
	status := g.queueStatus[m.Queue]
	switch {
	case g.unconfirmedCount >= maxPending:
		g.rejectOverloaded(now, m, "front_full", "this front has too much in hand", "", effects)
		return
	case s != nil && len(s.unconfirmed) >= window:
		g.rejectOverloaded(now, m, "window_full", "this client has too many hand-ins unconfirmed", m.Queue, effects)
		return
	case g.unconfirmedByQueue[m.Queue] >= maxPending/2:
		g.rejectOverloaded(now, m, "queue_full", "the queue has too many hand-ins unconfirmed", m.Queue, effects)
		return
	case status != nil && status.StorageExhausted:
		g.rejectOverloaded(now, m, "store_full", "the stores keep the room they have for the work they hold", "live/"+m.Queue, effects)
		return
	case status != nil && int64(status.LiveJobs) >= g.values.Fleet("live_jobs"):
		g.rejectOverloaded(now, m, "queue_full", "the queue has as many live jobs as the plan allows", "live/"+m.Queue, effects)
		return
	}
	if s == nil {
		g.lastSession++
		s = &session{
			queue: m.Queue, nextNumber: 1,
			id: &schema.Session{Gateway: g.id, Incarnation: g.incarnation, Client: m.Client + "~" + strconv.FormatUint(g.lastSession, 10)},
		}
		g.sessions[queueClient{m.Queue, m.Client}] = s
		g.sessionsByID[s.queue+"/"+s.id.Client] = s
	}
	pending := &submission{
		requestID: m.RequestID,
		enqueue:   &schema.Enqueue{Session: s.id, Number: s.nextNumber, Name: m.Name, Digest: m.Digest, Job: applyDefaultAttempts(g.values, m.Queue, m.Job)},
	}
	s.nextNumber++
	s.lastUsed = now
	s.unconfirmed = append(s.unconfirmed, pending)
	g.unconfirmedCount++
	g.unconfirmedByQueue[m.Queue]++
	g.submissionsByRequest[m.RequestID] = pending
	g.sendSubmissions(now, s.queue, []*submission{pending}, effects)
}

// failPending answers at once, when this front has lost touch, all that it can't
// carry any more. What was handed in has its number and goes on being resent,
// so whether it takes effect is unknown.
func (g *Gateway) failPending(now eventloop.Micros, effects eventloop.Effects) {
	for _, id := range slices.Sorted(maps.Keys(g.submissionsByRequest)) {
		g.submissionsByRequest[id].requestID = 0
		delete(g.submissionsByRequest, id)
		effects.Respond(id, outcomeUnknown())
	}
	g.failConfirmation(now, effects)
	for _, id := range slices.Sorted(maps.Keys(g.announcements)) {
		g.rejectNotReady(now, id, effects)
		delete(g.announcements, id)
	}
	for _, id := range slices.Sorted(maps.Keys(g.requests)) {
		switch g.requests[id].message.Kind {
		case "cancel", "clusterstate":
			effects.Respond(id, outcomeUnknown())
		default:
			g.rejectNotReady(now, id, effects)
		}
		delete(g.requests, id)
	}
}

// applyDefaultAttempts states what the queue allows where a step states nothing. The
// digest is of what the caller gave, so a resend is the same job whatever the
// plan has become.
func applyDefaultAttempts(values *clusterstate.Values, queue string, job *schema.Job) *schema.Job {
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

// exceedsLargestWorker finds a task that no worker of the plan could ever hold. Of a pool's
// workers the plan says nothing: the scheduler sees what they are.
func exceedsLargestWorker(values *clusterstate.Values, queue string, job *schema.Job) *schema.Error {
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

func (g *Gateway) sendSubmissions(now eventloop.Micros, queue string, submissions []*submission, effects eventloop.Effects) {
	to := g.target(now, queue)
	m := &schema.SubmitRequest{Queue: queue}
	for _, pending := range submissions {
		pending.sentAt, pending.sentTo = now, to
		s := g.sessionsByID[queue+"/"+pending.enqueue.Session.Client]
		enqueue := pending.enqueue
		m.Enqueues = append(m.Enqueues, &schema.Enqueue{
			Session: enqueue.Session, Number: enqueue.Number, Name: enqueue.Name, Digest: enqueue.Digest, Job: enqueue.Job, LowestUnconfirmed: s.lowestUnconfirmed(),
		})
	}
	if to != "" {
		effects.Send(to, m)
	}
}

func (g *Gateway) handleApplied(now eventloop.Micros, from string, m *schema.SubmitResponse, effects eventloop.Effects) {
	if len(m.Results) == 0 && from != "" && m.Leader != from {
		g.leadershipDeniedAt[queueNode{m.Queue, from}] = now
	}
	if len(m.Results) > 0 || g.isPlausibleLeader(now, m.Leader) {
		g.setLeader(m.Queue, m.Leader)
	} else if len(m.Results) == 0 {
		// It leads no more and knows nobody: ask around.
		g.clearLeader(now, m.Queue)
	}
	var resend []*submission
	for _, outcome := range m.Results {
		resend = append(resend, g.handleOutcome(now, m.Queue, outcome, effects)...)
	}
	if len(m.Results) == 0 && g.leaders[m.Queue] != "" {
		// Two that each name the other, as happens while a leader is being
		// elected, must not have everything thrown to and fro between them.
		if now-g.redirectedAt[m.Queue] > minRedirectInterval {
			g.redirectedAt[m.Queue] = now
			resend = g.misrouted(m.Queue)
		} else {
			g.redirectDue[m.Queue] = true
		}
	}
	if len(resend) > 0 {
		g.sendSubmissions(now, m.Queue, resend, effects)
	}
}

// handleOutcome settles one submission, and returns those below it that must have
// been lost on the way.
func (g *Gateway) handleOutcome(now eventloop.Micros, queue string, outcome *schema.SubmitResult, effects eventloop.Effects) []*submission {
	// Starts and numbers are alike on many fronts: the id is what tells whose a
	// submission is.
	if outcome.Session == nil || outcome.Session.Gateway != g.id || outcome.Session.Incarnation != g.incarnation {
		return nil
	}
	s := g.sessionsByID[queue+"/"+outcome.Session.Client]
	if s == nil {
		return nil
	}
	index := sort.Search(len(s.unconfirmed), func(k int) bool { return s.unconfirmed[k].enqueue.Number >= outcome.Number })
	if index == len(s.unconfirmed) || s.unconfirmed[index].enqueue.Number != outcome.Number {
		return nil
	}
	confirmed := s.unconfirmed[index]
	lost := append([]*submission(nil), s.unconfirmed[:index]...)
	s.unconfirmed = append(s.unconfirmed[:index:index], s.unconfirmed[index+1:]...)
	g.unconfirmedCount--
	g.unconfirmedByQueue[queue]--
	g.throughputOf("").done++
	g.throughputOf(queue).done++
	if confirmed.requestID != 0 {
		delete(g.submissionsByRequest, confirmed.requestID)
		effects.Respond(confirmed.requestID, outcomeResponse(outcome))
	}
	if outcome.Code == 410 {
		// This front had been given up as dead. Its numbers mean nothing any
		// more; what isn't confirmed is unknown, and callers resend.
		g.restartSessions(now, effects)
		return nil
	}
	return lost
}

func outcomeResponse(outcome *schema.SubmitResult) Response {
	var body []byte
	switch {
	case outcome.Error != nil:
		body, _ = json.Marshal(outcome.Error)
	case outcome.View != nil:
		body, _ = json.Marshal(outcome.View)
	default:
		return outcomeUnknown()
	}
	return Response{Code: outcome.Code, Body: body}
}

func outcomeUnknown() Response {
	return Response{Code: 504, Body: FaultBody("unknown", "whether this took effect is not known: send it again under the same name", ""), RetryAfter: 1}
}

// selectUnconfirmed lists a queue's submissions that are to be sent again, as many as
// one pass may send.
func (g *Gateway) selectUnconfirmed(queue string, isWanted func(*submission) bool) []*submission {
	var clients []string
	for key, s := range g.sessions {
		if key.queue == queue && len(s.unconfirmed) > 0 {
			clients = append(clients, key.client)
		}
	}
	sort.Strings(clients)
	var selected []*submission
	for _, client := range clients {
		for _, pending := range g.sessions[queueClient{queue, client}].unconfirmed {
			if len(selected) < maxResendBatch && isWanted(pending) {
				selected = append(selected, pending)
			}
		}
	}
	return selected
}

// restartSessions gives up every session: whatever they hold is unknown.
func (g *Gateway) restartSessions(now eventloop.Micros, effects eventloop.Effects) {
	queues := map[string]bool{}
	for _, s := range g.sessions {
		queues[s.queue] = true
		for _, pending := range s.unconfirmed {
			if pending.requestID != 0 {
				effects.Respond(pending.requestID, outcomeUnknown())
			}
		}
	}
	for _, queue := range sortedKeys(queues) {
		effects.Send(g.target(now, queue), &schema.EndSessionsRequest{Queue: queue, Gateways: []*schema.ExpiredGateway{{Gateway: g.id, Incarnation: g.incarnation}}})
	}
	g.sessions, g.sessionsByID, g.unconfirmedCount = map[queueClient]*session{}, map[string]*session{}, 0
	g.unconfirmedByQueue, g.submissionsByRequest = map[string]int{}, map[uint64]*submission{}
	g.incarnation += 1 << 32
}

// endIdleSessions ends sessions of clients that rest, by our own word, so that the
// queue doesn't hold them for ever.
func (g *Gateway) endIdleSessions(now eventloop.Micros, effects eventloop.Effects) {
	for key, s := range g.sessions {
		if len(s.unconfirmed) == 0 && now-s.lastUsed > sessionIdleTimeout {
			delete(g.sessions, key)
			delete(g.sessionsByID, s.queue+"/"+s.id.Client)
			g.endedSessions[key.queue] = append(g.endedSessions[key.queue], s.id)
		}
	}
	queues := map[string]bool{}
	for queue, sessions := range g.endedSessions {
		if len(sessions) >= maxEndedSessions || now%(10*eventloop.Second) < TickInterval {
			queues[queue] = true
		}
	}
	for _, queue := range sortedKeys(queues) {
		sessions := g.endedSessions[queue]
		delete(g.endedSessions, queue)
		sort.Slice(sessions, func(a, b int) bool { return sessions[a].Client < sessions[b].Client })
		effects.Send(g.target(now, queue), &schema.EndSessionsRequest{Queue: queue, Sessions: sessions})
	}
}
