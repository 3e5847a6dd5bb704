package store_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
	"github.com/hibiscuspulley/hibiscuspulley/internal/store"
)

// followed records the callbacks of a Follower.
type followed struct {
	mu                     sync.Mutex
	updates                []store.Update
	unavailable, recovered int
}

// update runs change under the lock.
func (f *followed) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// seen returns the updates so far.
func (f *followed) seen() []store.Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.updates)
}

func follow(ctx context.Context, s *standin.Store) *followed {
	f := &followed{}
	follower := &store.Follower{
		Table: "op", PollWait: time.Second, Now: time.Now,
		MinInterval:   func() time.Duration { return 0 },
		Apply:         func(u store.Update) { f.update(func() { f.updates = append(f.updates, u) }) },
		OnUnavailable: func(error) { f.update(func() { f.unavailable++ }) },
		OnRecovered:   func() { f.update(func() { f.recovered++ }) },
	}
	go follower.Run(ctx, s.Client("a"))
	return f
}

func (f *followed) last() store.Update {
	seen := f.seen()
	return seen[len(seen)-1]
}

func TestFollowerReadsTableThenChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := standin.NewStore()
		s.Put("op", "config", []byte("1"))
		f := follow(ctx, s)
		time.Sleep(100 * time.Millisecond)
		require.True(t, f.last().Full)
		s.Put("op", "config", []byte("2"))
		s.Put("other", "config", []byte("3"))
		time.Sleep(100 * time.Millisecond)
		require.False(t, f.last().Full)
		require.Equal(t, "2", string(f.last().Rows[0].Value))
	})
}

// Guards against a row that is taken for another one with the same key, although it is in
// another partition of the table.
func TestFollowerLeavesOutOtherPartitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := standin.NewStore()
		s.Put("op", "config", []byte("1"))
		f := follow(ctx, s)
		time.Sleep(100 * time.Millisecond)
		_, err := s.Client("a").Commit(ctx, store.Transaction{Puts: []store.Put{
			{RowKey: store.RowKey{Table: "op", Partition: "other", Key: "config"}, Value: []byte("2")},
		}})
		require.NoError(t, err)
		time.Sleep(2 * time.Second)
		for _, u := range f.seen() {
			for _, row := range u.Rows {
				require.Equal(t, "1", string(row.Value))
			}
		}
	})
}

// Guards against missing a deletion. The store compacts its history between two
// calls, after a row was deleted: the next update must be the whole table.
func TestFollowerRereadsTableAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := standin.NewStore()
		s.Put("op", "evacuate/a", nil)
		f := follow(ctx, s)
		time.Sleep(100 * time.Millisecond)
		s.SetFaults(standin.StoreFaults{Down: true})
		time.Sleep(time.Second)
		s.Delete("op", "evacuate/a")
		s.CompactHistory()
		s.SetFaults(standin.StoreFaults{})
		time.Sleep(3 * time.Second)
		var full store.Update
		for _, u := range f.seen()[1:] {
			if u.Full {
				full = u
			}
		}
		require.True(t, full.Full)
		require.Empty(t, full.Rows)
		f.mu.Lock()
		defer f.mu.Unlock()
		require.Equal(t, 1, f.unavailable)
		require.Equal(t, 1, f.recovered)
	})
}

// AsOf must be the time before the call, because the returned state may be as
// old as the call.
func TestUpdateIsAsOldAsTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := standin.NewStore()
		f := follow(ctx, s)
		time.Sleep(1500 * time.Millisecond)
		require.GreaterOrEqual(t, time.Since(f.last().AsOf), time.Second)
	})
}

// Each call is billed, so an unavailable store must not be called at a high
// rate.
func TestUnavailableStoreIsCalledRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := standin.NewStore()
		s.SetFaults(standin.StoreFaults{Down: true})
		f := follow(ctx, s)
		time.Sleep(20 * time.Second)
		require.LessOrEqual(t, s.Calls(), 40)
		require.Empty(t, f.seen())
		s.SetFaults(standin.StoreFaults{})
		time.Sleep(2 * time.Second)
		require.NotEmpty(t, f.seen())
	})
}

// Guards against a long blindness after an outage: an entry whose configuration was
// not confirmed for seconds rejects its callers. After any outage, whether the store
// refuses calls or does not respond, the next update arrives within two seconds of
// its return.
func TestFollowerIsBackWithinTwoSecondsOfTheStoresReturn(t *testing.T) {
	for _, faults := range []standin.StoreFaults{{Down: true}, {Unresponsive: true}} {
		for outage := 3 * time.Second; outage <= 10*time.Second; outage += 250 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s := standin.NewStore()
				f := follow(ctx, s)
				time.Sleep(time.Second)
				s.SetFaults(faults)
				time.Sleep(outage)
				before := len(f.seen())
				s.SetFaults(standin.StoreFaults{})
				time.Sleep(2 * time.Second)
				require.Greater(t, len(f.seen()), before, "%+v for %s", faults, outage)
			})
		}
	}
}
