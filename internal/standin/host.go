package standin

import (
	"slices"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

// HostTiming is how long a Host takes for an order.
type HostTiming struct {
	// Load is a join with weights from the weight store, Warm one with weights
	// on the host, and Reconnect one with weights that the server runs already.
	Load      time.Duration
	Warm      time.Duration
	Reconnect time.Duration
	// Open is the time from the order to the first request.
	Open time.Duration
	// Broken is how long a leader that has lost a member stands still before
	// it is broken.
	BrokenAfter time.Duration
}

// HostMembership is what a Host believes of its group.
type HostMembership struct {
	Group   registry.GroupID
	Model   string
	Members []string
	State   registry.GroupState
	// ReadyAt is when a join is carried out.
	ReadyAt time.Time
	openAt  time.Time
	// stoodSince is when the leader lost a member; zero while it has them all.
	stoodSince time.Time
}

// Opening reports whether an order to open is being carried out.
func (m *HostMembership) Opening() bool { return !m.openAt.IsZero() }

// Host stands in for a backend server that takes orders to form replica
// groups. It is not safe for concurrent use.
type Host struct {
	ID        string
	StartTime int64
	Service   string
	Address   string
	Zone      string
	Domain    string
	Alive     bool
	Staged    string
	Leaving   bool
	Slots     int
	// Orders counts the orders of this lifetime that began something.
	OrderCount int64
	Member     *HostMembership

	lastModel string
	seen      int64
}

// Record returns the host's entry in the registry.
func (h *Host) Record(now time.Time) *registry.Server {
	s := &registry.Server{
		ID: h.ID, StartTime: h.StartTime, Service: h.Service, Address: h.Address, Zone: h.Zone, Domain: h.Domain,
		Slots: h.Slots, Leaving: h.Leaving, OrderCount: h.OrderCount, ObservedAt: now,
	}
	if h.Staged != "" {
		s.Staged = []string{h.Staged}
	}
	if m := h.Member; m != nil {
		s.Loaded = []string{m.Model}
		s.Member = &registry.Membership{Group: m.Group, Rank: slices.Index(m.Members, h.ID), State: m.State, Model: m.Model}
	}
	return s
}

// move lets time pass. It reports whether the host became ready or open.
func (h *Host) move(now time.Time) (ready, opened bool) {
	m := h.Member
	if !h.Alive || m == nil {
		return false, false
	}
	if m.State == registry.Joining && !now.Before(m.ReadyAt) {
		m.State, h.Staged, h.lastModel = registry.Ready, m.Model, m.Model
		ready = true
	}
	if m.State == registry.Ready && m.Opening() && !now.Before(m.openAt) {
		m.openAt, m.State = time.Time{}, registry.Open
		opened = true
	}
	return ready, opened
}

// apply carries an order out. beforeJoin runs when a join takes effect.
func (h *Host) apply(now time.Time, timing HostTiming, o formation.Order, beforeJoin func()) formation.Outcome {
	member := h.Member != nil && h.Member.Group == o.Group
	switch o.Operation {
	case formation.Join:
		if o.Group.Epoch < h.seen {
			return formation.Outdated
		}
		if member {
			return formation.Done
		}
		beforeJoin()
		h.join(now, timing, o)
	case formation.Open:
		if !member || h.Member.State != registry.Ready {
			return formation.Conflict
		}
		h.Member.openAt = now.Add(timing.Open)
	case formation.Close:
		if !member {
			return formation.Conflict
		}
		h.Member.State, h.Member.openAt = registry.Ready, time.Time{}
	case formation.Leave:
		if !member {
			return formation.Done
		}
		h.Member = nil
	case formation.Stage:
		h.Staged = o.Model
	}
	h.OrderCount++
	return formation.Begun
}

func (h *Host) join(now time.Time, timing HostTiming, o formation.Order) {
	h.seen = o.Group.Epoch
	wait := timing.Load
	switch {
	case h.lastModel == o.Model:
		wait = timing.Reconnect
	case h.Staged == o.Model:
		wait = timing.Warm
	}
	h.Member = &HostMembership{
		Group: o.Group, Model: o.Model, Members: o.Members, State: registry.Joining, ReadyAt: now.Add(wait),
	}
}
