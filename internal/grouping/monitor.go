package grouping

import (
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/engine"
)

// EvidenceTerm is how long after the probes of a complete group were sent new
// work may still go to it. It bounds the time that a group with a missing
// member can receive work, whatever delays or pauses come in between.
const EvidenceTerm = 2 * time.Second

// memberWatch is what a Monitor knows of one member.
type memberWatch struct {
	// good is when the last probe that found the member in place was sent.
	good time.Time
	// failing is when the first of the failed probes since then was sent.
	failing time.Time
	// failed is when the last failed probe was sent: an answer to a probe that
	// was sent before it comes too late.
	failed time.Time
	// misplaced says that the member answers but is not in the group.
	misplaced bool
	health    engine.Health
}

// Monitor follows the probes of one group's members. It is not safe for
// concurrent use.
type Monitor struct {
	group      Group
	members    map[string]*memberWatch
	superseded bool
}

// NewMonitor returns a Monitor that has no evidence yet.
func NewMonitor(g Group) *Monitor {
	m := &Monitor{group: g, members: make(map[string]*memberWatch)}
	for _, member := range g.Members {
		m.members[member.Instance] = &memberWatch{}
	}
	return m
}

// Group returns the group as the Monitor knows it.
func (m *Monitor) Group() Group {
	return m.group
}

// Update takes over a newer row of the group. The evidence about members
// stays valid only within one generation.
func (m *Monitor) Update(g Group) {
	if g.Generation == m.group.Generation {
		m.group = g
		return
	}
	old := m.members
	*m = *NewMonitor(g)
	for instance, watch := range m.members {
		if before := old[instance]; before != nil {
			watch.failing = before.failing
		}
	}
}

// Answered takes in a probe, sent at sentAt, that the member answered.
func (m *Monitor) Answered(sentAt time.Time, instance string, health engine.Health) {
	watch := m.members[instance]
	if watch == nil || (!watch.failed.IsZero() && !sentAt.After(watch.failed)) {
		return
	}
	watch.health = health
	if health.Generation > m.group.Generation {
		m.superseded = true
	}
	inPlace := health.Group == m.group.Name && health.Generation == m.group.Generation
	watch.misplaced = !inPlace
	serving := health.State == engine.Cold || health.State == engine.Warm
	watch.failing = time.Time{} // whatever it does, it answers
	watch.good = time.Time{}
	if inPlace && serving {
		watch.good = sentAt
	}
}

// Failed takes in a probe, sent at sentAt, that the member did not answer.
func (m *Monitor) Failed(sentAt time.Time, instance string) {
	watch := m.members[instance]
	if watch == nil {
		return
	}
	watch.good = time.Time{}
	if sentAt.After(watch.failed) {
		watch.failed = sentAt
	}
	if watch.failing.IsZero() {
		watch.failing = sentAt
	}
}

// Verdict is what the probes say about a group.
type Verdict struct {
	// Complete says that every member was in place at Evidence.
	Complete bool
	// Evidence is when the oldest of the members' last good probes was sent.
	Evidence time.Time
	// Cold says that at least one member bears only a little load.
	Cold bool
	// Leaving says that a member is about to shut down.
	Leaving bool
	// Load counts the requests that the group's leader reports.
	Load int
	// Superseded says that a member knows a newer generation.
	Superseded bool
}

// Verdict returns what the probes say at now.
func (m *Monitor) Verdict(now time.Time) Verdict {
	v := Verdict{Complete: len(m.group.Members) > 0, Superseded: m.superseded}
	for rank, member := range m.group.Members {
		watch := m.members[member.Instance]
		if watch.good.IsZero() || now.Sub(watch.good) >= EvidenceTerm {
			v.Complete = false
			continue
		}
		if v.Evidence.IsZero() || watch.good.Before(v.Evidence) {
			v.Evidence = watch.good
		}
		v.Cold = v.Cold || watch.health.State == engine.Cold
		v.Leaving = v.Leaving || watch.health.Leaving
		if rank == 0 {
			v.Load = watch.health.Running + watch.health.Queued
		}
	}
	v.Complete = v.Complete && !v.Superseded
	return v
}

// Misplaced returns the ranks of the members that answer but have not taken
// up their place: they need an order.
func (m *Monitor) Misplaced() []int {
	var ranks []int
	for rank, member := range m.group.Members {
		watch := m.members[member.Instance]
		if watch.misplaced && watch.failing.IsZero() {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

// Missing returns the instances that have not answered for at least d.
func (m *Monitor) Missing(now time.Time, d time.Duration) []string {
	var instances []string
	for _, member := range m.group.Members {
		failing := m.members[member.Instance].failing
		if !failing.IsZero() && now.Sub(failing) >= d {
			instances = append(instances, member.Instance)
		}
	}
	return instances
}

// Departing returns the instances that say that they are about to shut down.
func (m *Monitor) Departing() []string {
	var instances []string
	for _, member := range m.group.Members {
		if m.members[member.Instance].health.Leaving {
			instances = append(instances, member.Instance)
		}
	}
	return instances
}
