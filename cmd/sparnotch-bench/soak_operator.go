package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"sparnotch/internal/checker"
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/schema"
)

const (
	maxKeysPerTenant = 3
	soakTenants      = 3
	extraQueues      = 3 // queues that configurations may have in addition to the deployment's
)

// soakTenant is a tenant in the configuration of a soak.
type soakTenant struct {
	weight   int64    // in thousandths
	maxCores int64    // thousandths of a core; 0: no limit
	keys     []string // oldest first
}

// soakConfiguration is the configuration of a soak, which the operator changes.
type soakConfiguration struct {
	base         []*schema.ConfigurationRow // rows of the deployment, which never change
	tenants      map[string]*soakTenant     // by name
	queues       map[string]bool            // names of the current extra queues
	labels       routeLabels                // names of the routes of extra queues that differ from the queues' names
	nextLabel    int                        // number of the latest name of a route
	requiresKeys bool
	publicQueue  string // queue that needs no key; empty: none
	cacheEvery   int    // value of the fleet's row cache_every
	nextKey      int    // number of the latest key
}

// drawConfiguration draws the first configuration of a run from the random numbers. Without
// tenants it has no keys and no public queue.
func drawConfiguration(rng *rand.Rand, base []*schema.ConfigurationRow, publicQueue string, hasTenants bool) *soakConfiguration {
	c := &soakConfiguration{base: base, tenants: map[string]*soakTenant{}, queues: map[string]bool{}, labels: routeLabels{}, cacheEvery: 64}
	for k := range extraQueues {
		if rng.IntN(2) == 0 {
			c.queues[extraQueueName(k)] = true
		}
	}
	if !hasTenants {
		return c
	}
	c.requiresKeys = true
	c.publicQueue = publicQueue
	for k := range soakTenants {
		name := fmt.Sprintf("tenant%d", k+1)
		c.tenants[name] = &soakTenant{weight: drawWeight(rng), maxCores: drawMaxCores(rng)}
		c.addKey(name)
	}
	return c
}

// drawWeight draws a weight of 100 to 4000 thousandths.
func drawWeight(rng *rand.Rand) int64 { return 100 * (1 + rng.Int64N(40)) }

// drawMaxCores draws a limit of 8 to 32 cores, in thousandths of a core, or 0 for no limit.
func drawMaxCores(rng *rand.Rand) int64 {
	if rng.IntN(3) == 0 {
		return 0
	}
	return 1000 * (8 + rng.Int64N(25))
}

// addKey gives a tenant a new key that no tenant has had before.
func (c *soakConfiguration) addKey(tenant string) {
	c.nextKey++
	c.tenants[tenant].keys = append(c.tenants[tenant].keys, fmt.Sprintf("key-%s-%d", tenant, c.nextKey))
}

// rows returns the rows of the configuration.
func (c *soakConfiguration) rows() []*schema.ConfigurationRow {
	rows := slices.Clone(c.base)
	add := func(kind, name, key string, value any) {
		rows = append(rows, &schema.ConfigurationRow{Kind: kind, Name: name, Key: key, Value: fmt.Sprint(value)})
	}
	add("fleet", "", "cache_every", c.cacheEvery)
	for _, queue := range slices.Sorted(maps.Keys(c.queues)) {
		add("queue", queue, "urgency", 50)
		add("queue", queue, "prefix", "/"+queue+"/")
	}
	if c.requiresKeys {
		add("fleet", "", "require_keys", 1)
	}
	if c.publicQueue != "" {
		add("queue", c.publicQueue, "public", 1)
	}
	for _, name := range slices.Sorted(maps.Keys(c.tenants)) {
		tenant := c.tenants[name]
		add("tenant", name, "weight_milli", tenant.weight)
		add("tenant", name, "max_cores_milli", tenant.maxCores)
		var hashes []string
		for _, key := range tenant.keys {
			hashes = append(hashes, clusterstate.HashKey(key))
		}
		add("tenant", name, "key_hashes", strings.Join(hashes, " "))
	}
	return rows
}

