package standin

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/store"
)

const (
	// copyInterval is the time between two copies of a store.
	copyInterval = 500 * time.Millisecond
	// MaxCopyAge is how old copies may become.
	MaxCopyAge = 30 * time.Second
)

// Copy is a state of the store's rows.
type Copy struct {
	rows    map[store.RowKey]store.Row
	version int64
}

// Copy returns a copy of the rows.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{rows: maps.Clone(s.rows), version: s.version}
}

// Restore brings the store back from a copy: it loses what was written since, gives out the
// versions again, and enters the next era. Its history begins anew.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.version = maps.Clone(c.rows), c.version
	s.history, s.compactedVersion = nil, c.version
	s.era++
}

// WriteAgain writes what the tables had before the store came back from a copy, unless a
// row was written since.
func (s *Store) WriteAgain(tables []string, before, restored Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := maps.Clone(before.rows)
	maps.Copy(keys, restored.rows)
	for key := range keys {
		lost, had := before.rows[key]
		old, has := restored.rows[key]
		unchanged := had == has && bytes.Equal(lost.Value, old.Value)
		if unchanged || !slices.Contains(tables, key.Table) || s.rows[key].Version != old.Version {
			continue
		}
		s.version++
		s.write(store.Row{RowKey: key, Value: lost.Value, Version: s.version, Deleted: !had})
	}
}

// datedCopy is a copy and the time at which it was made.
type datedCopy struct {
	at   time.Time
	rows Copy
}

// Copies are the copies of a store from which it can come back. It is safe for concurrent
// use.
type Copies struct {
	mu sync.Mutex
	// list holds the oldest copy first.
	list []datedCopy
}

// KeepCopies copies the store at intervals until ctx ends.
func KeepCopies(ctx context.Context, s *Store) *Copies {
	c := &Copies{}
	c.add(s.Copy())
	go func() {
		ticker := time.NewTicker(copyInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				c.add(s.Copy())
			}
		}
	}()
	return c
}

func (c *Copies) add(rows Copy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, datedCopy{time.Now(), rows})
	if time.Since(c.list[0].at) > MaxCopyAge {
		c.list = c.list[1:]
	}
}

// GoBack returns the newest copy of at least the age, or the oldest one, and drops the
// others.
func (c *Copies) GoBack(age time.Duration) Copy {
	c.mu.Lock()
	defer c.mu.Unlock()
	chosen := c.list[0]
	for _, dated := range c.list {
		if time.Since(dated.at) >= age {
			chosen = dated
		}
	}
	c.list = []datedCopy{chosen}
	return chosen.rows
}
