package retry

import (
	"sync"
	"time"
)

// bucketCount is the number of buckets that a SlidingWindow counts in. Each is
// Span/(bucketCount-1) long, so the buckets cover all of Span at any time.
const bucketCount = 20

// Limit limits the retries of a service's requests within any period of length
// Span, over all entries, to Ratio times the first attempts plus Slack. Span must
// not be 0.
type Limit struct {
	Span  time.Duration
	Ratio float64
	Slack float64
}

// SlidingWindow keeps one entry's retries within its part of a limit. Entries
// don't coordinate: each may retry a share of its own requests and use an equal
// part of the slack. It is safe for concurrent use.
type SlidingWindow struct {
	limit Limit

	mu sync.Mutex
	// bucket is the number of the current bucket, counted from the Unix epoch.
	// Bucket n is stored at index n modulo bucketCount.
	bucket   int64
	requests [bucketCount]float64
	retries  [bucketCount]float64
}

// NewSlidingWindow returns an empty SlidingWindow.
func NewSlidingWindow(limit Limit) *SlidingWindow {
	return &SlidingWindow{limit: limit}
}

// RecordRequest records a first attempt.
func (w *SlidingWindow) RecordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.requests[w.bucket%bucketCount]++
}

// AllowRetry consumes one retry. It returns false if the limit is reached.
// entries is the number of entries that share the limit; 0 counts as 1.
func (w *SlidingWindow) AllowRetry(now time.Time, entries int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.canRetry(now, entries) {
		return false
	}
	w.retries[w.bucket%bucketCount]++
	return true
}

// CanRetry reports whether AllowRetry would return true, and consumes nothing.
func (w *SlidingWindow) CanRetry(now time.Time, entries int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.canRetry(now, entries)
}

func (w *SlidingWindow) canRetry(now time.Time, entries int) bool {
	w.advance(now)
	requests, retries := 0.0, 0.0
	for i := range bucketCount {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	return retries+1 <= w.limit.Ratio*requests+w.limit.Slack/float64(max(entries, 1))
}

// advance moves to the bucket of now and clears the buckets that have left the
// window. If now is earlier than the current bucket, it has no effect. The caller
// holds w.mu.
func (w *SlidingWindow) advance(now time.Time) {
	bucket := now.UnixNano() / int64(w.limit.Span/(bucketCount-1))
	for w.bucket < bucket && bucket-w.bucket <= bucketCount {
		w.bucket++
		w.requests[w.bucket%bucketCount], w.retries[w.bucket%bucketCount] = 0, 0
	}
	if w.bucket != bucket && bucket > w.bucket {
		w.bucket = bucket
		w.requests, w.retries = [bucketCount]float64{}, [bucketCount]float64{}
	}
}
