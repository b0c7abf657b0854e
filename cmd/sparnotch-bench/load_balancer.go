package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"sparnotch/internal/schema"
)

const (
	probeInterval    = time.Second
	probeTimeout     = time.Second
	discoverInterval = 3 * time.Second
	discoverTimeout  = 2 * time.Second
	maxResponseBytes = 16 << 20
)

// loadBalancer chooses gateway nodes for clients by their zone and readiness, as the users'
// platform does.
type loadBalancer struct {
	client    *http.Client
	mu        sync.Mutex // guards the fields below, and those of the endpoints
	endpoints []*endpoint
	rng       *rand.Rand
}

// endpoint is the HTTP interface of one gateway node.
type endpoint struct {
	address      string
	zone         string
	isReady      bool
	probes       int // number of requests for its readiness
	readyProbes  int // number of these that it answered as ready
	failedProbes int // number of these without an answer in time
}

func newLoadBalancer(endpoints []*endpoint) *loadBalancer {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}
	return &loadBalancer{client: &http.Client{Transport: transport}, endpoints: endpoints, rng: rand.New(rand.NewPCG(7, 7))}
}

// parseEndpoints parses addresses, separated by commas, and returns ready endpoints of a zone.
func parseEndpoints(addresses, zone string) []*endpoint {
	var endpoints []*endpoint
	for _, address := range strings.Split(addresses, ",") {
		if address != "" {
			endpoints = append(endpoints, &endpoint{address: address, zone: zone, isReady: true})
		}
	}
	return endpoints
}

// probe checks the readiness of all gateway nodes every second until the context ends.
func (b *loadBalancer) probe(ctx context.Context) {
	every(ctx, probeInterval, func() {
		b.mu.Lock()
		endpoints := slices.Clone(b.endpoints)
		b.mu.Unlock()
		for _, e := range endpoints {
			go b.probeEndpoint(ctx, e)
		}
	})
}

func (b *loadBalancer) probeEndpoint(ctx context.Context, e *endpoint) {
	code, _, err := b.call(ctx, probeTimeout, "GET", e.address, "/readyz", nil, "")
	b.mu.Lock()
	defer b.mu.Unlock()
	e.probes++
	e.isReady = err == nil && code == http.StatusOK
	if e.isReady {
		e.readyProbes++
	} else if err != nil {
		e.failedProbes++
	}
}

// discover requests the list of all gateway nodes from one of them at an interval until the
// context ends. A client therefore needs to know only a few gateway nodes at its start.
func (b *loadBalancer) discover(ctx context.Context) {
	every(ctx, discoverInterval, func() {
		_, data, err := b.call(ctx, discoverTimeout, "GET", b.pick(""), "/v1/fronts", nil, "")
		list := &schema.GatewayList{}
		if err != nil || json.Unmarshal(data, list) != nil {
			return
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		known := map[string]*endpoint{}
		for _, e := range b.endpoints {
			known[e.address] = e
		}
		for _, gateway := range list.Gateways {
			e := known[gateway.Address]
			if e == nil {
				e = &endpoint{address: gateway.Address}
				b.endpoints = append(b.endpoints, e)
			}
			e.zone, e.isReady = gateway.Zone, !gateway.Draining
		}
	})
}

// pick returns the address of a random ready gateway node in the zone. If there is none, it
// chooses among the ready nodes of all zones, and then among all nodes. Without any node it
// returns an empty string.
func (b *loadBalancer) pick(zone string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var near, ready []*endpoint
	for _, e := range b.endpoints {
		if e.isReady {
			ready = append(ready, e)
			if e.zone == zone {
				near = append(near, e)
			}
		}
	}
	for _, list := range [][]*endpoint{near, ready, b.endpoints} {
		if len(list) > 0 {
			return list[b.rng.IntN(len(list))].address
		}
	}
	return ""
}

// httpReply is the answer to an HTTP request.
type httpReply struct {
	code       int32 // HTTP status
	body       []byte
	retryAfter time.Duration // value of the header Retry-After; 0: none
}

// request is one HTTP request to a gateway node.
type request struct {
	method, address, path string
	body                  []byte
	client                string // name of the client; empty: the request names none
	key                   string // of a tenant; empty: the request carries none
}

// call sends a request without a key. It returns the HTTP status and the body of the answer.
func (b *loadBalancer) call(ctx context.Context, timeout time.Duration, method, address, path string, body []byte, client string) (int32, []byte, error) {
	reply, err := b.send(ctx, timeout, request{method: method, address: address, path: path, body: body, client: client})
	return reply.code, reply.body, err
}

// key implements requester. These clients have no key.
func (b *loadBalancer) key() string { return "" }

// send implements requester.
func (b *loadBalancer) send(ctx context.Context, timeout time.Duration, r request) (httpReply, error) {
	return r.send(ctx, b.client, timeout)
}

// send sends the request and returns the whole answer.
func (r *request) send(ctx context.Context, client *http.Client, timeout time.Duration) (httpReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, "http://"+r.address+r.path, bytes.NewReader(r.body))
	if err != nil {
		return httpReply{}, err
	}
	if r.client != "" {
		httpRequest.Header.Set("Sparnotch-Client", r.client)
	}
	if r.key != "" {
		httpRequest.Header.Set("Authorization", "Token "+r.key)
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		return httpReply{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return httpReply{}, err
	}
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return httpReply{int32(response.StatusCode), data, time.Duration(seconds) * time.Second}, nil
}
