package sim

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/encoding/protojson"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/gateway"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

const (
	cutSpan      = 20 * eventloop.Second
	inForceSpan  = 2 * eventloop.Second         // a new plan is in force everywhere
	wayMost      = 10 * eventloop.Millisecond   // nothing is on its way for longer
	atOnce       = 25 * eventloop.Millisecond   // of which six are the caller's way
	youngMost    = 1100 * eventloop.Millisecond // what a process that never had word takes for a call it can't know about
	readySpan    = 600 * eventloop.Millisecond  // after a cut
	editionGap   = 1500 * eventloop.Millisecond // between two plans
	probeGap     = 510 * eventloop.Millisecond  // between two rounds of calls
	announceSpan = 1200 * eventloop.Millisecond // and a worker
	callSpan     = 3 * eventloop.Second         // a caller waits
)

// cutRun is a fleet one machine of which is cut off, while an operator goes on
// putting plans, each of which adds a queue and drops the one before, and callers try
// everything at the machine that is cut off and at one that isn't.
type cutRun struct {
	*World
	host, other *Host
	dark        eventloop.Micros // from when on the host can't have heard of anybody; 0: it can
	mended      eventloop.Micros
	acked       []acked
	announces   uint64
	isYoung     bool // it was started inside the cut
	downAt      eventloop.Micros
	downTo      eventloop.Micros
	ready       eventloop.Micros // first time after the cut
	codes       map[string]map[int32]int
	wrong       []string
}

type acked struct {
	edition uint64
	at      eventloop.Micros
}

func newCutRun(seed uint64) *cutRun {
	r := &cutRun{World: NewWorld(seed, CalmNet, 500), codes: map[string]map[int32]int{}}
	for k := range 5 {
		r.AddHost(fmt.Sprintf("keep%d", k+1), fmt.Sprintf("c%d", k%3+1), schema.Role_ROLE_SERVER, k < 3)
	}
	for k := range 3 {
		r.AddHost(fmt.Sprintf("heed%d", k+1), fmt.Sprintf("c%d", k+1), schema.Role_ROLE_CONTROLLER, false)
	}
	for _, h := range r.Hosts {
		r.After(eventloop.Micros(r.Rng.Int64N(int64(300*eventloop.Millisecond))), h.Start)
	}
	r.After(eventloop.Second, func() { r.publish(1, nil) })
	r.Run(r.Now + 6*eventloop.Second)
	return r
}

// sheet is the plan of an edition: a queue that stays, and one of its own.
func cutSheet(edition uint64, base uint64) *schema.ConfigurationUpdate {
	return &schema.ConfigurationUpdate{Version: edition, BaseVersion: base, Document: []byte(fmt.Sprint("edition ", edition)), Rows: []*schema.ConfigurationRow{
		{Kind: "queue", Name: "quick", Key: "urgency", Value: "60"},
		{Kind: "queue", Name: cutQueue(edition), Key: "urgency", Value: "10"},
	}}
}

func cutQueue(edition uint64) string { return fmt.Sprint("queue", edition) }

func (r *cutRun) call(h *Host, ask gateway.LeaderRequest, back func(sent eventloop.Micros, reply gateway.Response)) {
	sent := r.Now
	r.Ask(h, callSpan, func(request uint64, deadline eventloop.Micros) any {
		ask.RequestID, ask.Deadline = request, deadline
		return ask
	}, func(answer any) {
		reply, _ := answer.(gateway.Response)
		back(sent, reply)
	})
}

func put(sheet *schema.ConfigurationUpdate) gateway.LeaderRequest {
	return gateway.LeaderRequest{Kind: "clusterstate", Group: clusterstate.Group, Body: replica.EncodeClusterStateCommand(
		&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: sheet}}})}
}

