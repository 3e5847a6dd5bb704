package relay

import (
	"bytes"
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
	// keep is set by WithKeep. held holds the rows of the copy from which the store came
	// back that are not used before heldUntil; Deleted ones are missing from it.
	keep      func(known, copied store.Row) bool
	held      map[string]store.Row
	heldUntil time.Time
	// gone counts the rows that were kept and then given up.
	gone int
	// unsettled is set while the table has rows that a relay keeps for now. What the copy
	// has in their place is unknown, so the whole table is needed after heldUntil.
	unsettled bool
}

// Option configures a Table.
type Option func(*Table)

// WithKeep sets which rows stay as they are known for store.RestoreGrace, unless they are
// written again, when the store comes back from an older copy that has them in another
// state. A Deleted row stands for one that is not there. By default, rows are kept that the
// copy lacks.
func WithKeep(keep func(known, copied store.Row) bool) Option {
	return func(t *Table) { t.keep = keep }
}

// NewTable returns an empty Table.
func NewTable(opts ...Option) *Table {
	t := &Table{
		rows: make(map[string]store.Row), deleted: make(map[string]int64), held: make(map[string]store.Row),
		keep: func(_, copied store.Row) bool { return copied.Deleted },
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Era returns the era of the store that the table includes, or -1 before the first
// update.
func (t *Table) Era() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.version == 0 {
		return -1
	}
	return store.Era(t.version)
}

// Held returns how many rows are kept for now although the store has come back from an
// older copy that has them in another state.
func (t *Table) Held() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.held)
}

// Gone returns how many rows were kept for a time and then given up since the table exists.
func (t *Table) Gone() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gone
}

// Version returns the version of the store from which updates are needed, or 0 if the
// whole table is: before the first update, and after a relay has kept rows for some time.
func (t *Table) Version() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unsettled && !t.asOf.Before(t.heldUntil) {
		return 0
	}
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
// the table has now. It reports false if the table includes the whole update already, or if
// it is of an older era. Of a newer era than the table it takes only whole tables.
func (t *Table) Apply(u store.Update) (store.Update, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := t.version == 0
	switch era := store.Era(t.version); {
	case store.Era(u.Version) < era:
		return store.Update{}, false
	case store.Era(u.Version) > era && !first:
		return t.restore(u)
	case u.Full && u.Version < t.version:
		return store.Update{}, false // a row that it lacks may have been added since
	}
	news := store.Update{Full: u.Full && first}
	listed := make(map[string]bool, len(u.Rows))
	for _, row := range u.Rows {
		listed[row.Key] = true
		if row.Version <= t.rows[row.Key].Version || row.Version <= t.deleted[row.Key] {
			continue
		}
		if held, found := t.held[row.Key]; found && row.Version <= held.Version {
			continue
		}
		news.Rows = append(news.Rows, row)
		t.set(row)
	}
	if u.Full {
		t.forgotten = max(t.forgotten, u.Version)
		t.noteKept(u)
	}
	if u.Full && !first {
		for _, key := range slices.Sorted(maps.Keys(t.rows)) {
			if _, held := t.held[key]; !listed[key] && !held {
				gone := store.Row{RowKey: t.rows[key].RowKey, Version: u.Version, Deleted: true}
				news.Rows = append(news.Rows, gone)
				t.set(gone)
			}
		}
	}
	t.version = max(t.version, u.Version)
	if len(t.held) > 0 && !u.AsOf.Before(t.heldUntil) {
		t.settle(&news)
	}
	newer := len(news.Rows) > 0 || first || u.AsOf.After(t.asOf)
	if u.AsOf.After(t.asOf) {
		t.asOf = u.AsOf
	}
	news.Version, news.AsOf = t.version, t.asOf
	return news, newer
}

// restore replaces the rows by those of the copy from which the store came back, except
// for those that are kept for now.
func (t *Table) restore(u store.Update) (store.Update, bool) {
	if !u.Full {
		return store.Update{}, false
	}
	news := store.Update{Version: u.Version, AsOf: u.AsOf}
	known := t.rows
	t.rows, t.held = make(map[string]store.Row, len(u.Rows)), make(map[string]store.Row)
	t.version, t.forgotten, t.asOf, t.heldUntil = u.Version, u.Version, u.AsOf, u.AsOf.Add(store.RestoreGrace)
	t.noteKept(u)
	hold := func(row, copied store.Row) {
		t.held[row.Key] = copied
		t.set(row)
	}
	listed := make(map[string]bool, len(u.Rows))
	for _, row := range u.Rows {
		listed[row.Key] = true
		old, found := known[row.Key]
		gone := store.Row{RowKey: row.RowKey, Version: t.deleted[row.Key], Deleted: true}
		switch {
		case store.Era(row.Version) < store.Era(u.Version) && found && row.Version <= old.Version:
			t.set(old) // a relay keeps it, or an older one
		case store.Era(row.Version) < store.Era(u.Version) && row.Version <= gone.Version:
			t.set(gone)
		case found && !bytes.Equal(old.Value, row.Value) && t.keep(old, row):
			hold(old, row)
		case !found && store.Number(gone.Version) > store.Number(row.Version) && t.keep(gone, row):
			hold(gone, row)
		default:
			t.set(row)
			news.Rows = append(news.Rows, row)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(known)) {
		if listed[key] {
			continue
		}
		gone := store.Row{RowKey: known[key].RowKey, Version: u.Version, Deleted: true}
		if t.keep(known[key], gone) {
			hold(known[key], gone)
			news.Missing = append(news.Missing, gone.RowKey)
			continue
		}
		t.set(gone)
		news.Rows = append(news.Rows, gone)
	}
	return news, true
}

// noteKept records whether the relay that sent the whole table keeps rows for now: they
// are of an older era.
func (t *Table) noteKept(u store.Update) {
	kept := slices.ContainsFunc(u.Rows, func(r store.Row) bool { return store.Era(r.Version) < store.Era(u.Version) })
	if kept && !t.unsettled {
		t.heldUntil = u.AsOf.Add(store.RestoreGrace)
	}
	t.unsettled = kept
}

// settle takes over the rows that are still held back, and adds them to an update.
func (t *Table) settle(news *store.Update) {
	for _, key := range slices.Sorted(maps.Keys(t.held)) {
		row := t.held[key]
		delete(t.held, key)
		if _, found := t.rows[key]; row.Deleted && !found {
			continue
		}
		if row.Deleted {
			row.Version = t.version
		}
		t.gone++
		t.set(row)
		news.Rows = append(news.Rows, row)
	}
	// These changes are older than the table's version, so entries that have it get the
	// whole table.
	t.forgotten = max(t.forgotten, t.version+1)
}

func (t *Table) set(row store.Row) {
	if held, found := t.held[row.Key]; found && row.Version > held.Version {
		delete(t.held, row.Key)
	}
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
