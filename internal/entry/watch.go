package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/config"
	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/grouping"
	"github.com/hibiscuspulley/hibiscuspulley/internal/permit"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/engine"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 450 * time.Millisecond
	// orderTimeout bounds the sending of one order. An order is sent only if the
	// owner's session stays valid for this long.
	orderTimeout = time.Second
	// watchIdleTimeout is how long the entry watches a group that it does not own
	// after the last credit request for the group.
	watchIdleTimeout = 10 * time.Second
)

// watchDependencies holds the components of the entry that a watch uses.
type watchDependencies struct {
	logger  *logrus.Logger
	engines *engine.Client
	config  *config.Log
	// owns reports whether this entry owns the group and its session stays
	// valid for at least d.
	owns func(g grouping.Group, d time.Duration) bool
	// leaving reports whether the platform lists the instance as leaving.
	leaving func(instance string) bool
	// revoke revokes the group's permits at this entry and at all connected
	// peers.
	revoke func(permit.Revocation)
}

// watch probes the members of one group and grants credits based on the probe
// results. At the group's owner, it also sends orders and grants credits while the
// group is cold. Any other entry of the zone may watch the group too and grant
// credits while the group is warm, because these depend only on the probe results.
type watch struct {
	watchDependencies

	mu              sync.Mutex
	monitor         *grouping.Monitor
	lender          *permit.Lender
	ordersNotBefore time.Time
	// lastRequestAt is when the last credit request arrived, initially the start
	// of the watch.
	lastRequestAt time.Time
	// complete, blocked and superseded hold the status at lastUpdate. superseded
	// reports whether a member has reported a newer generation.
	complete   bool
	blocked    bool
	superseded bool
	// lastProbeError is the error of the last failed probe.
	lastProbeError error
	// downtime is the total time during which the group was not complete.
	downtime   time.Duration
	lastUpdate time.Time
	cancel     context.CancelFunc
	done       chan struct{}
}

// newWatch starts to watch the group. Before notBefore, it grants no cold credits
// and sends no orders, unless all members check fencing: then orders are sent at once.
func newWatch(deps watchDependencies, g grouping.Group, notBefore time.Time) *watch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watch{
		watchDependencies: deps,
		monitor:           grouping.NewMonitor(g),
		lender:            permit.NewLender(notBefore),
		ordersNotBefore:   notBefore,
		lastRequestAt:     time.Now(),
		cancel:            cancel,
		done:              make(chan struct{}),
	}
	go func() {
		defer close(w.done)
		runEvery(ctx, probeInterval, nil, w.step)
	}()
	return w
}

// close stops the watch and waits for its goroutine to end.
func (w *watch) close() {
	w.cancel()
	<-w.done
}

// update applies a newer row of the group. If the owner has changed, the watch
// starts a new lender without outstanding credits. Until notBefore, when the cold
// credits and orders of the previous owner have expired, it grants no cold credits
// and sends no orders, unless all members check fencing: then orders are sent at once.
func (w *watch) update(g grouping.Group, notBefore time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if g.Owner != w.monitor.Group().Owner {
		w.lender = permit.NewLender(notBefore)
		w.ordersNotBefore = notBefore
	}
	w.monitor.Update(g)
}

// idle reports whether no credit request for the group has arrived within the
// idle timeout.
func (w *watch) idle(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.lastRequestAt) > watchIdleTimeout
}

// step probes the members, updates the status and sends the orders that are due.
func (w *watch) step(ctx context.Context) {
	w.probeAll(ctx)
	w.updateStatus()
	w.orderMisplacedMembers(ctx)
}

// probeAll probes all members concurrently.
func (w *watch) probeAll(ctx context.Context) {
	w.mu.Lock()
	members := w.monitor.Group().Members
	w.mu.Unlock()
	var wg sync.WaitGroup
	for _, member := range members {
		wg.Go(func() { w.probe(ctx, member) })
	}
	wg.Wait()
}

// probe probes one member and records the result.
func (w *watch) probe(ctx context.Context, member grouping.Member) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sentAt := time.Now()
	health, err := w.engines.Probe(probeCtx, member.Address)
	if ctx.Err() != nil {
		return // the watch is closing; the interrupted probe is not a failure of the member
	}
	w.mu.Lock()
	if err != nil {
		w.lastProbeError = errors.Wrap(err, member.Instance)
		w.monitor.RecordFailure(sentAt, member.Instance)
	} else {
		w.monitor.RecordAnswer(sentAt, member.Instance, health)
	}
	w.mu.Unlock()
	if err != nil {
		w.updateStatus() // revoke the permits without waiting for the other probes
	}
}

