package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/admission"
)

var began = time.Unix(1000, 0)

// urgent fills a queue by urgency and records what starts.
type urgent struct {
	*admission.Queue
	t       *testing.T
	free    int
	started []string
	shed    []string
}

func newUrgent(t *testing.T, limit int) *urgent {
	return &urgent{Queue: admission.NewQueue(limit, admission.ByUrgency()), t: t}
}

// waiter returns a request that arrives at a time after began and must start within due
// to meet its objective, if it has one.
func (u *urgent) waiter(name string, urgency admission.Urgency, at, due time.Duration) *admission.Waiter {
	w := &admission.Waiter{
		Organisation: name[:1], Urgency: urgency, Cost: 1, QueuedAt: began.Add(at), MaxWait: time.Second,
		TryStart: func(time.Time) bool {
			if u.free == 0 {
				return false
			}
			u.free--
			u.started = append(u.started, name)
			return true
		},
		Shed: func() { u.shed = append(u.shed, name) },
	}
	if due > 0 {
		w.DueAt = w.QueuedAt.Add(due)
	}
	return w
}

func (u *urgent) push(name string, urgency admission.Urgency, at, due time.Duration) {
	require.NoError(u.t, u.Push(u.waiter(name, urgency, at, due)))
}

func (u *urgent) start(n int, at time.Duration) []string {
	u.free, u.started = n, nil
	u.Dispatch(began.Add(at))
	return u.started
}

// Guards against an order by organisation before priority, where a less urgent request
// of an idle organisation goes before an urgent one of a busy organisation.
func TestUrgencyGoesBeforeFairness(t *testing.T) {
	u := newUrgent(t, 100)
	u.push("a route 1", admission.Urgency{Route: 1}, 0, 0)
	u.push("b other organisation", admission.Urgency{Organisation: 1}, 0, 0)
	u.push("c overdue", admission.Urgency{}, 0, time.Millisecond)
	early := u.waiter("d early", admission.Urgency{}, 0, 300*time.Millisecond)
	early.Early = true
	require.NoError(t, u.Push(early))
	for range 3 {
		u.push("e later", admission.Urgency{}, 0, 400*time.Millisecond)
	}
	u.push("f one", admission.Urgency{}, 0, 500*time.Millisecond)
	u.push("e first", admission.Urgency{}, 0, 200*time.Millisecond)
	require.Equal(t, []string{
		"e first", "f one", "e later", "e later", "e later", "d early", "c overdue", "a route 1", "b other organisation",
	}, u.start(9, 50*time.Millisecond))
}

// Guards against a class that is starved: of 20 starts one goes to the longest waiting
// less urgent request that has waited for half of its time.
func TestLessUrgentRequestsHaveTheirTurn(t *testing.T) {
	u := newUrgent(t, 1000)
	for range 200 {
		u.push("a", admission.Urgency{}, 0, 0)
	}
	for range 9 {
		u.push("b", admission.Urgency{Route: 1}, 0, 0)
	}
	require.Zero(t, count(u.start(40, 400*time.Millisecond), "b"), "before half of the time")
	for range 5 {
		require.Equal(t, 1, count(u.start(20, 600*time.Millisecond), "b"))
	}
}

// A request whose objective can't be met from the start must not wait behind all less
// urgent ones, which would use the capacity that overdue requests leave free.
func TestHopelessRequestsAreNotPassedByLessUrgentOnes(t *testing.T) {
	u := newUrgent(t, 100)
	w := u.waiter("a hopeless", admission.Urgency{}, 0, 0)
	w.DueAt, w.TryStartOnReserve, w.TryStart = began, w.TryStart, func(time.Time) bool { return false }
	require.NoError(t, u.Push(w))
	u.push("b", admission.Urgency{Route: 1}, 0, time.Second)
	require.Equal(t, []string{"a hopeless", "b"}, u.start(2, time.Millisecond))
}

// Guards against a full queue that rejects an urgent request for less urgent ones.
func TestAFullQueueShedsTheLastInItsOrder(t *testing.T) {
	u := newUrgent(t, 3)
	u.push("a", admission.Urgency{Route: 1}, 0, 0)
	u.push("b", admission.Urgency{Route: 2}, 0, 0)
	u.push("c", admission.Urgency{Route: 1}, 0, 0)
	require.ErrorIs(t, u.Push(u.waiter("d", admission.Urgency{Route: 2}, 1, 0)), admission.ErrFull)
	u.push("e", admission.Urgency{}, 1, 0)
	require.Equal(t, []string{"b"}, u.shed)
	u.push("f", admission.Urgency{}, 1, 0)
	require.Equal(t, []string{"b", "c"}, u.shed)
	require.Equal(t, 3, u.Length())
}

// Guards against callers that are taken for early although they waited as they were
// asked to, and against retries that are not recognised.
func TestEarlyReturnsAreRecognised(t *testing.T) {
	r := admission.NewReturns()
	r.Told(began, "x", 400*time.Millisecond+600*time.Microsecond)
	require.True(t, r.Early(began.Add(399*time.Millisecond), "x"))
	require.False(t, r.Early(began.Add(399*time.Millisecond), "y"))
	require.False(t, r.Early(began.Add(400*time.Millisecond), "x"))
	for n := range 10_000 {
		r.Told(began.Add(time.Duration(n)*time.Second), string(rune(n+0x4e00)), 100*time.Millisecond)
	}
	require.True(t, r.Early(began.Add(9_999*time.Second), string(rune(9_999+0x4e00))), "those that are over make room")
}
