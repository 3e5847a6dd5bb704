package admission

import "time"

// Waiter is a request that waits in a Queue.
type Waiter struct {
	Organisation string
	// Weight is the organisation's relative share of the served tokens; values
	// below 1 count as 1.
	Weight int
	// Priority orders requests of the same organisation; lower values go first. A
	// queue with ByUrgency orders by Urgency instead.
	Priority int
	Urgency  Urgency
	// Cost is the number of tokens that the request is expected to use.
	Cost float64
	// Retry marks a request that has been started before. It goes before the
	// other requests of its organisation and is never shed.
	Retry bool
	// DueAt is when the request must have started to meet its objective; zero if
	// it has none. After that it is overdue: it goes behind all requests that are
	// not, of every organisation.
	DueAt time.Time
	// QueuedAt is when the request began to wait, and MaxWait for how long it may.
	// Only ByUrgency uses them.
	QueuedAt time.Time
	MaxWait  time.Duration
	// Early marks a request whose caller has sent it again before the time that it
	// was asked to wait. With ByUrgency it goes behind the other requests of its
	// urgency.
	Early bool
	// TryStart tries to start the request and reports whether it did. It is called
	// with the queue locked, and must not call the queue's methods.
	TryStart func(now time.Time) bool
	// TryStartOnReserve is like TryStart, but may also use the capacity that is kept
	// for requests that are not overdue. ByUrgency calls it for turns. If it is nil,
	// TryStart is used.
	TryStartOnReserve func(now time.Time) bool
	// Shed is called, with the queue locked, when the request is dropped in
	// favour of another one. It must not call the queue's methods.
	Shed func()

	// arrival numbers the waiters in the order of Push.
	arrival uint64
	// removed is set when the request was started, shed or removed.
	removed bool
}

func (w *Waiter) overdue(now time.Time) bool { return !w.DueAt.IsZero() && now.After(w.DueAt) }

// virtualCost is what the request adds to the virtual time of its flow.
func (w *Waiter) virtualCost() float64 { return w.Cost / float64(max(w.Weight, 1)) }

// hopeless reports whether the objective could not be met any more when the request
// began to wait.
func (w *Waiter) hopeless() bool { return !w.DueAt.IsZero() && !w.QueuedAt.Before(w.DueAt) }

// latestStart returns the time by which the request must start: to meet its
// objective, or before its wait ends if it has none.
func (w *Waiter) latestStart() time.Time {
	if w.DueAt.IsZero() {
		return w.QueuedAt.Add(w.MaxWait)
	}
	return w.DueAt
}

// startOnReserve tries to start the request on all of the capacity.
func (w *Waiter) startOnReserve(now time.Time) bool {
	if w.TryStartOnReserve == nil {
		return w.TryStart(now)
	}
	return w.TryStartOnReserve(now)
}
