package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/admission"
	"github.com/hibiscuspulley/hibiscuspulley/internal/config"
	"github.com/hibiscuspulley/hibiscuspulley/internal/grouping"
	"github.com/hibiscuspulley/hibiscuspulley/internal/permit"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

const (
	// spillAfter is how long a request waits for its own zone before entries
	// of other zones are asked.
	spillAfter = 250 * time.Millisecond
	// headroom is how many credits an entry asks for beyond its use.
	creditHeadroom = 4
	retryAfter     = time.Second
)

// requirements is what one attempt of a request needs.
type requirements struct {
	service      operator.Service
	organisation string
	weight       int
	priority     int
	// cost is how many tokens the attempt is expected to be served.
	cost float64
	// avoid says until when groups and entries that failed the request are
	// passed over.
	avoid map[string]time.Time
	// retry marks an attempt that has waited before.
	retry bool
	// hopped says that another entry sent the request here.
	hopped bool
	// patience is how long the attempt may wait.
	patience time.Duration
}

// avoids reports whether a group or entry is passed over now.
func (n requirements) avoids(name string, now time.Time) bool {
	return now.Before(n.avoid[name])
}

// router finds a target for each attempt.
type router struct {
	zone        string
	queueLimit  int
	config      *config.Log
	view        func() *grouping.View
	permits     *permit.Holder
	otherZones  func(zoneOut func(string) bool) []string
	peerHeader  http.Header
	peerScheme  string
	moreCredits kicker

	mu       sync.Mutex
	queues   map[string]*admission.Queue
	inFlight map[string]int
	usage    map[usageKey]int64
}

// queue returns the queue of a service.
func (rt *router) queue(service string) *admission.Queue {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	q := rt.queues[service]
	if q == nil {
		q = admission.NewQueue(rt.queueLimit)
		rt.queues[service] = q
	}
	return q
}

// pump starts waiting requests of all services.
func (rt *router) pump() {
	rt.mu.Lock()
	queues := make([]*admission.Queue, 0, len(rt.queues))
	for _, q := range rt.queues {
		queues = append(queues, q)
	}
	rt.mu.Unlock()
	now := time.Now()
	for _, q := range queues {
		q.Dispatch(now)
	}
}

// groups returns the zone's replica groups of a service.
func (rt *router) groups(service string) []grouping.GroupRow {
	var groups []grouping.GroupRow
	for _, g := range rt.view().Groups {
		if g.Service == service {
			groups = append(groups, g)
		}
	}
	return groups
}

// tryLocal takes a credit of the best group of the own zone.
func (rt *router) tryLocal(n requirements, now time.Time) (*permit.Reservation, bool) {
	if rt.config.State().ZoneOut(rt.zone) {
		return nil, false
	}
	best, found := "", false
	var bestStatus permit.Status
	for _, g := range rt.groups(n.service.Name) {
		status := rt.permits.Status(g.Name, now)
		if !status.Available || n.avoids(g.Name, now) {
			continue
		}
		if !found || lessLoaded(status, bestStatus) {
			best, bestStatus, found = g.Name, status, true
		}
	}
	if !found {
		return nil, false
	}
	return rt.permits.Acquire(best, now)
}

// lessLoaded reports whether a has more of its credits free than b.
func lessLoaded(a, b permit.Status) bool {
	loadA, loadB := a.InFlight*b.Credits, b.InFlight*a.Credits
	if loadA != loadB {
		return loadA < loadB
	}
	return a.Group < b.Group
}

// acquire waits for a target. It returns a true refusal when none is found
// before the deadline.
func (rt *router) acquire(ctx context.Context, n requirements) (target, *caller.Error) {
	q := rt.queue(n.service.Name)
	found := make(chan *permit.Reservation, 1)
	shed := make(chan struct{}, 1)
	w := &admission.Waiter{
		Organisation: n.organisation, Weight: n.weight, Priority: n.priority,
		Cost: n.cost, Retry: n.retry,
		TryStart: func(now time.Time) bool {
			ticket, ok := rt.tryLocal(n, now)
			if ok {
				found <- ticket
			}
			return ok
		},
		Shed: func() { shed <- struct{}{} },
	}
	if err := q.Push(w); err != nil {
		return target{}, refusal("queue-full", "too many requests wait for this service; try again later")
	}
	q.Dispatch(time.Now())
	select {
	case ticket := <-found:
		return localTarget(ticket), nil
	default:
	}
	rt.moreCredits.kick()
	return rt.wait(ctx, n, q, w, found, shed)
}

