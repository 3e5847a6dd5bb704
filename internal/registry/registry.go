package registry

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// View is an immutable snapshot of the registry.
type View struct {
	// Servers holds the registered servers by ID.
	Servers map[string]*Server
	// RemovedAt holds the time at which each server was removed from Servers, by
	// ID. After a store outage this is later than the time at which its record
	// disappeared. Entries are kept for removedRetention.
	RemovedAt map[string]time.Time
	// Removed holds the last record of each server in RemovedAt.
	Removed map[string]*Server
	// GoneSince holds the time at which this process learnt that a server has no
	// record, by ID. It also lists the servers that stay in Servers for the grace
	// period after a store outage. Entries are kept as long as those of RemovedAt.
	GoneSince map[string]time.Time
	// Version is the store version that the view includes.
	Version int64
	// AsOf is a time just before the store read behind this view. The view is at
	// least that fresh.
	AsOf time.Time

	// graceUntil is the end of the grace period after a store outage. Until then
	// a server whose record disappeared stays in Servers and is listed in
	// pendingRemoval, because its record may only have expired during the outage.
	graceUntil     time.Time
	pendingRemoval map[string]bool
}

// Successors returns the servers that are registered at the incarnation's last known
// address with a later start time, the latest first and at most maxSuccessors. A record
// states an address without proving it: only a successor that answers there shows that the
// incarnation has stopped.
func (v *View) Successors(inc Incarnation) []Incarnation {
	last := v.Servers[inc.ID]
	if last == nil || last.StartTime != inc.StartTime {
		last = v.Removed[inc.ID]
	}
	if last == nil || last.StartTime != inc.StartTime || last.Address == "" {
		return nil
	}
	var list []Incarnation
	for id, s := range v.Servers {
		if id != inc.ID && s.Address == last.Address && s.StartTime > inc.StartTime {
			list = append(list, s.Incarnation())
		}
	}
	slices.SortFunc(list, func(a, b Incarnation) int {
		return cmp.Or(cmp.Compare(b.StartTime, a.StartTime), cmp.Compare(a.ID, b.ID))
	})
	return list[:min(len(list), maxSuccessors)]
}

// maxSuccessors limits the servers that are asked whether they have the address of another.
const maxSuccessors = 3

// Change is the new record of one server. A nil Server means that the record
// was deleted or can't be decoded; both remove the server.
type Change struct {
	ID     string
	Server *Server
}

// removedRetention is how long the last record of a removed server is kept. It
// exceeds the time for which an unresponsive member can block its group.
const removedRetention = time.Minute

const (
	// outageThreshold is the interval between two reads from which the store
	// counts as having been unavailable. The store holds a read for at most 1.5 s,
	// and the next read follows within 1 s.
	outageThreshold = 3 * time.Second
	// reregisterGrace is how long after a store outage the servers may take to
	// write their expired records again.
	reregisterGrace = 2 * time.Second
)

// Registry holds the newest view. It is safe for concurrent use.
type Registry struct {
	mu   sync.Mutex
	view atomic.Pointer[View]
	// onStale is called for each record that is older than the current one.
	onStale func(current, dropped *Server)
	// leaving holds the incarnations that have said in a response that they leave,
	// whatever their records say, and when that was known.
	leaving map[Incarnation]time.Time
}

// New returns an empty Registry. onStale is called with the current record and
// the dropped one whenever a record is ignored because it is older.
func New(onStale func(current, dropped *Server)) *Registry {
	r := &Registry{onStale: onStale, leaving: make(map[Incarnation]time.Time)}
	r.view.Store(&View{
		Servers: map[string]*Server{}, RemovedAt: map[string]time.Time{}, Removed: map[string]*Server{},
		GoneSince: map[string]time.Time{},
	})
	return r
}

// View returns the newest view.
func (r *Registry) View() *View {
	return r.view.Load()
}

