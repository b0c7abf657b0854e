package hollow

import (
	"hash/fnv"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

// StatePoller is the controller component's substitute on nodes that are no controller
// candidates: it polls one storage node for the cluster state.
type StatePoller struct {
	members     *membership.View
	version     uint64
	storageNode string
}

// StatePollInterval is the time between two polls.
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

// pickStorageNode chooses a live storage node by a hash of its own id, which spreads
// the nodes over them; "" when none is live.
func (p *StatePoller) pickStorageNode(now eventloop.Micros) string {
	var nodes []string
	for id, known := range p.members.Members {
		if known.Member.HasStorage && p.members.IsAlive(id, now, livenessTimeout) {
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
