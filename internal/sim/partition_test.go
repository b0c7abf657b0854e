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
	partitionPeriod  = 20 * eventloop.Second
	inForceTimeout   = 2 * eventloop.Second         // a new plan is in force everywhere
	maxDeliveryDelay = 10 * eventloop.Millisecond   // nothing is on its way for longer
	immediateAnswer  = 25 * eventloop.Millisecond   // of which six are the caller's way
	maxYoungAnswer   = 1100 * eventloop.Millisecond // what a process that never had word takes for a call it can't know about
	readyTimeout     = 600 * eventloop.Millisecond  // after a cut
	publishInterval  = 1500 * eventloop.Millisecond // between two plans
	probeInterval    = 510 * eventloop.Millisecond  // between two rounds of calls
	announceTimeout  = 1200 * eventloop.Millisecond // and a worker
	callTimeout      = 3 * eventloop.Second         // a caller waits
)

// partitionRun is a fleet one machine of which is cut off, while an operator goes on
// putting plans, each of which adds a queue and drops the one before, and callers try
// everything at the machine that is cut off and at one that isn't.
type partitionRun struct {
	*Simulation
	host, other      *Host
	unreachableSince eventloop.Micros // from when on the host can't have heard of anybody; 0: it can
	healedAt         eventloop.Micros
	acknowledged     []acknowledgedVersion
	announces        uint64
	startedInside    bool // it was started inside the cut
	downAt           eventloop.Micros
	downUntil        eventloop.Micros
	readyAt          eventloop.Micros // first time after the cut
	codes            map[string]map[int32]int
	problems         []string
}

type acknowledgedVersion struct {
	version        uint64
	acknowledgedAt eventloop.Micros
}

func newPartitionRun(seed uint64) *partitionRun {
	r := &partitionRun{Simulation: NewSimulation(seed, ReliableNetwork, 500), codes: map[string]map[int32]int{}}
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
func partitionConfiguration(version uint64, base uint64) *schema.ConfigurationUpdate {
	return &schema.ConfigurationUpdate{Version: version, BaseVersion: base, Document: []byte(fmt.Sprint("edition ", version)), Rows: []*schema.ConfigurationRow{
		{Kind: "queue", Name: "quick", Key: "urgency", Value: "60"},
		{Kind: "queue", Name: partitionQueue(version), Key: "urgency", Value: "10"},
	}}
}

func partitionQueue(version uint64) string { return fmt.Sprint("queue", version) }

func (r *partitionRun) call(h *Host, ask gateway.LeaderRequest, back func(sent eventloop.Micros, reply gateway.Response)) {
	sent := r.Now
	r.Request(h, callTimeout, func(request uint64, deadline eventloop.Micros) any {
		ask.RequestID, ask.Deadline = request, deadline
		return ask
	}, func(answer any) {
		reply, _ := answer.(gateway.Response)
		back(sent, reply)
	})
}

func replaceRequest(configuration *schema.ConfigurationUpdate) gateway.LeaderRequest {
	return gateway.LeaderRequest{Kind: "clusterstate", Group: clusterstate.Group, Body: replica.EncodeClusterStateCommand(
		&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: configuration}}})}
}

// publish has the operator put an edition, at the machine that is cut off first, and
// after no clear answer elsewhere.
func (r *partitionRun) publish(version uint64, at *Host) {
	if at == nil {
		at = r.host
	}
	if at == nil || !at.IsUp {
		at = r.Hosts[4]
	}
	r.call(at, replaceRequest(partitionConfiguration(version, version-1)), func(sent eventloop.Micros, reply gateway.Response) {
		switch {
		case reply.Code == 200:
			r.acknowledged = append(r.acknowledged, acknowledgedVersion{version, r.Now})
			r.check(at, "replace", sent, reply)
			r.After(publishInterval, func() { r.publish(version+1, nil) })
		case reply.Code == 0 || reply.Code >= 500 || reply.Code == 429:
			r.check(at, "replace", sent, reply)
			next := cmp.Or(r.other, r.Hosts[3])
			if at == next {
				next = r.Hosts[r.Rng.IntN(5)]
			}
			r.After(100*eventloop.Millisecond, func() { r.publish(version, next) })
		default:
			r.fail(at, "replace", sent, reply, "the only operator's order was refused")
		}
	})
}

