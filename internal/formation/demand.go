package formation

import (
	"math"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/demand"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

const (
	// utilisation is the share of a group's time that the demand may take. At a
	// higher one, streams miss the objective of their first event.
	utilisation = 0.75
	// settledAfter is how long the demand must have been known before groups are
	// formed beyond it or are given up.
	settledAfter = demand.LongSpan
	// skewedFrom and skewedUntil are how much larger a part of its demand one model
	// must be able to serve than another for the plan to follow the demand, and to go
	// on doing so. With less, fewer spares and changed groups cost more than they bring:
	// at 1.75, one model's groups are at 1.3 of the utilisation that keeps its objective
	// while those of another one are at 0.75 of it. A burst of the other model's requests
	// must not end the plan, so that is allowed to fall further.
	skewedFrom  = 1.75
	skewedUntil = 1.1
)

// Demand is the work that the requests of the zone bring.
type Demand struct {
	// Rates is empty if the work is not known.
	Rates []demand.Rate
	// Partial is set if some entries of the zone may be missing in Rates.
	Partial bool
}

// PlanReport describes a plan, for the log and the metrics.
type PlanReport struct {
	// ByDemand is not set if the groups are planned by the initial shares. Spares is
	// then 0, and Models is empty if the demand is not known.
	ByDemand bool
	// Changed is set if the targets are others than in the last report with Changed, or
	// the demand differs much.
	Changed bool
	Models  []ModelPlan
	// Spares is the number of servers that are kept out of groups for repairs, Idle
	// the number of those that are in none.
	Spares, Idle int
}

// ModelPlan is a model's part of a plan.
type ModelPlan struct {
	Model string
	// Needed is the number of groups that the demand calls for, Target what the
	// zone's servers allow, and Existing what the zone has or forms.
	Needed           float64
	Target, Existing int
}

// differs reports whether the target is another one, or the needed groups differ by more
// than demand that stays the same does.
func (mp ModelPlan) differs(other ModelPlan) bool {
	return mp.Target != other.Target || math.Abs(mp.Needed-other.Needed) > max(1, other.Needed/5)
}

// demandPlanner keeps what planning by demand needs to know from one step to the next.
type demandPlanner struct {
	history demand.History
	partial bool
	losses  lossCounter
	repairs repairs
	changes changes
	// mismatchSince holds since when a domain has had too many spares of a model.
	mismatchSince map[modelDomain]time.Time
	// skewed is set while the plan follows the demand.
	skewed bool
	// plan is the plan of the current step, or nil if it plans by share. shares
	// describes the plan by share if the demand is known.
	plan   *demandPlan
	shares []ModelPlan
	// reported is the last report with Changed set, at reportedAt.
	reported   PlanReport
	reportedAt time.Time
}

// planReportInterval is the minimum time between two reports with Changed set. The
// demand, and with it the targets, can change with each step.
const planReportInterval = time.Second

// SetDemand sets the zone's demand as of now, before a step. Without rates, the last
// ones stay in use for some time; after that the groups are planned by the models'
// initial shares.
func (c *Controller) SetDemand(now time.Time, d Demand) {
	c.planner.history.Add(now, d.Rates)
	c.planner.partial = d.Partial
}

// demandPlan is what one step plans by demand.
type demandPlan struct {
	state *zoneState
	// needed is the number of groups of each model that the demand calls for.
	needed map[string]float64
	// targets is the number of groups that the zone's servers allow, goals what can
	// be reached without giving up a group.
	targets, goals map[string]int
	existing       map[string]int
}

// planByDemand returns the plan by demand, or nil if the groups are planned by share,
// which gives the number of groups in byShare. It must be called in each step, since it
// also follows the losses.
func (c *Controller) planByDemand(now time.Time, v *registry.View, service string, e *routes.Engine, probe func(string) ProbeResult, byShare map[string]float64, existing map[string]int) *demandPlan {
	p := &c.planner
	p.losses.observe(now, v, c.zone, service)
	p.repairs.observe(now, c.groups)
	p.changes.observe(now, c.groups)
	p.shares = nil
	if c.bootstrapping || len(e.Models) < 2 || !e.Timed() || !p.history.Known(now) {
		return nil
	}
	needed := make(map[string]float64, len(e.Models))
	for _, m := range e.Models {
		needed[m.Name] = p.history.Planned(m.Name) / utilisation
	}
	measured := p.history.KnownFor(now) >= demand.ShortSpan
	if p.skewed = measured && isSkewed(needed, byShare, p.skewed); !p.skewed {
		for _, m := range largestGroupsFirst(e.Models) {
			p.shares = append(p.shares, ModelPlan{
				Model: m.Name, Needed: needed[m.Name], Target: wholeGroups(byShare[m.Name]), Existing: existing[m.Name],
			})
		}
		return nil
	}
	s := c.newZoneState(now, v, service, e, probe)
	plan := &demandPlan{state: s, needed: needed, existing: existing}
	plan.targets = s.targets(plan.needed)
	plan.goals = s.goals(plan, p.repairs.due(now), p.history.KnownFor(now) >= settledAfter)
	return plan
}

// isSkewed reports whether the groups that the initial shares give a model fall short of
// its demand by a group or more, while
// those of another one serve a much larger part of its own.
func isSkewed(needed, byShare map[string]float64, was bool) bool {
	least, most, short := math.Inf(1), 0.0, false
	for model, n := range byShare {
		met := n / max(needed[model], math.SmallestNonzeroFloat64)
		least, most = min(least, met), max(most, met)
		short = short || needed[model]-n >= 1
	}
	if was {
		return most >= skewedUntil*least
	}
	return short && most >= skewedFrom*least
}

// report describes the plan of the current step.
func (p *demandPlanner) report(now time.Time, idle int) *PlanReport {
	r := PlanReport{ByDemand: p.plan != nil, Models: p.shares, Idle: idle}
	if p.plan != nil {
		r.Spares = p.plan.state.spares
		for _, m := range p.plan.state.models {
			r.Models = append(r.Models, ModelPlan{
				Model: m.Name, Needed: p.plan.needed[m.Name], Target: p.plan.targets[m.Name], Existing: p.plan.existing[m.Name],
			})
		}
	}
	r.Changed = r.ByDemand != p.reported.ByDemand || len(r.Models) != len(p.reported.Models)
	for i := 0; i < len(r.Models) && !r.Changed; i++ {
		r.Changed = r.Models[i].differs(p.reported.Models[i])
	}
	if r.Changed = r.Changed && now.Sub(p.reportedAt) >= planReportInterval; r.Changed {
		p.reported, p.reportedAt = r, now
	}
	return &r
}
