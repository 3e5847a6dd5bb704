package formation

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

// spareShare is the part of a zone's servers that is kept out of groups, staged
// for repairs: a warm join takes a tenth of a load.
const spareShare = 0.2

// plan forms groups from free servers and stages weights on spares.
func (s *Steward) plan(now time.Time, v *registry.View, service string, e *routes.Engine, contact func(string) Contact, d *Decision) {
	free, alive := s.free(now, v, service, contact)
	targets := s.targets(e, alive)
	have := make(map[string]int)
	for _, g := range s.groups {
		if g.Phase < Draining {
			have[g.Model]++
		}
	}
	for s.formNext(now, v, free, targets, have, e, d) {
		continue
	}
	s.stage(now, v, free, e, d)
}

// free returns the servers of the zone that may join a group, by domain, and
// how many servers of the zone could serve. A server may report a group that
// is not known: every group is recorded before its first order, and its record
// is dropped only once it can never serve again.
func (s *Steward) free(now time.Time, v *registry.View, service string, contact func(string) Contact) (map[string][]*registry.Server, int) {
	free := make(map[string][]*registry.Server)
	alive := 0
	bound := make(map[registry.Lifetime]bool)
	for _, g := range s.groups {
		if g.Phase == Over {
			continue
		}
		for _, l := range g.Members {
			bound[l] = true
		}
	}
	for _, srv := range v.Servers {
		if srv.Zone != s.zone || srv.Service != service || srv.Leaving {
			continue
		}
		if c := contact(srv.ID); c.Refused || !c.FailingSince.IsZero() {
			continue
		}
		alive++
		if bound[srv.Lifetime()] {
			continue
		}
		free[srv.Domain] = append(free[srv.Domain], srv)
	}
	for _, list := range free {
		slices.SortFunc(list, func(a, b *registry.Server) int { return strings.Compare(a.ID, b.ID) })
	}
	return free, alive
}

// targets returns how many groups of each model the zone should have.
func (s *Steward) targets(e *routes.Engine, alive int) map[string]int {
	targets := make(map[string]int, len(e.Models))
	total := 0.0
	for _, m := range e.Models {
		total += m.Share
	}
	usable := float64(alive) * (1 - spareShare)
	for _, m := range e.Models {
		share := m.Share / max(total, math.SmallestNonzeroFloat64)
		targets[m.Name] = max(int(math.Round(usable*share/float64(max(m.GroupSize, 1)))), 1)
	}
	return targets
}

// formNext plans the group that is missed most, if a domain has the servers.
func (s *Steward) formNext(now time.Time, v *registry.View, free map[string][]*registry.Server, targets, have map[string]int, e *routes.Engine, d *Decision) bool {
	models := slices.Clone(e.Models)
	slices.SortFunc(models, func(a, b routes.Model) int {
		fa := float64(have[a.Name]) / float64(targets[a.Name])
		fb := float64(have[b.Name]) / float64(targets[b.Name])
		switch {
		case fa < fb:
			return -1
		case fa > fb:
			return 1
		default:
			return strings.Compare(a.Name, b.Name)
		}
	})
	for _, m := range models {
		if have[m.Name] >= targets[m.Name] {
			continue
		}
		domain, members := s.choose(free, m, v)
		if members == nil {
			continue
		}
		free[domain] = without(free[domain], members)
		lifetimes := make([]registry.Lifetime, 0, len(members))
		for _, srv := range members {
			lifetimes = append(lifetimes, srv.Lifetime())
		}
		g := NewGroup(s.nextID(), m.Name, lifetimes, now)
		s.groups[g.ID] = g
		have[m.Name]++
		d.Record = append(d.Record, g)
		d.note(g, "planned in domain "+domain, now)
		return true
	}
	return false
}

// choose returns the domain and servers that a group of the model can be
// formed of the soonest.
func (s *Steward) choose(free map[string][]*registry.Server, m routes.Model, v *registry.View) (string, []*registry.Server) {
	bestDomain, bestCost := "", math.MaxInt
	var best []*registry.Server
	for domain, servers := range free {
		if len(servers) < m.GroupSize {
			continue
		}
		ranked := slices.Clone(servers)
		slices.SortStableFunc(ranked, func(a, b *registry.Server) int {
			return s.joinCost(a, m.Name) - s.joinCost(b, m.Name)
		})
		members := ranked[:m.GroupSize]
		if s.joinCost(members[m.GroupSize-1], m.Name) >= coldJoin && s.soonFree(domain, m.Name, v) {
			continue
		}
		// The slowest member decides when the group is ready; a domain with
		// more free servers is left with more spares.
		cost := s.joinCost(members[m.GroupSize-1], m.Name)*1000 - len(servers)
		if cost < bestCost || (cost == bestCost && domain < bestDomain) {
			bestDomain, bestCost, best = domain, cost, members
		}
	}
	return bestDomain, best
}

// soonFree reports whether a group of the model is about to end in the domain:
// its members are warm, and free long before a load would be over.
func (s *Steward) soonFree(domain, model string, v *registry.View) bool {
	for _, g := range s.groups {
		if g.Model != model || (g.Phase != Draining && g.Phase != Ending) {
			continue
		}
		for _, l := range g.Members {
			if srv := v.Servers[l.ID]; srv != nil && srv.Domain == domain {
				return true
			}
		}
	}
	return false
}

// coldJoin is the join cost from which on weights are loaded.
const coldJoin = 2

// joinCost ranks how long the server's join would take.
func (s *Steward) joinCost(srv *registry.Server, model string) int {
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

// stage loads weights onto spares that have none, in proportion to the models'
// group sizes: the more members a group has, the more often it loses one, and
// the survivors of two small groups can make up a new one.
func (s *Steward) stage(now time.Time, v *registry.View, free map[string][]*registry.Server, e *routes.Engine, d *Decision) {
	for _, servers := range free {
		staged := make(map[string]int)
		for _, srv := range servers {
			for _, m := range e.Models {
				if !s.needsLoad(srv, m.Name) || s.staging(srv, m.Name) {
					staged[m.Name]++
				}
			}
		}
		for _, srv := range servers {
			if len(srv.Staged) > 0 || len(srv.Loaded) > 0 || s.stagingAny(srv, e) || len(e.Models) == 0 {
				continue
			}
			model := slices.MinFunc(e.Models, func(a, b routes.Model) int {
				return staged[a.Name]*b.GroupSize - staged[b.Name]*a.GroupSize
			})
			if !s.loads.take(now, e, s.zones, s.loading(v, now), s.lead) {
				return
			}
			staged[model.Name]++
			s.order(now, srv.Lifetime(), Order{Operation: Stage, Model: model.Name}, d)
		}
	}
}

func (s *Steward) staging(srv *registry.Server, model string) bool {
	_, found := s.sent[orderKey{server: srv.Lifetime(), operation: Stage, model: model}]
	return found
}

func (s *Steward) stagingAny(srv *registry.Server, e *routes.Engine) bool {
	for _, m := range e.Models {
		if s.staging(srv, m.Name) {
			return true
		}
	}
	return false
}
