package permit

import (
	"sort"
	"sync"
	"time"
)

// stallTime is how long a busy group may produce no token before new sends
// wait for a permit that was asked for after the stall began.
const stallTime = time.Second

// held is what a Holder knows of one group.
type held struct {
	generation uint64
	leader     string
	seq        uint64
	credits    int
	cold       bool
	askedAt    time.Time
	expires    time.Time
	lastToken  time.Time
	tickets    map[*Ticket]struct{}
}

// Holder keeps the permits of one entry. It is safe for concurrent use.
type Holder struct {
	mu     sync.Mutex
	groups map[string]*held
}

// NewHolder returns a Holder without permits.
func NewHolder() *Holder {
	return &Holder{groups: make(map[string]*held)}
}

// Apply takes over a grant that was asked for at askedAt. A grant of a lower
// generation than one seen before, or older than the one in force, is passed
// over.
func (h *Holder) Apply(askedAt time.Time, g Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	group := h.groups[g.Group]
	if group == nil {
		group = &held{tickets: make(map[*Ticket]struct{})}
		h.groups[g.Group] = group
	}
	if g.Generation < group.generation || askedAt.Before(group.askedAt) {
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
	group.askedAt = askedAt
	group.expires = askedAt.Add(g.Remaining)
}

// Revoke ends a group's permit at once.
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

// Hold stops new sends to a group until a permit that is asked for after now.
func (h *Holder) Hold(group string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.groups[group]
	if g == nil {
		return
	}
	g.expires = time.Time{}
	g.askedAt = now
}

func (g *held) abortAll() {
	for t := range g.tickets {
		t.abort()
	}
}

// Acquire takes one credit of the group, or returns false without one.
func (h *Holder) Acquire(group string, now time.Time) (*Ticket, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.groups[group]
	if g == nil || !g.open(now) {
		return nil, false
	}
	t := h.ticket(group, g)
	if len(g.tickets) == 0 {
		g.lastToken = now
	}
	g.tickets[t] = struct{}{}
	return t, true
}

// open reports whether the group takes another request now.
func (g *held) open(now time.Time) bool {
	if !now.Before(g.expires) || len(g.tickets) >= g.credits {
		return false
	}
	stalled := len(g.tickets) > 0 && now.Sub(g.lastToken) > stallTime
	return !stalled || g.askedAt.After(g.lastToken.Add(stallTime))
}

func (h *Holder) ticket(group string, g *held) *Ticket {
	t := &Ticket{Group: group, Generation: g.generation, Leader: g.leader}
	t.release = func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(g.tickets, t)
	}
	return t
}

// Token notes that the group produced a token at now.
func (h *Holder) Token(group string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.groups[group]; g != nil {
		g.lastToken = now
	}
}

// Expire ends the requests of cold groups whose permits have run out: their
// credits may be lent to others from now on.
func (h *Holder) Expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, g := range h.groups {
		if g.cold && !now.Before(g.expires) {
			g.abortAll()
		}
	}
}

// Status is what a Holder knows of one group.
type Status struct {
	Group      string
	Generation uint64
	Leader     string
	Credits    int
	InFlight   int
	Applied    uint64
	Cold       bool
	// Open says that the group takes another request.
	Open bool
	// Valid says that the permit has not run out.
	Valid bool
}

// Status returns what is known of a group.
func (h *Holder) Status(group string, now time.Time) Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.groups[group]
	if g == nil {
		return Status{Group: group}
	}
	return g.status(group, now)
}

func (g *held) status(name string, now time.Time) Status {
	return Status{
		Group: name, Generation: g.generation, Leader: g.leader,
		Credits: g.credits, InFlight: len(g.tickets), Applied: g.seq, Cold: g.cold,
		Open: g.open(now), Valid: now.Before(g.expires),
	}
}

// All returns what is known of every group, by name.
func (h *Holder) All(now time.Time) []Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make([]Status, 0, len(h.groups))
	for name, g := range h.groups {
		all = append(all, g.status(name, now))
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Group < all[j].Group })
	return all
}

// Forget drops the groups that no longer exist and have no request left.
func (h *Holder) Forget(exists func(group string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, g := range h.groups {
		if !exists(name) && len(g.tickets) == 0 {
			delete(h.groups, name)
		}
	}
}