// keys returns the keys of each tenant, oldest first, by the tenant's name.
func (c *soakConfiguration) keys() map[string][]string {
	keys := map[string][]string{}
	for name, tenant := range c.tenants {
		keys[name] = tenant.keys
	}
	return keys
}

// change makes one random change to the configuration and returns a description of it.
func (c *soakConfiguration) change(rng *rand.Rand) string {
	if len(c.tenants) == 0 || rng.IntN(3) == 0 {
		return c.changeFleet(rng)
	}
	name := fmt.Sprintf("tenant%d", 1+rng.IntN(soakTenants))
	tenant := c.tenants[name]
	switch draw := rng.IntN(10); {
	case draw < 3 && len(tenant.keys) < maxKeysPerTenant:
		c.addKey(name)
		return "a new key for " + name
	case draw < 6 && len(tenant.keys) > 1:
		tenant.keys = slices.Clone(tenant.keys[1:])
		return "the oldest key removed of " + name
	case draw < 7:
		tenant.keys = nil
		c.addKey(name)
		return "all keys replaced by a new one for " + name
	case draw < 9:
		tenant.maxCores = drawMaxCores(rng)
		return fmt.Sprintf("a limit of %d thousandths of a core for %s", tenant.maxCores, name)
	}
	tenant.weight = drawWeight(rng)
	return fmt.Sprintf("a weight of %d thousandths for %s", tenant.weight, name)
}

// changeFleet adds or removes an extra queue, or changes a row of the fleet. It returns a
// description of the change.
func (c *soakConfiguration) changeFleet(rng *rand.Rand) string {
	if rng.IntN(4) == 0 {
		c.cacheEvery = 32 + rng.IntN(96)
		return "another value of cache_every"
	}
	queue := extraQueueName(rng.IntN(extraQueues))
	if c.queues[queue] && rng.IntN(2) == 0 {
		return c.renameRoute(rng, queue)
	}
	if c.queues[queue] {
		delete(c.queues, queue)
		delete(c.labels, queue)
		return "removed the queue " + queue
	}
	c.queues[queue] = true
	return "added the queue " + queue
}

// renameRoute gives the route of an extra queue another name: a new one, that of another route
// with which it exchanges names, or the queue's own again. It returns a description of the change.
func (c *soakConfiguration) renameRoute(rng *rand.Rand, queue string) string {
	other := extraQueueName(rng.IntN(extraQueues))
	switch {
	case other != queue && c.labels[queue] != "" && c.labels[other] != "":
		c.labels[queue], c.labels[other] = c.labels[other], c.labels[queue]
		return fmt.Sprintf("exchanged the names of the routes of %s and %s", queue, other)
	case c.labels[queue] != "" && rng.IntN(3) == 0:
		delete(c.labels, queue)
	default:
		c.nextLabel++
		c.labels[queue] = fmt.Sprintf("label%d", c.nextLabel)
	}
	return fmt.Sprintf("named the route of %s %q", queue, c.labels[queue])
}

// extraQueueName returns the name of the extra queue with the index k.
func extraQueueName(k int) string { return fmt.Sprintf("extra%d", k+1) }

// soakOperator changes the configuration during a soak. A second operator sometimes applies
// another change at the same time.
type soakOperator struct {
	fleet         *fleet
	book          *keyBook
	configuration *soakConfiguration
	rng           *rand.Rand
	racing        sync.WaitGroup // counts the unfinished changes of the second operator
}

// changeOnce makes one change and applies the configuration, with retries until it is accepted
// or the context ends.
func (o *soakOperator) changeOnce(ctx context.Context) {
	o.fleet.recordChange("configuration: " + o.configuration.change(o.rng))
	if applyConfig(ctx, o.fleet.balancer, o.fleet.history, "operator", o.configuration.rows(), o.configuration.labels) == nil {
		o.book.accept(o.configuration.keys())
	}
}