// publish has the operator put an edition, at the machine that is cut off first, and
// after no clear answer elsewhere.
func (r *cutRun) publish(edition uint64, at *Host) {
	if at == nil {
		at = r.host
	}
	if at == nil || !at.IsUp {
		at = r.Hosts[4]
	}
	r.call(at, put(cutSheet(edition, edition-1)), func(sent eventloop.Micros, reply gateway.Response) {
		switch {
		case reply.Code == 200:
			r.acked = append(r.acked, acked{edition, r.Now})
			r.judge(at, "replace", sent, reply)
			r.After(editionGap, func() { r.publish(edition+1, nil) })
		case reply.Code == 0 || reply.Code >= 500 || reply.Code == 429:
			r.judge(at, "replace", sent, reply)
			next := cmp.Or(r.other, r.Hosts[3])
			if at == next {
				next = r.Hosts[r.Rng.IntN(5)]
			}
			r.After(100*eventloop.Millisecond, func() { r.publish(edition, next) })
		default:
			r.fail(at, "replace", sent, reply, "the only operator's order was refused")
		}
	})
}

// newest is the newest edition that was acknowledged before a moment.
func (r *cutRun) newest(at eventloop.Micros) uint64 {
	edition := uint64(0)
	for _, each := range r.acked {
		if each.at < at {
			edition = max(edition, each.edition)
		}
	}
	return edition
}

func (r *cutRun) fail(h *Host, what string, sent eventloop.Micros, reply gateway.Response, why string) {
	r.wrong = append(r.wrong, fmt.Sprintf("%s at %s, sent at %d, answered at %d (dark from %d, mended %d): %d %s: %s",
		what, h.Name, sent, r.Now, r.dark, r.mended, reply.Code, reply.Body, why))
}

// isDark tells whether the host can't have heard of anybody since a moment.
func (r *cutRun) isDark(at eventloop.Micros) bool {
	return r.dark > 0 && at >= r.dark+wayMost && (r.mended == 0 || r.Now < r.mended)
}

// judge holds what any call must keep to: nothing that rests on state is said by a
// machine that can't have heard of a majority since the call was sent, and what can't
// be known is said at once, with when to come back.
func (r *cutRun) judge(h *Host, what string, sent eventloop.Micros, reply gateway.Response) {
	if r.codes[what] == nil {
		r.codes[what] = map[int32]int{}
	}
	if h != r.host {
		return
	}
	r.codes[what][reply.Code]++
	span := r.Now - sent
	isDown := r.downAt > 0 && sent <= r.downTo+wayMost && r.Now >= r.downAt
	isUnclear := reply.Code == 0 || reply.Code == 429 || reply.Code >= 500
	switch {
	case reply.Code == 0 && !isDown:
		r.fail(h, what, sent, reply, "no answer")
	case reply.Code != 0 && isUnclear && reply.RetryAfter == 0:
		r.fail(h, what, sent, reply, "no word of when to come back")
	case r.isDark(sent) && !isUnclear:
		r.fail(h, what, sent, reply, "nobody can have confirmed that")
	case r.isDark(sent) && !r.isYoung && sent > r.dark+inForceSpan && span > atOnce:
		r.fail(h, what, sent, reply, fmt.Sprintf("took %d us", span))
	case r.isDark(sent) && r.isYoung && sent > r.downTo && span > youngMost:
		r.fail(h, what, sent, reply, fmt.Sprintf("took %d us in a young process", span))
	case r.isDark(sent) && span > inForceSpan+200*eventloop.Millisecond:
		r.fail(h, what, sent, reply, fmt.Sprintf("took %d us", span))
	}
}

// current is the edition that a refusal names.
func current(reply gateway.Response) uint64 {
	fault := &schema.Error{}
	_ = json.Unmarshal(reply.Body, fault)
	return fault.Current
}

