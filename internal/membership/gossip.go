package membership

// Gossip: heartbeats and members told and heard.

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// word is the last hello a process sent us itself.
type word struct {
	at    eventloop.Micros
	hello *schema.Gossip
}

// detail is how much of the book a hello carries.
type detail int

func (t *Table) hello(now eventloop.Micros, much detail) *schema.Gossip {
	hello := &schema.Gossip{Self: proto.Clone(t.self).(*schema.Member), Joined: t.isSystem}
	if t.account != nil {
		hello.Empty = t.isFounder()
		hello.BootstrapVote = t.account.BootstrapVote
	}
	if !t.isSystem {
		hello.KnownStores = t.stores()
	}
	if much == alone {
		return hello
	}
	for _, id := range t.ids() {
		known := t.known[id]
		if now-known.Heard >= freshSpan {
			continue
		}
		hello.Members = append(hello.Members, entry(known.Member, much))
	}
	return hello
}

// entry is a member as a book tells of it.
func entry(member *schema.Member, much detail) *schema.Member {
	if much == whole {
		return member
	}
	return &schema.Member{Id: member.Id, Incarnation: member.Incarnation, Heartbeat: member.Heartbeat, Draining: member.Draining, LatencyUs: member.LatencyUs}
}

// report is the hello to a store or seed. Once a store is heard, what a side
// machine knows the stores know better, but for who asks it because they reach
// no store.
func (t *Table) report(now eventloop.Micros, much detail) *schema.Gossip {
	if !t.isSystem || !t.terms.IsSide || len(t.hubs(now)) == 0 {
		return t.hello(now, much)
	}
	report := t.hello(now, alone)
	if much == alone {
		return report
	}
	if much == whole {
		// Who tells a whole member is answered with whole ones.
		report.Members = append(report.Members, report.Self)
	}
	for _, id := range slices.Sorted(maps.Keys(t.askers)) {
		if known, isKnown := t.known[id]; isKnown && now-known.Heard < freshSpan {
			report.Members = append(report.Members, entry(known.Member, much))
		}
	}
	return report
}

// answer is the hello to one that asks. Only stores need to know of all side
// machines; whoever else asks within a system is told of the stores, the fronts
// and the candidates: what all know of all would grow with the square of them.
func (t *Table) answer(now eventloop.Micros, much detail, asker *schema.Gossip) *schema.Gossip {
	answer := t.hello(now, much)
	answer.IsReply = true
	if t.isSystem && asker.Joined && !asker.Self.HasStorage {
		t.leaveOut(now, answer)
	}
	return answer
}

// leaveOut takes the side machines out of a hello that don't stand for controller.
func (t *Table) leaveOut(now eventloop.Micros, hello *schema.Gossip) {
	cells := map[string]string{}
	for id, known := range t.known {
		if known.Member.Role == schema.Role_ROLE_CONTROLLER && now-known.Heard < hubSpan {
			cells[id] = known.Member.Zone
		}
	}
	candidates := Spread(cells, Candidates)
	hello.Members = slices.DeleteFunc(hello.Members, func(member *schema.Member) bool {
		known, isKnown := t.known[member.Id]
		return isKnown && known.Member.Role == schema.Role_ROLE_CONTROLLER && !slices.Contains(candidates, member.Id)
	})
}

func (t *Table) ids() []string {
	return slices.Sorted(maps.Keys(t.known))
}

// hubs are the other stores, those heard of lately. Everybody asks them in
// turn, so a beat takes two hops from anybody to anybody.
func (t *Table) hubs(now eventloop.Micros) []string {
	var hubs []string
	for _, id := range t.ids() {
		if known := t.known[id]; known.Member.HasStorage && now-known.Heard < hubSpan {
			hubs = append(hubs, known.Member.InternalAddress)
		}
	}
	return hubs
}

func (t *Table) isSeed() bool { return slices.Contains(t.terms.Seeds, t.self.InternalAddress) }

// someSeed is any seed but ourselves.
func (t *Table) someSeed() string {
	var others []string
	for _, seed := range t.terms.Seeds {
		if seed != t.self.InternalAddress {
			others = append(others, seed)
		}
	}
	if len(others) == 0 {
		return ""
	}
	return others[t.rng.IntN(len(others))]
}

