// Package modelcheck is a model checker for the Raft group (internal/raft), the cluster state
// (internal/clusterstate) and the store (internal/storage). It runs the real code of these
// packages on simulated machines, under a scheduler that makes all decisions of the
// environment: whether a message is delivered once, twice, late or never, when a write becomes
// durable, which machine crashes, loses its disk or times out, and which requests operators
// send to which machine. The invariants are checked after every step.
//
// A World is one state of the model. Explore follows every schedule up to a given number of
// steps, and Walk follows one random schedule. A Violation is a broken invariant with the
// schedule that breaks it. The schedule can be shrunk, and written as a line of text to replay
// it later.
//
// The invariants are those of the Raft paper (figure 3), its rules for durable state and
// membership changes, and linearizability of the configuration as a compare-and-set register.
// docs/control/model.md states which properties are claimed, and which aren't.
package modelcheck
