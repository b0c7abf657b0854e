// Package modelcheck is a model checker for the agreement group (internal/raft), the cluster
// state (internal/clusterstate) and the store (internal/storage). It runs that code itself, on
// simulated machines, under a scheduler that decides everything the environment decides:
// which message is delivered, twice, late or never, when a write becomes durable, which
// machine crashes, loses its disk or times out, and what operators request of whom. The
// invariants are checked after every step.
//
// A World is one state of the model. Explore follows every schedule to a depth, Walk follows
// random ones. What they find is a Violation with its Schedule, a line of text that can be
// shrunk and replayed.
//
// The invariants are those of the Raft paper (figure 3), its rules for durable state and
// membership changes, and linearizability of the configuration as a compare-and-set register.
// docs/control/model.md states what is claimed, and what isn't.
package modelcheck
