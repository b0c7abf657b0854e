package checker

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Hashes of keys: two for the tenant "one", one for the tenant "two", and one that no
// configuration contains.
const (
	keyOne   = "11111111111111111111111111111111"
	otherKey = "12121212121212121212121212121212"
	keyTwo   = "22222222222222222222222222222222"
	noKey    = "99999999999999999999999999999999"
)

// tenantRows returns configuration rows with a queue, two tenants and the more rows. Without
// any more rows, the first tenant has a limit of 30 thousandths of a core, 100 MB and one
// accelerator.
func tenantRows(more ...string) []*schema.ConfigurationRow {
	list := rows("queue l urgency 1", "tenant one key_hashes "+keyOne, "tenant two key_hashes "+keyTwo)
	list = append(list, &schema.ConfigurationRow{Kind: "fleet", Key: "require_keys", Value: "1"})
	if len(more) == 0 {
		more = []string{"tenant one max_cores_milli 30", "tenant one max_memory_mb 100", "tenant one max_accelerators 1"}
	}
	return append(list, rows(more...)...)
}

// withKey returns the event with the hash of the key that its call carried.
func withKey(e Event, keyHash string) Event {
	e.KeyHash = keyHash
	return e
}

// reply returns the answer to a call with a key that was sent half a second before.
func reply(kind string, at eventloop.Micros, keyHash string, code int32, state string) Event {
	return withKey(answer(kind, at-s/2, at, "g", code, state), keyHash)
}

// tenantHistory returns a history in which the tenant "one" submits a job of five tasks, with
// the events inserted after that. The configuration of tenantRows is accepted at the beginning,
// and the job is reported as ended after 90 s.
func tenantHistory(events ...Event) []Event {
	spec := &schema.Job{Steps: []*schema.Step{{Name: "a", Tasks: 5}}}
	history := []Event{
		configurationSent(1, tenantRows()), configurationAccepted(2, 2, tenantRows()),
		workerUp(3, "w"), workerUp(3, "v"), workerUp(3, "x"),
		withKey(submit(5*s, spec), keyOne), reply(SubmitReply, 5*s+1, keyOne, 201, ""),
	}
	history = append(history, events...)
	listed := statusReply(90*s, 200, "failed")
	listed.Actor = Lister
	return append(history, listed,
		answer(ConfigurationRead, 91*s, 91*s+1, "g", 200, ""), Event{At: 300 * s, Kind: Close})
}

// runOf returns the start of a task of the job that uses these resources.
func runOf(at eventloop.Micros, worker string, task uint32, cores, memory, accelerators int64) Event {
	e := taskStart(at, worker, 0, task, 1)
	e.Cores, e.Memory, e.Accelerators = cores, memory, accelerators
	return e
}

// brokenTenantRules returns the rules on quotas, keys and tenants that the history breaks.
func brokenTenantRules(history []Event) map[int]bool {
	broken := map[int]bool{}
	for rule := range brokenRules(history) {
		if rule >= ruleQuota {
			broken[rule] = true
		}
	}
	return broken
}

