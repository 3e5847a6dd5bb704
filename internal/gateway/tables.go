package gateway

import (
	"sync"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/quarantine"
	"github.com/hibiscuspulley/hibiscuspulley/internal/relay"
	"github.com/hibiscuspulley/hibiscuspulley/internal/store"
)

// unchangedInterval is how often a table's users are told that it is up to date
// while it does not change.
const unchangedInterval = 500 * time.Millisecond

// followedTable is a table of the store whose rows this entry reads from the store
// or gets from a relay, and passes on.
type followedTable struct {
	name    string
	cache   *relay.Table
	use     func(store.Update)
	returns *storeReturns
	// distrustful is set if the first rows after the entry's start are not used at once
	// if the store has ever come back from an older copy: they may be the copy's.
	distrustful bool

	// mu serialises the updates, which come from the store and from relays.
	mu     sync.Mutex
	usedAt time.Time
	// trustedFrom is when the first rows may be used. unused is set until then.
	trustedFrom time.Time
	unused      bool
}

// apply adds an update and passes on what is new in it.
func (t *followedTable) apply(now time.Time, u store.Update) {
	t.mu.Lock()
	defer t.mu.Unlock()
	era := t.cache.Era()
	news, ok := t.cache.Apply(u)
	if !ok {
		return
	}
	t.returns.observe(now, t.name, tableState{version: news.Version, held: t.cache.Held(), gone: t.cache.Gone()})
	if era < 0 && t.distrustful && t.cache.Era() > 0 {
		t.unused, t.trustedFrom = true, news.AsOf.Add(store.RestoreGrace)
	}
	if t.unused {
		if news.AsOf.Before(t.trustedFrom) {
			return
		}
		t.unused = false
		news, _ = t.cache.Since(0)
	}
	if len(news.Rows)+len(news.Missing) == 0 && now.Sub(t.usedAt) < unchangedInterval {
		return
	}
	t.usedAt = now
	t.use(news)
}

// newTables returns the tables that entries follow.
func newTables(g *Gateway) []*followedTable {
	returns := newStoreReturns(g.logger)
	return []*followedTable{
		{name: g.platform.OperatorTable, cache: relay.NewTable(), use: g.configCache.apply, returns: returns, distrustful: true},
		{name: g.platform.ServerTable, cache: relay.NewTable(relay.WithKeep(g.keepsServer)), use: g.applyServers, returns: returns},
		{name: quarantine.Table, cache: relay.NewTable(), use: g.isolation.apply, returns: returns},
	}
}

// keepsServer reports whether what is known of a server's record stays in force for now
// although the store has come back from an older copy: if the copy lacks the record, if the
// server had left since, or if it has said since that it leaves.
func (g *Gateway) keepsServer(known, copied store.Row) bool {
	return known.Deleted || copied.Deleted || (g.isLeaving(known) && !g.isLeaving(copied))
}

// isLeaving reports whether a server's record says that it leaves.
func (g *Gateway) isLeaving(row store.Row) bool {
	s, err := g.platform.DecodeServer(row.Key, row.Value, time.Now())
	return err == nil && s != nil && s.Leaving
}

// table returns a followed table by its name.
func (g *Gateway) table(name string) *followedTable {
	for _, t := range g.tables {
		if t.name == name {
			return t
		}
	}
	return nil
}
