package formation

import (
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

// Phase is where a group stands in its life.
type Phase int

const (
	// Planned groups are not recorded in the store yet; no order was given.
	Planned Phase = iota
	// Forming groups wait for their members to be ready; no open was ordered.
	Forming
	// Serving groups have been ordered to open.
	Serving
	// Draining groups were ordered to close: their requests finish.
	Draining
	// Ending groups wait for their leader to leave.
	Ending
	// Over means that the group can never serve again.
	Ended
)

// String returns the phase's name in log lines.
func (p Phase) String() string {
	return [...]string{"planned", "forming", "serving", "draining", "ending", "over"}[p]
}

// Group is one replica group. Its members never change.
type Group struct {
	ID    registry.GroupID
	Model string
	// Members are server lifetimes; the first one leads.
	Members []registry.Incarnation
	Phase   Phase
	// Since is when the group entered its phase.
	Since time.Time
	// wasReady holds the members that have reported ready under this ID.
	wasReady map[registry.Incarnation]bool
	// mayOpen says that an open may have been ordered, by this steward or by an
	// earlier one: the leader can open until it has left.
	mayOpen bool
	// lacksSince is when a member other than the leader was first known to be
	// out of the group for good; zero if none is.
	lacksSince time.Time
	// openedAt is when an open was last ordered, or may have been by an earlier
	// steward.
	openedAt time.Time
	// Reason says why the group ends.
	Reason string
}

// NewGroup returns a planned group.
func NewGroup(id registry.GroupID, model string, members []registry.Incarnation, now time.Time) *Group {
	return &Group{
		ID: id, Model: model, Members: members, Since: now,
		wasReady: make(map[registry.Incarnation]bool, len(members)),
	}
}

// RestoreGroup returns a group that an earlier steward formed. It may have been
// ordered to open.
func RestoreGroup(id registry.GroupID, model string, members []registry.Incarnation, now time.Time) *Group {
	g := NewGroup(id, model, members, now)
	g.Phase, g.mayOpen, g.openedAt = Forming, true, now
	return g
}

func (g *Group) lacksMember(now time.Time) {
	if g.lacksSince.IsZero() {
		g.lacksSince = now
	}
}

func (g *Group) leader() registry.Incarnation { return g.Members[0] }

func (g *Group) memberIDs() []string {
	ids := make([]string, 0, len(g.Members))
	for _, m := range g.Members {
		ids = append(ids, m.ID)
	}
	return ids
}

func (g *Group) enter(p Phase, now time.Time, reason string) {
	g.Phase, g.Since = p, now
	if reason != "" {
		g.Reason = reason
	}
}

// allReady reports whether every member is ready under the group's ID now and
// none is leaving.
func (g *Group) allReady(v *registry.View) bool {
	for _, l := range g.Members {
		s := v.Servers[l.ID]
		if standing(g, l, s) != inGroup || s.Leaving || s.Member.State == registry.Joining {
			return false
		}
	}
	return true
}

// place is a member's standing towards its group.
type place int

const (
	// inGroup members report the group.
	inGroup place = iota
	// outside members live and report another group or none.
	outside
	// ended lifetimes are over: the server started anew.
	ended
	// missing members have no entry.
	missing
)

func standing(g *Group, l registry.Incarnation, s *registry.Server) place {
	switch {
	case s == nil:
		return missing
	case s.StartTime != l.StartTime:
		return ended
	case s.Member != nil && s.Member.Group == g.ID:
		return inGroup
	default:
		return outside
	}
}
