package entry

import (
	"context"
	"time"
)

// every calls step at once and then at each interval, or earlier when kicked,
// until ctx ends.
func every(ctx context.Context, interval time.Duration, kick <-chan struct{}, step func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
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
