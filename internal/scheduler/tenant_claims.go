package scheduler

// Claims reserve the room in a tenant's limit for a wide step that has waited long.

import (
	"cmp"
	"math"

	"sparnotch/internal/eventloop"
)

// limitClaim reserves the room that becomes free in a tenant's limit for a wide step.
type limitClaim struct {
	step         stepKey
	urgency      int64            // urgency of its queue; steps of more urgent queues ignore the claim
	waitingSince eventloop.Micros // when the step's first ready task became ready
}

// claimLimits lets wide steps claim the limits of their tenants if they have waited for claimDelay
// and don't fit beside the tenant's other tasks. Without a claim, narrower steps would take each
// bit of room as it becomes free. For each tenant the step in the most urgent queue claims the
// limit, and among equally urgent ones the step that has waited longest.
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

// comesBefore reports whether a claim has precedence over another one, which may be nil.
func (c *limitClaim) comesBefore(other *limitClaim) bool {
	if other == nil {
		return true
	}
	return cmp.Or(
		cmp.Compare(other.urgency, c.urgency), cmp.Compare(c.waitingSince, other.waitingSince),
		compareTaskKeys(taskKey{c.step.queue, c.step.job, c.step.step, 0}, taskKey{other.step.queue, other.step.job, other.step.step, 0}),
	) < 0
}

// isWide reports whether the unit that a step must start at once, a task or a whole gang, takes
// more than 1/wideFraction of the limit, but is allowed when the tenant runs nothing else.
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
