package formation

import (
	"slices"
	"strings"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

// adoptUnrecorded takes over the groups that servers still lead although no record
// of them is left. The record is deleted when a leader without other members stays
// unreachable, which doesn't prove that it has stopped. Such a group is drained like
// any other that must end, and until then its members are not free.
func (c *Controller) adoptUnrecorded(now time.Time, v *registry.View, service string, d *Decision) {
	var leaders []*registry.Server
	for _, srv := range v.Servers {
		if srv.Zone == c.zone && srv.Service == service && srv.LeadsServingGroup() && c.groups[srv.Member.Group] == nil {
			leaders = append(leaders, srv)
		}
	}
	slices.SortFunc(leaders, compareIDs)
	for _, leader := range leaders {
		g := RestoreGroup(leader.Member.Group, leader.Member.Model, reportedMembers(v, leader), now)
		g.unrecorded = true
		c.groups[g.ID] = g
		c.transition(g, Draining, now, "its leader reports it, but it has no record", d)
	}
}

// reportedMembers returns the servers that report the leader's group, the leader
// first.
func reportedMembers(v *registry.View, leader *registry.Server) []registry.Incarnation {
	var others []*registry.Server
	for _, srv := range v.Servers {
		if srv != leader && srv.Member != nil && srv.Member.Group == leader.Member.Group {
			others = append(others, srv)
		}
	}
	slices.SortFunc(others, compareIDs)
	members := []registry.Incarnation{leader.Incarnation()}
	for _, srv := range others {
		members = append(members, srv.Incarnation())
	}
	return members
}

func compareIDs(a, b *registry.Server) int { return strings.Compare(a.ID, b.ID) }
