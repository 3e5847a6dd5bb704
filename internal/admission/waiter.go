package admission

import "time"

// Waiter is a request that waits in a Queue.
type Waiter struct {
	Organisation string
	// Weight is the organisation's relative share of the served tokens; values
	// below 1 count as 1.
	Weight int
	// Priority orders requests of the same organisation; lower values go first.
	Priority int
	// Cost is the number of tokens that the request is expected to use.
	Cost float64
	// Retry marks a request that has been started before. It goes before the
	// other requests of its organisation and is never shed.
	Retry bool
	// DueAt is when the request must have started to meet its objective; zero if
	// it has none. After that it is overdue: it goes behind all requests that are
	// not, of every organisation.
	DueAt time.Time
	// TryStart tries to start the request and reports whether it did. It is called
	// with the queue locked, and must not call the queue's methods.
	TryStart func(now time.Time) bool
	// Shed is called, with the queue locked, when the request is dropped in
	// favour of another organisation. It must not call the queue's methods.
	Shed func()

	// arrival numbers the waiters in the order of Push.
	arrival uint64
	// removed is set when the request was started, shed or removed.
	removed bool
}

func (w *Waiter) overdue(now time.Time) bool { return !w.DueAt.IsZero() && now.After(w.DueAt) }
