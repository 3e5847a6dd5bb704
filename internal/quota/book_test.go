package quota_test

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hibiscuspulley/hibiscuspulley/internal/quota"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/seeded"
)

func TestMain(m *testing.M) { os.Exit(seeded.Main(m, 300)) }

var (
	began  = time.Unix(1000, 0)
	server = registry.Incarnation{ID: "i-1", StartTime: 7}
)

func TestALimitHoldsUntilAResponseNamesNone(t *testing.T) {
	b := quota.NewBook()
	_, changed := b.Observe(began, server, 0)
	require.False(t, changed)
	_, changed = b.Observe(began, server, 5.5)
	require.True(t, changed)
	require.InDelta(t, 5.5, b.Rate(server), 1e-9)
	_, changed = b.Observe(began.Add(time.Hour), server, 5.5)
	require.False(t, changed)
	change, changed := b.Observe(began.Add(2*time.Hour), server, 0)
	require.True(t, changed)
	require.Equal(t, quota.Change{Server: server, Rate: 0, Previous: 5.5}, change)
	require.Zero(t, b.Rate(server))
	require.Zero(t, b.Limited())
}

func TestLimitsOfServersThatAreGoneAreForgotten(t *testing.T) {
	b := quota.NewBook()
	b.Observe(began, server, 5.5)
	none := func(registry.Incarnation) bool { return false }
	b.Retain(began.Add(time.Second), none)
	require.Equal(t, 1, b.Limited())
	b.Retain(began.Add(time.Minute), none)
	require.Zero(t, b.Limited())
}

// An entry that was out of touch must neither bring a limit back that is gone nor keep
// it for long.
func TestAnEntryThatReportsAnOldLimitLearnsThatItIsGone(t *testing.T) {
	old, fresh := quota.NewBook(), quota.NewBook()
	for _, b := range []*quota.Book{old, fresh} {
		b.Observe(began, server, 2)
	}
	fresh.Observe(began.Add(time.Second), server, 0)
	later := began.Add(time.Minute)
	require.Empty(t, fresh.Report(later, true))
	require.Empty(t, fresh.Merge(later, old.Report(later, true)))
	require.Zero(t, fresh.Rate(server))
	require.Len(t, old.Merge(later, fresh.Report(later, false)), 1)
	require.Zero(t, old.Rate(server))
}

// Entries exchange what they observed in any order, late and more than once. Once they
// have all exchanged, all must hold the same, and the next response holds everywhere.
func TestEntriesThatExchangeHoldTheSameLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		books := []*quota.Book{quota.NewBook(), quota.NewBook(), quota.NewBook()}
		now := began
		type message struct {
			limits []quota.Statement
			sentAt time.Time
		}
		var delayed []message
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(10, 3000).Draw(t, "ms")) * time.Millisecond)
			b := books[rapid.IntRange(0, 2).Draw(t, "entry")]
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				b.Observe(now, server, float64(rapid.IntRange(0, 3).Draw(t, "rate")))
			case 1:
				delayed = append(delayed, message{b.Report(now, rapid.Bool().Draw(t, "all")), now})
			case 2:
				if len(delayed) > 0 {
					// The receiver knows when it asked, so a late reply counts as old.
					b.Merge(delayed[0].sentAt, delayed[0].limits)
					delayed = delayed[1:]
				}
			case 3:
				b.Merge(now, books[rapid.IntRange(0, 2).Draw(t, "other")].Report(now, true))
			}
		}
		for range 3 {
			for _, from := range books {
				for _, to := range books {
					now = now.Add(time.Millisecond)
					to.Merge(now.Add(-time.Millisecond), from.Report(now.Add(-time.Millisecond), true))
				}
			}
		}
		for _, b := range books {
			require.InDelta(t, books[0].Rate(server), b.Rate(server), 1e-9)
		}
		// A response tells all of them once more.
		books[0].Observe(now, server, 4)
		for _, b := range books[1:] {
			b.Merge(now, books[0].Report(now, false))
			require.InDelta(t, 4, b.Rate(server), 1e-9)
		}
	})
}

// That a server leaves holds for its incarnation, also for entries that hear of it from
// others, with and without a limit.
func TestAServerThatLeavesIsReportedUntilItIsGone(t *testing.T) {
	for _, rate := range []float64{0, 3} {
		own, other := quota.NewBook(), quota.NewBook()
		own.Observe(began, server, rate)
		require.True(t, own.ObserveLeaving(began, server))
		require.False(t, own.ObserveLeaving(began.Add(time.Second), server))
		changes := other.Merge(began, own.Report(began, false))
		require.Len(t, changes, 1)
		require.True(t, changes[0].Leaving)
		require.Empty(t, other.Merge(began.Add(time.Second), own.Report(began.Add(time.Second), true)))
		later := began.Add(time.Hour)
		require.Empty(t, other.Report(later, false))
		late := quota.NewBook()
		require.True(t, late.Merge(later, other.Report(later, true))[0].Leaving)
		other.Retain(later, func(registry.Incarnation) bool { return false })
		require.Empty(t, other.Report(later, true))
	}
}

// A wait holds until its end, whatever shorter ones come later, and reaches the others.
func TestAWaitNeverGetsShorter(t *testing.T) {
	own, other := quota.NewBook(), quota.NewBook()
	require.True(t, own.WaitUntil(began, server).IsZero())
	require.True(t, own.ObserveWait(began, server, 5*time.Second))
	require.False(t, own.ObserveWait(began.Add(time.Second), server, time.Second))
	later := began.Add(2 * time.Second)
	changes := other.Merge(later, own.Report(later, true))
	require.Equal(t, []quota.Change{{Server: server, Wait: 3 * time.Second}}, changes)
	require.Empty(t, other.Merge(later, own.Report(later, true)))
	for _, b := range []*quota.Book{own, other} {
		require.Equal(t, began.Add(5*time.Second), b.WaitUntil(later, server))
		require.True(t, b.WaitUntil(later, registry.Incarnation{ID: "i-2"}).IsZero())
	}
	require.True(t, own.ObserveWait(later, server, 4*time.Second))
	require.Equal(t, began.Add(6*time.Second), own.WaitUntil(later, server))
	own.Retain(later, func(registry.Incarnation) bool { return false })
	require.False(t, own.WaitUntil(later, server).IsZero(), "a wait is kept to its end")
	own.Retain(began.Add(time.Hour), func(registry.Incarnation) bool { return false })
	require.True(t, own.WaitUntil(began.Add(time.Hour), server).IsZero())
}
