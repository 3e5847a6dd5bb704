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
func (s *Controller) plan(now time.Time, v *registry.View, service string, e *routes.Engine, contact func(string) ProbeResult, d *Decision) {
	free, alive := s.free(v, service, contact)
	targets := s.targets(e, alive)
	have := make(map[string]int)
	for _, g := range s.groups {
		if g.Phase < Draining {
			have[g.Model]++
		}
	}
	for s.formNext(now, free, targets, have, e, d) {
		continue
	}
	// The survivors of a group that ends are soon free, and warm.
	for _, g := range s.groups {
		if g.Phase == Draining || g.Phase == Ending {
			have[g.Model]++
		}
	}
	s.stage(now, v, free, lacking(targets, have), e, d)
}

// lacking returns how many groups of each model the zone lacks.
func lacking(targets, have map[string]int) map[string]int {
	lack := make(map[string]int)
	for model, n := range targets {
		if n > have[model] {
			lack[model] = n - have[model]
		}
	}
	return lack
}

// free returns the servers of the zone that may join a group, by domain, and
// how many servers of the zone could serve. A server may report a group that
// is not known: every group is recorded before its first order, and its record
// is dropped only once it can never serve again.
func (s *Controller) free(v *registry.View, service string, contact func(string) ProbeResult) (map[string][]*registry.Server, int) {
	free := make(map[string][]*registry.Server)
	alive := 0
	bound := make(map[registry.Incarnation]bool)
	for _, g := range s.groups {
		if g.Phase == Ended {
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
		if bound[srv.Incarnation()] {
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
func (s *Controller) targets(e *routes.Engine, alive int) map[string]int {
	targets := make(map[string]int, len(e.Models))
	total := 0.0
	for _, m := range e.Models {
		total += m.InitialShare
	}
	usable := float64(alive) * (1 - spareShare)
	for _, m := range e.Models {
		share := m.InitialShare / max(total, math.SmallestNonzeroFloat64)
		targets[m.Name] = max(int(math.Round(usable*share/float64(max(m.GroupSize, 1)))), 1)
	}
	return targets
}
