package gateway

// This file numbers job submissions within their client's session, and resends them until
// their queue confirms them.

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// submission is a job that its queue hasn't confirmed yet.
type submission struct {
	enqueue    *schema.Enqueue
	requestID  uint64 // of the client's call; 0 if the client no longer waits
	numberedAt eventloop.Micros
	sentAt     eventloop.Micros
	sentTo     string
}

// handleSubmit accepts a job or rejects it. A rejected job gets no number, as a numbered
// job may take effect later and a rejection must be final. If isConfirmed is true, the
// gateway's copy of the cluster state was confirmed to be the newest after the job arrived,
// so a queue or key that the copy lacks doesn't exist.
func (g *Gateway) handleSubmit(now eventloop.Micros, m SubmitJob, isConfirmed bool, effects eventloop.Effects) {
	if hasPassed(now, m.Deadline) {
		g.rejectUnavailable(m.RequestID, overdueMessage, effects)
		return
	}
	unrouted := m // the route is looked up again if the submission is deferred and resumed
	if m.Queue == "" {
		m.Queue, m.Name, _ = g.values.MatchRoute(m.Host, m.Path)
	}
	if !g.values.HasQueue(m.Queue) || clusterstate.FindQueue(g.state, m.Queue) == nil {
		g.handleUnknownQueue(now, m.Queue, unrouted, isConfirmed, effects)
		return
	}
	if !g.lease.isValid(now) {
		g.rejectNotReady(now, m.RequestID, effects)
		return
	}
	tenant, isAllowed := authorize(g.values, m.Queue, m.KeyHash)
	if !isAllowed {
		g.handleUnauthorized(now, refusedCall{m.Queue, m.KeyHash}, unrouted, isConfirmed, effects)
		return
	}
	if !IsValidName(m.Name) {
		effects.Respond(m.RequestID, Unprocessable(&schema.Error{Code: codeBadName, Message: NameRule, Field: "name"}))
		return
	}
	if fault := validateTaskSizes(g.values, m.Queue, m.Job); fault != nil {
		effects.Respond(m.RequestID, Unprocessable(fault))
		return
	}
	if !g.canCommit(now, m.Queue) {
		g.rejectUnavailable(m.RequestID, "too few of the queue's voters can write at the moment", effects)
		return
	}
	if g.isLeaderless(now, m.Queue) {
		g.rejectUnavailable(m.RequestID, "the queue has no known leader at the moment", effects)
		return
	}
	key := queueClient{m.Queue, m.Client}
	if reason := g.overloadOf(m.Queue, g.sessions[key]); reason != nil {
		g.rejectOverloaded(now, m.RequestID, reason, effects)
		return
	}
	g.enqueue(now, g.openSession(key), m, tenant, effects)
}

// enqueue assigns the next number of the session to a job and sends the job to its queue.
func (g *Gateway) enqueue(now eventloop.Micros, s *session, m SubmitJob, tenant string, effects eventloop.Effects) {
	pending := &submission{
		requestID: m.RequestID, numberedAt: now,
		enqueue: &schema.Enqueue{
			Session: s.id, Number: s.nextNumber, Name: m.Name, Digest: m.Digest, Job: applyDefaultAttempts(g.values, m.Queue, m.Job),
			Tenant: tenant,
		},
	}
	s.nextNumber++
	s.lastUsed = now
	s.unconfirmed = append(s.unconfirmed, pending)
	g.unconfirmedCount++
	g.unconfirmedByQueue[m.Queue]++
	g.submissionsByRequest[m.RequestID] = pending
	g.sendSubmissions(now, s.queue, []*submission{pending}, effects)
}

// applyDefaultAttempts returns the job with the queue's configured number of attempts in
// each step that allows no failures. The job's digest is computed before this, from the
// job as the client sent it, so that a resend is recognised even if the configuration has
// changed in between.
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

// validateTaskSizes returns an error that names the first step whose tasks need more
// cores or memory than the largest configured worker has, or nil if there is none. The
// workers of a pool aren't configured, so for a queue with a pool it returns nil, and the
// scheduler decides.
func validateTaskSizes(values *clusterstate.Values, queue string, job *schema.Job) *schema.Error {
	if values.Text("queue", queue, "pool") != "" {
		return nil
	}
	cores, memory := values.Fleet("worker_cores_milli"), values.Fleet("worker_memory_mb")
	for index, step := range job.Steps {
		field := "steps[" + strconv.Itoa(index) + "]."
		if step.CoresMilli > cores {
			return &schema.Error{
				Code: codeNeverFits, Field: field + "cores_milli",
				Message: "no worker has more than " + strconv.FormatInt(cores, 10) + " thousandths of a core (worker_cores_milli)",
			}
		}
		if step.MemoryMb > memory {
			return &schema.Error{
				Code: codeNeverFits, Field: field + "memory_mb",
				Message: "no worker has more than " + strconv.FormatInt(memory, 10) + " megabytes (worker_memory_mb)",
			}
		}
	}
	return nil
}

// sendSubmissions sends submissions to one queue in a single message to its leader, or,
// if none is known, to a storage node that may know it.
func (g *Gateway) sendSubmissions(now eventloop.Micros, queue string, submissions []*submission, effects eventloop.Effects) {
	to := g.target(now, queue)
	m := &schema.SubmitRequest{Queue: queue}
	for _, pending := range submissions {
		pending.sentAt, pending.sentTo = now, to
		enqueue := pending.enqueue
		s := g.sessionsByID[sessionKey(queue, enqueue.Session.Client)]
		m.Enqueues = append(m.Enqueues, &schema.Enqueue{
			Session: enqueue.Session, Number: enqueue.Number, Name: enqueue.Name, Digest: enqueue.Digest, Job: enqueue.Job,
			LowestUnconfirmed: s.lowestUnconfirmed(), Tenant: enqueue.Tenant,
		})
	}
	if to != "" {
		effects.Send(to, m)
	}
}

