package replica

// Applying committed records, and telling of it.

import (
	"maps"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

type waiter struct {
	term    uint64
	from    string // process that asked; empty: this one
	request *schema.Request
	end     *schema.TaskEndReport
}

func (t *Table) apply(now eventloop.Micros, r *replica, record *schema.Entry, out eventloop.Effects) {
	waiting, isWaited := r.waiting[record.Index]
	delete(r.waiting, record.Index)
	// What was asked for under another term was replaced in the log; its
	// asker asks again.
	isWaited = isWaited && waiting.term == record.Term
	if record.Kind != schema.EntryKind_ENTRY_COMMAND {
		return
	}
	if r.queue == nil {
		result, err := t.clusterState.Apply(record.TimeUs, record.Data)
		if err != nil {
			panic(Unreadable.Wrap(err, "record of %s", r.group.Name()))
		}
		t.releaseClusterState(r, record)
		t.clusterStateChanged(now, out)
		if isWaited {
			t.answerClusterState(waiting, result, r, out)
		}
		return
	}
	effects, err := r.queue.Apply(record.Index, record.TimeUs, record.Data)
	if err != nil {
		panic(Unreadable.Wrap(err, "record of %s", r.group.Name()))
	}
	if effects.Release != nil {
		r.group.Compact(effects.Release.Index, effects.Release.Data)
	}
	if !r.group.IsLeader() {
		return
	}
	for _, outcome := range effects.Outcomes {
		key := outcome.Session.Gateway + "/" + r.name
		if t.applied[key] == nil {
			t.applied[key] = &schema.SubmitResponse{Queue: r.name, Leader: t.id}
		}
		t.applied[key].Results = append(t.applied[key].Results, outcome)
	}
	if len(effects.Shifts) > 0 && r.termTold == r.group.Term() {
		out.Notify("scheduler", t.shifts(r, effects.Shifts, false, effects.Shifts[len(effects.Shifts)-1].Hand))
	}
	if isWaited && waiting.end != nil {
		t.endNoted(waiting.from, waiting.end, out)
	}
	if isWaited && waiting.request != nil {
		t.reply(waiting, effects.Code, viewOrFault(effects.View), r.group, out)
	}
}

func (t *Table) shifts(r *replica, list []*queue.Shift, isWhole bool, hand uint64) Shifts {
	return Shifts{
		Queue: r.name, Group: r.group.Name(), Term: r.group.Term(), Hand: hand, List: list, IsWhole: isWhole,
		Urgency: t.values.Number("queue", r.name, "urgency"),
		Running: t.values.Number("queue", r.name, "running"),
	}
}

// standings tells the scheduler of queues newly led, and of those led no more.
func (t *Table) standings(now eventloop.Micros, out eventloop.Effects) {
	for _, name := range t.names() {
		r := t.groups[name]
		if r.queue == nil {
			continue
		}
		if !r.group.IsLeader() {
			if r.termTold != 0 {
				r.termTold = 0
				out.Notify("scheduler", Lost{Queue: r.name})
			}
			if len(r.waiting) > 0 {
				r.waiting = map[uint64]waiter{}
			}
			if len(r.reading) > 0 {
				r.reading = map[uint64]waiter{}
			}
			continue
		}
		if r.termTold != r.group.Term() && r.group.HoldsLeaderLease(now) {
			r.termTold = r.group.Term()
			list, hand := r.queue.Standings()
			out.Notify("scheduler", t.shifts(r, list, true, hand))
		}
	}
}

func (t *Table) clusterStateChanged(now eventloop.Micros, out eventloop.Effects) {
	if t.clusterState.Version() == t.state.Version && t.state.Version != 0 {
		return
	}
	old := t.state
	t.setState(t.clusterState.SharedState())
	for _, table := range []string{"gateway", "scheduler"} {
		out.Notify(table, &schema.ClusterStateResponse{State: t.state, Version: t.state.Version})
	}
	out.Notify("membership", membership.ClusterStateObserved{Version: t.state.Version})
	if old.Configuration != t.state.Configuration {
		for _, r := range t.groups {
			// Urgency may have changed with the plan. Nothing else in the cluster state is
			// told with the list, which is long while much waits.
			r.termTold = 0
		}
	}
	// New queues are waited for: the controller places them, and their founders make
	// them, when they hear of it.
	r := t.groups[clusterstate.Group]
	if !r.group.IsLeader() {
		return
	}
	if len(old.Queues) != len(t.state.Queues) {
		r.group.BroadcastCommit(now)
	}
	// Workers whose ward went elsewhere are served again as soon as their agents
	// have heard.
	if t.roll != nil && areMoved(old.WorkerLeases, t.state.WorkerLeases) {
		for _, id := range slices.Sorted(maps.Keys(t.roll.Members)) {
			if t.roll.Members[id].Member.Role == schema.Role_ROLE_CONTROLLER && t.roll.IsAlive(id, now, liveSpan) {
				t.tellClusterState(now, id, &schema.ClusterStateRequest{Version: old.Version}, out)
			}
		}
		return
	}
	if controller := t.state.ControllerLease.GetHolder(); controller != "" && old.Configuration != t.state.Configuration {
		t.tellClusterState(now, controller, &schema.ClusterStateRequest{Version: old.Version}, out)
	}
}

// areMoved tells whether a ward that was there is with another scheduler now.
func areMoved(old, list []*schema.WorkerLease) bool {
	schedulers := map[string]string{}
	for _, ward := range old {
		schedulers[ward.Worker] = ward.Scheduler
	}
	for _, ward := range list {
		if scheduler, isKnown := schedulers[ward.Worker]; isKnown && scheduler != ward.Scheduler {
			return true
		}
	}
	return false
}