func (rt *router) wait(ctx context.Context, n requirements, q *admission.Queue, w *admission.Waiter, found <-chan *permit.Reservation, shed <-chan struct{}) (target, *caller.Error) {
	spill := time.NewTimer(rt.spillDelay(n))
	defer spill.Stop()
	deadline := time.NewTimer(n.patience)
	defer deadline.Stop()
	for {
		select {
		case ticket := <-found:
			return localTarget(ticket), nil
		case <-shed:
			return target{}, refusal("shed", "other organisations wait for their share; try again later")
		case <-spill.C:
			if t, ok := rt.remote(n); ok && leave(q, w, found) {
				return t, nil
			}
			spill.Reset(spillAfter)
		case <-deadline.C:
			if leave(q, w, found) {
				return target{}, refusal("no-capacity", "no replica group can take the request in time; try again later")
			}
		case <-ctx.Done():
			if leave(q, w, found) {
				return target{}, refusal("cancelled", "the caller left before the request was sent")
			}
		}
	}
}

// leave takes the waiter out of the queue. It returns false when a group was
// found for it at the same time.
func leave(q *admission.Queue, w *admission.Waiter, found <-chan *permit.Reservation) bool {
	q.Remove(w)
	return len(found) == 0
}

func localTarget(t *permit.Reservation) target {
	return target{address: t.Leader, generation: t.Generation, group: t.Group, ticket: t}
}

// spillDelay is how long the request waits for its own zone. It does not wait
// where no group of the zone can take it at all.
func (rt *router) spillDelay(n requirements) time.Duration {
	if n.hopped {
		return n.patience + time.Hour // one hop is the limit
	}
	if rt.config.State().ZoneOut(rt.zone) {
		return 0
	}
	now := time.Now()
	for _, g := range rt.groups(n.service.Name) {
		if rt.permits.Status(g.Name, now).Valid && !n.avoids(g.Name, now) {
			return spillAfter
		}
	}
	return spillAfter / 5
}

// remote returns an entry of another zone that has not failed the request.
func (rt *router) remote(n requirements) (target, bool) {
	for _, address := range rt.otherZones(rt.config.State().ZoneOut) {
		if n.avoids(address, time.Now()) {
			continue
		}
		header := rt.peerHeader.Clone()
		header.Set(organisationHeader, n.organisation)
		return target{
			address: rt.peerScheme + "://" + address, pathPrefix: forwardPath,
			header: header, group: address,
		}, true
	}
	return target{}, false
}

func refusal(code, message string) *caller.Error {
	return &caller.Error{
		Status: http.StatusServiceUnavailable, Code: code, Message: message,
		Run: caller.NotRun, RetryAfter: retryAfter,
	}
}

// enter counts a request of an organisation and refuses it beyond the
// organisation's ceiling. The ceiling is divided between the zone's entries.
func (rt *router) enter(organisation string) *caller.Error {
	ceiling := rt.config.State().MaxInFlight(organisation)
	entries := max(1, len(rt.view().LiveEntries()))
	share := (ceiling + entries - 1) / entries
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if ceiling > 0 && rt.inFlight[organisation] >= share {
		return &caller.Error{
			Status: http.StatusTooManyRequests, Code: "ceiling",
			Message: "the organisation has as many requests in progress as it may; wait for some to end",
			Run:     caller.NotRun, RetryAfter: retryAfter,
		}
	}
	rt.inFlight[organisation]++
	return nil
}

func (rt *router) exit(organisation string) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.inFlight[organisation]--
	if rt.inFlight[organisation] == 0 {
		delete(rt.inFlight, organisation)
	}
}

// busy reports whether any request is in progress.
func (rt *router) busy() bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return len(rt.inFlight) > 0
}
