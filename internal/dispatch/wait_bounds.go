package dispatch

import "time"

const (
	// maxQueueShare is the largest fraction of the caller's remaining time that
	// a request may spend in the queue, and maxQueueWait is the absolute limit.
	// A stream that starts later is late anyway, and its caller disconnects
	// after two seconds without an event.
	maxQueueShare = 0.25
	maxQueueWait  = 1200 * time.Millisecond
	// maxRetryShare is the share of its remaining time that a caller waits at most. It
	// ignores a longer Retry-After.
	maxRetryShare = 1.0 / 3
	// retryJitter is by which share a Retry-After is lengthened at most, so that
	// rejected callers don't return at one moment. It stays within maxRetryShare.
	retryJitter = 0.25
)

// MaxWait returns how long a request may wait in a queue if its caller still waits for
// the remaining time.
func MaxWait(remaining time.Duration) time.Duration {
	return min(time.Duration(float64(remaining)*maxQueueShare), maxQueueWait)
}

// MaxWaitByUrgency returns how long a request with an objective may wait in a queue that
// orders by urgency: until it must start to meet the objective, and if it is late, as
// long as any other.
func MaxWaitByUrgency(remaining, untilDue time.Duration) time.Duration {
	return max(MaxWait(remaining), min(untilDue, remaining))
}

// RetryAfter returns what to ask the caller of a rejected request to wait if a further
// one is predicted to wait that long. random is uniform in [0, 1).
func RetryAfter(wait, remaining time.Duration, random float64) time.Duration {
	wait = min(wait, time.Duration(float64(remaining)*maxRetryShare/(1+retryJitter)))
	return max(time.Duration(float64(wait)*(1+random*retryJitter)), time.Millisecond)
}
