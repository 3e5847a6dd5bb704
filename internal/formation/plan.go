package formation

import (
	"math"
	"slices"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

// spareFraction is the fraction of a zone's servers that is kept out of groups
// and staged for repairs. A warm join takes a tenth of the time of a load.
const spareFraction = 0.2

// plan forms groups of free servers and stages weights on the remaining ones. Groups
// that exceed the budget are left to the next step, and nothing is staged before all
// groups are planned.
func (c *Controller) plan(now time.Time, v *registry.View, service string, e *routes.Engine, probe func(string) ProbeResult, budget recordBudget, d *Decision) {
	free, alive := c.freeServers(v, service, probe)
	targets := c.targetGroups(e, alive)
	existing := make(map[string]int)
	for _, g := range c.groups {
		if g.Phase < Draining {
			existing[g.Model]++
		}
	}
	byDemand := c.planByDemand(now, v, service, e, probe, groupsByShare(e, alive), existing)
	if c.planner.plan = byDemand; byDemand != nil {
		targets = byDemand.goals
	}
	d.Plan = c.planner.report(now, countServers(free))
	for {
		if budget.spent() {
			return
		}
		g := c.formNextGroup(now, free, targets, existing, e, d)
		if g == nil {
			break
		}
		budget.take(g)
	}
	c.stageWeights(now, v, free, c.survivors(v, probe), c.withDepartures(missingGroups(targets, existing)), e, d)
	if byDemand != nil {
		c.giveUpGroups(now, byDemand, d)
	}
}

func countServers(byDomain map[string][]*registry.Server) int {
	n := 0
	for _, list := range byDomain {
		n += len(list)
	}
	return n
}

// modelDomain identifies the servers of a fabric domain that hold a model's weights.
type modelDomain struct{ model, domain string }

// survivors returns the members of draining and ending groups that still run. They
// will soon be free with their weights loaded, so only the members that their group
// lost need weights for a new one.
func (c *Controller) survivors(v *registry.View, probe func(string) ProbeResult) map[modelDomain][]*registry.Server {
	list := make(map[modelDomain][]*registry.Server)
	for _, g := range c.Groups() {
		if !c.endsSoon(g) {
			continue
		}
		for _, m := range g.Members {
			srv := v.Servers[m.ID]
			if srv == nil || srv.StartTime != m.StartTime || srv.Leaving || joinCost(srv, g.Model) >= coldJoinCost {
				continue
			}
			if p := probe(m.ID); p.Refused || !p.FailingSince.IsZero() {
				continue
			}
			key := modelDomain{g.Model, srv.Domain}
			list[key] = append(list[key], srv)
		}
	}
	return list
}

// missingGroups returns how many more groups of each model the zone needs.
func missingGroups(targets, existing map[string]int) map[string]int {
	missing := make(map[string]int)
	for model, n := range targets {
		if n > existing[model] {
			missing[model] = n - existing[model]
		}
	}
	return missing
}

// freeServers returns the servers of the zone that may join a group, by fabric
// domain, and the number of servers in the zone that are neither leaving nor
// failing probes. A server may be free although it reports a group that is
// unknown here: every group is recorded before its first order, and its record is
// deleted only once the group can never serve again, or its leader has stayed
// unreachable (see adoptUnrecorded).
func (c *Controller) freeServers(v *registry.View, service string, probe func(string) ProbeResult) (map[string][]*registry.Server, int) {
	free := make(map[string][]*registry.Server)
	alive := 0
	assigned := make(map[registry.Incarnation]bool)
	for _, g := range c.groups {
		for _, m := range g.Members {
			assigned[m] = true
		}
	}
	for _, srv := range v.Servers {
		if srv.Zone != c.zone || srv.Service != service || srv.Leaving {
			continue
		}
		if p := probe(srv.ID); p.Refused || !p.FailingSince.IsZero() {
			continue
		}
		alive++
		if assigned[srv.Incarnation()] {
			continue
		}
		free[srv.Domain] = append(free[srv.Domain], srv)
	}
	for _, list := range free {
		slices.SortFunc(list, compareIDs)
	}
	return free, alive
}

// targetGroups returns how many groups of each model the zone should have, at
// least one of each.
func (c *Controller) targetGroups(e *routes.Engine, alive int) map[string]int {
	targets := make(map[string]int, len(e.Models))
	for model, n := range groupsByShare(e, alive) {
		targets[model] = wholeGroups(n)
	}
	return targets
}

// wholeGroups rounds a number of groups, to one at least.
func wholeGroups(n float64) int { return max(int(math.Round(n)), 1) }

// groupsByShare returns how many groups of each model the initial shares give, before
// they are rounded.
func groupsByShare(e *routes.Engine, alive int) map[string]float64 {
	groups := make(map[string]float64, len(e.Models))
	total := 0.0
	for _, m := range e.Models {
		total += m.InitialShare
	}
	usable := float64(alive) * (1 - spareFraction)
	for _, m := range e.Models {
		share := m.InitialShare / max(total, math.SmallestNonzeroFloat64)
		groups[m.Name] = usable * share / float64(max(m.GroupSize, 1))
	}
	return groups
}
