package membership

import (
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Founding. Nobody tells how many stores there are, and the seeds may have no
// disk. So every process tells which stores it sees, and a store promises, on
// disk and once for all, only on a set S that every store of S and every seed
// has told of, itself and lately. When all who were promised have told the same
// promise, the group exists.
//
// Why no two different promises can both be kept: what a process sees only
// grows until it promises (a store is let go only after a minute without a beat
// from anybody, while a word older than two seconds counts for nothing), and
// from then on it tells of its promise alone. Say P promised on S and Q on T.
//   - If each is in the other's set, each has told the other's set before its own
//     promise: so T is within S and S within T.
//   - If P isn't in T, some seed told P of S, which holds P, and told Q of T,
//     which doesn't, so T came first and T is within S. Then Q is in S and has
//     told P of S before it promised on T, and what it sees has shrunk.
//
// A process that starts again sees nothing, so it may see less than before. It
// takes all the seeds at once to forget P for Q to promise without it; even
// then P's set can't be founded, for its stores have promised another.
//
// Whoever hears a promise that names it joins in: it was made by this rule.

// stores are the ids this process tells it sees.
func (t *Table) stores() []string {
	if t.account != nil && len(t.account.BootstrapVote) > 0 {
		return t.account.BootstrapVote
	}
	if t.asked != nil && len(t.frozen) > 0 {
		return t.frozen
	}
	seen := slices.Collect(maps.Keys(t.seen))
	if t.account != nil {
		seen = append(seen, t.self.Id)
	}
	slices.Sort(seen)
	return seen
}

// isFounder tells whether this store may found: it is empty, and was told that
// all begins now.
func (t *Table) isFounder() bool {
	return t.account != nil && !t.account.Joined && (t.terms.First || t.isUntold() && t.isSeed())
}

// isUntold: settings that say neither which start is the first nor what may be
// lost leave it to the stores that are each other's seeds. Settings that do say
// so mean it: a store that comes back empty to a seed's address never founds.
func (t *Table) isUntold() bool { return !t.terms.First && t.terms.Losses == 0 }

func (t *Table) found(now eventloop.Micros, out eventloop.Effects) {
	if t.account == nil || t.account.Joined || t.asked != nil {
		return
	}
	promise := t.account.BootstrapVote
	if len(promise) == 0 {
		if promise = t.joined(); promise == nil {
			promise = t.settled(now)
		}
		if promise != nil {
			next := proto.Clone(t.account).(*schema.StoreIdentity)
			next.BootstrapVote = promise
			t.frozen = t.stores()
			t.asked = next
			out.Notify("replica", KeepSelf{Self: next})
		}
		return
	}
	for _, id := range promise {
		if id != t.self.Id && !slices.Equal(t.told[id].hello.GetBootstrapVote(), promise) {
			return
		}
	}
	next := proto.Clone(t.account).(*schema.StoreIdentity)
	next.Joined = true
	t.asked = next
	out.Notify("replica", KeepSelf{Self: next, Found: next.BootstrapVote})
}

// joined is the promise of another store that names this one.
func (t *Table) joined() []string {
	if t.isSystem {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(t.told)) {
		if promise := t.told[id].hello.BootstrapVote; slices.Contains(promise, t.self.Id) && slices.Contains(promise, id) {
			return slices.Clone(promise)
		}
	}
	return nil
}

// settled is the set to promise once all have agreed for long enough.
func (t *Table) settled(now eventloop.Micros) []string {
	founders, wished := t.agreement(now)
	key := strings.Join(founders, " ") + "/" + strings.Join(t.stores(), " ")
	if len(founders) == 0 {
		t.agreed = ""
		return nil
	}
	if key != t.agreed {
		t.agreed, t.agreedAt = key, now
	}
	span := settleSpan
	if len(founders) < wished {
		span = fewSpan
	}
	if now-t.agreedAt < span || !slices.Contains(founders, t.self.Id) {
		return nil
	}
	return founders
}

// agreement is the founders if all who must have told of the same stores, and
// how many founders are wished for.
func (t *Table) agreement(now eventloop.Micros) ([]string, int) {
	if t.isSystem || !t.isFounder() {
		return nil, 0
	}
	seen := t.stores()
	agrees := func(w word, isHeard bool) bool {
		return isHeard && now-w.at < toldSpan && !w.hello.Joined && slices.Equal(w.hello.KnownStores, seen)
	}
	cells := map[string]string{}
	for _, id := range seen {
		if id == t.self.Id {
			cells[id] = t.self.Zone
			continue
		}
		w, isHeard := t.told[id]
		if !agrees(w, isHeard) {
			return nil, 0
		}
		// One that isn't to found is seen all the same: it will join later.
		if w.hello.Empty {
			cells[id] = w.hello.Self.Zone
		}
	}
	wished := t.terms.Founders()
	if !t.terms.First {
		wished = min(wished, len(t.terms.Seeds))
	}
	for _, seed := range t.terms.Seeds {
		if seed == t.self.InternalAddress {
			continue
		}
		w, isHeard := t.at(seed)
		if !agrees(w, isHeard) {
			return nil, 0
		}
		// Nobody said that all begins now, so only the seeds together may.
		if !t.terms.First && !w.hello.Empty {
			return nil, 0
		}
	}
	return t.terms.Tolerance().Spread(cells, t.terms.Founders()), wished
}

// at is the last word heard from an address.
func (t *Table) at(address string) (word, bool) {
	var last word
	for _, w := range t.told {
		if w.hello.Self.InternalAddress == address && w.at > last.at {
			last = w
		}
	}
	return last, last.hello != nil
}

// Spread chooses so many of the processes, whose cells are given by id: spread
// over the cells, lowest ids first. All choose alike.
func Spread(cells map[string]string, count int) []string {
	byCell := map[string][]string{}
	for _, id := range slices.Sorted(maps.Keys(cells)) {
		byCell[cells[id]] = append(byCell[cells[id]], id)
	}
	var founders []string
	for len(founders) < min(count, len(cells)) {
		for _, cell := range slices.Sorted(maps.Keys(byCell)) {
			if ids := byCell[cell]; len(ids) > 0 && len(founders) < count {
				founders = append(founders, ids[0])
				byCell[cell] = ids[1:]
			}
		}
	}
	slices.Sort(founders)
	return founders
}
