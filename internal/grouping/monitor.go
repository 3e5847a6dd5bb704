package grouping

import (
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/engine"
)

// ProbeMaxAge is the maximum age of a probe result, counted from when the probe
// was sent. A group receives new requests only while the results of all members
// are fresh. This bounds how long a group with a missing member receives
// requests, even if messages are delayed or processes pause.
const ProbeMaxAge = 2 * time.Second

// memberState summarises the probes of one member.
type memberState struct {
	// lastHealthy is when the last probe that found the member serving in its
	// group was sent. It is zero if the last recorded result was a different one.
	lastHealthy time.Time
	// failingSince is when the probe of the first failure recorded since the last
	// recorded answer was sent. It is zero if the last result was an answer.
	failingSince time.Time
	// lastFailed is when the last failed probe was sent. Answers to probes that
	// were not sent after it are ignored.
	lastFailed time.Time
	// misplaced reports whether the member answers but is not in the group.
	misplaced bool
	health    engine.Health
}

// Monitor tracks the probe results of one group's members. It is not safe for
// concurrent use.
type Monitor struct {
	group      Group
	members    map[string]*memberState
	superseded bool
}

// NewMonitor returns a Monitor of the group without probe results.
func NewMonitor(g Group) *Monitor {
	m := &Monitor{group: g, members: make(map[string]*memberState)}
	for _, member := range g.Members {
		m.members[member.Instance] = &memberState{}
	}
	return m
}

// Group returns the group from the last update.
func (m *Monitor) Group() Group {
	return m.group
}

// Update replaces the group. If the generation differs, all probe results are
// dropped except the members' failingSince.
func (m *Monitor) Update(g Group) {
	if g.Generation == m.group.Generation {
		m.group = g
		return
	}
	old := m.members
	*m = *NewMonitor(g)
	for instance, state := range m.members {
		if before := old[instance]; before != nil {
			state.failingSince = before.failingSince
		}
	}
}

// RecordAnswer records a probe that was sent at sentAt and that the member answered.
func (m *Monitor) RecordAnswer(sentAt time.Time, instance string, health engine.Health) {
	state := m.members[instance]
	if state == nil || (!state.lastFailed.IsZero() && !sentAt.After(state.lastFailed)) {
		return
	}
	state.health = health
	if health.Generation > m.group.Generation {
		m.superseded = true
	}
	inGroup := health.Group == m.group.Name && health.Generation == m.group.Generation
	state.misplaced = !inGroup
	serving := health.State == engine.Cold || health.State == engine.Warm
	state.failingSince = time.Time{} // an answer in any state proves that the member is reachable
	state.lastHealthy = time.Time{}
	if inGroup && serving {
		state.lastHealthy = sentAt
	}
}

// RecordFailure records a probe that was sent at sentAt and that the member did not
// answer.
func (m *Monitor) RecordFailure(sentAt time.Time, instance string) {
	state := m.members[instance]
	if state == nil {
		return
	}
	state.lastHealthy = time.Time{}
	if sentAt.After(state.lastFailed) {
		state.lastFailed = sentAt
	}
	if state.failingSince.IsZero() {
		state.failingSince = sentAt
	}
}

// Status is the state of a group according to its probes. OldestProbe, Cold,
// Leaving and Load cover only members with a fresh result: the last recorded
// probe found them serving in the group and is younger than ProbeMaxAge.
type Status struct {
	// Complete reports whether every member has a fresh result and no member has
	// reported a newer generation. It is false for a group without members.
	Complete bool
	// OldestProbe is when the oldest of the members' fresh probes was sent.
	OldestProbe time.Time
	// Cold reports whether at least one of these members can serve only a small
	// load.
	Cold bool
	// Leaving reports whether one of these members is about to shut down.
	Leaving bool
	// Load is the number of running and queued requests that the group's leader
	// reports, or 0 if its result is not fresh.
	Load int
	// Superseded reports whether any member has reported a newer generation.
	Superseded bool
}

// Status returns the state of the group at now.
func (m *Monitor) Status(now time.Time) Status {
	status := Status{Complete: len(m.group.Members) > 0, Superseded: m.superseded}
	for rank, member := range m.group.Members {
		state := m.members[member.Instance]
		if state.lastHealthy.IsZero() || now.Sub(state.lastHealthy) >= ProbeMaxAge {
			status.Complete = false
			continue
		}
		if status.OldestProbe.IsZero() || state.lastHealthy.Before(status.OldestProbe) {
			status.OldestProbe = state.lastHealthy
		}
		status.Cold = status.Cold || state.health.State == engine.Cold
		status.Leaving = status.Leaving || state.health.Leaving
		if rank == 0 {
			status.Load = state.health.Running + state.health.Queued
		}
	}
	status.Complete = status.Complete && !status.Superseded
	return status
}

// Misplaced returns the ranks of the members that answer but report another
// group or generation. The caller orders them to join.
func (m *Monitor) Misplaced() []int {
	var ranks []int
	for rank, member := range m.group.Members {
		state := m.members[member.Instance]
		if state.misplaced && state.failingSince.IsZero() {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

// Missing returns the instances whose probes have failed for at least d.
func (m *Monitor) Missing(now time.Time, d time.Duration) []string {
	var instances []string
	for _, member := range m.group.Members {
		since := m.members[member.Instance].failingSince
		if !since.IsZero() && now.Sub(since) >= d {
			instances = append(instances, member.Instance)
		}
	}
	return instances
}

// Leaving returns the instances that report that they are about to shut down.
func (m *Monitor) Leaving() []string {
	var instances []string
	for _, member := range m.group.Members {
		if m.members[member.Instance].health.Leaving {
			instances = append(instances, member.Instance)
		}
	}
	return instances
}
