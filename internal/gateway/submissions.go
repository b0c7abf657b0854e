package gateway

// Job submissions: numbered in their client's session, and resent until confirmed.

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
	enqueue   *schema.Enqueue
	requestID uint64 // of the client that waits; 0: none does any more
	sentAt    eventloop.Micros
	sentTo    string
}

// handleSubmit accepts a job or rejects it. With isConfirmed, a queue or key that our
// copy of the cluster state lacks doesn't exist. A rejection is final, and so comes before the
// job has a number.
func (g *Gateway) handleSubmit(now eventloop.Micros, m SubmitJob, isConfirmed bool, effects eventloop.Effects) {
	unrouted := m // routed anew when it is resumed
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
	if fault := exceedsLargestWorker(g.values, m.Queue, m.Job); fault != nil {
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

// enqueue numbers a tenant's job in its session and sends it.
func (g *Gateway) enqueue(now eventloop.Micros, s *session, m SubmitJob, tenant string, effects eventloop.Effects) {
	pending := &submission{
		requestID: m.RequestID,
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

// applyDefaultAttempts sets the queue's number of attempts where a step states none. The
// digest is of the job as the client gave it, so a resend is recognised whatever the
// configuration has become.
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

// exceedsLargestWorker finds a task that fits on no worker of the configuration; nil:
// none. The workers of a pool aren't configured, so for a queue with one the scheduler
// decides.
func exceedsLargestWorker(values *clusterstate.Values, queue string, job *schema.Job) *schema.Error {
	if values.Text("queue", queue, "pool") != "" {
		return nil
	}
	cores, memory := values.Fleet("worker_cores_milli"), values.Fleet("worker_memory_mb")
	for k, step := range job.Steps {
		field := "steps[" + strconv.Itoa(k) + "]."
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

// sendSubmissions sends submissions of one queue to its leader in one message.
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

// sendDueRedirects sends queues' submissions to leaders that became known since.
func (g *Gateway) sendDueRedirects(now eventloop.Micros, effects eventloop.Effects) {
	for _, queue := range slices.Sorted(maps.Keys(g.redirectDue)) {
		delete(g.redirectDue, queue)
		g.redirectedAt[queue] = now
		if submissions := g.misrouted(queue); len(submissions) > 0 {
			g.sendSubmissions(now, queue, submissions, effects)
		}
	}
}

// resendOverdue sends submissions again that weren't confirmed in time. Their leader may
// be gone, so they go to whichever node may know a new one.
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

// misrouted returns a queue's submissions that were last sent to another node than the
// one believed to lead it now, or to that one before it came to lead.
func (g *Gateway) misrouted(queue string) []*submission {
	leader := g.leaders[queue]
	deniedAt, wasDenied := g.leadershipDeniedAt[queueNode{queue, leader}]
	return g.selectUnconfirmed(queue, func(pending *submission) bool {
		return pending.sentTo != leader || wasDenied && pending.sentAt < deniedAt
	})
}

// selectUnconfirmed returns a batch of a queue's unconfirmed submissions, ordered by
// client and number.
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

// handleSubmitResponse takes the outcomes of submissions from a queue's leader. A response
// without outcomes is a redirect to the leader that it names, if it names one.
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
	// An outcome may have ended all sessions: their submissions were answered then.
	if len(lost) > 0 && g.incarnation == incarnation {
		g.sendSubmissions(now, m.Queue, lost, effects)
	}
}

func (g *Gateway) redirectSubmissions(now eventloop.Micros, from string, m *schema.SubmitResponse, effects eventloop.Effects) {
	if from != "" && m.Leader != from {
		g.leadershipDeniedAt[queueNode{m.Queue, from}] = now
	}
	if !g.isPlausibleLeader(now, m.Leader) {
		g.clearLeader(now, m.Queue)
		return
	}
	g.setLeader(m.Queue, m.Leader)
	// While a leader is being elected, two nodes may name each other: the interval
	// keeps submissions from looping between them.
	if now-g.redirectedAt[m.Queue] <= minRedirectInterval {
		g.redirectDue[m.Queue] = true
		return
	}
	g.redirectedAt[m.Queue] = now
	if submissions := g.misrouted(m.Queue); len(submissions) > 0 {
		g.sendSubmissions(now, m.Queue, submissions, effects)
	}
}

// handleSubmitResult confirms one submission, and returns those of its session to be resent.
func (g *Gateway) handleSubmitResult(now eventloop.Micros, queue string, outcome *schema.SubmitResult, effects eventloop.Effects) []*submission {
	// Sessions and numbers of other gateways may be equal to ours.
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
		// The queue had declared this gateway dead and forgotten its sessions.
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
