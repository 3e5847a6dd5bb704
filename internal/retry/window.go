package retry

import (
	"sync"
	"time"
)

// windowSteps is how finely a Window forgets.
const windowSteps = 20

// Limit is how many repeats a service bears in any span of a length, over all
// entries: a share of its requests and some more.
type Limit struct {
	Span  time.Duration
	Ratio float64
	Slack float64
}

// SlidingWindow keeps one entry's repeats below its part of a Bound, without talk
// between entries: a share of the requests that it sees itself and its even
// part of the slack. It is safe for concurrent use.
type SlidingWindow struct {
	bound Limit

	mu       sync.Mutex
	step     int64
	requests [windowSteps]float64
	repeats  [windowSteps]float64
}

// NewSlidingWindow returns a Window without history.
func NewSlidingWindow(b Limit) *SlidingWindow {
	return &SlidingWindow{bound: b}
}

// RecordRequest notes a first try.
func (w *SlidingWindow) RecordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.requests[w.step%windowSteps]++
}

// AllowRetry takes a repeat out of the bound, or returns false when none is left.
// entries is how many entries may be repeating.
func (w *SlidingWindow) AllowRetry(now time.Time, entries int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	requests, repeats := 0.0, 0.0
	for i := range windowSteps {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	if repeats+1 > w.bound.Ratio*requests+w.bound.Slack/float64(max(entries, 1)) {
		return false
	}
	w.repeats[w.step%windowSteps]++
	return true
}

// advance clears the steps that have left the span.
func (w *SlidingWindow) advance(now time.Time) {
	step := now.UnixNano() / int64(w.bound.Span/(windowSteps-1))
	for w.step < step && step-w.step <= windowSteps {
		w.step++
		w.requests[w.step%windowSteps], w.repeats[w.step%windowSteps] = 0, 0
	}
	if w.step != step && step > w.step {
		w.step = step
		w.requests, w.repeats = [windowSteps]float64{}, [windowSteps]float64{}
	}
}
