package dispatch

import (
	"context"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/admission"
)

// QueuedRequest holds the properties of a request that decide its position in
// a Queue.
type QueuedRequest struct {
	Organisation string
	Priority     int
	// Cost is the request's expected size in tokens.
	Cost float64
	// Retry marks a further attempt of a request. It goes before the other
	// requests of its organisation.
	Retry bool
	// DueAt is when the request must have been sent to meet its objective; zero if
	// it has none. An overdue request goes behind those that are not.
	DueAt time.Time
	// The other fields are used by queues that order by urgency, which don't use
	// Priority.
	Urgency admission.Urgency
	// MaxWait is how long the request may wait. The context of Wait ends then.
	MaxWait time.Duration
	// Early marks a request whose caller has sent it again before the time that it
	// was asked to wait.
	Early bool
	// ReserveAny is like the function given to Wait, but may also use the capacity
	// that is kept for requests that are not overdue. If it is nil, that function is
	// used.
	ReserveAny func(now time.Time) *Reservation
	// HasSpare reports whether there is so much capacity that requests which lost their
	// objective delay no others. It may be nil.
	HasSpare func(now time.Time) bool
}

// waiter returns the waiter of a request that begins to wait.
func (r *QueuedRequest) waiter(now time.Time) *admission.Waiter {
	return &admission.Waiter{
		Organisation: r.Organisation, Priority: r.Priority, Weight: 1, Cost: r.Cost, Retry: r.Retry, DueAt: r.DueAt,
		Urgency: r.Urgency, QueuedAt: now, MaxWait: r.MaxWait, Early: r.Early,
	}
}

// lost reports whether the request could still meet its objective when it began to
// wait, but can't any more.
func (r *QueuedRequest) lost(queuedAt, now time.Time) bool {
	return queuedAt.Before(r.DueAt) && now.After(r.DueAt)
}

// Wait queues the request until reserve succeeds for it and returns that
// reservation. It returns nil if the queue is full, if the request is shed in
// favour of another one, or if ctx ends before a reservation is made.
func (q *Queue) Wait(ctx context.Context, request QueuedRequest, reserve func(now time.Time) *Reservation) *Reservation {
	reserved := make(chan *Reservation, 1)
	shed := make(chan struct{})
	w := request.waiter(q.now())
	w.Shed = func() { close(shed) }
	start := func(now time.Time, late bool, reserve func(now time.Time) *Reservation) bool {
		if late && !q.mayStartLate(now) && (request.HasSpare == nil || !request.HasSpare(now)) {
			return false
		}
		r := reserve(now)
		if r == nil {
			return false
		}
		q.recordDispatch(late)
		reserved <- r
		return true
	}
	w.TryStart = func(now time.Time) bool { return start(now, request.lost(w.QueuedAt, now), reserve) }
	if request.ReserveAny != nil {
		w.TryStartOnReserve = func(now time.Time) bool { return start(now, false, request.ReserveAny) }
	}
	q.recordArrival(request.Urgency)
	q.addWaiting(request.Organisation, 1)
	defer q.addWaiting(request.Organisation, -1)
	if q.waiters.Push(w) != nil {
		return nil
	}
	q.waiters.Dispatch(q.now())
	for {
		timer := time.NewTimer(dispatchInterval)
		select {
		case r := <-reserved:
			timer.Stop()
			return r
		case <-shed:
			timer.Stop()
			return nil
		case <-timer.C:
			q.Dispatch()
		case <-ctx.Done():
			timer.Stop()
			q.waiters.Remove(w)
			select {
			case r := <-reserved:
				return r
			default:
				return nil
			}
		}
	}
}
