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
	againLeast = 50 * time.Millisecond
	againMost  = 400 * time.Millisecond
)

// openSpan is how long a start waits for a disk that doesn't answer. Until then
// waiting costs less than starting twice.
const openSpan = 5 * time.Second

// Opened is a data folder whose store has taken this start's number.
type Opened struct {
	folder *storage.Dir
	store  *storage.Store
	self   *schema.StoreIdentity
}

// openStore opens the data folder. A damaged store never comes back under its
// old id: it is put aside, the process says so, and goes on as a new member.
func openStore(path string, log *zap.Logger) (*Opened, error) {
	folder, err := storage.OpenDir(path)
	if err != nil {
		return nil, err
	}
	opened, err := openFolder(folder, log)
	if err != nil {
		folder.Close()
		return nil, err
	}
	return opened, nil
}

func openFolder(folder *storage.Dir, log *zap.Logger) (*Opened, error) {
	store, err := storage.Open(folder)
	if storage.IsCorrupted(err) {
		log.Error("the store is damaged; it is put aside and this machine comes back as a new member", zap.Error(err))
		if err := folder.Quarantine("damaged-" + newId()); err != nil {
			return nil, err
		}
		store, err = storage.Open(folder)
	}
	if err != nil {
		return nil, err
	}
	self := proto.Clone(store.State().Identity).(*schema.StoreIdentity)
	if self.Id == "" {
		self.Id = newId()
	}
	self.Starts++
	// Nothing is told under a number of starts that could be given out again.
	if err := store.Commit([]*schema.StoreChange{{Identity: self}}); err != nil {
		return nil, err
	}
	return &Opened{folder: folder, store: store, self: self}, nil
}

// Close lets the folder go.
func (o *Opened) Close() {
	if o != nil {
		o.folder.Close()
	}
}

// opening is an attempt to open a store that is under way; a disk that doesn't
// answer may keep it so for long.
type opening chan openingResult

type openingResult struct {
	opened *Opened
	err    error
}

func startOpening(path string, log *zap.Logger) opening {
	attempt := make(opening, 1)
	go func() {
		opened, err := openStore(path, log)
		attempt <- openingResult{opened, err}
	}()
	return attempt
}

// takeStore makes this process the one of the store, opened here or before. A
// disk that refuses or doesn't answer is no reason to end or to wait: the process
// starts as a front without a store, and Reopened tells when there is one.
func (r *Real) takeStore(opened *Opened, patience time.Duration) error {
	if opened == nil {
		attempt := startOpening(r.Options.Data, r.log)
		select {
		case result := <-attempt:
			if storage.IsDirRejected(result.err) {
				return result.err
			}
			if result.err != nil {
				r.log.Error("the store can't be opened; this process starts as a front without one", zap.Error(result.err))
				r.awaited = startOpening(r.Options.Data, r.log)
				return nil
			}
			opened = result.opened
		case <-time.After(patience):
			r.log.Error("the disk doesn't answer; this process starts as a front without a store")
			r.awaited = attempt
			return nil
		}
	}
	r.opened, r.store = opened, opened.store
	r.Member.Id, r.Member.Incarnation, r.Member.HasStorage = opened.self.Id, opened.self.Starts, true
	return nil
}

// awaitStore tries to open the data folder until it can be written to.
func (r *Real) awaitStore(ctx context.Context) {
	attempt := r.awaited
	for pause := againLeast; ; pause = min(2*pause, againMost) {
		select {
		case result := <-attempt:
			if result.err == nil {
				r.handOver(ctx, result.opened)
				return
			}
		case <-ctx.Done():
			return
		}
		if !sleep(ctx, pause) {
			return
		}
		attempt = startOpening(r.Options.Data, r.log)
	}
}

// handOver gives an opened store to whoever starts the process anew with it.
func (r *Real) handOver(ctx context.Context, opened *Opened) {
	select {
	case r.Reopened <- opened:
	case <-ctx.Done():
		opened.Close()
	}
}

func sleep(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
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
func (r *Real) commit(ctx context.Context, batch replica.Batch) {
	began := r.Clock.Now()
	r.syncing.Store(int64(began))
	err := r.store.Commit(batch.Changes)
	if err != nil {
		r.refuse(batch, err)
		for pause := againLeast; err != nil; pause = min(2*pause, againMost) {
			if !sleep(ctx, pause) {
				return
			}
			err = r.store.Commit(batch.Changes)
		}
		r.isRefused.Store(false)
		r.log.Warn("the store takes writes again", zap.Duration("after", (r.Clock.Now()-began).Duration()))
		r.tellLatency()
	}
	if least := time.Duration(r.Options.TestSyncUs) * time.Microsecond; least > 0 {
		if spent := (r.Clock.Now() - began).Duration(); spent < least {
			<-time.After(least - spent)
		}
	}
	r.syncing.Store(0)
	if took := int64(r.Clock.Now() - began); took > r.worst.Load() {
		r.worst.Store(took)
	}
	counts := r.store.Stats()
	r.stats.Store(&counts)
	r.process.PostWait("replica", eventloop.Message{Body: replica.Written{Number: batch.Number}})
}

// refuse tells the replicas and the book that the store takes no writes.
func (r *Real) refuse(batch replica.Batch, err error) {
	r.log.Error("the store takes no writes: what is led here goes to others, and nothing is confirmed or voted for", zap.Error(err))
	r.isRefused.Store(true)
	r.process.PostWait("replica", eventloop.Message{Body: replica.WriteFailed{Number: batch.Number, Reason: err.Error()}})
	r.tellLatency()
}

// HangSpan is how long a sync may be out until the disk counts as one that
// refuses: far longer than any disk in order takes, and well after a leader has
// handed over because of it.
const HangSpan = 2 * eventloop.Second

// isHanging tells whether the disk hasn't answered for long.
func (r *Real) isHanging() bool {
	began := r.syncing.Load()
	return began > 0 && r.Clock.Now()-eventloop.Micros(began) > HangSpan
}

// tellLatency tells the book of this process's worst recent delay.
func (r *Real) tellLatency() {
	worst := max(r.process.TickLatency(), eventloop.Micros(r.worst.Load()))
	// A sync that hasn't come back yet counts as long as it lasts.
	if began := r.syncing.Load(); began > 0 {
		worst = max(worst, r.Clock.Now()-eventloop.Micros(began))
	}
	if r.isRefused.Load() || r.isHanging() {
		worst = membership.WritesRefusedLatency
	}
	r.process.Post("membership", eventloop.Message{Body: membership.LatencyReport{Max: worst}})
}
