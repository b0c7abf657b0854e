package process

// Opening the store of a node: at its start, or later where the disk fails then.

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

const (
	// openTimeout is how long a start waits for a disk that doesn't respond: waiting
	// that long costs less than starting twice.
	openTimeout = 5 * time.Second

	// The backoff of failed writes and opens: short enough that a store is back long
	// before its groups have replaced it, long enough not to keep a failing disk busy.
	minWriteRetryDelay = 50 * time.Millisecond
	maxWriteRetryDelay = 400 * time.Millisecond
)

// OpenedStore is a data directory that is open for one incarnation of a node.
type OpenedStore struct {
	directory *storage.Dir
	store     *storage.Store
	identity  *schema.StoreIdentity // the id, and the number of this start
}

// openStore opens a data directory. A damaged store is quarantined, and a new one with a
// new id takes its place: a store that has lost writes must not vote under its old id.
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
		log.Error("the store is damaged: it is quarantined, and this machine starts as a new member", zap.Error(err))
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
	// The number is durable before it is used, so that no later start uses it again.
	if err := store.Commit([]*schema.StoreChange{{Identity: self}}); err != nil {
		return nil, err
	}
	return &OpenedStore{directory: directory, store: store, identity: self}, nil
}

// Close closes the directory; nil is allowed.
func (o *OpenedStore) Close() {
	if o != nil {
		o.directory.Close()
	}
}

// openAttempt gets the result of an open that runs in the background: a disk that
// doesn't respond may block it for long.
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

// attachStore makes this node the one of its store, which is opened here if it isn't
// yet. Where the disk fails or doesn't respond within the timeout, the node starts as a
// gateway node without storage, and Reopened gets the store once it could be opened. It
// returns storage.DirRejected where the directory isn't ours.
func (n *Node) attachStore(opened *OpenedStore, timeout time.Duration) error {
	if opened == nil {
		attempt := startOpenAttempt(n.Settings.DataDir, n.log)
		select {
		case result := <-attempt:
			if storage.IsDirRejected(result.err) {
				return result.err
			}
			if result.err != nil {
				n.log.Error("the store can't be opened: starting without storage", zap.Error(result.err))
				n.pendingOpen = startOpenAttempt(n.Settings.DataDir, n.log)
				return nil
			}
			opened = result.opened
		case <-time.After(timeout):
			n.log.Error("the disk doesn't respond: starting without storage")
			n.pendingOpen = attempt
			return nil
		}
	}
	n.openedStore, n.store = opened, opened.store
	n.Member.Id, n.Member.Incarnation, n.Member.HasStorage = opened.identity.Id, opened.identity.Starts, true
	return nil
}

// retryOpen tries to open the store until it succeeds.
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

// publishStore passes a store on to the receiver of Reopened.
func (n *Node) publishStore(ctx context.Context, opened *OpenedStore) {
	select {
	case n.StoreOpened <- opened:
	case <-ctx.Done():
		opened.Close()
	}
}

// sleep waits for the delay; false: the context ended before.
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
