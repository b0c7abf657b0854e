package controller

// Where queues are placed, who is to lead them, and which store orders the workers.

import (
	"sort"
	"strings"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// notes are what the leaders say of their groups.
func (t *Table) notes(now eventloop.Micros) map[string]*schema.QueueStatus {
	notes := map[string]*schema.QueueStatus{}
	for _, id := range t.stores(now) {
		word, isKnown := t.told[id]
		if !isKnown || now-word.at > t.spans.SuspectTimeout {
			continue
		}
		for _, note := range word.tell.QueueStatuses {
			notes[note.Group] = note
		}
	}
	return notes
}

func (t *Table) may(now eventloop.Micros, what string, rest eventloop.Micros) bool {
	if last, isKnown := t.acted[what]; isKnown && now-last < rest {
		return false
	}
	t.acted[what] = now
	return true
}

func (t *Table) queues(now eventloop.Micros, out eventloop.Effects) {
	notes := t.notes(now)
	root := notes[clusterstate.Group]
	if root == nil {
		return
	}
	command := &schema.PlaceQueues{FencingToken: t.lease}
	leader := ""
	for _, name := range t.values.Queues() {
		if clusterstate.FindQueue(t.state, name) != nil {
			continue
		}
		if len(command.Queues) == 0 {
			leader = t.sturdiest(now)
		}
		command.Queues = append(command.Queues, &schema.QueuePlacement{Queue: name, InitialVoters: root.Voters, PreferredLeader: leader})
	}
	for _, place := range t.state.Queues {
		note := notes[replica.GroupOf(place)]
		if !t.values.HasQueue(place.Queue) && note != nil && note.LiveJobs == 0 && note.RetainedJobs == 0 {
			command.Removed = append(command.Removed, replica.GroupOf(place))
		}
	}
	if len(command.Queues)+len(command.Removed) == 0 {
		return
	}
	// The same act again waits, for its effect may just not be heard of yet;
	// another one doesn't.
	var names []string
	for _, each := range command.Queues {
		names = append(names, each.Queue)
	}
	set := strings.Join(names, " ") + "/" + strings.Join(command.Removed, " ")
	if set != t.queuesIn {
		delete(t.acted, "queues")
	}
	// One that finds no leader is tried again at the next tick.
	if t.leaderOf(now, clusterstate.Group) != "" && t.may(now, "queues", actSpan) {
		t.queuesIn = set
		t.send(now, &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_PlaceQueues{PlaceQueues: command}}, out)
	}
}

// sturdiest is the store where queues and wards should be: the present one as
// long as it serves, for moving costs more than it gains.
func (t *Table) sturdiest(now eventloop.Micros) string {
	root := t.notes(now)[clusterstate.Group]
	if root == nil {
		return ""
	}
	leads, wanted := map[string]int{}, map[string]int{}
	stores := t.stores(now)
	for _, place := range t.state.Queues {
		wanted[place.PreferredLeader]++
		leads[t.leaderAmong(now, stores, place.Queue)]++
	}
	for _, ward := range t.state.WorkerLeases {
		wanted[ward.Scheduler]++
	}
	type candidate struct {
		id      string
		latency int64
	}
	var list []candidate
	for _, id := range root.Voters {
		word, isKnown := t.told[id]
		// Who can't say how the cluster state stands is cut off from it, and could
		// neither lead nor ward.
		if !isKnown || now-word.at > t.spans.SuspectTimeout || !t.roll.IsAlive(id, now, t.spans.SuspectTimeout) || t.roll.Members[id].Member.Draining || t.isDeposed(now, id) {
			continue
		}
		list = append(list, candidate{id, t.roll.Members[id].Member.LatencyUs})
	}
	if len(list) == 0 {
		return ""
	}
	sort.Slice(list, func(a, b int) bool {
		x, y := list[a], list[b]
		if isX, isY := x.latency > latencyMost, y.latency > latencyMost; isX != isY {
			return isY
		}
		if wanted[x.id] != wanted[y.id] {
			return wanted[x.id] > wanted[y.id]
		}
		if leads[x.id] != leads[y.id] {
			return leads[x.id] > leads[y.id]
		}
		return x.id < y.id
	})
	best := list[0]
	for _, other := range list[1:] {
		// Latency alone moves nothing twice within a while, nor to a store that is
		// hardly better; but whoever has let its queues go by itself keeps none.
		isHome := wanted[other.id] > wanted[best.id] && leads[other.id] > 0
		if isHome && (now-t.movedAt < latencyRest || other.latency < 3*best.latency) {
			best = other
		}
	}
	return best.id
}

func (t *Table) leaders(now eventloop.Micros, out eventloop.Effects) {
	sturdy := t.sturdiest(now)
	if sturdy == "" {
		return
	}
	wards := &schema.AssignWorkers{FencingToken: t.lease}
	for _, ward := range t.state.WorkerLeases {
		if ward.Scheduler != sturdy {
			wards.WorkerLeases = append(wards.WorkerLeases, &schema.WorkerLease{Worker: ward.Worker, Scheduler: sturdy})
		}
	}
	queues := &schema.PlaceQueues{FencingToken: t.lease}
	for _, place := range t.state.Queues {
		if place.PreferredLeader != sturdy {
			queues.Queues = append(queues.Queues, &schema.QueuePlacement{Queue: place.Queue, PreferredLeader: sturdy})
		}
	}
	if len(wards.WorkerLeases)+len(queues.Queues) == 0 || !t.may(now, "leaders", actSpan) {
		return
	}
	t.movedAt = now
	if len(queues.Queues) > 0 {
		t.send(now, &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_PlaceQueues{PlaceQueues: queues}}, out)
	}
	if len(wards.WorkerLeases) > 0 {
		t.send(now, &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_AssignWorkers{AssignWorkers: wards}}, out)
	}
}
