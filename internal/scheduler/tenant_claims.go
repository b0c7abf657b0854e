package scheduler

// Claims: what becomes free of a tenant's limit is kept for a wide step that has waited long.

import (
	"cmp"
	"math"

	"sparnotch/internal/eventloop"
)

// limitClaim keeps what becomes free of a tenant's limit for a wide step.
type limitClaim struct {
	step         stepKey
	urgency      int64 // of its queue; more urgent steps don't wait
	waitingSince eventloop.Micros
}

// claimLimits keeps the limits of tenants for those of their wide steps that have waited long and
// don't fit beside what else the tenant runs: narrower ones would take each part that becomes
// free. Of several the one in the most urgent queue claims, among equals the oldest.
func (s *Scheduler) claimLimits(now eventloop.Micros, queues []*queueView, pass *passState) {
	if !s.config.HasTenants() {
		return
	}
	for _, q := range queues {
		for _, group := range q.byShape {
			step, _ := group.steps.Min()
			first := step.first()
			account := pass.accountOf(s, first.tenant)
			if now-first.stateSince < claimDelay || !account.isWide(step) || account.isUncertain || account.nextAllowedTasks(step, math.MaxInt64) != nil {
				continue
			}
			claim := &limitClaim{step.key, q.urgency, first.stateSince}
			if claim.comesBefore(account.claim) {
				account.claim = claim
			}
		}
	}
}

func (c *limitClaim) comesBefore(other *limitClaim) bool {
	if other == nil {
		return true
	}
	return cmp.Or(
		cmp.Compare(other.urgency, c.urgency), cmp.Compare(c.waitingSince, other.waitingSince),
		compareTaskKeys(taskKey{c.step.queue, c.step.job, c.step.step, 0}, taskKey{other.step.queue, other.step.job, other.step.step, 0}),
	) < 0
}

// isWide reports whether what a step must start at once, a task or a gang, takes much of the
// limit and yet may have it when nothing else of the tenant runs.
func (a *tenantAccount) isWide(step *stepQueue) bool {
	members := 1
	if step.spec.Gang {
		members = int(step.spec.Tasks)
	}
	need := resourcesOf(step.spec)
	alone := tenantAccount{limit: a.limit, overrun: a.overrun}
	if !alone.allowsGang(need, members) {
		return false
	}
	for _, kind := range a.limitedKinds(need) {
		if kind.need*int64(members)*wideFraction > kind.limit {
			return true
		}
	}
	return false
}