func (t *Table) greet(now eventloop.Micros, out eventloop.Effects) {
	t.self.Heartbeat++
	switch {
	case len(t.known) == 0:
		// Seeds are asked all the time until somebody answers. They may all
		// have been replaced while this machine was away; whom it knew then is
		// worth a try.
		hello := t.hello(now, whole)
		sentTo := map[string]bool{t.self.InternalAddress: true}
		for _, address := range append(slices.Clone(t.terms.Seeds), t.met...) {
			if !sentTo[address] {
				sentTo[address] = true
				out.Dial(address, hello)
			}
		}
	case t.isSystem:
		t.tell(now, out)
	default:
		t.gather(now, out)
	}
}

// gather: before a system exists, seeds and stores all tell each other whom
// they see; the others ask a seed.
func (t *Table) gather(now eventloop.Micros, out eventloop.Effects) {
	hello := t.hello(now, whole)
	if t.account == nil && !t.isSeed() {
		if seed := t.someSeed(); seed != "" {
			out.Dial(seed, hello)
		}
		return
	}
	sentTo := map[string]bool{t.self.InternalAddress: true}
	for _, seed := range t.terms.Seeds {
		if !sentTo[seed] {
			sentTo[seed] = true
			out.Dial(seed, hello)
		}
	}
	// Whoever is told here tells us too, in its own turn.
	word := proto.Clone(hello).(*schema.Gossip)
	word.IsReply = true
	for _, id := range t.ids() {
		if member := t.known[id].Member; member.HasStorage && !sentTo[member.InternalAddress] {
			sentTo[member.InternalAddress] = true
			out.Dial(member.InternalAddress, word)
		}
	}
}

// tell: in a system. A store tells all others at each pace; a side machine
// asks one store at each pace, the others at each second one. Whoever
// got no word asks one of all besides, for the stores may be cut off from us
// and not from others.
func (t *Table) tell(now eventloop.Micros, out eventloop.Effects) {
	hubs := t.hubs(now)
	// Whoever hears of no store asks at each pace: the seed asked before may have
	// known none itself, as when all have just started.
	if t.isMissing || len(hubs) == 0 || now-t.wholeAt >= wholeSpan {
		// A seed in turn: that is how two halves that met different seeds find
		// each other.
		t.isMissing, t.wholeAt = false, now
		seed := t.someSeed()
		if seed != "" {
			report := t.report(now, whole)
			if !t.isStoreAt(seed) {
				t.leaveOut(now, report)
			}
			out.Dial(seed, report)
		}
		// The seeds may all have been replaced while we ran on: beats alone don't tell
		// who somebody new is, so a store that is heard of is asked in their place.
		if len(hubs) > 0 && !t.isHeardAt(now, seed) {
			out.Dial(hubs[t.rng.IntN(len(hubs))], t.report(now, whole))
		}
	}
	if t.ticks < youngPaces {
		t.callSeeds(now, out)
	}
	isStore, isTurn := t.account != nil, t.ticks%2 == 0
	if !isTurn && !isStore && !t.terms.IsSide && !t.isWaiting && !t.isNews {
		return
	}
	much := alone
	if t.isNews || t.ticks%4 == 0 {
		much = beats
	}
	if t.isWaiting || len(hubs) == 0 {
		much = beats
		ids := t.ids()
		out.Dial(t.known[ids[t.rng.IntN(len(ids))]].Member.InternalAddress, t.hello(now, beats))
	}
	if isStore {
		// Of others it tells at each second pace.
		if !isTurn {
			much = alone
		} else {
			much = beats
		}
		t.spread(now, much, out)
	} else if len(hubs) > 0 {
		t.turn++
		out.Dial(hubs[t.turn%uint64(len(hubs))], t.report(now, much))
	}
	t.isWaiting, t.isNews = true, false
}

// callSeeds: a young process calls every seed that it hasn't heard of yet. They may
// come up after it, as when all have just been restarted, and others who know only
// them hear of nobody until they do.
func (t *Table) callSeeds(now eventloop.Micros, out eventloop.Effects) {
	heard := map[string]bool{t.self.InternalAddress: true}
	for _, known := range t.known {
		if now-known.Heard < hubSpan {
			heard[known.Member.InternalAddress] = true
		}
	}
	for _, seed := range t.terms.Seeds {
		if !heard[seed] {
			heard[seed] = true
			out.Dial(seed, t.report(now, whole))
		}
	}
}

