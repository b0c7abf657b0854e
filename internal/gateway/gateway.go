// Package gateway owns what a front does for callers, workers and operators:
// it numbers each client session's submissions, resends what isn't confirmed,
// and carries other requests to whoever leads.
package gateway

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

// Pace is the tick of the table.
const Pace = 50 * eventloop.Milli

const (
	resendSpan   = 700 * eventloop.Milli // an unconfirmed submission is sent again after this
	redirectSpan = 40 * eventloop.Milli  // between two redirects of one thing
	retrySpan    = 400 * eventloop.Milli // another request is sent again after this
	parkSpan     = 500 * eventloop.Milli // a request for an unknown queue waits so long for the cluster state's leader
	maxParked    = 256
	storeSpan    = 1200 * eventloop.Milli // a store unheard for longer is asked only for want of others
	askSpan      = 250 * eventloop.Milli  // between looks at the cluster state
	newSpan      = 2 * eventloop.Second   // after a queue lost its leader the cluster state is looked at more often
	quietSpan    = 30 * eventloop.Second  // a client session that rests this long is ended
	frozenSpan   = 20 * eventloop.Second  // after a longer pause this front starts afresh
	wordSpan     = eventloop.Second       // a front that saw no cluster state for so long isn't ready, and takes nothing new
	freshSpan    = 5 * eventloop.Second   // and after so long gives up what it has taken
	maxPending   = 4096                   // requests of all kinds at once
	rateSpan     = eventloop.Second       // over which what a queue gets done is counted
	longestRetry = 30                     // seconds
	maxResend    = 64                     // submissions resent a queue and tick
	quietedMost  = 64
	ledSpan      = 300 * eventloop.Milli // a queue without a leader for so long takes no new hand-ins here
)

// HandIn is a submission from HTTP. Where no queue is named, host and path lead to
// it by the plan's entries, and what follows the prefix is the job's name.
type HandIn struct {
	Request  uint64
	Queue    string
	Host     string
	Path     string
	Client   string
	Name     string
	Digest   []byte
	Job      *schema.Job
	Deadline eventloop.Micros
}

// Ask is any other request that a group's leader answers. Where no group is
// named, host and path lead to a queue as for HandIn.
type Ask struct {
	Request  uint64
	Kind     string
	Group    string
	Host     string
	Path     string
	Name     string
	After    string
	Most     uint32
	Body     []byte
	Deadline eventloop.Micros
}

// PollIn is a worker's announce.
type PollIn struct {
	Request  uint64
	Worker   string
	Announce *schema.Announce
	Deadline eventloop.Micros
}

// Ready asks whether this front can serve.
type Ready struct{ Request uint64 }

// Fronts asks for all fronts this one knows.
type Fronts struct{ Request uint64 }

// Forget says that nobody waits for a request any more.
type Forget struct{ Request uint64 }

// Warned says that this process is to leave.
type Warned struct{}

// Answer goes back to whoever waits.
type Answer struct {
	Code  int32
	Body  []byte
	Retry int // seconds, for 429 and 503
}

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

type request struct {
	ask        Ask
	sent       eventloop.Micros
	to         string
	redirected eventloop.Micros
	isOwed     bool
}

type queueClient struct{ queue, client string }

type queueStore struct{ queue, store string }

// Table is the gateway's table.
type Table struct {
	id         string
	boot       uint64
	epoch      uint64 // of sessions made here, so that none is ever taken up again
	rng        *rand.Rand
	state      *schema.ClusterState
	values     *clusterstate.Values
	heardAt    eventloop.Micros // last word of the cluster state
	leaders    map[string]string
	unled      map[string]eventloop.Micros // queues that nobody is known to lead, and since when
	waits      map[string]*schema.WaitNote
	roll       *membership.Roll
	sessions   map[queueClient]*session
	byId       map[string]*session
	requests   map[uint64]*request
	polls      map[uint64]PollIn
	met        map[string]eventloop.Micros
	quitting   map[string][]*schema.Session
	parked     []any // requests for queues that our copy of the plan lacks
	parkedAt   eventloop.Micros
	pending    int
	queueHas   map[string]int         // unconfirmed by queue
	asked      map[uint64]*submission // by request
	askedAt    eventloop.Micros
	redirected map[string]eventloop.Micros     // by queue
	owed       map[string]bool                 // queues whose redirect waits for the next tick
	denied     map[queueStore]eventloop.Micros // when a store last said that it doesn't lead a queue
	last       eventloop.Micros
	paces      map[string]*pace
	wasFresh   bool
	isWarned   bool
	isLocal    bool // the cluster state is in this process
}

