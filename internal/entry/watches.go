package entry

import (
	"sort"
	"sync"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/grouping"
	"github.com/hibiscuspulley/hibiscuspulley/internal/permit"
)

// takeoverDelay is how long a new owner grants no cold credits and sends no orders.
// Afterwards, the cold credits and orders of the previous owner have expired.
const takeoverDelay = grouping.ProbeMaxAge + orderTimeout

// watches holds the entry's watches: one for each group that it owns, and one for
// each group for which an entry requests credits while the owner is unresponsive.
type watches struct {
	deps  watchDependencies
	entry string
	view  func() *grouping.View

	mu     sync.Mutex
	byName map[string]*watch
	closed bool
}

func newWatches(entry string, deps watchDependencies, view func() *grouping.View) *watches {
	return &watches{deps: deps, entry: entry, view: view, byName: make(map[string]*watch)}
}

// get returns the watch of a group. If there is none, it starts one with the
// takeover delay, or returns nil if the view has no such group or the watches are
// closed.
func (ws *watches) get(group string) *watch {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if w := ws.byName[group]; w != nil {
		return w
	}
	row, found := ws.view().Groups[group]
	if !found || ws.closed {
		return nil
	}
	w := newWatch(ws.deps, row.Group, time.Now().Add(takeoverDelay))
	ws.byName[group] = w
	return w
}

// grant grants credits in response to a credit request of an entry. It returns
// false if the group can't be watched.
func (ws *watches) grant(now time.Time, req permit.CreditRequest) (permit.Grant, bool) {
	w := ws.get(req.Group)
	if w == nil {
		return permit.Grant{}, false
	}
	return w.grant(now, req), true
}

// watchOwned starts or updates the watch of a group that this entry owns. formed
// reports whether this entry has just committed a new generation of the group, so
// there is no takeover delay. If the watch exists and the owner is unchanged, the
// delay stays as it was.
func (ws *watches) watchOwned(g grouping.Group, formed bool) {
	notBefore := time.Now()
	if !formed {
		notBefore = notBefore.Add(takeoverDelay)
	}
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if ws.closed {
		return
	}
	if w := ws.byName[g.Name]; w != nil {
		w.update(g, notBefore)
		return
	}
	ws.byName[g.Name] = newWatch(ws.deps, g, notBefore)
}

// sync applies the current view. It updates the watches of changed groups, stops
// the watches of other owners' groups that were deleted or are idle, and starts the
// missing watches of the groups whose owner has this entry's name.
func (ws *watches) sync(now time.Time) {
	view := ws.view()
	for _, w := range ws.removeStale(now, view) {
		w.close()
	}
	for name, row := range view.Groups {
		if row.Owner.Entry == ws.entry {
			ws.get(name)
		}
	}
}

// removeStale removes and returns the watches of other owners' groups that were
// deleted or are idle. It updates the watches of changed groups.
func (ws *watches) removeStale(now time.Time, view *grouping.View) []*watch {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	var stale []*watch
	for name, w := range ws.byName {
		row, found := view.Groups[name]
		watched := w.status(now, 0).group
		switch {
		case !found && watched.Owner.Entry != ws.entry, found && row.Owner.Entry != ws.entry && w.idle(now):
			stale = append(stale, w)
			delete(ws.byName, name)
		case found && row.Generation >= watched.Generation && row.Attempt != watched.Attempt:
			w.update(row.Group, now.Add(takeoverDelay))
		}
	}
	return stale
}

// remove stops the watch of a group that this entry has dissolved.
func (ws *watches) remove(group string) {
	ws.mu.Lock()
	w := ws.byName[group]
	delete(ws.byName, group)
	ws.mu.Unlock()
	if w != nil {
		w.close()
	}
}

// statuses returns the statuses of all watches, sorted by group name.
func (ws *watches) statuses(now time.Time, missingFor time.Duration) []watchStatus {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	all := make([]watchStatus, 0, len(ws.byName))
	for _, w := range ws.byName {
		all = append(all, w.status(now, missingFor))
	}
	sort.Slice(all, func(i, j int) bool { return all[i].group.Name < all[j].group.Name })
	return all
}

// failingInstances returns the members of watched groups whose last probe failed.
func (ws *watches) failingInstances(now time.Time) map[string]bool {
	failing := make(map[string]bool)
	for _, s := range ws.statuses(now, 0) {
		for _, instance := range s.missing {
			failing[instance] = true
		}
	}
	return failing
}

// close stops all watches. No further watches are started.
func (ws *watches) close() {
	ws.mu.Lock()
	ws.closed = true
	all := ws.byName
	ws.byName = make(map[string]*watch)
	ws.mu.Unlock()
	for _, w := range all {
		w.close()
	}
}