// Apply applies changes in order and returns the new view. If full is set, the
// changes list every server, and servers not among them are removed. Within the
// grace period after a store outage, removals are deferred to the first Apply
// after its end. onStale is called with the Registry locked, so it must not call
// Apply.
func (r *Registry) Apply(changes []Change, full bool, version int64, asOf, now time.Time) *View {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.view.Load()
	next := &View{
		Servers:   make(map[string]*Server, len(old.Servers)),
		RemovedAt: make(map[string]time.Time, len(old.RemovedAt)),
		Removed:   make(map[string]*Server, len(old.Removed)),
		GoneSince: maps.Clone(old.GoneSince),
		Version:   version, AsOf: asOf,
		graceUntil: old.graceUntil, pendingRemoval: maps.Clone(old.pendingRemoval),
	}
	if !old.AsOf.IsZero() && asOf.Sub(old.AsOf) > outageThreshold {
		next.graceUntil = now.Add(reregisterGrace)
	}
	for id, at := range old.RemovedAt {
		if now.Sub(at) < removedRetention {
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
	if full {
		for id := range old.Servers {
			if !listed[id] {
				next.removeOrDefer(id, now)
			}
		}
	}
	if !now.Before(next.graceUntil) {
		for id := range next.pendingRemoval {
			next.remove(id, now)
		}
		next.pendingRemoval = nil
	}
	maps.DeleteFunc(next.GoneSince, func(id string, _ time.Time) bool {
		return next.Servers[id] == nil && next.Removed[id] == nil
	})
	maps.DeleteFunc(r.leaving, func(inc Incarnation, at time.Time) bool {
		return now.Sub(at) > removedRetention && !next.runs(inc)
	})
	r.view.Store(next)
	return next
}

// MarkLeaving makes an incarnation count as leaving from now on, whatever its records
// say, and returns the new view.
func (r *Registry) MarkLeaving(inc Incarnation, now time.Time) *View {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving[inc] = now
	next := *r.view.Load()
	if next.runs(inc) {
		next.Servers = maps.Clone(next.Servers)
		next.Servers[inc.ID] = r.withStatements(next.Servers[inc.ID])
	} else if s := next.Removed[inc.ID]; s != nil && s.StartTime == inc.StartTime {
		next.Removed = maps.Clone(next.Removed)
		next.Removed[inc.ID] = r.withStatements(s)
	}
	r.view.Store(&next)
	return &next
}

// withStatements returns the record, changed by what the server has said since. The
// caller holds r.mu.
func (r *Registry) withStatements(s *Server) *Server {
	if _, leaving := r.leaving[s.Incarnation()]; !leaving || s.Leaving {
		return s
	}
	changed := *s
	changed.Leaving = true
	return &changed
}

// runs reports whether the incarnation is registered.
func (v *View) runs(inc Incarnation) bool {
	s := v.Servers[inc.ID]
	return s != nil && s.StartTime == inc.StartTime
}

// apply applies one change to v, which is not published yet. The caller holds
// r.mu.
func (r *Registry) apply(v *View, c Change, now time.Time) {
	if c.Server == nil {
		v.removeOrDefer(c.ID, now)
		return
	}
	current := v.Servers[c.ID]
	if current != nil && isOlder(c.Server, current) {
		r.onStale(current, c.Server)
		return
	}
	delete(v.RemovedAt, c.ID)
	delete(v.Removed, c.ID)
	delete(v.GoneSince, c.ID)
	delete(v.pendingRemoval, c.ID)
	v.Servers[c.ID] = r.withStatements(c.Server)
}

// isOlder reports whether record s was written before the current one: by an
// earlier incarnation, or by the same incarnation with a lower order count.
func isOlder(s, current *Server) bool {
	if s.StartTime != current.StartTime {
		return s.StartTime < current.StartTime
	}
	return s.OrderCount < current.OrderCount
}

// removeOrDefer removes a server, or defers the removal during the grace
// period after a store outage.
func (v *View) removeOrDefer(id string, now time.Time) {
	if !now.Before(v.graceUntil) {
		v.remove(id, now)
		return
	}
	if v.Servers[id] == nil {
		return
	}
	if v.pendingRemoval == nil {
		v.pendingRemoval = make(map[string]bool)
	}
	v.pendingRemoval[id] = true
	v.markGone(id, now)
}

// remove moves a server from Servers to RemovedAt and Removed. It has no effect
// if the server is not in Servers.
func (v *View) remove(id string, now time.Time) {
	current := v.Servers[id]
	if current == nil {
		return
	}
	delete(v.Servers, id)
	v.RemovedAt[id], v.Removed[id] = now, current
	v.markGone(id, now)
}

// markGone sets the server's entry in GoneSince if it has none.
func (v *View) markGone(id string, now time.Time) {
	if _, known := v.GoneSince[id]; !known {
		v.GoneSince[id] = now
	}
}
