package membership

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// The messages between a Membership and the other components of its process, besides View.

// PersistIdentity asks the component "replica" to persist the identity of this process. It is
// answered with IdentityPersisted.
type PersistIdentity struct {
	Identity        *schema.StoreIdentity
	BootstrapVoters []string // not empty: also create the cluster state's group with these voters
}

// IdentityPersisted says that an identity is durable.
type IdentityPersisted struct{ Identity *schema.StoreIdentity }

// LatencyReport has the highest recent latency of this process's disk and event loop.
type LatencyReport struct{ Max eventloop.Micros }

// Draining says that this process is shutting down gracefully.
type Draining struct{}

// ClusterStateObserved says that this process holds a version of the cluster state, so a
// cluster exists.
type ClusterStateObserved struct{ Version uint64 }
