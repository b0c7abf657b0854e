// Package modelcheck runs the real agreement group, cluster state and storage
// under a scheduler that decides everything the world decides: which message
// arrives, twice, late or never, when a write lasts, who crashes, loses its
// disk or misses its leader, what operators ask and whom. Invariants are
// checked after each step. Every schedule is a line of text that plays it again.
package modelcheck
