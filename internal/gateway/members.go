package gateway

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/membership"
	"github.com/hibiscuspulley/hibiscuspulley/internal/relay"
	"github.com/hibiscuspulley/hibiscuspulley/internal/store"
	etcd "github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

const (
	// entryTable holds one session row per entry.
	entryTable = "entries"
	// settledReads is the number of successful reads from which the rows are
	// used to count the entries that share the bounds. At the first read,
	// entries that start together have not written their rows yet. A relay's list
	// is used at once.
	settledReads = 2
	// memberCallTimeout limits one write of the entry's row, or one read of all
	// rows.
	memberCallTimeout = 1500 * time.Millisecond
	// secondReadAfter is the time from the first read of the rows to the second one.
	// By then, entries that start together have written their rows.
	secondReadAfter = 700 * time.Millisecond
	// maxRenewals is the number of rows that one transaction renews.
	maxRenewals = store.MaxTransactionRows
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
	// mu guards session.
	mu      sync.Mutex
	session membership.Session
	watcher *membership.Watcher
	timing  membership.Timing
	health  storeHealth
	// live is the number of live entries. Until settledReads reads have
	// succeeded, it is dispatch.DefaultEntryCount.
	live atomic.Int64
	// reads counts the successful reads.
	reads atomic.Int64
	// rows are those of the last read, by entry, and era is its era. Until keepUntil, rows
	// that the store has lost are kept.
	rows      map[string]membership.Row
	era       int64
	keepUntil time.Time
}

func newMembers(g *Gateway) *members {
	timing := entryTiming()
	m := &members{
		gateway: g, watcher: membership.NewWatcher(timing), timing: timing,
		health: storeHealth{logger: g.logger, table: entryTable},
		session: membership.Session{
			Entry: g.settings.Name, Zone: g.settings.Zone, Address: g.settings.PeerAddress,
			Strength:    g.settings.ProcessorShare,
			Incarnation: g.bootClock().Format(time.RFC3339Nano), Epoch: 1, State: membership.Live,
		},
	}
	m.live.Store(dispatch.DefaultEntryCount)
	return m
}

// count returns the number of live entries, or dispatch.DefaultEntryCount until
// it is known. It is at least 1.
func (m *members) count() int { return int(m.live.Load()) }

// run writes the entry's row at its start. After that it renews and reads the rows
// only while the entry follows the store. Otherwise a relay renews its row, and
// passes the list of live entries on.
func (m *members) run(ctx context.Context) {
	m.renew(ctx)
	m.read(ctx)
	pause := secondReadAfter
	for {
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		pause = m.timing.RenewInterval
		if m.gateway.relays.readsStore() {
			m.renew(ctx)
			m.read(ctx)
		}
	}
}

// encodedSession returns the entry's row.
func (m *members) encodedSession() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return membership.Encode(m.session)
}

// renew renews the rows of this entry and of those that it relays for.
func (m *members) renew(ctx context.Context) {
	m.mu.Lock()
	m.session.Counter++
	sessions := []membership.Session{m.session}
	m.mu.Unlock()
	for _, encoded := range m.gateway.relays.sessionsToRenew() {
		row, err := membership.Decode(etcd.Row{Value: encoded})
		if err != nil {
			m.gateway.logger.WithError(err).Warn("the session of an entry that this one relays for can't be read")
			continue
		}
		// A renewal is a change of the counter, whoever makes it.
		row.Counter = uint64(m.gateway.bootClock().UnixMilli())
		sessions = append(sessions, row.Session)
	}
	for batch := range slices.Chunk(sessions, maxRenewals) {
		var t store.Transaction
		for _, s := range batch {
			key := store.RowKey{Table: entryTable, Key: membership.Key(s.Zone, s.Entry)}
			t.Puts = append(t.Puts, store.Put{RowKey: key, Value: membership.Encode(s)})
		}
		m.commit(ctx, t)
	}
}

func (m *members) commit(ctx context.Context, t store.Transaction) {
	ctx, cancel := context.WithTimeout(ctx, memberCallTimeout)
	defer cancel()
	_, err := m.gateway.platform.Store.Commit(ctx, t)
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
	rows = m.withLostRows(sentAt, store.Era(page.Version), rows)
	m.watcher.Observe(sentAt, m.gateway.bootClock(), rows)
	live := make([]relay.Entry, 0, len(rows))
	for _, row := range rows {
		if row.State == membership.Live && !m.watcher.Expired(row) {
			live = append(live, relay.Entry{Name: row.Entry, Zone: row.Zone, Address: row.Address, Strength: row.Strength})
		}
	}
	m.reads.Add(1)
	m.applyLive(live)
}

// withLostRows adds the rows that the store has lost by coming back from an older copy.
// Live entries write theirs again.
func (m *members) withLostRows(now time.Time, era int64, rows []membership.Row) []membership.Row {
	if m.rows != nil && era > m.era {
		m.keepUntil = now.Add(store.RestoreGrace + m.timing.RenewInterval)
	}
	known := m.rows
	m.rows, m.era = make(map[string]membership.Row, len(rows)), era
	for _, row := range rows {
		m.rows[row.Entry] = row
	}
	if !now.Before(m.keepUntil) {
		return rows
	}
	for entry, row := range known {
		if _, found := m.rows[entry]; !found {
			m.rows[entry] = row
			rows = append(rows, row)
		}
	}
	return rows
}

// applyLive takes over a list of live entries, from the store or from a relay.
func (m *members) applyLive(live []relay.Entry) {
	m.gateway.relays.setLive(live)
	m.gateway.peers.update()
	if m.reads.Load() < settledReads && m.gateway.relays.readsStore() {
		return
	}
	m.live.Store(int64(max(len(live), 1)))
	entries := make([]dispatch.Entry, 0, len(live))
	for _, e := range live {
		entries = append(entries, dispatch.Entry{Name: e.Name, Zone: e.Zone})
	}
	m.gateway.balancer.SetEntries(m.session.Entry, entries)
}

func decodeSession(row store.Row) (membership.Row, error) {
	return membership.Decode(etcd.Row{Key: row.Key, Value: row.Value, Version: row.Version})
}
