package admission

import (
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrFull is returned by Push if the queue is full and no other request is shed
// instead.
var ErrFull = errors.New("request queue is full")

// flow holds one organisation's waiting requests.
type flow struct {
	// virtualTime is the number of tokens served, divided by the weight. It is
	// raised to the queue's virtualClock when a request joins an empty flow.
	virtualTime float64
	// waiting is in the order of compareWaiters.
	waiting []*Waiter
}

// flowKey identifies a flow. In a queue without ByUrgency, urgency is zero.
type flowKey struct {
	urgency      Urgency
	organisation string
}

// Queue holds waiting requests and starts them in the order of weighted fair
// queueing between organisations, or in the order of ByUrgency. It is safe for
// concurrent use.
type Queue struct {
	limit     int
	byUrgency bool

	mu       sync.Mutex
	flows    map[flowKey]*flow
	length   int
	arrivals uint64
	// virtualClocks holds the highest virtual time at which a request of each urgency
	// was started. An organisation that was idle continues from it, so idle time
	// earns no credit.
	virtualClocks map[Urgency]float64
	// startsSinceTurn counts the starts since the last turn of a less urgent request,
	// up to turnInterval.
	startsSinceTurn int
}

// Option configures a Queue.
type Option func(*Queue)

// NewQueue returns an empty Queue for at most limit requests. Retries are
// accepted beyond the limit, but count towards it.
func NewQueue(limit int, opts ...Option) *Queue {
	q := &Queue{limit: limit, flows: make(map[flowKey]*flow), virtualClocks: make(map[Urgency]float64)}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// Push adds a waiter; the same waiter must not be added twice. Retries are
// always accepted. If the queue is full, any other waiter replaces the last one
// of the organisation with the most waiting requests. Push returns ErrFull if
// the last one is a retry, or if that organisation does not have at least two
// more waiting requests than the waiter's own. With ByUrgency, the waiter replaces
// the last one in the order that is no retry, and Push returns ErrFull if that is
// the waiter itself.
func (q *Queue) Push(w *Waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	f := q.flow(q.key(w))
	if q.length >= q.limit && !w.Retry && !q.makeRoom(w, f) {
		return ErrFull
	}
	if len(f.waiting) == 0 {
		f.virtualTime = max(f.virtualTime, q.virtualClocks[q.key(w).urgency])
	}
	q.arrivals++
	w.arrival = q.arrivals
	f.waiting = append(f.waiting, w)
	if !q.byUrgency {
		slices.SortStableFunc(f.waiting, compareWaiters)
	}
	q.length++
	return nil
}

// makeRoom sheds a waiter for an arriving one. It reports whether it shed one.
func (q *Queue) makeRoom(w *Waiter, f *flow) bool {
	if q.byUrgency {
		return q.shedLastFor(w)
	}
	return q.evictFor(f)
}

// key returns the key of the waiter's flow.
func (q *Queue) key(w *Waiter) flowKey {
	if q.byUrgency {
		return flowKey{urgency: w.Urgency, organisation: w.Organisation}
	}
	return flowKey{organisation: w.Organisation}
}

// compareWaiters orders one organisation's waiters: retries first, then by
// priority, then by arrival.
func compareWaiters(a, b *Waiter) int {
	switch {
	case a.Retry != b.Retry && a.Retry:
		return -1
	case a.Retry != b.Retry:
		return 1
	case a.Priority != b.Priority:
		return a.Priority - b.Priority
	default:
		return int(a.arrival) - int(b.arrival)
	}
}

// flow returns the flow with the key, and adds an empty one if there is none.
func (q *Queue) flow(key flowKey) *flow {
	f := q.flows[key]
	if f == nil {
		f = &flow{virtualTime: q.virtualClocks[key.urgency]}
		q.flows[key] = f
	}
	return f
}

// evictFor sheds the last waiter of the longest flow if the arriving flow is at
// least two waiters shorter, to keep one organisation from filling the queue. It
// reports whether it shed one; retries are never shed.
func (q *Queue) evictFor(arriving *flow) bool {
	longest := arriving
	for _, f := range q.flows {
		if len(f.waiting) > len(longest.waiting) {
			longest = f
		}
	}
	last := len(longest.waiting) - 1
	if longest == arriving || len(arriving.waiting) >= last || longest.waiting[last].Retry {
		return false
	}
	q.shed(longest.waiting[last])
	return true
}

func (q *Queue) shed(w *Waiter) {
	q.remove(w)
	w.Shed()
}

// Remove removes a waiter from the queue, for example at its deadline. It has no
// effect if the waiter was started, shed or removed, or if Push returned ErrFull
// for it. The waiter must have been passed to Push before.
func (q *Queue) Remove(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.remove(w)
}

func (q *Queue) remove(w *Waiter) {
	if w.removed {
		return
	}
	f := q.flows[q.key(w)]
	i := slices.Index(f.waiting, w)
	if i < 0 {
		return
	}
	w.removed = true
	f.waiting = slices.Delete(f.waiting, i, i+1)
	q.length--
}

// Dispatch starts waiting requests in order until none can start.
func (q *Queue) Dispatch(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.startNext(now) {
		continue
	}
}

func (q *Queue) startNext(now time.Time) bool {
	if q.byUrgency {
		return q.startMostUrgent(now)
	}
	return q.startFairly(now)
}

// startFairly starts one request and charges its cost to its organisation. Of each
// flow only the first waiter that is not overdue is tried, in the order of virtual
// time, and then the first overdue one. It reports whether one started.
func (q *Queue) startFairly(now time.Time) bool {
	keys := q.waitingByVirtualTime()
	for _, overdue := range []bool{false, true} {
		for _, key := range keys {
			f := q.flows[key]
			i := slices.IndexFunc(f.waiting, func(w *Waiter) bool { return w.overdue(now) == overdue })
			if i < 0 || !f.waiting[i].TryStart(now) {
				continue
			}
			q.charge(f.waiting[i])
			return true
		}
	}
	return false
}

// charge removes a waiter that has started, and charges its cost to its flow.
func (q *Queue) charge(w *Waiter) {
	q.remove(w)
	key := q.key(w)
	f := q.flows[key]
	q.virtualClocks[key.urgency] = max(q.virtualClocks[key.urgency], f.virtualTime)
	f.virtualTime += w.virtualCost()
}

// waitingByVirtualTime returns the flows with waiting requests, the one with the
// least virtual time first. At equal virtual times, the one whose first waiter
// arrived earlier comes first.
func (q *Queue) waitingByVirtualTime() []flowKey {
	var keys []flowKey
	for key, f := range q.flows {
		if len(f.waiting) > 0 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b flowKey) int {
		fa, fb := q.flows[a], q.flows[b]
		switch {
		case fa.virtualTime < fb.virtualTime:
			return -1
		case fa.virtualTime > fb.virtualTime:
			return 1
		default:
			return int(fa.waiting[0].arrival) - int(fb.waiting[0].arrival)
		}
	})
	return keys
}

// AdjustCharge charges further tokens to an organisation. They are negative if a
// request cost less than was expected when it started. It must not be used with
// ByUrgency.
func (q *Queue) AdjustCharge(organisation string, weight int, tokens float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.flow(flowKey{organisation: organisation}).virtualTime += tokens / float64(max(weight, 1))
}

// OnTime returns the number of waiting requests that are not overdue.
func (q *Queue) OnTime(now time.Time) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, f := range q.flows {
		for _, w := range f.waiting {
			if !w.overdue(now) {
				n++
			}
		}
	}
	return n
}

// Length returns the number of waiting requests.
func (q *Queue) Length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.length
}
