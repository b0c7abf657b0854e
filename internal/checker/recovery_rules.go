package checker

import "sparnotch/internal/eventloop"

// clientPatience is how long before the end of the recovery time a request must be sent so
// that its answer is certain to come within the recovery time.
const clientPatience = 3 * eventloop.Second

// service identifies a kind of request, and the queue if the request has one.
type service struct{ kind, queue string }

// request represents a request of a client or operator, with the time and success of its answer.
type request struct {
	service
	gateway            string
	sentAt, answeredAt eventloop.Micros
	isServed           bool // answered without a 5xx status, or only the acknowledgement was lost
}

// requests returns the requests of clients and operators whose outcome the history contains.
func (a *analysis) requests() []request {
	var list []request
	for k := range a.history {
		e := &a.history[k]
		r := request{gateway: e.Gateway, sentAt: e.sentAt(), answeredAt: e.At}
		switch e.Kind {
		case SubmitReply:
			r.service = service{"submissions", e.Queue}
		case Status:
			r.service = service{"status", e.Queue}
		case CancelReply:
			r.service = service{"cancels", e.Queue}
		case ConfigurationRead:
			r.service = service{"configuration reads", ""}
		case ConfigurationReply:
			r.service = service{"configuration updates", ""}
		default:
			continue
		}
		r.isServed = e.Code > 0 && e.Code < 500 || e.State == AcknowledgementLost
		list = append(list, r)
	}
	return list
}

// checkSubmissionsRecover checks that, within the recovery time after each fault, a submission
// that was sent after the fault is confirmed.
func (a *analysis) checkSubmissionsRecover() {
	for k, e := range a.history {
		if e.Kind == Fault {
			a.checkSubmissionAfter(&e, a.history[k:])
		}
	}
}

// checkSubmissionAfter checks one fault. The history must begin with it.
func (a *analysis) checkSubmissionAfter(fault *Event, history []Event) {
	submitted := map[jobKey]bool{}
	deadline := a.recoveryDeadline(fault.At)
	for k := range history {
		e := &history[k]
		if e.At > deadline {
			if len(submitted) > 0 {
				a.report(ruleRecovery, fault.At, "no submission was confirmed within %d us after: %s", a.tolerances.Recovery, fault.State)
			}
			return
		}
		switch e.Kind {
		case Submit:
			submitted[e.jobKey()] = true
		case SubmitReply:
			if submitted[e.jobKey()] && e.isConfirmed() {
				return
			}
		}
	}
}

// checkServicesRecover checks that every service, of every queue, is available again within
// the recovery time after a fault, unless another fault follows within that time.
func (a *analysis) checkServicesRecover() {
	requests := a.requests()
	for k, at := range a.faults {
		until := at + a.tolerances.Recovery
		if until > a.closedAt || k+1 < len(a.faults) && a.faults[k+1] < until {
			continue
		}
		requested, served := map[service]bool{}, map[service]bool{}
		for _, r := range requests {
			if r.sentAt >= at && r.sentAt < until-clientPatience {
				requested[r.service] = true
			}
			if r.sentAt >= at && r.answeredAt <= until && r.isServed {
				served[r.service] = true
			}
		}
		for s := range requested {
			if !served[s] {
				a.report(ruleRecovery, at, "%s %s are still unavailable %d us after a fault", s.kind, s.queue, a.tolerances.Recovery)
			}
		}
		a.checkWaitingWorkStarts(at, until)
	}
}

// checkUndisturbedRequests checks that a request through an available gateway succeeds if no
// fault occurs from a recovery time before the request until its answer. Of failed requests
// that overlap in time only the first is reported.
func (a *analysis) checkUndisturbedRequests() {
	gateways := a.gatewayAvailability()
	lastReported := eventloop.Micros(0)
	for _, r := range a.requests() {
		if r.isServed || r.sentAt <= lastReported || !gateways.canServe(r.gateway, r.sentAt, r.answeredAt, a.tolerances.GatewayReady) {
			continue
		}
		if anyWithin(a.faults, r.sentAt-a.tolerances.Recovery, r.answeredAt) {
			continue
		}
		lastReported = r.answeredAt
		a.report(ruleRecovery, r.sentAt, "%s %s: %s gives no answer or an error, but no fault occurred shortly before", r.kind, r.queue, r.gateway)
	}
}

// availabilityChange is the time at which a gateway becomes available or unavailable.
type availabilityChange struct {
	at          eventloop.Micros
	isAvailable bool
}

// availability holds the changes of each gateway, ordered by time.
type availability map[string][]availabilityChange

func (a *analysis) gatewayAvailability() availability {
	changes := availability{}
	for k := range a.history {
		if e := &a.history[k]; e.Kind == GatewayUnavailable || e.Kind == GatewayAvailable {
			changes[e.Gateway] = append(changes[e.Gateway], availabilityChange{e.At, e.Kind == GatewayAvailable})
		}
	}
	return changes
}

// canServe reports whether the gateway was available without a break during the whole interval
// and, before it, for at least the time that a gateway needs to become ready.
func (v availability) canServe(gateway string, from, to, ready eventloop.Micros) bool {
	canServe := false
	for _, change := range v[gateway] {
		switch {
		case change.at > to:
		case change.isAvailable:
			canServe = change.at+ready <= from
		case change.at >= from:
			return false
		default:
			canServe = false
		}
	}
	return canServe
}

