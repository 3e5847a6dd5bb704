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
	name  string
	cache *relay.Table
	use   func(store.Update)
	// mu serialises the updates, which come from the store and from relays.
	mu     sync.Mutex
	usedAt time.Time
}

// apply adds an update and passes on what is new in it.
func (t *followedTable) apply(now time.Time, u store.Update) {
	t.mu.Lock()
	defer t.mu.Unlock()
	news, ok := t.cache.Apply(u)
	if !ok || (len(news.Rows) == 0 && now.Sub(t.usedAt) < unchangedInterval) {
		return
	}
	t.usedAt = now
	t.use(news)
}

// newTables returns the tables that entries follow.
func newTables(g *Gateway) []*followedTable {
	return []*followedTable{
		{name: g.platform.OperatorTable, cache: relay.NewTable(), use: g.configCache.apply},
		{name: g.platform.ServerTable, cache: relay.NewTable(), use: g.applyServers},
		{name: quarantine.Table, cache: relay.NewTable(), use: g.isolation.apply},
	}
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
