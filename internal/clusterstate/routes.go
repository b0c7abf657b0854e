package clusterstate

import (
	"net"
	"slices"
	"sort"
	"strings"

	"sparnotch/internal/schema"
)

// route directs requests with a host and a path prefix to a queue.
type route struct {
	queue  string
	host   string // in lower case; empty matches any host
	prefix string // as configured; empty matches any path
}

// pathPrefix returns the path prefix that the route matches, which is "/" by default.
func (r *route) pathPrefix() string {
	if r.prefix == "" {
		return "/"
	}
	return r.prefix
}

// match returns what callers know a route by: its host and path prefix, without its queue.
func (r *route) match() route { return route{host: r.host, prefix: r.pathPrefix()} }

// routeSet holds the routes that the rows of a configuration define, at most one per queue.
type routeSet struct {
	byQueue map[string]*definedRoute
	queues  []string // in the order of their first rows
}

// definedRoute is a route with the position of its definition, for error messages.
type definedRoute struct {
	route
	label   string // name that the author of the configuration gave the queue
	lastRow int    // index of the last row that defines the route
}

// newRouteSet collects the routes from the host and prefix rows of queues.
func newRouteSet(rows []*schema.ConfigurationRow) *routeSet {
	set := &routeSet{byQueue: map[string]*definedRoute{}}
	for at, row := range rows {
		if row.Kind != "queue" || row.Key != "host" && row.Key != "prefix" {
			continue
		}
		defined := set.byQueue[row.Name]
		if defined == nil {
			defined = &definedRoute{route: route{queue: row.Name}, label: labelOf(row)}
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

// byHost returns the routes by host. The routes of a host are sorted by descending length of
// their prefix, then by queue.
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

// MatchRoute returns the queue of the route that matches the host and the path of a request,
// and the rest of the path after the route's prefix. Routes for the request's host take
// precedence over routes for any host; among these, the longest prefix wins.
func (v *Values) MatchRoute(host, path string) (queue, rest string, found bool) {
	for _, name := range []string{NormalizeHost(host), ""} {
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

// NormalizeHost returns a host in the form that routes use: in lower case, without a port, brackets
// and a trailing dot.
func NormalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(strings.Trim(host, "[]"), "."))
}