// isHeardAt tells whether a process at an address was heard of lately.
func (t *Table) isHeardAt(now eventloop.Micros, address string) bool {
	for _, known := range t.known {
		if known.Member.InternalAddress == address && now-known.Heard < hubSpan {
			return true
		}
	}
	return false
}

// isStoreAt tells whether a store, or nobody we know, lives at an address.
func (t *Table) isStoreAt(address string) bool {
	for _, known := range t.known {
		if known.Member.InternalAddress == address {
			return known.Member.HasStorage
		}
	}
	return true
}

// spread tells every store without asking anything.
func (t *Table) spread(now eventloop.Micros, much detail, out eventloop.Effects) {
	word := t.hello(now, much)
	word.IsReply = true
	for _, hub := range t.hubs(now) {
		out.Dial(hub, word)
	}
}

// isBefore tells whether a process said one thing of itself before another.
func isBefore(a, b *schema.Member) bool {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Heartbeat, b.Heartbeat)) < 0
}

func (t *Table) hear(now eventloop.Micros, from string, hello *schema.Gossip, out eventloop.Effects) {
	if hello.Self == nil || hello.Self.Id != from || from == t.self.Id {
		return
	}
	// What a former life said, and comes late, is nobody's word any more.
	if former, isKnown := t.known[from]; isKnown && hello.Self.Incarnation < former.Member.Incarnation {
		return
	}
	wasSystem, seen, known := t.isSystem, len(t.seen), len(t.known)
	t.isSystem = t.isSystem || hello.Joined
	t.note(now, hello.Self)
	if last := t.told[from].hello; last == nil || !isBefore(hello.Self, last.Self) {
		t.told[from] = word{at: now, hello: hello}
	}
	isWhole, isMissing := false, false
	for _, member := range hello.Members {
		if member.GetId() == t.self.Id {
			continue
		}
		isWhole = isWhole || member.InternalAddress != ""
		isMissing = !t.note(now, member) || isMissing
	}
	if hello.IsReply {
		t.isWaiting = false
	} else {
		// Somebody who asks a process that is no store may reach no other.
		t.isNews = t.isNews || t.account == nil && t.isSystem
		much := beats
		if isWhole || !t.isSystem || !hello.Joined {
			much = whole
		}
		if t.account == nil {
			t.askers[from] = now
		}
		out.Dial(hello.Self.InternalAddress, t.answer(now, much, hello))
	}
	if isMissing && now-t.wholeAt >= Pace {
		t.wholeAt = now
		out.Dial(hello.Self.InternalAddress, t.report(now, whole))
	} else if isMissing {
		t.isMissing = true
	}
	// Founding shouldn't wait for the pace when a store is news.
	if isNews := len(t.seen) != seen || t.isSystem != wasSystem; isNews && now-t.rushedAt >= rushSpan {
		t.rushedAt = now
		t.greet(now, out)
	}
	// Whoever is new here can be reached from now on.
	if len(t.known) > known {
		t.publish(now, out)
	}
	t.found(now, out)
}

// note takes in what is told of a member; false if it is a mere beat of one
// whom we don't know.
func (t *Table) note(now eventloop.Micros, member *schema.Member) bool {
	if member.GetId() == "" {
		return true
	}
	old, isKnown := t.known[member.Id]
	isNews := !isKnown || member.Incarnation > old.Member.Incarnation || member.Incarnation == old.Member.Incarnation && member.Heartbeat > old.Member.Heartbeat
	if !isNews {
		return true
	}
	if member.InternalAddress == "" {
		if !isKnown || member.Incarnation != old.Member.Incarnation {
			return false
		}
		next := proto.Clone(old.Member).(*schema.Member)
		next.Heartbeat, next.Draining, next.LatencyUs = member.Heartbeat, member.Draining, member.LatencyUs
		member = next
	}
	// An address belongs to whoever was heard there last.
	if !isKnown || old.Member.InternalAddress != member.InternalAddress {
		for id, other := range t.known {
			if id != member.Id && other.Member.InternalAddress == member.InternalAddress && now-other.Heard > eventloop.Second {
				delete(t.known, id)
				delete(t.told, id)
			}
		}
	}
	t.known[member.Id] = Known{Member: member, Heard: now}
	if member.HasStorage {
		t.seen[member.Id] = now
	}
	return true
}
