package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
)

const (
	// watchInterval is the time between two checks of a stream's progress.
	watchInterval = 150 * time.Millisecond
	// stallTimeout is how long a stream may go without an event before its
	// connection is considered dead, even if other streams of its server make
	// progress. Callers disconnect after two seconds without an event.
	stallTimeout = 1100 * time.Millisecond
)

// watchdog cancels a stream's attempt whose server or connection has stalled,
// if the request may be retried elsewhere and the retry budget allows it.
type watchdog struct {
	cancel      context.CancelFunc
	reservation *dispatch.Reservation
	// takeRetry reports whether the request may be retried elsewhere, and if so
	// takes the retry out of the budget. gotEvent is set if events have arrived
	// in this attempt. The timer's goroutine calls it with mu held, again at
	// each check until it returns true.
	takeRetry func(gotEvent bool) bool
	// held reports whether the request must no longer start anywhere. It is
	// checked until the first event.
	held func() bool

	mu        sync.Mutex
	timer     *time.Timer
	lastEvent time.Time
	// firstEvent is the time of the first event, and events their number.
	firstEvent time.Time
	events     int
	// alive is set once the server was still writing aliveAfter after the first
	// event.
	alive   bool
	stopped bool
	fired   bool
	// heldBack is set if the attempt was cancelled because of held.
	heldBack bool
}

// newWatchdog starts a watchdog and returns the context that it cancels. The
// caller must call stop.
func newWatchdog(ctx context.Context, res *dispatch.Reservation, held func() bool, takeRetry func(gotEvent bool) bool) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancel(ctx)
	w := &watchdog{cancel: cancel, reservation: res, takeRetry: takeRetry, held: held, lastEvent: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(watchInterval, w.check)
	return ctx, w
}

func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if w.events == 0 && w.held() {
		w.heldBack, w.stopped = true, true
		w.cancel()
		return
	}
	now := time.Now()
	idle := now.Sub(w.lastEvent)
	if (idle > watchInterval && w.reservation.Stalled(now)) || idle > stallTimeout {
		if w.takeRetry(w.events > 0) {
			w.fired = true
			w.stopped = true
			w.cancel()
			return
		}
	}
	w.timer.Reset(watchInterval)
}

// progress records the arrival of an event. It returns true once, when the
// server is still writing aliveAfter after the first event.
func (w *watchdog) progress(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastEvent = now
	if w.events == 0 {
		w.firstEvent = now
	}
	w.events++
	if w.alive || now.Sub(w.firstEvent) < aliveAfter {
		return false
	}
	w.alive = true
	return true
}

// unproven reports whether events have arrived for a shorter time than
// aliveAfter.
func (w *watchdog) unproven() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.events > 0 && !w.alive
}

// abandoned reports whether the attempt was cancelled because the request is
// held back.
func (w *watchdog) abandoned() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.heldBack
}

// arrived returns the number of events and the time of the first one.
func (w *watchdog) arrived() (events int, first time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.events, w.firstEvent
}

// stop ends the checks and cancels the attempt's context.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	w.cancel()
}

// stalled reports whether the watchdog cancelled the attempt.
func (w *watchdog) stalled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fired
}
