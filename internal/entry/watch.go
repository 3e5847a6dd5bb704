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
	// orderTimeout bounds one order. The owner's session must cover it.
	orderTimeout = time.Second
	// watchIdle is how long a group that this entry does not own is watched
	// after the last demand for it.
	watchIdle = 10 * time.Second
)

// watchDependencies is what a watch needs of its entry.
type watchDependencies struct {
	logger  *logrus.Logger
	engines *engine.Client
	config  *config.Log
	// owns reports whether this entry may act as the group's owner for the
	// next d.
	owns func(g grouping.Group, d time.Duration) bool
	// leaving reports whether the platform lists the instance as leaving.
	leaving func(instance string) bool
	// revoke tells all entries that the group's permits end.
	revoke func(permit.Revocation)
}

// watch probes one group's members and grants permits on what it sees. The
// group's owner also gives orders and lends cold credits; any other entry of
// the zone may watch too and grant permits of a warm group, because what the
// members themselves report is all the evidence that such a permit needs.
type watch struct {
	watchDependencies

	mu       sync.Mutex
	monitor  *grouping.Monitor
	lender   *permit.Lender
	ordersAt time.Time
	asked    time.Time
	complete bool
	blocked  bool
	// superseded says that a newer generation was seen.
	superseded bool
	// failure is the error of the last probe that failed.
	failure  error
	downtime time.Duration
	checked  time.Time
	cancel   context.CancelFunc
	done     chan struct{}
}

// newWatch starts to watch the group. Cold credits are lent and orders are
// given only from notBefore on.
func newWatch(seams watchDependencies, g grouping.Group, notBefore time.Time) *watch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watch{
		watchDependencies: seams,
		monitor:           grouping.NewMonitor(g),
		lender:            permit.NewLender(notBefore),
		ordersAt:          notBefore,
		asked:             time.Now(),
		cancel:            cancel,
		done:              make(chan struct{}),
	}
	go func() {
		defer close(w.done)
		runEvery(ctx, probeInterval, nil, w.step)
	}()
	return w
}

func (w *watch) close() {
	w.cancel()
	<-w.done
}

// update takes over a newer row of the group. A new owner waits until the
// credits and orders of the earlier one have ended.
func (w *watch) update(g grouping.Group, notBefore time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if g.Owner != w.monitor.Group().Owner {
		w.lender = permit.NewLender(notBefore)
		w.ordersAt = notBefore
	}
	w.monitor.Update(g)
}

// idle reports whether nobody has asked for the group for a while.
func (w *watch) idle(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.asked) > watchIdle
}

func (w *watch) step(ctx context.Context) {
	w.probeAll(ctx)
	w.judge()
	w.orderMisplaced(ctx)
}

// probeAll probes all members at once.
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

func (w *watch) probe(ctx context.Context, member grouping.Member) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sentAt := time.Now()
	health, err := w.engines.Probe(probeCtx, member.Address)
	if ctx.Err() != nil {
		return // the watch ends; an interrupted probe says nothing of the member
	}
	w.mu.Lock()
	if err != nil {
		w.failure = errors.Wrap(err, member.Instance)
		w.monitor.RecordFailure(sentAt, member.Instance)
	} else {
		w.monitor.RecordAnswer(sentAt, member.Instance, health)
	}
	w.mu.Unlock()
	if err != nil {
		w.judge() // the permits end at once, before the other probes return
	}
}

// judge compares the group with how it was before and revokes its permits
// when it can no longer take work.
func (w *watch) judge() {
	w.mu.Lock()
	now := time.Now()
	verdict := w.monitor.Status(now)
	group := w.monitor.Group()
	blocked := w.blockedBy(group, verdict)
	lost := w.complete && !verdict.Complete
	found := !w.complete && verdict.Complete
	superseded := !w.superseded && verdict.Superseded
	w.superseded = verdict.Superseded
	stopped := !w.blocked && blocked
	if !w.complete && !w.checked.IsZero() {
		w.downtime += now.Sub(w.checked)
	}
	w.checked = now
	w.complete = verdict.Complete
	w.blocked = blocked
	failure := w.failure
	w.mu.Unlock()
	fields := logrus.Fields{"group": group.Name, "generation": group.Generation}
	if superseded {
		event.GroupSuperseded.Log(w.logger, fields)
	}
	switch {
	case lost:
		fields["last-failure"] = failure
		event.GroupIncomplete.Log(w.logger, fields)
		w.revoke(permit.Revocation{Group: group.Name, Generation: group.Generation, Abort: true})
	case stopped:
		w.revoke(permit.Revocation{Group: group.Name, Generation: group.Generation})
	case found:
		event.GroupComplete.Log(w.logger, fields)
	}
}

// blockedBy reports whether operators or the platform want the group to take
// no new work.
func (w *watch) blockedBy(g grouping.Group, v grouping.Status) bool {
	state := w.config.State()
	if v.Leaving || state.ZoneOut(g.Zone) {
		return true
	}
	for _, m := range g.Members {
		if state.Instance(m.Instance).Drained || w.leaving(m.Instance) {
			return true
		}
	}
	return false
}

// orderMisplaced sends orders to the members that have not taken their place.
func (w *watch) orderMisplaced(ctx context.Context) {
	w.mu.Lock()
	group := w.monitor.Group()
	ranks := w.monitor.Misplaced()
	tooEarly := time.Now().Before(w.ordersAt) && !group.ChecksFencing()
	w.mu.Unlock()
	if tooEarly || len(ranks) == 0 {
		return
	}
	var wg sync.WaitGroup
	for _, rank := range ranks {
		wg.Go(func() { w.order(ctx, group, rank) })
	}
	wg.Wait()
}

func (w *watch) order(ctx context.Context, g grouping.Group, rank int) {
	// The deadline counts from before the check, so that an order which a pause
	// holds up behind the check is not sent after the session has ended.
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

// ask answers an entry's demand.
func (w *watch) ask(now time.Time, d permit.CreditRequest) permit.Grant {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked = now
	group := w.monitor.Group()
	none := permit.Grant{Group: group.Name, Generation: group.Generation, Leader: group.Leader()}
	verdict := w.monitor.Status(now)
	service, found := w.config.State().Service(group.Service)
	if !found || !verdict.Complete || w.blockedBy(group, verdict) {
		return none
	}
	terms := termsOf(service, verdict, now)
	if terms.Cold && !w.owns(group, terms.TTL) {
		return none
	}
	grant := w.lender.Grant(now, d, terms)
	grant.Generation = group.Generation
	grant.Leader = group.Leader()
	return grant
}

func termsOf(s operator.Service, v grouping.Status, now time.Time) permit.GrantTerms {
	terms := permit.GrantTerms{
		Limit: s.Slots,
		Load:  v.Load,
		TTL:   grouping.ProbeMaxAge - now.Sub(v.OldestProbe),
		Cold:  v.Cold,
	}
	if v.Cold {
		terms.Limit = s.ColdLimit
	}
	return terms
}

// watchStatus is what a watch knows of its group.
type watchStatus struct {
	group    grouping.Group
	verdict  grouping.Status
	missing  []string
	leaving  []string
	downtime time.Duration
	lent     int
}

func (w *watch) status(now time.Time, missingFor time.Duration) watchStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	return watchStatus{
		group:    w.monitor.Group(),
		verdict:  w.monitor.Status(now),
		missing:  w.monitor.Missing(now, missingFor),
		leaving:  w.monitor.Leaving(),
		downtime: w.downtime,
		lent:     w.lender.Outstanding(now),
	}
}
