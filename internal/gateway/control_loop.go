package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
	"github.com/hibiscuspulley/hibiscuspulley/internal/membership"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

const (
	// controllerTable holds one partition per zone, with the controller's
	// session and its group records.
	controllerTable = "stewards"
	// stepInterval is the pause after a step if nothing wakes the loop earlier.
	stepInterval = 100 * time.Millisecond
	// acquireInterval is the minimum time between two attempts of an entry to
	// acquire the lease.
	acquireInterval = time.Second
	// orderTimeout limits one order. A server responds within a round trip.
	orderTimeout = 700 * time.Millisecond
	// orderMargin is the minimum remaining validity of the lease for sending
	// orders: an order that is slow to arrive must not outlive the lease.
	orderMargin = orderTimeout + 100*time.Millisecond
	// deleteBatch is the number of obsolete group records from which the lease
	// is renewed early in order to delete them. Fewer wait for the next renewal.
	deleteBatch = 40
	// writeRetryDelay is the minimum time from the step of a failed write to
	// the next write of group records. Three attempts fit into the remaining
	// term of the lease. A renewal without group records waits for the renewal
	// interval, also after a failure.
	writeRetryDelay = 300 * time.Millisecond
	// storeTimeout limits one transaction, or one read of all rows of the zone.
	// A slow call to the store takes 0.3 s.
	storeTimeout = 1200 * time.Millisecond
)

// leaseTiming returns shorter durations than those of the entries' sessions,
// because the groups of a zone without a controller are not repaired.
func leaseTiming() membership.Timing {
	return membership.Timing{RenewInterval: time.Second, Term: 3 * time.Second, Grace: 500 * time.Millisecond}
}

// controlLoop acquires the controller lease of the zone and, while it holds the
// lease, runs the controller of the zone's replica groups.
type controlLoop struct {
	gateway *Gateway
	holder  *membership.Holder
	watcher *membership.Watcher
	wakeups chan struct{}
	health  storeHealth
	prober  *prober

	// isHolder tells other goroutines whether controller is set. It is updated
	// after each step and when the lease is released.
	isHolder atomic.Bool
	// outcomes passes the outcomes of orders to the loop's goroutine. Only that
	// goroutine may call a controller.
	outcomes chan orderOutcome
	// ordersInFlight counts the orders without an outcome.
	ordersInFlight sync.WaitGroup
	// releasing makes the loop release the lease, close released and end.
	releasing atomic.Bool
	released  chan struct{}

	// controller is set from the time at which this entry acquires the lease
	// until it releases it or observes its loss. The lease may have expired
	// before that, so step checks its validity before it sends orders.
	controller  *formation.Controller
	nextAcquire time.Time
	renewedAt   time.Time
	// retryAt is the earliest time of the next write after a failed one.
	retryAt time.Time
	// era is that of the rows that were read last, or -1 before the first ones, and eraSince
	// is when it was first seen.
	era      int64
	eraSince time.Time
	// lostRecords are the groups whose records the store may have lost by coming back from
	// an older copy.
	lostRecords []*formation.Group
	// recordsRejected is set if the store rejected the last write, which had group
	// records.
	recordsRejected bool
	// demandSeen is set once the zone has had any demand.
	demandSeen bool
}

// orderOutcome is the outcome of an order that a controller issued.
type orderOutcome struct {
	controller *formation.Controller
	order      formation.Order
	// startTime identifies the incarnation of the server.
	startTime int64
	outcome   formation.Outcome
	// at is when the response arrived or the call failed, by the boot clock.
	at time.Time
}

// outcomeBuffer is the capacity of the outcomes channel. A step issues some
// tens of orders. Outcomes that don't fit are dropped.
const outcomeBuffer = 256

func newControlLoop(g *Gateway) *controlLoop {
	timing := leaseTiming()
	return &controlLoop{
		gateway: g, watcher: membership.NewWatcher(timing), wakeups: make(chan struct{}, 1), prober: newProber(g),
		health:   storeHealth{logger: g.logger, table: controllerTable},
		era:      -1,
		outcomes: make(chan orderOutcome, outcomeBuffer), released: make(chan struct{}),
		holder: membership.NewHolder(membership.Session{
			Entry: g.settings.Name, Zone: g.settings.Zone, Address: g.settings.PeerAddress,
			Incarnation: g.settings.Name + "/" + g.bootClock().Format(time.RFC3339Nano),
		}, timing),
	}
}

// wake triggers the next step without waiting for stepInterval. It never blocks.
func (cl *controlLoop) wake() {
	select {
	case cl.wakeups <- struct{}{}:
	default:
	}
}

func (cl *controlLoop) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-cl.wakeups:
		}
		cl.applyOutcomes()
		if cl.releasing.Load() {
			cl.releaseLease(ctx)
			close(cl.released)
			return
		}
		cl.step(ctx)
		cl.isHolder.Store(cl.controller != nil)
		timer.Reset(stepInterval)
	}
}

