package dispatch

import (
	"slices"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/admission"
)

const (
	// flowWindow is the period over which a queue's flow is kept. An entry of many
	// starts only a few requests a second, and the number in one second varies too
	// much to predict from.
	flowWindow = 3 * time.Second
	// minFreeShare is the least share of the starts that is assumed to be left to
	// requests that others go before. Their turns give them as much.
	minFreeShare = 1.0 / 20
	// maxLateShare is the largest share of a queue's starts in flowWindow that requests
	// may have which lost their objective while they waited. Without it, the entries
	// fill each slot that becomes free with several of them before they know of each
	// other, and those that arrive then are late too.
	maxLateShare = 0.1
)

// flow records the latest arrivals and starts of a queue, the oldest first.
type flow struct {
	arrivals []arrival
	starts   []time.Time
	// lateStarts are those of requests that lost their objective while they waited.
	lateStarts []time.Time
}

type arrival struct {
	at      time.Time
	urgency admission.Urgency
}

func (f *flow) recordStart(now time.Time, late bool) {
	f.trim(now)
	f.starts = append(f.starts, now)
	if late {
		f.lateStarts = append(f.lateStarts, now)
	}
}

func (f *flow) trim(now time.Time) {
	for len(f.starts) > 0 && now.Sub(f.starts[0]) > flowWindow {
		f.starts = f.starts[1:]
	}
	for len(f.lateStarts) > 0 && now.Sub(f.lateStarts[0]) > flowWindow {
		f.lateStarts = f.lateStarts[1:]
	}
	for len(f.arrivals) > 0 && now.Sub(f.arrivals[0].at) > flowWindow {
		f.arrivals = f.arrivals[1:]
	}
}

// startRate returns the starts per second: the higher of the rates of the last
// rateWindow and of flowWindow, so that a short pause does not count as a loss of
// capacity. It is 0 if there was none in rateWindow.
func (f *flow) startRate(now time.Time) float64 {
	latest := countSince(f.starts, now)
	if latest == 0 {
		return 0
	}
	return max(float64(latest)/rateWindow.Seconds(), float64(len(f.starts))/flowWindow.Seconds())
}

// countSince returns how many of the times are within rateWindow.
func countSince(times []time.Time, now time.Time) int {
	n := 0
	for _, at := range slices.Backward(times) {
		if now.Sub(at) > rateWindow {
			break
		}
		n++
	}
	return n
}

// mayStartLate reports whether a request that lost its objective while it waited may
// start now even if there is little capacity. In a queue that does not order by urgency it always may.
func (q *Queue) mayStartLate(now time.Time) bool {
	if !q.byUrgency {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.flow.trim(now)
	return float64(len(q.flow.lateStarts)) < max(maxLateShare*float64(len(q.flow.starts)), 1)
}

// arrivalRate returns the arrivals per second in the last rateWindow of the urgencies
// that count.
func (f *flow) arrivalRate(now time.Time, counts func(admission.Urgency) bool) float64 {
	n := 0
	for _, a := range slices.Backward(f.arrivals) {
		if now.Sub(a.at) > rateWindow {
			break
		}
		if counts(a.urgency) {
			n++
		}
	}
	return float64(n) / rateWindow.Seconds()
}

func (q *Queue) recordArrival(u admission.Urgency) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.flow.trim(now)
	q.flow.arrivals = append(q.flow.arrivals, arrival{at: now, urgency: u})
}

// Prediction is what a further request of a queue can expect.
type Prediction struct {
	// Wait is how long it will wait.
	Wait time.Duration
	// Late is set if it will not start before its DueAt.
	Late bool
	// Ahead counts the waiting requests that go before it, by urgency.
	Ahead map[admission.Urgency]int
	// StartRate is the number of starts per second that the prediction assumes.
	StartRate float64
}

// Predict predicts the wait of a further request of a queue that orders by urgency. It
// divides the requests that go before it by the starts per second that the more urgent
// arrivals leave. A less urgent request waits no longer than until its turn. If it will
// be late, it goes behind those of its urgency that will not be, and gets what these
// leave. If nothing was started for a second, the rate of fallback is used, but at
// least 1.
func (q *Queue) Predict(r QueuedRequest, fallback func() float64) Prediction {
	now := q.now()
	w := r.waiter(now)
	// The admission queue must not be called with q.mu held.
	ahead := q.waiters.Ahead(now, w)
	q.mu.Lock()
	defer q.mu.Unlock()
	p := Prediction{Ahead: ahead.OnTime, StartRate: q.flow.startRate(now)}
	if p.StartRate == 0 {
		p.StartRate = max(fallback(), 1)
	}
	left := func(goesBefore func(admission.Urgency) bool) float64 {
		return max(p.StartRate-q.flow.arrivalRate(now, goesBefore), p.StartRate*minFreeShare)
	}
	hopeless := !r.DueAt.IsZero() && !now.Before(r.DueAt)
	before, allowed := ahead.Total(), r.MaxWait
	switch {
	case hopeless:
		before += ahead.Overdue
	case !r.DueAt.IsZero():
		allowed = r.DueAt.Sub(now)
	}
	if before >= minEstimateLength {
		p.Wait = seconds(float64(before) / left(func(u admission.Urgency) bool { return u.Compare(r.Urgency) < 0 }))
	}
	if turn := max(allowed/2, seconds(float64(ahead.StartsToTurn)/p.StartRate)); ahead.LessUrgent && !r.Early && turn <= allowed {
		p.Wait = min(p.Wait, turn)
	}
	p.Late = hopeless || p.Wait > allowed
	if !hopeless && !r.DueAt.IsZero() && p.Late {
		rate := min(left(func(u admission.Urgency) bool { return u.Compare(r.Urgency) <= 0 }), p.StartRate*maxLateShare)
		p.Wait = max(p.Wait, allowed+seconds(float64(ahead.Overdue+1)/rate))
	}
	return p
}

// Ahead returns how many waiting requests would go before a further one in a queue that
// orders by urgency.
func (q *Queue) Ahead(r QueuedRequest) int {
	now := q.now()
	return q.waiters.Ahead(now, r.waiter(now)).Total()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
