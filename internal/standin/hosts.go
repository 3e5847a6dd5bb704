package standin

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

// Hosts stands in for all backend servers of a deployment; each Host is one
// server. It carries out orders and checks the invariants of replica groups that
// checkOpen and checkJoin describe. It is not safe for concurrent use.
type Hosts struct {
	ByID   map[string]*Host
	Timing HostTiming
	// Violations describes each violation of an invariant.
	Violations []string

	// lastStartTime is the StartTime of the latest incarnation. StartTime is a
	// counter here, not a time: each incarnation gets the next number.
	lastStartTime int64
	// everReady holds, by group, the servers that were ready in it at some time.
	everReady map[registry.GroupID]map[string]bool
}

// NewHosts returns Hosts without servers.
func NewHosts(timing HostTiming) *Hosts {
	return &Hosts{ByID: make(map[string]*Host), Timing: timing, everReady: make(map[registry.GroupID]map[string]bool)}
}

// Add starts a server. If it replaces a server with the same ID, the weights that
// the replaced server had staged remain.
func (hs *Hosts) Add(h Host) *Host {
	hs.lastStartTime++
	h.StartTime, h.Alive = hs.lastStartTime, true
	if old := hs.ByID[h.ID]; old != nil {
		h.Staged = old.Staged
	}
	hs.ByID[h.ID] = &h
	return &h
}

// Restart replaces a server, which must exist, by a new incarnation with the same
// ID. Add keeps the staged weights.
func (hs *Hosts) Restart(id string) *Host {
	old := hs.ByID[id]
	return hs.Add(Host{ID: id, Service: old.Service, Address: old.Address, Zone: old.Zone, Domain: old.Domain, Slots: old.Slots})
}

// IDs returns the sorted IDs of all servers.
func (hs *Hosts) IDs() []string {
	return slices.Sorted(maps.Keys(hs.ByID))
}

// Advance completes the orders that are due at now on all servers, and breaks
// leaders that have been incomplete for too long.
func (hs *Hosts) Advance(now time.Time) {
	for _, id := range hs.IDs() {
		h := hs.ByID[id]
		ready, opened := h.advance(now)
		if ready {
			if hs.everReady[h.Member.Group] == nil {
				hs.everReady[h.Member.Group] = make(map[string]bool)
			}
			hs.everReady[h.Member.Group][id] = true
		}
		if opened {
			hs.checkOpen(h.Member)
		}
		if h.Alive && h.Member != nil && h.Member.State == registry.Open {
			hs.breakIncompleteLeader(h.Member, now)
		}
	}
}

// breakIncompleteLeader records when it first finds that a leader has lost a
// member, and marks the leader as broken HostTiming.BrokenAfter later, even if the
// member has joined again. A member that left and joined again between two calls
// of Advance is not noticed.
func (hs *Hosts) breakIncompleteLeader(m *HostMembership, now time.Time) {
	if m.incompleteSince.IsZero() && !hs.Complete(m) {
		m.incompleteSince = now
	}
	if !m.incompleteSince.IsZero() && now.Sub(m.incompleteSince) >= hs.Timing.BrokenAfter {
		m.State = registry.Broken
	}
}

// Apply carries out an order at its server.
func (hs *Hosts) Apply(now time.Time, o formation.Order) formation.Outcome {
	h := hs.ByID[o.Server]
	if h == nil || !h.Alive {
		return formation.Unknown
	}
	return h.apply(now, hs.Timing, o, func() { hs.checkJoin(h, o) })
}

// checkOpen checks that a group opens only after every member was ready in it.
func (hs *Hosts) checkOpen(m *HostMembership) {
	for _, member := range m.Members {
		if !hs.everReady[m.Group][member] {
			hs.Violations = append(hs.Violations, fmt.Sprintf("group %s opened, but member %s was never ready", m.Group.Name, member))
		}
	}
}

// checkJoin checks that a server joins another group only if the leader of its
// old group is not open, closing or opening, has left that group, or its
// incarnation has ended.
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
		hs.Violations = append(hs.Violations, fmt.Sprintf("server %s joined group %s while leader %s of its old group %s still serves or is opening",
			h.ID, o.Group.Name, leader.ID, m.Group.Name))
	}
}

// Complete reports whether all members are still alive and in the group.
func (hs *Hosts) Complete(m *HostMembership) bool {
	for _, id := range m.Members {
		h := hs.ByID[id]
		if h == nil || !h.Alive || h.Member == nil || h.Member.Group != m.Group {
			return false
		}
	}
	return true
}