// sendDueRedirects sends the submissions of queues whose redirect is due to the queues'
// new leaders.
func (g *Gateway) sendDueRedirects(now eventloop.Micros, effects eventloop.Effects) {
	for _, queue := range slices.Sorted(maps.Keys(g.redirectDue)) {
		delete(g.redirectDue, queue)
		g.redirectedAt[queue] = now
		if submissions := g.misrouted(queue); len(submissions) > 0 {
			g.sendSubmissions(now, queue, submissions, effects)
		}
	}
}

// resendOverdue resends submissions that weren't confirmed within resendInterval. The
// queue's leader may have failed, so it is cleared, and they are sent to a storage node
// that may know the new leader.
func (g *Gateway) resendOverdue(now eventloop.Micros, effects eventloop.Effects) {
	queues := map[string]bool{}
	for key, s := range g.sessions {
		if len(s.unconfirmed) > 0 {
			queues[key.queue] = true
		}
	}
	isOverdue := func(pending *submission) bool { return now-pending.sentAt >= resendInterval }
	for _, queue := range slices.Sorted(maps.Keys(queues)) {
		if submissions := g.selectUnconfirmed(queue, isOverdue); len(submissions) > 0 {
			g.clearLeader(now, queue)
			g.sendSubmissions(now, queue, submissions, effects)
		}
	}
}

// misrouted returns the unconfirmed submissions of a queue that must be sent to its present
// leader: they were last sent to another node, or to this node before it last denied that it
// leads the queue.
func (g *Gateway) misrouted(queue string) []*submission {
	leader := g.leaders[queue]
	deniedAt, wasDenied := g.leadershipDeniedAt[queueNode{queue, leader}]
	return g.selectUnconfirmed(queue, func(pending *submission) bool {
		return pending.sentTo != leader || wasDenied && pending.sentAt < deniedAt
	})
}

// selectUnconfirmed returns at most maxResendBatch of a queue's unconfirmed submissions
// for which isWanted returns true, ordered by client and number.
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

// handleSubmitResponse handles the outcomes of submissions from a queue's leader. A
// response without outcomes is a redirect: its sender doesn't lead the queue, and names the
// leader if it knows one.
func (g *Gateway) handleSubmitResponse(now eventloop.Micros, from string, m *schema.SubmitResponse, effects eventloop.Effects) {
	if len(m.Results) == 0 {
		g.redirectSubmissions(now, from, m, effects)
		return
	}
	g.setLeader(m.Queue, m.Leader)
	incarnation := g.incarnation
	var lost []*submission
	for _, outcome := range m.Results {
		lost = append(lost, g.handleSubmitResult(now, m.Queue, outcome, effects)...)
	}
	// An outcome may have restarted all sessions, in a new incarnation. The clients of the
	// old sessions were answered then, so the lost submissions aren't resent.
	if len(lost) > 0 && g.incarnation == incarnation {
		g.sendSubmissions(now, m.Queue, lost, effects)
	}
}

// redirectSubmissions sends the misrouted submissions of a queue to the leader that a response
// names, or postpones this to the next tick if minRedirectInterval hasn't passed since the
// last redirect.
func (g *Gateway) redirectSubmissions(now eventloop.Micros, from string, m *schema.SubmitResponse, effects eventloop.Effects) {
	if from != "" && m.Leader != from {
		g.leadershipDeniedAt[queueNode{m.Queue, from}] = now
	}
	if !g.isPlausibleLeader(now, m.Leader) {
		g.clearLeader(now, m.Queue)
		return
	}
	g.setLeader(m.Queue, m.Leader)
	// During an election two nodes may each name the other as the leader. The minimum
	// interval keeps submissions from looping between them.
	if now-g.redirectedAt[m.Queue] <= minRedirectInterval {
		g.redirectDue[m.Queue] = true
		return
	}
	g.redirectedAt[m.Queue] = now
	if submissions := g.misrouted(m.Queue); len(submissions) > 0 {
		g.sendSubmissions(now, m.Queue, submissions, effects)
	}
}

// handleSubmitResult confirms one submission, and returns the submissions of its session
// that were lost in transit and must be resent.
func (g *Gateway) handleSubmitResult(now eventloop.Micros, queue string, outcome *schema.SubmitResult, effects eventloop.Effects) []*submission {
	// Sessions of other gateways and of former incarnations may have the same client names
	// and numbers as sessions of this one.
	if outcome.Session == nil || outcome.Session.Gateway != g.id || outcome.Session.Incarnation != g.incarnation {
		return nil
	}
	s := g.sessionsByID[sessionKey(queue, outcome.Session.Client)]
	if s == nil {
		return nil
	}
	confirmed, lost := s.confirm(outcome.Number)
	if confirmed == nil {
		return nil
	}
	g.unconfirmedCount--
	g.unconfirmedByQueue[queue]--
	g.throughputOf(gatewayThroughput).done++
	g.throughputOf(queue).done++
	if confirmed.requestID != 0 {
		delete(g.submissionsByRequest, confirmed.requestID)
		effects.Respond(confirmed.requestID, outcomeResponse(outcome))
	}
	if outcome.Code == http.StatusGone {
		// The queue has declared this gateway dead and dropped its sessions.
		g.restartSessions(now, effects)
		return nil
	}
	return lost
}

// outcomeResponse returns the response to the client of a confirmed submission. The outcome is
// unknown if the queue reports neither an error nor a job.
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
