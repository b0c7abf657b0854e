package sim

import (
	"fmt"
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/gateway"
	"sparnotch/internal/schema"
)

// routes holds the names that operators give to the routes of queues. Clients know a queue only
// by its route, whose path prefix doesn't change. The first name of each route is its queue's.
type routes struct {
	labels map[string]string // current names that differ from the queue's, by queue
	moved  []string          // names that have moved to a place of their own, oldest first
	count  int               // number of names drawn so far
}

// maxMovedRoutes is the number of routes that configurations have beside those of the clients'
// queues, each under a name that one of these had before.
const maxMovedRoutes = 2

// useRoutes gives each queue a route. It must be called before the first configuration is sent.
func (s *Simulation) useRoutes() { s.routes = &routes{labels: map[string]string{}} }

// pathOf returns the path of a job, or of a queue if the name is empty.
func (r *routes) pathOf(queue, name string) string { return "/" + queue + "/" + name }

// addTo returns the rows with a queue for each moved name, and a route for each queue. A nil
// receiver returns the rows.
func (r *routes) addTo(rows []*schema.ConfigurationRow) []*schema.ConfigurationRow {
	if r == nil {
		return rows
	}
	all, hasRoute := slices.Clone(rows), map[string]bool{}
	for _, row := range rows {
		hasRoute[row.Name] = hasRoute[row.Name] || row.Kind == "queue" && row.Key == "prefix"
	}
	for _, name := range r.moved {
		if _, isListed := hasRoute[name]; !isListed {
			all = append(all, &schema.ConfigurationRow{Kind: "queue", Name: name, Key: "urgency", Value: "20"})
		}
	}
	for _, row := range slices.Clone(all) {
		if row.Kind == "queue" && !hasRoute[row.Name] {
			hasRoute[row.Name] = true
			all = append(all, &schema.ConfigurationRow{Kind: "queue", Name: row.Name, Key: "prefix", Value: r.pathOf(row.Name, "")})
		}
	}
	return all
}

// named returns the rows as the operator sends them, with the names of routes in place of those
// of queues.
func (r *routes) named(rows []*schema.ConfigurationRow) []*schema.ConfigurationRow {
	if r == nil {
		return rows
	}
	named := slices.Clone(rows)
	for k, row := range rows {
		if label := r.labels[row.Name]; row.Kind == "queue" && label != "" {
			named[k] = &schema.ConfigurationRow{Kind: row.Kind, Name: label, Key: row.Key, Value: row.Value}
		}
	}
	return named
}

// areIn reports whether the rows of a configuration have the current names of all routes.
func (r *routes) areIn(rows []*schema.ConfigurationRow) bool {
	return r == nil || !slices.ContainsFunc(rows, func(row *schema.ConfigurationRow) bool {
		return row.Kind == "queue" && row.Label != r.labels[row.Name]
	})
}

// newLabel returns a name that no route has had.
func (r *routes) newLabel() string {
	r.count++
	return fmt.Sprintf("label%d", r.count)
}

// address fills in how a request names its queue: by its route if there are routes.
func (r *routes) address(m gateway.LeaderRequest) gateway.LeaderRequest {
	if r != nil && m.Group != "" {
		m.Path, m.Group, m.Name = r.pathOf(m.Group, m.Name), "", ""
	}
	return m
}

// move gives the name of a queue's route to a route at another place, and a new one to the queue's.
func (r *routes) move(queue string) {
	r.moved = append(r.moved, r.labels[queue])
	r.moved = r.moved[max(0, len(r.moved)-maxMovedRoutes):]
	r.labels[queue] = r.newLabel()
}

// renameRoutes sends a configuration in which one route has a new name, two routes have
// exchanged their names, the name of one has moved to another place, or one has the name of its
// queue again.
func (f *Fleet) renameRoutes() {
	rows := f.ConfigurationRows(20 + f.Rng.IntN(60))
	queues := map[string]bool{}
	for _, row := range rows {
		if row.Kind == "queue" {
			queues[row.Name] = true
		}
	}
	names := slices.Sorted(maps.Keys(queues))
	first, second := names[f.Rng.IntN(len(names))], names[f.Rng.IntN(len(names))]
	labels := f.routes.labels
	switch {
	case f.Rng.IntN(3) == 0 && labels[first] != "" && labels[second] != "":
		labels[first], labels[second] = labels[second], labels[first]
	case f.Rng.IntN(3) == 0 && labels[first] != "":
		f.routes.move(first)
	case f.Rng.IntN(4) == 0:
		delete(labels, first)
	default:
		labels[first] = f.routes.newLabel()
	}
	f.RecordFault("the route of %s is called %q, that of %s %q; moved names: %q", first, labels[first], second, labels[second], f.routes.moved)
	f.PutConfiguration("operator", f.routes.addTo(rows))
}

// renameRoutesUnderFaults renames routes every second and a half, while leaders are killed, a
// storage node is wiped, and all of them lose power.
func renameRoutesUnderFaults(f *Fleet) {
	f.useRoutes()
	for at := eventloop.Second; at < 34*eventloop.Second; at += 1500 * eventloop.Millisecond {
		f.atLoad(at, f.renameRoutes)
	}
	f.killLeaderAt(4*eventloop.Second, 2*eventloop.Second)
	f.atLoad(12*eventloop.Second, func() { f.powerCycleStorageNodes(eventloop.Second) })
	f.killLeaderAt(20*eventloop.Second, 2*eventloop.Second)
	f.atLoad(28*eventloop.Second, func() { f.wipe(f.leaderOrFirst(), 2*eventloop.Second) })
}
