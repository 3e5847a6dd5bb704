package formation

import (
	"cmp"
	"math"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

const (
	// shortageTime is how long a model must be short without interruption before a
	// group of another one is given up for it.
	shortageTime = 5 * time.Second
	// changePause is the time between two changes in the same domain. A drain and a
	// load take about as long.
	changePause = 20 * time.Second
)

// modelPair is a model that has more groups than it needs, and one that is short.
type modelPair struct{ from, to string }

// changes tracks the groups that are given up for another model.
type changes struct {
	// shortSince holds since when each pair has been worth a change.
	shortSince map[modelPair]time.Time
	// changedAt is when the last change in a domain ended or, until it ends, now.
	changedAt map[string]time.Time
	draining  map[registry.GroupID]string
	// startedAt is when the controller took recorded groups over, or zero. The
	// earlier controller may have made a change just before.
	startedAt time.Time
}

// observe follows the changes in progress.
func (ch *changes) observe(now time.Time, groups map[registry.GroupID]*Group) {
	if ch.changedAt == nil {
		ch.shortSince, ch.changedAt = make(map[modelPair]time.Time), make(map[string]time.Time)
		ch.draining = make(map[registry.GroupID]string)
		if len(groups) > 0 {
			ch.startedAt = now
		}
	}
	for id, domain := range ch.draining {
		ch.changedAt[domain] = now
		if groups[id] == nil {
			delete(ch.draining, id)
		}
	}
}

// rested reports whether the last change in the domain is long enough ago.
func (ch *changes) rested(now time.Time, domain string) bool {
	last := ch.startedAt
	if at, found := ch.changedAt[domain]; found {
		last = at
	}
	return last.IsZero() || now.Sub(last) >= changePause
}

// giveUpGroups gives up at most one group for a model that is short.
func (c *Controller) giveUpGroups(now time.Time, plan *demandPlan, d *Decision) {
	p := &c.planner
	settled := p.history.KnownFor(now) >= settledAfter && !p.partial
	var due []modelPair
	for _, from := range plan.state.models {
		for _, to := range plan.state.models {
			pair := modelPair{from.Name, to.Name}
			if !settled || from.Name == to.Name || !c.worthChanging(plan, from, to) {
				delete(p.changes.shortSince, pair)
				continue
			}
			if p.changes.shortSince[pair].IsZero() {
				p.changes.shortSince[pair] = now
			}
			if now.Sub(p.changes.shortSince[pair]) >= shortageTime {
				due = append(due, pair)
			}
		}
	}
	for _, pair := range due {
		if g := c.groupToGiveUp(now, plan, pair); g != nil {
			p.changes.draining[g.ID] = c.domains[g.ID]
			p.changes.changedAt[c.domains[g.ID]] = now
			p.repairs.giveUp(g.ID)
			c.transition(g, Draining, now, "its servers are needed for the model "+pair.to, d)
			return
		}
	}
}

// worthChanging reports whether a group of one model can be given up for another one:
// what is left meets the demand of its model, also that of its last peak, and the
// other model lacks all groups that the change yields.
func (c *Controller) worthChanging(plan *demandPlan, from, to routes.Model) bool {
	history := &c.planner.history
	left := c.serving(from.Name) - 1
	if left < 1 || plan.existing[from.Name] <= plan.targets[from.Name] {
		return false
	}
	if float64(left) < max(plan.needed[from.Name], history.Peak(from.Name)/utilisation) {
		return false
	}
	for _, domain := range plan.state.domains {
		if c.activeGroups(domain, from.Name) > 0 && c.changeHelps(plan, from, to, domain) {
			return true
		}
	}
	return false
}

// changeHelps reports whether the servers of a group in the domain yield groups of the
// other model, all of which it lacks.
func (c *Controller) changeHelps(plan *demandPlan, from, to routes.Model, domain string) bool {
	yield := plan.state.extra(domain, from.GroupSize)/to.GroupSize - plan.state.extra(domain, 0)/to.GroupSize
	goal := plan.goals[to.Name]
	short := int(math.Ceil(c.planner.history.Current(to.Name)/utilisation)) - goal
	return yield > 0 && min(short, plan.targets[to.Name]-goal) >= yield
}

func (c *Controller) serving(model string) int {
	n := 0
	for _, g := range c.groups {
		if g.Model == model && g.Phase == Serving {
			n++
		}
	}
	return n
}

// groupToGiveUp returns the group to give up, or nil if no domain may change now. It
// takes the newest one of the domain with the most groups of its model.
func (c *Controller) groupToGiveUp(now time.Time, plan *demandPlan, pair modelPair) *Group {
	from, to := plan.state.model(pair.from), plan.state.model(pair.to)
	var best *Group
	for _, g := range c.Groups() {
		domain := c.domains[g.ID]
		if g.Model != from.Name || g.Phase != Serving || !c.planner.changes.rested(now, domain) || !c.changeHelps(plan, from, to, domain) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(c.activeGroups(domain, from.Name), c.activeGroups(c.domains[best.ID], from.Name)),
			cmp.Compare(g.ID.Epoch, best.ID.Epoch)) > 0 {
			best = g
		}
	}
	return best
}

// model returns the model with the name, which must be known.
func (s *zoneState) model(name string) routes.Model {
	for _, m := range s.models {
		if m.Name == name {
			return m
		}
	}
	return routes.Model{}
}
