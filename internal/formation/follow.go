package formation

import (
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

// follow moves one group on and orders what it needs next.
func (s *Controller) follow(g *Group, now time.Time, v *registry.View, e *routes.Engine, contact func(string) ProbeResult, d *Decision) {
	for _, l := range g.Members {
		srv := v.Servers[l.ID]
		if standing(g, l, srv) == inGroup && srv.Member.State != registry.Joining {
			g.wasReady[l] = true
		}
	}
	switch g.Phase {
	case Planned, Ended:
	case Forming:
		s.form(g, now, v, e, contact, d)
	case Serving:
		s.serve(g, now, v, e, contact, d)
	case Draining, Ending:
		s.end(g, now, v, contact, d)
	}
}

// loss is why a group can't go on.
type loss struct {
	reason string
	// graceful losses leave time for requests to finish.
	graceful bool
}

// lost returns why the group can't go on, or nil.
func lost(g *Group, now time.Time, v *registry.View, contact func(string) ProbeResult, d *Decision) *loss {
	var found *loss
	for _, l := range g.Members {
		srv := v.Servers[l.ID]
		place := standing(g, l, srv)
		c := contact(l.ID)
		switch {
		case place == missing && g.awaits(l, now, v):
		case place == missing:
			d.Suspects = append(d.Suspects, l.ID)
			return &loss{reason: "member " + l.ID + " has no entry"}
		case place == ended:
			return &loss{reason: "member " + l.ID + " started anew"}
		case place == outside && g.wasReady[l]:
			return &loss{reason: "member " + l.ID + " left the group"}
		case c.Refused, unanswered(c, now):
			return &loss{reason: "member " + l.ID + " does not answer"}
		case srv.Leaving:
			found = &loss{reason: "member " + l.ID + " is leaving", graceful: true}
		}
	}
	return found
}

// awaits reports whether the entry of an inherited group's member, which this
// entry has never seen, may still come back.
func (g *Group) awaits(l registry.Incarnation, now time.Time, v *registry.View) bool {
	return g.Phase == Forming && g.mayOpen && v.RemovedAt[l.ID].IsZero() && now.Sub(g.Since) < entryBack
}

func (s *Controller) form(g *Group, now time.Time, v *registry.View, e *routes.Engine, contact func(string) ProbeResult, d *Decision) {
	why := lost(g, now, v, contact, d)
	if why == nil && now.Sub(g.Since) > formingTimeout {
		why = &loss{reason: "its members did not get ready in time"}
	}
	if model, known := e.Model(g.Model); why == nil && known && len(g.Members) != model.GroupSize {
		why = &loss{reason: "it lacks members"}
	}
	if why == nil && s.leaderUnanswered(g, now, v) {
		why = &loss{reason: "its leader did not take the order to join"}
	}
	switch {
	case why != nil && g.mayOpen:
		s.move(g, Ending, now, why.reason, d)
		s.end(g, now, v, contact, d)
		return
	case why != nil:
		// No open was ordered, so that its members are free at once.
		s.move(g, Ended, now, why.reason, d)
		return
	case g.allReady(v):
		s.open(g, now, d)
		s.move(g, Serving, now, "all members are ready", d)
		return
	}
	for _, l := range g.Members {
		srv := v.Servers[l.ID]
		if standing(g, l, srv) != outside || (l == g.leader() && s.ordered(l, g)) {
			continue
		}
		if s.needsLoad(srv, g.Model) && !s.loads.take(now, e, s.zones, s.loading(v, now), s.lead) && !s.ordered(l, g) {
			continue
		}
		s.order(now, l, Order{Operation: Join, Group: g.ID, Model: g.Model, Members: g.memberIDs()}, d)
	}
}

func (s *Controller) open(g *Group, now time.Time, d *Decision) {
	g.mayOpen, g.openedAt = true, now
	s.order(now, g.leader(), Order{Operation: Open, Group: g.ID}, d)
}

// leaderUnanswered reports whether the leader still stands outside although it
// was told to join. It is told only once: a second order could be carried out
// after the leader has left, and a late open would then let the group serve
// again. Inherited groups may have had that order from an earlier steward.
func (s *Controller) leaderUnanswered(g *Group, now time.Time, v *registry.View) bool {
	l := g.leader()
	if standing(g, l, v.Servers[l.ID]) != outside {
		return false
	}
	sent, found := s.sent[orderKey{l, Join, g.ID, g.Model}]
	if !found {
		return g.mayOpen
	}
	return sent.outcome != Begun && now.Sub(sent.at) > leaderJoinTimeout
}

// ordered reports whether the member was told to join before.
func (s *Controller) ordered(l registry.Incarnation, g *Group) bool {
	_, found := s.sent[orderKey{l, Join, g.ID, g.Model}]
	return found
}

func (s *Controller) serve(g *Group, now time.Time, v *registry.View, e *routes.Engine, contact func(string) ProbeResult, d *Decision) {
	why := lost(g, now, v, contact, d)
	leader := v.Servers[g.leader().ID]
	if model, known := e.Model(g.Model); why == nil && known && len(g.Members) != model.GroupSize {
		why = &loss{reason: "it lacks members"}
	}
	if why == nil && leader.Member != nil && leader.Member.State == registry.Broken {
		why = &loss{reason: "its leader reports it broken"}
	}
	switch {
	case why == nil:
		if leader.Member != nil && leader.Member.State == registry.Ready && g.allReady(v) {
			s.open(g, now, d)
		}
	case why.graceful:
		s.move(g, Draining, now, why.reason, d)
		s.end(g, now, v, contact, d)
	default:
		s.move(g, Ending, now, why.reason, d)
		s.end(g, now, v, contact, d)
	}
}

// end waits until the group can never serve again.
func (s *Controller) end(g *Group, now time.Time, v *registry.View, contact func(string) ProbeResult, d *Decision) {
	l := g.leader()
	srv := v.Servers[l.ID]
	switch standing(g, l, srv) {
	case ended:
		s.move(g, Ended, now, "its leader started anew", d)
	case outside:
		s.move(g, Ended, now, "its leader has left", d)
	case missing:
		d.Suspects = append(d.Suspects, l.ID)
		s.leaveLeader(g, now, v, d)
		if s.leaderOver(g, now, contact) {
			s.move(g, Ended, now, "its leader is gone or broken", d)
		}
	case inGroup:
		s.endLeader(g, now, srv, v, contact, d)
	}
}

func (s *Controller) endLeader(g *Group, now time.Time, leader *registry.Server, v *registry.View, contact func(string) ProbeResult, d *Decision) {
	if g.Phase == Draining {
		if why := lost(g, now, v, contact, d); why != nil && !why.graceful {
			s.move(g, Ending, now, why.reason, d)
		} else if leader.Member.State == registry.Ready || now.Sub(g.Since) > drainTimeout {
			s.move(g, Ending, now, "its requests have finished", d)
		} else {
			s.order(now, g.leader(), Order{Operation: Close, Group: g.ID}, d)
			return
		}
	}
	s.order(now, g.leader(), Order{Operation: Leave, Group: g.ID}, d)
	if unanswered(contact(g.leader().ID), now) {
		s.leaveLeader(g, now, v, d)
	}
}

func unanswered(c ProbeResult, now time.Time) bool {
	return !c.FailingSince.IsZero() && now.Sub(c.FailingSince) >= lostAfter
}

// leaveLeader takes the other members out of a group whose leader can't be
// reached, and notes since when one of them is known to be out: without all its
// members the leader stands still, and breaks after a known time.
func (s *Controller) leaveLeader(g *Group, now time.Time, v *registry.View, d *Decision) {
	for _, l := range g.Members[1:] {
		switch standing(g, l, v.Servers[l.ID]) {
		case inGroup:
			s.order(now, l, Order{Operation: Leave, Group: g.ID}, d)
		case outside, ended:
			g.lacksMember(now)
		case missing:
		}
	}
}

// leaderOver reports whether a leader without an entry can't serve any more.
// That it can't be reached does not show that it has ended: it may be cut off
// from here only, and go on.
func (s *Controller) leaderOver(g *Group, now time.Time, contact func(string) ProbeResult) bool {
	if len(g.Members) == 1 {
		c := contact(g.leader().ID)
		return !c.FailingSince.IsZero() && now.Sub(c.FailingSince) >= leaderGoneAfter
	}
	if g.lacksSince.IsZero() {
		return false
	}
	// A leader that opens late stands still from then on.
	stands := g.lacksSince
	if latest := g.openedAt.Add(lateOrder); latest.After(stands) {
		stands = latest
	}
	return now.Sub(stands) >= s.brokenAfter+brokenMargin
}