// probe tries every call at a front.
func (r *cutRun) probe(h *Host) {
	newest := r.newest(r.Now)
	one := func(what string, ask gateway.LeaderRequest, check func(reply gateway.Response) string) {
		r.call(h, ask, func(sent eventloop.Micros, reply gateway.Response) {
			r.judge(h, what, sent, reply)
			if why := check(reply); why != "" {
				r.fail(h, what, sent, reply, why)
			}
		})
	}
	one("read", gateway.LeaderRequest{Kind: "plan", Group: clusterstate.Group}, func(reply gateway.Response) string {
		plan := &schema.Configuration{}
		if reply.Code == 200 && (protojson.Unmarshal(reply.Body, plan) != nil || plan.Version < newest) {
			return fmt.Sprintf("edition %d was acknowledged before", newest)
		}
		return ""
	})
	// Orders that are to be refused, and are so only by who knows the newest plan.
	refused := func(codes ...int32) func(reply gateway.Response) string {
		return func(reply gateway.Response) string {
			isClear := reply.Code > 0 && reply.Code < 500 && reply.Code != 429
			if isClear && (!slices.Contains(codes, reply.Code) || current(reply) < newest) {
				return fmt.Sprintf("edition %d was acknowledged before", newest)
			}
			return ""
		}
	}
	low := cutSheet(1, newest)
	low.Document = []byte("another first edition")
	one("low number", put(low), refused(412, 422))
	one("old base", put(cutSheet(1<<40, 0)), refused(412))
	one("taken before", put(cutSheet(newest, newest-1)), func(reply gateway.Response) string {
		if reply.Code != 200 && reply.Code > 0 && reply.Code < 500 && reply.Code != 429 {
			return "it was taken"
		}
		return ""
	})
	not := func(code int32, why string) func(reply gateway.Response) string {
		return func(reply gateway.Response) string {
			if reply.Code == code {
				return why
			}
			return ""
		}
	}
	one("new route", gateway.LeaderRequest{Kind: "counts", Group: cutQueue(newest)}, func(reply gateway.Response) string {
		// One that was dropped while it was asked for may be called unknown.
		if reply.Code == 404 && r.newest(r.Now) == newest && !r.isPutting(newest+1) {
			return "the queue is there"
		}
		return ""
	})
	one("no such route", gateway.LeaderRequest{Kind: "counts", Group: "none"}, not(200, "there is none"))
	one("job", gateway.LeaderRequest{Kind: "status", Group: "quick", Name: "known"}, not(404, "the job is there"))
	one("no such job", gateway.LeaderRequest{Kind: "status", Group: "quick", Name: "none"}, not(200, "there is none"))
	one("cancel", gateway.LeaderRequest{Kind: "cancel", Group: "quick", Name: "none"}, not(200, "there is none"))
	r.probeHandIns(h, newest)
	r.announces++
	announce := &schema.WorkerHeartbeat{Incarnation: 1, Seq: r.announces, CoresMilli: 1, MemoryMb: 1}
	sent := r.Now
	r.Ask(h, announceSpan, func(request uint64, deadline eventloop.Micros) any {
		return gateway.ForwardAnnouncement{RequestID: request, Worker: "w-" + h.Name, Announce: announce, Deadline: deadline}
	}, func(answer any) {
		reply, _ := answer.(gateway.Response)
		// A ward speaks under its lease, and a worker waits no longer than this.
		if reply.Code != 0 && sent > r.dark+inForceSpan {
			r.judge(h, "announce", sent, reply)
		}
	})
	r.Ask(h, callSpan, func(request uint64, _ eventloop.Micros) any { return gateway.CheckReadiness{RequestID: request} }, func(answer any) {
		if reply, _ := answer.(gateway.Response); reply.Code == 200 && h == r.host {
			if r.dark > 0 && r.mended == 0 && r.Now > r.dark+inForceSpan {
				r.fail(h, "readiness", r.Now, reply, "it is cut off")
			}
			if r.mended > 0 && r.ready == 0 {
				r.ready = r.Now
			}
		}
	})
}

// isPutting tells whether the plan after the newest may be in force already: the
// operator is always about to put it.
func (r *cutRun) isPutting(edition uint64) bool {
	return edition == r.newest(r.Now)+1 && r.sinceAck() > editionGap
}

func (r *cutRun) sinceAck() eventloop.Micros { return r.Now - r.acked[len(r.acked)-1].at }

