package scheduler

// Fair shares determine the order of tenants while there is more work than capacity.

import "math"

// shareRanksPerDoubling is the number of ranks per doubling of a tenant's use beyond its fair
// share. Tenants of the same rank are served in the order of their jobs.
const shareRanksPerDoubling = 8

// tenantShare holds a tenant's use of a pool during a pass, and its fair share of the pool.
type tenantShare struct {
	used resources
	fair resources // share by its weight among the tenants that use the pool or have ready tasks for it; 0: no share
}

// rank returns how far the tenant's use is beyond its fair share: 0 is below the share, and each
// doubling adds shareRanksPerDoubling. The rank is that of the kind of resource of which the tenant
// uses the largest part (dominant resource fairness).
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

// poolShares holds the tenants' shares of one pool during a pass.
type poolShares struct {
	pool         string
	total        resources // resources of its candidate workers
	activeWeight float64   // see Scheduler.activeWeight
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

// shareOf returns a tenant's share of the pool.
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

// activeWeight returns the sum of the weights, in thousandths, of the tenants that use a pool or
// have ready tasks for it.
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
