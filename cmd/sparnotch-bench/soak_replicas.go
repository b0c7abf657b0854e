package main

import (
	"context"
	"encoding/json"
	"net/http"

	"sparnotch/internal/replica"
)

// replicaState identifies the state of a group's replicas at a log index.
type replicaState struct {
	group   string
	applied uint64 // index of the last applied entry
}

// compareReplicas reports a violation if two replicas of a group have different states at the
// same log index. It compares only replicas that happen to be at the same index.
func (r *soakRunner) compareReplicas(ctx context.Context) {
	digests := map[replicaState]string{}
	owners := map[replicaState]string{}
	for _, d := range r.fleet.gateways[:storageNodeCount] {
		code, data, err := r.fleet.balancer.call(ctx, requestTimeout, "GET", d.httpAddress, "/v1/belief", nil, "")
		view := &replica.NodeStateView{}
		if err != nil || code != http.StatusOK || json.Unmarshal(data, view) != nil {
			continue
		}
		for _, group := range view.Groups {
			key := replicaState{group.Group, group.Applied}
			if digests[key] != "" && digests[key] != group.Digest {
				r.nodes.report("the replicas of %s differ at index %d: %s has the state %s, but %s has %s", key.group, key.applied, owners[key], digests[key], d.name, group.Digest)
			}
			digests[key], owners[key] = group.Digest, d.name
		}
	}
}
