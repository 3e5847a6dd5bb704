package admission_test

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hibiscuspulley/hibiscuspulley/internal/admission"
	"github.com/hibiscuspulley/hibiscuspulley/internal/seeded"
)

func TestMain(m *testing.M) { os.Exit(seeded.Main(m, 300)) }

// capacity lets as many waiters start as it has free slots and records their
// organisations.
type capacity struct {
	free    int
	started []string
}

func (c *capacity) waiter(organisation string, weight int, cost float64) *admission.Waiter {
	return &admission.Waiter{
		Organisation: organisation, Weight: weight, Cost: cost,
		TryStart: func(time.Time) bool {
			if c.free == 0 {
				return false
			}
			c.free--
			c.started = append(c.started, organisation)
			return true
		},
		Shed: func() {},
	}
}

func count(list []string, name string) int {
	n := 0
	for _, s := range list {
		if s == name {
			n++
		}
	}
	return n
}

// An organisation with few waiting requests must get its weighted share of the
// served tokens, however many requests another one has waiting.
func TestOrganisationsShareByWeight(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		weight := 1 + rng.IntN(4)
		cost := float64(10 + rng.IntN(100))
		q := admission.NewQueue(10_000)
		c := &capacity{}
		for range 600 {
			require.NoError(rt, q.Push(c.waiter("large", 1, cost)))
		}
		for range 300 {
			require.NoError(rt, q.Push(c.waiter("small", weight, cost)))
		}
		for range 60 {
			c.free = 1 + rng.IntN(4)
			q.Dispatch(time.Time{})
		}
		large, small := count(c.started, "large"), count(c.started, "small")
		require.InDelta(rt, weight*large, small, float64(weight+1))
	})
}

func TestAFloodCannotFillTheQueue(t *testing.T) {
	q := admission.NewQueue(10)
	c := &capacity{}
	shed := 0
	for range 10 {
		w := c.waiter("large", 1, 1)
		w.Shed = func() { shed++ }
		require.NoError(t, q.Push(w))
	}
	require.ErrorIs(t, q.Push(c.waiter("large", 1, 1)), admission.ErrFull)
	for range 5 {
		require.NoError(t, q.Push(c.waiter("small", 1, 1)))
	}
	require.Equal(t, 5, shed)
	require.Equal(t, 10, q.Length())
	require.ErrorIs(t, q.Push(c.waiter("small", 1, 1)), admission.ErrFull)
}

func TestAnIdleOrganisationEarnsNoCredit(t *testing.T) {
	q := admission.NewQueue(100)
	c := &capacity{free: 20}
	for range 20 {
		require.NoError(t, q.Push(c.waiter("busy", 1, 100)))
	}
	q.Dispatch(time.Time{})
	for range 10 {
		require.NoError(t, q.Push(c.waiter("busy", 1, 100)))
		require.NoError(t, q.Push(c.waiter("back", 1, 100)))
	}
	c.free, c.started = 10, nil
	q.Dispatch(time.Time{})
	require.InDelta(t, 5, count(c.started, "back"), 1)
}

func TestRetriesAndPrioritiesGoFirst(t *testing.T) {
	q := admission.NewQueue(100)
	var order []string
	push := func(name string, priority int, retry bool) {
		require.NoError(t, q.Push(&admission.Waiter{
			Organisation: "o", Weight: 1, Priority: priority, Retry: retry,
			TryStart: func(time.Time) bool {
				order = append(order, name)
				return true
			},
		}))
	}
	push("late", 5, false)
	push("first", 0, false)
	push("second", 0, false)
	push("retry", 9, true)
	q.Dispatch(time.Time{})
	require.Equal(t, []string{"retry", "first", "second", "late"}, order)
}

// A request that can't meet its objective any more goes behind all that can, of any
// organisation; among themselves the overdue ones keep their order.
func TestOverdueRequestsGoLast(t *testing.T) {
	start := time.Unix(1000, 0)
	q := admission.NewQueue(100)
	var order []string
	push := func(name, organisation string, due time.Duration) {
		w := &admission.Waiter{Organisation: organisation, Weight: 1, TryStart: func(time.Time) bool {
			order = append(order, name)
			return true
		}}
		if due > 0 {
			w.DueAt = start.Add(due)
		}
		require.NoError(t, q.Push(w))
	}
	push("overdue 1", "a", time.Second)
	push("overdue 2", "a", 2*time.Second)
	push("on time", "a", 10*time.Second)
	push("without objective", "b", 0)
	now := start.Add(5 * time.Second)
	require.Equal(t, 2, q.OnTime(now))
	q.Dispatch(now)
	require.ElementsMatch(t, []string{"on time", "without objective"}, order[:2])
	require.Equal(t, []string{"overdue 1", "overdue 2"}, order[2:])
}
