package sim

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"google.golang.org/protobuf/encoding/protojson"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/gateway"
	"sparnotch/internal/schema"
)

const (
	inForceTimeout          = 2 * eventloop.Second         // time after which an acknowledged configuration is in force everywhere
	maxDeliveryDelay        = 10 * eventloop.Millisecond   // longest delay of any message
	maxImmediateAnswerTime  = 25 * eventloop.Millisecond   // longest time until an immediate answer; 6 ms of it are the client's network delay
	maxNewProcessAnswerTime = 1100 * eventloop.Millisecond // longest time until an answer of a process that never had the cluster state
	publishInterval         = 1500 * eventloop.Millisecond // time between two configurations
	probeInterval           = 510 * eventloop.Millisecond  // time between two rounds of probes
	announceTimeout         = 1200 * eventloop.Millisecond // timeout of a worker's heartbeat
	callTimeout             = 3 * eventloop.Second         // timeout of a client's request
)

// partitionRun is a run of a fleet in which one host is partitioned. Meanwhile an operator keeps
// replacing the configuration, each time with a new queue in place of the previous one, and
// clients send every kind of request to the partitioned host and to another one.
type partitionRun struct {
	*Simulation
	host, other      *Host
	unreachableSince eventloop.Micros // when the partition began; 0: not yet
	healedAt         eventloop.Micros // when the partition ended; 0: not yet
	acknowledged     []acknowledgedVersion
	heartbeats       uint64
	startedInside    bool                     // whether the host's process was started inside the partition
	downAt           eventloop.Micros         // when the host's process went down; 0: it didn't
	downUntil        eventloop.Micros         // when the host's process was started again
	readyAt          eventloop.Micros         // when the host was first ready after the healing; 0: not yet
	statusCounts     map[string]map[int32]int // number of the host's answers by kind of request and status
	problems         []string
}

// acknowledgedVersion is a version of the configuration that the operator got acknowledged.
type acknowledgedVersion struct {
	version        uint64
	acknowledgedAt eventloop.Micros
}

// partitionConfiguration returns a version of the configuration that has the queue quick, as every
// version has, and a queue of its own.
func partitionConfiguration(version uint64, base uint64) *schema.ConfigurationUpdate {
	return &schema.ConfigurationUpdate{Version: version, BaseVersion: base, Document: []byte(fmt.Sprint("edition ", version)), Rows: []*schema.ConfigurationRow{
		{Kind: "queue", Name: "quick", Key: "urgency", Value: "60"},
		{Kind: "queue", Name: partitionQueue(version), Key: "urgency", Value: "10"},
	}}
}

func partitionQueue(version uint64) string { return fmt.Sprint("queue", version) }

// call sends a request to a gateway, and calls back with the time at which it was sent and the
// response.
func (r *partitionRun) call(h *Host, request newRequest, callback func(sentAt eventloop.Micros, response gateway.Response)) {
	sentAt := r.Now
	r.Request(h, callTimeout, request, func(answer any) { callback(sentAt, responseOf(answer)) })
}

// publish makes the operator send a version of the configuration to the given host, or if that is
// nil to the partitioned host. While the answer is unclear, it sends the version to other hosts.
func (r *partitionRun) publish(version uint64, at *Host) {
	if at == nil {
		at = r.host
	}
	if at == nil || !at.IsUp {
		at = r.Hosts[4]
	}
	r.call(at, leaderRequest(updateRequest(partitionConfiguration(version, version-1))), func(sentAt eventloop.Micros, response gateway.Response) {
		switch {
		case response.Code == 200:
			r.acknowledged = append(r.acknowledged, acknowledgedVersion{version, r.Now})
			r.check(at, "replace", sentAt, response)
			r.After(publishInterval, func() { r.publish(version+1, nil) })
		case isUnclear(response):
			r.check(at, "replace", sentAt, response)
			next := cmp.Or(r.other, r.Hosts[3])
			if at == next {
				next = r.Hosts[r.Rng.IntN(5)]
			}
			r.After(100*eventloop.Millisecond, func() { r.publish(version, next) })
		default:
			r.fail(at, "replace", sentAt, response, "the update was refused although no other operator sends updates")
		}
	})
}

// newestAcknowledged returns the newest version that was acknowledged before the given time.
func (r *partitionRun) newestAcknowledged(at eventloop.Micros) uint64 {
	version := uint64(0)
	for _, acknowledged := range r.acknowledged {
		if acknowledged.acknowledgedAt < at {
			version = max(version, acknowledged.version)
		}
	}
	return version
}

func (r *partitionRun) sinceAcknowledged() eventloop.Micros {
	return r.Now - r.acknowledged[len(r.acknowledged)-1].acknowledgedAt
}

// mayBeInForce reports whether a version follows the newest acknowledged version and may already
// be in force, since the operator sends it publishInterval after that acknowledgement.
func (r *partitionRun) mayBeInForce(version uint64) bool {
	return version == r.newestAcknowledged(r.Now)+1 && r.sinceAcknowledged() > publishInterval
}

