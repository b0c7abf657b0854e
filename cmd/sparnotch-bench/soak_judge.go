package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
)

// keyedCall is a client's call and its answer.
type keyedCall struct {
	sentAt, answeredAt   eventloop.Micros
	gateway, queue, path string
	tenant, key          string // empty: the call had none
	code                 int32
}

// soakJudge checks the rules on keys and quotas, which recorded histories say nothing
// about: they have no keys.
type soakJudge struct {
	book        *keyBook
	now         func() eventloop.Micros
	propagation eventloop.Micros // an accepted configuration is in force everywhere by then
	mu          sync.Mutex
	calls       []keyedCall
}

func (j *soakJudge) addCall(call keyedCall) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calls = append(j.calls, call)
}

// check returns a line for each violation.
func (j *soakJudge) check(events []checker.Event) []string {
	var violations []string
	for _, call := range j.calls {
		if text := j.checkCall(call); text != "" {
			violations = append(violations, fmt.Sprintf("keys at %d us: %s %s: %s", call.answeredAt, call.gateway, call.path, text))
		}
	}
	return append(violations, j.checkQuotas(events)...)
}

// checkCall: a call is served only with a key that a configuration holds which may be in
// force, and never refused for a key that all of them hold. Empty: the rule is kept.
func (j *soakJudge) checkCall(call keyedCall) string {
	list := j.book.inForce(call.sentAt, call.answeredAt, j.propagation)
	holds := func(c *keyedConfiguration) bool { return call.key != "" && c.tenantOfKey[call.key] == call.tenant }
	refuses := func(c *keyedConfiguration) bool {
		isOpen := call.key == "" && call.queue == c.publicQueue
		return c.requiresKeys && !isOpen && !holds(c)
	}
	isServed := call.code == http.StatusOK || call.code == http.StatusCreated
	isRefused := call.code == http.StatusUnauthorized || call.code == http.StatusForbidden
	switch {
	case isServed && all(list, refuses):
		return fmt.Sprintf("serves %q with the key %q, which no configuration in force holds", call.tenant, call.key)
	case isRefused && all(list, holds):
		return fmt.Sprintf("refuses %q with %d, though every configuration in force holds the key %q", call.tenant, call.code, call.key)
	}
	return ""
}

// tenantOfJob is the tenant in a job's name, PREFIX.TENANT-TYPE-NUMBER.
func tenantOfJob(name string) string {
	_, rest, _ := strings.Cut(name, ".")
	tenant, _, _ := strings.Cut(rest, "-")
	return tenant
}

// soakRun names a run of a task on a worker.
type soakRun struct {
	queue      string
	job        uint64
	step, task uint32
	worker     string
}

// tenantUse is what a tenant has running.
type tenantUse struct {
	cores int64
	runs  map[soakRun]int64 // cores of each
}

// checkQuotas: no start lifts what a tenant has running above the highest of its limits in
// the configurations that may be in force, and one task more.
func (j *soakJudge) checkQuotas(events []checker.Event) []string {
	var violations []string
	tenants := map[string]*tenantUse{}
	for k := range events {
		e := &events[k]
		run := soakRun{e.Queue, e.Job, e.Step, e.Task, e.Actor}
		switch e.Kind {
		case checker.TaskStart:
			tenant := tenantOfJob(e.Name)
			if tenants[tenant] == nil {
				tenants[tenant] = &tenantUse{runs: map[soakRun]int64{}}
			}
			use := tenants[tenant]
			if limit, isLimited := j.highestLimit(tenant, e.At); isLimited && use.cores > limit {
				violations = append(violations, fmt.Sprintf("quota at %d us: %s starts %s while %d thousandths of a core run, of %d", e.At, tenant, e.Name, use.cores, limit))
			}
			use.cores += e.Cores
			use.runs[run] = e.Cores
		case checker.TaskEnd:
			for _, use := range tenants {
				use.cores -= use.runs[run]
				delete(use.runs, run)
			}
		case checker.WorkerGone:
			for _, use := range tenants {
				use.dropWorker(e.Actor)
			}
		}
	}
	return violations
}

func (u *tenantUse) dropWorker(worker string) {
	for run, cores := range u.runs {
		if run.worker == worker {
			u.cores -= cores
			delete(u.runs, run)
		}
	}
}

// highestLimit is the highest of a tenant's limits that may be in force; false: there may be
// none, or a job may have been taken without its key.
func (j *soakJudge) highestLimit(tenant string, at eventloop.Micros) (int64, bool) {
	// A job belongs to its tenant only if keys were required all along.
	if !all(j.book.inForce(0, at, j.propagation), func(c *keyedConfiguration) bool { return c.requiresKeys }) {
		return 0, false
	}
	highest := int64(0)
	for _, c := range j.book.inForce(at, at, j.propagation) {
		if c.maxCores[tenant] == 0 {
			return 0, false
		}
		highest = max(highest, c.maxCores[tenant])
	}
	return highest, highest > 0
}
