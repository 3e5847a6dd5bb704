package gateway

import (
	"context"
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
	// stepInterval is the longest time between two steps.
	stepInterval = 100 * time.Millisecond
	// acquireInterval is how often an entry without the lease tries to acquire
	// it.
	acquireInterval = time.Second
	// orderTimeout limits one order. A server responds within a round trip.
	orderTimeout = 700 * time.Millisecond
	// orderMargin is the minimum remaining validity of the lease for sending
	// orders.
	orderMargin = 300 * time.Millisecond
	// deleteBatch is the number of obsolete group records that are deleted
	// without waiting for the next renewal. A transaction holds at most 100
	// rows.
	deleteBatch = 40
	// writeRetryDelay is the time between a failed write and the next one.
	// Three attempts fit into the remaining term of the lease.
	writeRetryDelay = 300 * time.Millisecond
	// storeTimeout limits one call to the store. A slow call takes 0.3 s.
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

	// isHolder is set while this entry holds the lease.
	isHolder atomic.Bool
	// outcomes passes the outcomes of orders to the loop, which alone acts on
	// them.
	outcomes chan orderOutcome
	// releasing asks the loop to release the lease. The loop then closes
	// released.
	releasing atomic.Bool
	released  chan struct{}

	// controller is set while this entry holds the lease.
	controller  *formation.Controller
	nextAcquire time.Time
	renewedAt   time.Time
	// retryAt is the earliest time of a write after a failed one.
	retryAt time.Time
}

// orderOutcome is the outcome of an order that a controller issued.
type orderOutcome struct {
	controller *formation.Controller
	order      formation.Order
	startTime  int64
	outcome    formation.Outcome
	at         time.Time
}

// outcomeBuffer is the capacity of the outcomes channel. A step issues some
// tens of orders.
const outcomeBuffer = 256

func newControlLoop(g *Gateway) *controlLoop {
	timing := leaseTiming()
	return &controlLoop{
		gateway: g, watcher: membership.NewWatcher(timing), wakeups: make(chan struct{}, 1), prober: newProber(g),
		health:   storeHealth{logger: g.logger, table: controllerTable},
		outcomes: make(chan orderOutcome, outcomeBuffer), released: make(chan struct{}),
		holder: membership.NewHolder(membership.Session{
			Entry: g.settings.Name, Zone: g.settings.Zone, Address: g.settings.PeerAddress,
			Incarnation: g.settings.Name + "/" + g.bootClock().Format(time.RFC3339Nano),
		}, timing),
	}
}

// wake triggers the next step immediately.
func (s *controlLoop) wake() {
	select {
	case s.wakeups <- struct{}{}:
	default:
	}
}

func (s *controlLoop) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.wakeups:
		}
		s.applyOutcomes()
		if s.releasing.Load() {
			s.releaseLease(ctx)
			close(s.released)
			return
		}
		s.step(ctx)
		s.isHolder.Store(s.controller != nil)
		timer.Reset(stepInterval)
	}
}

func (s *controlLoop) applyOutcomes() {
	for {
		select {
		case o := <-s.outcomes:
			o.controller.HandleOutcome(o.order, o.startTime, o.outcome, o.at)
		default:
			return
		}
	}
}

func (s *controlLoop) step(ctx context.Context) {
	now := s.gateway.bootClock()
	if s.controller == nil {
		if !now.Before(s.nextAcquire) {
			s.nextAcquire = now.Add(acquireInterval)
			s.tryAcquire(ctx, now)
		}
		return
	}
	service, engine := s.service()
	if engine == nil {
		s.renewIfDue(ctx, now, nil, nil)
		return
	}
	v := s.gateway.registry.View()
	s.controller.SetBootstrapping(s.gateway.settings.FirstStart && s.gateway.metrics.requests.Value() == 0)
	d := s.controller.Step(now, v, service, engine, s.prober.result)
	s.logPhaseChanges(d.PhaseChanges)
	s.prober.probe(ctx, v, append(d.ServersToProbe, s.stalledMembers(v)...))
	if !s.renewIfDue(ctx, now, d.NewGroups, d.ObsoleteRecords) {
		return
	}
	if !s.holder.ValidFor(s.gateway.bootClock(), orderMargin) {
		return
	}
	for _, o := range d.Orders {
		s.sendOrder(ctx, v, o)
	}
}

// service returns the model service of the zone's groups: the first one with an
// engine.
func (s *controlLoop) service() (string, *routes.Engine) {
	table := s.gateway.configCache.table.Load()
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

// stalledMembers returns the members of all groups with stalled streams.
func (s *controlLoop) stalledMembers(v *registry.View) []string {
	var ids []string
	stalled := make(map[registry.GroupID]bool)
	for _, l := range s.gateway.balancer.Stalled(time.Now()) {
		if srv := v.Servers[l.ID]; srv != nil && srv.Member != nil {
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

// sendOrder sends an order in the background.
func (s *controlLoop) sendOrder(ctx context.Context, v *registry.View, o formation.Order) {
	srv := v.Servers[o.Server]
	if srv == nil {
		return
	}
	controller := s.controller
	s.gateway.metrics.orders.Add(1)
	s.gateway.spawn(func() {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		started := time.Now()
		outcome, err := s.gateway.platform.SendOrder(ctx, srv.Address, o)
		fields := logrus.Fields{
			"server": o.Server, "operation": string(o.Operation), "group": o.Group.Name, "model": o.Model,
			"outcome": outcome.String(), "ms": time.Since(started).Milliseconds(),
		}
		if err != nil {
			fields["error"] = err
		}
		event.OrderSent.Log(s.gateway.logger, fields)
		select {
		case s.outcomes <- orderOutcome{controller, o, srv.StartTime, outcome, s.gateway.bootClock()}:
		default:
			s.gateway.logger.Warn("an order's outcome was dropped; the order is sent again")
		}
	})
}

func (s *controlLoop) logPhaseChanges(changes []formation.PhaseChange) {
	for _, n := range changes {
		event.GroupPhaseChanged.Log(s.gateway.logger, logrus.Fields{
			"group": n.Group.Name, "model": n.Model, "phase": n.Phase.String(), "reason": n.Reason,
			"after-ms": n.After.Milliseconds(),
		})
	}
}
