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
	meanThinkTime = 200 * time.Millisecond // between two jobs of a session
	// refreshProbability is the probability that a session switches to the newest key of its
	// tenant before a job, even if its current key still works.
	refreshProbability = 0.2
	sessionConnections = 2
	cancelProbability  = 0.1         // that a session cancels a job
	maxCancelDelay     = time.Second // from the acceptance of a job to its cancellation
	givingUpInterval   = 3           // of so many jobs, a session gives one up after an unclear answer
)

// session is a client of a soak. It submits one job after another over connections to one
// gateway node. It keeps these until a request gets no answer, as when the node's process has
// exited, even if the node reports that it isn't ready.
type session struct {
	name, tenant, zone string
	balancer           *loadBalancer
	book               *keyBook
	transport          *http.Transport
	client             *http.Client

	mu      sync.Mutex // guards the fields below
	gateway string     // address; empty: the next request chooses one
	ownKey  string     // key that the session sends; empty: none
}

func newSession(name, tenant, zone, key string, f *fleet, book *keyBook) *session {
	transport := &http.Transport{MaxConnsPerHost: sessionConnections, MaxIdleConnsPerHost: sessionConnections}
	return &session{
		name: name, tenant: tenant, zone: zone, ownKey: key, balancer: f.balancer, book: book,
		transport: transport, client: &http.Client{Transport: transport},
	}
}

// pick implements requester. It returns the session's gateway node, which it chooses if there
// is none. Without a zone it returns any gateway node.
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

// send implements requester. If the request gets no answer, the session leaves the gateway
// node. If the node rejects the key, the session switches to the newest key of its tenant.
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

// leave closes the idle connections to a gateway node and makes the next request choose a node
// again. It does nothing if the session has already left that node.
func (s *session) leave(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gateway == address {
		s.gateway = ""
		s.transport.CloseIdleConnections()
	}
}

// refreshKey switches to the newest key of the session's tenant, if the tenant has any.
func (s *session) refreshKey() {
	key := s.book.newest(s.tenant)
	s.mu.Lock()
	defer s.mu.Unlock()
	if key != "" {
		s.ownKey = key
	}
}

// isIntruder reports whether the session sends a key that no tenant holds. Its requests are
// rejected, so it can't cancel anything either.
func (s *session) isIntruder() bool { return s.key() != "" && s.book.newest(s.tenant) == "" }

// run submits jobs of random types one after another, and polls each until it has ended. After
// the end of the context loading it submits none. When ctx ends, it stops polling too.
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
			name:    fmt.Sprintf("%s.%s-%s-%s-%d", c.prefix, s.tenant, jobType.Name, s.name, number),
			givesUp: number%givingUpInterval == 0 && !s.isIntruder(),
		}
		if rng.Float64() < cancelProbability {
			j.cancelAfter = 1 + drawPause(rng, maxCancelDelay)
		}
		j.run(ctx)
	}
}
