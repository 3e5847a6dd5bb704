package standin

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

// Hosts stands in for all backend servers of a deployment. It checks the
// promises of replica groups as orders are carried out. It is not safe for
// concurrent use.
type Hosts struct {
	ByID   map[string]*Host
	Timing HostTiming
	// Broken tells each promise that was broken.
	Violations []string

	lastBorn int64
	// ready holds which servers were ever ready under a group.
	ready map[registry.GroupID]map[string]bool
}

// NewHosts returns Hosts without servers.
func NewHosts(timing HostTiming) *Hosts {
	return &Hosts{ByID: make(map[string]*Host), Timing: timing, ready: make(map[registry.GroupID]map[string]bool)}
}

// Add starts a server. One with the same ID is replaced, and its host keeps
// the staged weights.
func (hs *Hosts) Add(h Host) *Host {
	hs.lastBorn++
	h.StartTime, h.Alive = hs.lastBorn, true
	if old := hs.ByID[h.ID]; old != nil {
		h.Staged = old.Staged
	}
	hs.ByID[h.ID] = &h
	return &h
}

// Restart ends a server's lifetime and begins the next one under its ID.
func (hs *Hosts) Restart(id string) *Host {
	old := hs.ByID[id]
	return hs.Add(Host{ID: id, Service: old.Service, Address: old.Address, Zone: old.Zone, Domain: old.Domain, Slots: old.Slots})
}

// IDs returns all servers in a fixed order.
func (hs *Hosts) IDs() []string {
	return slices.Sorted(maps.Keys(hs.ByID))
}

// Advance lets time pass for all servers.
func (hs *Hosts) Advance(now time.Time) {
	for _, id := range hs.IDs() {
		h := hs.ByID[id]
		ready, opened := h.move(now)
		if ready {
			if hs.ready[h.Member.Group] == nil {
				hs.ready[h.Member.Group] = make(map[string]bool)
			}
			hs.ready[h.Member.Group][id] = true
		}
		if opened {
			hs.checkOpen(h.Member)
		}
		if h.Alive && h.Member != nil && h.Member.State == registry.Open {
			hs.stand(h.Member, now)
		}
	}
}

// stand notes that a leader has lost a member, and breaks it in time. What has
// left once counts as lost also when it joins again.
func (hs *Hosts) stand(m *HostMembership, now time.Time) {
	if m.stoodSince.IsZero() && !hs.Complete(m) {
		m.stoodSince = now
	}
	if !m.stoodSince.IsZero() && now.Sub(m.stoodSince) >= hs.Timing.BrokenAfter {
		m.State = registry.Broken
	}
}

// Apply carries an order out at its server.
func (hs *Hosts) Apply(now time.Time, o formation.Order) formation.Outcome {
	h := hs.ByID[o.Server]
	if h == nil || !h.Alive {
		return formation.Unknown
	}
	return h.apply(now, hs.Timing, o, func() { hs.checkJoin(h, o) })
}

// checkOpen holds the first promise: every member was ready under the group.
func (hs *Hosts) checkOpen(m *HostMembership) {
	for _, member := range m.Members {
		if !hs.ready[m.Group][member] {
			hs.Violations = append(hs.Violations, fmt.Sprintf("group %s opened although %s was never ready", m.Group.Name, member))
		}
	}
}

// checkJoin holds the second promise: the leader of the old group serves no
// more, or its lifetime is over.
func (hs *Hosts) checkJoin(h *Host, o formation.Order) {
	m := h.Member
	if m == nil {
		return
	}
	leader := hs.ByID[m.Members[0]]
	if leader == nil || !leader.Alive || leader.Member == nil || leader.Member.Group != m.Group {
		return
	}
	if s := leader.Member.State; s == registry.Open || s == registry.Closing || leader.Member.Opening() {
		hs.Violations = append(hs.Violations, fmt.Sprintf("%s joined %s while %s of its old group %s serves",
			h.ID, o.Group.Name, leader.ID, m.Group.Name))
	}
}

// Complete reports whether all members of the group still hold their places.
func (hs *Hosts) Complete(m *HostMembership) bool {
	for _, id := range m.Members {
		h := hs.ByID[id]
		if h == nil || !h.Alive || h.Member == nil || h.Member.Group != m.Group {
			return false
		}
	}
	return true
}
