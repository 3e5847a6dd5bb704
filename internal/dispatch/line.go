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
	pump  chan struct{}
	now   func() time.Time
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
		line = &Line{queue: admission.NewQueue(l.limit), pump: make(chan struct{}, 1), now: l.now}
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
			found <- t
			return true
		},
		Shed: func() { close(shed) },
	}
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
