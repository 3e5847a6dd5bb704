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
	// forwardDelay is how long a request waits for capacity in its own zone
	// before it is forwarded to an entry of another zone.
	forwardDelay = 250 * time.Millisecond
	// creditHeadroom is how many spare credits an entry requests per group, on
	// top of its in-flight and queued requests.
	creditHeadroom = 4
	// retryAfter is the Retry-After value of error replies after which a retry
	// may succeed.
	retryAfter = time.Second
)

// requirements holds the routing requirements of a request. prepareRetry updates
// them after a failed attempt.
type requirements struct {
	service      operator.Service
	organisation string
	weight       int
	priority     int
	// cost is the number of tokens that an attempt is expected to generate. It is
	// the same for every attempt.
	cost float64
	// avoidUntil holds the targets that failed the request: it maps the name of a
	// group, or the address of an entry, to the time until which it is skipped.
	avoidUntil map[string]time.Time
	// retry marks an attempt after the first one. Retries are queued ahead of
	// new requests.
	retry bool
	// forwarded is true for a request that was forwarded by another entry.
	forwarded bool
	// maxWait is the longest time that the attempt may be queued.
	maxWait time.Duration
}

// avoids reports whether the group of this name, or the entry at this address, is
// skipped at the given time.
func (r requirements) avoids(name string, now time.Time) bool {
	return now.Before(r.avoidUntil[name])
}

// router selects a target for each attempt of a request, and queues attempts
// until a target has capacity.
type router struct {
	zone string
	// queueLimit is the longest length of a service's queue. Retries are queued
	// beyond it.
	queueLimit int
	config     *config.Log
	view       func() *grouping.View
	permits    *permit.Holder
	// otherZones returns the addresses of the entries of other zones that accept
	// requests. It skips the zones for which zoneOut returns true.
	otherZones func(zoneOut func(string) bool) []string
	peerHeader http.Header
	peerScheme string
	// moreCredits starts an exchange with the peers before its interval has
	// passed.
	moreCredits wakeup

	mu sync.Mutex
	// queues holds the queue of each service, and inFlight the number of requests
	// in flight of each organisation.
	queues   map[string]*admission.Queue
	inFlight map[string]int
	// usage counts the generated tokens that takeUsage has not returned yet.
	usage map[usageKey]int64
}

// queue returns the queue of a service and creates it if necessary.
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

