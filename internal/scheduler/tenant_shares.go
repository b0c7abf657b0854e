package scheduler

// Fair shares: who goes first while there is more work than capacity.

import "math"

// shareRanksPerDoubling is how finely the order of tenants beyond their fair shares tells them
// apart; within a rank the jobs' order counts.
const shareRanksPerDoubling = 8

// shareRank tells how far the tenant is beyond its fair share: 0 is below, and each doubling
// counts shareRanksPerDoubling. What counts is the kind of which it has the largest part
// (dominant resource fairness).
func (a *tenantAccount) shareRank() int {
	if (a.fairShare == resources{}) {
		return 0
	}
	used := a.used
	ratio := 0.0
	for _, kind := range [...][2]int64{
		{used.cores, a.fairShare.cores}, {used.memory, a.fairShare.memory}, {used.accelerators, a.fairShare.accelerators},
	} {
		if kind[0] > 0 && kind[1] > 0 {
			ratio = math.Max(ratio, float64(kind[0])/float64(kind[1]))
		}
	}
	if ratio < 1 {
		return 0
	}
	return 1 + int(shareRanksPerDoubling*math.Log2(ratio))
}

// activeWeight sums the weights, in thousandths, of the tenants that use or want something.
func (s *Scheduler) activeWeight() (sum float64) {
	active := map[string]bool{}
	for name := range s.tenantUse.byTenant {
		active[name] = true
	}
	for _, q := range s.queues {
		for name := range q.byTenant {
			active[name] = true
		}
	}
	for name := range active {
		if tenant := s.tenantOf(name); tenant != nil {
			sum += float64(tenant.WeightMilli)
		}
	}
	return sum
}