// newestHost is the newest edition that was acknowledged before a moment.
func (r *partitionRun) newestAcknowledged(at eventloop.Micros) uint64 {
	version := uint64(0)
	for _, each := range r.acknowledged {
		if each.acknowledgedAt < at {
			version = max(version, each.version)
		}
	}
	return version
}

func (r *partitionRun) fail(h *Host, what string, sent eventloop.Micros, reply gateway.Response, why string) {
	r.problems = append(r.problems, fmt.Sprintf("%s at %s, sent at %d, answered at %d (dark from %d, mended %d): %d %s: %s",
		what, h.Name, sent, r.Now, r.unreachableSince, r.healedAt, reply.Code, reply.Body, why))
}

// isUnreachable tells whether the host can't have heard of anybody since a moment.
func (r *partitionRun) isUnreachable(at eventloop.Micros) bool {
	return r.unreachableSince > 0 && at >= r.unreachableSince+maxDeliveryDelay && (r.healedAt == 0 || r.Now < r.healedAt)
}

// checkReplica holds what any call must keep to: nothing that rests on state is said by a
// machine that can't have heard of a majority since the call was sent, and what can't
// be known is said at once, with when to come back.
func (r *partitionRun) check(h *Host, what string, sent eventloop.Micros, reply gateway.Response) {
	if r.codes[what] == nil {
		r.codes[what] = map[int32]int{}
	}
	if h != r.host {
		return
	}
	r.codes[what][reply.Code]++
	duration := r.Now - sent
	isDown := r.downAt > 0 && sent <= r.downUntil+maxDeliveryDelay && r.Now >= r.downAt
	isUnclear := reply.Code == 0 || reply.Code == 429 || reply.Code >= 500
	switch {
	case reply.Code == 0 && !isDown:
		r.fail(h, what, sent, reply, "no answer")
	case reply.Code != 0 && isUnclear && reply.RetryAfter == 0:
		r.fail(h, what, sent, reply, "no word of when to come back")
	case r.isUnreachable(sent) && !isUnclear:
		r.fail(h, what, sent, reply, "nobody can have confirmed that")
	case r.isUnreachable(sent) && !r.startedInside && sent > r.unreachableSince+inForceTimeout && duration > immediateAnswer:
		r.fail(h, what, sent, reply, fmt.Sprintf("took %d us", duration))
	case r.isUnreachable(sent) && r.startedInside && sent > r.downUntil && duration > maxYoungAnswer:
		r.fail(h, what, sent, reply, fmt.Sprintf("took %d us in a young process", duration))
	case r.isUnreachable(sent) && duration > inForceTimeout+200*eventloop.Millisecond:
		r.fail(h, what, sent, reply, fmt.Sprintf("took %d us", duration))
	}
}

// currentVersion is the edition that a refusal names.
func currentVersion(reply gateway.Response) uint64 {
	fault := &schema.Error{}
	_ = json.Unmarshal(reply.Body, fault)
	return fault.Current
}

