package grouping

import (
	"sort"

	"github.com/hibiscuspulley/hibiscuspulley/internal/membership"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

// View is a snapshot of a zone, as last read from the platform.
type View struct {
	Zone        string
	Groups      map[string]GroupRow
	Assignments map[string]AssignmentRow
	Instances   map[string]platform.Instance
	// Sessions holds the session rows of all zones, keyed by entry. The rows of
	// other zones may be older than those of the own zone.
	Sessions map[string]membership.Row
}

// Usable reports whether an instance may join a group.
type Usable func(instance string) bool

// Domains returns the zone's fabric domains, sorted by name, with their free and
// usable instances. The domains' SameService counts refer to service.
func (v View) Domains(service string, usable Usable) []Domain {
	byName := make(map[string]*Domain)
	for _, i := range v.engines() {
		d := byName[i.FabricDomain]
		if d == nil {
			d = &Domain{Name: i.FabricDomain}
			byName[i.FabricDomain] = d
		}
		if v.Assignments[i.Name].Free() && !i.Leaving && usable(i.Name) {
			d.Free = append(d.Free, i)
		}
	}
	for _, g := range v.Groups {
		d := byName[g.Domain]
		if d == nil {
			continue
		}
		d.Groups++
		if g.Service == service {
			d.SameService++
		}
	}
	return sortDomains(byName)
}

// engines returns the zone's model engine instances, sorted by name.
func (v View) engines() []platform.Instance {
	var engines []platform.Instance
	for _, i := range v.Instances {
		if i.Zone == v.Zone && i.Service == "" {
			engines = append(engines, i)
		}
	}
	sort.Slice(engines, func(a, b int) bool { return engines[a].Name < engines[b].Name })
	return engines
}

func sortDomains(byName map[string]*Domain) []Domain {
	domains := make([]Domain, 0, len(byName))
	for _, d := range byName {
		domains = append(domains, *d)
	}
	sort.Slice(domains, func(i, j int) bool { return domains[i].Name < domains[j].Name })
	return domains
}

// Claimable reports whether another entry may claim the group, because the
// owner's session has ended or has no row. A later session of the same entry
// opens only after the owner's session has ended, so it makes the group claimable
// too.
func (v View) Claimable(g Group) bool {
	session, found := v.Sessions[g.Owner.Entry]
	if !found {
		return true
	}
	return session.Epoch > g.Owner.Epoch || session.State != membership.Live
}

// LiveEntries returns the zone's entries with live sessions, sorted by name.
func (v View) LiveEntries() []string {
	var entries []string
	for name, session := range v.Sessions {
		if session.Zone == v.Zone && session.State == membership.Live {
			entries = append(entries, name)
		}
	}
	sort.Strings(entries)
	return entries
}
