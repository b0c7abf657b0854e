// Package workerpath checks the way of a task from its queue to a worker and back: the
// scheduler, the agent and a fake of a called worker run as they are, and a driver decides
// everything that the environment decides (docs/control/model.md). It complements package
// modelcheck, which does the same for the Raft group, the cluster state and the storage.
//
// A World has one or two queues, two nodes with a scheduler each, and two machines with an agent and
// a worker each. A queue's Raft group is stood in for by its outcome: one log, whose entries
// only the leader of the latest term adds to, in order. Nothing is delivered, lost, carried
// out, committed, and no time passes, but by a Step.
//
// After each step the invariants are checked on what the workers saw; see observer.go.
package workerpath
