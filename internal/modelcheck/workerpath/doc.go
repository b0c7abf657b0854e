// Package workerpath is a model checker for the path of a task from its queue to a worker and
// back. It runs the real code of the scheduler and the agent, and a fake of a worker that the
// agent calls, under a driver that makes all decisions of the environment
// (docs/control/model.md). It complements package modelcheck, which does the same for the Raft
// group, the cluster state and the storage.
//
// A World has one or two queues, two nodes with a scheduler each, and two machines with an agent
// and a worker each. A queue's Raft group is replaced by a model of its outcome: a single log, to
// which only the leader of the latest term appends entries. Messages are delivered or lost,
// calls carried out, proposals committed, and time passes, only by a Step.
//
// After each step the invariants are checked on the events that the workers report; see
// observer.go.
package workerpath
