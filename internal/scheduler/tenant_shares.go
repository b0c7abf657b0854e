package scheduler

// Fair shares: who goes first while there is more work than capacity.

import "math"

// shareRanksPerDoubling is how finely the order of tenants beyond their fair shares tells them
// apart; within a rank the jobs' order counts.
const shareRanksPerDoubling = 8

// tenantShare is what a tenant uses of a pool during a pass, beside its fair share of it.
type tenantShare struct {
	used resources
	fair resources // by its weight among the tenants that use or want something there; 0: no share
}

// rank tells how far the tenant is beyond its fair share: 0 is below, and each doubling counts
// shareRanksPerDoubling. What counts is the kind of which it has the largest part (dominant
// resource fairness).
func (s *tenantShare) rank() int {
	ratio := 0.0
	for _, kind := range [...][2]int64{
		{s.used.cores, s.fair.cores}, {s.used.memory, s.fair.memory}, {s.used.accelerators, s.fair.accelerators},
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

// poolShares are the shares of one pool.
type poolShares struct {
	pool         string
	total        resources // of its candidates
	activeWeight float64   // of the tenants that use or want something, in thousandths
	byTenant     map[string]*tenantShare
}

// sharesOf returns the shares of a queue's pool in this pass.
func (p *passState) sharesOf(s *Scheduler, q *queueView) *poolShares {
	pool := s.poolOf(q)
	if shares := p.poolShares[pool]; shares != nil {
		return shares
	}
	shares := &poolShares{pool: pool, activeWeight: s.activeWeight(pool), byTenant: map[string]*tenantShare{}}
	for _, c := range p.byPool[pool] {
		shares.total.add(c.worker.total())
	}
	p.poolShares[pool] = shares
	return shares
}

// of returns a tenant's share.
func (p *poolShares) shareOf(s *Scheduler, name string) *tenantShare {
	if share := p.byTenant[name]; share != nil {
		return share
	}
	share := &tenantShare{}
	if tenant := s.tenantOf(name); tenant != nil && p.activeWeight > 0 {
		fraction := float64(tenant.WeightMilli) / p.activeWeight
		share.used = s.poolUse[p.pool].usedBy(name)
		share.fair = resources{int64(fraction * float64(p.total.cores)), int64(fraction * float64(p.total.memory)), int64(fraction * float64(p.total.accelerators))}
	}
	p.byTenant[name] = share
	return share
}

// activeWeight sums the weights, in thousandths, of the tenants that use or want something of a
// pool.
func (s *Scheduler) activeWeight(pool string) (sum float64) {
	active := map[string]bool{}
	if use := s.poolUse[pool]; use != nil {
		for name := range use.byTenant {
			active[name] = true
		}
	}
	for _, q := range s.queues {
		if s.poolOf(q) != pool {
			continue
		}
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
