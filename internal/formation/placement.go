package formation

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

// formNextGroup plans a group of the model that is furthest below its target
// and for which some domain has enough free servers. It returns nil if there is
// none.
func (c *Controller) formNextGroup(now time.Time, free map[string][]*registry.Server, targets, existing map[string]int, e *routes.Engine, d *Decision) *Group {
	models := slices.Clone(e.Models)
	slices.SortFunc(models, func(a, b routes.Model) int {
		fillA := float64(existing[a.Name]) / float64(targets[a.Name])
		fillB := float64(existing[b.Name]) / float64(targets[b.Name])
		return cmp.Or(cmp.Compare(fillA, fillB), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range models {
		if existing[m.Name] >= targets[m.Name] {
			continue
		}
		domain, members := c.chooseMembers(free, m)
		if members == nil {
			continue
		}
		free[domain] = without(free[domain], members)
		incarnations := make([]registry.Incarnation, 0, len(members))
		for _, srv := range members {
			incarnations = append(incarnations, srv.Incarnation())
		}
		g := NewGroup(c.nextID(), m.Name, incarnations, now)
		c.groups[g.ID] = g
		c.domains[g.ID] = domain
		existing[m.Name]++
		d.NewGroups = append(d.NewGroups, g)
		d.addPhaseChange(g, "planned in domain "+domain, now)
		return g
	}
	return nil
}

// chooseMembers returns the domain and servers that can form a group of the
// model soonest. After the first request it takes only servers that have the
// weights staged or loaded. The others are staged first, because ready members
// would otherwise sit idle while one of them loads. Ties go to the domain with
// the fewest groups of the model, then to the one with the most free servers. A plan by
// demand first weighs what the group leaves over in the domain.
func (c *Controller) chooseMembers(free map[string][]*registry.Server, m routes.Model) (string, []*registry.Server) {
	type candidate struct {
		domain      string
		members     []*registry.Server
		waste       int
		cost        int
		groups      int
		freeServers int
	}
	var best *candidate
	for domain, servers := range free {
		ranked := slices.Clone(servers)
		if c.planner.plan != nil {
			ranked = slices.DeleteFunc(ranked, func(srv *registry.Server) bool { return c.restaging(srv, m.Name) })
		}
		slices.SortStableFunc(ranked, func(a, b *registry.Server) int {
			return joinCost(a, m.Name) - joinCost(b, m.Name)
		})
		if len(ranked) < m.GroupSize {
			continue
		}
		members := ranked[:m.GroupSize]
		cand := &candidate{
			domain: domain, members: members, cost: joinCost(members[m.GroupSize-1], m.Name),
			groups: c.activeGroups(domain, m.Name), freeServers: len(ranked),
		}
		if cand.cost >= coldJoinCost && !c.bootstrapping {
			continue
		}
		if c.planner.plan != nil {
			cand.waste = c.planner.plan.wastes(m, len(servers))
		}
		if best == nil || cmp.Or(cmp.Compare(cand.waste, best.waste), cmp.Compare(cand.cost, best.cost), cmp.Compare(cand.groups, best.groups),
			cmp.Compare(best.freeServers, cand.freeServers), cmp.Compare(cand.domain, best.domain)) < 0 {
			best = cand
		}
	}
	if best == nil {
		return "", nil
	}
	return best.domain, best.members
}

// activeGroups counts the domain's groups of the model that serve or are being
// formed.
func (c *Controller) activeGroups(domain, model string) int {
	n := 0
	for id, g := range c.groups {
		if g.Phase < Draining && g.Model == model && c.domains[id] == domain {
			n++
		}
	}
	return n
}

// coldJoinCost is the lowest join cost that includes loading weights.
const coldJoinCost = 2

// joinCost ranks servers by how long joining a group of the model would take. Of
// the servers that must load the weights, those with another model staged rank
// last.
func joinCost(srv *registry.Server, model string) int {
	switch {
	case slices.Contains(srv.Loaded, model):
		return 0
	case slices.Contains(srv.Staged, model):
		return 1
	case len(srv.Staged) == 0:
		return coldJoinCost
	default:
		return coldJoinCost + 1
	}
}

func without(list, remove []*registry.Server) []*registry.Server {
	return slices.DeleteFunc(list, func(s *registry.Server) bool { return slices.Contains(remove, s) })
}
