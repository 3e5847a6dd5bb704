package store

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
)

const (
	// retryFirst and retryMost bound the pause after a failed call. Each call
	// is paid for, also a refused one.
	retryFirst = 100 * time.Millisecond
	retryMost  = time.Second
	// answerSlack is how much longer than the asked wait an answer may take:
	// a slow store answers after some hundred milliseconds.
	answerSlack = 800 * time.Millisecond
)

// Update is what a Follower learnt from one answer.
type Update struct {
	Rows []Row
	// Whole says that Rows are the whole table; rows that are absent are gone.
	Full bool
	// AsOf is the time before the call: the answer holds every change that
	// the store confirmed before it.
	AsOf time.Time
	// Version is the store's version that the table is known up to.
	Version int64
}

// Follower keeps up with one table by its feed.
type Follower struct {
	// Table is the table that is followed; its rows have an empty part.
	Table string
	// Wait is how long the store may hold a call without changes.
	PollWait time.Duration
	// Pace returns the least time between two calls, so that rows that change
	// often come in batches.
	MinInterval func() time.Duration
	// Apply takes each answer.
	Apply func(Update)
	// Lost and Regained learn of the first failed call and of the first
	// answer after it.
	OnUnavailable func(error)
	OnRecovered   func()
	// Now is the clock that Update.AsOf is taken from.
	Now func() time.Time
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context, c Client) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = retryFirst, retryMost
	version, whole, failing := int64(0), true, false
	for ctx.Err() == nil {
		started := f.Now()
		update, err := f.next(ctx, c, version, whole)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryCompacted):
			whole = true
			continue
		case err != nil:
			if !failing {
				f.OnUnavailable(err)
			}
			failing = true
			pause(ctx, wait.NextBackOff())
			continue
		}
		if failing {
			f.OnRecovered()
		}
		failing, whole, version = false, false, update.Version
		wait.Reset()
		f.Apply(update)
		pause(ctx, f.MinInterval()-f.Now().Sub(started))
	}
}

func (f *Follower) next(ctx context.Context, c Client, version int64, whole bool) (Update, error) {
	ctx, cancel := context.WithTimeout(ctx, f.PollWait+answerSlack)
	defer cancel()
	update := Update{Full: whole, AsOf: f.Now()}
	var page Page
	var err error
	if whole {
		page, err = c.ReadAll(ctx, f.Table, "")
	} else {
		page, err = c.Feed(ctx, f.Table, version, f.PollWait)
	}
	update.Rows, update.Version = page.Rows, page.Version
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