// dispatchQueued starts queued requests, service by service, until no more of them
// can reserve a credit.
func (rt *router) dispatchQueued() {
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

// tryLocal reserves a credit of the group in the entry's own zone that has the
// largest share of its credits free. It returns false if the zone is out of
// service, or if every group has no valid permit, has no free credit, is stalled,
// or is one that the request avoids. Queues call it while they hold their mutex.
func (rt *router) tryLocal(r requirements, now time.Time) (*permit.Reservation, bool) {
	if rt.config.State().ZoneOut(rt.zone) {
		return nil, false
	}
	best, found := "", false
	var bestStatus permit.Status
	for _, g := range rt.groups(r.service.Name) {
		status := rt.permits.Status(g.Name, now)
		if !status.Available || r.avoids(g.Name, now) {
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

// lessLoaded reports whether a has a larger share of its credits free than b.
// Ties are broken by group name.
func lessLoaded(a, b permit.Status) bool {
	loadA, loadB := a.InFlight*b.Credits, b.InFlight*a.Credits
	if loadA != loadB {
		return loadA < loadB
	}
	return a.Group < b.Group
}

// acquire returns the target of an attempt. The attempt is queued until a target
// is available. acquire returns an error if the queue is full, the request is
// shed, ctx ends, or no target is available within maxWait. The error states that
// the request was not run; after an earlier attempt, the caller must correct it.
func (rt *router) acquire(ctx context.Context, r requirements) (target, *caller.Error) {
	q := rt.queue(r.service.Name)
	reserved := make(chan *permit.Reservation, 1)
	shed := make(chan struct{}, 1)
	w := &admission.Waiter{
		Organisation: r.organisation, Weight: r.weight, Priority: r.priority,
		Cost: r.cost, Retry: r.retry,
		TryStart: func(now time.Time) bool {
			reservation, ok := rt.tryLocal(r, now)
			if ok {
				reserved <- reservation
			}
			return ok
		},
		Shed: func() { shed <- struct{}{} },
	}
	if err := q.Push(w); err != nil {
		return target{}, unavailable("queue-full", "the request queue of this service is full; try again later")
	}
	q.Dispatch(time.Now())
	select {
	case reservation := <-reserved:
		return localTarget(reservation), nil
	default:
	}
	rt.moreCredits.notify()
	return rt.waitForTarget(ctx, r, q, w, reserved, shed)
}

// waitForTarget waits for a credit in the entry's own zone. After the delay that
// forwardDelayOf returns, and again after each forwardDelay, it tries to take the
// request out of the queue and to forward it to an entry of another zone.
func (rt *router) waitForTarget(ctx context.Context, r requirements, q *admission.Queue, w *admission.Waiter, reserved <-chan *permit.Reservation, shed <-chan struct{}) (target, *caller.Error) {
	forwardTimer := time.NewTimer(rt.forwardDelayOf(r))
	defer forwardTimer.Stop()
	deadline := time.NewTimer(r.maxWait)
	defer deadline.Stop()
	for {
		select {
		case reservation := <-reserved:
			return localTarget(reservation), nil
		case <-shed:
			return target{}, unavailable("shed", "the queue is full and this organisation has the most queued requests; try again later")
		case <-forwardTimer.C:
			if t, ok := rt.remoteTarget(r); ok && leaveQueue(q, w, reserved) {
				return t, nil
			}
			forwardTimer.Reset(forwardDelay)
		case <-deadline.C:
			if leaveQueue(q, w, reserved) {
				return target{}, unavailable("no-capacity", "no replica group had capacity within the queue timeout; try again later")
			}
		case <-ctx.Done():
			if leaveQueue(q, w, reserved) {
				return target{}, unavailable("cancelled", "the caller disconnected or the request timed out before it was sent")
			}
		}
	}
}

// leaveQueue removes the waiter from the queue. It returns false if the waiter
// received a reservation concurrently, which the caller must then use.
func leaveQueue(q *admission.Queue, w *admission.Waiter, reserved <-chan *permit.Reservation) bool {
	q.Remove(w)
	return len(reserved) == 0
}

func localTarget(r *permit.Reservation) target {
	return target{address: r.Leader, generation: r.Generation, group: r.Group, reservation: r}
}

// forwardDelayOf returns how long the request waits for its own zone before it
// may be forwarded to another zone. The delay is zero if the zone is out of
// service. It is a fifth of forwardDelay if the request avoids every group of the
// zone that has a valid permit, or if there is none. For a request that was
// forwarded already, it is longer than maxWait.
func (rt *router) forwardDelayOf(r requirements) time.Duration {
	if r.forwarded {
		return r.maxWait + time.Hour // a request is forwarded at most once
	}
	if rt.config.State().ZoneOut(rt.zone) {
		return 0
	}
	now := time.Now()
	for _, g := range rt.groups(r.service.Name) {
		if rt.permits.Status(g.Name, now).Valid && !r.avoids(g.Name, now) {
			return forwardDelay
		}
	}
	return forwardDelay / 5
}

// remoteTarget returns an entry of another zone as the target. It skips entries
// that recently failed the request, and returns false if there is no other.
func (rt *router) remoteTarget(r requirements) (target, bool) {
	for _, address := range rt.otherZones(rt.config.State().ZoneOut) {
		if r.avoids(address, time.Now()) {
			continue
		}
		header := rt.peerHeader.Clone()
		header.Set(organisationHeader, r.organisation)
		return target{
			address: rt.peerScheme + "://" + address, pathPrefix: forwardPath,
			header: header, group: address,
		}, true
	}
	return target{}, false
}

// unavailable returns a 503 error for a request that was not run.
func unavailable(code, message string) *caller.Error {
	return &caller.Error{
		Status: http.StatusServiceUnavailable, Code: code, Message: message,
		Run: caller.NotRun, RetryAfter: retryAfter,
	}
}

// beginRequest counts an in-flight request of an organisation. It returns an
// error if the organisation has reached its ceiling at this entry. Each live entry
// of the zone enforces an equal share of the ceiling, rounded up; a ceiling of 0
// means no limit. If the error is nil, the caller must call endRequest.
func (rt *router) beginRequest(organisation string) *caller.Error {
	ceiling := rt.config.State().MaxInFlight(organisation)
	entries := max(1, len(rt.view().LiveEntries()))
	share := (ceiling + entries - 1) / entries
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if ceiling > 0 && rt.inFlight[organisation] >= share {
		return &caller.Error{
			Status: http.StatusTooManyRequests, Code: "ceiling",
			Message: "the organisation has reached its limit of requests in flight; wait for some of them to finish",
			Run:     caller.NotRun, RetryAfter: retryAfter,
		}
	}
	rt.inFlight[organisation]++
	return nil
}

// endRequest removes a request counted by beginRequest from the in-flight count.
func (rt *router) endRequest(organisation string) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.inFlight[organisation]--
	if rt.inFlight[organisation] == 0 {
		delete(rt.inFlight, organisation)
	}
}

// hasInFlight reports whether any request is in flight.
func (rt *router) hasInFlight() bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return len(rt.inFlight) > 0
}
