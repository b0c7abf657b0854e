package hollow

import (
	"hash/fnv"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

// StatePoller replaces the controller component on nodes that aren't controller candidates. It
// polls one storage node for the cluster state.
type StatePoller struct {
	members     *membership.View
	version     uint64 // newest version of the cluster state that has arrived
	storageNode string // storage node that is polled; empty: none
}

// StatePollInterval is the interval at which a StatePoller polls.
const StatePollInterval = 250 * eventloop.Millisecond

// livenessTimeout is how long a storage node counts as live after its last report.
const livenessTimeout = 1500 * eventloop.Millisecond

// Step implements eventloop.Component.
func (p *StatePoller) Step(now eventloop.Micros, message eventloop.Message, effects eventloop.Effects) {
	switch body := message.Body.(type) {
	case *membership.View:
		p.members = body
	case *schema.ClusterStateResponse:
		if body.State != nil {
			p.version = max(p.version, body.State.Version)
		}
	case eventloop.Tick:
		if p.members == nil {
			return
		}
		if p.storageNode == "" || !p.members.IsAlive(p.storageNode, now, livenessTimeout) {
			p.storageNode = p.pickStorageNode(now)
		}
		if p.storageNode != "" {
			effects.Send(p.storageNode, &schema.ClusterStateRequest{Version: p.version})
		}
	}
}

// pickStorageNode returns the ID of a live storage node, or an empty string if none is live. The
// choice depends on a hash of this node's own ID, which distributes the polling nodes over the
// storage nodes.
func (p *StatePoller) pickStorageNode(now eventloop.Micros) string {
	var nodes []string
	for id, status := range p.members.Members {
		if status.Member.HasStorage && p.members.IsAlive(id, now, livenessTimeout) {
			nodes = append(nodes, id)
		}
	}
	if len(nodes) == 0 {
		return ""
	}
	slices.Sort(nodes)
	hash := fnv.New32a()
	hash.Write([]byte(p.members.Self.Id))
	return nodes[int(hash.Sum32()%uint32(len(nodes)))]
}
