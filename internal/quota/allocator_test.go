package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hibiscuspulley/hibiscuspulley/internal/quota"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

var pool = quota.Pool{Service: "notes", Model: "small"}

// window, overshoot and slack state what a server with a limit may get: in any window,
// overshoot times what the limit allows and slack requests more.
const (
	window    = 4 * time.Second
	overshoot = 1.5
	slack     = 5
)

func granted(grants []quota.Grant) int {
	n := 0
	for _, g := range grants {
		n += g.Requests
	}
	return n
}

// zone is an allocator with the holders of a zone's entries, which ask it every 100 ms
// and send as soon as they may.
type zone struct {
	allocator *quota.Allocator
	book      *quota.Book
	holders   []*quota.Holder
	servers   []quota.Server
	// waiting is the number of requests that wait at each entry.
	waiting []int
	// sent holds when a request was sent to each server.
	sent map[registry.Incarnation][]time.Time
}

func newZone(entries int, rates ...float64) *zone {
	z := &zone{allocator: quota.NewAllocator(), book: quota.NewBook(), waiting: make([]int, entries), sent: map[registry.Incarnation][]time.Time{}}
	for i, rate := range rates {
		inc := registry.Incarnation{ID: fmt.Sprint("i-", i), StartTime: 1}
		z.servers = append(z.servers, quota.Server{Incarnation: inc, Rate: rate})
		z.book.Observe(began, inc, rate)
	}
	for range entries {
		z.holders = append(z.holders, quota.NewHolder(z.book, func() int { return entries }))
	}
	return z
}

// step lets the entries whose turn it is ask, and sends what they may send.
func (z *zone) step(now time.Time, i int) {
	for e, h := range z.holders {
		if e%10 == i%10 {
			h.Contact(now)
			d := quota.Demand{Pool: pool, Waiting: z.waiting[e], Expected: 1}
			h.Add(now, z.allocator.Grant(now, quota.Asker{Name: fmt.Sprint(e)}, d, z.servers))
		}
		for _, s := range z.servers {
			for z.waiting[e] > 0 && h.Allows(now, s.Incarnation) {
				h.Take(now, s.Incarnation)
				z.waiting[e]--
				z.sent[s.Incarnation] = append(z.sent[s.Incarnation], now)
			}
		}
	}
}

func (z *zone) requireLimits(t require.TestingT) {
	for _, s := range z.servers {
		for i, from := range z.sent[s.Incarnation] {
			n := 0
			for _, at := range z.sent[s.Incarnation][i:] {
				if at.Sub(from) < window {
					n++
				}
			}
			require.LessOrEqual(t, float64(n), overshoot*s.Rate*window.Seconds()+slack, "limit %g", s.Rate)
		}
	}
}

// Whatever arrives where, no server gets more than its limit allows in any window.
func TestTheEntriesOfAZoneKeepEveryLimitTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates := rapid.SliceOfN(rapid.Float64Range(0.2, 20), 1, 4).Draw(t, "rates")
		z := newZone(rapid.IntRange(1, 40).Draw(t, "entries"), rates...)
		for i := range 800 {
			if rapid.IntRange(0, 20).Draw(t, "arrival") == 0 {
				e := rapid.IntRange(0, len(z.waiting)-1).Draw(t, "entry")
				z.waiting[e] += rapid.IntRange(0, 50).Draw(t, "requests")
			}
			z.step(began.Add(time.Duration(i)*10*time.Millisecond), i)
		}
		z.requireLimits(t)
	})
}

// Pattern: many entries that share a server whose limit is under one request a second
// for each of them, all with requests waiting. The limit must be used, and no entry may
// go without.
func TestALimitOfOneRequestASecondIsUsedByTurns(t *testing.T) {
	const (
		entries = 39
		seconds = 200
		minUse  = 0.9
	)
	z := newZone(entries, 1)
	for i := range z.waiting {
		z.waiting[i] = seconds
	}
	for i := range seconds * 100 {
		z.step(began.Add(time.Duration(i)*10*time.Millisecond), i)
	}
	z.requireLimits(t)
	require.GreaterOrEqual(t, len(z.sent[z.servers[0].Incarnation]), int(minUse*seconds))
	for e, left := range z.waiting {
		require.Less(t, left, seconds, "entry %d got nothing", e)
	}
}

// Pattern: requests arrive at one entry of many. The others, without requests, must not
// hold what it lacks.
func TestABusyEntryGetsTheWholeLimit(t *testing.T) {
	const minUse = 0.9
	z := newZone(20, 5)
	z.waiting[3] = 1000
	for i := range 2000 {
		z.step(began.Add(time.Duration(i)*10*time.Millisecond), i)
	}
	require.GreaterOrEqual(t, len(z.sent[z.servers[0].Incarnation]), int(minUse*5*20))
}

func TestOtherZonesGetWhatTheOwnLeaves(t *testing.T) {
	a := quota.NewAllocator()
	servers := []quota.Server{{Incarnation: server, Rate: 10}}
	local, remote := quota.Asker{Name: "a"}, quota.Asker{Name: "b", Remote: true}
	require.Empty(t, a.Grant(began, local, quota.Demand{Pool: pool, Waiting: 100}, servers))
	now := began.Add(200 * time.Millisecond)
	require.Empty(t, a.Grant(now, remote, quota.Demand{Pool: pool, Waiting: 5}, servers))
	require.Equal(t, 2, granted(a.Grant(now, local, quota.Demand{Pool: pool, Waiting: 2}, servers)))
	now = now.Add(200 * time.Millisecond)
	require.Equal(t, 2, granted(a.Grant(now, remote, quota.Demand{Pool: pool, Waiting: 5}, servers)))
}

func TestGrantsExpire(t *testing.T) {
	b := quota.NewBook()
	b.Observe(began, server, 1)
	h := quota.NewHolder(b, func() int { return 10 })
	h.Contact(began)
	require.False(t, h.Allows(began, server))
	h.Add(began, []quota.Grant{{Server: server, Requests: 2, ValidFor: 500 * time.Millisecond}})
	require.Equal(t, 2, h.Held(began, server))
	h.Take(began, server)
	require.True(t, h.Allows(began, server))
	require.False(t, h.Allows(began.Add(600*time.Millisecond), server))
	b.Observe(began, server, 0)
	require.True(t, h.Allows(began.Add(600*time.Millisecond), server))
}

// Entries that reach nobody who allocates a limit must keep far below it together, and
// must send now and then, or they would never learn that the limit is gone.
func TestEntriesWithoutContactShareAPartOfTheLimit(t *testing.T) {
	const (
		entries = 8
		rate    = 4.0
	)
	b := quota.NewBook()
	b.Observe(began, server, rate)
	total := 0
	for range entries {
		h := quota.NewHolder(b, func() int { return entries })
		h.Contact(began)
		for i := range 2000 {
			now := began.Add(time.Duration(i) * 10 * time.Millisecond)
			if !h.Allows(now, server) {
				continue
			}
			require.Greater(t, now.Sub(began), time.Second)
			h.Take(now, server)
			total++
		}
	}
	require.GreaterOrEqual(t, total, entries)
	require.LessOrEqual(t, float64(total), rate*20/2)
}
