package grouping

import (
	"sort"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

// Domain describes one fabric domain for the placement of groups.
type Domain struct {
	Name string
	// Free lists the instances that can join a group.
	Free []platform.Instance
	// Groups is the number of groups in the domain.
	Groups int
	// SameService is the number of groups of the service to place.
	SameService int
}

// PlacementWeights holds the costs by which NewPlanner's Planner compares
// domains. A member of the consortium sets them.
type PlacementWeights struct {
	// Downtime is the cost per missing spare.
	Downtime float64
	// Stranded is the cost per instance that no group can use, divided by the
	// group size.
	Stranded float64
	// SparesPerDomain is the number of free instances to keep in a domain with groups.
	SparesPerDomain int
}

// Planner chooses the instances of a new group.
type Planner struct {
	// ChooseDomain returns the index of the best domain for a group of size
	// instances. It gets at least one domain, sorted by name, and each of them
	// has enough free instances.
	ChooseDomain func(size int, domains []Domain) int
}

// sameServiceCost is the cost of each group of the same service in a domain, as
// a fraction of Downtime. It spreads the groups of a service, because a domain
// can fail as a whole.
const sameServiceCost = 0.25

// NewPlanner returns a Planner that chooses the domain with the lowest cost of
// expected downtime and stranded instances; at equal costs, the first by name.
func NewPlanner(w PlacementWeights) Planner {
	return Planner{ChooseDomain: func(size int, domains []Domain) int {
		best, bestCost := 0, 0.0
		for i, d := range domains {
			cost := w.cost(size, d)
			if i == 0 || cost < bestCost {
				best, bestCost = i, cost
			}
		}
		return best
	}}
}

// cost returns the cost of placing a group of the given size in the domain. It
// panics if size is 0.
func (w PlacementWeights) cost(size int, d Domain) float64 {
	left := len(d.Free) - size
	missingSpares := max(0, w.SparesPerDomain-left)
	unused := max(0, left-w.SparesPerDomain) % size
	cost := w.Downtime * float64(missingSpares)
	cost += w.Downtime * sameServiceCost * float64(d.SameService)
	cost += w.Stranded * float64(unused) / float64(size)
	return cost
}

// SelectInstances selects size free instances of one domain for a new group. It
// returns false if no domain has enough free instances. size must be at least 1.
func (p Planner) SelectInstances(size int, domains []Domain) ([]platform.Instance, bool) {
	var candidates []Domain
	for _, d := range domains {
		if len(d.Free) >= size {
			candidates = append(candidates, d)
		}
	}
	if len(candidates) == 0 {
		return nil, false
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].Name < candidates[j].Name })
	chosen := candidates[p.ChooseDomain(size, candidates)]
	return chosen.Free[:size], true
}

// ReplaceMembers returns the members of a group, ordered by rank, with free
// instances in place of the missing ones. The free instances must be of the
// group's domain. ReplaceMembers returns false if there are too few.
func ReplaceMembers(g Group, missing []string, free []platform.Instance) ([]Member, bool) {
	isMissing := make(map[string]bool, len(missing))
	for _, instance := range missing {
		isMissing[instance] = true
	}
	members := make([]Member, 0, len(g.Members))
	for _, m := range g.Members {
		if !isMissing[m.Instance] {
			members = append(members, m)
			continue
		}
		if len(free) == 0 {
			return nil, false
		}
		members = append(members, MemberOf(free[0]))
		free = free[1:]
	}
	return members, true
}

// MemberOf returns the group member for an instance.
func MemberOf(i platform.Instance) Member {
	return Member{Instance: i.Name, Address: i.Address, ChecksFencing: i.ChecksFencing}
}
