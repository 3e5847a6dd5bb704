package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
)

const (
	// watchEvery is how often a stream's progress is looked at.
	watchEvery = 150 * time.Millisecond
	// silentAfter is how long one stream may be silent while others of its
	// server advance: its connection has gone silent. Callers leave after two
	// seconds without an event.
	silentAfter = 1100 * time.Millisecond
)

// watchdog ends an attempt whose server or connection has gone silent, if the
// request may go on elsewhere.
type watchdog struct {
	cancel context.CancelFunc
	ticket *dispatch.Reservation
	// mayRepeat decides, and pays, whether the request goes on elsewhere; begun
	// says that events have come from this server.
	mayRepeat func(begun bool) bool

	mu      sync.Mutex
	timer   *time.Timer
	last    time.Time
	begun   bool
	stopped bool
	fired   bool
}

func newWatchdog(ctx context.Context, t *dispatch.Reservation, mayRepeat func(begun bool) bool) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancel(ctx)
	d := &watchdog{cancel: cancel, ticket: t, mayRepeat: mayRepeat, last: time.Now()}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer = time.AfterFunc(watchEvery, d.look)
	return ctx, d
}

func (d *watchdog) look() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	now := time.Now()
	silent := now.Sub(d.last)
	if (silent > watchEvery && d.ticket.Stalled(now)) || silent > silentAfter {
		if d.mayRepeat(d.begun) {
			d.fired = true
			d.stopped = true
			d.cancel()
			return
		}
	}
	d.timer.Reset(watchEvery)
}

// progress notes an event.
func (d *watchdog) progress(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last, d.begun = now, true
}

// stop ends the watch and releases its context.
func (d *watchdog) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.timer.Stop()
	d.cancel()
}

// stalled reports whether the watchdog ended the attempt.
func (d *watchdog) stalled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fired
}
