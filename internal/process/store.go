package process

// This file opens the store of a node: at the start of the node, or later if the disk
// fails at the start.

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

const (
	// openTimeout is how long a start waits for a disk that doesn't respond. Waiting
	// that long costs less than starting without the store and restarting with it.
	openTimeout = 5 * time.Second

	// The backoff of failed writes and opens is short enough that a store is back long
	// before its groups have replaced it, and long enough not to keep a failing disk
	// busy.
	minWriteRetryDelay = 50 * time.Millisecond
	maxWriteRetryDelay = 400 * time.Millisecond
)

// OpenedStore is a data directory that one incarnation of a node has opened.
type OpenedStore struct {
	directory *storage.Dir
	store     *storage.Store
	identity  *schema.StoreIdentity // ID of the store, and how often it was started, including this start
}

// openStore opens the store in a data directory. It quarantines a damaged store and
// creates a new one with a new ID, because a store that has lost writes must not vote
// under its old ID.
func openStore(path string, log *zap.Logger) (*OpenedStore, error) {
	directory, err := storage.OpenDir(path)
	if err != nil {
		return nil, err
	}
	opened, err := openStoreIn(directory, log)
	if err != nil {
		directory.Close()
		return nil, err
	}
	return opened, nil
}

func openStoreIn(directory *storage.Dir, log *zap.Logger) (*OpenedStore, error) {
	store, err := storage.Open(directory)
	if storage.IsCorrupted(err) {
		log.Error("the store is damaged; it is quarantined, and this machine starts as a new member", zap.Error(err))
		if err := directory.Quarantine("damaged-" + newID()); err != nil {
			return nil, err
		}
		store, err = storage.Open(directory)
	}
	if err != nil {
		return nil, err
	}
	self := proto.Clone(store.State().Identity).(*schema.StoreIdentity)
	if self.Id == "" {
		self.Id = newID()
	}
	self.Starts++
	// The number of starts is made durable before it is used, so that no later start
	// uses the same number.
	if err := store.Commit([]*schema.StoreChange{{Identity: self}}); err != nil {
		return nil, err
	}
	return &OpenedStore{directory: directory, store: store, identity: self}, nil
}

// Close closes the data directory. It does nothing if o is nil.
func (o *OpenedStore) Close() {
	if o != nil {
		o.directory.Close()
	}
}

// openAttempt receives the result of opening a store in the background, because a disk
// that doesn't respond may block the attempt for a long time.
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

// attachStore gives the node its store, and the store's identity; it opens the store if
// opened is nil. If the disk fails or doesn't respond within the timeout, the node
// starts as a gateway node without storage, and StoreOpened receives the store once it
// can be opened. attachStore returns storage.DirRejected if the directory belongs to
// something else.
func (n *Node) attachStore(opened *OpenedStore, timeout time.Duration) error {
	if opened == nil {
		attempt := startOpenAttempt(n.Settings.DataDir, n.log)
		select {
		case result := <-attempt:
			if storage.IsDirRejected(result.err) {
				return result.err
			}
			if result.err != nil {
				n.log.Error("the store can't be opened; the node starts without storage", zap.Error(result.err))
				n.pendingOpen = startOpenAttempt(n.Settings.DataDir, n.log)
				return nil
			}
			opened = result.opened
		case <-time.After(timeout):
			n.log.Error("the disk doesn't respond; the node starts without storage")
			n.pendingOpen = attempt
			return nil
		}
	}
	n.openedStore, n.store = opened, opened.store
	n.Member.Id, n.Member.Incarnation, n.Member.HasStorage = opened.identity.Id, opened.identity.Starts, true
	return nil
}

// retryOpen retries to open the store until it succeeds or the context ends.
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
		attempt = startOpenAttempt(n.Settings.DataDir, n.log)
	}
}

// publishStore sends a store to StoreOpened, or closes it when the context ends first.
func (n *Node) publishStore(ctx context.Context, opened *OpenedStore) {
	select {
	case n.StoreOpened <- opened:
	case <-ctx.Done():
		opened.Close()
	}
}

// sleep waits for the delay and returns true; it returns false if the context ends
// first.
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
