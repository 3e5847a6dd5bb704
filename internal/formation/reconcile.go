package formation

import (
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

// reconcileGroup advances the phase of a group and issues its next orders.
func (c *Controller) reconcileGroup(g *Group, now time.Time, v *registry.View, e *routes.Engine, probe func(string) ProbeResult, d *Decision) {
	for _, m := range g.Members {
		srv := v.Servers[m.ID]
		if statusOf(g, m, srv) == memberInGroup && srv.Member.State != registry.Joining {
			g.hasJoined[m] = true
			g.openSeen = g.openSeen || (!g.closeOrdered && m == g.leader() && srv.Member.State == registry.Open)
		}
	}
	c.observeAbsence(g, now, v, probe, d)
	switch g.Phase {
	case Planned, Ended:
	case Forming:
		c.reconcileForming(g, now, v, e, probe, d)
	case Serving:
		c.reconcileServing(g, now, v, e, probe, d)
	case Draining, Ending:
		c.reconcileEnding(g, now, v, probe, d)
	}
}

// endCause is the reason why a group must end.
type endCause struct {
	reason string
	// graceful causes leave time for in-flight requests to finish.
	graceful bool
	// missing causes are that a member has no record but may run. recordsOnly ones
	// have no other evidence against the member.
	missing, recordsOnly bool
}

// findEndCause returns the reason why the group must end, or nil. It adds a member
// without a record to the servers to probe.
func (c *Controller) findEndCause(g *Group, now time.Time, v *registry.View, probe func(string) ProbeResult, d *Decision) *endCause {
	var found *endCause
	missing := false
	defer func() {
		if !missing {
			g.missingSince = time.Time{}
		}
	}()
	for _, m := range g.Members {
		srv := v.Servers[m.ID]
		status := statusOf(g, m, srv)
		p := probe(m.ID)
		switch {
		case status == memberMissing && c.keepsGroups() && g.mayOpen:
			d.ServersToProbe = append(d.ServersToProbe, m.ID)
			if cause := c.absenceCause(g, m, v, probe, now, d); cause != nil && !cause.graceful {
				return cause
			} else if cause != nil {
				found = cause
			}
		case status == memberMissing && g.mayReregister(m, now, v):
		case status == memberMissing:
			missing = true
			d.ServersToProbe = append(d.ServersToProbe, m.ID)
			if cause := g.missingCause(m, p, now); cause != nil && !cause.graceful {
				return cause
			} else if cause != nil {
				found = cause
			}
		case status == memberRestarted:
			return &endCause{reason: "member " + m.ID + " restarted"}
		case status == memberOutside && g.hasJoined[m]:
			return &endCause{reason: "member " + m.ID + " left the group"}
		case p.Refused, unresponsive(p, now):
			return &endCause{reason: "member " + m.ID + " does not answer"}
		case srv.Leaving:
			found = &endCause{reason: "member " + m.ID + " is leaving", graceful: true}
		}
	}
	return found
}

func (c *Controller) reconcileForming(g *Group, now time.Time, v *registry.View, e *routes.Engine, probe func(string) ProbeResult, d *Decision) {
	cause := c.findEndCause(g, now, v, probe, d)
	if cause == nil && now.Sub(g.Since) > formingTimeout {
		cause = &endCause{reason: "its members did not become ready in time"}
	}
	if model, found := e.Model(g.Model); cause == nil && found && len(g.Members) != model.GroupSize {
		cause = &endCause{reason: "its member count differs from the model's group size"}
	}
	if cause == nil && c.leaderJoinFailed(g, now, v) {
		cause = &endCause{reason: "its leader did not join"}
	}
	switch {
	case cause != nil && g.mayOpen:
		next := Ending
		if cause.missing && cause.graceful && g.openSeen {
			next = Draining
		}
		c.noteClosure(g, cause, now)
		c.transition(g, next, now, cause.reason, d)
		c.reconcileEnding(g, now, v, probe, d)
		return
	case cause != nil:
		// The leader was never ordered to open, so the members can join other
		// groups immediately.
		c.transition(g, Ended, now, cause.reason, d)
		return
	case g.allReady(v):
		c.orderOpen(g, now, d)
		c.transition(g, Serving, now, "all members are ready", d)
		return
	}
	for _, m := range g.Members {
		srv := v.Servers[m.ID]
		if statusOf(g, m, srv) != memberOutside || (m == g.leader() && c.joinOrdered(m, g)) {
			continue
		}
		if c.needsLoad(srv, g.Model) && !c.loadLimiter.allow(now, e, c.zones, c.loadsInProgress(v, now), c.bootstrapping) && !c.joinOrdered(m, g) {
			continue
		}
		c.issueOrder(now, m, Order{Operation: Join, Group: g.ID, Model: g.Model, Members: g.memberIDs()}, d)
	}
}

func (c *Controller) orderOpen(g *Group, now time.Time, d *Decision) {
	g.mayOpen, g.openOrderedAt = true, now
	c.issueOrder(now, g.leader(), Order{Operation: Open, Group: g.ID}, d)
}

// leaderJoinFailed reports whether the leader has not joined within
// leaderJoinTimeout of its join order and is not carrying it out. The leader is
// ordered to join only once, because it could carry out a repeated join after
// leaving, and a delayed open order would then make it serve. The leader of a
// restored group also counts as failed if it is outside the group and this
// controller has not ordered it to join, because an earlier one may have.
func (c *Controller) leaderJoinFailed(g *Group, now time.Time, v *registry.View) bool {
	m := g.leader()
	if statusOf(g, m, v.Servers[m.ID]) != memberOutside {
		return false
	}
	sent, found := c.sentOrders[orderKey{m, Join, g.ID, g.Model}]
	if !found {
		return g.mayOpen
	}
	return sent.outcome != Begun && now.Sub(sent.at) > leaderJoinTimeout
}

// joinOrdered reports whether the member has been ordered to join.
func (c *Controller) joinOrdered(m registry.Incarnation, g *Group) bool {
	_, found := c.sentOrders[orderKey{m, Join, g.ID, g.Model}]
	return found
}

func (c *Controller) reconcileServing(g *Group, now time.Time, v *registry.View, e *routes.Engine, probe func(string) ProbeResult, d *Decision) {
	cause := c.findEndCause(g, now, v, probe, d)
	leader := v.Servers[g.leader().ID]
	if model, found := e.Model(g.Model); cause == nil && found && len(g.Members) != model.GroupSize {
		cause = &endCause{reason: "its member count differs from the model's group size"}
	}
	if cause == nil && leader != nil && leader.Member != nil && leader.Member.State == registry.Broken {
		cause = &endCause{reason: "its leader reports the group as broken"}
	}
	switch {
	case cause == nil:
		// A ready leader has not carried out the open order yet; it is sent again.
		if leader != nil && leader.Member != nil && leader.Member.State == registry.Ready && g.allReady(v) {
			c.orderOpen(g, now, d)
		}
	case cause.graceful:
		c.noteClosure(g, cause, now)
		c.transition(g, Draining, now, cause.reason, d)
		c.reconcileEnding(g, now, v, probe, d)
	default:
		c.noteClosure(g, cause, now)
		c.transition(g, Ending, now, cause.reason, d)
		c.reconcileEnding(g, now, v, probe, d)
	}
}

// reconcileEnding orders the leader of a draining or ending group to close or
// leave. It ends the group once the leader has left, restarted, been replaced or
// stopped, because the group can never serve again then.
func (c *Controller) reconcileEnding(g *Group, now time.Time, v *registry.View, probe func(string) ProbeResult, d *Decision) {
	m := g.leader()
	srv := v.Servers[m.ID]
	if isReplaced(m, v, probe, d) {
		c.transition(g, Ended, now, "another server has started at its leader's address", d)
		return
	}
	switch statusOf(g, m, srv) {
	case memberRestarted:
		c.transition(g, Ended, now, "its leader restarted", d)
	case memberOutside:
		c.transition(g, Ended, now, "its leader has left", d)
	case memberMissing:
		d.ServersToProbe = append(d.ServersToProbe, m.ID)
		if g.Phase == Draining && probe(m.ID).Answered && now.Sub(g.Since) <= drainTimeout {
			return // its requests are still in progress
		}
		c.orderMembersToLeave(g, now, v, d)
		if c.leaderStopped(g, now, probe) {
			c.transition(g, Ended, now, "its leader has no record and must have stopped", d)
		}
	case memberInGroup:
		c.stopLeader(g, now, srv, v, probe, d)
	}
}

// isReplaced reports whether another server answers at the member's address, which proves
// that the member has stopped. It adds the servers that may be there to those to probe.
func isReplaced(m registry.Incarnation, v *registry.View, probe func(string) ProbeResult, d *Decision) bool {
	for _, s := range v.Successors(m) {
		if probe(s.ID).Answered {
			return true
		}
		d.ServersToProbe = append(d.ServersToProbe, s.ID)
	}
	return false
}

func (c *Controller) stopLeader(g *Group, now time.Time, leader *registry.Server, v *registry.View, probe func(string) ProbeResult, d *Decision) {
	if c.canReopen(g, now, v, probe) {
		c.reopen(g, now, d)
		return
	}
	if g.Phase == Draining {
		if cause := c.findEndCause(g, now, v, probe, d); cause != nil && !cause.graceful {
			c.transition(g, Ending, now, cause.reason, d)
		} else if leader.Member.State == registry.Ready || now.Sub(g.Since) > drainTimeout {
			c.transition(g, Ending, now, "its requests finished or the drain timed out", d)
		} else {
			g.openSeen, g.closeOrdered = false, true
			c.issueOrder(now, g.leader(), Order{Operation: Close, Group: g.ID}, d)
			return
		}
	}
	g.leaveOrdered = true
	c.issueOrder(now, g.leader(), Order{Operation: Leave, Group: g.ID}, d)
	if unresponsive(probe(g.leader().ID), now) {
		c.orderMembersToLeave(g, now, v, d)
	}
}

func unresponsive(p ProbeResult, now time.Time) bool {
	return !p.FailingSince.IsZero() && now.Sub(p.FailingSince) >= memberTimeout
}

// orderMembersToLeave orders the other members to leave a group whose leader is
// missing or unresponsive. A leader that has lost a member stops serving and
// becomes broken after brokenAfter. The function also records when a member was
// first known to have left.
func (c *Controller) orderMembersToLeave(g *Group, now time.Time, v *registry.View, d *Decision) {
	for _, m := range g.Members[1:] {
		switch statusOf(g, m, v.Servers[m.ID]) {
		case memberInGroup:
			g.leaveOrdered = true
			c.issueOrder(now, m, Order{Operation: Leave, Group: g.ID}, d)
		case memberOutside, memberRestarted:
			g.markIncomplete(now)
		case memberMissing:
		}
	}
}

// leaderStopped reports whether a leader without a record can no longer serve. A
// leader that doesn't answer may only be partitioned from this process and keep
// serving. It counts as stopped when it must be broken because a member has left.
//
// The only member of a group is never broken. Its group is given up after
// soleMemberTimeout; if it still serves when it is back, adoptUnrecorded takes the
// group over.
func (c *Controller) leaderStopped(g *Group, now time.Time, probe func(string) ProbeResult) bool {
	// A leader that was not seen open may carry out an open order up to
	// maxOrderDelay after it was sent, and notices a missing member only then.
	var latestOpen time.Time
	if !g.openSeen {
		latestOpen = g.openOrderedAt.Add(maxOrderDelay)
	}
	if len(g.Members) == 1 {
		p := probe(g.leader().ID)
		return !p.FailingSince.IsZero() && now.Sub(p.FailingSince) >= soleMemberTimeout && !now.Before(latestOpen)
	}
	if g.incompleteSince.IsZero() {
		return false
	}
	stalledSince := g.incompleteSince
	if latestOpen.After(stalledSince) {
		stalledSince = latestOpen
	}
	return now.Sub(stalledSince) >= c.brokenAfter+brokenMargin
}
