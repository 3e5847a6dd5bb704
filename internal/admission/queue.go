package admission

import (
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrFull means that the queue takes no more requests.
var ErrFull = errors.New("the queue is full")

// flow is one organisation's part of a queue.
type flow struct {
	// served is the organisation's virtual time: tokens served by weight.
	served  float64
	waiting []*Waiter
}

// Queue orders one service's waiting requests. It is safe for concurrent use.
type Queue struct {
	limit int

	mu       sync.Mutex
	flows    map[string]*flow
	length   int
	arrivals uint64
	// floor is the virtual time of the organisation served last; one that
	// comes back after a silence starts from it and gains nothing by it.
	floor float64
}

// NewQueue returns a Queue that holds at most limit requests.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, flows: make(map[string]*flow)}
}

// Push adds a waiter. It fails with ErrFull when an organisation already has
// its share of a full queue.
func (q *Queue) Push(w *Waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	f := q.flow(w.Organisation)
	if q.length >= q.limit && !w.Retry && !q.makeRoom(f) {
		return ErrFull
	}
	if len(f.waiting) == 0 {
		f.served = max(f.served, q.floor)
	}
	q.arrivals++
	w.arrival = q.arrivals
	f.waiting = append(f.waiting, w)
	slices.SortStableFunc(f.waiting, compareWaiters)
	q.length++
	return nil
}

// compareWaiters orders one organisation's waiters.
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

func (q *Queue) flow(organisation string) *flow {
	f := q.flows[organisation]
	if f == nil {
		f = &flow{served: q.floor}
		q.flows[organisation] = f
	}
	return f
}

// makeRoom drops the last waiter of the longest flow if the arriving one is
// shorter, so that a flood of one organisation can't fill the queue.
func (q *Queue) makeRoom(arriving *flow) bool {
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
	dropped := longest.waiting[last]
	dropped.left = true
	dropped.Shed()
	longest.waiting = longest.waiting[:last]
	q.length--
	return true
}

// Remove takes a waiter out of the queue, for example at its deadline.
func (q *Queue) Remove(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.remove(w)
}

func (q *Queue) remove(w *Waiter) {
	if w.left {
		return
	}
	f := q.flows[w.Organisation]
	place := slices.Index(f.waiting, w)
	if place < 0 {
		return
	}
	w.left = true
	f.waiting = slices.Delete(f.waiting, place, place+1)
	q.length--
}

// Dispatch starts waiting requests, in order, as far as they find a group.
func (q *Queue) Dispatch(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.startNext(now) {
		continue
	}
}

// startNext starts the first waiter of the least served organisation that
// has one which can start.
func (q *Queue) startNext(now time.Time) bool {
	for _, organisation := range q.order() {
		f := q.flows[organisation]
		w := f.waiting[0]
		if !w.TryStart(now) {
			continue
		}
		q.remove(w)
		q.floor = max(q.floor, f.served)
		f.served += w.Cost / float64(max(w.Weight, 1))
		return true
	}
	return false
}

// order returns the organisations that wait, the least served one first.
func (q *Queue) order() []string {
	var names []string
	for name, f := range q.flows {
		if len(f.waiting) > 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		fa, fb := q.flows[a], q.flows[b]
		switch {
		case fa.served < fb.served:
			return -1
		case fa.served > fb.served:
			return 1
		default:
			return int(fa.waiting[0].arrival) - int(fb.waiting[0].arrival)
		}
	})
	return names
}

// AdjustCharge corrects what an organisation was charged by tokens, which are
// negative where a request cost less than was expected at its start.
func (q *Queue) AdjustCharge(organisation string, weight int, tokens float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.flow(organisation).served += tokens / float64(max(weight, 1))
}

// Length returns how many requests wait.
func (q *Queue) Length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.length
}
