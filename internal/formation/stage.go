package formation

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

// stage loads weights onto free servers: first those that a missing group
// needs, in the domain where the fewest loads complete it, then spares for
// what each domain's groups may lose.
func (s *Controller) stage(now time.Time, v *registry.View, free map[string][]*registry.Server, lack map[string]int, e *routes.Engine, d *Decision) {
	idle := make(map[string][]*registry.Server, len(free))
	for domain, servers := range free {
		idle[domain] = slices.Clone(servers)
	}
	for _, m := range bySize(e.Models) {
		for range lack[m.Name] {
			if !s.stageGroup(now, v, idle, lack, m, e, d) {
				break
			}
		}
	}
	for domain, servers := range idle {
		s.stageSpares(now, v, domain, servers, e, d)
	}
}

// bySize returns the models whose groups are larger first: they lose members
// more often, and two small groups that lost one can make up a new one.
func bySize(models []routes.Model) []routes.Model {
	sorted := slices.Clone(models)
	slices.SortFunc(sorted, func(a, b routes.Model) int {
		return cmp.Or(cmp.Compare(b.GroupSize, a.GroupSize), cmp.Compare(a.Name, b.Name))
	})
	return sorted
}

// stageGroup stages what the best domain lacks for a group of the model, and
// sets its servers aside. It returns false where no domain has the servers.
func (s *Controller) stageGroup(now time.Time, v *registry.View, idle map[string][]*registry.Server, lack map[string]int, m routes.Model, e *routes.Engine, d *Decision) bool {
	bestDomain, bestLoads := "", m.GroupSize+1
	var best []*registry.Server
	for domain, servers := range idle {
		members, loads := s.nearest(servers, lack, m)
		if members != nil && (loads < bestLoads || (loads == bestLoads && domain < bestDomain)) {
			bestDomain, bestLoads, best = domain, loads, members
		}
	}
	if best == nil {
		return false
	}
	idle[bestDomain] = without(idle[bestDomain], best)
	for _, srv := range best {
		if joinCost(srv, m.Name) >= coldJoin {
			s.stageOne(now, v, srv, m.Name, e, d)
		}
	}
	return true
}

// nearest returns the servers that would make up a group with the fewest
// loads. Servers that hold the weights of another missing model are left out.
func (s *Controller) nearest(servers []*registry.Server, lack map[string]int, m routes.Model) ([]*registry.Server, int) {
	rank := func(srv *registry.Server) int {
		pending, staging := s.staging(srv)
		switch {
		case joinCost(srv, m.Name) < coldJoin:
			return 0
		case staging && pending == m.Name:
			return 1
		case staging:
			return 4
		case len(srv.Staged) == 0:
			return 2
		case lack[srv.Staged[0]] > 0:
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

// stageSpares loads weights onto a domain's spares that have none.
func (s *Controller) stageSpares(now time.Time, v *registry.View, domain string, servers []*registry.Server, e *routes.Engine, d *Decision) {
	spares := make(map[string]int)
	var empty []*registry.Server
	for _, srv := range servers {
		pending, staging := s.staging(srv)
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
		for _, m := range bySize(e.Models) {
			members := float64(s.groupsIn(domain, m.Name)*m.GroupSize) + 0.5
			if need := members / float64(1+spares[m.Name]); need > bestNeed {
				best, bestNeed = m.Name, need
			}
		}
		if best == "" || !s.stageOne(now, v, srv, best, e, d) {
			return
		}
		spares[best]++
	}
}

// stageOne orders one load, if the weight store bears it now.
func (s *Controller) stageOne(now time.Time, v *registry.View, srv *registry.Server, model string, e *routes.Engine, d *Decision) bool {
	if _, staging := s.staging(srv); staging {
		return true
	}
	if !s.loads.take(now, e, s.zones, s.loading(v, now), s.lead) {
		return false
	}
	s.order(now, srv.Incarnation(), Order{Operation: Stage, Model: model}, d)
	return true
}

// staging returns the model that the server was told to stage and does not
// hold yet.
func (s *Controller) staging(srv *registry.Server) (string, bool) {
	for key := range s.sent {
		if key.server == srv.Incarnation() && key.operation == Stage && !slices.Contains(srv.Staged, key.model) &&
			!s.stagingOver(key) {
			return key.model, true
		}
	}
	return "", false
}

// stagingOver reports whether a stage order has had its time.
func (s *Controller) stagingOver(key orderKey) bool {
	sent := s.sent[key]
	limit := formingTimeout
	if sent.outcome != Begun {
		limit = resendAfter
	}
	return s.now.Sub(sent.at) > limit
}
