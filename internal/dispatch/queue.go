package dispatch

import (
	"maps"
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
	waiters   *admission.Queue
	now       func() time.Time
	byUrgency bool

	mu sync.Mutex
	// dispatched are the times of the latest reservations, the oldest first.
	dispatched []time.Time
	// flow measures arrivals and reservations by urgency.
	flow flow
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

func (q *Queue) recordDispatch(late bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.flow.recordStart(now, late)
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

// maxIdleQueues limits the queues that are kept, unless more of them are in use. Callers
// state the model, so without a limit they could make an entry keep any number of names.
// It is above the models of all services that one entry serves.
const maxIdleQueues = 64

// Queues holds one queue for each service and model.
type Queues struct {
	mu        sync.Mutex
	queues    map[queueKey]*Queue
	now       func() time.Time
	limit     int
	byUrgency bool
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
		if len(s.queues) >= maxIdleQueues {
			// A request that is about to wait in such a queue dispatches it itself.
			maps.DeleteFunc(s.queues, func(_ queueKey, q *Queue) bool { return q.idle() })
		}
		var opts []admission.Option
		if s.byUrgency {
			opts = append(opts, admission.ByUrgency())
		}
		queue = &Queue{waiters: admission.NewQueue(s.limit, opts...), now: s.now, byUrgency: s.byUrgency, waiting: make(map[string]int)}
		s.queues[key] = queue
	}
	return queue
}

// SetByUrgency sets whether the queues order requests by urgency, as
// admission.ByUrgency describes, and reports whether that is a change. Requests that
// wait already stay in their queue and its order until they start.
func (s *Queues) SetByUrgency(byUrgency bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byUrgency == byUrgency {
		return false
	}
	s.byUrgency = byUrgency
	clear(s.queues)
	return true
}

// ByUrgency reports whether the queues order requests by urgency.
func (s *Queues) ByUrgency() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byUrgency
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

// idle reports whether no request waits and none has started in flowWindow.
func (q *Queue) idle() bool {
	if q.waiters.Length() > 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.flow.trim(q.now())
	return len(q.waiting) == 0 && len(q.flow.starts) == 0
}

// Length returns the number of waiting requests.
func (q *Queue) Length() int { return q.waiters.Length() }
