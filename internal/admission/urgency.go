package admission

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

const (
	// turnInterval is the number of starts of which at least one goes to a less urgent
	// request that has waited for half of its time, so that no class is starved.
	turnInterval = 20
	// maxFailedStarts limits how many waiters are tried for one start. Most waiters
	// need the same capacity, and looking for it means a pass over all servers.
	maxFailedStarts = 8
)

// Urgency is the class of a request in a queue with ByUrgency. Lower values go first.
type Urgency struct {
	// Organisation is the priority of the organisation. It takes precedence.
	Organisation int
	// Route is the priority of the route.
	Route int
}

// Compare returns a negative number if u is more urgent than other, 0 if both are
// equal, and otherwise a positive one.
func (u Urgency) Compare(other Urgency) int {
	return cmp.Or(cmp.Compare(u.Organisation, other.Organisation), cmp.Compare(u.Route, other.Route))
}

// String returns both priorities, the organisation's first.
func (u Urgency) String() string {
	return strconv.Itoa(u.Organisation) + "/" + strconv.Itoa(u.Route)
}

// ByUrgency makes the queue start requests in the order of their urgency. Among
// equals, those that are overdue go last, and early ones behind the first requests.
// Then organisations get their weighted shares of the tokens, and of one
// organisation's requests the one that must start first goes first. Of each 20 starts,
// at least one goes to the longest waiting request of those that are less urgent than
// the first and have waited for half of their time.
func ByUrgency() Option {
	return func(q *Queue) { q.byUrgency = true }
}

// place is a waiter's place in the order of a queue with ByUrgency.
type place struct {
	*Waiter
	overdue bool
	// virtualStart is the virtual time of the waiter's flow when all that go before it
	// in its flow have started.
	virtualStart float64
}

func comparePlaces(a, b place) int {
	return cmp.Or(
		a.Urgency.Compare(b.Urgency),
		compareBools(a.overdue, b.overdue),
		compareBools(a.Early, b.Early),
		cmp.Compare(a.virtualStart, b.virtualStart),
		a.latestStart().Compare(b.latestStart()),
		cmp.Compare(a.arrival, b.arrival),
	)
}

