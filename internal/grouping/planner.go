package grouping

import (
	"sort"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

// Domain is what the planner knows of one fabric domain.
type Domain struct {
	Name string
	// Free lists the instances that can join a group.
	Free []platform.Instance
	// Groups counts the groups that live in the domain.
	Groups int
	// SameService counts those of the service being planned for.
	SameService int
}

// Weights say what a member of the consortium minds more.
type Weights struct {
	// Downtime is the cost of one missing spare.
	Downtime float64
	// Stranded is the cost of one instance that no group can use.
	Stranded float64
	// Spares is how many spares a domain with groups should keep.
	Spares int
}

// Planner chooses the instances of a new group.
type Planner struct {
	// Choose returns the place of the best domain among those that have
	// enough free instances.
	Choose func(size int, domains []Domain) int
}

// spreadCost is the cost, as a share of a missing spare, of placing another
// group of a service into a domain that may go dark as a whole.
const spreadCost = 0.25

// NewPlanner returns a Planner that weighs expected downtime against stranded
// instances.
func NewPlanner(w Weights) Planner {
	return Planner{Choose: func(size int, domains []Domain) int {
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

// cost returns what placing a group of size in the domain costs.
func (w Weights) cost(size int, d Domain) float64 {
	left := len(d.Free) - size
	missingSpares := max(0, w.Spares-left)
	unused := max(0, left-w.Spares) % size
	cost := w.Downtime * float64(missingSpares)
	cost += w.Downtime * spreadCost * float64(d.SameService)
	cost += w.Stranded * float64(unused) / float64(size)
	return cost
}

// Form returns the instances of a new group of size, all of one domain, or
// false where no domain has enough.
func (p Planner) Form(size int, domains []Domain) ([]platform.Instance, bool) {
	var able []Domain
	for _, d := range domains {
		if len(d.Free) >= size {
			able = append(able, d)
		}
	}
	if len(able) == 0 {
		return nil, false
	}
	sort.Slice(able, func(i, j int) bool { return able[i].Name < able[j].Name })
	chosen := able[p.Choose(size, able)]
	return chosen.Free[:size], true
}

// Replace returns the members of a group after the missing ones were replaced
// by free instances of the same domain, by rank, or false where the domain
// has too few.
func Replace(g Group, missing []string, free []platform.Instance) ([]Member, bool) {
	gone := make(map[string]bool, len(missing))
	for _, instance := range missing {
		gone[instance] = true
	}
	members := make([]Member, 0, len(g.Members))
	for _, m := range g.Members {
		if !gone[m.Instance] {
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

// MemberOf returns the member that an instance becomes.
func MemberOf(i platform.Instance) Member {
	return Member{Instance: i.Name, Address: i.Address, ChecksFencing: i.ChecksFencing}
}