func (r *cutRun) probeHandIns(h *Host, newest uint64) {
	one := func(what, queue, name, text string, check func(reply gateway.Response) string) {
		job := &schema.Job{Text: text, Steps: []*schema.Step{{Name: "s", Tasks: 1, CoresMilli: 1}}}
		sent := r.Now
		r.Ask(h, callSpan, func(request uint64, deadline eventloop.Micros) any {
			return gateway.SubmitJob{RequestID: request, Queue: queue, Client: "c", Name: name, Digest: gateway.Digest(job), Job: job, Deadline: deadline}
		}, func(answer any) {
			reply, _ := answer.(gateway.Response)
			r.judge(h, what, sent, reply)
			if why := check(reply); why != "" {
				r.fail(h, what, sent, reply, why)
			}
		})
	}
	fine := func(gateway.Response) string { return "" }
	one("hand-in", "quick", fmt.Sprint("j", r.Now), "a job", fine)
	one("known job", "quick", "known", "the known job", func(reply gateway.Response) string {
		if reply.Code == 409 || reply.Code == 404 {
			return "it was taken"
		}
		return ""
	})
	one("other content", "quick", "known", "other content", func(reply gateway.Response) string {
		if reply.Code == 200 || reply.Code == 201 {
			return "the name is taken"
		}
		return ""
	})
	if newest < 2 {
		return
	}
	droppedAt := eventloop.Micros(0)
	for _, each := range r.acked {
		if each.edition == newest {
			droppedAt = each.at
		}
	}
	sent := r.Now
	one("dropped route", cutQueue(newest-1), fmt.Sprint("j", r.Now), "a job", func(reply gateway.Response) string {
		if (reply.Code == 200 || reply.Code == 201) && sent > droppedAt+inForceSpan {
			return "the queue was dropped"
		}
		return ""
	})
}

// probing tries everything every so often until a moment.
func (r *cutRun) probing(until eventloop.Micros) {
	if r.Now >= until {
		return
	}
	for _, h := range []*Host{r.host, r.other} {
		if h.IsUp {
			r.probe(h)
		}
	}
	r.After(probeGap, func() { r.probing(until) })
}

// --- the table: role x cut x call ---

func (r *cutRun) stateBelief(h *Host) *replica.GroupStateView {
	if belief := h.Belief(); belief != nil {
		for _, group := range belief.Groups {
			if group.Group == clusterstate.Group {
				return group
			}
		}
	}
	return nil
}

// voter finds a store that leads the cluster state, or one that follows.
func (r *cutRun) voter(role string) *Host {
	for _, h := range r.Stores() {
		if group := r.stateBelief(h); group != nil && group.Role == role {
			return h
		}
	}
	panic("sim: no " + role)
}

// learner loses a store for good and gives the newcomer when it has just begun to
// learn.
func (r *cutRun) learner() *Host {
	r.voter("follower").Wipe()
	fresh := r.AddHost("keep6", "c1", schema.Role_ROLE_SERVER, true)
	fresh.Start()
	for {
		for _, h := range r.Stores() {
			if group := r.stateBelief(h); group != nil && slices.Contains(group.Learners, fresh.Id) {
				return fresh
			}
		}
		r.Run(r.Now + eventloop.Millisecond)
	}
}

const (
	learner  = "learner"  // is cut off when it has just begun to learn
	newcomer = "newcomer" // starts for the first time inside the cut
)

type cutRole struct {
	name string
	pick func(r *cutRun) *Host
}

var cutRoles = []cutRole{
	{"leader", func(r *cutRun) *Host { return r.voter("leader") }},
	{"follower", func(r *cutRun) *Host { return r.voter("follower") }},
	{learner, (*cutRun).learner},
	{"diskless front", func(r *cutRun) *Host { return r.Hosts[3] }},
	{newcomer, func(r *cutRun) *Host { return r.AddHost("keep6", "c1", schema.Role_ROLE_SERVER, true) }},
}

// inside are the machines on the host's side of a cut that has its seeds on it: a
// side, a front, and one store, of which there is no majority.
func (r *cutRun) inside() []*Host {
	list := []*Host{r.host, r.Hosts[5]}
	if r.host.Disk == nil {
		return append(list, r.voter("follower"))
	}
	return append(list, r.Hosts[3])
}

func (r *cutRun) isolate(isCut bool) { r.Isolate(r.host, isCut) }

func (r *cutRun) oneWay(isCut, isOutgoing bool) {
	for _, h := range r.Hosts {
		switch {
		case h == r.host:
		case isOutgoing:
			r.Cut(r.host, h, isCut)
		default:
			r.Cut(h, r.host, isCut)
		}
	}
}

func (r *cutRun) split(isCut bool, side []*Host) {
	r.Split(isCut, func(h *Host) bool { return slices.Contains(side, h) })
}

