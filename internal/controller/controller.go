// Package controller owns control: it compares what is wanted with what is, and acts
// once at a time, under a controller's lease that the cluster state gives and checks.
// It holds nothing durable; with every side machine gone the rest goes on as
// the cluster state last said.
package controller

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"strings"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// Pace is the tick of the table.
const Pace = 50 * eventloop.Milli

const (
	askSpan   = 250 * eventloop.Milli
	renewSpan = 800 * eventloop.Milli
	claimSpan = 500 * eventloop.Milli
	guardSpan = 300 * eventloop.Milli  // a lease is let go this long before it ends
	deadSpan  = 1500 * eventloop.Milli // a process unheard by anybody for so long is suspected
	missSpan  = 600 * eventloop.Milli  // one that doesn't answer for so long, while others lead what it led, is passed over
	lostSpan  = 6 * eventloop.Second   // and for so long its place may be given to another
	// For so long where an empty store has come since: until it is counted in, no
	// other may be lost.
	replacedSpan = 2500 * eventloop.Milli
	beginSpan    = 8 * eventloop.Second  // who is first heard of within so long was there when all began
	newSpan      = 30 * eventloop.Second // a store has come of late for so long
	actSpan      = 200 * eventloop.Milli // between two acts on one thing
	latencyMost  = int64(300 * eventloop.Milli)
	latencyRest  = 15 * eventloop.Second // between two moves for latency alone
)

// told is the last word of one store.
type told struct {
	at   eventloop.Micros
	tell *schema.ClusterStateTell
}

// Table is the controller's table; every side machine has one, one of them acts.
type Table struct {
	id       string
	state    *schema.ClusterState
	values   *clusterstate.Values
	roll     *membership.Roll
	told     map[string]told
	until    int64 // the lease's end as last seen, in the cluster state's time
	untilAt  eventloop.Micros
	askedAt  eventloop.Micros
	claimAt  eventloop.Micros
	claims   map[uint64]eventloop.Micros
	lease    uint64
	mine     eventloop.Micros // my lease ends, by my clock
	acted    map[string]eventloop.Micros
	queuesIn string // the queues of the last act on queues
	movedAt  eventloop.Micros
	gone     map[string]eventloop.Micros
	came     map[string]eventloop.Micros // when a process was first heard of here
	first    eventloop.Micros            // when any was
	number   uint64
	turn     int // whose turn it is to be asked
	voters   int // how many each group is to have
	readers  []string
}

// New makes the table of a side machine. Losses are the stores that may be lost
// at once (0: one). Readers are the tables of this process that want the cluster state.
func New(id string, losses uint32, readers ...string) *Table {
	return &Table{
		id: id, voters: membership.Terms{Losses: losses}.Founders(), readers: readers, state: &schema.ClusterState{}, values: clusterstate.Read(nil), told: map[string]told{}, claims: map[uint64]eventloop.Micros{},
		acted: map[string]eventloop.Micros{}, gone: map[string]eventloop.Micros{}, came: map[string]eventloop.Micros{},
	}
}

// Belief asks what this side machine believes.
type Belief struct{ Request uint64 }

// SideBelief is what a side machine believes.
type SideBelief struct {
	Node       string           `json:"node"`
	Version    uint64           `json:"cluster_state_version"`
	Controller string           `json:"controller"`
	Lease      uint64           `json:"controller_lease"`
	IsMine     bool             `json:"controller_here"`
	Members    []*schema.Member `json:"members"`
}

func (t *Table) Step(now eventloop.Micros, mail eventloop.Mail, out eventloop.Out) {
	switch body := mail.Body.(type) {
	case eventloop.Tick:
		t.tick(now, out)
	case *membership.Roll:
		t.roll = body
	case *schema.ClusterStateTell:
		t.hear(now, mail.From, body, out)
	case *schema.RequestReply:
		t.replied(now, body)
	case Belief:
		b := &SideBelief{Node: t.id, Version: t.state.Version, Controller: t.state.Controller.GetId(), Lease: t.state.Controller.GetLease(), IsMine: t.isController(now)}
		for _, id := range t.memberIds() {
			b.Members = append(b.Members, t.roll.Known[id].Member)
		}
		out.Answer(body.Request, b)
	}
}

