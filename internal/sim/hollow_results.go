package sim

import (
	"fmt"
	"slices"
	"sort"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Result is one measured value: an average per process of a role, or a value of the whole
// deployment.
type Result struct {
	Role, Metric string
	Value        float64
}

// Roles in results.
const (
	roleLeader  = "leader"
	roleStorage = "store"
	roleGateway = "front"
	roleAgent   = "side"
	roleWhole   = "whole"
)

func (r *hollowRun) roleOf(h *Host) string {
	switch {
	case h == r.leader:
		return roleLeader
	case h.Role == schema.Role_ROLE_CONTROLLER:
		return roleAgent
	case h.Disk != nil:
		return roleStorage
	}
	return roleGateway
}

func milliseconds(duration eventloop.Micros) float64 { return float64(duration) / 1000 }

// results returns the rates and the start delays since the beginning of the measurement.
func (r *hollowRun) results(from eventloop.Micros, startDelays []eventloop.Micros) []Result {
	seconds := float64(r.Now-from) / float64(eventloop.Second)
	list := append(r.trafficResults(seconds), r.cpuResults(seconds)...)
	for kind, bytes := range r.bytesByMessage {
		list = append(list, Result{roleWhole, kind + "_bytes_s", bytes / seconds})
	}
	for flow, count := range r.leaderMessages {
		list = append(list, Result{roleLeader, flow.direction + "_" + flow.kind + "_s", count / seconds})
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Role+list[a].Metric < list[b].Role+list[b].Metric })
	list = append(list,
		Result{roleWhole, "starts_s", float64(len(startDelays)) / seconds},
		Result{roleWhole, "between_regions_bytes_s", r.interRegionBytes / seconds})
	if len(startDelays) > 0 {
		delays := slices.Sorted(slices.Values(startDelays))
		list = append(list,
			Result{roleWhole, "start_p50_ms", milliseconds(delays[len(delays)/2])},
			Result{roleWhole, "start_p99_ms", milliseconds(delays[len(delays)*99/100])})
	}
	return list
}

// hostCountByRole returns the number of hosts of each role.
func (r *hollowRun) hostCountByRole() map[string]float64 {
	counts := map[string]float64{}
	for _, h := range r.Hosts {
		counts[r.roleOf(h)]++
	}
	return counts
}

// trafficResults returns the average messages and bytes per second of one process of each role.
func (r *hollowRun) trafficResults(seconds float64) []Result {
	var list []Result
	counts := r.hostCountByRole()
	for _, role := range []string{roleLeader, roleStorage, roleGateway, roleAgent} {
		if counts[role] == 0 {
			continue
		}
		traffic := r.traffic[role]
		if traffic == nil {
			traffic = &roleTraffic{}
		}
		perProcess := func(sum float64) float64 { return sum / seconds / counts[role] }
		list = append(list,
			Result{role, "sent_s", perProcess(traffic.messagesSent)}, Result{role, "received_s", perProcess(traffic.messagesReceived)},
			Result{role, "bytes_out_s", perProcess(traffic.bytesSent)}, Result{role, "bytes_in_s", perProcess(traffic.bytesReceived)},
		)
	}
	return list
}

// cpuResults returns the average processor use of each component in one process of each role,
// in thousandths of a core. It doesn't include connections and disks, which a hollow deployment
// doesn't have.
func (r *hollowRun) cpuResults(seconds float64) []Result {
	if r.CPUClock == nil {
		return nil
	}
	type use struct{ role, component string }
	sums, counts := map[use]float64{}, r.hostCountByRole()
	for _, h := range r.Hosts {
		role := r.roleOf(h)
		for component, nanos := range r.stepTime[h] {
			milli := float64(nanos) / 1e6 / seconds
			sums[use{role, component}] += milli
			sums[use{role, "tables"}] += milli
		}
	}
	var list []Result
	for key, sum := range sums {
		list = append(list, Result{key.role, "cpu_" + key.component + "_milli", sum / counts[key.role]})
	}
	return list
}

// propagationResults returns the longest time until every agent had received a configuration,
// among those that were sent in a period. A configuration that an agent skipped in favour of a
// newer one counts as missed.
func (r *hollowRun) propagationResults(from, until eventloop.Micros) []Result {
	count, slowest, missed := 0, eventloop.Micros(0), 0.0
	for revision, sentAt := range r.sentAt {
		if sentAt < from || sentAt > until {
			continue
		}
		count++
		if r.seenBy[revision] < r.setup.Workers {
			missed++
			continue
		}
		slowest = max(slowest, r.lastSeenAt[revision]-sentAt)
	}
	if count == 0 {
		return nil
	}
	return []Result{{roleWhole, "plan_max_ms", milliseconds(slowest)}, {roleWhole, "plan_missed", missed}}
}

// --- losses ---

// lossTimeout is the longest time after a loss for which the simulation waits for tasks to
// start again.
const lossTimeout = 40 * eventloop.Second

// measureLoss injects the loss that the setup specifies. It returns the time until a job that
// is submitted after the loss starts, and the time until the last of the lost tasks has started
// again.
func (r *hollowRun) measureLoss() []Result {
	isLost := r.lossPredicate()
	hit := 0
	for _, h := range r.Hosts {
		if isLost(h) {
			hit++
		}
	}
	r.lostAt = r.Now
	isLink := r.setup.LossScope == "link"
	for key, h := range r.lastHost {
		// When only the link is lost, the tasks in the other region keep running and don't have
		// to start again.
		if r.expectedEnds[key] > r.Now && isLost(h) && !isLink {
			r.lostTasks[key] = true
		}
	}
	lostTasks := len(r.lostTasks)
	if isLink {
		r.partitionRegions()
	} else {
		for _, h := range r.Hosts {
			if isLost(h) {
				h.Kill()
			}
		}
	}
	for r.Now < r.lostAt+lossTimeout && (r.firstStartAt == 0 || len(r.lostTasks) > 0) {
		r.Run(r.Now + hollowSampling)
	}
	list := []Result{{roleWhole, "lost_processes", float64(hit)}, {roleWhole, "lost_tasks", float64(lostTasks)}, {roleWhole, "not_again", float64(len(r.lostTasks))}}
	if r.firstStartAt > 0 {
		list = append(list, Result{roleWhole, "first_ms", milliseconds(r.firstStartAt - r.lostAt)})
	}
	if r.lastRestartAt > 0 {
		list = append(list, Result{roleWhole, "again_ms", milliseconds(r.lastRestartAt - r.lostAt)})
	}
	return list
}

// lossPredicate returns a function that reports whether a host is lost.
func (r *hollowRun) lossPredicate() func(h *Host) bool {
	leader := r.Leader()
	switch r.setup.LossScope {
	case "node":
		return func(h *Host) bool { return h == leader }
	case "worker":
		return func(h *Host) bool { return h.Name == "side0" }
	case "rack":
		return func(h *Host) bool {
			var k int
			count, _ := fmt.Sscanf(h.Name, "side%d", &k)
			return count == 1 && k < r.setup.WorkersPerRack
		}
	case "zone":
		return func(h *Host) bool { return h.Zone == leader.Zone }
	case "region", "link":
		return func(h *Host) bool { return r.region[h.Zone] == r.region[leader.Zone] }
	}
	return func(*Host) bool { return false }
}

// partitionRegions blocks every link between regions.
func (r *hollowRun) partitionRegions() {
	for _, a := range r.Hosts {
		for _, b := range r.Hosts {
			if r.region[a.Zone] != r.region[b.Zone] {
				r.blockedLinks[link{a.Address, b.Address}] = true
			}
		}
	}
	r.updateAvailability()
}