// compareInFlow orders the waiters of one flow.
func compareInFlow(a, b place) int {
	return cmp.Or(
		compareBools(a.overdue, b.overdue),
		compareBools(a.Early, b.Early),
		compareBools(b.Retry, a.Retry),
		a.latestStart().Compare(b.latestStart()),
		cmp.Compare(a.arrival, b.arrival),
	)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// order returns the waiters in their order. An arriving waiter is included if it is
// not nil.
func (q *Queue) order(now time.Time, arriving *Waiter) []place {
	places := make([]place, 0, q.length+1)
	add := func(key flowKey, f *flow, arriving *Waiter) {
		begin, virtualTime := len(places), f.virtualTime
		for _, w := range f.waiting {
			places = append(places, place{Waiter: w, overdue: w.overdue(now)})
		}
		if arriving != nil {
			if len(f.waiting) == 0 {
				virtualTime = max(virtualTime, q.virtualClocks[key.urgency])
			}
			places = append(places, place{Waiter: arriving, overdue: arriving.overdue(now)})
		}
		own := places[begin:]
		slices.SortFunc(own, compareInFlow)
		for i := range own {
			own[i].virtualStart = virtualTime
			virtualTime += own[i].virtualCost()
		}
	}
	var arrivingKey flowKey
	if arriving != nil {
		arriving.arrival = q.arrivals + 1
		arrivingKey = q.key(arriving)
		add(arrivingKey, q.flow(arrivingKey), arriving)
	}
	for key, f := range q.flows {
		if len(f.waiting) > 0 && (arriving == nil || key != arrivingKey) {
			add(key, f, nil)
		}
	}
	slices.SortFunc(places, comparePlaces)
	return places
}

// shedLastFor sheds the last waiter that is no retry, unless the arriving one would go
// behind it. It reports whether it shed one.
func (q *Queue) shedLastFor(arriving *Waiter) bool {
	for _, p := range slices.Backward(q.order(arriving.QueuedAt, arriving)) {
		switch {
		case p.Waiter == arriving:
			return false
		case !p.Retry:
			q.shed(p.Waiter)
			return true
		}
	}
	return false
}

// attempted identifies waiters that need the same capacity: if one can't start, the
// others can't either. Further attempts of a request differ in the servers that they
// have tried.
type attempted struct {
	flowKey
	overdue, retry, onReserve bool
}

// startMostUrgent starts the first request in the order that can start, or the one
// whose turn it is, and charges its cost to its flow. It reports whether one started.
func (q *Queue) startMostUrgent(now time.Time) bool {
	places := q.order(now, nil)
	next := nextTurn(now, places)
	if next != nil && q.startsSinceTurn >= turnInterval-1 && next.startOnReserve(now) {
		q.recordStart(next, next)
		return true
	}
	failed := make(map[attempted]bool)
	for i, p := range places {
		// A request that could not meet its objective from the start would otherwise
		// wait behind all less urgent ones that can.
		onReserve := p.overdue && p.hopeless() && lessUrgentOnTime(places[i:])
		key := attempted{flowKey: q.key(p.Waiter), overdue: p.overdue, retry: p.Retry, onReserve: onReserve}
		if failed[key] {
			continue
		}
		start := p.TryStart
		if onReserve {
			start = p.startOnReserve
		}
		if start(now) {
			q.recordStart(p.Waiter, next)
			return true
		}
		failed[key] = true
		if len(failed) >= maxFailedStarts {
			return false
		}
	}
	return false
}

// lessUrgentOnTime reports whether a waiter that is not overdue is less urgent than the
// first one.
func lessUrgentOnTime(places []place) bool {
	return slices.ContainsFunc(places, func(p place) bool {
		return !p.overdue && p.Urgency != places[0].Urgency
	})
}

func (q *Queue) recordStart(w, next *Waiter) {
	q.charge(w)
	if w == next {
		q.startsSinceTurn = 0
		return
	}
	q.startsSinceTurn = min(q.startsSinceTurn+1, turnInterval-1)
}

// nextTurn returns the waiter that gets the next turn of less urgent ones, or nil: the
// longest waiting of those that have waited for half of their time. One that can still
// meet its objective has until then, and goes before one that can't.
func nextTurn(now time.Time, places []place) *Waiter {
	var next *place
	for i, p := range places {
		allowed := p.MaxWait
		if !p.overdue {
			allowed = p.latestStart().Sub(p.QueuedAt)
		}
		if p.Urgency == places[0].Urgency || p.Early || allowed <= 0 || now.Sub(p.QueuedAt) < allowed/2 {
			continue
		}
		if next == nil || compareTurns(p, *next) < 0 {
			next = &places[i]
		}
	}
	if next == nil {
		return nil
	}
	return next.Waiter
}

func compareTurns(a, b place) int {
	return cmp.Or(compareBools(a.overdue, b.overdue), a.QueuedAt.Compare(b.QueuedAt))
}

// Ahead describes what goes before a request in a queue with ByUrgency.
type Ahead struct {
	// OnTime counts the waiting requests before it that are not overdue, by urgency.
	OnTime map[Urgency]int
	// Overdue counts the overdue ones that would go before it if it were overdue too.
	Overdue int
	// LessUrgent is set if more urgent requests wait. StartsToTurn is then how many
	// requests start before it can have the turn of less urgent ones.
	LessUrgent   bool
	StartsToTurn int
}

// Total returns how many requests that are not overdue go before.
func (a Ahead) Total() int {
	n := 0
	for _, count := range a.OnTime {
		n += count
	}
	return n
}

// Ahead returns what would go before an arriving waiter.
func (q *Queue) Ahead(now time.Time, w *Waiter) Ahead {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := Ahead{OnTime: make(map[Urgency]int), StartsToTurn: max(turnInterval-1-q.startsSinceTurn, 0)}
	places := q.order(now, w)
	first, before := places[0].Urgency, true
	a.LessUrgent = first != w.Urgency
	for _, p := range places {
		if p.Waiter == w {
			before = false
			continue
		}
		switch {
		case !p.overdue && before:
			a.OnTime[p.Urgency]++
		case p.overdue && p.Urgency.Compare(w.Urgency) <= 0:
			a.Overdue++
		}
		if p.Urgency != first && !p.Early && (!p.overdue || w.overdue(now)) {
			a.StartsToTurn += turnInterval
		}
	}
	return a
}
