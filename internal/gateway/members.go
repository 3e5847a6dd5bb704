package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/membership"
	"github.com/hibiscuspulley/hibiscuspulley/internal/store"
	etcd "github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

const (
	// entryTable holds one session row per entry.
	entryTable = "entries"
	// settledReads is the number of successful reads from which the rows are
	// used to count the entries that share the bounds. At the first read,
	// entries that start together have not written their rows yet.
	settledReads = 2
	// memberCallTimeout limits one write of the entry's row, or one read of all
	// rows.
	memberCallTimeout = 1500 * time.Millisecond
)

// entryTiming renews less often than the controller lease: these rows only show
// which entries are live, and each call is billed.
func entryTiming() membership.Timing {
	return membership.Timing{RenewInterval: 2 * time.Second, Term: 6 * time.Second, Grace: time.Second}
}

// members renews the entry's own session row and reads those of the other
// entries.
type members struct {
	gateway *Gateway
	session membership.Session
	watcher *membership.Watcher
	timing  membership.Timing
	health  storeHealth
	// live is the number of live entries. Until settledReads reads have
	// succeeded, it is dispatch.DefaultEntryCount.
	live atomic.Int64
	// reads counts the successful reads.
	reads int
}

func newMembers(g *Gateway) *members {
	timing := entryTiming()
	m := &members{
		gateway: g, watcher: membership.NewWatcher(timing), timing: timing,
		health: storeHealth{logger: g.logger, table: entryTable},
		session: membership.Session{
			Entry: g.settings.Name, Zone: g.settings.Zone, Address: g.settings.PeerAddress,
			Incarnation: g.bootClock().Format(time.RFC3339Nano), Epoch: 1, State: membership.Live,
		},
	}
	m.live.Store(dispatch.DefaultEntryCount)
	return m
}

// count returns the number of live entries, or dispatch.DefaultEntryCount until
// it is known. It is at least 1.
func (m *members) count() int { return int(m.live.Load()) }

func (m *members) run(ctx context.Context) {
	ticker := time.NewTicker(m.timing.RenewInterval)
	defer ticker.Stop()
	for {
		m.renew(ctx)
		m.read(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *members) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, memberCallTimeout)
	defer cancel()
	m.session.Counter++
	key := store.RowKey{Table: entryTable, Key: membership.Key(m.session.Zone, m.session.Entry)}
	_, err := m.gateway.platform.Store.Commit(ctx, store.Transaction{
		Puts: []store.Put{{RowKey: key, Value: membership.Encode(m.session)}},
	})
	m.health.record(err)
}

func (m *members) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, memberCallTimeout)
	defer cancel()
	sentAt := m.gateway.bootClock()
	page, err := m.gateway.platform.Store.ReadAll(ctx, entryTable, "")
	m.health.record(err)
	if err != nil {
		return
	}
	rows := make([]membership.Row, 0, len(page.Rows))
	for _, row := range page.Rows {
		decoded, err := decodeSession(row)
		if err != nil {
			event.RowInvalid.Log(m.gateway.logger, logrus.Fields{"table": entryTable, "key": row.Key, "error": err})
			continue
		}
		rows = append(rows, decoded)
	}
	m.watcher.Observe(sentAt, m.gateway.bootClock(), rows)
	live := make([]membership.Row, 0, len(rows))
	for _, row := range rows {
		if row.State == membership.Live && !m.watcher.Expired(row) {
			live = append(live, row)
		}
	}
	m.gateway.peers.update(live)
	m.reads++
	if m.reads < settledReads {
		return
	}
	m.live.Store(int64(max(len(live), 1)))
	entries := make([]dispatch.Entry, 0, len(live))
	for _, row := range live {
		entries = append(entries, dispatch.Entry{Name: row.Entry, Zone: row.Zone})
	}
	m.gateway.balancer.SetEntries(m.session.Entry, entries)
}

func decodeSession(row store.Row) (membership.Row, error) {
	return membership.Decode(etcd.Row{Key: row.Key, Value: row.Value, Version: row.Version})
}
