package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
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
)

// session is a client of a soak: it submits one job after another, over connections to one
// gateway node that it keeps until the node's process is gone, whatever the node says of
// its readiness.
type session struct {
	name, tenant, zone string
	balancer           *loadBalancer
	judge              *soakJudge
	transport          *http.Transport
	client             *http.Client

	mu      sync.Mutex // guards the rest
	gateway string     // empty: to be chosen
	key     string
}

func newSession(name, tenant, zone, key string, f *fleet, judge *soakJudge) *session {
	transport := &http.Transport{MaxConnsPerHost: sessionConnections, MaxIdleConnsPerHost: sessionConnections}
	return &session{
		name: name, tenant: tenant, zone: zone, key: key, balancer: f.balancer, judge: judge,
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

// send implements requester: the calls carry the session's key, and a call that gets no
// answer ends the connections to its node.
func (s *session) send(ctx context.Context, timeout time.Duration, method, address, path string, body []byte, client string) (httpReply, error) {
	s.mu.Lock()
	key := s.key
	s.mu.Unlock()
	header := http.Header{}
	header.Set(clientHeader, client)
	if key != "" {
		header.Set("Authorization", "Token "+key)
	}
	call := keyedCall{sentAt: s.judge.now(), gateway: address, queue: queueOfPath(path), path: path, tenant: s.tenant, key: key}
	reply, err := sendRequest(ctx, s.client, timeout, method, address, path, body, header)
	if err != nil {
		s.leave(address)
		return reply, err
	}
	call.answeredAt, call.code = s.judge.now(), reply.code
	s.judge.addCall(call)
	if reply.code == http.StatusUnauthorized {
		s.refreshKey()
	}
	return reply, nil
}

// queueOfPath is the queue in the path of a job.
func queueOfPath(path string) string {
	queue, _, _ := strings.Cut(strings.TrimPrefix(path, "/v1/queues/"), "/")
	return queue
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
	key := s.judge.book.newestKey(s.tenant)
	s.mu.Lock()
	defer s.mu.Unlock()
	if key != "" {
		s.key = key
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
		j.run(ctx)
	}
}