func TestTenantRules(t *testing.T) {
	const at = 20 * s
	lowered := tenantRows("tenant one max_cores_milli 10")
	swapped := []*schema.ConfigurationRow{}
	for _, row := range tenantRows() {
		if row.Value == keyOne {
			row = &schema.ConfigurationRow{Kind: row.Kind, Name: row.Name, Key: row.Key, Value: otherKey}
		}
		swapped = append(swapped, row)
	}
	public := tenantRows("queue l public 1")
	foreignSubmit := withKey(submit(at, &schema.Job{Steps: []*schema.Step{{Name: "a", Tasks: 5}}}), keyTwo)
	change := func(at eventloop.Micros, rows []*schema.ConfigurationRow) []Event {
		return []Event{configurationSent(at-1, rows), configurationAccepted(at, 3, rows)}
	}
	full := []Event{runOf(at, "w", 0, 10, 0, 0), runOf(at+1, "v", 1, 10, 0, 0), runOf(at+2, "x", 2, 10, 0, 0), runOf(at+3, "x", 3, 10, 0, 0)}
	with := func(lists ...[]Event) (all []Event) {
		for _, list := range lists {
			all = append(all, list...)
		}
		return all
	}
	for _, test := range []struct {
		what             string
		rule             int
		broken, nearMiss []Event
	}{
		{"a tenant runs more than its cores, the overrun and a task", ruleQuota,
			with(full, []Event{runOf(at+4, "w", 4, 10, 0, 0)}), full},
		{"a tenant runs more than its memory", ruleQuota,
			[]Event{runOf(at, "w", 0, 1, 60, 0), runOf(at+1, "v", 1, 1, 60, 0), runOf(at+2, "v", 2, 1, 60, 0)},
			[]Event{runOf(at, "w", 0, 1, 60, 0), runOf(at+1, "v", 1, 1, 60, 0), runOf(at+2, "v", 2, 1, 0, 0)}},
		{"a tenant runs on more than its accelerators", ruleQuota,
			[]Event{runOf(at, "w", 0, 1, 0, 1), runOf(at+1, "v", 1, 1, 0, 1), runOf(at+2, "x", 2, 1, 0, 1)},
			[]Event{runOf(at, "w", 0, 1, 0, 1), runOf(at+1, "v", 1, 1, 0, 1), taskEnd(at+2, "w", 0, 0, 1, "done"), runOf(at+3, "x", 2, 1, 0, 1)}},
		{"what ended with a lost worker isn't counted, what runs on a frozen one's successor is", ruleQuota,
			with(full, []Event{{At: at + 4, Kind: WorkerPaused, Actor: "w"}, runOf(at+5, "v", 4, 10, 0, 0), runOf(at+6, "v", 0, 10, 0, 0)}),
			with(full, []Event{{At: at + 4, Kind: WorkerGone, Actor: "x"}, runOf(at+5, "v", 2, 10, 0, 0), runOf(at+6, "v", 3, 10, 0, 0)})},
		{"more than a lowered limit once it must be in force", ruleQuota,
			with(change(at-2*s-10, lowered), full[:3]), with(change(at-s, lowered), full)},
		{"a key that no configuration has held", ruleKeys,
			[]Event{reply(Status, at, noKey, 200, "running")}, []Event{reply(Status, at, noKey, 401, "")}},
		{"a key that was never held, soon after the configuration", ruleKeys,
			[]Event{reply(Status, 6*s, noKey, 404, ""), reply(CancelReply, 7*s, noKey, 200, "cancelled")}, []Event{reply(CancelReply, 7*s, noKey, 401, "")}},
		{"a key that was dropped", ruleKeys,
			with(change(at, swapped), []Event{reply(Status, at+4*s, keyOne, 200, "running")}),
			with(change(at, swapped), []Event{reply(Status, at+2*s, keyOne, 200, "running"), reply(Status, at+4*s, otherKey, 200, "running")})},
		{"a call without a key", ruleKeys,
			[]Event{reply(Status, at, "", 200, "running")},
			with(change(at, public), []Event{reply(Status, at+4*s, "", 200, "running")})},
		{"a key that is held is refused with 401", ruleKeys,
			with(change(at, swapped), []Event{reply(Status, at+4*s, otherKey, 401, "")}),
			with(change(at, swapped), []Event{reply(Status, at+4*s, keyOne, 401, "")})},
		{"a call for a public queue is refused with 401", ruleKeys,
			with(change(at, public), []Event{reply(Status, at+4*s, "", 401, "")}),
			with(change(at, public), []Event{reply(Status, at+s, "", 401, "")})},
		{"a job is refused to its own tenant", ruleKeys,
			[]Event{reply(Status, at, keyOne, 403, "")}, []Event{reply(Status, at, keyTwo, 403, "")}},
		{"a job is shown to another tenant", ruleTenants,
			[]Event{reply(Status, at, keyTwo, 200, "running")}, []Event{reply(Status, at, keyOne, 200, "running")}},
		{"a job is cancelled by another tenant", ruleTenants,
			[]Event{reply(CancelReply, at, keyTwo, 200, "stopping")}, []Event{reply(CancelReply, at, keyTwo, 403, "")}},
		{"one job is two tenants'", ruleTenants,
			[]Event{foreignSubmit, reply(SubmitReply, at+1, keyTwo, 200, "running")}, []Event{foreignSubmit, reply(SubmitReply, at+1, keyTwo, 409, "")}},
		{"a job is shown as another tenant's", ruleTenants,
			[]Event{func() Event { e := reply(Status, at, keyOne, 200, "running"); e.Tenant = "two"; return e }()},
			[]Event{func() Event { e := reply(Status, at, keyOne, 200, "running"); e.Tenant = "one"; return e }()}},
	} {
		Convey("Found: "+test.what, t, func() {
			So(brokenTenantRules(tenantHistory(test.broken...)), ShouldResemble, map[int]bool{test.rule: true})
			So(brokenTenantRules(tenantHistory(test.nearMiss...)), ShouldBeEmpty)
		})
	}
	Convey("A key that a configuration holds and no client knows to be accepted may be served and refused", t, func() {
		unclear := configurationAccepted(at, 3, swapped)
		unclear.Code, unclear.Version, unclear.BaseVersion = 0, 0, 2
		So(brokenTenantRules(tenantHistory(unclear, reply(Status, at+5*s, otherKey, 401, ""), reply(Status, at+6*s, otherKey, 200, "running"))), ShouldBeEmpty)
		So(brokenTenantRules(tenantHistory(unclear, reply(Status, at+5*s, keyOne, 401, ""), reply(Status, at+6*s, keyOne, 200, "running"))), ShouldBeEmpty)
	})
}

func TestIdleRuleKnowsQuotas(t *testing.T) {
	Convey("A job of a tenant that uses half of its limit may wait; one of a tenant that doesn't may not", t, func() {
		busy := &schema.Job{Steps: []*schema.Step{{Name: "a", Tasks: 1}}}
		history := func(limit string) []Event {
			list := tenantRows("tenant one max_cores_milli " + limit)
			other := withKey(submit(6*s, busy), keyOne)
			other.Name = "k"
			otherReply := reply(SubmitReply, 6*s+1, keyOne, 201, "")
			otherReply.Name = "k"
			run := Event{At: 7 * s, Kind: TaskStart, Actor: "w", Queue: "l", Name: "k", Attempt: 1, Cores: 10, IsCalled: true}
			return []Event{
				configurationSent(1, list), configurationAccepted(2, 2, list), calledWorkerUp(3, "w", ""), calledWorkerUp(3, "v", ""), calledWorkerUp(3, "x", ""),
				withKey(submit(5*s, busy), keyOne), reply(SubmitReply, 5*s+1, keyOne, 201, ""), other, otherReply, run,
				calledEnd(20*s, "w", 0, 0, 1, "done"), {At: 30 * s, Kind: Close},
			}
		}
		isIdle := func(history []Event) bool {
			for _, violation := range Check(history, CalledWorkerTolerances) {
				if violation.Rule == ruleJobsKept && violation.At < 12*s {
					return true
				}
			}
			return false
		}
		So(isIdle(history("20")), ShouldBeFalse)
		So(isIdle(history("30")), ShouldBeTrue)
	})
}
