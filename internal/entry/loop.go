package entry

import (
	"context"
	"time"
)

// runEvery calls step immediately and then after each interval, or earlier when
// notified through wake, until ctx ends. The interval counts from the start of a
// step; a step that takes longer is followed by the next one at once. wake may be
// nil.
func runEvery(ctx context.Context, interval time.Duration, wake wakeup, step func(context.Context)) {
	if wake == nil {
		wake = newWakeup()
	}
	timer := time.AfterFunc(interval, wake.notify)
	defer timer.Stop()
	for {
		timer.Reset(interval)
		step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-wake:
		}
	}
}

// wakeup wakes a loop before its interval has passed. Notifications that arrive
// before the loop wakes are coalesced.
type wakeup chan struct{}

func newWakeup() wakeup {
	return make(wakeup, 1)
}

func (w wakeup) notify() {
	select {
	case w <- struct{}{}:
	default:
	}
}
