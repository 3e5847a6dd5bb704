package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/admission"
)

// pumpEvery bounds how long a waiting request misses room that no one told of.
const pumpEvery = 50 * time.Millisecond

// Queue lets requests of one service and model wait for a place.
type Queue struct {
	queue *admission.Queue
	now   func() time.Time

	mu sync.Mutex
	// begun are the times of the latest places found, the oldest first.
	begun []time.Time
	// waiting counts the organisations' waiting requests.
	waiting map[string]int
}

const (
	// rateSpan is how far back the rate of places found is looked at.
	rateSpan = time.Second
	// fewWaiting requests always may wait: a rate can't be told from so few.
	fewWaiting = 3
)

// EstimateWait predicts how long a further request of the organisation would wait,
// by the places found in the last second. An organisation of which none waits
// gets one of the next places, whatever the others have waiting.
func (l *Queue) EstimateWait(organisation string) time.Duration {
	// The queue calls back into the line: its lock is never taken within ours.
	ahead := l.queue.Length()
	l.mu.Lock()
	defer l.mu.Unlock()
	if ahead < fewWaiting || l.waiting[organisation] == 0 {
		return 0
	}
	l.forget(l.now())
	return time.Duration(float64(ahead) / float64(max(len(l.begun), 1)) * float64(rateSpan))
}

func (l *Queue) forget(now time.Time) {
	for len(l.begun) > 0 && now.Sub(l.begun[0]) > rateSpan {
		l.begun = l.begun[1:]
	}
}

func (l *Queue) found() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.forget(now)
	l.begun = append(l.begun, now)
}

func (l *Queue) count(organisation string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting[organisation] += n
	if l.waiting[organisation] == 0 {
		delete(l.waiting, organisation)
	}
}

// Queues holds a Line for each service and model.
type Queues struct {
	mu    sync.Mutex
	lines map[lineKey]*Queue
	now   func() time.Time
	limit int
}

type lineKey struct{ service, model string }

// NewQueues returns Lines in which so many requests may wait each.
func NewQueues(limit int, now func() time.Time) *Queues {
	return &Queues{lines: make(map[lineKey]*Queue), now: now, limit: limit}
}

// Queue returns the line of a service and model.
func (l *Queues) Queue(service, model string) *Queue {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := lineKey{service, model}
	line := l.lines[key]
	if line == nil {
		line = &Queue{queue: admission.NewQueue(l.limit), now: l.now, waiting: make(map[string]int)}
		l.lines[key] = line
	}
	return line
}

// Dispatch lets every line look for room.
func (l *Queues) Dispatch() {
	l.mu.Lock()
	lines := make([]*Queue, 0, len(l.lines))
	for _, line := range l.lines {
		lines = append(lines, line)
	}
	l.mu.Unlock()
	for _, line := range lines {
		line.Dispatch()
	}
}

// Dispatch starts waiting requests as far as there is room.
func (l *Queue) Dispatch() {
	if l.queue.Length() > 0 {
		l.queue.Dispatch(l.now())
	}
}

// Length returns how many requests wait.
func (l *Queue) Length() int { return l.queue.Length() }

// QueuedRequest says who waits and for how much.
type QueuedRequest struct {
	Organisation string
	Priority     int
	// Cost is the request's expected size in tokens.
	Cost float64
	// Retry requests have been sent before and go first.
	Retry bool
}

// Wait returns a place as soon as take finds one for this request in its
// turn, or nil when the line is full or ctx ends.
func (l *Queue) Wait(ctx context.Context, turn QueuedRequest, take func(now time.Time) *Reservation) *Reservation {
	found := make(chan *Reservation, 1)
	shed := make(chan struct{})
	w := &admission.Waiter{
		Organisation: turn.Organisation, Priority: turn.Priority, Weight: 1, Cost: turn.Cost, Retry: turn.Retry,
		TryStart: func(now time.Time) bool {
			t := take(now)
			if t == nil {
				return false
			}
			l.found()
			found <- t
			return true
		},
		Shed: func() { close(shed) },
	}
	l.count(turn.Organisation, 1)
	defer l.count(turn.Organisation, -1)
	if l.queue.Push(w) != nil {
		return nil
	}
	l.queue.Dispatch(l.now())
	for {
		timer := time.NewTimer(pumpEvery)
		select {
		case t := <-found:
			timer.Stop()
			return t
		case <-shed:
			timer.Stop()
			return nil
		case <-timer.C:
			l.Dispatch()
		case <-ctx.Done():
			timer.Stop()
			l.queue.Remove(w)
			select {
			case t := <-found:
				return t
			default:
				return nil
			}
		}
	}
}
