package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"sparnotch/internal/checker"
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/deployments"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// intruderInterval is how often a call is made that no key allows.
const intruderInterval = 350 * eventloop.Millisecond

// tenantClients are the tenants that share a deployment, and the keys that their clients
// use. What is drawn here leaves the simulation's own draws as they are.
type tenantClients struct {
	rng        *rand.Rand
	configured []deployments.Tenant // as operators have last sent them
	keysInUse  map[string][]string  // by tenant
	changes    []func()             // that operators have still to send, one after the other
	changed    int                  // changes that were begun
	intrusions int
}

// newTenantClients gives the clients of tenants; nil where there are none.
func newTenantClients(seed uint64, tenants []deployments.Tenant) *tenantClients {
	if len(tenants) == 0 {
		return nil
	}
	t := &tenantClients{rng: rand.New(rand.NewPCG(seed, 0x7e4a)), configured: slices.Clone(tenants), keysInUse: map[string][]string{}}
	for _, tenant := range tenants {
		t.keysInUse[tenant.Name] = slices.Clone(tenant.Keys)
	}
	return t
}

// draw draws a tenant by its share of the calls; empty: there are none.
func (t *tenantClients) draw() string {
	if t == nil {
		return ""
	}
	sum := 0.0
	for _, tenant := range t.configured {
		sum += tenant.CallShare
	}
	at := t.rng.Float64() * sum
	for _, tenant := range t.configured {
		if at < tenant.CallShare {
			return tenant.Name
		}
		at -= tenant.CallShare
	}
	return t.configured[0].Name
}

// drawKeyHash draws one of the keys that a tenant's clients use, and gives its hash.
func (t *tenantClients) drawKeyHash(tenant string) string {
	if t == nil || len(t.keysInUse[tenant]) == 0 {
		return ""
	}
	keys := t.keysInUse[tenant]
	return clusterstate.HashKey(keys[t.rng.IntN(len(keys))])
}

// stopUsing has a tenant's clients use a key no longer.
func (t *tenantClients) stopUsing(tenant, key string) {
	t.keysInUse[tenant] = slices.DeleteFunc(slices.Clone(t.keysInUse[tenant]), func(k string) bool { return k == key })
}

// otherThan draws a tenant that isn't the given one.
func (t *tenantClients) otherThan(tenant string) string {
	var others []string
	for _, other := range t.configured {
		if other.Name != tenant {
			others = append(others, other.Name)
		}
	}
	return others[t.rng.IntN(len(others))]
}

// tenant is what is configured of a tenant.
func (t *tenantClients) tenant(name string) *deployments.Tenant {
	for k := range t.configured {
		if t.configured[k].Name == name {
			return &t.configured[k]
		}
	}
	return nil
}

// changeTenant has an operator change what is configured of a tenant once all changes
// before are acknowledged, and calls back when this one is.
func (f *Fleet) changeTenant(name string, change func(tenant *deployments.Tenant), acknowledged func()) {
	f.tenants.changes = append(f.tenants.changes, func() {
		f.tenants.configured = slices.Clone(f.tenants.configured)
		change(f.tenants.tenant(name))
		f.sendTenants(acknowledged)
	})
	if len(f.tenants.changes) == 1 {
		f.tenants.changes[0]()
	}
}

// sendTenants has an operator of its own send what is configured now, and calls back once
// that is acknowledged; the next change follows.
func (f *Fleet) sendTenants(acknowledged func()) {
	f.tenants.changed++
	operator := fmt.Sprint("operator of tenants ", f.tenants.changed)
	next := func() {
		acknowledged()
		f.tenants.changes = f.tenants.changes[1:]
		if len(f.tenants.changes) > 0 {
			f.tenants.changes[0]()
		}
	}
	f.observers = append(f.observers, func(e checker.Event) bool {
		if e.Kind != checker.ConfigurationReply || e.Actor != operator || e.Code != 200 {
			return false
		}
		f.After(0, next)
		return true
	})
	f.PutConfiguration(operator, f.ConfigurationRows(operatorUrgency))
}

// intrudePeriodically makes calls that no key allows, at intervals until a moment: with a
// key that was never held, without one, and about another tenant's job.
func (f *Fleet) intrudePeriodically(until eventloop.Micros) {
	if f.Now >= until {
		return
	}
	f.tenants.intrusions++
	f.After(intruderInterval, func() { f.intrudePeriodically(until) })
	neverHeld := clusterstate.HashKey(fmt.Sprint("never held ", f.tenants.intrusions))
	known := f.lastAcceptedJobOf("")
	job := f.submittedJobs[known]
	foreign := f.tenants.drawKeyHash(f.tenants.otherThan(job.tenant))
	switch kind := f.tenants.intrusions % 6; {
	case kind == 0:
		f.submitUntilAnswered(fmt.Sprint("intruder-", f.tenants.intrusions), neverHeld)
	case kind == 1:
		f.submitUntilAnswered(fmt.Sprint("intruder-", f.tenants.intrusions), "")
	case known == "":
	case kind == 2:
		f.askUntilAnswered(job.queue, "status", known, foreign)
	case kind == 3:
		f.askUntilAnswered(job.queue, "cancel", known, foreign)
	case kind == 4:
		f.askUntilAnswered(job.queue, "status", known, neverHeld)
	default:
		f.askUntilAnswered(job.queue, "status", known, "")
	}
}

// lastAcceptedJobOf is the name of the job of a tenant, or where none is named of any, that
// was accepted last; empty: none was.
func (f *Fleet) lastAcceptedJobOf(tenant string) string {
	for _, e := range slices.Backward(f.History) {
		owner := f.submittedJobs[e.Name].tenant
		if e.Kind == checker.SubmitReply && e.Code == 201 && owner != "" && (tenant == "" || owner == tenant) {
			return e.Name
		}
	}
	return ""
}

// askUntilAnswered asks about a job with the hash of a key until there is an answer.
func (f *Fleet) askUntilAnswered(queue, request, name, keyHash string) {
	f.askThrough(f.anyGateway(), queue, request, name, keyHash, func(code int32, _ *schema.JobView) {
		if code == 0 || code >= 500 {
			f.After(statusRetryDelay, func() { f.askUntilAnswered(queue, request, name, keyHash) })
		}
	})
}

// submitUntilAnswered submits a small job, with the hash of a key that no tenant holds or
// without one, until there is an answer.
func (f *Fleet) submitUntilAnswered(name, keyHash string) {
	const queue = "quick"
	node, sentAt, job := f.anyGateway(), f.Now, newJob("intruder", newTimedStep("a", 1, 500, 30*eventloop.Millisecond))
	f.submittedJobs[name] = submittedJob{queue: queue, job: job}
	f.Record(checker.Event{Kind: checker.Submit, Actor: "caller", Queue: queue, Name: name, Spec: job, KeyHash: keyHash})
	f.Request(node, clientTimeout, submitWithKey(queue, "c-"+node.Name, keyHash, name, job), func(answer any) {
		response := responseOf(answer)
		f.Record(checker.Event{
			Kind: checker.SubmitReply, Actor: "caller", Queue: queue, Name: name, Code: response.Code, Gateway: node.Name, SentAt: sentAt, KeyHash: keyHash,
		})
		if isUnclear(response) {
			f.After(resubmitDelay, func() { f.submitUntilAnswered(name, keyHash) })
		}
	})
}
