package permit

import (
	"sort"
	"sync"
	"time"
)

// stallTimeout is how long a group with requests of this entry in flight may
// produce no token before it counts as stalled. A stalled group gets no new
// requests until it produces a token, all its requests have ended, or a permit
// arrives that was requested after the timeout had passed.
const stallTimeout = time.Second

// groupPermit is the permit for one group and the reservations under it.
type groupPermit struct {
	generation uint64
	leader     string
	seq        uint64
	credits    int
	cold       bool
	// requestedAt is when the permit was requested, or when Suspend was called
	// after that.
	requestedAt time.Time
	// expires is zero if the permit was revoked or suspended.
	expires time.Time
	// lastToken is when the group last produced a token, or when this entry
	// reserved the first credit after none was reserved.
	lastToken    time.Time
	reservations map[*Reservation]struct{}
}

// Holder keeps the permits of one entry. It is safe for concurrent use.
type Holder struct {
	mu     sync.Mutex
	groups map[string]*groupPermit
}

// NewHolder returns a Holder without permits.
func NewHolder() *Holder {
	return &Holder{groups: make(map[string]*groupPermit)}
}

// Apply replaces the group's permit by a grant that was requested at
// requestedAt. It ignores a grant of a lower generation than the current one,
// and a grant that was requested before the current one or before the last
// Suspend. A grant of a higher generation aborts the group's reservations.
func (h *Holder) Apply(requestedAt time.Time, g Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	group := h.groups[g.Group]
	if group == nil {
		group = &groupPermit{reservations: make(map[*Reservation]struct{})}
		h.groups[g.Group] = group
	}
	if g.Generation < group.generation || requestedAt.Before(group.requestedAt) {
		return
	}
	if g.Generation > group.generation {
		group.abortAll()
	}
	group.generation = g.Generation
	group.leader = g.Leader
	group.seq = g.Seq
	group.credits = g.Credits
	group.cold = g.Cold
	group.requestedAt = requestedAt
	group.expires = requestedAt.Add(g.TTL)
}

// Revoke invalidates a group's permit immediately, unless the permit's
// generation is higher than that of the revocation. Without r.Abort, requests in
// flight may finish, except that the next AbortExpired aborts those of a cold
// group.
func (h *Holder) Revoke(r Revocation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	group := h.groups[r.Group]
	if group == nil || group.generation > r.Generation {
		return
	}
	group.credits = 0
	group.expires = time.Time{}
	if r.Abort {
		group.abortAll()
	}
}

// Suspend stops new requests to a group until a permit arrives that was requested
// no earlier than now. It has no effect on a group without a permit. If the group
// is cold, the next AbortExpired aborts its reservations.
func (h *Holder) Suspend(group string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.groups[group]
	if g == nil {
		return
	}
	g.expires = time.Time{}
	g.requestedAt = now
}

// abortAll aborts the reservations under the permit. The caller holds Holder.mu,
// so the functions set by OnAbort must not call the Holder or Release.
func (g *groupPermit) abortAll() {
	for r := range g.reservations {
		r.abort()
	}
}

// Acquire reserves one credit of the group. It returns nil and false if the
// group has no valid permit, has no free credit or is stalled.
func (h *Holder) Acquire(group string, now time.Time) (*Reservation, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.groups[group]
	if g == nil || !g.available(now) {
		return nil, false
	}
	r := h.reserve(group, g)
	if len(g.reservations) == 0 {
		g.lastToken = now
	}
	g.reservations[r] = struct{}{}
	return r, true
}

// available reports whether the group accepts another request at now.
func (g *groupPermit) available(now time.Time) bool {
	if !now.Before(g.expires) || len(g.reservations) >= g.credits {
		return false
	}
	stalled := len(g.reservations) > 0 && now.Sub(g.lastToken) > stallTimeout
	return !stalled || g.requestedAt.After(g.lastToken.Add(stallTimeout))
}

// reserve returns a reservation under the group's permit. It doesn't add it to
// g.reservations.
func (h *Holder) reserve(group string, g *groupPermit) *Reservation {
	r := &Reservation{Group: group, Generation: g.generation, Leader: g.leader}
	r.release = func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(g.reservations, r)
	}
	return r
}

// RecordToken records that the group produced a token at now.
func (h *Holder) RecordToken(group string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.groups[group]; g != nil {
		g.lastToken = now
	}
}

// AbortExpired aborts the reservations of cold groups whose permits have expired
// or were revoked or suspended, because the Lender may grant their credits to
// other entries.
func (h *Holder) AbortExpired(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, g := range h.groups {
		if g.cold && !now.Before(g.expires) {
			g.abortAll()
		}
	}
}

// Status describes the permit for one group.
type Status struct {
	Group      string
	Generation uint64
	Leader     string
	// Credits is the number of credits granted, including the reserved ones.
	Credits int
	// InFlight is the number of reserved credits.
	InFlight int
	// AppliedSeq is the sequence number of the grant that was last applied.
	AppliedSeq uint64
	Cold       bool
	// Available reports whether the group accepts another request.
	Available bool
	// Valid reports whether the permit has not expired.
	Valid bool
}

// Status returns the status of a group at now. For an unknown group, only the
// name is set.
func (h *Holder) Status(group string, now time.Time) Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.groups[group]
	if g == nil {
		return Status{Group: group}
	}
	return g.status(group, now)
}

func (g *groupPermit) status(name string, now time.Time) Status {
	return Status{
		Group: name, Generation: g.generation, Leader: g.leader,
		Credits: g.credits, InFlight: len(g.reservations), AppliedSeq: g.seq, Cold: g.cold,
		Available: g.available(now), Valid: now.Before(g.expires),
	}
}

// Statuses returns the status of every group at now, sorted by name.
func (h *Holder) Statuses(now time.Time) []Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	statuses := make([]Status, 0, len(h.groups))
	for name, g := range h.groups {
		statuses = append(statuses, g.status(name, now))
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].Group < statuses[j].Group })
	return statuses
}

// Prune removes the groups that no longer exist and have no requests in
// flight. exists is called with the Holder locked.
func (h *Holder) Prune(exists func(group string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, g := range h.groups {
		if !exists(name) && len(g.reservations) == 0 {
			delete(h.groups, name)
		}
	}
}