// New makes the table of the front with this id and boot.
func New(id string, boot uint64, isLocal bool, rng *rand.Rand) *Table {
	return &Table{
		id: id, boot: boot, rng: rng, isLocal: isLocal, state: &schema.ClusterState{}, values: clusterstate.Read(nil),
		leaders: map[string]string{}, unled: map[string]eventloop.Micros{}, waits: map[string]*schema.WaitNote{}, sessions: map[queueClient]*session{}, byId: map[string]*session{},
		requests: map[uint64]*request{}, polls: map[uint64]PollIn{}, met: map[string]eventloop.Micros{}, quitting: map[string][]*schema.Session{},
		queueHas: map[string]int{}, asked: map[uint64]*submission{}, redirected: map[string]eventloop.Micros{}, owed: map[string]bool{}, denied: map[queueStore]eventloop.Micros{},
		paces: map[string]*pace{},
	}
}

func (t *Table) Step(now eventloop.Micros, mail eventloop.Mail, out eventloop.Out) {
	switch body := mail.Body.(type) {
	case eventloop.Tick:
		t.tick(now, out)
	case HandIn:
		t.handIn(now, body, false, out)
	case Ask:
		t.ask(now, body, false, out)
	case PollIn:
		t.poll(now, body, out)
	case Ready:
		t.ready(now, body, out)
	case Fronts:
		t.fronts(now, body, out)
	case Forget:
		t.forget(body.Request)
	case *schema.Applied:
		t.applied(now, mail.From, body, out)
	case *schema.RequestReply:
		t.replied(now, body, out)
	case *schema.PollReply:
		t.polled(body, out)
	case *schema.ClusterStateTell:
		t.clusterState(now, mail.From, body, out)
	case *membership.Roll:
		t.roll = body
		for group, id := range t.leaders {
			if known, isKnown := body.Known[id]; isKnown && known.Member.Leaving {
				t.unlead(now, group)
			}
		}
	case Warned:
		t.isWarned = true
	}
}

// Fault encodes an error for callers.
func Fault(code, message, field string) []byte {
	data, err := json.Marshal(&schema.Fault{Code: code, Message: message, Field: field})
	if err != nil {
		return nil
	}
	return data
}

func (t *Table) refuse(request uint64, code int32, name, message string, retry int, out eventloop.Out) {
	out.Answer(request, Answer{Code: code, Body: Fault(name, message, ""), Retry: retry})
}

// --- the cluster state ---

func (t *Table) clusterState(now eventloop.Micros, from string, m *schema.ClusterStateTell, out eventloop.Out) {
	if m.State != nil && m.State.Version >= t.state.Version {
		t.state, t.values = m.State, t.values.Renew(m.State.Plan)
		t.countUnled(now)
	}
	// Our own replica tells of every change, also while it is still catching up
	// after a start; only an answer comes from one that has.
	if m.Leaders != nil && m.Version >= t.state.Version {
		t.heardAt = now
	}
	isNews := false
	for queue, leader := range m.Leaders {
		if leader != t.leaders[queue] && t.mayLead(now, leader) {
			isNews = true
			t.lead(queue, leader)
			if t.queueHas[queue] > 0 {
				t.owed[queue] = true
			}
		}
	}
	if isNews {
		// What was asked of somebody else needn't wait until it is asked again.
		for _, each := range t.requests {
			if leader, isKnown := m.Leaders[each.ask.Group]; isKnown && leader == t.leaders[each.ask.Group] && each.to != leader {
				each.isOwed = true
			}
		}
	}
	for _, note := range m.Waits {
		if note.Queue != "" {
			t.waits[note.Queue] = note
			t.pace("live/"+note.Queue).count(now, note.Ended)
		}
	}
	if from != "" && m.Leaders[clusterstate.Group] == from {
		t.unpark(now, out)
	}
}

