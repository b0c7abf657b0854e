package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"sparnotch/internal/deployments"
)

const (
	meanThinkTime = 200 * time.Millisecond // of a session, between two jobs
	// refreshProbability is that of a session taking its tenant's newest key before a job,
	// though the one it has still works.
	refreshProbability = 0.2
	sessionConnections = 2
	cancelProbability  = 0.1 // of a job
	maxCancelDelay     = time.Second
)

// session is a client of a soak: it submits one job after another, over connections to one
// gateway node that it keeps until the node's process is gone, whatever the node says of
// its readiness.
type session struct {
	name, tenant, zone string
	balancer           *loadBalancer
	book               *keyBook
	transport          *http.Transport
	client             *http.Client

	mu      sync.Mutex // guards the rest
	gateway string     // empty: to be chosen
	ownKey  string
}

func newSession(name, tenant, zone, key string, f *fleet, book *keyBook) *session {
	transport := &http.Transport{MaxConnsPerHost: sessionConnections, MaxIdleConnsPerHost: sessionConnections}
	return &session{
		name: name, tenant: tenant, zone: zone, ownKey: key, balancer: f.balancer, book: book,
		transport: transport, client: &http.Client{Transport: transport},
	}
}

// pick implements requester: it stays with the session's gateway node. Without a zone any
// node will do.
func (s *session) pick(zone string) string {
	if zone == "" {
		return s.balancer.pick("")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gateway == "" {
		s.gateway = s.balancer.pick(zone)
	}
	return s.gateway
}

// key implements requester.
func (s *session) key() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownKey
}

// send implements requester: a call that gets no answer ends the connections to its node,
// and a key that is refused is replaced by the tenant's newest.
func (s *session) send(ctx context.Context, timeout time.Duration, r request) (httpReply, error) {
	reply, err := r.send(ctx, s.client, timeout)
	if err != nil {
		s.leave(r.address)
	}
	if reply.code == http.StatusUnauthorized {
		s.refreshKey()
	}
	return reply, err
}

// leave has the next call choose a gateway node again, if the session was with this one.
func (s *session) leave(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gateway == address {
		s.gateway = ""
		s.transport.CloseIdleConnections()
	}
}

// refreshKey takes the key that the session's tenant was given last, if it has any.
func (s *session) refreshKey() {
	key := s.book.newest(s.tenant)
	s.mu.Lock()
	defer s.mu.Unlock()
	if key != "" {
		s.ownKey = key
	}
}

// run submits jobs and follows each to its end, until loading ends; ctx ends the session.
func (s *session) run(loading, ctx context.Context, c *clients, types []deployments.JobType, rng *rand.Rand) {
	defer s.transport.CloseIdleConnections()
	for number := 0; ; number++ {
		sleep(loading, time.Duration(rng.ExpFloat64()*float64(meanThinkTime)))
		if loading.Err() != nil {
			return
		}
		if rng.Float64() < refreshProbability {
			s.refreshKey()
		}
		jobType := types[rng.IntN(len(types))]
		j := &clientJob{
			clients: c, requester: s, jobType: jobType, zone: s.zone, client: s.name,
			name: fmt.Sprintf("%s.%s-%s-%s-%d", c.prefix, s.tenant, jobType.Name, s.name, number),
		}
		if rng.Float64() < cancelProbability {
			j.cancelAfter = 1 + drawPause(rng, maxCancelDelay)
		}
		j.run(ctx)
	}
}
