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

// Queue holds waiting requests and starts them in the order of weighted fair
// queueing between organisations. It is safe for concurrent use.
type Queue struct {
	limit int

	mu       sync.Mutex
	flows    map[string]*flow
	length   int
	arrivals uint64
	// virtualClock is the highest virtual time at which a request was started.
	// An organisation that was idle continues from it, so idle time earns no
	// credit.
	virtualClock float64
}

// NewQueue returns an empty Queue for at most limit requests. Retries are
// accepted beyond the limit, but count towards it.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, flows: make(map[string]*flow)}
}

// Push adds a waiter; the same waiter must not be added twice. Retries are
// always accepted. If the queue is full, any other waiter replaces the last one
// of the organisation with the most waiting requests. Push returns ErrFull if
// the last one is a retry, or if that organisation does not have at least two
// more waiting requests than the waiter's own.
func (q *Queue) Push(w *Waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	f := q.flow(w.Organisation)
	if q.length >= q.limit && !w.Retry && !q.evictFor(f) {
		return ErrFull
	}
	if len(f.waiting) == 0 {
		f.virtualTime = max(f.virtualTime, q.virtualClock)
	}
	q.arrivals++
	w.arrival = q.arrivals
	f.waiting = append(f.waiting, w)
	slices.SortStableFunc(f.waiting, compareWaiters)
	q.length++
	return nil
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

// flow returns the organisation's flow, and adds an empty one if there is none.
func (q *Queue) flow(organisation string) *flow {
	f := q.flows[organisation]
	if f == nil {
		f = &flow{virtualTime: q.virtualClock}
		q.flows[organisation] = f
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
	shed := longest.waiting[last]
	shed.removed = true
	shed.Shed()
	longest.waiting = longest.waiting[:last]
	q.length--
	return true
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
	f := q.flows[w.Organisation]
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

// startNext starts one request and charges its cost to its organisation. Of each
// flow only the first waiter that is not overdue is tried, in the order of virtual
// time, and then the first overdue one. It reports whether one started.
func (q *Queue) startNext(now time.Time) bool {
	organisations := q.waitingByVirtualTime()
	for _, overdue := range []bool{false, true} {
		for _, organisation := range organisations {
			f := q.flows[organisation]
			i := slices.IndexFunc(f.waiting, func(w *Waiter) bool { return w.overdue(now) == overdue })
			if i < 0 || !f.waiting[i].TryStart(now) {
				continue
			}
			w := f.waiting[i]
			q.remove(w)
			q.virtualClock = max(q.virtualClock, f.virtualTime)
			f.virtualTime += w.Cost / float64(max(w.Weight, 1))
			return true
		}
	}
	return false
}

// waitingByVirtualTime returns the organisations with waiting requests, the one
// with the least virtual time first. At equal virtual times, the one whose first
// waiter arrived earlier comes first.
func (q *Queue) waitingByVirtualTime() []string {
	var names []string
	for name, f := range q.flows {
		if len(f.waiting) > 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
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
	return names
}

// AdjustCharge charges further tokens to an organisation. They are negative if a
// request cost less than was expected when it started.
func (q *Queue) AdjustCharge(organisation string, weight int, tokens float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.flow(organisation).virtualTime += tokens / float64(max(weight, 1))
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
