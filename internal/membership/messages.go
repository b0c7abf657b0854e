package membership

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// This file declares the messages between a Membership and the other components of its process,
// except View.

// PersistIdentity asks the component "replica" to persist the identity of this process. The
// component replies with IdentityPersisted once the identity is durable.
type PersistIdentity struct {
	Identity        *schema.StoreIdentity
	BootstrapVoters []string // if not empty, the cluster state's group is also created with these voters
}

// IdentityPersisted tells a Membership that the identity of its process is durable.
type IdentityPersisted struct{ Identity *schema.StoreIdentity }

// LatencyReport tells a Membership the highest recent latency of the disk and the event loop of
// its process. Max is WritesRefusedLatency if the process accepts no writes.
type LatencyReport struct{ Max eventloop.Micros }

// SeedsChanged tells a Membership that the settings name other seeds.
type SeedsChanged struct{ Seeds []string } // internal addresses

// Draining tells a Membership that its process is shutting down gracefully.
type Draining struct{}

// ClusterStateObserved tells a Membership that its process holds this version of the cluster
// state. A version above 0 proves that a cluster exists.
type ClusterStateObserved struct {
	Version   uint64
	Scheduler string // storage node that holds the worker leases; empty: unknown, or the process is a storage node
}
