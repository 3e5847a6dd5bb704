package relay

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/store"
)

// maxTombstones limits the deleted rows that a Table remembers. An entry that is
// further behind gets the whole table.
const maxTombstones = 1024

// Table holds the rows of one table of the store, as far as its updates brought
// them. Updates may come from the store and from relays, in any order: no row is
// replaced by an older one. It is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	rows map[string]store.Row
	// deleted holds the versions of deletions, by key.
	deleted map[string]int64
	// version is the version of the store that the table includes, or 0 before the
	// first update. Deletions up to forgotten may be unknown: those before the last
	// read of the whole table, and those that are forgotten.
	version   int64
	forgotten int64
	// asOf is the time that the table includes every change before.
	asOf time.Time
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{rows: make(map[string]store.Row), deleted: make(map[string]int64)}
}

// Version returns the version of the store that the table includes, or 0 before the
// first update.
func (t *Table) Version() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// AsOf returns the time that the table includes every change before, or the zero
// time.
func (t *Table) AsOf() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.asOf
}

// Apply adds an update and returns what is new in it, with the version and time that
// the table has now. It reports false if the table includes the whole update already.
func (t *Table) Apply(u store.Update) (store.Update, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u.Full && u.Version < t.version {
		return store.Update{}, false // a row that it lacks may have been added since
	}
	first := t.version == 0
	news := store.Update{Full: u.Full && first}
	listed := make(map[string]bool, len(u.Rows))
	for _, row := range u.Rows {
		listed[row.Key] = true
		if row.Version <= t.rows[row.Key].Version || row.Version <= t.deleted[row.Key] {
			continue
		}
		news.Rows = append(news.Rows, row)
		t.set(row)
	}
	if u.Full {
		t.forgotten = max(t.forgotten, u.Version)
	}
	if u.Full && !first {
		for _, key := range slices.Sorted(maps.Keys(t.rows)) {
			if !listed[key] {
				gone := store.Row{RowKey: t.rows[key].RowKey, Version: u.Version, Deleted: true}
				news.Rows = append(news.Rows, gone)
				t.set(gone)
			}
		}
	}
	newer := len(news.Rows) > 0 || first || u.AsOf.After(t.asOf)
	t.version = max(t.version, u.Version)
	if u.AsOf.After(t.asOf) {
		t.asOf = u.AsOf
	}
	news.Version, news.AsOf = t.version, t.asOf
	return news, newer
}

func (t *Table) set(row store.Row) {
	if !row.Deleted {
		t.rows[row.Key] = row
		delete(t.deleted, row.Key)
		return
	}
	delete(t.rows, row.Key)
	t.deleted[row.Key] = row.Version
	if len(t.deleted) <= maxTombstones {
		return
	}
	oldest := row.Key
	for key, version := range t.deleted {
		if version < t.deleted[oldest] {
			oldest = key
		}
	}
	t.forgotten = max(t.forgotten, t.deleted[oldest])
	delete(t.deleted, oldest)
}

// Since returns what has changed after a version: the whole table for version 0 or
// one from which a deletion may be unknown. The AsOf of the result is the table's. It
// reports false before the first update.
func (t *Table) Since(version int64) (store.Update, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.version == 0 {
		return store.Update{}, false
	}
	u := store.Update{Full: version == 0 || version < t.forgotten, Version: t.version, AsOf: t.asOf}
	if !u.Full && version >= t.version {
		return u, true
	}
	for _, row := range t.rows {
		if u.Full || row.Version > version {
			u.Rows = append(u.Rows, row)
		}
	}
	if !u.Full {
		for key, deletedAt := range t.deleted {
			if deletedAt > version {
				u.Rows = append(u.Rows, store.Row{RowKey: store.RowKey{Key: key}, Version: deletedAt, Deleted: true})
			}
		}
	}
	slices.SortFunc(u.Rows, func(a, b store.Row) int { return int(a.Version - b.Version) })
	return u, true
}