// --- who leads ---

func (t *Table) lead(group, id string) {
	t.leaders[group] = id
	delete(t.unled, group)
}

func (t *Table) unlead(now eventloop.Micros, group string) {
	delete(t.leaders, group)
	if _, isKnown := t.unled[group]; !isKnown && clusterstate.Place(t.state, group) != nil {
		t.unled[group] = now
	}
}

// askRest is how long to wait between two looks at the cluster state: less while
// somebody may just have come to lead a queue.
func (t *Table) askRest(now eventloop.Micros) eventloop.Micros {
	// Whoever has no word serves nobody.
	if t.heardAt == 0 || now-t.heardAt > wordSpan/2 {
		return 2 * Pace
	}
	for _, since := range t.unled {
		if now-since < newSpan {
			return Pace
		}
	}
	return askSpan
}

// countUnled starts the clock of queues that are new here, and forgets it of
// those that are gone.
func (t *Table) countUnled(now eventloop.Micros) {
	for _, place := range t.state.Queues {
		if _, isKnown := t.unled[place.Queue]; !isKnown && t.leaders[place.Queue] == "" {
			t.unled[place.Queue] = now
		}
	}
	for queue := range t.unled {
		if clusterstate.Place(t.state, queue) == nil {
			delete(t.unled, queue)
		}
	}
}

// isUnled tells whether nobody has been known to lead a queue for too long to
// take more for it: what has a number can't be turned away any more.
func (t *Table) isUnled(now eventloop.Micros, queue string) bool {
	since, isKnown := t.unled[queue]
	return isKnown && now-since > ledSpan
}

// --- queues that this front doesn't know ---

// park holds a request for a queue that our copy of the plan lacks until the
// cluster state's leader has said what the plan is now: whoever has just put a table
// may use it at once, and who asks for a queue that isn't there is told so
// within a round trip.
func (t *Table) park(now eventloop.Micros, mail any, out eventloop.Out) bool {
	if len(t.parked) >= maxParked {
		return false
	}
	if len(t.parked) == 0 {
		t.parkedAt = now
		out.Send(t.leader(now, clusterstate.Group), &schema.ClusterStateAsk{Version: t.state.Version})
	}
	t.parked = append(t.parked, mail)
	return true
}

func (t *Table) unpark(now eventloop.Micros, out eventloop.Out) {
	list := t.parked
	t.parked = nil
	for _, mail := range list {
		switch m := mail.(type) {
		case HandIn:
			t.handIn(now, m, true, out)
		case Ask:
			t.ask(now, m, true, out)
		}
	}
}

// unknownQueue answers for a queue that isn't placed, or parks the request first.
// The queue is empty where host and path lead to none.
func (t *Table) unknownQueue(now eventloop.Micros, request uint64, queue string, mail any, isFinal bool, out eventloop.Out) {
	if !isFinal && t.isFresh(now) && t.park(now, mail, out) {
		return
	}
	switch {
	// Before the first plan nobody knows what queues there are to be.
	case !t.isFresh(now) || t.state.Plan.GetGeneration() == 0 || t.values.HasQueue(queue):
		t.refuse(request, 503, "not_ready", "this front doesn't hold the plan yet, or the queue is being made", 1, out)
	case queue == "":
		out.Answer(request, Answer{Code: 404, Body: Fault("unknown_queue", "the plan has no queue for this host and path", "path")})
	default:
		out.Answer(request, Answer{Code: 404, Body: Fault("unknown_queue", "the plan has no queue "+strconv.Quote(queue), "queue")})
	}
}

