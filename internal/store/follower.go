package store

import (
	"context"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
)

const (
	// initialBackoff and maxBackoff are the smallest and the largest average
	// pause after a failed call; each pause is between half and one and a half
	// times its average. Each call is billed, including failed ones.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 700 * time.Millisecond
	// responseMargin is how much longer than the store may hold it a call of the
	// feed, or a read of one page, may take. A slow store responds after some hundred
	// milliseconds.
	responseMargin = 800 * time.Millisecond
	// settlingWait limits PollWait while rows are kept that the store has lost.
	settlingWait = 200 * time.Millisecond
)

// Update is the result of one call of the feed or one read of the whole table.
type Update struct {
	Rows []Row
	// Full means that Rows is the whole table: rows that are missing from it
	// have been deleted.
	Full bool
	// AsOf is the time before the call. The update includes every change that
	// the store confirmed before that time. It is zero if more changes follow.
	AsOf time.Time
	// Version is the version of the store that the update reaches.
	Version int64
	// Missing lists rows that are kept for now although the store has come back from an
	// older copy without them.
	Missing []RowKey
}

// Follower follows one table. It reads the whole table and then its feed of
// changes, and reads the whole table again if the feed no longer reaches back far
// enough. All fields but Paused, Position and Settling must be set.
type Follower struct {
	// Table is the table to follow. Rows in another partition than the empty one are left
	// out.
	Table string
	// PollWait is how long the store may hold a call without changes.
	PollWait time.Duration
	// MinInterval returns the minimum time from the start of a successful call
	// to the next call. A longer interval batches rows that change often.
	MinInterval func() time.Duration
	// Apply is called with each update, also with one without rows.
	Apply func(Update)
	// OnUnavailable is called when calls start to fail, and OnRecovered at the
	// first successful call after that. ErrHistoryCompacted is not a failure.
	OnUnavailable func(error)
	OnRecovered   func()
	// Now is the clock for Update.AsOf.
	Now func() time.Time
	// Paused reports that no call is due, because the table's rows come from
	// elsewhere.
	Paused func() bool
	// Position returns the version that is known, also from elsewhere; 0 if none is.
	Position func() int64
	// Settling reports that rows are kept for a short time that the store has lost, so the
	// next update must not wait for a change.
	Settling func() bool
}

// pausedCheckInterval is how often a paused Follower checks whether it still is.
const pausedCheckInterval = 100 * time.Millisecond

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context, c Client) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = initialBackoff, maxBackoff
	version, full, compacted, failing, resumed := int64(0), true, false, false, false
	for ctx.Err() == nil {
		if f.Paused != nil && f.Paused() {
			resumed = true
			pause(ctx, pausedCheckInterval)
			continue
		}
		if f.Position != nil {
			version = f.Position()
			full = version == 0 || compacted
		}
		started := f.Now()
		wait := f.PollWait
		if failing || resumed {
			// A held call to a store that does not respond would hide its return, and
			// after a pause the table is already old.
			wait, resumed = 0, false
		} else if f.Settling != nil && f.Settling() {
			wait = min(wait, settlingWait)
		}
		update, err := f.next(ctx, c, version, full, wait)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryCompacted):
			full, compacted = true, true
			continue
		case err != nil:
			if !failing {
				f.OnUnavailable(err)
			}
			failing = true
			pause(ctx, delays.NextBackOff())
			continue
		}
		if failing {
			f.OnRecovered()
		}
		failing, full, compacted, version = false, false, false, update.Version
		delays.Reset()
		f.Apply(update)
		if update.AsOf.IsZero() {
			continue // the rest of the changes
		}
		pause(ctx, f.MinInterval()-f.Now().Sub(started))
	}
}

// next makes one call, which the store may hold for wait.
func (f *Follower) next(ctx context.Context, c Client, version int64, full bool, wait time.Duration) (Update, error) {
	update := Update{Full: full, AsOf: f.Now()}
	var page Page
	var err error
	if full {
		page, err = c.withReadTimeout(responseMargin).ReadAll(ctx, f.Table, "")
	} else {
		ctx, cancel := context.WithTimeout(ctx, wait+responseMargin)
		defer cancel()
		page, err = c.Feed(ctx, f.Table, version, wait)
	}
	// The feed has the rows of all partitions.
	update.Rows = slices.DeleteFunc(page.Rows, func(r Row) bool { return r.Partition != "" })
	update.Version = page.Version
	if page.More && !full {
		update.AsOf = time.Time{}
	}
	return update, err
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
