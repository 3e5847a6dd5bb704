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

// followed is what a Follower told.
type followed struct {
	mu             sync.Mutex
	updates        []store.Update
	lost, regained int
}

// note runs f under the lock.
func (f *followed) note(change func()) {
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
		Apply:         func(u store.Update) { f.note(func() { f.updates = append(f.updates, u) }) },
		OnUnavailable: func(error) { f.note(func() { f.lost++ }) },
		OnRecovered:   func() { f.note(func() { f.regained++ }) },
	}
	go follower.Run(ctx, s.Client("a"))
	return f
}

func (f *followed) last() store.Update {
	seen := f.seen()
	return seen[len(seen)-1]
}

func TestAFollowerReadsTheTableThenItsChanges(t *testing.T) {
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

// The store drops its history in the gap between two calls, in which a row
// went: the next update is the whole table.
func TestAFollowerReadsAnewWhenTheHistoryIsGone(t *testing.T) {
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
		s.ForgetHistory()
		s.SetFaults(standin.StoreFaults{})
		time.Sleep(3 * time.Second)
		var whole store.Update
		for _, u := range f.seen()[1:] {
			if u.Full {
				whole = u
			}
		}
		require.True(t, whole.Full)
		require.Empty(t, whole.Rows)
		f.mu.Lock()
		defer f.mu.Unlock()
		require.Equal(t, 1, f.lost)
		require.Equal(t, 1, f.regained)
	})
}

// Evidence counts from before the call: the state may be that old.
func TestEvidenceIsAsOldAsTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := standin.NewStore()
		f := follow(ctx, s)
		time.Sleep(1500 * time.Millisecond)
		require.GreaterOrEqual(t, time.Since(f.last().AsOf), time.Second)
	})
}

// Every call is paid for: a store that is away is not stormed.
func TestAStoreThatIsAwayIsAskedSeldom(t *testing.T) {
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
