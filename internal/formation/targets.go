package formation

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

// minDomainSpares is the least number of spares of a domain with groups. The loss of a
// group's member must not wait for a load.
const minDomainSpares = 2

// zoneState is the number of servers that groups can be formed of.
type zoneState struct {
	models []routes.Model
	// alive holds the living servers of each domain, with those that may come back,
	// and free the living ones that are in no group that serves or is being formed.
	// Servers of groups that end are free, although they can join only later.
	alive, free map[string]int
	domains     []string
	// spares is the number of servers of the zone to keep out of groups, and
	// domainSpares the number in each domain.
	spares, domainSpares int
}

func (c *Controller) newZoneState(now time.Time, v *registry.View, service string, e *routes.Engine, probe func(string) ProbeResult) *zoneState {
	s := &zoneState{models: largestGroupsFirst(e.Models), alive: make(map[string]int), free: make(map[string]int)}
	grouped := make(map[registry.Incarnation]bool)
	used := make(map[string]bool)
	for id, g := range c.groups {
		if g.Phase >= Draining {
			continue
		}
		used[c.domains[id]] = true
		for _, m := range g.Members {
			grouped[m] = true
		}
	}
	total := 0
	for _, srv := range v.Servers {
		if p := probe(srv.ID); srv.Zone != c.zone || srv.Service != service || srv.Leaving || p.Refused || !p.FailingSince.IsZero() {
			continue
		}
		total++
		s.alive[srv.Domain]++
		if !grouped[srv.Incarnation()] {
			s.free[srv.Domain]++
		}
	}
	for domain, n := range c.planner.losses.returning(now) {
		s.alive[domain] += n
	}
	s.domains = slices.Sorted(maps.Keys(s.alive))
	most := int(spareFraction * float64(total))
	s.spares = min(max(c.planner.losses.expected(), minDomainSpares*len(used)), most)
	s.domainSpares = min(minDomainSpares, s.spares/max(len(used), 1))
	return s
}

// idle returns the number of servers in no group.
func (s *zoneState) idle() int {
	n := 0
	for _, free := range s.free {
		n += free
	}
	return n
}

// targets returns how many groups of each model the zone should have: at least one of
// each as far as there are servers, and otherwise as many that the same part of each
// model's demand is met.
func (s *zoneState) targets(needed map[string]float64) map[string]int {
	total, smallest := -s.spares, math.MaxInt
	for _, n := range s.alive {
		total += n
	}
	for _, m := range s.models {
		smallest = min(smallest, max(m.GroupSize, 1))
	}
	room := make(map[string]int, len(s.alive))
	for domain, n := range s.alive {
		if room[domain] = n; n > smallest {
			room[domain] = max(n-s.domainSpares, smallest)
		}
	}
	targets := make(map[string]int, len(s.models))
	fits := func(m routes.Model) bool {
		targets[m.Name]++
		defer func() { targets[m.Name]-- }()
		servers := 0
		for _, other := range s.models {
			servers += targets[other.Name] * other.GroupSize
		}
		return servers <= max(total, smallest) && s.pack(targets, room)
	}
	for m := s.mostNeeded(targets, needed, fits); m != nil; m = s.mostNeeded(targets, needed, fits) {
		targets[m.Name]++
	}
	return targets
}

// mostNeeded returns the model with the smallest part of its demand met, of those that
// are allowed, or nil. A model without groups comes before those with groups.
func (s *zoneState) mostNeeded(counts map[string]int, needed map[string]float64, allowed func(routes.Model) bool) *routes.Model {
	var best *routes.Model
	compare := func(a, b *routes.Model) int {
		met := func(m *routes.Model) float64 { return float64(counts[m.Name]) / needed[m.Name] }
		switch {
		case (counts[a.Name] == 0) != (counts[b.Name] == 0):
			return cmp.Compare(min(counts[a.Name], 1), min(counts[b.Name], 1))
		case counts[a.Name] == 0:
			return cmp.Compare(needed[b.Name], needed[a.Name])
		default:
			return cmp.Compare(met(a), met(b))
		}
	}
	for i := range s.models {
		m := &s.models[i]
		if m.GroupSize < 1 || (needed[m.Name] <= 0 && counts[m.Name] > 0) || !allowed(*m) {
			continue
		}
		if best == nil || compare(m, best) < 0 {
			best = m
		}
	}
	return best
}

// pack reports whether the groups fit into the domains. The largest groups are packed
// first: if smaller sizes divide larger ones, that leaves over as few servers as
// possible.
func (s *zoneState) pack(counts, room map[string]int) bool {
	left := maps.Clone(room)
	for _, m := range s.models {
		n := counts[m.Name]
		for _, domain := range s.domains {
			k := min(n, left[domain]/max(m.GroupSize, 1))
			left[domain] -= k * m.GroupSize
			n -= k
		}
		if n > 0 {
			return false
		}
	}
	return true
}

// goals returns how many groups of each model the zone can have without giving up one:
// those that it has, those that are formed again after a loss, and further ones as
// long as enough spares are left. Unless the demand is settled, there are no more than
// it calls for. It takes the servers of the new groups out of s.free.
func (s *zoneState) goals(plan *demandPlan, lost map[string]int, settled bool) map[string]int {
	goals := make(map[string]int, len(s.models))
	maps.Copy(goals, plan.existing)
	for _, m := range s.models {
		for range lost[m.Name] {
			if goals[m.Name] < plan.targets[m.Name] {
				goals[m.Name]++
				s.take(s.roomiest(), m.GroupSize)
			}
		}
	}
	limit := func(m routes.Model) int {
		if settled {
			return plan.targets[m.Name]
		}
		return min(plan.targets[m.Name], int(math.Ceil(plan.needed[m.Name])))
	}
	allowed := func(m routes.Model) bool {
		if goals[m.Name] == 0 {
			return plan.targets[m.Name] > 0 && s.free[s.roomiest()] >= m.GroupSize
		}
		_, found := s.growthDomain(m)
		return found && goals[m.Name] < limit(m)
	}
	for m := s.mostNeeded(goals, plan.needed, allowed); m != nil; m = s.mostNeeded(goals, plan.needed, allowed) {
		goals[m.Name]++
		domain, found := s.growthDomain(*m)
		if !found {
			domain = s.roomiest()
		}
		s.take(domain, m.GroupSize)
	}
	return goals
}

// roomiest returns the domain with the most free servers.
func (s *zoneState) roomiest() string {
	best := ""
	for i, domain := range s.domains {
		if i == 0 || s.free[domain] > s.free[best] {
			best = domain
		}
	}
	return best
}

// growthDomain returns the domain with the fewest free servers that has enough for a
// group of the model and the spares.
func (s *zoneState) growthDomain(m routes.Model) (string, bool) {
	best, found := "", false
	for _, domain := range s.domains {
		if s.extra(domain, 0) >= m.GroupSize && (!found || s.free[domain] < s.free[best]) {
			best, found = domain, true
		}
	}
	return best, found
}

// extra returns how many free servers of the domain would not be needed as spares if
// some more were free.
func (s *zoneState) extra(domain string, more int) int {
	return max(min(s.free[domain]+more-s.domainSpares, s.idle()+more-s.spares), 0)
}

func (s *zoneState) take(domain string, servers int) {
	s.free[domain] = max(s.free[domain]-servers, 0)
}
