package quota

import (
	"slices"
	"sync"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

const (
	// contactTimeout is how long after its last contact with an allocating entry an
	// entry counts on grants. After that it sends within its own part of a limit.
	contactTimeout = time.Second
	// aloneShare is the share of a limit that all entries without contact may use
	// together, beside what others are granted. It lets them learn that a limit is
	// gone.
	aloneShare = 0.25
)

// Holder holds the grants of one entry. It is safe for concurrent use.
type Holder struct {
	book *Book

	// entries returns the number of entries that share the limits.
	entries func() int

	mu     sync.Mutex
	grants map[registry.Incarnation][]heldGrant
	// contactAt is when the entry last heard from an entry that allocates.
	contactAt time.Time
	// alone holds what the entry may send without grants, by server.
	alone map[registry.Incarnation]*bucket
}

type heldGrant struct {
	requests int
	until    time.Time
}

// NewHolder returns a Holder without grants, for the limits in the book. entries
// returns the number of entries that share the limits.
func NewHolder(b *Book, entries func() int) *Holder {
	return &Holder{
		book: b, entries: entries,
		grants: make(map[registry.Incarnation][]heldGrant), alone: make(map[registry.Incarnation]*bucket),
	}
}

// Contact records that the entry has heard from an entry that allocates.
func (h *Holder) Contact(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.contactAt = now
	clear(h.alone)
}

// Add adds grants.
func (h *Holder) Add(now time.Time, grants []Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, g := range grants {
		h.grants[g.Server] = append(h.valid(now, g.Server), heldGrant{requests: g.Requests, until: now.Add(g.ValidFor)})
	}
}

// valid returns the grants for a server that have not expired. The caller holds h.mu.
func (h *Holder) valid(now time.Time, server registry.Incarnation) []heldGrant {
	grants := slices.DeleteFunc(h.grants[server], func(g heldGrant) bool { return g.requests == 0 || !now.Before(g.until) })
	if len(grants) == 0 {
		delete(h.grants, server)
		return nil
	}
	h.grants[server] = grants
	return grants
}

// Held returns the number of requests that the entry may send to a server with its
// grants.
func (h *Holder) Held(now time.Time, server registry.Incarnation) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, g := range h.valid(now, server) {
		n += g.requests
	}
	return n
}

// Limited reports whether the server has a limit.
func (h *Holder) Limited(server registry.Incarnation) bool { return h.book.Rate(server) > 0 }

// WaitUntil returns until when the server wants or last wanted no requests. It is zero
// if it has not asked for time lately.
func (h *Holder) WaitUntil(now time.Time, server registry.Incarnation) time.Time {
	return h.book.WaitUntil(now, server)
}

// Allows reports whether the entry may send a request to the server now: if the server
// has no limit, with a grant, or without contact within the entry's own part.
func (h *Holder) Allows(now time.Time, server registry.Incarnation) bool {
	rate := h.book.Rate(server)
	if rate == 0 {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.valid(now, server)) > 0 {
		return true
	}
	return h.aloneBucket(now, server, rate).requests >= 1
}

// aloneBucket returns what the entry may send to a server without grants: nothing
// until contactTimeout after its last contact. The caller holds h.mu.
func (h *Holder) aloneBucket(now time.Time, server registry.Incarnation, rate float64) *bucket {
	if h.contactAt.IsZero() {
		h.contactAt = now // the entry has just started
	}
	b := h.alone[server]
	if b == nil {
		b = &bucket{filledAt: now}
		h.alone[server] = b
	}
	since := b.filledAt
	if from := h.contactAt.Add(contactTimeout); since.Before(from) {
		since = from
	}
	if now.After(since) {
		b.requests += rate * aloneShare / float64(max(h.entries(), 1)) * now.Sub(since).Seconds()
		b.filledAt = now
	}
	b.requests = min(b.requests, 1)
	return b
}

// Take uses up one request of a grant for the server, of the one that expires first.
// It has no effect if the server has no limit.
func (h *Holder) Take(now time.Time, server registry.Incarnation) {
	rate := h.book.Rate(server)
	if rate == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(takeFirst(h.valid(now, server), 1)) == 0 {
		h.aloneBucket(now, server, rate).requests--
	}
}

// takeFirst takes n requests out of grants, those that expire first.
func takeFirst(grants []heldGrant, n int) []heldGrant {
	var taken []heldGrant
	for n > 0 {
		first := -1
		for i, g := range grants {
			if g.requests > 0 && (first < 0 || g.until.Before(grants[first].until)) {
				first = i
			}
		}
		if first < 0 {
			break
		}
		part := grants[first]
		part.requests = min(part.requests, n)
		grants[first].requests -= part.requests
		n -= part.requests
		taken = append(taken, part)
	}
	return taken
}

// HandOver takes up to n requests out of the grants for the servers, to pass them on
// to another entry.
func (h *Holder) HandOver(now time.Time, servers []registry.Incarnation, n int) []Grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	var grants []Grant
	for _, server := range servers {
		for _, g := range takeFirst(h.valid(now, server), n) {
			n -= g.requests
			grants = append(grants, Grant{Server: server, Requests: g.requests, ValidFor: g.until.Sub(now)})
		}
	}
	return grants
}