func (t *Table) hear(now eventloop.Micros, from string, m *schema.ClusterStateTell, out eventloop.Out) {
	isNew := m.State != nil && m.State.Version > t.state.Version
	if m.State != nil && m.State.Version >= t.state.Version {
		t.state, t.values = m.State, t.values.Renew(m.State.Plan)
		out.Tell("membership", membership.ClusterState{Version: m.State.Version})
	}
	if m.ControllerUntilUs > t.until {
		t.until, t.untilAt = m.ControllerUntilUs, now
	}
	// An answer from before a change must not undo what we know.
	if m.Version >= t.state.Version {
		t.told[from] = told{at: now, tell: m}
		// The whole each time: a reader that missed one isn't told of it again.
		for _, reader := range t.readers {
			out.Tell(reader, &schema.ClusterStateTell{State: t.state, Version: t.state.Version, Leaders: m.Leaders})
		}
	}
	// Queues that a table has just added are waited for.
	if isNew && t.roll != nil && t.isController(now) {
		t.queues(now, out)
	}
}

func (t *Table) memberIds() []string {
	var ids []string
	if t.roll != nil {
		for id := range t.roll.Known {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

func (t *Table) stores(now eventloop.Micros) []string {
	var ids []string
	for _, id := range t.memberIds() {
		if known := t.roll.Known[id]; known.Member.Stores && t.roll.Live(id, now, deadSpan) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (t *Table) tick(now eventloop.Micros, out eventloop.Out) {
	if t.roll == nil {
		return
	}
	if now-t.askedAt >= askSpan {
		t.askedAt = now
		t.ask(now, out)
		t.watch(now)
	}
	t.seek(now, out)
	if !t.isController(now) {
		return
	}
	t.queues(now, out)
	t.leaders(now, out)
	t.members(now, out)
	t.sessions(now, out)
}

// ask asks after the cluster state: a candidate asks every store, for it must know what
// each of them says once it is controller; the others take turns, for all asking all
// would cost the stores more than what they are there for.
func (t *Table) ask(now eventloop.Micros, out eventloop.Out) {
	stores := t.stores(now)
	if len(stores) == 0 {
		return
	}
	if _, isCandidate := t.rank(now); !isCandidate && !t.isController(now) {
		t.turn++
		stores = stores[t.turn%len(stores):][:1]
	}
	for _, id := range stores {
		out.Send(id, &schema.ClusterStateAsk{Version: t.state.Version})
	}
}

// rank is our place among the side machines that stand for controller, if we do.
func (t *Table) rank(now eventloop.Micros) (int, bool) {
	cells := map[string]string{t.id: t.roll.Self.GetCell()}
	for id, known := range t.roll.Known {
		if known.Member.Role == schema.Role_ROLE_CONTROLLER && t.roll.Live(id, now, deadSpan) {
			cells[id] = known.Member.Cell
		}
	}
	rank := slices.Index(membership.Spread(cells, membership.Candidates), t.id)
	return rank, rank >= 0
}

// --- the lease ---

func (t *Table) isController(now eventloop.Micros) bool { return t.lease != 0 && now < t.mine }

// seek renews the lease, or claims one that nobody renews. Candidates wait
// by rank, so that seldom two try at once.
func (t *Table) seek(now eventloop.Micros, out eventloop.Out) {
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
	isVacant := t.until == 0 || stale > eventloop.Micros(clusterstate.LeaseUs)
	// A controller that nobody hears needn't be waited for, but the cluster state will
	// only give its lease away when it has run out.
	// Whoever held it last may take it up again at once: while the cluster state had no
	// leader nobody could renew anything.
	isLast := t.state.Controller.GetId() == t.id
	if isLast || isVacant && stale > eventloop.Micros(clusterstate.LeaseUs)+eventloop.Micros(rank)*300*eventloop.Milli || t.until == 0 && now > eventloop.Micros(rank)*300*eventloop.Milli {
		t.claim(now, out)
	}
}

func (t *Table) claim(now eventloop.Micros, out eventloop.Out) {
	t.claimAt = now
	if id := t.send(now, &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_Claim{Claim: &schema.Claim{Id: t.id}}}, out); id != 0 {
		t.claims[id] = now
	}
}

func (t *Table) replied(now eventloop.Micros, m *schema.RequestReply) {
	sent, isClaim := t.claims[m.Id]
	if !isClaim || m.Code == 0 {
		return
	}
	delete(t.claims, m.Id)
	var result struct {
		Lease uint64 `json:"lease"`
	}
	if m.Code != 200 || json.Unmarshal(m.Body, &result) != nil || result.Lease == 0 {
		t.lease = 0
		return
	}
	// Counted from when it was asked for, so it ends here before it ends there.
	t.lease = result.Lease
	t.mine = max(t.mine, sent+eventloop.Micros(clusterstate.LeaseUs)-guardSpan)
}

// send gives a command to the cluster state's leader.
func (t *Table) send(now eventloop.Micros, command *schema.ClusterStateCommand, out eventloop.Out) uint64 {
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
		if !isKnown || now-word.at > deadSpan {
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

// notes are what the leaders say of their groups.
func (t *Table) notes(now eventloop.Micros) map[string]*schema.WaitNote {
	notes := map[string]*schema.WaitNote{}
	for _, id := range t.stores(now) {
		word, isKnown := t.told[id]
		if !isKnown || now-word.at > deadSpan {
			continue
		}
		for _, note := range word.tell.Waits {
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

// --- loop: queues ---

func (t *Table) queues(now eventloop.Micros, out eventloop.Out) {
	notes := t.notes(now)
	root := notes[clusterstate.Group]
	if root == nil {
		return
	}
	command := &schema.PlaceQueues{Lease: t.lease}
	leader := ""
	for _, name := range t.values.Queues() {
		if clusterstate.Place(t.state, name) != nil {
			continue
		}
		if len(command.Queues) == 0 {
			leader = t.sturdiest(now)
		}
		command.Queues = append(command.Queues, &schema.QueuePlace{Queue: name, Founders: root.Voters, Leader: leader})
	}
	for _, place := range t.state.Queues {
		note := notes[replica.GroupOf(place)]
		if !t.values.HasQueue(place.Queue) && note != nil && note.Live == 0 && note.Kept == 0 {
			command.Gone = append(command.Gone, place.Queue)
		}
	}
	if len(command.Queues)+len(command.Gone) == 0 {
		return
	}
	// The same act again waits, for its effect may just not be heard of yet;
	// another one doesn't.
	var names []string
	for _, each := range command.Queues {
		names = append(names, each.Queue)
	}
	set := strings.Join(names, " ") + "/" + strings.Join(command.Gone, " ")
	if set != t.queuesIn {
		delete(t.acted, "queues")
	}
	// One that finds no leader is tried again at the next tick.
	if t.leaderOf(now, clusterstate.Group) != "" && t.may(now, "queues", actSpan) {
		t.queuesIn = set
		t.send(now, &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_Queues{Queues: command}}, out)
	}
}

// --- loop: leaders and wards ---

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
		wanted[place.Leader]++
		leads[t.leaderAmong(now, stores, place.Queue)]++
	}
	for _, ward := range t.state.Wards {
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
		if !isKnown || now-word.at > deadSpan || !t.roll.Live(id, now, deadSpan) || t.roll.Known[id].Member.Leaving || t.isDeposed(now, id) {
			continue
		}
		list = append(list, candidate{id, t.roll.Known[id].Member.LatencyUs})
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

func (t *Table) leaders(now eventloop.Micros, out eventloop.Out) {
	sturdy := t.sturdiest(now)
	if sturdy == "" {
		return
	}
	wards := &schema.MoveWards{Lease: t.lease}
	for _, ward := range t.state.Wards {
		if ward.Scheduler != sturdy {
			wards.Wards = append(wards.Wards, &schema.Ward{Worker: ward.Worker, Scheduler: sturdy})
		}
	}
	queues := &schema.PlaceQueues{Lease: t.lease}
	for _, place := range t.state.Queues {
		if place.Leader != sturdy {
			queues.Queues = append(queues.Queues, &schema.QueuePlace{Queue: place.Queue, Leader: sturdy})
		}
	}
	if len(wards.Wards)+len(queues.Queues) == 0 || !t.may(now, "leaders", actSpan) {
		return
	}
	t.movedAt = now
	if len(queues.Queues) > 0 {
		t.send(now, &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_Queues{Queues: queues}}, out)
	}
	if len(wards.Wards) > 0 {
		t.send(now, &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_Wards{Wards: wards}}, out)
	}
}

// --- loop: members ---

// members gives a lost voter's place to a spare store, which learns, catches up
// and votes.
func (t *Table) members(now eventloop.Micros, out eventloop.Out) {
	notes := t.notes(now)
	root := notes[clusterstate.Group]
	if root == nil {
		return
	}
	for _, group := range slices.Sorted(maps.Keys(notes)) {
		if act := t.nextMember(now, notes[group], root); act != nil && t.may(now, "members/"+group, actSpan) {
			act.Group, act.Lease = group, t.lease
			out.Send(notes[group].Leader, act)
		}
	}
}

// isLost tells whether a store has been silent for so long that its place may be
// given to another. Where an empty store has come of late, it is the other.
func (t *Table) isLost(now eventloop.Micros, id string) bool {
	known, isKnown := t.roll.Known[id]
	if isKnown && now-known.Heard < deadSpan {
		delete(t.gone, id)
		return false
	}
	silent := t.lostFor(now, id)
	if isKnown {
		// Its last word is older than our notice of that.
		silent += deadSpan
	}
	return isKnown && t.isSucceeded(now, id) || silent > lostSpan || silent > replacedSpan && t.hasCome(now)
}

// isSucceeded tells whether another store lives at a silent one's address: its
// disk is gone, so it won't come back, and waiting for it would only leave its
// groups a voter short when the next machine goes.
func (t *Table) isSucceeded(now eventloop.Micros, id string) bool {
	old := t.roll.Known[id]
	for other, known := range t.roll.Known {
		if other != id && known.Member.Inner == old.Member.Inner && known.Member.Inner != "" && known.Heard > old.Heard && t.roll.Live(other, now, deadSpan) {
			return true
		}
	}
	return false
}

func (t *Table) lostFor(now eventloop.Micros, id string) eventloop.Micros {
	since, isKnown := t.gone[id]
	if !isKnown {
		t.gone[id] = now
		return 0
	}
	return now - since
}

// hasCome tells whether a store that has never run before was first heard of of
// late, and not when all began.
func (t *Table) hasCome(now eventloop.Micros) bool {
	for id, at := range t.came {
		known, isKnown := t.roll.Known[id]
		if isKnown && known.Member.Stores && known.Member.Boot <= 1 && at-t.first > beginSpan && now-at < newSpan {
			return true
		}
	}
	return false
}

// watch keeps in mind who has come and who is silent, also before this machine
// becomes the controller.
func (t *Table) watch(now eventloop.Micros) {
	if t.first == 0 {
		t.first = now
	}
	for id := range t.roll.Known {
		if _, isKnown := t.came[id]; !isKnown {
			t.came[id] = now
		}
	}
	for id := range t.came {
		if _, isKnown := t.roll.Known[id]; !isKnown {
			delete(t.came, id)
		}
	}
	for id, known := range t.roll.Known {
		if known.Member.Stores {
			t.isLost(now, id)
		}
	}
}

// nextMember is the next change of a group's members, one server at a time.
//
// An odd group's quorum is as large without one of its voters, so neither order
// of dropping the lost one and promoting the spare puts a quorum at risk, nor has
// a record fewer copies. Who is only silent may come back and count, so it is
// dropped last. Whose disk is gone won't, so it is dropped as soon as the spare
// has caught up: then the group bears its losses from the promotion on. Two are
// never dropped before a promotion.
func (t *Table) nextMember(now eventloop.Micros, note, root *schema.WaitNote) *schema.Reroster {
	var lost []string
	succeeded := ""
	for _, id := range note.Voters {
		if !t.isLost(now, id) {
			continue
		}
		lost = append(lost, id)
		if _, isKnown := t.roll.Known[id]; isKnown && t.isSucceeded(now, id) {
			succeeded = id
		}
	}
	if len(note.Learners) > 0 {
		// One change at a time: whoever learns is seen through first.
		id := note.Learners[0]
		switch {
		case t.isLost(now, id):
			return &schema.Reroster{Drop: id}
		case len(lost) == 0 && len(note.Voters) >= t.voters:
			// Whoever it was to stand for is back.
			return &schema.Reroster{Drop: id}
		case note.Behind[id] > 64:
			return nil
		case succeeded != "" && len(note.Voters) >= t.voters:
			return &schema.Reroster{Drop: succeeded}
		}
		return &schema.Reroster{Promote: id}
	}
	if len(note.Voters) > t.voters {
		if succeeded != "" {
			return &schema.Reroster{Drop: succeeded}
		}
		if len(lost) > 0 {
			return &schema.Reroster{Drop: lost[0]}
		}
		// All are back, and an even group bears no more than one less.
		if id := t.surplus(note, root); id != "" {
			return &schema.Reroster{Drop: id}
		}
		return nil
	}
	if len(lost) == 0 && len(note.Voters) >= t.voters {
		return nil
	}
	if id := t.spare(now, note, root); id != "" {
		return &schema.Reroster{Learn: id}
	}
	return nil
}

// spare is a store to learn next. Queues follow the cluster state's voters, so that a
// few machines hold all; the cluster state's are spread over the cells.
func (t *Table) spare(now eventloop.Micros, note, root *schema.WaitNote) string {
	mayLearn := func(id string) bool {
		return !slices.Contains(note.Voters, id) && !slices.Contains(note.Learners, id) &&
			t.roll.Live(id, now, deadSpan) && !t.roll.Known[id].Member.Leaving
	}
	for _, id := range root.Voters {
		if mayLearn(id) {
			return id
		}
	}
	inCell := map[string]int{}
	for _, id := range note.Voters {
		if !t.isLost(now, id) {
			inCell[t.cellOf(id)]++
		}
	}
	best := ""
	for _, id := range t.stores(now) {
		if mayLearn(id) && (best == "" || inCell[t.cellOf(id)] < inCell[t.cellOf(best)]) {
			best = id
		}
	}
	return best
}

// surplus is the voter to do without: one that doesn't vote on the cluster state, else
// one of the fullest cell; never the leader.
func (t *Table) surplus(note, root *schema.WaitNote) string {
	inCell := map[string]int{}
	for _, id := range note.Voters {
		inCell[t.cellOf(id)]++
	}
	best := ""
	for _, id := range note.Voters {
		switch {
		case id == note.Leader:
		case !slices.Contains(root.Voters, id):
			return id
		case best == "" || inCell[t.cellOf(id)] > inCell[t.cellOf(best)]:
			best = id
		}
	}
	return best
}

func (t *Table) cellOf(id string) string { return t.roll.Known[id].Member.GetCell() }

// --- loop: sessions ---

// sessions ends those of gateway that have been gone longer than the plan lets
// them timeout.
func (t *Table) sessions(now eventloop.Micros, out eventloop.Out) {
	timeout := eventloop.Micros(t.values.Fleet("session_timeout_s")) * eventloop.Second
	notes := t.notes(now)
	for _, group := range slices.Sorted(maps.Keys(notes)) {
		note := notes[group]
		var over []*schema.Gone
		for _, boot := range note.Boots {
			key := "gateway/" + boot.Gateway
			known, isKnown := t.roll.Known[boot.Gateway]
			isNewer := isKnown && known.Member.Boot != boot.Boot&(1<<32-1)
			if isKnown && !isNewer && now-known.Heard < deadSpan {
				delete(t.gone, key)
				continue
			}
			if isNewer || t.lostFor(now, key) > timeout {
				over = append(over, &schema.Gone{Gateway: boot.Gateway, Boot: boot.Boot})
			}
		}
		if len(over) > 0 && t.may(now, "sessions/"+note.Queue, eventloop.Second) {
			out.Send(note.Leader, &schema.Quit{Queue: note.Queue, Boots: over})
		}
	}
}
