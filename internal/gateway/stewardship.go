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
	// stewardTable holds, in a part for each zone, the steward's session and
	// the records of its groups.
	stewardTable = "stewards"
	// stepEvery is the longest time between two steps.
	stepEvery = 100 * time.Millisecond
	// contendEvery is how often an entry without the lease looks at it.
	contendEvery = time.Second
	// orderTimeout bounds one order; a server answers in a round trip.
	orderTimeout = 700 * time.Millisecond
	// orderMargin is how long the lease must still hold when orders are given.
	orderMargin = 300 * time.Millisecond
	// forgetBatch is how many needless records are dropped ahead of the next
	// renewal: a transaction holds 100 entries.
	forgetBatch = 40
	// retryWrite is how long after a failed write the next one follows: three
	// tries fit into what is left of the lease's term.
	retryWrite = 300 * time.Millisecond
	// storeTimeout bounds one call to the store; a slow one takes 0.3 s.
	storeTimeout = 1200 * time.Millisecond
)

// stewardTiming is shorter than that of entries' sessions: while a zone has no
// steward, its groups are not repaired.
func stewardTiming() membership.Timing {
	return membership.Timing{RenewInterval: time.Second, Term: 3 * time.Second, Grace: 500 * time.Millisecond}
}

// stewardship holds or contends for the lease on the zone's groups.
type stewardship struct {
	gateway *Gateway
	holder  *membership.Holder
	watcher *membership.Watcher
	kicks   chan struct{}
	rows    dependency
	asks    *contacts

	// leads says that this entry holds the lease.
	leads atomic.Bool
	// outcomes brings what became of orders to the loop, which owns what
	// follows.
	outcomes chan orderOutcome
	// resigning asks the loop to give the lease up; resigned is closed then.
	resigning atomic.Bool
	resigned  chan struct{}

	// steward is set while this entry holds the lease.
	steward     *formation.Controller
	nextContend time.Time
	renewedAt   time.Time
	// retryAt is when a write may follow one that failed.
	retryAt time.Time
}

// orderOutcome is what became of an order that a steward gave.
type orderOutcome struct {
	steward *formation.Controller
	order   formation.Order
	born    int64
	outcome formation.Outcome
	at      time.Time
}

// outcomesWaiting bounds the outcomes that wait for the loop: a step gives
// some tens of orders.
const outcomesWaiting = 256

func newStewardship(g *Gateway) *stewardship {
	timing := stewardTiming()
	return &stewardship{
		gateway: g, watcher: membership.NewWatcher(timing), kicks: make(chan struct{}, 1), asks: newContacts(g),
		rows:     dependency{logger: g.logger, table: stewardTable},
		outcomes: make(chan orderOutcome, outcomesWaiting), resigned: make(chan struct{}),
		holder: membership.NewHolder(membership.Session{
			Entry: g.settings.Name, Zone: g.settings.Zone, Address: g.settings.PeerAddress,
			Incarnation: g.settings.Name + "/" + g.bootClock().Format(time.RFC3339Nano),
		}, timing),
	}
}

// kick makes the next step come at once.
func (s *stewardship) kick() {
	select {
	case s.kicks <- struct{}{}:
	default:
	}
}

func (s *stewardship) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.kicks:
		}
		s.takeOutcomes()
		if s.resigning.Load() {
			s.giveUp(ctx)
			close(s.resigned)
			return
		}
		s.step(ctx)
		s.leads.Store(s.steward != nil)
		timer.Reset(stepEvery)
	}
}

func (s *stewardship) takeOutcomes() {
	for {
		select {
		case o := <-s.outcomes:
			o.steward.HandleOutcome(o.order, o.born, o.outcome, o.at)
		default:
			return
		}
	}
}

func (s *stewardship) step(ctx context.Context) {
	now := s.gateway.bootClock()
	if s.steward == nil {
		if !now.Before(s.nextContend) {
			s.nextContend = now.Add(contendEvery)
			s.contend(ctx, now)
		}
		return
	}
	service, engine := s.service()
	if engine == nil {
		s.renewIfDue(ctx, now, nil, nil)
		return
	}
	v := s.gateway.registry.View()
	s.steward.SetBootstrapping(s.gateway.settings.FirstStart && s.gateway.metrics.requests.Value() == 0)
	d := s.steward.Step(now, v, service, engine, s.asks.contact)
	s.logNotes(d.PhaseChanges)
	s.asks.ask(ctx, v, append(d.Suspects, s.stalledMembers(v)...))
	if !s.renewIfDue(ctx, now, d.NewGroups, d.ObsoleteRecords) {
		return
	}
	if !s.holder.ValidFor(s.gateway.bootClock(), orderMargin) {
		return
	}
	for _, o := range d.Orders {
		s.give(ctx, v, o)
	}
}

// service returns the model service that the zone's groups serve.
func (s *stewardship) service() (string, *routes.Engine) {
	table := s.gateway.beliefs.table.Load()
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

// stalledMembers returns the members of groups whose streams have stopped.
func (s *stewardship) stalledMembers(v *registry.View) []string {
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

// give sends an order in the background.
func (s *stewardship) give(ctx context.Context, v *registry.View, o formation.Order) {
	srv := v.Servers[o.Server]
	if srv == nil {
		return
	}
	steward := s.steward
	s.gateway.metrics.orders.Add(1)
	s.gateway.loop(func() {
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
		event.OrderGiven.Log(s.gateway.logger, fields)
		select {
		case s.outcomes <- orderOutcome{steward, o, srv.StartTime, outcome, s.gateway.bootClock()}:
		default:
			s.gateway.logger.Warn("the outcome of an order was dropped; the order is given again")
		}
	})
}

func (s *stewardship) logNotes(notes []formation.PhaseChange) {
	for _, n := range notes {
		event.GroupPhase.Log(s.gateway.logger, logrus.Fields{
			"group": n.Group.Name, "model": n.Model, "phase": n.Phase.String(), "reason": n.Reason,
			"after-ms": n.After.Milliseconds(),
		})
	}
}
