package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/admission"
)

// pumpEvery bounds how long a waiting request misses room that no one told of.
const pumpEvery = 50 * time.Millisecond

// Line lets requests of one service and model wait for a place.
type Line struct {
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

// Expect predicts how long a further request of the organisation would wait,
// by the places found in the last second. An organisation of which none waits
// gets one of the next places, whatever the others have waiting.
func (l *Line) Expect(organisation string) time.Duration {
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

func (l *Line) forget(now time.Time) {
	for len(l.begun) > 0 && now.Sub(l.begun[0]) > rateSpan {
		l.begun = l.begun[1:]
	}
}

func (l *Line) found() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.forget(now)
	l.begun = append(l.begun, now)
}

func (l *Line) count(organisation string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting[organisation] += n
	if l.waiting[organisation] == 0 {
		delete(l.waiting, organisation)
	}
}

// Lines holds a Line for each service and model.
type Lines struct {
	mu    sync.Mutex
	lines map[lineKey]*Line
	now   func() time.Time
	limit int
}

type lineKey struct{ service, model string }

// NewLines returns Lines in which so many requests may wait each.
func NewLines(limit int, now func() time.Time) *Lines {
	return &Lines{lines: make(map[lineKey]*Line), now: now, limit: limit}
}

// Line returns the line of a service and model.
func (l *Lines) Line(service, model string) *Line {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := lineKey{service, model}
	line := l.lines[key]
	if line == nil {
		line = &Line{queue: admission.NewQueue(l.limit), now: l.now, waiting: make(map[string]int)}
		l.lines[key] = line
	}
	return line
}

// Pump lets every line look for room.
func (l *Lines) Pump() {
	l.mu.Lock()
	lines := make([]*Line, 0, len(l.lines))
	for _, line := range l.lines {
		lines = append(lines, line)
	}
	l.mu.Unlock()
	for _, line := range lines {
		line.Pump()
	}
}

// Pump starts waiting requests as far as there is room.
func (l *Line) Pump() {
	if l.queue.Length() > 0 {
		l.queue.Pump(l.now())
	}
}

// Length returns how many requests wait.
func (l *Line) Length() int { return l.queue.Length() }

// Turn says who waits and for how much.
type Turn struct {
	Organisation string
	Priority     int
	// Cost is the request's expected size in tokens.
	Cost float64
	// Retry requests have been sent before and go first.
	Retry bool
}

// Wait returns a place as soon as take finds one for this request in its
// turn, or nil when the line is full or ctx ends.
func (l *Line) Wait(ctx context.Context, turn Turn, take func(now time.Time) *Ticket) *Ticket {
	found := make(chan *Ticket, 1)
	shed := make(chan struct{})
	w := &admission.Waiter{
		Organisation: turn.Organisation, Priority: turn.Priority, Weight: 1, Cost: turn.Cost, Retry: turn.Retry,
		Try: func(now time.Time) bool {
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
	l.queue.Pump(l.now())
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
			l.Pump()
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