var cutKinds = []struct {
	name     string
	restarts bool
	apply    func(r *cutRun, side []*Host, isCut bool)
}{
	{"whole", false, func(r *cutRun, _ []*Host, isCut bool) { r.isolate(isCut) }},
	{"outgoing", false, func(r *cutRun, _ []*Host, isCut bool) { r.oneWay(isCut, true) }},
	{"incoming", false, func(r *cutRun, _ []*Host, isCut bool) { r.oneWay(isCut, false) }},
	{"seeds inside", false, func(r *cutRun, side []*Host, isCut bool) { r.split(isCut, side) }},
	{"restarted", true, func(r *cutRun, _ []*Host, isCut bool) { r.isolate(isCut) }},
	{"restarted, seeds inside", true, func(r *cutRun, side []*Host, isCut bool) { r.split(isCut, side) }},
}

// runCut plays one row of the table.
func runCut(seed uint64, role, kind int, holds bool) *cutRun {
	r := newCutRun(seed)
	r.Holds = holds
	r.other = r.Hosts[4]
	r.host = cutRoles[role].pick(r)
	cut := cutKinds[kind]
	side := r.inside()
	r.host.Seeds = nil
	for _, h := range side {
		r.host.Seeds = append(r.host.Seeds, h.Address)
	}
	known := &schema.Job{Text: "the known job", Steps: []*schema.Step{{Name: "s", Tasks: 1, CoresMilli: 1}}}
	var handIn func()
	handIn = func() {
		r.Ask(r.other, callSpan, func(request uint64, deadline eventloop.Micros) any {
			return gateway.SubmitJob{RequestID: request, Queue: "quick", Client: "c", Name: "known", Digest: gateway.Digest(known), Job: known, Deadline: deadline}
		}, func(answer any) {
			if reply, _ := answer.(gateway.Response); reply.Code == 200 || reply.Code == 201 {
				until := r.Now + cutSpan + 6*eventloop.Second
				r.probing(until)
				return
			}
			handIn()
		})
	}
	handIn()
	if cutRoles[role].name != learner {
		r.Run(r.Now + eventloop.Second)
	}
	cut.apply(r, side, true)
	r.dark = r.Now
	if cutRoles[role].name == newcomer {
		r.downAt, r.downTo, r.isYoung = 1, r.Now, true
		r.host.Start()
	}
	if cut.restarts {
		r.After(3*eventloop.Second, func() {
			r.host.Kill()
			r.downAt, r.downTo = r.Now, r.Now+500*eventloop.Millisecond
			r.After(500*eventloop.Millisecond, func() {
				r.host.Start()
				r.isYoung = true
			})
		})
	}
	r.Run(r.Now + cutSpan)
	cut.apply(r, side, false)
	r.mended = r.Now
	r.Run(r.Now + 6*eventloop.Second)
	return r
}

// testCutOff plays every cut of one role.
func testCutOff(t *testing.T, role string) {
	at := slices.IndexFunc(cutRoles, func(each cutRole) bool { return each.name == role })
	for kind := range cutKinds {
		for k := range *seeds {
			seed := *firstSeed + uint64(k)
			t.Run(fmt.Sprintf("%s/%d", cutKinds[kind].name, seed), func(t *testing.T) {
				t.Parallel()
				r := runCut(seed, at, kind, (uint64(at+kind)+seed)%2 == 0)
				for _, each := range r.wrong[:min(len(r.wrong), 12)] {
					t.Error(each)
				}
				if span := r.ready - r.mended; r.ready == 0 || span > readySpan {
					t.Errorf("ready %d us after the cut", span)
				}
				t.Logf("%d editions, ready %d us after the cut, answers %v", len(r.acked), r.ready-r.mended, r.codes)
			})
		}
	}
}

func TestCutOffLeader(t *testing.T)   { testCutOff(t, "leader") }
func TestCutOffFollower(t *testing.T) { testCutOff(t, "follower") }
func TestCutOffLearner(t *testing.T)  { testCutOff(t, learner) }
func TestCutOffFront(t *testing.T)    { testCutOff(t, "diskless front") }
func TestCutOffNewcomer(t *testing.T) { testCutOff(t, newcomer) }