// updateStatus updates the group's status and downtime. It logs when the group
// becomes incomplete, complete or superseded. It revokes the permits when the group
// becomes incomplete, which also aborts the running requests, or blocked, which does
// not. If the group becomes complete and blocked at once, only the revocation follows.
func (w *watch) updateStatus() {
	w.mu.Lock()
	now := time.Now()
	status := w.monitor.Status(now)
	group := w.monitor.Group()
	blocked := w.isBlocked(group, status)
	becameIncomplete := w.complete && !status.Complete
	becameComplete := !w.complete && status.Complete
	becameSuperseded := !w.superseded && status.Superseded
	w.superseded = status.Superseded
	becameBlocked := !w.blocked && blocked
	if !w.complete && !w.lastUpdate.IsZero() {
		w.downtime += now.Sub(w.lastUpdate)
	}
	w.lastUpdate = now
	w.complete = status.Complete
	w.blocked = blocked
	probeError := w.lastProbeError
	w.mu.Unlock()
	fields := logrus.Fields{"group": group.Name, "generation": group.Generation}
	if becameSuperseded {
		event.GroupSuperseded.Log(w.logger, fields)
	}
	switch {
	case becameIncomplete:
		fields["last-failure"] = probeError
		event.GroupIncomplete.Log(w.logger, fields)
		w.revoke(permit.Revocation{Group: group.Name, Generation: group.Generation, Abort: true})
	case becameBlocked:
		w.revoke(permit.Revocation{Group: group.Name, Generation: group.Generation})
	case becameComplete:
		event.GroupComplete.Log(w.logger, fields)
	}
}

// isBlocked reports whether the group must receive no new requests, because a
// member is leaving or drained, or the zone is out of service.
func (w *watch) isBlocked(g grouping.Group, s grouping.Status) bool {
	state := w.config.State()
	if s.Leaving || state.ZoneOut(g.Zone) {
		return true
	}
	for _, m := range g.Members {
		if state.Instance(m.Instance).Drained || w.leaving(m.Instance) {
			return true
		}
	}
	return false
}

// orderMisplacedMembers orders the members that answer but report another group or
// generation to join the group, unless it is too early for orders.
func (w *watch) orderMisplacedMembers(ctx context.Context) {
	w.mu.Lock()
	group := w.monitor.Group()
	ranks := w.monitor.Misplaced()
	tooEarly := time.Now().Before(w.ordersNotBefore) && !group.ChecksFencing()
	w.mu.Unlock()
	if tooEarly || len(ranks) == 0 {
		return
	}
	var wg sync.WaitGroup
	for _, rank := range ranks {
		wg.Go(func() { w.sendOrder(ctx, group, rank) })
	}
	wg.Wait()
}

// sendOrder sends one member the order to join the group, if this entry owns the
// group and its session stays valid for orderTimeout.
func (w *watch) sendOrder(ctx context.Context, g grouping.Group, rank int) {
	// The deadline starts before the ownership check, so an order that is delayed
	// by a pause after the check is not sent once the session has ended.
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !w.owns(g, orderTimeout) {
		return
	}
	err := w.engines.SendOrder(ctx, g.Members[rank].Address, engine.Order{
		Group: g.Name, Generation: g.Generation, Rank: rank,
		Members: g.Addresses(), Model: g.Model,
	})
	if err != nil {
		event.OrderFailed.Log(w.logger, logrus.Fields{
			"group": g.Name, "instance": g.Members[rank].Instance, "error": err,
		})
	}
}

// grant grants credits in response to a credit request of an entry. The grant has no
// credits if the group is incomplete or blocked, if its service is not configured, or
// if the group is cold and this entry does not own it, or its session ends before the
// grant would. The lender also grants no cold credits before its notBefore.
func (w *watch) grant(now time.Time, req permit.CreditRequest) permit.Grant {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastRequestAt = now
	group := w.monitor.Group()
	noCredits := permit.Grant{Group: group.Name, Generation: group.Generation, Leader: group.Leader()}
	status := w.monitor.Status(now)
	service, found := w.config.State().Service(group.Service)
	if !found || !status.Complete || w.isBlocked(group, status) {
		return noCredits
	}
	terms := grantTerms(service, status, now)
	if terms.Cold && !w.owns(group, terms.TTL) {
		return noCredits
	}
	grant := w.lender.Grant(now, req, terms)
	grant.Generation = group.Generation
	grant.Leader = group.Leader()
	return grant
}

// grantTerms returns the terms of a grant of the service's credits. The grant is
// valid until the oldest probe result reaches its maximum age.
func grantTerms(service operator.Service, status grouping.Status, now time.Time) permit.GrantTerms {
	terms := permit.GrantTerms{
		Limit: service.Slots,
		Load:  status.Load,
		TTL:   grouping.ProbeMaxAge - now.Sub(status.OldestProbe),
		Cold:  status.Cold,
	}
	if status.Cold {
		terms.Limit = service.ColdLimit
	}
	return terms
}

// watchStatus is a snapshot of a watched group.
type watchStatus struct {
	group   grouping.Group
	status  grouping.Status
	missing []string
	// leaving are the members that report that they are about to shut down.
	leaving  []string
	downtime time.Duration
	// outstanding is the number of outstanding credits.
	outstanding int
}

// status returns a snapshot of the group. Its missing members are those that have
// failed probes for at least missingFor.
func (w *watch) status(now time.Time, missingFor time.Duration) watchStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	return watchStatus{
		group:       w.monitor.Group(),
		status:      w.monitor.Status(now),
		missing:     w.monitor.Missing(now, missingFor),
		leaving:     w.monitor.Leaving(),
		downtime:    w.downtime,
		outstanding: w.lender.Outstanding(now),
	}
}
