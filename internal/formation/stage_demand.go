package formation

import (
	"maps"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

// restageDelay is how long the weights of a domain's spares must not match the demand
// before one of them loads those of another model.
const restageDelay = 3 * time.Second

// stageSparesByDemand loads weights onto the spares of a domain: first onto empty ones,
// and then onto those with the weights of a model of which there are too many.
func (c *Controller) stageSparesByDemand(now time.Time, v *registry.View, domain string, servers []*registry.Server, e *routes.Engine, d *Decision) {
	plan := c.planner.plan
	have := make(map[string]int)
	var empty []*registry.Server
	holders := make(map[string][]*registry.Server)
	loading := false
	for _, srv := range servers {
		pending, staging := c.pendingStage(srv)
		switch {
		case staging:
			have[pending]++
			loading = true
		case len(srv.Staged) > 0:
			have[srv.Staged[0]]++
			holders[srv.Staged[0]] = append(holders[srv.Staged[0]], srv)
		default:
			empty = append(empty, srv)
		}
	}
	wanted := plan.wantedSpares(c, domain, len(servers))
	for _, srv := range empty {
		model := mostLacking(plan.state.models, have, wanted)
		if model == "" || !c.stageServer(now, v, srv, model, e, d) {
			return
		}
		have[model]++
	}
	for _, m := range plan.state.models {
		// The spares of a model that has groups to repair are changed one at a time.
		surplus := plan.existing[m.Name] > plan.targets[m.Name]
		for have[m.Name] > wanted[m.Name] && len(holders[m.Name]) > 0 && c.mismatched(now, domain, m.Name) && (surplus || !loading) {
			to := mostLacking(plan.state.models, have, wanted)
			if to == "" || !c.stageServer(now, v, holders[m.Name][0], to, e, d) {
				return
			}
			holders[m.Name] = holders[m.Name][1:]
			have[m.Name]--
			have[to]++
			loading = true
		}
		if have[m.Name] <= wanted[m.Name] {
			delete(c.planner.mismatchSince, modelDomain{m.Name, domain})
		}
	}
}

// mismatched reports whether the domain has had too many spares of the model for
// restageDelay. It must be called in each step in which there are too many.
func (c *Controller) mismatched(now time.Time, domain, model string) bool {
	key := modelDomain{model, domain}
	since, found := c.planner.mismatchSince[key]
	if !found {
		since = now
		c.planner.mismatchSince[key] = now
	}
	return now.Sub(since) >= restageDelay
}

// wantedSpares distributes n spares of a domain to the models: by the members that may
// be lost there, and by the servers that a model which is short lacks. A model with
// too many groups needs no spares, since they are not formed again.
func (p *demandPlan) wantedSpares(c *Controller, domain string, n int) map[string]int {
	weights := make(map[string]float64)
	for _, m := range p.state.models {
		groups := 0.5 // models without a group in the domain get some too
		if p.existing[m.Name] <= p.targets[m.Name] {
			groups += float64(c.activeGroups(domain, m.Name))
		}
		if short := p.targets[m.Name] - p.goals[m.Name]; short > 0 {
			groups += float64(short) / float64(len(p.state.domains))
		}
		weights[m.Name] = groups * float64(m.GroupSize)
	}
	wanted := make(map[string]int)
	for range n {
		best := ""
		for _, m := range p.state.models {
			if best == "" || weights[m.Name]/float64(1+wanted[m.Name]) > weights[best]/float64(1+wanted[best]) {
				best = m.Name
			}
		}
		wanted[best]++
	}
	return wanted
}

// mostLacking returns the model with the fewest spares of those that it should have,
// or "".
func mostLacking(models []routes.Model, have, wanted map[string]int) string {
	best := ""
	for _, m := range models {
		lack := wanted[m.Name] - have[m.Name]
		if lack > 0 && (best == "" || lack > wanted[best]-have[best]) {
			best = m.Name
		}
	}
	return best
}

// prepareStage makes a server ready to load a model under a plan by demand, and reports
// whether it is. A server that is still a member of a group that is over leaves it
// first, so that its load counts as one in progress.
func (c *Controller) prepareStage(now time.Time, srv *registry.Server, model string, d *Decision) bool {
	if c.planner.plan == nil {
		return true
	}
	if srv.Member != nil {
		c.issueOrder(now, srv.Incarnation(), Order{Operation: Leave, Group: srv.Member.Group}, d)
		return false
	}
	c.supersedeStages(srv.Incarnation(), model)
	return true
}

// restaging reports whether a server is loading the weights of another model, which
// replace those that it has.
func (c *Controller) restaging(srv *registry.Server, model string) bool {
	if joinCost(srv, model) >= coldJoinCost {
		return false
	}
	pending, staging := c.pendingStage(srv)
	return staging && pending != model
}

// wastes ranks a domain as the place of a new group of the model: first those that keep
// enough spares, then those where the group leaves as much room for the largest groups
// as before.
func (p *demandPlan) wastes(m routes.Model, free int) int {
	largest := max(p.state.models[0].GroupSize, 1)
	rank := free/largest - (free-m.GroupSize)/largest
	if free-m.GroupSize < p.state.domainSpares {
		rank += len(p.state.alive) * largest
	}
	return rank
}

// supersedeStages forgets the earlier stage orders of a server: its host keeps the weights
// of one model.
func (c *Controller) supersedeStages(server registry.Incarnation, model string) {
	maps.DeleteFunc(c.sentOrders, func(key orderKey, _ sentOrder) bool {
		return key.server == server && key.operation == Stage && key.model != model
	})
}