// invalidRows returns the rows of an invalid configuration, which must be rejected: a valid
// configuration and, as its last row, an invalid value or the key of another tenant.
func (o *soakOperator) invalidRows() []*schema.ConfigurationRow {
	rows := o.configuration.rows()
	row := &schema.ConfigurationRow{Kind: "queue", Name: "extra1", Key: "running", Value: "0"}
	if owner := o.configuration.tenants["tenant1"]; owner != nil && o.rng.IntN(2) == 0 {
		row = &schema.ConfigurationRow{Kind: "tenant", Name: "second", Key: "key_hashes", Value: clusterstate.HashKey(owner.keys[0])}
	}
	return append(rows, row)
}

// sendInvalid sends a configuration that must be rejected.
func (o *soakOperator) sendInvalid(ctx context.Context) {
	rows := o.invalidRows()
	o.fleet.recordChange(fmt.Sprintf("configuration: an invalid row %v", rows[len(rows)-1]))
	applyInvalid(ctx, o.fleet, rows)
}

// applyInvalid sends an invalid configuration once. It records the answer with the state
// checker.Invalid, because the fleet must reject this configuration.
func applyInvalid(ctx context.Context, f *fleet, rows []*schema.ConfigurationRow) {
	address := f.balancer.pick("")
	current, ok := currentConfiguration(ctx, f.balancer, address)
	if !ok {
		return
	}
	sentAt := f.history.now()
	code, _, err := putConfiguration(ctx, f.balancer, address, current.Revision, rows, nil)
	if err != nil {
		return
	}
	f.history.add(checker.Event{Kind: checker.ConfigurationReply, Actor: "operator", Code: code, State: checker.Invalid, BaseVersion: current.Revision, Gateway: address, SentAt: sentAt})
}

// raceOnce makes the second operator change cache_every in the current configuration. It sends
// the change only once, even if it is rejected because the first operator was faster.
func (o *soakOperator) raceOnce(ctx context.Context, value int) {
	f := o.fleet
	f.recordChange("configuration: the second operator changes cache_every")
	address := f.balancer.pick("")
	current, ok := currentConfiguration(ctx, f.balancer, address)
	if !ok {
		return
	}
	rows := slices.DeleteFunc(current.Rows, func(row *schema.ConfigurationRow) bool { return row.Key == "cache_every" })
	rows = append(rows, &schema.ConfigurationRow{Kind: "fleet", Key: "cache_every", Value: strconv.Itoa(value)})
	_, _, _ = applyOnce(ctx, f.balancer, f.history, "second", address, current.Revision, rows, nil)
}

// startRace starts a change of the second operator in the background.
func (o *soakOperator) startRace(ctx context.Context, value int) {
	o.racing.Add(1)
	go func() {
		defer o.racing.Done()
		o.raceOnce(ctx, value)
	}()
}

// currentConfiguration reads the configuration from a gateway node. It returns false if the
// node returned no valid configuration.
func currentConfiguration(ctx context.Context, balancer *loadBalancer, address string) (*schema.Configuration, bool) {
	code, data, err := balancer.call(ctx, operatorTimeout, "GET", address, configPath, nil, "")
	configuration := &schema.Configuration{}
	ok := err == nil && code == http.StatusOK && protojson.Unmarshal(data, configuration) == nil
	return configuration, ok
}

// run changes the configuration until the context loading ends: in each round it waits for a
// random time and makes one to four changes without a pause between them. It waits for the
// changes of the second operator.
func (o *soakOperator) run(loading, ctx context.Context) {
	defer o.racing.Wait()
	for {
		sleep(loading, time.Duration(o.rng.ExpFloat64()*float64(3*time.Second)))
		for range 1 + o.rng.IntN(4) {
			if loading.Err() != nil {
				return
			}
			switch o.rng.IntN(6) {
			case 0:
				o.sendInvalid(ctx)
			case 1:
				o.startRace(ctx, 32+o.rng.IntN(96))
			default:
				o.changeOnce(ctx)
			}
		}
	}
}
