package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/admission"
)

// dispatchInterval is how often each waiting request triggers a dispatch, in
// case capacity became free without a call of Dispatch.
const dispatchInterval = 50 * time.Millisecond

// Queue holds the requests for one service and model that wait for a
// reservation.
type Queue struct {
	waiters *admission.Queue
	now     func() time.Time

	mu sync.Mutex
	// dispatched are the times of the latest reservations, the oldest first.
	dispatched []time.Time
	// waiting counts the waiting requests by organisation.
	waiting map[string]int
}

const (
	// rateWindow is the period over which the dispatch rate is measured.
	rateWindow = time.Second
	// minEstimateLength is the queue length below which no wait is estimated,
	// because so few waiting requests give no usable dispatch rate.
	minEstimateLength = 3
)

// EstimateWait estimates how long a further request of the organisation would
// wait. It divides the number of waiting requests that are not overdue, which go
// before it, by the number of dispatches in the last second, but at least 1. The
// estimate is 0 for a short queue, and
// for an organisation without waiting requests: fair queueing serves it soon,
// however many requests the others have waiting.
func (q *Queue) EstimateWait(organisation string) time.Duration {
	// The admission queue calls back into q while it holds its own lock, so it
	// must not be called with q.mu held.
	now := q.now()
	ahead := q.waiters.OnTime(now)
	q.mu.Lock()
	defer q.mu.Unlock()
	if ahead < minEstimateLength || q.waiting[organisation] == 0 {
		return 0
	}
	q.trimDispatched(now)
	return time.Duration(float64(ahead) / float64(max(len(q.dispatched), 1)) * float64(rateWindow))
}

// HasWaiting reports whether requests of the organisation wait.
func (q *Queue) HasWaiting(organisation string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting[organisation] > 0
}

// trimDispatched removes the times that are older than rateWindow.
func (q *Queue) trimDispatched(now time.Time) {
	for len(q.dispatched) > 0 && now.Sub(q.dispatched[0]) > rateWindow {
		q.dispatched = q.dispatched[1:]
	}
}

// Dispatched returns the number of reservations in the last rateWindow.
func (q *Queue) Dispatched() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.trimDispatched(q.now())
	return len(q.dispatched)
}

func (q *Queue) recordDispatch() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.trimDispatched(now)
	q.dispatched = append(q.dispatched, now)
}

func (q *Queue) addWaiting(organisation string, n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting[organisation] += n
	if q.waiting[organisation] == 0 {
		delete(q.waiting, organisation)
	}
}

// Queues holds one queue for each service and model.
type Queues struct {
	mu     sync.Mutex
	queues map[queueKey]*Queue
	now    func() time.Time
	limit  int
}

type queueKey struct{ service, model string }

// NewQueues returns an empty set of queues. Each of them holds at most limit
// requests, not counting retries that arrive when it is full.
func NewQueues(limit int, now func() time.Time) *Queues {
	return &Queues{queues: make(map[queueKey]*Queue), now: now, limit: limit}
}

// Queue returns the queue of a service and model and creates it if needed.
func (s *Queues) Queue(service, model string) *Queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := queueKey{service, model}
	queue := s.queues[key]
	if queue == nil {
		queue = &Queue{waiters: admission.NewQueue(s.limit), now: s.now, waiting: make(map[string]int)}
		s.queues[key] = queue
	}
	return queue
}

// Dispatch reserves servers for the waiting requests of every queue until no
// further reservation succeeds.
func (s *Queues) Dispatch() {
	s.mu.Lock()
	queues := make([]*Queue, 0, len(s.queues))
	for _, queue := range s.queues {
		queues = append(queues, queue)
	}
	s.mu.Unlock()
	for _, queue := range queues {
		queue.Dispatch()
	}
}

// Dispatch reserves servers for waiting requests until no further reservation
// succeeds.
func (q *Queue) Dispatch() {
	if q.waiters.Length() > 0 {
		q.waiters.Dispatch(q.now())
	}
}

// Length returns the number of waiting requests.
func (q *Queue) Length() int { return q.waiters.Length() }

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
}

// Wait queues the request until reserve succeeds for it and returns that
// reservation. It returns nil if the queue is full, if the request is shed in
// favour of another organisation, or if ctx ends before a reservation is made.
func (q *Queue) Wait(ctx context.Context, request QueuedRequest, reserve func(now time.Time) *Reservation) *Reservation {
	reserved := make(chan *Reservation, 1)
	shed := make(chan struct{})
	w := &admission.Waiter{
		Organisation: request.Organisation, Priority: request.Priority, Weight: 1, Cost: request.Cost, Retry: request.Retry,
		DueAt: request.DueAt,
		TryStart: func(now time.Time) bool {
			r := reserve(now)
			if r == nil {
				return false
			}
			q.recordDispatch()
			reserved <- r
			return true
		},
		Shed: func() { close(shed) },
	}
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
