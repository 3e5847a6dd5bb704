package standin

import (
	"slices"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

// HostTiming is how long a Host takes to carry out orders.
type HostTiming struct {
	// Load, Warm and Reconnect are the durations of a join: Reconnect if the
	// server loaded this model last, Warm if the weights are staged on the host,
	// and otherwise Load, which fetches them from the weight store.
	Load      time.Duration
	Warm      time.Duration
	Reconnect time.Duration
	// Open is the time from the open order until the group takes requests.
	Open time.Duration
	// BrokenAfter is the time from the first loss of a member until the leader's
	// state becomes broken. It passes also if the member returns.
	BrokenAfter time.Duration
}

// HostMembership is a Host's state in its group.
type HostMembership struct {
	Group   registry.GroupID
	Model   string
	Members []string
	State   registry.GroupState
	// ReadyAt is when the join completes.
	ReadyAt time.Time
	// openAt is when the pending open order completes; zero without one.
	openAt time.Time
	// incompleteSince is when the leader lost a member; zero if it never did.
	incompleteSince time.Time
}

// Opening reports whether an open order is in progress.
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
	// OrderCount counts the orders that this incarnation has begun.
	OrderCount int64
	Member     *HostMembership
	// InProgress is the number of requests in progress. A closing leader is ready
	// again once there are none.
	InProgress int

	// lastModel is the model that was loaded last, lastEpoch the group epoch of
	// the latest join. Joins with a lower epoch are outdated.
	lastModel string
	lastEpoch int64
}

// Record returns the host's server record for the registry.
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

// advance completes the join or open order that is due at now. It reports
// whether the host became ready and whether it opened.
func (h *Host) advance(now time.Time) (ready, opened bool) {
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
	if m.State == registry.Closing && h.InProgress == 0 {
		m.State = registry.Ready
	}
	return ready, opened
}

// apply carries out an order. It calls beforeJoin before a join takes effect.
func (h *Host) apply(now time.Time, timing HostTiming, o formation.Order, beforeJoin func()) formation.Outcome {
	member := h.Member != nil && h.Member.Group == o.Group
	switch o.Operation {
	case formation.Join:
		if o.Group.Epoch < h.lastEpoch {
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
		if h.Member.openAt = (time.Time{}); h.Member.State == registry.Open {
			h.Member.State = registry.Closing
		}
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
	h.lastEpoch = o.Group.Epoch
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
