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
	// spillAfter is how long a request waits for capacity in its own zone
	// before it is forwarded to an entry of another zone.
	spillAfter = 250 * time.Millisecond
	// headroom is how many spare credits an entry requests per group, on top
	// of its in-flight and queued requests.
	headroom = 4
	// retryAfter is the Retry-After value of error replies.
	retryAfter = time.Second
)

// need holds the routing requirements of one attempt of a request.
type need struct {
	service      operator.Service
	organisation string
	weight       int
	priority     int
	// cost is the expected number of tokens that the attempt generates.
	cost float64
	// avoid maps each group or entry that failed the request to the time
	// until which it is skipped.
	avoid map[string]time.Time
	// retry marks an attempt after the first one. Retries are queued ahead of
	// new requests.
	retry bool
	// hopped is true for a request that was forwarded by another entry.
	hopped bool
	// patience is the longest time that the attempt may be queued.
	patience time.Duration
}

// avoids reports whether a group or entry is skipped at the given time.
func (n need) avoids(name string, now time.Time) bool {
	return now.Before(n.avoid[name])
}

// router selects a target for each attempt of a request, and queues attempts
// until a target has capacity.
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

// pump starts queued requests of all services for which a replica group has a
// free credit.
func (rt *router) pump() {
	rt.mu.Lock()
	queues := make([]*admission.Queue, 0, len(rt.queues))
	for _, q := range rt.queues {
		queues = append(queues, q)
	}
	rt.mu.Unlock()
	now := time.Now()
	for _, q := range queues {
		q.Pump(now)
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

// tryLocal reserves a credit of the least loaded group of the entry's own zone.
// It returns false if no group has a free credit.
func (rt *router) tryLocal(n need, now time.Time) (*permit.Ticket, bool) {
	if rt.config.State().ZoneOut(rt.zone) {
		return nil, false
	}
	best, found := "", false
	var bestStatus permit.Status
	for _, g := range rt.groups(n.service.Name) {
		status := rt.permits.Status(g.Name, now)
		if !status.Open || n.avoids(g.Name, now) {
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

// acquire queues an attempt until a target is available. It returns an error if
// the queue is full, the request is shed, the caller disconnects, or no target
// is available within the longest queueing time.
func (rt *router) acquire(ctx context.Context, n need) (target, *caller.Error) {
	q := rt.queue(n.service.Name)
	found := make(chan *permit.Ticket, 1)
	shed := make(chan struct{}, 1)
	w := &admission.Waiter{
		Organisation: n.organisation, Weight: n.weight, Priority: n.priority,
		Cost: n.cost, Retry: n.retry,
		Try: func(now time.Time) bool {
			ticket, ok := rt.tryLocal(n, now)
			if ok {
				found <- ticket
			}
			return ok
		},
		Shed: func() { shed <- struct{}{} },
	}
	if err := q.Push(w); err != nil {
		return target{}, refusal("queue-full", "the request queue of this service is full; try again later")
	}
	q.Pump(time.Now())
	select {
	case ticket := <-found:
		return localTarget(ticket), nil
	default:
	}
	rt.moreCredits.kick()
	return rt.wait(ctx, n, q, w, found, shed)
}

// wait waits for a credit in the entry's own zone. From the spill delay on, it
// also tries to forward the request to an entry of another zone.
func (rt *router) wait(ctx context.Context, n need, q *admission.Queue, w *admission.Waiter, found <-chan *permit.Ticket, shed <-chan struct{}) (target, *caller.Error) {
	spill := time.NewTimer(rt.spillDelay(n))
	defer spill.Stop()
	deadline := time.NewTimer(n.patience)
	defer deadline.Stop()
	for {
		select {
		case ticket := <-found:
			return localTarget(ticket), nil
		case <-shed:
			return target{}, refusal("shed", "the queue is full and this organisation has the most queued requests; try again later")
		case <-spill.C:
			if t, ok := rt.remote(n); ok && leave(q, w, found) {
				return t, nil
			}
			spill.Reset(spillAfter)
		case <-deadline.C:
			if leave(q, w, found) {
				return target{}, refusal("no-capacity", "no replica group had capacity within the queue timeout; try again later")
			}
		case <-ctx.Done():
			if leave(q, w, found) {
				return target{}, refusal("cancelled", "the caller disconnected before the request was sent")
			}
		}
	}
}

// leave removes the waiter from the queue. It returns false if the waiter
// received a reservation concurrently, which the caller must then use.
func leave(q *admission.Queue, w *admission.Waiter, found <-chan *permit.Ticket) bool {
	q.Remove(w)
	return len(found) == 0
}

func localTarget(t *permit.Ticket) target {
	return target{address: t.Leader, generation: t.Generation, group: t.Group, ticket: t}
}

// spillDelay returns how long the request waits for its own zone before it may
// be forwarded to another zone. The delay is zero if the zone is out of service
// and short if no group of the zone has a valid permit.
func (rt *router) spillDelay(n need) time.Duration {
	if n.hopped {
		return n.patience + time.Hour // a request is forwarded at most once
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

// remote returns an entry of another zone as the target, skipping entries that
// recently failed the request.
func (rt *router) remote(n need) (target, bool) {
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

// refusal returns a 503 error for a request that was not run.
func refusal(code, message string) *caller.Error {
	return &caller.Error{
		Status: http.StatusServiceUnavailable, Code: code, Message: message,
		Run: caller.NotRun, RetryAfter: retryAfter,
	}
}

// enter counts an in-flight request of an organisation. It returns an error if
// the organisation has reached its ceiling. Each entry of the zone enforces an
// equal share of the ceiling.
func (rt *router) enter(organisation string) *caller.Error {
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

// exit removes a request counted by enter from the in-flight count.
func (rt *router) exit(organisation string) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.inFlight[organisation]--
	if rt.inFlight[organisation] == 0 {
		delete(rt.inFlight, organisation)
	}
}

// busy reports whether any request is in flight.
func (rt *router) busy() bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return len(rt.inFlight) > 0
}