// checkWaitingWorkStarts checks that, in every queue that accepts a job after a fault, some
// task starts within the recovery time, unless the queue's pool is busy throughout.
func (a *analysis) checkWaitingWorkStarts(faultAt, until eventloop.Micros) {
	waiting, waitingSince := map[string]string{}, map[string]eventloop.Micros{}
	started := map[string]bool{}
	for _, job := range a.sortedJobs {
		queue := job.key.queue
		if job.startsWithin(faultAt, until) {
			started[queue] = true
		}
		if !job.waitsWithin(faultAt, until-clientPatience) {
			continue
		}
		waiting[queue] = job.key.name
		if since := waitingSince[queue]; since == 0 || job.acceptedAt < since {
			waitingSince[queue] = job.acceptedAt
		}
	}
	for queue, name := range waiting {
		if !started[queue] && !a.isPoolBusyThroughout(queue, waitingSince[queue], until) {
			a.report(ruleRecovery, faultAt, "no task of the queue %s starts within %d us after a fault, although %s is waiting", queue, a.tolerances.Recovery, name)
		}
	}
}

// startsWithin reports whether any task of the job starts within the interval. Resumed runs
// don't count.
func (r *jobRecord) startsWithin(after, until eventloop.Micros) bool {
	for _, runs := range r.runs {
		for _, run := range runs {
			if run.start > after && run.start <= until && !run.isResumed {
				return true
			}
		}
	}
	return false
}

// waitsWithin reports whether the job is accepted within the interval, may start at once, and
// hadn't started before the interval.
func (r *jobRecord) waitsWithin(after, before eventloop.Micros) bool {
	startsAtOnce := r.spec != nil && r.spec.DelayUs == 0 && r.spec.StartUnixUs == 0 && r.cancelRequestedAt == 0
	if !startsAtOnce || !r.isAccepted || r.acceptedAt <= after || r.acceptedAt >= before {
		return false
	}
	first := eventloop.Micros(0)
	for _, runs := range r.runs {
		for _, run := range runs {
			if first == 0 || run.start < first {
				first = run.start
			}
		}
	}
	return first == 0 || first > after
}

// isPoolBusyThroughout reports whether at least half of the cores of the queue's pool were in
// use throughout the interval. More urgent jobs may then leave no cores for the queue. With
// fewer cores in use, there is no reason not to start the queue's jobs.
func (a *analysis) isPoolBusyThroughout(queue string, from, to eventloop.Micros) bool {
	usage := poolUsage{queue: queue, workers: map[string]*workerState{}}
	for k := range a.history {
		e := &a.history[k]
		if e.At > to {
			break
		}
		usage.record(e)
		isLast := k+1 == len(a.history)
		// Check the state only after the last of several events with the same time.
		if (isLast || a.history[k+1].At > e.At && a.history[k+1].At > from) && !usage.isBusy() {
			return false
		}
	}
	return true
}

// poolUsage tracks the resources that are in use in a queue's pool.
type poolUsage struct {
	queue, pool string
	workers     map[string]*workerState // workers of all pools
}

func (u *poolUsage) record(e *Event) {
	worker := u.workers[e.Actor]
	switch e.Kind {
	case ConfigurationReply:
		if e.Code == 200 && e.Rows != nil {
			u.pool = rowValue(e.Rows, "queue", u.queue, "pool")
		}
	case WorkerUp:
		u.workers[e.Actor] = &workerState{capacity: e.resources(), pool: e.Pool}
	case WorkerGone:
		delete(u.workers, e.Actor)
	case TaskStart:
		if worker != nil {
			worker.used = worker.used.plus(e.resources())
		}
	case TaskEnd:
		if worker != nil {
			worker.used = worker.used.minus(e.resources())
		}
	}
}

// isBusy reports whether at least half of the pool's cores are in use.
func (u *poolUsage) isBusy() bool {
	var inPool []*workerState
	for _, worker := range u.workers {
		if worker.pool == u.pool {
			inPool = append(inPool, worker)
		}
	}
	total, used := coresOf(inPool)
	return total > 0 && 2*used >= total
}

// checkWorkersAnswered checks that a worker that is up, and neither partitioned nor frozen, is
// in contact with the system at least once within every recovery time.
func (a *analysis) checkWorkersAnswered() {
	lastAnswer := map[string]eventloop.Micros{} // last contact of the workers that are up
	isUnreachable := map[string]bool{}
	checkGap := func(worker string, now eventloop.Micros) {
		if at, isUp := lastAnswer[worker]; isUp && !isUnreachable[worker] && now > a.recoveryDeadline(at) {
			a.report(ruleRecovery, at, "the worker %s had no contact for %d us", worker, now-at)
		}
		lastAnswer[worker] = now
	}
	for k := range a.history {
		e := &a.history[k]
		switch e.Kind {
		case WorkerUp:
			lastAnswer[e.Actor], isUnreachable[e.Actor] = e.At, false
		case WorkerAnswered:
			checkGap(e.Actor, e.At)
		case WorkerGone:
			checkGap(e.Actor, e.At)
			delete(lastAnswer, e.Actor)
		case WorkerPaused:
			checkGap(e.Actor, e.At)
			isUnreachable[e.Actor] = true
		case WorkerResumed:
			isUnreachable[e.Actor], lastAnswer[e.Actor] = false, e.At
		case WorkerPartitioned:
			if !isUnreachable[e.Actor] {
				checkGap(e.Actor, e.At)
			}
			isUnreachable[e.Actor], lastAnswer[e.Actor] = e.State != Healed, e.At
		case Close:
			for worker := range lastAnswer {
				if !isUnreachable[worker] && a.recordsAnswers(worker) {
					checkGap(worker, e.At)
				}
			}
		}
	}
}

// recordsAnswers reports whether the history contains any WorkerAnswered event of the worker.
func (a *analysis) recordsAnswers(worker string) bool {
	for k := range a.history {
		if a.history[k].Kind == WorkerAnswered && a.history[k].Actor == worker {
			return true
		}
	}
	return false
}
