package standin

import (
	"sort"
	"strings"
	"sync"
)

type tableRow struct {
	value   []byte
	version int64
}

// Table is an in-memory transactional table. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	rows     map[string]tableRow
	revision int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: make(map[string]tableRow)}
}

// scan returns the sorted keys in the range from start to end, without end. An
// empty end selects only start.
func (t *Table) scan(start, end string) []string {
	var keys []string
	for key := range t.rows {
		if key == start || (end != "" && key >= start && key < end) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// Keys returns the sorted keys that start with prefix.
func (t *Table) Keys(prefix string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var keys []string
	for key := range t.rows {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// Value returns the row's value, nil if there is no such row.
func (t *Table) Value(key string) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[key].value
}

// read returns the rows of a range whose version is at least minVersion, and the
// table's revision.
func (t *Table) read(start, end string, minVersion int64) ([]rowWire, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []rowWire{}
	for _, key := range t.scan(start, end) {
		row := t.rows[key]
		if row.version < minVersion {
			continue
		}
		rows = append(rows, rowWire{Key: []byte(key), Value: row.value, Version: row.version})
	}
	return rows, t.revision
}

// commit applies the transaction if all compared rows have the given versions. It
// returns the table's revision after the transaction.
func (t *Table) commit(txn txnRequestWire) (succeeded bool, revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, compare := range txn.Compares {
		if t.rows[string(compare.Key)].version != compare.Version {
			return false, t.revision
		}
	}
	t.revision++
	for _, op := range txn.Success {
		if op.Put != nil {
			t.rows[string(op.Put.Key)] = tableRow{value: op.Put.Value, version: t.revision}
		}
		if op.Delete != nil {
			delete(t.rows, string(op.Delete.Key))
		}
	}
	return true, t.revision
}
