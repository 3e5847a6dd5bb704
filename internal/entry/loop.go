package entry

import (
	"context"
	"time"
)

// every calls step immediately and then after each interval, or earlier when
// kicked, until ctx ends. A nil kick disables early runs.
func every(ctx context.Context, interval time.Duration, kick kicker, step func(context.Context)) {
	if kick == nil {
		kick = newKicker()
	}
	timer := time.AfterFunc(interval, kick.kick)
	defer timer.Stop()
	for {
		timer.Reset(interval)
		step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-kick:
		}
	}
}

// kicker wakes a loop before its interval has passed. Kicks that are not yet
// consumed are coalesced.
type kicker chan struct{}

func newKicker() kicker {
	return make(kicker, 1)
}

func (k kicker) kick() {
	select {
	case k <- struct{}{}:
	default:
	}
}
