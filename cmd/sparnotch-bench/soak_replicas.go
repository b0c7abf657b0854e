package main

import (
	"context"
	"encoding/json"
	"net/http"

	"sparnotch/internal/replica"
)

// replicaState is a replica's state at a log index.
type replicaState struct {
	group   string
	applied uint64
}

// compareReplicas reports replicas of a group whose states differ at the same log index.
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
				r.nodes.report("%s at index %d: %s has the state %s, %s has %s", key.group, key.applied, owners[key], digests[key], d.name, group.Digest)
			}
			digests[key], owners[key] = group.Digest, d.name
		}
	}
}
