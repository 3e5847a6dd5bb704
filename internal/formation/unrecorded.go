package formation

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

// adoptUnrecorded takes over the groups that servers still lead although no record
// of them is left. The record is deleted when a leader without other members stays
// unreachable, which doesn't prove that it has stopped. Such a group is drained like
// any other that must end, and until then its members are not free.
func (c *Controller) adoptUnrecorded(now time.Time, v *registry.View, service string, d *Decision) {
	for _, id := range slices.Sorted(maps.Keys(v.Servers)) {
		leader := v.Servers[id]
		if leader.Zone != c.zone || leader.Service != service || !leader.LeadsServingGroup() || c.groups[leader.Member.Group] != nil {
			continue
		}
		g := RestoreGroup(leader.Member.Group, leader.Member.Model, reportedMembers(v, leader), now)
		g.unrecorded = true
		c.groups[g.ID] = g
		c.transition(g, Draining, now, "its leader reports it, but it has no record", d)
	}
}

// reportedMembers returns the servers that report the leader's group, the leader
// first.
func reportedMembers(v *registry.View, leader *registry.Server) []registry.Incarnation {
	members := []registry.Incarnation{leader.Incarnation()}
	for _, id := range slices.Sorted(maps.Keys(v.Servers)) {
		srv := v.Servers[id]
		if srv != leader && srv.Member != nil && srv.Member.Group == leader.Member.Group {
			members = append(members, srv.Incarnation())
		}
	}
	return members
}