func (r *partitionRun) fail(h *Host, requestKind string, sentAt eventloop.Micros, response gateway.Response, problem string) {
	r.problems = append(r.problems, fmt.Sprintf("%s at %s, sent at %d, answered at %d (unreachable since %d, healed at %d): %d %s: %s",
		requestKind, h.Name, sentAt, r.Now, r.unreachableSince, r.healedAt, response.Code, response.Body, problem))
}

// isUnreachable reports whether no message can have reached the partitioned host since the given
// time.
func (r *partitionRun) isUnreachable(since eventloop.Micros) bool {
	return r.unreachableSince > 0 && since >= r.unreachableSince+maxDeliveryDelay && (r.healedAt == 0 || r.Now < r.healedAt)
}

// check checks the rules for every response of the partitioned host. A response may state
// something that depends on state only if a majority can have confirmed it since the request was
// sent. Otherwise the host must answer at once that it can't know, and when to retry.
func (r *partitionRun) check(h *Host, requestKind string, sentAt eventloop.Micros, response gateway.Response) {
	if r.statusCounts[requestKind] == nil {
		r.statusCounts[requestKind] = map[int32]int{}
	}
	if h != r.host {
		return
	}
	r.statusCounts[requestKind][response.Code]++
	took := r.Now - sentAt
	isDown := r.downAt > 0 && sentAt <= r.downUntil+maxDeliveryDelay && r.Now >= r.downAt
	switch {
	case response.Code == 0 && !isDown:
		r.fail(h, requestKind, sentAt, response, "there is no answer")
	case response.Code != 0 && isUnclear(response) && response.RetryAfter == 0:
		r.fail(h, requestKind, sentAt, response, "the response doesn't say when to retry")
	case r.isUnreachable(sentAt) && !isUnclear(response):
		r.fail(h, requestKind, sentAt, response, "no majority can have confirmed the response")
	case r.isUnreachable(sentAt) && !r.startedInside && sentAt > r.unreachableSince+inForceTimeout && took > maxImmediateAnswerTime:
		r.fail(h, requestKind, sentAt, response, fmt.Sprintf("the answer took %d us instead of being immediate", took))
	case r.isUnreachable(sentAt) && r.startedInside && sentAt > r.downUntil && took > maxNewProcessAnswerTime:
		r.fail(h, requestKind, sentAt, response, fmt.Sprintf("the answer took %d us in a process that never had the cluster state", took))
	case r.isUnreachable(sentAt) && took > inForceTimeout+200*eventloop.Millisecond:
		r.fail(h, requestKind, sentAt, response, fmt.Sprintf("the answer took %d us", took))
	}
}

// responseCheck returns the problem of a response, or an empty string if there is none.
type responseCheck func(response gateway.Response) string

// probeWith sends one request, and checks its response with the rules for all responses and with
// the given check.
func (r *partitionRun) probeWith(h *Host, requestKind string, request newRequest, check responseCheck) {
	r.call(h, request, func(sentAt eventloop.Micros, response gateway.Response) {
		r.check(h, requestKind, sentAt, response)
		if problem := check(response); problem != "" {
			r.fail(h, requestKind, sentAt, response, problem)
		}
	})
}

// isNot returns a check that reports the given problem if a response has the given status.
func isNot(code int32, problem string) responseCheck {
	return func(response gateway.Response) string {
		if response.Code == code {
			return problem
		}
		return ""
	}
}

// probePeriodically probes both hosts every probeInterval until the given time.
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

// probe sends every kind of request to a gateway.
func (r *partitionRun) probe(h *Host) {
	newest := r.newestAcknowledged(r.Now)
	r.probeConfiguration(h, newest)
	r.probeQueues(h, newest)
	r.probeJobs(h)
	r.probeSubmissions(h, newest)
	r.probeHeartbeat(h)
	r.probeReadiness(h)
}

// versionOf returns the current version that a refusal reports.
func versionOf(response gateway.Response) uint64 {
	refusal := &schema.Error{}
	_ = json.Unmarshal(response.Body, refusal)
	return refusal.Current
}

// probeConfiguration reads the configuration, and sends updates that must be refused and one that
// was accepted before. Only a node that knows the newest version can answer these correctly.
func (r *partitionRun) probeConfiguration(h *Host, newest uint64) {
	r.probeWith(h, "read", leaderRequest(configurationRequest()), func(response gateway.Response) string {
		current := &schema.Configuration{}
		if response.Code == 200 && (protojson.Unmarshal(response.Body, current) != nil || current.Version < newest) {
			return fmt.Sprintf("version %d was acknowledged before", newest)
		}
		return ""
	})
	isRefused := func(codes ...int32) responseCheck {
		return func(response gateway.Response) string {
			if !isUnclear(response) && (!slices.Contains(codes, response.Code) || versionOf(response) < newest) {
				return fmt.Sprintf("version %d was acknowledged before", newest)
			}
			return ""
		}
	}
	low := partitionConfiguration(1, newest)
	low.Document = []byte("another first edition")
	r.probeWith(h, "low number", leaderRequest(updateRequest(low)), isRefused(412, 422))
	r.probeWith(h, "old base", leaderRequest(updateRequest(partitionConfiguration(1<<40, 0))), isRefused(412))
	r.probeWith(h, "accepted before", leaderRequest(updateRequest(partitionConfiguration(newest, newest-1))), func(response gateway.Response) string {
		if response.Code != 200 && !isUnclear(response) {
			return "the update was accepted before"
		}
		return ""
	})
}

