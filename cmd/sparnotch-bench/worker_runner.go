package main

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
	"sparnotch/internal/schema"
)

const (
	heartbeatTimeout  = 1200 * time.Millisecond
	maxOpenHeartbeats = 2
	minWorkerSleep    = 2 * eventloop.Millisecond // between two ticks of the worker
)

// workerRunner runs one fake worker in real time against a fleet.
type workerRunner struct {
	balancer       *loadBalancer
	history        *history
	zone           string
	mu             sync.Mutex // guards the fields below, and the state of the worker
	worker         *fakeworker.PollingWorker
	gateway        string // address of the gateway node that receives the heartbeats
	isDisconnected bool   // the worker can't reach any gateway node
}

// setDisconnected partitions the worker from all gateway nodes, or heals the partition.
func (r *workerRunner) setDisconnected(disconnected bool) {
	r.mu.Lock()
	r.isDisconnected = disconnected
	r.mu.Unlock()
}

// run runs the worker until the context ends. Then the worker crashes.
func (r *workerRunner) run(ctx context.Context) {
	defer func() {
		r.mu.Lock()
		r.worker.Crash(r.history.now())
		r.mu.Unlock()
	}()
	r.gateway = r.balancer.pick(r.zone)
	wake := make(chan struct{}, 1)
	inFlight := make(chan struct{}, maxOpenHeartbeats)
	for ctx.Err() == nil {
		r.mu.Lock()
		now := r.history.now()
		r.worker.Tick(now)
		var heartbeat *schema.WorkerHeartbeat
		if r.worker.IsHeartbeatDue(now) {
			select {
			case inFlight <- struct{}{}:
				heartbeat = r.worker.NewHeartbeat(now)
			default:
			}
		}
		next, gateway := r.worker.NextEventAt(), r.gateway
		r.mu.Unlock()
		if heartbeat != nil {
			go func() {
				r.sendHeartbeat(ctx, gateway, heartbeat, now)
				<-inFlight
				select {
				case wake <- struct{}{}:
				default:
				}
			}()
			continue
		}
		timer := time.NewTimer(max(next-now, minWorkerSleep).Duration())
		select {
		case <-ctx.Done():
		case <-wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// sendHeartbeat sends a heartbeat and passes the orders of the answer to the worker. If there
// is no answer, the worker's next heartbeat goes to another gateway node.
func (r *workerRunner) sendHeartbeat(ctx context.Context, gateway string, heartbeat *schema.WorkerHeartbeat, sentAt eventloop.Micros) {
	orders, err := r.exchange(ctx, gateway, heartbeat)
	r.mu.Lock()
	defer r.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	if err != nil || r.isDisconnected {
		r.worker.HandleUnanswered(r.history.now())
		r.gateway = r.balancer.pick(r.zone)
		return
	}
	r.worker.HandleOrders(r.history.now(), sentAt, heartbeat.Seq, orders)
}

// exchange sends a heartbeat and returns the orders of the answer. The heartbeat of a
// disconnected worker times out.
func (r *workerRunner) exchange(ctx context.Context, gateway string, heartbeat *schema.WorkerHeartbeat) (*schema.WorkerOrders, error) {
	body, err := json.Marshal(heartbeat)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	disconnected := r.isDisconnected
	r.mu.Unlock()
	if disconnected {
		sleep(ctx, heartbeatTimeout)
		return nil, context.DeadlineExceeded
	}
	code, data, err := r.balancer.call(ctx, heartbeatTimeout, "POST", gateway, "/v1/workers/"+r.worker.Name+"/announce", body, "")
	if err != nil {
		return nil, err
	}
	if code != http.StatusOK {
		return nil, statusError(code)
	}
	orders := &schema.WorkerOrders{}
	return orders, json.Unmarshal(data, orders)
}
