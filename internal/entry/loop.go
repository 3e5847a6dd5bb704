package entry

import (
	"context"
	"time"
)

// runEvery calls step at once and then at each interval, or earlier when kicked,
// until ctx ends. A nil kick means that nothing kicks the loop.
func runEvery(ctx context.Context, interval time.Duration, kick kicker, step func(context.Context)) {
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

// kicker wakes a loop ahead of its time. Kicks that come together count once.
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
