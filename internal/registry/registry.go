package registry

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// View is an immutable state of the registry.
type View struct {
	// Servers are the known servers by their ID.
	Servers map[string]*Server
	// Gone is when a removed server's entry was seen to go.
	RemovedAt map[string]time.Time
	// Former holds the last entry of each removed server.
	Removed map[string]*Server
	// Version is the store's version that the view is known up to.
	Version int64
	// AsOf is the time before the read that the view comes from.
	AsOf time.Time

	// heldUntil is until when entries that vanish are taken to have lapsed
	// while the store was away; held are those that did.
	heldUntil time.Time
	held      map[string]bool
}

// Change is one server's new entry; a nil Server means that the entry is gone.
type Change struct {
	ID     string
	Server *Server
}

// goneFor is how long a removed server is remembered: longer than a silent
// member holds up its group.
const goneFor = time.Minute

const (
	// awayAfter is the time between two reads after which the store counts as
	// having been away. The longest that the store may hold a read is 1.5 s,
	// and reads follow each other within 1 s.
	awayAfter = 3 * time.Second
	// backWithin is how long after the store's return entries that lapsed
	// meanwhile may take to come back (the platform's page on discovery).
	backWithin = 2 * time.Second
)

// Registry holds the newest view. It is safe for concurrent use.
type Registry struct {
	mu   sync.Mutex
	view atomic.Pointer[View]
	// Stale learns of an entry that is older than what is known.
	stale func(known, dropped *Server)
}

// New returns an empty Registry. stale learns of entries that were passed
// over since they are older than what is known.
func New(stale func(known, dropped *Server)) *Registry {
	r := &Registry{stale: stale}
	r.view.Store(&View{Servers: map[string]*Server{}, RemovedAt: map[string]time.Time{}, Removed: map[string]*Server{}})
	return r
}

// View returns the newest view.
func (r *Registry) View() *View {
	return r.view.Load()
}

// Apply takes changes in order. With whole, servers without a change are gone.
func (r *Registry) Apply(changes []Change, whole bool, version int64, asOf, now time.Time) *View {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.view.Load()
	next := &View{
		Servers:   make(map[string]*Server, len(old.Servers)),
		RemovedAt: make(map[string]time.Time, len(old.RemovedAt)),
		Removed:   make(map[string]*Server, len(old.Removed)),
		Version:   version, AsOf: asOf,
		heldUntil: old.heldUntil, held: maps.Clone(old.held),
	}
	if !old.AsOf.IsZero() && asOf.Sub(old.AsOf) > awayAfter {
		next.heldUntil = now.Add(backWithin)
	}
	for id, at := range old.RemovedAt {
		if now.Sub(at) < goneFor {
			next.RemovedAt[id], next.Removed[id] = at, old.Removed[id]
		}
	}
	for id, s := range old.Servers {
		next.Servers[id] = s
	}
	listed := make(map[string]bool, len(changes))
	for _, c := range changes {
		listed[c.ID] = true
		r.apply(next, c, now)
	}
	if whole {
		for id := range old.Servers {
			if !listed[id] {
				next.vanish(id, now)
			}
		}
	}
	if !now.Before(next.heldUntil) {
		for id := range next.held {
			next.remove(id, now)
		}
		next.held = nil
	}
	r.view.Store(next)
	return next
}

func (r *Registry) apply(v *View, c Change, now time.Time) {
	if c.Server == nil {
		v.vanish(c.ID, now)
		return
	}
	known := v.Servers[c.ID]
	if known != nil && older(c.Server, known) {
		r.stale(known, c.Server)
		return
	}
	delete(v.RemovedAt, c.ID)
	delete(v.Removed, c.ID)
	delete(v.held, c.ID)
	v.Servers[c.ID] = c.Server
}

// older reports whether an entry was written before the known one: by an
// earlier lifetime, or with fewer orders of the same one.
func older(s, known *Server) bool {
	if s.StartTime != known.StartTime {
		return s.StartTime < known.StartTime
	}
	return s.OrderCount < known.OrderCount
}

// vanish takes an entry out, or holds it while it may still come back.
func (v *View) vanish(id string, now time.Time) {
	if !now.Before(v.heldUntil) {
		v.remove(id, now)
		return
	}
	if v.Servers[id] == nil {
		return
	}
	if v.held == nil {
		v.held = make(map[string]bool)
	}
	v.held[id] = true
}

func (v *View) remove(id string, now time.Time) {
	known := v.Servers[id]
	if known == nil {
		return
	}
	delete(v.Servers, id)
	v.RemovedAt[id], v.Removed[id] = now, known
}
