package controller

// The controller's lease: who is the active controller.

import (
	"encoding/json"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// ask asks after the cluster state: a candidate asks every store, for it must know what
// each of them says once it is controller; the others take turns, for all asking all
// would cost the stores more than what they are there for.
func (t *Table) ask(now eventloop.Micros, out eventloop.Effects) {
	stores := t.stores(now)
	if len(stores) == 0 {
		return
	}
	if _, isCandidate := t.rank(now); !isCandidate && !t.isController(now) {
		t.turn++
		stores = stores[t.turn%len(stores):][:1]
	}
	for _, id := range stores {
		out.Send(id, &schema.ClusterStateRequest{Version: t.state.Version, HeldRevision: t.state.Configuration.GetRevision()})
	}
}

// rank is our place among the side machines that stand for controller, if we do.
func (t *Table) rank(now eventloop.Micros) (int, bool) {
	cells := map[string]string{t.id: t.roll.Self.GetZone()}
	for id, known := range t.roll.Members {
		if known.Member.Role == schema.Role_ROLE_CONTROLLER && t.roll.IsAlive(id, now, t.spans.SuspectTimeout) {
			cells[id] = known.Member.Zone
		}
	}
	rank := slices.Index(membership.SpreadOverZones(cells, membership.MaxControllerCandidates), t.id)
	return rank, rank >= 0
}

func (t *Table) isController(now eventloop.Micros) bool { return t.lease != 0 && now < t.mine }

// seek renews the lease, or claims one that nobody renews. Candidates wait
// by rank, so that seldom two try at once.
func (t *Table) seek(now eventloop.Micros, out eventloop.Effects) {
	for id, at := range t.claims {
		if now-at > 3*eventloop.Second {
			delete(t.claims, id)
		}
	}
	if t.isController(now) {
		if now-t.claimAt >= renewSpan {
			t.claim(now, out)
		}
		return
	}
	if len(t.told) == 0 || now-t.claimAt < claimSpan {
		return
	}
	rank, isCandidate := t.rank(now)
	if !isCandidate {
		return
	}
	stale := now - t.untilAt
	isVacant := t.until == 0 || stale > eventloop.Micros(clusterstate.ControllerLeaseUs)
	// A controller that nobody hears needn't be waited for, but the cluster state will
	// only give its lease away when it has run out.
	// Whoever held it last may take it up again at once: while the cluster state had no
	// leader nobody could renew anything.
	isLast := t.state.ControllerLease.GetHolder() == t.id
	if isLast || isVacant && stale > eventloop.Micros(clusterstate.ControllerLeaseUs)+eventloop.Micros(rank)*300*eventloop.Millisecond || t.until == 0 && now > eventloop.Micros(rank)*300*eventloop.Millisecond {
		t.claim(now, out)
	}
}

func (t *Table) claim(now eventloop.Micros, out eventloop.Effects) {
	t.claimAt = now
	if id := t.send(now, &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_ClaimControllerLease{ClaimControllerLease: &schema.ClaimControllerLease{Holder: t.id}}}, out); id != 0 {
		t.claims[id] = now
	}
}

func (t *Table) replied(now eventloop.Micros, m *schema.Response) {
	sent, isClaim := t.claims[m.Id]
	if !isClaim || m.Code == 0 {
		return
	}
	delete(t.claims, m.Id)
	// Claims go out before the last one is answered: an answer that comes after one
	// to a later claim says what was, not what is.
	if m.Id < t.answered {
		return
	}
	t.answered = m.Id
	var result struct {
		Lease uint64 `json:"lease"`
	}
	if m.Code != 200 || json.Unmarshal(m.Body, &result) != nil || result.Lease == 0 {
		t.lease = 0
		return
	}
	// How the groups stand is told to the active controller alone.
	if t.lease == 0 {
		t.askedAt = 0
	}
	// Counted from when it was asked for, so it ends here before it ends there.
	t.lease = result.Lease
	t.mine = max(t.mine, sent+eventloop.Micros(clusterstate.ControllerLeaseUs)-guardSpan)
}

// send gives a command to the cluster state's leader.
func (t *Table) send(now eventloop.Micros, command *schema.ClusterStateCommand, out eventloop.Effects) uint64 {
	to := t.leaderOf(now, clusterstate.Group)
	if to == "" {
		return 0
	}
	t.number++
	out.Send(to, &schema.Request{Id: t.number, Kind: "clusterstate", Group: clusterstate.Group, Body: replica.ClusterStateBody(command)})
	return t.number
}

// leaderOf is who says itself that it leads a group, else whom others name.
func (t *Table) leaderOf(now eventloop.Micros, group string) string {
	return t.leaderAmong(now, t.stores(now), group)
}

func (t *Table) leaderAmong(now eventloop.Micros, stores []string, group string) string {
	named, claimant := "", ""
	var claimed eventloop.Micros
	for _, id := range stores {
		word, isKnown := t.told[id]
		if !isKnown || now-word.at > t.spans.SuspectTimeout {
			continue
		}
		leader := word.tell.Leaders[group]
		// Of two that say so the later one does: the other may be gone.
		if leader == id && (claimant == "" || word.at > claimed) {
			claimant, claimed = id, word.at
		}
		if leader != "" {
			named = leader
		}
	}
	if claimant != "" {
		return claimant
	}
	return named
}

// isDeposed tells that a store which doesn't answer has lost all that it led:
// its peers have missed it already and say so, which is sooner than we would
// suspect it ourselves.
func (t *Table) isDeposed(now eventloop.Micros, id string) bool {
	last := t.told[id]
	if last.tell == nil || now-last.at <= missSpan {
		return false
	}
	hasLed := false
	for group, leader := range last.tell.Leaders {
		if leader != id {
			continue
		}
		hasLed = true
		isTaken := false
		for other, word := range t.told {
			isTaken = isTaken || other != id && word.at > last.at && word.tell.Leaders[group] == other
		}
		if !isTaken {
			return false
		}
	}
	return hasLed
}
