package formation

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

// stageWeights orders free servers to load weights. Missing groups come first,
// each in the domain that needs the fewest loads for it, also with the survivors of
// groups that end. The remaining servers become spares for the groups of their
// domain.
func (c *Controller) stageWeights(now time.Time, v *registry.View, free map[string][]*registry.Server, survivors map[modelDomain][]*registry.Server, missing map[string]int, e *routes.Engine, d *Decision) {
	idle := make(map[string][]*registry.Server, len(free))
	for domain, servers := range free {
		idle[domain] = slices.Clone(servers)
	}
	for _, m := range largestGroupsFirst(e.Models) {
		for range missing[m.Name] {
			if !c.stageGroup(now, v, idle, survivors, missing, m, e, d) {
				break
			}
		}
	}
	if c.planner.plan != nil {
		for _, domain := range c.planner.plan.state.domains {
			c.stageSparesByDemand(now, v, domain, idle[domain], e, d)
		}
		return
	}
	for domain, servers := range idle {
		c.stageSpares(now, v, domain, servers, e, d)
	}
}

// largestGroupsFirst returns the models by descending group size. Larger groups
// lose members more often, and two small groups that have each lost a member
// can be combined into a new one.
func largestGroupsFirst(models []routes.Model) []routes.Model {
	sorted := slices.Clone(models)
	slices.SortFunc(sorted, func(a, b routes.Model) int {
		return cmp.Or(cmp.Compare(b.GroupSize, a.GroupSize), cmp.Compare(a.Name, b.Name))
	})
	return sorted
}

// stageGroup stages the weights still needed for one group of the model, in the
// domain that needs the fewest loads, and removes the group's servers from idle and
// survivors. It returns false if no domain has enough servers.
func (c *Controller) stageGroup(now time.Time, v *registry.View, idle map[string][]*registry.Server, survivors map[modelDomain][]*registry.Server, missing map[string]int, m routes.Model, e *routes.Engine, d *Decision) bool {
	bestDomain, bestLoads := "", m.GroupSize+1
	var best []*registry.Server
	for domain, servers := range idle {
		members, loads := c.fewestLoads(slices.Concat(survivors[modelDomain{m.Name, domain}], servers), missing, m)
		if members != nil && (loads < bestLoads || (loads == bestLoads && domain < bestDomain)) {
			bestDomain, bestLoads, best = domain, loads, members
		}
	}
	if best == nil {
		return false
	}
	idle[bestDomain] = without(idle[bestDomain], best)
	key := modelDomain{m.Name, bestDomain}
	survivors[key] = without(survivors[key], best)
	for _, srv := range best {
		if joinCost(srv, m.Name) >= coldJoinCost {
			c.stageServer(now, v, srv, m.Name, e, d)
		}
	}
	return true
}

// fewestLoads returns the servers that can form a group with the fewest loads,
// and the number of loads. It excludes servers that are staging another model or
// hold the weights of another missing model.
func (c *Controller) fewestLoads(servers []*registry.Server, missing map[string]int, m routes.Model) ([]*registry.Server, int) {
	// rank is lower for servers that are ready sooner. Rank 4 excludes a server.
	rank := func(srv *registry.Server) int {
		pending, staging := c.pendingStage(srv)
		switch {
		case joinCost(srv, m.Name) < coldJoinCost:
			return 0
		case staging && pending == m.Name:
			return 1
		case staging:
			return 4
		case len(srv.Staged) == 0:
			return 2
		case missing[srv.Staged[0]] > 0:
			return 4
		default:
			return 3
		}
	}
	ranked := slices.DeleteFunc(slices.Clone(servers), func(srv *registry.Server) bool { return rank(srv) == 4 })
	if len(ranked) < m.GroupSize {
		return nil, 0
	}
	slices.SortStableFunc(ranked, func(a, b *registry.Server) int { return rank(a) - rank(b) })
	members := ranked[:m.GroupSize]
	loads := 0
	for _, srv := range members {
		if rank(srv) > 1 {
			loads++
		}
	}
	return members, loads
}

// stageSpares loads weights onto the spares of a domain that have none.
func (c *Controller) stageSpares(now time.Time, v *registry.View, domain string, servers []*registry.Server, e *routes.Engine, d *Decision) {
	spares := make(map[string]int)
	var empty []*registry.Server
	for _, srv := range servers {
		pending, staging := c.pendingStage(srv)
		switch {
		case staging:
			spares[pending]++
		case len(srv.Staged) > 0:
			spares[srv.Staged[0]]++
		default:
			empty = append(empty, srv)
		}
	}
	for _, srv := range empty {
		best, bestNeed := "", -1.0
		for _, m := range largestGroupsFirst(e.Models) {
			// The 0.5 gives models without a group in the domain some need too.
			members := float64(c.activeGroups(domain, m.Name)*m.GroupSize) + 0.5
			if need := members / float64(1+spares[m.Name]); need > bestNeed {
				best, bestNeed = m.Name, need
			}
		}
		if best == "" || !c.stageServer(now, v, srv, best, e, d) {
			return
		}
		spares[best]++
	}
}

// stageServer orders the server to stage the model if no stage is pending there
// and the load limit allows a load now. It reports whether a stage is pending
// afterwards, which may be of another model, or is prepared.
func (c *Controller) stageServer(now time.Time, v *registry.View, srv *registry.Server, model string, e *routes.Engine, d *Decision) bool {
	if _, staging := c.pendingStage(srv); staging {
		return true
	}
	if !c.prepareStage(now, srv, model, d) {
		return true
	}
	if !c.loadLimiter.allow(now, e, c.zones, c.loadsInProgress(v, now), c.bootstrapping) {
		return false
	}
	c.issueOrder(now, srv.Incarnation(), Order{Operation: Stage, Model: model}, d)
	return true
}

// pendingStage returns the model that the server was ordered to stage and has not
// staged yet. Expired orders do not count.
func (c *Controller) pendingStage(srv *registry.Server) (string, bool) {
	for key := range c.sentOrders {
		if key.server == srv.Incarnation() && key.operation == Stage && !slices.Contains(srv.Staged, key.model) &&
			!c.stageExpired(key) {
			return key.model, true
		}
	}
	return "", false
}

// stageExpired reports whether a stage order has exceeded its timeout, which is
// formingTimeout if the server has begun it and resendAfter if not.
func (c *Controller) stageExpired(key orderKey) bool {
	sent := c.sentOrders[key]
	limit := formingTimeout
	if sent.outcome != Begun {
		limit = resendAfter
	}
	return c.now.Sub(sent.at) > limit
}