// probe tries every call at a front.
func (r *partitionRun) probe(h *Host) {
	newest := r.newestAcknowledged(r.Now)
	one := func(what string, ask gateway.LeaderRequest, check func(reply gateway.Response) string) {
		r.call(h, ask, func(sent eventloop.Micros, reply gateway.Response) {
			r.check(h, what, sent, reply)
			if why := check(reply); why != "" {
				r.fail(h, what, sent, reply, why)
			}
		})
	}
	one("read", gateway.LeaderRequest{Kind: "plan", Group: clusterstate.Group}, func(reply gateway.Response) string {
		current := &schema.Configuration{}
		if reply.Code == 200 && (protojson.Unmarshal(reply.Body, current) != nil || current.Version < newest) {
			return fmt.Sprintf("edition %d was acknowledged before", newest)
		}
		return ""
	})
	// Orders that are to be refused, and are so only by who knows the newest plan.
	refused := func(codes ...int32) func(reply gateway.Response) string {
		return func(reply gateway.Response) string {
			isClear := reply.Code > 0 && reply.Code < 500 && reply.Code != 429
			if isClear && (!slices.Contains(codes, reply.Code) || currentVersion(reply) < newest) {
				return fmt.Sprintf("edition %d was acknowledged before", newest)
			}
			return ""
		}
	}
	low := partitionConfiguration(1, newest)
	low.Document = []byte("another first edition")
	one("low number", replaceRequest(low), refused(412, 422))
	one("old base", replaceRequest(partitionConfiguration(1<<40, 0)), refused(412))
	one("taken before", replaceRequest(partitionConfiguration(newest, newest-1)), func(reply gateway.Response) string {
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
	one("new route", gateway.LeaderRequest{Kind: "counts", Group: partitionQueue(newest)}, func(reply gateway.Response) string {
		// One that was dropped while it was asked for may be called unknown.
		if reply.Code == 404 && r.newestAcknowledged(r.Now) == newest && !r.isPutting(newest+1) {
			return "the queue is there"
		}
		return ""
	})
	one("no such route", gateway.LeaderRequest{Kind: "counts", Group: "none"}, not(200, "there is none"))
	one("job", gateway.LeaderRequest{Kind: "status", Group: "quick", Name: "known"}, not(404, "the job is there"))
	one("no such job", gateway.LeaderRequest{Kind: "status", Group: "quick", Name: "none"}, not(200, "there is none"))
	one("cancel", gateway.LeaderRequest{Kind: "cancel", Group: "quick", Name: "none"}, not(200, "there is none"))
	r.probeSubmissions(h, newest)
	r.announces++
	announce := &schema.WorkerHeartbeat{Incarnation: 1, Seq: r.announces, CoresMilli: 1, MemoryMb: 1}
	sent := r.Now
	r.Request(h, announceTimeout, func(request uint64, deadline eventloop.Micros) any {
		return gateway.ForwardAnnouncement{RequestID: request, Worker: "w-" + h.Name, Announce: announce, Deadline: deadline}
	}, func(answer any) {
		reply, _ := answer.(gateway.Response)
		// A ward speaks under its lease, and a worker waits no longer than this.
		if reply.Code != 0 && sent > r.unreachableSince+inForceTimeout {
			r.check(h, "announce", sent, reply)
		}
	})
	r.Request(h, callTimeout, func(request uint64, _ eventloop.Micros) any { return gateway.CheckReadiness{RequestID: request} }, func(answer any) {
		if reply, _ := answer.(gateway.Response); reply.Code == 200 && h == r.host {
			if r.unreachableSince > 0 && r.healedAt == 0 && r.Now > r.unreachableSince+inForceTimeout {
				r.fail(h, "readiness", r.Now, reply, "it is cut off")
			}
			if r.healedAt > 0 && r.readyAt == 0 {
				r.readyAt = r.Now
			}
		}
	})
}

// isPutting tells whether the plan after the newest may be in force already: the
// operator is always about to put it.
func (r *partitionRun) isPutting(version uint64) bool {
	return version == r.newestAcknowledged(r.Now)+1 && r.sinceAcknowledged() > publishInterval
}

func (r *partitionRun) sinceAcknowledged() eventloop.Micros {
	return r.Now - r.acknowledged[len(r.acknowledged)-1].acknowledgedAt
}

func (r *partitionRun) probeSubmissions(h *Host, newest uint64) {
	one := func(what, queue, name, text string, check func(reply gateway.Response) string) {
		job := &schema.Job{Text: text, Steps: []*schema.Step{{Name: "s", Tasks: 1, CoresMilli: 1}}}
		sent := r.Now
		r.Request(h, callTimeout, func(request uint64, deadline eventloop.Micros) any {
			return gateway.SubmitJob{RequestID: request, Queue: queue, Client: "c", Name: name, Digest: gateway.Digest(job), Job: job, Deadline: deadline}
		}, func(answer any) {
			reply, _ := answer.(gateway.Response)
			r.check(h, what, sent, reply)
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
	for _, each := range r.acknowledged {
		if each.version == newest {
			droppedAt = each.acknowledgedAt
		}
	}
	sent := r.Now
	one("dropped route", partitionQueue(newest-1), fmt.Sprint("j", r.Now), "a job", func(reply gateway.Response) string {
		if (reply.Code == 200 || reply.Code == 201) && sent > droppedAt+inForceTimeout {
			return "the queue was dropped"
		}
		return ""
	})
}

// probePeriodically tries everything every so often until a moment.
func (r *partitionRun) probePeriodically(until eventloop.Micros) {
	if r.Now >= until {
		return
	}
	for _, h := range []*Host{r.host, r.other} {
		if h.IsUp {
			r.probe(h)
		}
	}
	r.After(probeInterval, func() { r.probePeriodically(until) })
}

// --- the table: role x cut x call ---

func (r *partitionRun) clusterStateView(h *Host) *replica.GroupStateView {
	if view := h.StateView(); view != nil {
		for _, group := range view.Groups {
			if group.Group == clusterstate.Group {
				return group
			}
		}
	}
	return nil
}

// voter finds a store that leads the cluster state, or one that follows.
func (r *partitionRun) voter(role string) *Host {
	for _, h := range r.StorageNodes() {
		if group := r.clusterStateView(h); group != nil && group.Role == role {
			return h
		}
	}
	panic("sim: no " + role)
}

// learner loses a store for good and gives the newcomer when it has just begun to
// learn.
func (r *partitionRun) learner() *Host {
	r.voter("follower").Wipe()
	newHost := r.AddHost("keep6", "c1", schema.Role_ROLE_SERVER, true)
	newHost.Start()
	for {
		for _, h := range r.StorageNodes() {
			if group := r.clusterStateView(h); group != nil && slices.Contains(group.Learners, newHost.ID) {
				return newHost
			}
		}
		r.Run(r.Now + eventloop.Millisecond)
	}
}

const (
	learner  = "learner"  // is cut off when it has just begun to learn
	newcomer = "newcomer" // starts for the first time inside the cut
)

type partitionRole struct {
	name string
	pick func(r *partitionRun) *Host
}

var partitionRoles = []partitionRole{
	{"leader", func(r *partitionRun) *Host { return r.voter("leader") }},
	{"follower", func(r *partitionRun) *Host { return r.voter("follower") }},
	{learner, (*partitionRun).learner},
	{"diskless front", func(r *partitionRun) *Host { return r.Hosts[3] }},
	{newcomer, func(r *partitionRun) *Host { return r.AddHost("keep6", "c1", schema.Role_ROLE_SERVER, true) }},
}

// seedSide are the machines on the host's side of a cut that has its seeds on it: a
// side, a front, and one store, of which there is no majority.
func (r *partitionRun) seedSide() []*Host {
	list := []*Host{r.host, r.Hosts[5]}
	if r.host.Disk == nil {
		return append(list, r.voter("follower"))
	}
	return append(list, r.Hosts[3])
}

func (r *partitionRun) isolate(blocked bool) { r.Isolate(r.host, blocked) }

func (r *partitionRun) isolateOneWay(blocked, isOutgoing bool) {
	for _, h := range r.Hosts {
		switch {
		case h == r.host:
		case isOutgoing:
			r.BlockLink(r.host, h, blocked)
		default:
			r.BlockLink(h, r.host, blocked)
		}
	}
}

func (r *partitionRun) partition(blocked bool, side []*Host) {
	r.Partition(blocked, func(h *Host) bool { return slices.Contains(side, h) })
}

var partitionKinds = []struct {
	name     string
	restarts bool
	apply    func(r *partitionRun, side []*Host, isCut bool)
}{
	{"whole", false, func(r *partitionRun, _ []*Host, blocked bool) { r.isolate(blocked) }},
	{"outgoing", false, func(r *partitionRun, _ []*Host, blocked bool) { r.isolateOneWay(blocked, true) }},
	{"incoming", false, func(r *partitionRun, _ []*Host, blocked bool) { r.isolateOneWay(blocked, false) }},
	{"seeds inside", false, func(r *partitionRun, side []*Host, blocked bool) { r.partition(blocked, side) }},
	{"restarted", true, func(r *partitionRun, _ []*Host, blocked bool) { r.isolate(blocked) }},
	{"restarted, seeds inside", true, func(r *partitionRun, side []*Host, blocked bool) { r.partition(blocked, side) }},
}

// runPartition plays one row of the table.
func runPartition(seed uint64, role, kind int, holds bool) *partitionRun {
	r := newPartitionRun(seed)
	r.BuffersWhilePartitioned = holds
	r.other = r.Hosts[4]
	r.host = partitionRoles[role].pick(r)
	cut := partitionKinds[kind]
	side := r.seedSide()
	r.host.Seeds = nil
	for _, h := range side {
		r.host.Seeds = append(r.host.Seeds, h.Address)
	}
	known := &schema.Job{Text: "the known job", Steps: []*schema.Step{{Name: "s", Tasks: 1, CoresMilli: 1}}}
	var submit func()
	submit = func() {
		r.Request(r.other, callTimeout, func(request uint64, deadline eventloop.Micros) any {
			return gateway.SubmitJob{RequestID: request, Queue: "quick", Client: "c", Name: "known", Digest: gateway.Digest(known), Job: known, Deadline: deadline}
		}, func(answer any) {
			if reply, _ := answer.(gateway.Response); reply.Code == 200 || reply.Code == 201 {
				until := r.Now + partitionPeriod + 6*eventloop.Second
				r.probePeriodically(until)
				return
			}
			submit()
		})
	}
	submit()
	if partitionRoles[role].name != learner {
		r.Run(r.Now + eventloop.Second)
	}
	cut.apply(r, side, true)
	r.unreachableSince = r.Now
	if partitionRoles[role].name == newcomer {
		r.downAt, r.downUntil, r.startedInside = 1, r.Now, true
		r.host.Start()
	}
	if cut.restarts {
		r.After(3*eventloop.Second, func() {
			r.host.Kill()
			r.downAt, r.downUntil = r.Now, r.Now+500*eventloop.Millisecond
			r.After(500*eventloop.Millisecond, func() {
				r.host.Start()
				r.startedInside = true
			})
		})
	}
	r.Run(r.Now + partitionPeriod)
	cut.apply(r, side, false)
	r.healedAt = r.Now
	r.Run(r.Now + 6*eventloop.Second)
	return r
}

// testPartitioned plays every cut of one role.
func testPartitioned(t *testing.T, role string) {
	at := slices.IndexFunc(partitionRoles, func(each partitionRole) bool { return each.name == role })
	for kind := range partitionKinds {
		for k := range *seeds {
			seed := *firstSeed + uint64(k)
			t.Run(fmt.Sprintf("%s/%d", partitionKinds[kind].name, seed), func(t *testing.T) {
				t.Parallel()
				r := runPartition(seed, at, kind, (uint64(at+kind)+seed)%2 == 0)
				for _, each := range r.problems[:min(len(r.problems), 12)] {
					t.Error(each)
				}
				if duration := r.readyAt - r.healedAt; r.readyAt == 0 || duration > readyTimeout {
					t.Errorf("ready %d us after the cut", duration)
				}
				t.Logf("%d editions, ready %d us after the cut, answers %v", len(r.acknowledged), r.readyAt-r.healedAt, r.codes)
			})
		}
	}
}

func TestPartitionedLeader(t *testing.T)   { testPartitioned(t, "leader") }
func TestPartitionedFollower(t *testing.T) { testPartitioned(t, "follower") }
func TestPartitionedLearner(t *testing.T)  { testPartitioned(t, learner) }
func TestPartitionedGateway(t *testing.T)  { testPartitioned(t, "diskless front") }
func TestPartitionedNewcomer(t *testing.T) { testPartitioned(t, newcomer) }