func (cl *controlLoop) applyOutcomes() {
	for {
		select {
		case o := <-cl.outcomes:
			o.controller.HandleOutcome(o.order, o.startTime, o.outcome, o.at)
		default:
			return
		}
	}
}

func (cl *controlLoop) step(ctx context.Context) {
	now := cl.gateway.bootClock()
	if cl.controller == nil {
		if !now.Before(cl.nextAcquire) && cl.gateway.relays.mayControl() {
			cl.nextAcquire = now.Add(acquireInterval)
			cl.tryAcquire(ctx, now)
		}
		return
	}
	service, engine := cl.service()
	if engine == nil {
		cl.renewIfDue(ctx, now, nil, nil)
		return
	}
	v := cl.gateway.registry.View()
	zone := cl.gateway.demands.zone(time.Now())
	cl.controller.SetDemand(now, zone)
	// Demand means that another entry has received a request.
	cl.demandSeen = cl.demandSeen || len(zone.Rates) > 0
	cl.controller.SetBootstrapping(cl.gateway.settings.FirstStart && cl.gateway.metrics.requests.Value() == 0 && !cl.demandSeen)
	cl.prober.observeStreams(time.Now())
	d := cl.controller.Step(now, v, service, engine, cl.prober.result)
	cl.logPhaseChanges(d.PhaseChanges)
	cl.logKept(d.Kept, v)
	cl.gateway.demands.reportPlan(d.Plan)
	cl.prober.probe(ctx, v, append(d.ServersToProbe, cl.stalledMembers(v)...))
	if !cl.renewIfDue(ctx, now, d.NewGroups, d.ObsoleteRecords) {
		return
	}
	if !cl.holder.ValidFor(cl.gateway.bootClock(), orderMargin) {
		return
	}
	for _, o := range d.Orders {
		cl.sendOrder(ctx, v, o)
	}
}

// service returns the service that the zone's groups serve: the first one whose
// engine has models. The engine is nil if there is none or no configuration has
// been received.
func (cl *controlLoop) service() (string, *routes.Engine) {
	return modelService(cl.gateway.configCache.table.Load())
}

func modelService(table *routes.Table) (string, *routes.Engine) {
	if table == nil {
		return "", nil
	}
	for i := range table.Config.Services {
		if e := table.Config.Services[i].Engine; e != nil && len(e.Models) > 0 {
			return table.Config.Services[i].Name, e
		}
	}
	return "", nil
}

// stalledMembers returns the IDs of all members of the groups in which a member
// has stalled streams or a tripped circuit breaker.
func (cl *controlLoop) stalledMembers(v *registry.View) []string {
	var ids []string
	stalled := make(map[registry.GroupID]bool)
	for _, inc := range cl.gateway.balancer.Stalled(time.Now()) {
		if srv := v.Servers[inc.ID]; srv != nil && srv.Member != nil {
			stalled[srv.Member.Group] = true
		}
	}
	if len(stalled) == 0 {
		return nil
	}
	for id, srv := range v.Servers {
		if srv.Member != nil && stalled[srv.Member.Group] {
			ids = append(ids, id)
		}
	}
	return ids
}

// sendOrder sends an order in the background and passes its outcome to the loop.
// It does nothing if the server has no record in the view.
func (cl *controlLoop) sendOrder(ctx context.Context, v *registry.View, o formation.Order) {
	srv := v.Servers[o.Server]
	if srv == nil {
		return
	}
	controller := cl.controller
	cl.gateway.metrics.orders.Add(1)
	cl.ordersInFlight.Add(1)
	cl.gateway.spawn(func() {
		defer cl.ordersInFlight.Done()
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		started := time.Now()
		outcome, err := cl.gateway.platform.SendOrder(ctx, srv.Address, o)
		fields := logrus.Fields{
			"server": o.Server, "operation": string(o.Operation), "group": o.Group.Name, "model": o.Model,
			"outcome": outcome.String(), "ms": time.Since(started).Milliseconds(),
		}
		if err != nil {
			fields["error"] = err
		}
		event.OrderSent.Log(cl.gateway.logger, fields)
		select {
		case cl.outcomes <- orderOutcome{controller, o, srv.StartTime, outcome, cl.gateway.bootClock()}:
		default:
			cl.gateway.logger.Warn("an order's outcome was dropped; the order is sent again")
		}
	})
}

func (cl *controlLoop) logPhaseChanges(changes []formation.PhaseChange) {
	for _, c := range changes {
		event.GroupPhaseChanged.Log(cl.gateway.logger, logrus.Fields{
			"group": c.Group.Name, "model": c.Model, "phase": c.Phase.String(), "reason": c.Reason,
			"after-ms": c.After.Milliseconds(),
		})
	}
}
