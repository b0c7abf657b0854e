package clusterstate

import (
	"slices"
	"sort"
	"strings"

	"sparnotch/internal/schema"
)

// A route matches the requests for a queue by host and path prefix.
type route struct {
	queue  string
	host   string // in lower case; empty: any
	prefix string // empty: any path
}

func (r *route) pathPrefix() string {
	if r.prefix == "" {
		return "/"
	}
	return r.prefix
}

// A routeSet has the routes that the rows of a configuration define.
type routeSet struct {
	byQueue map[string]*definedRoute
	queues  []string // in the order of their first rows
}

type definedRoute struct {
	route
	lastRow int // index of the last row that defines it
}

func newRouteSet(rows []*schema.ConfigurationRow) *routeSet {
	set := &routeSet{byQueue: map[string]*definedRoute{}}
	for at, row := range rows {
		if row.Kind != "queue" || row.Key != "host" && row.Key != "prefix" {
			continue
		}
		defined := set.byQueue[row.Name]
		if defined == nil {
			defined = &definedRoute{route: route{queue: row.Name}}
			set.byQueue[row.Name] = defined
			set.queues = append(set.queues, row.Name)
		}
		if row.Key == "host" {
			defined.host = strings.ToLower(row.Value)
		} else {
			defined.prefix = row.Value
		}
		defined.lastRow = at
	}
	return set
}

// byHost lists the routes of each host, the longest prefix first, else by queue.
func (s *routeSet) byHost() map[string][]route {
	routes := map[string][]route{}
	for _, queue := range slices.Sorted(slices.Values(s.queues)) {
		defined := s.byQueue[queue]
		routes[defined.host] = append(routes[defined.host], defined.route)
	}
	for _, list := range routes {
		sort.SliceStable(list, func(a, b int) bool { return len(list[a].pathPrefix()) > len(list[b].pathPrefix()) })
	}
	return routes
}

// MatchRoute returns the queue that a request's host and path lead to, and what follows the
// route's prefix in the path. Routes of that very host take precedence over those of any.
func (v *Values) MatchRoute(host, path string) (queue, rest string, found bool) {
	for _, name := range []string{normalizeHost(host), ""} {
		for _, candidate := range v.routesByHost[name] {
			if rest, matches := strings.CutPrefix(path, candidate.pathPrefix()); matches {
				return candidate.queue, rest, true
			}
		}
		if name == "" {
			break
		}
	}
	return "", "", false
}

// normalizeHost returns a host as routes have it: without a port, in lower case.
func normalizeHost(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
