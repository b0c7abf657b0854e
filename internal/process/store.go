package process

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// Between two attempts to write what the store has refused: short enough that a
// store is back long before its groups have done without it, long enough that a
// disk in trouble isn't kept busy.
const (
	minWriteRetryDelay = 50 * time.Millisecond
	maxWriteRetryDelay = 400 * time.Millisecond
)

// openTimeout is how long a start waits for a disk that doesn't answer. Until then
// waiting costs less than starting twice.
const openTimeout = 5 * time.Second

// OpenedStore is a data folder whose store has taken this start's number.
type OpenedStore struct {
	folder *storage.Dir
	store  *storage.Store
	self   *schema.StoreIdentity
}

// openStore opens the data folder. A damaged store never comes back under its
// old id: it is put aside, the process says so, and goes on as a new member.
func openStore(path string, log *zap.Logger) (*OpenedStore, error) {
	folder, err := storage.OpenDir(path)
	if err != nil {
		return nil, err
	}
	opened, err := openStoreIn(folder, log)
	if err != nil {
		folder.Close()
		return nil, err
	}
	return opened, nil
}

func openStoreIn(folder *storage.Dir, log *zap.Logger) (*OpenedStore, error) {
	store, err := storage.Open(folder)
	if storage.IsCorrupted(err) {
		log.Error("the store is damaged; it is put aside and this machine comes back as a new member", zap.Error(err))
		if err := folder.Quarantine("damaged-" + newID()); err != nil {
			return nil, err
		}
		store, err = storage.Open(folder)
	}
	if err != nil {
		return nil, err
	}
	self := proto.Clone(store.State().Identity).(*schema.StoreIdentity)
	if self.Id == "" {
		self.Id = newID()
	}
	self.Starts++
	// Nothing is told under a number of starts that could be given out again.
	if err := store.Commit([]*schema.StoreChange{{Identity: self}}); err != nil {
		return nil, err
	}
	return &OpenedStore{folder: folder, store: store, self: self}, nil
}

// Close lets the folder go.
func (o *OpenedStore) Close() {
	if o != nil {
		o.folder.Close()
	}
}

// openAttempt is an attempt to open a store that is under way; a disk that doesn't
// answer may keep it so for long.
type openAttempt chan openResult

type openResult struct {
	opened *OpenedStore
	err    error
}

func startOpenAttempt(path string, log *zap.Logger) openAttempt {
	attempt := make(openAttempt, 1)
	go func() {
		opened, err := openStore(path, log)
		attempt <- openResult{opened, err}
	}()
	return attempt
}

// attachStore makes this process the one of the store, opened here or before. A
// disk that refuses or doesn't answer is no reason to end or to wait: the process
// starts as a front without a store, and Reopened tells when there is one.
func (n *Node) attachStore(opened *OpenedStore, timeout time.Duration) error {
	if opened == nil {
		attempt := startOpenAttempt(n.Options.Data, n.log)
		select {
		case result := <-attempt:
			if storage.IsDirRejected(result.err) {
				return result.err
			}
			if result.err != nil {
				n.log.Error("the store can't be opened; this process starts as a front without one", zap.Error(result.err))
				n.pendingOpen = startOpenAttempt(n.Options.Data, n.log)
				return nil
			}
			opened = result.opened
		case <-time.After(timeout):
			n.log.Error("the disk doesn't answer; this process starts as a front without a store")
			n.pendingOpen = attempt
			return nil
		}
	}
	n.openedStore, n.store = opened, opened.store
	n.Member.Id, n.Member.Incarnation, n.Member.HasStorage = opened.self.Id, opened.self.Starts, true
	return nil
}

// retryOpen tries to open the data folder until it can be written to.
func (n *Node) retryOpen(ctx context.Context) {
	attempt := n.pendingOpen
	for delay := minWriteRetryDelay; ; delay = min(2*delay, maxWriteRetryDelay) {
		select {
		case result := <-attempt:
			if result.err == nil {
				n.publishStore(ctx, result.opened)
				return
			}
		case <-ctx.Done():
			return
		}
		if !sleep(ctx, delay) {
			return
		}
		attempt = startOpenAttempt(n.Options.Data, n.log)
	}
}

// publishStore gives an opened store to whoever starts the process anew with it.
func (n *Node) publishStore(ctx context.Context, opened *OpenedStore) {
	select {
	case n.Reopened <- opened:
	case <-ctx.Done():
		opened.Close()
	}
}

func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// commit writes a batch, again and again until it lasts: the replicas' table has
// gone on from it in memory, and tells nothing that rests on it before.
func (n *Node) commit(ctx context.Context, batch replica.Batch) {
	startedAt := n.Clock.Now()
	n.syncStartedAt.Store(int64(startedAt))
	err := n.store.Commit(batch.Changes)
	if err != nil {
		n.reportRefusedWrite(batch, err)
		for delay := minWriteRetryDelay; err != nil; delay = min(2*delay, maxWriteRetryDelay) {
			if !sleep(ctx, delay) {
				return
			}
			err = n.store.Commit(batch.Changes)
		}
		n.storeRefuses.Store(false)
		n.log.Warn("the store takes writes again", zap.Duration("after", (n.Clock.Now()-startedAt).Duration()))
		n.reportLatency()
	}
	if minDuration := time.Duration(n.Options.TestSyncUs) * time.Microsecond; minDuration > 0 {
		if elapsed := (n.Clock.Now() - startedAt).Duration(); elapsed < minDuration {
			<-time.After(minDuration - elapsed)
		}
	}
	n.syncStartedAt.Store(0)
	if duration := int64(n.Clock.Now() - startedAt); duration > n.worstSync.Load() {
		n.worstSync.Store(duration)
	}
	counts := n.store.Stats()
	n.storageCounts.Store(&counts)
	n.components.PostWait("replica", eventloop.Message{Body: replica.Written{Number: batch.Number}})
}

// reportRefusedWrite tells the replicas and the book that the store takes no writes.
func (n *Node) reportRefusedWrite(batch replica.Batch, err error) {
	n.log.Error("the store takes no writes: what is led here goes to others, and nothing is confirmed or voted for", zap.Error(err))
	n.storeRefuses.Store(true)
	n.components.PostWait("replica", eventloop.Message{Body: replica.WriteFailed{Number: batch.Number, Reason: err.Error()}})
	n.reportLatency()
}

// DiskHangTimeout is how long a sync may be out until the disk counts as one that
// refuses: far longer than any disk in order takes, and well after a leader has
// handed over because of it.
const DiskHangTimeout = 2 * eventloop.Second

// isDiskHung tells whether the disk hasn't answered for long.
func (n *Node) isDiskHung() bool {
	startedAt := n.syncStartedAt.Load()
	return startedAt > 0 && n.Clock.Now()-eventloop.Micros(startedAt) > DiskHangTimeout
}

// reportLatency tells the book of this process's worst recent delay.
func (n *Node) reportLatency() {
	worst := max(n.components.TickLatency(), eventloop.Micros(n.worstSync.Load()))
	// A sync that hasn't come back yet counts as long as it lasts.
	if startedAt := n.syncStartedAt.Load(); startedAt > 0 {
		worst = max(worst, n.Clock.Now()-eventloop.Micros(startedAt))
	}
	if n.storeRefuses.Load() || n.isDiskHung() {
		worst = membership.WritesRefusedLatency
	}
	n.components.Post("membership", eventloop.Message{Body: membership.LatencyReport{Max: worst}})
}
