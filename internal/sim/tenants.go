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

// intruderInterval is the interval between two unauthorized requests.
const intruderInterval = 350 * eventloop.Millisecond

// tenantClients holds the tenants that share a deployment and the keys that their clients use.
// It has its own random source, so that its draws don't change those of the simulation.
type tenantClients struct {
	rng            *rand.Rand
	configured     []deployments.Tenant // tenants in the configuration that operators sent last
	keysInUse      map[string][]string  // keys that clients use, by tenant
	pendingChanges []func()             // changes that aren't acknowledged yet; only the first one has begun
	changesBegun   int                  // number of changes that have begun
	intrusions     int                  // number of unauthorized requests
}

// newTenantClients returns the clients of the given tenants, or nil if there are no tenants.
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

// draw draws the name of a tenant with a probability in proportion to its share of the calls.
// It returns an empty name if there are no tenants.
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

// drawKeyHash draws one of the keys that a tenant's clients use and returns its hash, or an
// empty string if they use none.
func (t *tenantClients) drawKeyHash(tenant string) string {
	if t == nil || len(t.keysInUse[tenant]) == 0 {
		return ""
	}
	keys := t.keysInUse[tenant]
	return clusterstate.HashKey(keys[t.rng.IntN(len(keys))])
}

// stopUsing makes a tenant's clients stop using a key.
func (t *tenantClients) stopUsing(tenant, key string) {
	t.keysInUse[tenant] = slices.DeleteFunc(slices.Clone(t.keysInUse[tenant]), func(k string) bool { return k == key })
}

// otherThan draws the name of a tenant other than the given one.
func (t *tenantClients) otherThan(tenant string) string {
	var others []string
	for _, other := range t.configured {
		if other.Name != tenant {
			others = append(others, other.Name)
		}
	}
	return others[t.rng.IntN(len(others))]
}

// tenant returns the configuration of a tenant, or nil if there is no tenant of this name.
func (t *tenantClients) tenant(name string) *deployments.Tenant {
	for k := range t.configured {
		if t.configured[k].Name == name {
			return &t.configured[k]
		}
	}
	return nil
}

// changeTenant makes an operator change the configuration of a tenant once all earlier changes
// are acknowledged. It calls acknowledged when this change is.
func (f *Fleet) changeTenant(name string, change func(tenant *deployments.Tenant), acknowledged func()) {
	f.tenants.pendingChanges = append(f.tenants.pendingChanges, func() {
		f.tenants.configured = slices.Clone(f.tenants.configured)
		change(f.tenants.tenant(name))
		f.sendTenants(acknowledged)
	})
	if len(f.tenants.pendingChanges) == 1 {
		f.tenants.pendingChanges[0]()
	}
}

// sendTenants makes a new operator send the current configuration of the tenants. When that is
// acknowledged, it calls acknowledged and begins the next pending change.
func (f *Fleet) sendTenants(acknowledged func()) {
	f.tenants.changesBegun++
	operator := fmt.Sprint("operator of tenants ", f.tenants.changesBegun)
	next := func() {
		acknowledged()
		f.tenants.pendingChanges = f.tenants.pendingChanges[1:]
		if len(f.tenants.pendingChanges) > 0 {
			f.tenants.pendingChanges[0]()
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

// intrudePeriodically sends unauthorized requests at an interval until a point in time: with a
// key that no tenant ever had, without a key, and about another tenant's job.
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

// lastAcceptedJobOf returns the name of the last accepted job of a tenant, or of any tenant if
// the argument is empty. It returns an empty name if no such job was accepted.
func (f *Fleet) lastAcceptedJobOf(tenant string) string {
	for _, e := range slices.Backward(f.History) {
		owner := f.submittedJobs[e.Name].tenant
		if e.Kind == checker.SubmitReply && e.Code == 201 && owner != "" && (tenant == "" || owner == tenant) {
			return e.Name
		}
	}
	return ""
}

// askUntilAnswered sends a request about a job with the hash of a key until there is a
// response with a code below 500.
func (f *Fleet) askUntilAnswered(queue, request, name, keyHash string) {
	f.askThrough(f.anyGateway(), queue, request, name, keyHash, func(code int32, _ *schema.JobView) {
		if code == 0 || code >= 500 {
			f.After(statusRetryDelay, func() { f.askUntilAnswered(queue, request, name, keyHash) })
		}
	})
}

// submitUntilAnswered submits a small job, with the hash of a key that no tenant has or without
// a key, until there is a final response.
func (f *Fleet) submitUntilAnswered(name, keyHash string) {
	const queue = "quick"
	node, sentAt, job := f.anyGateway(), f.Now, newJob("intruder", newTimedStep("a", 1, 500, 30*eventloop.Millisecond))
	f.submittedJobs[name] = submittedJob{queue: queue, job: job}
	f.Record(checker.Event{Kind: checker.Submit, Actor: "caller", Queue: queue, Name: name, Spec: job, KeyHash: keyHash})
	f.Request(node, clientTimeout, f.routes.submitWithKey(queue, "c-"+node.Name, keyHash, name, job), func(answer any) {
		response := responseOf(answer)
		f.Record(checker.Event{
			Kind: checker.SubmitReply, Actor: "caller", Queue: queue, Name: name, Code: response.Code, Gateway: node.Name, SentAt: sentAt, KeyHash: keyHash,
		})
		if isUnclear(response) {
			f.After(resubmitDelay, func() { f.submitUntilAnswered(name, keyHash) })
		}
	})
}