func (r *partitionRun) probeQueues(h *Host, newest uint64) {
	counts := func(queue string) newRequest {
		return leaderRequest(gateway.LeaderRequest{Kind: "counts", Group: queue})
	}
	r.probeWith(h, "new queue", counts(partitionQueue(newest)), func(response gateway.Response) string {
		// A queue that was dropped while the request was in flight may be unknown.
		if response.Code == 404 && r.newestAcknowledged(r.Now) == newest && !r.mayBeInForce(newest+1) {
			return "the queue exists"
		}
		return ""
	})
	r.probeWith(h, "no such queue", counts("none"), isNot(200, "there is no such queue"))
}

func (r *partitionRun) probeJobs(h *Host) {
	about := func(kind, name string) newRequest {
		return leaderRequest(gateway.LeaderRequest{Kind: kind, Group: "quick", Name: name})
	}
	r.probeWith(h, "job", about("status", "known"), isNot(404, "the job exists"))
	r.probeWith(h, "no such job", about("status", "none"), isNot(200, "there is no such job"))
	r.probeWith(h, "cancel", about("cancel", "none"), isNot(200, "there is no such job"))
}

// probeSubmissions submits a new job, the known job again, another job with the known job's name,
// and a job to the queue that was dropped last.
func (r *partitionRun) probeSubmissions(h *Host, newest uint64) {
	sentAt := r.Now
	submit := func(requestKind, queue, name, text string, check responseCheck) {
		job := newJob(text, &schema.Step{Name: "s", Tasks: 1, CoresMilli: 1})
		r.probeWith(h, requestKind, submitRequest(queue, "c", name, job), check)
	}
	submit("submission", "quick", fmt.Sprint("j", sentAt), "a job", func(gateway.Response) string { return "" })
	submit("known job", "quick", "known", "the known job", func(response gateway.Response) string {
		if response.Code == 409 || response.Code == 404 {
			return "the job was accepted before"
		}
		return ""
	})
	submit("other content", "quick", "known", "other content", func(response gateway.Response) string {
		if isConfirmed(response) {
			return "the name is taken"
		}
		return ""
	})
	if newest < 2 {
		return
	}
	droppedAt := eventloop.Micros(0)
	for _, acknowledged := range r.acknowledged {
		if acknowledged.version == newest {
			droppedAt = acknowledged.acknowledgedAt
		}
	}
	submit("dropped queue", partitionQueue(newest-1), fmt.Sprint("j", sentAt), "a job", func(response gateway.Response) string {
		if isConfirmed(response) && sentAt > droppedAt+inForceTimeout {
			return "the queue was dropped"
		}
		return ""
	})
}

// probeHeartbeat sends a worker's heartbeat. A scheduler may answer heartbeats while it holds its
// lease, so only heartbeats that were sent inForceTimeout after the partition's start are checked.
func (r *partitionRun) probeHeartbeat(h *Host) {
	r.heartbeats++
	heartbeat := &schema.WorkerHeartbeat{Incarnation: 1, Seq: r.heartbeats, CoresMilli: 1, MemoryMb: 1}
	sentAt := r.Now
	r.Request(h, announceTimeout, func(id uint64, deadline eventloop.Micros) any {
		return gateway.ForwardHeartbeat{RequestID: id, Worker: "w-" + h.Name, Heartbeat: heartbeat, Deadline: deadline}
	}, func(answer any) {
		if response := responseOf(answer); response.Code != 0 && sentAt > r.unreachableSince+inForceTimeout {
			r.check(h, "heartbeat", sentAt, response)
		}
	})
}

// probeReadiness checks that the partitioned host isn't ready, and records when it becomes
// ready after the healing.
func (r *partitionRun) probeReadiness(h *Host) {
	r.Request(h, callTimeout, func(id uint64, _ eventloop.Micros) any { return gateway.CheckReadiness{RequestID: id} }, func(answer any) {
		response := responseOf(answer)
		if response.Code != 200 || h != r.host {
			return
		}
		if r.unreachableSince > 0 && r.healedAt == 0 && r.Now > r.unreachableSince+inForceTimeout {
			r.fail(h, "readiness", r.Now, response, "the host reports that it is ready although it is partitioned")
		}
		if r.healedAt > 0 && r.readyAt == 0 {
			r.readyAt = r.Now
		}
	})
}
