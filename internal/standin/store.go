package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/store"
)

// feedPollInterval is how often a waiting feed call checks for changes.
const feedPollInterval = 5 * time.Millisecond

// Store stands in for the hosting platform's transactional table. It keeps a
// history of changes and injects faults. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	rows    map[store.RowKey]store.Row
	history []store.Row
	// compactedVersion is the version up to which the history was dropped.
	compactedVersion int64
	version          int64
	// era counts the calls of Restore.
	era      int64
	faults   StoreFaults
	calls    int
	rejected int
}

// StoreFaults are the faults that a Store injects.
type StoreFaults struct {
	// Down rejects every call. Unresponsive blocks calls until their context
	// ends.
	Down         bool
	Unresponsive bool
	// RejectedEntries holds the entries whose calls are rejected.
	RejectedEntries map[string]bool
	// Delay is added to the latency of every call.
	Delay time.Duration
	// LoseResponses commits transactions but sends no response. With ApplyDelay
	// they are committed that much later, if their conditions still hold.
	LoseResponses bool
	ApplyDelay    time.Duration
	// RejectKeyPrefix rejects transactions that write a key with this prefix, if it
	// is not empty.
	RejectKeyPrefix string
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{rows: make(map[store.RowKey]store.Row)}
}

// Client returns a client through which the entry calls the store.
func (s *Store) Client(entry string) store.Client { return store.NewClient(s.Source(entry)) }

// Source returns the calls of the entry to the store.
func (s *Store) Source(entry string) store.Source {
	return store.Source{
		Read: func(ctx context.Context, table, partition, from string) (store.Page, int64, error) {
			if err := s.injectFaults(ctx, entry); err != nil {
				return store.Page{}, -1, err
			}
			page, era := s.read(table, partition, from)
			return page, era, nil
		},
		Feed: func(ctx context.Context, table string, after int64, wait time.Duration) (store.Page, int64, error) {
			if err := s.injectFaults(ctx, entry); err != nil {
				return store.Page{}, -1, err
			}
			return s.feed(ctx, entry, table, after, wait)
		},
		Commit: func(ctx context.Context, t store.Transaction) (number, era int64, err error) {
			if err := s.injectFaults(ctx, entry); err != nil {
				return 0, -1, err
			}
			return s.commit(ctx, t)
		},
	}
}

// SetFaults replaces the store's faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// CompactHistory drops the history of changes; the rows remain.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedVersion = nil, s.version
}

// Calls returns how many calls clients have made.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Rejected returns how many transactions were rejected.
func (s *Store) Rejected() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected
}

// Put writes a row without a condition, regardless of faults.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(store.Row{RowKey: store.RowKey{Table: table, Key: key}, Value: value, Version: s.version})
}

// Get returns a row, regardless of faults.
func (s *Store) Get(key store.RowKey) (store.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, found := s.rows[key]
	return row, found
}

// Delete deletes a row, regardless of faults.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(store.Row{RowKey: store.RowKey{Table: table, Key: key}, Version: s.version, Deleted: true})
}

func (s *Store) write(r store.Row) {
	s.history = append(s.history, r)
	if r.Deleted {
		delete(s.rows, r.RowKey)
		return
	}
	s.rows[r.RowKey] = r
}

// injectFaults counts a call and applies the current faults. It returns an error
// if the call must fail.
func (s *Store) injectFaults(ctx context.Context, entry string) error {
	s.mu.Lock()
	s.calls++
	f := s.faults
	s.mu.Unlock()
	if f.Unresponsive {
		<-ctx.Done()
		return errors.Wrap(store.ErrUnavailable, ctx.Err().Error())
	}
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return errors.Wrap(store.ErrUnavailable, ctx.Err().Error())
		}
	}
	if f.Down || f.RejectedEntries[entry] {
		return errors.Wrap(store.ErrUnavailable, "refused")
	}
	return nil
}

func (s *Store) read(table, partition, from string) (store.Page, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := store.Page{Version: s.version}
	for key, row := range s.rows {
		if key.Table == table && key.Partition == partition && key.Key >= from {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b store.Row) int { return strings.Compare(a.Key, b.Key) })
	return page, s.era
}

func (s *Store) feed(ctx context.Context, entry, table string, after int64, wait time.Duration) (store.Page, int64, error) {
	deadline := time.Now().Add(wait)
	for {
		page, era, err := s.changes(table, after)
		if err != nil || len(page.Rows) > 0 || !time.Now().Before(deadline) {
			return page, era, err
		}
		select {
		case <-ctx.Done():
			return store.Page{}, -1, errors.Wrap(store.ErrUnavailable, ctx.Err().Error())
		case <-time.After(feedPollInterval):
		}
		s.mu.Lock()
		unavailable := s.faults.Down || s.faults.Unresponsive || s.faults.RejectedEntries[entry]
		s.mu.Unlock()
		if unavailable {
			return store.Page{}, -1, errors.Wrap(store.ErrUnavailable, "call aborted by an injected fault")
		}
	}
}

func (s *Store) changes(table string, after int64) (store.Page, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compactedVersion || after > s.version {
		return store.Page{}, s.era, store.ErrHistoryCompacted
	}
	page := store.Page{Version: s.version}
	for _, r := range s.history {
		if r.Version > after && r.Table == table {
			page.Rows = append(page.Rows, r)
		}
	}
	return page, s.era, nil
}

func (s *Store) commit(ctx context.Context, t store.Transaction) (number, era int64, err error) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.LoseResponses {
		if f.ApplyDelay > 0 {
			time.AfterFunc(f.ApplyDelay, func() { _, _, _ = s.apply(t) }) // the outcome is not reported
		} else {
			_, _, _ = s.apply(t) // the response is lost
		}
		<-ctx.Done()
		return 0, -1, errors.Wrap(store.ErrUnavailable, ctx.Err().Error())
	}
	return s.apply(t)
}

// check returns an error if the store does not take the transaction. The caller
// holds s.mu.
func (s *Store) check(t store.Transaction) error {
	if n := t.Rows(); n > store.MaxTransactionRows {
		return errors.Wrapf(store.ErrRejected, "%d rows in one transaction", n)
	}
	prefix := s.faults.RejectKeyPrefix
	for _, p := range t.Puts {
		if prefix != "" && strings.HasPrefix(p.Key, prefix) {
			return errors.Wrapf(store.ErrRejected, "key %s", p.Key)
		}
	}
	return nil
}

func (s *Store) apply(t store.Transaction) (number, era int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.check(t); err != nil {
		s.rejected++
		return 0, s.era, err
	}
	for _, c := range t.Conditions {
		if s.rows[c.RowKey].Version != c.Version {
			return 0, s.era, store.ErrConflict
		}
	}
	s.version++
	for _, p := range t.Puts {
		s.write(store.Row{RowKey: p.RowKey, Value: p.Value, Version: s.version})
	}
	for _, k := range t.Deletes {
		s.write(store.Row{RowKey: k, Version: s.version, Deleted: true})
	}
	return s.version, s.era, nil
}
