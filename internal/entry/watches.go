package entry

import (
	"sort"
	"sync"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/grouping"
	"github.com/hibiscuspulley/hibiscuspulley/internal/permit"
)

// takeoverWait is how long a new owner holds cold credits and orders back,
// until those of the earlier owner have ended.
const takeoverWait = grouping.ProbeMaxAge + orderTimeout

// watches holds the groups that this entry watches: those that it owns, and
// those that entries ask it for while their owner is silent.
type watches struct {
	seams watchDependencies
	entry string
	view  func() *grouping.View

	mu     sync.Mutex
	byName map[string]*watch
	closed bool
}

func newWatches(entry string, seams watchDependencies, view func() *grouping.View) *watches {
	return &watches{seams: seams, entry: entry, view: view, byName: make(map[string]*watch)}
}

// get returns the watch of a group, starting it if the group exists.
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
	w := newWatch(ws.seams, row.Group, time.Now().Add(takeoverWait))
	ws.byName[group] = w
	return w
}

// grant answers an entry's demand for a group.
func (ws *watches) grant(now time.Time, d permit.CreditRequest) (permit.Grant, bool) {
	w := ws.get(d.Group)
	if w == nil {
		return permit.Grant{}, false
	}
	return w.ask(now, d), true
}

// adopt starts or updates the watch of a group that this entry owns. A group
// that it has just formed needs no wait.
func (ws *watches) adopt(g grouping.Group, formed bool) {
	notBefore := time.Now()
	if !formed {
		notBefore = notBefore.Add(takeoverWait)
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
	ws.byName[g.Name] = newWatch(ws.seams, g, notBefore)
}

// follow takes over a newer view: changed groups are updated, vanished ones
// and those that nobody asks for are no longer watched.
func (ws *watches) follow(now time.Time) {
	view := ws.view()
	for _, w := range ws.takeStale(now, view) {
		w.close()
	}
	for name, row := range view.Groups {
		if row.Owner.Entry == ws.entry {
			ws.get(name)
		}
	}
}

func (ws *watches) takeStale(now time.Time, view *grouping.View) []*watch {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	var stale []*watch
	for name, w := range ws.byName {
		row, found := view.Groups[name]
		known := w.status(now, 0).group
		switch {
		case !found && known.Owner.Entry != ws.entry, found && row.Owner.Entry != ws.entry && w.idle(now):
			stale = append(stale, w)
			delete(ws.byName, name)
		case found && row.Generation >= known.Generation && row.Attempt != known.Attempt:
			w.update(row.Group, now.Add(takeoverWait))
		}
	}
	return stale
}

// drop ends the watch of a group that this entry has released.
func (ws *watches) drop(group string) {
	ws.mu.Lock()
	w := ws.byName[group]
	delete(ws.byName, group)
	ws.mu.Unlock()
	if w != nil {
		w.close()
	}
}

// statuses returns what all watches know, by group.
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

// suspected reports whether a probe of the instance has failed lately.
func (ws *watches) suspected(now time.Time) map[string]bool {
	suspects := make(map[string]bool)
	for _, s := range ws.statuses(now, 0) {
		for _, instance := range s.missing {
			suspects[instance] = true
		}
	}
	return suspects
}

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
