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

// feedPoll is how often a feed without changes is looked at.
const feedPoll = 5 * time.Millisecond

// Store stands in for the hosting platform's transactional table. It keeps a
// history of changes, and misbehaves on demand.
type Store struct {
	mu      sync.Mutex
	rows    map[store.RowKey]store.Row
	history []store.Row
	// oldest is the version before the first change that is still kept.
	oldest  int64
	version int64
	faults  StoreFaults
	calls   int
}

// StoreFaults is how a Store misbehaves.
type StoreFaults struct {
	// Down refuses every call; Silent lets calls wait until they are given up.
	Down         bool
	Unresponsive bool
	// Refused entries get no service; others do.
	RejectedEntries map[string]bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswers carries transactions out and answers nothing; with LateBy
	// they are carried out that much later, if their conditions still hold.
	LoseResponses bool
	ApplyDelay    time.Duration
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{rows: make(map[store.RowKey]store.Row)}
}

// Client returns the store as an entry reaches it.
func (s *Store) Client(entry string) store.Client {
	return store.Client{
		Read: func(ctx context.Context, table, part, from string) (store.Page, error) {
			if err := s.begin(ctx, entry); err != nil {
				return store.Page{}, err
			}
			return s.read(table, part, from), nil
		},
		Feed: func(ctx context.Context, table string, after int64, wait time.Duration) (store.Page, error) {
			if err := s.begin(ctx, entry); err != nil {
				return store.Page{}, err
			}
			return s.feed(ctx, entry, table, after, wait)
		},
		Commit: func(ctx context.Context, t store.Transaction) (int64, error) {
			if err := s.begin(ctx, entry); err != nil {
				return 0, err
			}
			return s.commit(ctx, t)
		},
	}
}

// SetFaults changes how the store misbehaves.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// CompactHistory drops the changes so far; the rows stay.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.version
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row as an operator or a server would.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(store.Row{RowKey: store.RowKey{Table: table, Key: key}, Value: value, Version: s.version})
}

// Get returns a row, whatever the faults say.
func (s *Store) Get(key store.RowKey) (store.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, found := s.rows[key]
	return row, found
}

// Delete drops a row.
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

// begin lets a call through or fails it as the faults say.
func (s *Store) begin(ctx context.Context, entry string) error {
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

func (s *Store) read(table, part, from string) store.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := store.Page{Version: s.version}
	for key, row := range s.rows {
		if key.Table == table && key.Partition == part && key.Key >= from {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b store.Row) int { return strings.Compare(a.Key, b.Key) })
	return page
}

func (s *Store) feed(ctx context.Context, entry, table string, after int64, wait time.Duration) (store.Page, error) {
	deadline := time.Now().Add(wait)
	for {
		page, err := s.changes(table, after)
		if err != nil || len(page.Rows) > 0 || !time.Now().Before(deadline) {
			return page, err
		}
		select {
		case <-ctx.Done():
			return store.Page{}, errors.Wrap(store.ErrUnavailable, ctx.Err().Error())
		case <-time.After(feedPoll):
		}
		s.mu.Lock()
		gone := s.faults.Down || s.faults.Unresponsive || s.faults.RejectedEntries[entry]
		s.mu.Unlock()
		if gone {
			return store.Page{}, errors.Wrap(store.ErrUnavailable, "the call was cut off")
		}
	}
}

func (s *Store) changes(table string, after int64) (store.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.oldest {
		return store.Page{}, store.ErrHistoryCompacted
	}
	page := store.Page{Version: s.version}
	for _, r := range s.history {
		if r.Version > after && r.Table == table {
			page.Rows = append(page.Rows, r)
		}
	}
	return page, nil
}

func (s *Store) commit(ctx context.Context, t store.Transaction) (int64, error) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.LoseResponses {
		if f.ApplyDelay > 0 {
			time.AfterFunc(f.ApplyDelay, func() { _, _ = s.apply(t) }) // nobody waits for the outcome
		} else {
			_, _ = s.apply(t) // the answer is what gets lost
		}
		<-ctx.Done()
		return 0, errors.Wrap(store.ErrUnavailable, ctx.Err().Error())
	}
	return s.apply(t)
}

func (s *Store) apply(t store.Transaction) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Conditions {
		if s.rows[c.RowKey].Version != c.Version {
			return 0, store.ErrConflict
		}
	}
	s.version++
	for _, p := range t.Puts {
		s.write(store.Row{RowKey: p.RowKey, Value: p.Value, Version: s.version})
	}
	for _, k := range t.Deletes {
		s.write(store.Row{RowKey: k, Version: s.version, Deleted: true})
	}
	return s.version, nil
}
