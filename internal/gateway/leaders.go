package gateway

// Which store leads a group, and what becomes of requests while nobody does.

import (
	"maps"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
)

func (g *Gateway) setLeader(group, id string) {
	g.leaders[group] = id
	delete(g.leaderlessSince, group)
}

func (g *Gateway) clearLeader(now eventloop.Micros, group string) {
	delete(g.leaders, group)
	if _, isKnown := g.leaderlessSince[group]; !isKnown && clusterstate.FindQueue(g.state, group) != nil {
		g.leaderlessSince[group] = now
	}
}

// stateQueryInterval is how long to wait between two looks at the cluster state: less while
// somebody may just have come to lead a queue.
func (g *Gateway) stateQueryInterval(now eventloop.Micros) eventloop.Micros {
	// Whoever has no word serves nobody.
	if g.lease.needsRenewal(now) {
		return 2 * TickInterval
	}
	for _, since := range g.leaderlessSince {
		if now-since < leaderLossPeriod {
			return TickInterval
		}
	}
	return min(maxStateQueryInterval, g.lease.duration()/queriesPerLease)
}

// updateLeaderless starts the clock of queues that are new here, and forgets it of
// those that are gone.
func (g *Gateway) updateLeaderless(now eventloop.Micros) {
	for _, placement := range g.state.Queues {
		if _, isKnown := g.leaderlessSince[placement.Queue]; !isKnown && g.leaders[placement.Queue] == "" {
			g.leaderlessSince[placement.Queue] = now
		}
	}
	for queue := range g.leaderlessSince {
		if clusterstate.FindQueue(g.state, queue) == nil {
			delete(g.leaderlessSince, queue)
		}
	}
}

// canCommit tells whether enough of a queue's voters take writes, as far as is
// known: while most refuse, nothing new could be confirmed.
func (g *Gateway) canCommit(now eventloop.Micros, queue string) bool {
	if g.membership == nil {
		return true
	}
	// A queue's leader tells its voters now and then; until it has, who founded it
	// stands for them.
	voters := clusterstate.FindQueue(g.state, queue).GetInitialVoters()
	if note := g.queueStatus[queue]; note != nil {
		voters = note.Voters
	}
	return g.membership.HasWritableQuorum(now, voters, g.membership.RefusesWrites)
}

// isLeaderless tells whether nobody has been known to lead a queue for too long to
// take more for it: what has a number can't be turned away any more.
func (g *Gateway) isLeaderless(now eventloop.Micros, queue string) bool {
	since, isKnown := g.leaderlessSince[queue]
	return isKnown && now-since > leaderlessGracePeriod
}

// target is who is believed to lead a queue, or somebody who may know.
func (g *Gateway) target(now eventloop.Micros, group string) string {
	if id := g.leaders[group]; id != "" {
		return id
	}
	return g.anyStorageNode(now)
}

// isPlausibleLeader tells whether somebody named as leader is worth believing in: whoever
// names one that leaves, or that nobody has heard of for a while, has old word.
func (g *Gateway) isPlausibleLeader(now eventloop.Micros, id string) bool {
	if id == "" {
		return false
	}
	if g.membership == nil {
		return true
	}
	known, isKnown := g.membership.Members[id]
	return !isKnown || !known.Member.Draining && g.membership.IsAlive(id, now, storageNodeTimeout)
}

// anyStorageNode is any store, one that was heard of lately and stays if there is.
func (g *Gateway) anyStorageNode(now eventloop.Micros) string {
	if g.membership == nil {
		return ""
	}
	var candidates, live []string
	for _, id := range slices.Sorted(maps.Keys(g.membership.Members)) {
		known := g.membership.Members[id]
		if !known.Member.HasStorage {
			continue
		}
		candidates = append(candidates, id)
		if g.membership.IsAlive(id, now, storageNodeTimeout) && !known.Member.Draining {
			live = append(live, id)
		}
	}
	if len(live) > 0 {
		candidates = live
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[g.rng.IntN(len(candidates))]
}

// nextStorageNodes are the stores whose turn it is to be asked by a front without word.
// Those it heard of lately may be cut off together with it, so all have their turns.
func (g *Gateway) nextStorageNodes() []string {
	if g.membership == nil {
		return nil
	}
	var storageNodes []string
	for _, id := range slices.Sorted(maps.Keys(g.membership.Members)) {
		if g.membership.Members[id].Member.HasStorage {
			storageNodes = append(storageNodes, id)
		}
	}
	var selected []string
	for range min(storageNodesPerQuery, len(storageNodes)) {
		selected = append(selected, storageNodes[g.nextStorageNode%len(storageNodes)])
		g.nextStorageNode++
	}
	return selected
}

// misrouted lists a queue's submissions that were last sent to another than who
// is now believed to lead it, or to the same before it came to.
func (g *Gateway) misrouted(queue string) []*submission {
	leader := g.leaders[queue]
	deniedAt, wasDenied := g.leadershipDeniedAt[queueNode{queue, leader}]
	return g.selectUnconfirmed(queue, func(each *submission) bool { return each.sentTo != leader || wasDenied && each.sentAt < deniedAt })
}