// isFresh tells whether this front has had word of the cluster state lately; a young
// process has had none at all.
func (t *Table) isFresh(now eventloop.Micros) bool {
	return t.heardAt > 0 && now-t.heardAt <= freshSpan
}

// hasWord tells whether this front had word of the cluster state just now. One that
// hadn't is cut off, most likely: what it took would wait here in vain, while
// another front could serve it.
func (t *Table) hasWord(now eventloop.Micros) bool { return t.heardAt > 0 && now-t.heardAt <= wordSpan }

// --- hand-ins ---

func (t *Table) handIn(now eventloop.Micros, m HandIn, isFinal bool, out eventloop.Out) {
	// What is parked must be looked up anew, so the mail stays as it came.
	mail := m
	if m.Queue == "" {
		m.Queue, m.Name, _ = t.values.QueueAt(m.Host, m.Path)
	}
	if !t.values.HasQueue(m.Queue) || clusterstate.Place(t.state, m.Queue) == nil {
		t.unknownQueue(now, m.Request, m.Queue, mail, isFinal, out)
		return
	}
	if !GoodName(m.Name) {
		out.Answer(m.Request, Answer{Code: 422, Body: Fault("bad_name", "letters, digits, '.', '_', ':' and '-', at most 128", "name")})
		return
	}
	if !t.hasWord(now) {
		t.notReady(now, m.Request, out)
		return
	}
	if fault := tooLarge(t.values, m.Queue, m.Job); fault != nil {
		data, _ := json.Marshal(fault)
		out.Answer(m.Request, Answer{Code: 422, Body: data})
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
	case note != nil && int64(note.Live) >= t.values.Fleet("live_jobs"):
		t.turnAway(now, m, "queue_full", "the queue has as many live jobs as the plan allows", "live/"+m.Queue, out)
		return
	}
	if s == nil {
		t.epoch++
		s = &session{
			queue: m.Queue, next: 1,
			id: &schema.Session{Gateway: t.id, Boot: t.boot, Client: m.Client + "~" + strconv.FormatUint(t.epoch, 10)},
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

// turnAway says no before the submission has a number, and when there should be
// room: each who is told so is given the next turn, at the pace at which room
// has been coming of late.
func (t *Table) turnAway(now eventloop.Micros, m HandIn, code, message, what string, out eventloop.Out) {
	t.refuse(m.Request, 429, code, message, t.pace(what).turn(now), out)
}

// pace is how fast something gets done, and who is expected back.
type pace struct {
	done   uint64 // so far
	before uint64 // at the last look
	at     eventloop.Micros
	rate   float64          // a second
	next   eventloop.Micros // when the last who was told to come back may
}

func (t *Table) pace(what string) *pace {
	if t.paces[what] == nil {
		t.paces[what] = &pace{}
	}
	return t.paces[what]
}

// count takes in how much has been done, in all, by now.
func (p *pace) count(now eventloop.Micros, done uint64) {
	p.done = max(p.done, done)
	if p.at == 0 {
		p.at, p.before = now, p.done
		return
	}
	if span := now - p.at; span >= rateSpan {
		rate := float64(p.done-p.before) * float64(eventloop.Second) / float64(span)
		p.rate = (p.rate + rate) / 2
		p.at, p.before = now, p.done
	}
}

// turn gives the next turn, in whole seconds from now.
func (p *pace) turn(now eventloop.Micros) int {
	// Where nothing gets done, nobody knows; a few seconds are worth a try.
	wait := 5 * eventloop.Second
	if p.rate > 0.2 {
		wait = eventloop.Micros(float64(eventloop.Second) / p.rate)
	}
	p.next = min(max(p.next, now)+wait, now+longestRetry*eventloop.Second)
	return max(1, int((p.next-now+eventloop.Second-1)/eventloop.Second))
}

// notReady is the answer of a front that has no word of the cluster state: the longer
// it lasts, the less soon it is worth asking here again.
func (t *Table) notReady(now eventloop.Micros, request uint64, out eventloop.Out) {
	retry := min(max(int((now-t.heardAt)/(2*eventloop.Second)), 1), 10)
	t.refuse(request, 503, "not_ready", "this front has no fresh word of the cluster state: ask another", retry, out)
}

// giveUp answers at once, when this front has lost touch, all that it can't
// carry any more. What was handed in has its number and goes on being resent,
// so whether it takes effect is unknown.
func (t *Table) giveUp(now eventloop.Micros, out eventloop.Out) {
	for _, id := range slices.Sorted(maps.Keys(t.asked)) {
		t.asked[id].request = 0
		delete(t.asked, id)
		out.Answer(id, unknown())
	}
	for _, id := range slices.Sorted(maps.Keys(t.requests)) {
		switch t.requests[id].ask.Kind {
		case "cancel", "clusterstate":
			out.Answer(id, unknown())
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
	attempts := values.Of("queue", queue, "attempts")
	if !values.IsStated("queue", queue, "attempts") || attempts <= 1 {
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
func tooLarge(values *clusterstate.Values, queue string, job *schema.Job) *schema.Fault {
	if values.Text("queue", queue, "pool") != "" {
		return nil
	}
	cores, memory := values.Fleet("worker_cores_milli"), values.Fleet("worker_memory_mb")
	for k, step := range job.Steps {
		field := "steps[" + strconv.Itoa(k) + "]."
		if step.CoresMilli > cores {
			return &schema.Fault{Code: "never_fits", Field: field + "cores_milli", Message: "no worker has more than " + strconv.FormatInt(cores, 10) + " thousandths of a core (worker_cores_milli)"}
		}
		if step.MemoryMb > memory {
			return &schema.Fault{Code: "never_fits", Field: field + "memory_mb", Message: "no worker has more than " + strconv.FormatInt(memory, 10) + " megabytes (worker_memory_mb)"}
		}
	}
	return nil
}

func (t *Table) send(now eventloop.Micros, queue string, list []*submission, out eventloop.Out) {
	to := t.leader(now, queue)
	m := &schema.Submit{Queue: queue}
	for _, each := range list {
		each.sent, each.to = now, to
		s := t.byId[queue+"/"+each.enqueue.Session.Client]
		e := each.enqueue
		m.Enqueues = append(m.Enqueues, &schema.Enqueue{
			Session: e.Session, Number: e.Number, Name: e.Name, Digest: e.Digest, Job: e.Job, Lowest: s.lowest(),
		})
	}
	if to != "" {
		out.Send(to, m)
	}
}

// leader is who is believed to lead a queue, or somebody who may know.
func (t *Table) leader(now eventloop.Micros, group string) string {
	if id := t.leaders[group]; id != "" {
		return id
	}
	return t.someStore(now)
}

// mayLead tells whether somebody named as leader is worth believing in: whoever
// names one that leaves, or that nobody has heard of for a while, has old word.
func (t *Table) mayLead(now eventloop.Micros, id string) bool {
	if id == "" {
		return false
	}
	if t.roll == nil {
		return true
	}
	known, isKnown := t.roll.Known[id]
	return !isKnown || !known.Member.Leaving && t.roll.Live(id, now, storeSpan)
}

// someStore is any store, one that was heard of lately and stays if there is.
func (t *Table) someStore(now eventloop.Micros) string {
	if t.roll == nil {
		return ""
	}
	var all, likely []string
	for _, id := range slices.Sorted(maps.Keys(t.roll.Known)) {
		known := t.roll.Known[id]
		if !known.Member.Stores {
			continue
		}
		all = append(all, id)
		if t.roll.Live(id, now, storeSpan) && !known.Member.Leaving {
			likely = append(likely, id)
		}
	}
	if len(likely) > 0 {
		all = likely
	}
	if len(all) == 0 {
		return ""
	}
	return all[t.rng.IntN(len(all))]
}

func (t *Table) applied(now eventloop.Micros, from string, m *schema.Applied, out eventloop.Out) {
	if len(m.Outcomes) == 0 && from != "" && m.Leader != from {
		t.denied[queueStore{m.Queue, from}] = now
	}
	if len(m.Outcomes) > 0 || t.mayLead(now, m.Leader) {
		t.lead(m.Queue, m.Leader)
	} else if len(m.Outcomes) == 0 {
		// It leads no more and knows nobody: ask around.
		t.unlead(now, m.Queue)
	}
	var again []*submission
	for _, outcome := range m.Outcomes {
		again = append(again, t.confirmed(now, m.Queue, outcome, out)...)
	}
	if len(m.Outcomes) == 0 && t.leaders[m.Queue] != "" {
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
func (t *Table) confirmed(now eventloop.Micros, queue string, outcome *schema.Outcome, out eventloop.Out) []*submission {
	if outcome.Session == nil || outcome.Session.Boot != t.boot {
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
		out.Answer(each.request, answerOf(outcome))
	}
	if outcome.Code == 410 {
		// This front had been given up as dead. Its numbers mean nothing any
		// more; what isn't confirmed is unknown, and callers resend.
		t.restart(now, out)
		return nil
	}
	return lost
}

func answerOf(outcome *schema.Outcome) Answer {
	var body []byte
	switch {
	case outcome.Fault != nil:
		body, _ = json.Marshal(outcome.Fault)
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

// elsewhere lists a queue's submissions that were last sent to another than who
// is now believed to lead it, or to the same before it came to.
func (t *Table) elsewhere(queue string) []*submission {
	leader := t.leaders[queue]
	denied, hasDenied := t.denied[queueStore{queue, leader}]
	return t.unconfirmed(queue, func(each *submission) bool { return each.to != leader || hasDenied && each.sent < denied })
}

// restart gives up every session: whatever they hold is unknown.
func (t *Table) restart(now eventloop.Micros, out eventloop.Out) {
	queues := map[string]bool{}
	for _, s := range t.sessions {
		queues[s.queue] = true
		for _, each := range s.waiting {
			if each.request != 0 {
				out.Answer(each.request, unknown())
			}
		}
	}
	for _, queue := range sorted(queues) {
		out.Send(t.leader(now, queue), &schema.Quit{Queue: queue, Boots: []*schema.Gone{{Gateway: t.id, Boot: t.boot}}})
	}
	t.sessions, t.byId, t.pending = map[queueClient]*session{}, map[string]*session{}, 0
	t.queueHas, t.asked = map[string]int{}, map[uint64]*submission{}
	t.boot += 1 << 32
}

// --- other requests ---

func (t *Table) ask(now eventloop.Micros, m Ask, isFinal bool, out eventloop.Out) {
	if len(t.requests) >= maxPending {
		t.refuse(m.Request, 429, "front_full", "this front has too much in hand", t.pace("").turn(now), out)
		return
	}
	// The cluster state's leader may just be missing: an operator's call waits for it.
	isLost := !t.hasWord(now) && m.Group != clusterstate.Group || !t.isFresh(now)
	if t.heardAt > 0 && isLost {
		t.notReady(now, m.Request, out)
		return
	}
	mail := m
	if m.Group == "" {
		m.Group, m.Name, _ = t.values.QueueAt(m.Host, m.Path)
	}
	if m.Group != clusterstate.Group && clusterstate.Place(t.state, m.Group) == nil {
		t.unknownQueue(now, m.Request, m.Group, mail, isFinal, out)
		return
	}
	each := &request{ask: m}
	t.requests[m.Request] = each
	t.carry(now, each, out)
}

func (t *Table) carry(now eventloop.Micros, each *request, out eventloop.Out) {
	m := each.ask
	each.sent, each.to = now, t.leader(now, m.Group)
	if to := each.to; to != "" {
		out.Send(to, &schema.Request{Id: m.Request, Kind: m.Kind, Group: m.Group, Name: m.Name, After: m.After, Most: m.Most, Body: m.Body})
	}
}

func (t *Table) replied(now eventloop.Micros, m *schema.RequestReply, out eventloop.Out) {
	each := t.requests[m.Id]
	if each == nil {
		return
	}
	if m.Code != 0 {
		delete(t.requests, m.Id)
		if m.Leader != "" {
			t.lead(m.Group, m.Leader)
		}
		out.Answer(m.Id, Answer{Code: m.Code, Body: m.Body})
		return
	}
	if m.Leader != each.to && t.mayLead(now, m.Leader) {
		t.lead(m.Group, m.Leader)
		if each.isOwed = now-each.redirected <= redirectSpan; !each.isOwed {
			each.redirected = now
			t.carry(now, each, out)
		}
		return
	}
	// Whoever said so may come to lead: then it is asked again.
	each.to = ""
	t.unlead(now, m.Group)
}

// --- workers ---

func (t *Table) poll(now eventloop.Micros, m PollIn, out eventloop.Out) {
	ward := clusterstate.WardOf(t.state, m.Worker)
	if ward == nil && t.state.Version > 0 && now-t.met[m.Worker] > eventloop.Second {
		t.met[m.Worker] = now
		if to := t.leader(now, clusterstate.Group); to != "" {
			command := &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_Meet{Meet: &schema.Meet{Worker: m.Worker}}}
			out.Send(to, &schema.Request{Kind: "clusterstate", Group: clusterstate.Group, Body: marshal(command)})
		}
	}
	if ward == nil || ward.Scheduler == "" || len(t.polls) >= maxPending {
		t.refuse(m.Request, 503, "no_ward", "nobody wards this worker yet", 1, out)
		return
	}
	t.polls[m.Request] = m
	out.Send(ward.Scheduler, &schema.Poll{Id: m.Request, Worker: m.Worker, Announce: m.Announce})
}

func (t *Table) polled(m *schema.PollReply, out eventloop.Out) {
	if _, isKnown := t.polls[m.Id]; !isKnown {
		return
	}
	delete(t.polls, m.Id)
	if m.Orders == nil {
		t.refuse(m.Id, 503, "no_ward", "the ward is elsewhere or not sure of itself", 1, out)
		return
	}
	data, err := json.Marshal(m.Orders)
	if err != nil {
		t.refuse(m.Id, 500, "internal", err.Error(), 1, out)
		return
	}
	out.Answer(m.Id, Answer{Code: 200, Body: data})
}

// --- time ---

func (t *Table) forget(id uint64) {
	delete(t.requests, id)
	delete(t.polls, id)
	if each := t.asked[id]; each != nil {
		// The submission itself has a number and goes on being resent: a gap
		// would hold up all that comes after it.
		each.request = 0
		delete(t.asked, id)
	}
}

func (t *Table) tick(now eventloop.Micros, out eventloop.Out) {
	if t.last > 0 && now-t.last > frozenSpan {
		// Others may have given us up meanwhile, and our callers have.
		t.restart(now, out)
	}
	t.last = now
	// A replica of our own may not be one of the voters, as after its disk was
	// lost, or may be cut off from them: then others are asked.
	isLate := t.heardAt == 0 || now-t.heardAt > wordSpan/2
	if !t.isLocal || isLate || t.state.Version == 0 || len(t.leaders) == 0 {
		t.askClusterState(now, out)
	} else if now-t.askedAt >= t.askRest(now) {
		t.askedAt = now
		out.Send(t.id, &schema.ClusterStateAsk{Version: t.state.Version})
	}
	queues := map[string]bool{}
	for key, s := range t.sessions {
		if len(s.waiting) > 0 {
			queues[key.queue] = true
		}
	}
	for _, queue := range sorted(t.owed) {
		delete(t.owed, queue)
		t.redirected[queue] = now
		if list := t.elsewhere(queue); len(list) > 0 {
			t.send(now, queue, list, out)
		}
	}
	for _, queue := range sorted(queues) {
		isOverdue := func(each *submission) bool { return now-each.sent >= resendSpan }
		if list := t.unconfirmed(queue, isOverdue); len(list) > 0 {
			// Whoever doesn't answer may be gone: ask around.
			t.unlead(now, queue)
			t.send(now, queue, list, out)
		}
	}
	if len(t.parked) > 0 && now-t.parkedAt > parkSpan {
		t.unpark(now, out)
	}
	for _, p := range t.paces {
		p.count(now, p.done)
	}
	isFresh := t.isFresh(now)
	if t.wasFresh && !isFresh {
		t.giveUp(now, out)
	}
	t.wasFresh = isFresh
	t.tickRequests(now, out)
	t.endQuiet(now, out)
	for id, m := range t.polls {
		if now > m.Deadline {
			delete(t.polls, id)
		}
	}
	for key, at := range t.denied {
		if now-at > resendSpan {
			delete(t.denied, key)
		}
	}
	for worker, at := range t.met {
		if now-at > 10*eventloop.Second {
			delete(t.met, worker)
		}
	}
}

func sorted(set map[string]bool) []string {
	return slices.Sorted(maps.Keys(set))
}

func (t *Table) askClusterState(now eventloop.Micros, out eventloop.Out) {
	if now-t.askedAt < t.askRest(now) {
		return
	}
	t.askedAt = now
	if to := t.someStore(now); to != "" {
		out.Send(to, &schema.ClusterStateAsk{Version: t.state.Version})
	}
}

func (t *Table) tickRequests(now eventloop.Micros, out eventloop.Out) {
	var ids []uint64
	for id, each := range t.requests {
		if now-each.sent > retrySpan || each.isOwed {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(a, b int) bool { return ids[a] < ids[b] })
	for _, id := range ids {
		each := t.requests[id]
		if now > each.ask.Deadline {
			delete(t.requests, id)
			out.Answer(id, unknown())
			continue
		}
		if !each.isOwed {
			t.unlead(now, each.ask.Group)
		}
		each.isOwed = false
		t.carry(now, each, out)
	}
}

// endQuiet ends sessions of clients that rest, by our own word, so that the
// queue doesn't hold them for ever.
func (t *Table) endQuiet(now eventloop.Micros, out eventloop.Out) {
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
		out.Send(t.leader(now, queue), &schema.Quit{Queue: queue, Sessions: list})
	}
}

// fronts lists the fronts heard of lately, so that whoever knows one of them
// finds the others.
func (t *Table) fronts(now eventloop.Micros, m Fronts, out eventloop.Out) {
	list := &schema.FrontList{Fronts: []*schema.FrontNote{}}
	if t.roll != nil {
		ids := slices.Sorted(maps.Keys(t.roll.Known))
		for _, id := range ids {
			if member := t.roll.Known[id].Member; member.Role == schema.Role_ROLE_SERVER && t.roll.Live(id, now, freshSpan) {
				list.Fronts = append(list.Fronts, &schema.FrontNote{Address: member.Outer, Cell: member.Cell, Leaving: member.Leaving})
			}
		}
	}
	data, err := json.Marshal(list)
	if err != nil {
		t.refuse(m.Request, 500, "internal", err.Error(), 0, out)
		return
	}
	out.Answer(m.Request, Answer{Code: 200, Body: data})
}

// ready tells whether this front can take requests and carry them.
func (t *Table) ready(now eventloop.Micros, m Ready, out eventloop.Out) {
	switch {
	case t.isWarned:
		t.refuse(m.Request, 503, "leaving", "this process is leaving", 0, out)
	case !t.hasWord(now):
		t.refuse(m.Request, 503, "not_ready", "no fresh word of the cluster state", 1, out)
	default:
		out.Answer(m.Request, Answer{Code: 200, Body: []byte(`{"ready":true}`)})
	}
}
