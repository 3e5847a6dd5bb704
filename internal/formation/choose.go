package formation

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

// formNext plans the group that is missed most, if a domain has the servers.
func (s *Controller) formNext(now time.Time, free map[string][]*registry.Server, targets, have map[string]int, e *routes.Engine, d *Decision) bool {
	models := slices.Clone(e.Models)
	slices.SortFunc(models, func(a, b routes.Model) int {
		fa := float64(have[a.Name]) / float64(targets[a.Name])
		fb := float64(have[b.Name]) / float64(targets[b.Name])
		return cmp.Or(cmp.Compare(fa, fb), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range models {
		if have[m.Name] >= targets[m.Name] {
			continue
		}
		domain, members := s.choose(free, m)
		if members == nil {
			continue
		}
		free[domain] = without(free[domain], members)
		lifetimes := make([]registry.Incarnation, 0, len(members))
		for _, srv := range members {
			lifetimes = append(lifetimes, srv.Incarnation())
		}
		g := NewGroup(s.nextID(), m.Name, lifetimes, now)
		s.groups[g.ID] = g
		s.domains[g.ID] = domain
		have[m.Name]++
		d.NewGroups = append(d.NewGroups, g)
		d.note(g, "planned in domain "+domain, now)
		return true
	}
	return false
}

// choose returns the domain and servers that a group of the model can be
// formed of the soonest. Once requests come, only servers that hold the
// weights are taken: the others are staged first, so that members that are
// ready don't wait for one that loads. Among equals, the domain with the
// fewest groups of the model comes first, then the one with most free servers.
func (s *Controller) choose(free map[string][]*registry.Server, m routes.Model) (string, []*registry.Server) {
	type option struct {
		domain  string
		members []*registry.Server
		cost    int
		groups  int
		left    int
	}
	var best *option
	for domain, servers := range free {
		ranked := slices.Clone(servers)
		slices.SortStableFunc(ranked, func(a, b *registry.Server) int {
			return joinCost(a, m.Name) - joinCost(b, m.Name)
		})
		if len(ranked) < m.GroupSize {
			continue
		}
		members := ranked[:m.GroupSize]
		o := &option{
			domain: domain, members: members, cost: joinCost(members[m.GroupSize-1], m.Name),
			groups: s.groupsIn(domain, m.Name), left: len(ranked),
		}
		if o.cost >= coldJoin && !s.lead {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(o.cost, best.cost), cmp.Compare(o.groups, best.groups),
			cmp.Compare(best.left, o.left), cmp.Compare(o.domain, best.domain)) < 0 {
			best = o
		}
	}
	if best == nil {
		return "", nil
	}
	return best.domain, best.members
}

// groupsIn counts the domain's groups of the model that serve or will.
func (s *Controller) groupsIn(domain, model string) int {
	n := 0
	for id, g := range s.groups {
		if g.Phase < Draining && g.Model == model && s.domains[id] == domain {
			n++
		}
	}
	return n
}

// coldJoin is the join cost from which on weights are loaded.
const coldJoin = 2

// joinCost ranks how long the server's join would take.
func joinCost(srv *registry.Server, model string) int {
	switch {
	case slices.Contains(srv.Loaded, model):
		return 0
	case slices.Contains(srv.Staged, model):
		return 1
	case len(srv.Staged) == 0:
		return coldJoin
	default:
		return coldJoin + 1
	}
}

func without(list, remove []*registry.Server) []*registry.Server {
	return slices.DeleteFunc(list, func(s *registry.Server) bool { return slices.Contains(remove, s) })
}
