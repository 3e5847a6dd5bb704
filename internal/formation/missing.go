package formation

import (
	"slices"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

const (
	// recordAbsence is how long a group is kept while a member that answers probes has
	// no record. A server that was cut off from the store for 5 s has its record back
	// 2 s after that at the latest; one that leaves without notice exits within the
	// drain time or some seconds more.
	recordAbsence = 12 * time.Second
	// stallConfirmation is how long the streams of a group's leader must have been
	// stalled before the group of a member without a record is closed.
	stallConfirmation = 500 * time.Millisecond
	// closurePeriod is the time within which missing records alone may end at most half
	// of a model's serving groups.
	closurePeriod = 2 * time.Second
)

// KeptGroup is a group that goes on although members have no record.
type KeptGroup struct {
	Group registry.GroupID
	Model string
	// Members lists the IDs of the members without a record that have answered a probe
	// since the previous step.
	Members []string
	// LostContact is set if so many records went at one moment that the servers have
	// probably lost the store and not left.
	LostContact bool
}

// SetDrainTime makes the controller keep the groups of members that have no record but
// answer probes. d is how long after its record went a server may get requests; 0 makes
// a missing record close the group.
func (c *Controller) SetDrainTime(d time.Duration) { c.drain = d }

// keepsGroups reports whether groups with members without records are kept.
func (c *Controller) keepsGroups() bool { return c.drain > 0 }

// absence describes the members of a group that have no record.
type absence struct {
	// since is when each of them was first seen without its record. answered holds
	// those that have answered a probe since then.
	since    map[registry.Incarnation]time.Time
	answered map[registry.Incarnation]bool
	// departed is set if one of them probably leaves: its record did not go together
	// with many others.
	departed bool
	// stalledSince is when the leader's streams were first seen stalled meanwhile, and
	// advancing is set if they advance. A group that lacks a member stalls.
	stalledSince time.Time
	advancing    bool
	// closing is set if the group drains for no other reason than missing records.
	closing bool
}

// observeAbsence updates what is known about the group's members without a record.
func (c *Controller) observeAbsence(g *Group, now time.Time, v *registry.View, probe func(string) ProbeResult, d *Decision) {
	if !c.keepsGroups() {
		return
	}
	a := &g.absence
	a.departed = false
	var ids []string
	lost := false
	for _, m := range g.Members {
		if statusOf(g, m, v.Servers[m.ID]) != memberMissing {
			delete(a.since, m)
			delete(a.answered, m)
			continue
		}
		if a.since == nil {
			a.since, a.answered = make(map[registry.Incarnation]time.Time), make(map[registry.Incarnation]bool)
		}
		if _, known := a.since[m]; !known {
			a.since[m] = now
		}
		if !a.answered[m] && probe(m.ID).Answered {
			a.answered[m] = true
			ids = append(ids, m.ID)
		}
		_, lostContact := v.LostContact(m.ID)
		a.departed = a.departed || !lostContact
		lost = lost || lostContact
	}
	leader := probe(g.leader().ID)
	a.advancing = leader.Advancing
	switch {
	case len(a.since) == 0 || !leader.Stalled:
		a.stalledSince = time.Time{}
	case a.stalledSince.IsZero():
		a.stalledSince = now
	}
	if len(ids) > 0 && g.mayServe() {
		d.Kept = append(d.Kept, KeptGroup{Group: g.ID, Model: g.Model, Members: ids, LostContact: lost})
	}
}

// absenceCause returns the reason to end a group one of whose members has no record,
// or nil if the group is kept. Members that don't answer end it as they do with a
// record. For a missing record alone the group closes only after recordAbsence, or if
// its streams are stalled, and not at the same time as many others.
func (c *Controller) absenceCause(g *Group, m registry.Incarnation, v *registry.View, probe func(string) ProbeResult, now time.Time, d *Decision) *endCause {
	if g.mayReregister(m, now, v) {
		return nil
	}
	since := g.absence.since[m]
	last := v.Removed[m.ID]
	p := probe(m.ID)
	switch {
	case isReplaced(m, v, probe, d):
		return &endCause{reason: "another server has started at the address of member " + m.ID}
	case p.Refused, unresponsive(p, now):
		return &endCause{reason: "member " + m.ID + " has no server record and does not answer"}
	case last != nil && last.StartTime == m.StartTime && last.Leaving:
		return &endCause{reason: "member " + m.ID + " is leaving", graceful: true}
	case !p.Answered && p.FailingSince.IsZero() && !g.absence.advancing && now.Sub(since) >= memberTimeout:
		if c.mayEndForRecords(g, now) {
			return &endCause{reason: "member " + m.ID + " has no server record and could not be probed", missing: true, recordsOnly: true}
		}
	case now.Sub(since) >= recordAbsence:
		if c.mayEndForRecords(g, now) {
			reason := "member " + m.ID + " has had no server record for " + recordAbsence.String()
			return &endCause{reason: reason, graceful: true, missing: true, recordsOnly: true}
		}
	case !g.absence.stalledSince.IsZero() && now.Sub(g.absence.stalledSince) >= stallConfirmation:
		return &endCause{reason: "member " + m.ID + " has no server record and the group's streams are stalled", graceful: true, missing: true}
	}
	return nil
}

// mayEndForRecords reports whether a group may end for a missing record alone: at most
// half of a model's serving groups do so within closurePeriod, but at least one may.
func (c *Controller) mayEndForRecords(g *Group, now time.Time) bool {
	if !g.mayServe() {
		return true
	}
	serving := 0
	for _, other := range c.groups {
		if other.Model == g.Model && other.mayServe() {
			serving++
		}
	}
	c.closures = slices.DeleteFunc(c.closures, func(cl closure) bool { return now.Sub(cl.at) >= closurePeriod })
	closed := 0
	for _, cl := range c.closures {
		if cl.model == g.Model {
			closed++
		}
	}
	return closed < max((serving+closed)/2, 1)
}

// mayServe reports whether the group serves, or may serve since an earlier controller
// opened it.
func (g *Group) mayServe() bool { return g.Phase == Serving || (g.Phase == Forming && g.mayOpen) }

// closure is the end of a serving group for a missing record alone.
type closure struct {
	model string
	at    time.Time
}

// noteClosure records why a group ends.
func (c *Controller) noteClosure(g *Group, cause *endCause, now time.Time) {
	g.absence.closing = cause.missing && cause.graceful
	if cause.recordsOnly && g.mayServe() {
		c.closures = append(c.closures, closure{model: g.Model, at: now})
	}
}

// canReopen reports whether a group that drains for missing records alone can serve
// again: all members are ready in it, and none was ordered to leave.
func (c *Controller) canReopen(g *Group, now time.Time, v *registry.View, probe func(string) ProbeResult) bool {
	if !c.keepsGroups() || g.Phase != Draining || !g.absence.closing || g.leaveOrdered || !g.incompleteSince.IsZero() || !g.allReady(v) {
		return false
	}
	return !slices.ContainsFunc(g.Members, func(m registry.Incarnation) bool {
		p := probe(m.ID)
		return p.Refused || unresponsive(p, now)
	})
}

// reopen makes a draining group serve again. If its leader has closed, reconcileServing
// orders it to open.
func (c *Controller) reopen(g *Group, now time.Time, d *Decision) {
	g.absence.closing = false
	c.transition(g, Serving, now, "all its members have their records again", d)
}

// endsSoon reports whether the group ends, or serves with a member that probably
// leaves. Its other members will be free then.
func (c *Controller) endsSoon(g *Group) bool {
	return g.Phase == Draining || g.Phase == Ending || (g.Phase == Serving && g.absence.departed)
}

// withDepartures adds to the missing groups those that will be missing when members
// that probably leave have left, so that replacements for these are staged in time.
func (c *Controller) withDepartures(missing map[string]int) map[string]int {
	for _, g := range c.groups {
		if g.Phase == Serving && g.absence.departed {
			missing[g.Model]++
		}
	}
	return missing
}

// missingCause is absenceCause without a drain time. It returns the reason to end a group
// one of whose members has no record, or nil as long as the member's probe is under way. A member that answers
// is only cut off from the store or leaves without notice. It must get no new work,
// but what runs can end.
func (g *Group) missingCause(m registry.Incarnation, p ProbeResult, now time.Time) *endCause {
	if g.missingSince.IsZero() {
		g.missingSince = now
	}
	gone := p.Refused || !p.FailingSince.IsZero()
	if g.Phase < Serving || (!gone && !p.Answered && now.Sub(g.missingSince) >= memberTimeout) {
		gone = true
	}
	if !gone && !p.Answered {
		return nil
	}
	return &endCause{reason: "member " + m.ID + " has no server record", graceful: !gone}
}

// mayReregister reports whether a missing member may still write its record
// after the group was restored. It applies for reregisterGrace, and only if this
// process has not seen the member's record disappear. A forming group with
// mayOpen set is a restored one.
func (g *Group) mayReregister(m registry.Incarnation, now time.Time, v *registry.View) bool {
	return g.Phase == Forming && g.mayOpen && v.RemovedAt[m.ID].IsZero() && now.Sub(g.Since) < reregisterGrace
}
