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
	extraQueues      = 3
)

// soakTenant is a tenant of a soak's configuration.
type soakTenant struct {
	weight   int64 // thousandths
	maxCores int64 // thousandths; 0: no limit
	keys     []string
}

// soakConfiguration is the content of a soak's configuration, which its operator changes.
type soakConfiguration struct {
	base         []*schema.ConfigurationRow // of the deployment
	tenants      map[string]*soakTenant
	queues       map[string]bool // those beside the deployment's
	requiresKeys bool
	publicQueue  string // empty: none
	cacheEvery   int
	nextKey      int
}

// drawConfiguration draws the first configuration of a run; without tenants, it has only the
// deployment's rows.
func drawConfiguration(rng *rand.Rand, base []*schema.ConfigurationRow, publicQueue string, hasTenants bool) *soakConfiguration {
	c := &soakConfiguration{base: base, tenants: map[string]*soakTenant{}, queues: map[string]bool{}, cacheEvery: 64}
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

func drawWeight(rng *rand.Rand) int64 { return 100 * (1 + rng.Int64N(40)) }

// drawMaxCores draws no limit, or 8 to 32 cores.
func drawMaxCores(rng *rand.Rand) int64 {
	if rng.IntN(3) == 0 {
		return 0
	}
	return 1000 * (8 + rng.Int64N(25))
}

func (c *soakConfiguration) addKey(tenant string) {
	c.nextKey++
	c.tenants[tenant].keys = append(c.tenants[tenant].keys, fmt.Sprintf("key-%s-%d", tenant, c.nextKey))
}

// rows are the configuration's rows.
func (c *soakConfiguration) rows() []*schema.ConfigurationRow {
	rows := slices.Clone(c.base)
	add := func(kind, name, key string, value any) {
		rows = append(rows, &schema.ConfigurationRow{Kind: kind, Name: name, Key: key, Value: fmt.Sprint(value)})
	}
	add("fleet", "", "cache_every", c.cacheEvery)
	for _, queue := range slices.Sorted(maps.Keys(c.queues)) {
		add("queue", queue, "urgency", 50)
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

// keys are the keys of each tenant, oldest first.
func (c *soakConfiguration) keys() map[string][]string {
	keys := map[string][]string{}
	for name, tenant := range c.tenants {
		keys[name] = tenant.keys
	}
	return keys
}

// change changes one thing, drawn from the seed, and says which.
func (c *soakConfiguration) change(rng *rand.Rand) string {
	if len(c.tenants) == 0 || rng.IntN(3) == 0 {
		return c.changeFleet(rng)
	}
	name := fmt.Sprintf("tenant%d", 1+rng.IntN(soakTenants))
	tenant := c.tenants[name]
	switch draw := rng.IntN(10); {
	case draw < 3 && len(tenant.keys) < maxKeysPerTenant:
		c.addKey(name)
		return "a key more for " + name
	case draw < 6 && len(tenant.keys) > 1:
		tenant.keys = slices.Clone(tenant.keys[1:])
		return "a key less for " + name
	case draw < 7:
		tenant.keys = nil
		c.addKey(name)
		return "another key for " + name
	case draw < 9:
		tenant.maxCores = drawMaxCores(rng)
		return fmt.Sprintf("a limit of %d for %s", tenant.maxCores, name)
	}
	tenant.weight = drawWeight(rng)
	return fmt.Sprintf("a weight of %d for %s", tenant.weight, name)
}

// changeFleet changes a queue or a value of the fleet.
func (c *soakConfiguration) changeFleet(rng *rand.Rand) string {
	if rng.IntN(4) == 0 {
		c.cacheEvery = 32 + rng.IntN(96)
		return "another value of the fleet"
	}
	queue := extraQueueName(rng.IntN(extraQueues))
	if c.queues[queue] {
		delete(c.queues, queue)
		return "without the queue " + queue
	}
	c.queues[queue] = true
	return "with the queue " + queue
}

// extraQueueName is the name of the queue numbered k of those that come and go.
func extraQueueName(k int) string { return fmt.Sprintf("extra%d", k+1) }

// soakOperator applies configurations during a soak, one after another.
type soakOperator struct {
	fleet         *fleet
	book          *keyBook
	configuration *soakConfiguration
	rng           *rand.Rand
	racing        sync.WaitGroup // changes of the other operator
}

// changeOnce changes one thing and applies the configuration, with retries until the context
// ends.
func (o *soakOperator) changeOnce(ctx context.Context) {
	o.fleet.recordChange("configuration: " + o.configuration.change(o.rng))
	if applyConfig(ctx, o.fleet.balancer, o.fleet.history, "operator", o.configuration.rows()) == nil {
		o.book.accept(o.configuration.keys())
	}
}

// invalidRows are configurations that must be refused, built on a valid one.
func (o *soakOperator) invalidRows() []*schema.ConfigurationRow {
	rows := o.configuration.rows()
	row := &schema.ConfigurationRow{Kind: "queue", Name: "extra1", Key: "running", Value: "0"}
	if shared := o.configuration.tenants["tenant1"]; shared != nil && o.rng.IntN(2) == 0 {
		row = &schema.ConfigurationRow{Kind: "tenant", Name: "second", Key: "key_hashes", Value: clusterstate.HashKey(shared.keys[0])}
	}
	return append(rows, row)
}

// sendInvalid sends a configuration that must be refused.
func (o *soakOperator) sendInvalid(ctx context.Context) {
	rows := o.invalidRows()
	o.fleet.recordChange(fmt.Sprintf("configuration: an invalid one, %v", rows[len(rows)-1]))
	applyInvalid(ctx, o.fleet, rows)
}

// applyInvalid sends a configuration once, and records its answer as one to a configuration
// that must be refused.
func applyInvalid(ctx context.Context, f *fleet, rows []*schema.ConfigurationRow) {
	address := f.balancer.pick("")
	current, ok := currentConfiguration(ctx, f.balancer, address)
	if !ok {
		return
	}
	sentAt := f.history.now()
	code, _, err := putConfiguration(ctx, f.balancer, address, current.Revision, rows)
	if err != nil {
		return
	}
	f.history.add(checker.Event{Kind: checker.ConfigurationReply, Actor: "operator", Code: code, State: checker.Invalid, BaseVersion: current.Revision, Gateway: address, SentAt: sentAt})
}

// raceOnce has another operator change a value of the fleet on top of the configuration that
// is there; it gives up when it isn't the first.
func (o *soakOperator) raceOnce(ctx context.Context, value int) {
	f := o.fleet
	f.recordChange("configuration: another operator changes it")
	address := f.balancer.pick("")
	current, ok := currentConfiguration(ctx, f.balancer, address)
	if !ok {
		return
	}
	rows := slices.DeleteFunc(current.Rows, func(row *schema.ConfigurationRow) bool { return row.Key == "cache_every" })
	rows = append(rows, &schema.ConfigurationRow{Kind: "fleet", Key: "cache_every", Value: strconv.Itoa(value)})
	_, _, _ = applyOnce(ctx, f.balancer, f.history, "second", address, current.Revision, rows)
}

// startRace has the other operator's change happen beside what follows.
func (o *soakOperator) startRace(ctx context.Context, value int) {
	o.racing.Add(1)
	go func() {
		defer o.racing.Done()
		o.raceOnce(ctx, value)
	}()
}

// currentConfiguration reads the configuration through a gateway node; false: it gave none.
func currentConfiguration(ctx context.Context, balancer *loadBalancer, address string) (*schema.Configuration, bool) {
	code, data, err := balancer.call(ctx, operatorTimeout, "GET", address, configPath, nil, "")
	configuration := &schema.Configuration{}
	ok := err == nil && code == http.StatusOK && protojson.Unmarshal(data, configuration) == nil
	return configuration, ok
}

// run changes the configuration in series until loading ends: changes at once one after
// another, then a pause.
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
