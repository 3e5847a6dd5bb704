package formation

import (
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

// Phase is a stage in the lifecycle of a group.
type Phase int

const (
	// Planned groups are not recorded in the store yet and have received no
	// orders.
	Planned Phase = iota
	// Forming groups wait for their members to become ready. No open has been
	// ordered.
	Forming
	// Serving groups have been ordered to open.
	Serving
	// Draining groups have been ordered to close and finish their in-flight
	// requests.
	Draining
	// Ending groups wait for their leader to leave.
	Ending
	// Ended groups can never serve again.
	Ended
)

// String returns the name of the phase as it appears in log lines.
func (p Phase) String() string {
	return [...]string{"planned", "forming", "serving", "draining", "ending", "over"}[p]
}

// Group is a replica group. Its members never change.
type Group struct {
	ID    registry.GroupID
	Model string
	// Members lists the server incarnations of the group, the leader first.
	Members []registry.Incarnation
	Phase   Phase
	// Since is when the group entered its phase.
	Since time.Time
	// hasJoined holds the members that have reported ready in this group.
	hasJoined map[registry.Incarnation]bool
	// mayOpen reports that an open may have been ordered, by this controller or an
	// earlier one. The leader can then open at any time until it has left.
	mayOpen bool
	// incompleteSince is when a member other than the leader was first known to
	// have left for good. It is zero if there is none.
	incompleteSince time.Time
	// openOrderedAt is when an open was last ordered. For a restored group it is
	// the time of the restore, because the earlier controller may have ordered one.
	openOrderedAt time.Time
	// openSeen reports that the leader was seen open before this controller
	// ordered it to close. Without a close, an open order that arrives late has no
	// effect on it. closeOrdered reports that a close was ordered.
	openSeen     bool
	closeOrdered bool
	// missingSince is when a member was first seen without a record. It is zero
	// while all members have one.
	missingSince time.Time
	// absence describes the members without a record while such groups are kept.
	absence absence
	// leaveOrdered is set once a member was ordered to leave.
	leaveOrdered bool
	// unrecorded is set if the store has no record of the group.
	unrecorded bool
	// Reason is why the group last changed its phase, for example why it ends.
	Reason string
}

// NewGroup returns a group in the Planned phase.
func NewGroup(id registry.GroupID, model string, members []registry.Incarnation, now time.Time) *Group {
	return &Group{
		ID: id, Model: model, Members: members, Since: now,
		hasJoined: make(map[registry.Incarnation]bool, len(members)),
	}
}

// RestoreGroup returns a group that an earlier controller formed. It assumes
// that the leader may have been ordered to open.
func RestoreGroup(id registry.GroupID, model string, members []registry.Incarnation, now time.Time) *Group {
	g := NewGroup(id, model, members, now)
	g.Phase, g.mayOpen, g.openOrderedAt = Forming, true, now
	return g
}

func (g *Group) markIncomplete(now time.Time) {
	if g.incompleteSince.IsZero() {
		g.incompleteSince = now
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

func (g *Group) setPhase(p Phase, now time.Time, reason string) {
	g.Phase, g.Since = p, now
	if reason != "" {
		g.Reason = reason
	}
}

// allReady reports whether every member is ready in this group and none is
// leaving.
func (g *Group) allReady(v *registry.View) bool {
	for _, m := range g.Members {
		s := v.Servers[m.ID]
		if statusOf(g, m, s) != memberInGroup || s.Leaving || s.Member.State == registry.Joining {
			return false
		}
	}
	return true
}

// memberStatus is the state of a member with respect to its group.
type memberStatus int

const (
	// memberInGroup means that the server reports this group.
	memberInGroup memberStatus = iota
	// memberOutside means that the server runs and reports another group or none.
	memberOutside
	// memberRestarted means that the server has restarted, which ended the
	// member's incarnation.
	memberRestarted
	// memberMissing means that the server has no record.
	memberMissing
)

func statusOf(g *Group, m registry.Incarnation, s *registry.Server) memberStatus {
	switch {
	case s == nil:
		return memberMissing
	case s.StartTime != m.StartTime:
		return memberRestarted
	case s.Member != nil && s.Member.Group == g.ID:
		return memberInGroup
	default:
		return memberOutside
	}
}
