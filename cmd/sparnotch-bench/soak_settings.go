package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"
)

const (
	seedCount         = 3
	meanSeedsInterval = 4 * time.Second
	maxHalfWritten    = 300 * time.Millisecond // longest time for which a settings file is half written
)

// nodeSettings is the settings file of a node, which holds the settings that change while the
// node runs. All others are flags.
type nodeSettings struct {
	Seeds []string `json:"seeds"`
}

// writeSettings replaces the settings file of a daemon. With a pause above 0 the file is half
// written for that time.
func (d *daemon) writeSettings(ctx context.Context, seeds []string, pause time.Duration) error {
	data, err := json.Marshal(nodeSettings{seeds})
	if err != nil {
		return err
	}
	if pause > 0 {
		if err := os.WriteFile(d.settingsPath, data[:len(data)/2], 0o600); err != nil {
			return err
		}
		sleep(ctx, pause)
		return os.WriteFile(d.settingsPath, data, 0o600)
	}
	next := d.settingsPath + ".next"
	if err := os.WriteFile(next, data, 0o600); err != nil {
		return err
	}
	return os.Rename(next, d.settingsPath)
}

// seedChanger changes the seeds in the settings files of all nodes during a soak.
type seedChanger struct {
	nodes *soakNodes
	rng   *rand.Rand
}

// run changes the seeds at random times until the context loading ends. A series that it has
// started it performs to its end.
func (c *seedChanger) run(loading, ctx context.Context) {
	for {
		sleep(loading, time.Duration(c.rng.ExpFloat64()*float64(meanSeedsInterval)))
		if loading.Err() != nil {
			return
		}
		c.changeOnce(ctx)
	}
}

// changeOnce makes random gateway nodes the seeds of all nodes, and sends SIGHUP to some nodes.
// Sometimes the new seeds then restart together.
func (c *seedChanger) changeOnce(ctx context.Context) {
	fleet := c.nodes.fleet
	var seeds []string
	drawn := c.rng.Perm(len(fleet.gateways))[:seedCount]
	for _, k := range drawn {
		seeds = append(seeds, fleet.gateways[k].internalAddress)
	}
	fleet.recordChange("settings: the seeds are " + strings.Join(seeds, " "))
	for _, node := range c.nodes.list {
		pause := time.Duration(0)
		if c.rng.IntN(len(c.nodes.list)) == 0 {
			pause = drawPause(c.rng, maxHalfWritten)
		}
		if err := node.changeSettings(ctx, seeds, pause); err != nil {
			c.nodes.report("the settings of %s can't be written: %v", node.name, err)
		}
		if c.rng.IntN(2) == 0 {
			node.do(actionHangUp)
		}
	}
	if c.rng.IntN(4) == 0 {
		c.nodes.run(ctx, c.drawRestart(drawn))
	}
}

// changeSettings replaces the settings file of a node. A process that starts doesn't read a file
// that is half written: it would end, and a soak doesn't start it again.
func (n *soakNode) changeSettings(ctx context.Context, seeds []string, pause time.Duration) error {
	n.starting.Lock()
	defer n.starting.Unlock()
	if !n.handlesSignals() {
		pause = 0
	}
	return n.writeSettings(ctx, seeds, pause)
}

// drawRestart returns a series that restarts some nodes together.
func (c *seedChanger) drawRestart(nodes []int) soakSeries {
	series := soakSeries{name: fmt.Sprintf("restart of the nodes %v together", nodes)}
	for _, node := range nodes {
		series.steps = append(series.steps, soakStep{node, actionKill, 0})
	}
	series.steps[len(nodes)-1].pause = time.Second + drawPause(c.rng, 2*time.Second)
	for _, node := range nodes {
		series.steps = append(series.steps, soakStep{node, actionStart, 0})
	}
	return series
}
