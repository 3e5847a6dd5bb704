package dispatch_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

const slots = 4

var start = time.Unix(1000, 0)

func leader(id, zone string) *registry.Server {
	return &registry.Server{
		ID: id, StartTime: 1, Service: "notes", Zone: zone,
		Member: &registry.Membership{Group: registry.GroupID{Name: "g-" + id}, State: registry.Open, Model: "large"},
	}
}

func balancer(coldRate float64, servers ...*registry.Server) *dispatch.Balancer {
	b := dispatch.NewBalancer("a")
	b.SetTable(routes.NewTable(routes.Config{Services: []routes.Service{
		{Name: "notes", ColdRate: coldRate, Engine: &routes.Engine{Slots: slots}},
		{Name: "docking"},
	}}))
	view := &registry.View{Servers: map[string]*registry.Server{}}
	for _, s := range servers {
		view.Servers[s.ID] = s
	}
	b.SetView(view)
	return b
}

// entries returns n entries that alternate between two zones.
func entries(n int) []dispatch.Entry {
	var list []dispatch.Entry
	for i := range n {
		list = append(list, dispatch.Entry{Name: fmt.Sprintf("e%d", i), Zone: []string{"a", "b"}[i%2]})
	}
	return list
}

var notes = dispatch.Requirements{Service: "notes", Model: "large"}

// reserve makes up to n reservations and returns how many each server got.
func reserve(b *dispatch.Balancer, n int, at time.Time) map[string]int {
	counts := map[string]int{}
	for range n {
		if r := b.Reserve(at, notes); r != nil {
			counts[r.Server.ID]++
		}
	}
	return counts
}

func TestRequestsGoWhereTheLeastIsInFlight(t *testing.T) {
	b := balancer(0, leader("s1", "a"), leader("s2", "a"))
	b.SetPeerLoads(map[registry.Incarnation]dispatch.PeerLoad{{ID: "s1", StartTime: 1}: {InFlight: 2}})
	require.Equal(t, map[string]int{"s1": 1, "s2": 3}, reserve(b, 4, start))
}

// A burst that exceeds the slots must queue at the entry, not at a server.
func TestAGroupIsNotFilledBeyondItsSlots(t *testing.T) {
	b := balancer(0, leader("s1", "a"))
	b.SetPeerLoads(map[registry.Incarnation]dispatch.PeerLoad{{ID: "s1", StartTime: 1}: {InFlight: 3}})
	require.Equal(t, map[string]int{"s1": 2}, reserve(b, 10, start))
}

func TestOnlyOpenLeadersOfTheModelServe(t *testing.T) {
	ready, other, leaving := leader("s1", "a"), leader("s2", "a"), leader("s3", "a")
	ready.Member.State, other.Member.Model, leaving.Leaving = registry.Ready, "small", true
	b := balancer(0, ready, other, leaving, &registry.Server{ID: "s4", Service: "notes", Zone: "a"})
	require.Empty(t, reserve(b, 4, start))
}

func TestAnExcludedZoneGetsNoRequests(t *testing.T) {
	b := balancer(0, leader("s1", "a"), leader("s2", "b"))
	b.SetExcludedZones(map[string]bool{"a": true})
	require.NotContains(t, reserve(b, 20, start), "s1")
}

// Requests that exceed the slots of the own zone go to other zones, up to the
// share for remote entries.
func TestRequestsOverflowToOtherZones(t *testing.T) {
	b := balancer(0, leader("s1", "a"), leader("s2", "b"))
	require.Equal(t, map[string]int{"s1": slots + 1, "s2": 1}, reserve(b, 20, start))
}

// While the own zone is excluded, its entries may use a larger share of the
// servers in other zones.
func TestAnExcludedZoneSendsMoreToOtherZones(t *testing.T) {
	b := balancer(0, leader("s1", "a"), leader("s2", "b"))
	b.SetExcludedZones(map[string]bool{"a": true})
	require.Equal(t, map[string]int{"s2": 3}, reserve(b, 20, start))
}

// A group whose leader accepts requests while another member is unresponsive
// makes no progress. It must get no new requests, then one trial request at a
// time until a stream makes progress.
func TestAStalledGroupGetsOneTrialRequestAtATime(t *testing.T) {
	b := balancer(0, leader("s1", "a"))
	first := b.Reserve(start, notes)
	require.NotNil(t, first)
	later := start.Add(700 * time.Millisecond)
	require.True(t, first.Stalled(later))
	require.Nil(t, b.Reserve(later, notes))
	first.Release(later, dispatch.Unresponsive)
	require.Nil(t, b.Reserve(later.Add(500*time.Millisecond), notes))
	at := later.Add(1100 * time.Millisecond)
	trial := b.Reserve(at, notes)
	require.NotNil(t, trial)
	require.Nil(t, b.Reserve(at, notes), "a second request was sent during the trial")
	trial.RecordProgress(at.Add(100 * time.Millisecond))
	require.NotNil(t, b.Reserve(at.Add(100*time.Millisecond), notes))
}

func TestAStallReportedByAPeerCounts(t *testing.T) {
	b := balancer(0, leader("s1", "a"))
	b.SetPeerLoads(map[registry.Incarnation]dispatch.PeerLoad{{ID: "s1", StartTime: 1}: {InFlight: 1, Stalled: true}})
	require.Nil(t, b.Reserve(start, notes))
}

// A server that passes its health checks but fails requests must be avoided.
func TestAServerThatFailsRequestsIsAvoided(t *testing.T) {
	b := balancer(0, leader("s1", "a"), leader("s2", "a"))
	for range 3 {
		for _, reservation := range []*dispatch.Reservation{b.Reserve(start, notes), b.Reserve(start, notes)} {
			result := dispatch.Served
			if reservation.Server.ID == "s1" {
				result = dispatch.Failed
			}
			reservation.Release(start, result)
		}
	}
	require.Equal(t, map[string]int{"s2": 3}, reserve(b, 3, start))
}

// One of eight entries may use only its share of a cold server's rate limit.
func TestColdServersGetTheirShareOfTheRate(t *testing.T) {
	cold := leader("s1", "a")
	cold.ColdUntil = start.Add(3 * time.Second)
	b := balancer(28, cold)
	b.SetEntries("e0", entries(8))
	taken := 0
	for i := range 300 {
		at := start.Add(time.Duration(i) * 10 * time.Millisecond)
		if reservation := b.Reserve(at, notes); reservation != nil {
			reservation.Release(at, dispatch.Served)
			taken++
		}
	}
	require.LessOrEqual(t, taken, 28*3/8+2)
	require.Positive(t, taken)
}

// When more entries start while a server is cold, this entry's share of the
// rate must shrink at once.
func TestAColdServersShareFollowsTheNumberOfEntries(t *testing.T) {
	cold := leader("s1", "a")
	cold.ColdUntil = start.Add(3 * time.Second)
	b := balancer(28, cold)
	b.SetEntries("e0", entries(1))
	taken := 0
	for i := range 200 {
		if i == 100 {
			b.SetEntries("e0", entries(8))
			taken = 0
		}
		at := start.Add(time.Duration(i) * 10 * time.Millisecond)
		if reservation := b.Reserve(at, notes); reservation != nil {
			reservation.Release(at, dispatch.Served)
			taken++
		}
	}
	require.LessOrEqual(t, taken, 28/8+2)
	require.Positive(t, taken)
}

// If each of many entries had its own small share, their bursts of one request
// would add up to far more in one second than a cold server's limit.
func TestManyEntriesTogetherKeepToAColdServersRate(t *testing.T) {
	const perSecond, entryCount = 28, 72
	var balancers []*dispatch.Balancer
	for _, e := range entries(entryCount) {
		cold := leader("s1", "a")
		cold.ColdUntil = start.Add(3 * time.Second)
		b := balancer(perSecond, cold)
		b.SetEntries(e.Name, entries(entryCount))
		balancers = append(balancers, b)
	}
	var taken []time.Time
	for at := start; at.Before(start.Add(3 * time.Second)); at = at.Add(10 * time.Millisecond) {
		for _, b := range balancers {
			if reservation := b.Reserve(at, notes); reservation != nil {
				reservation.Release(at, dispatch.Served)
				taken = append(taken, at)
			}
		}
	}
	for i, first := range taken {
		n := 0
		for _, at := range taken[i:] {
			if at.Sub(first) < time.Second {
				n++
			}
		}
		require.LessOrEqual(t, float64(n), perSecond*1.5)
	}
	require.Greater(t, len(taken), 3*perSecond*3/4, "too little of the rate was used")
}

// Once this entry's share of a cold server's rate is used up, requests must go
// to a warm server, even if that has more requests in flight.
func TestWarmServersTakeWhatAColdOneCannot(t *testing.T) {
	cold := leader("s1", "a")
	cold.ColdUntil = start.Add(3 * time.Second)
	b := balancer(28, cold, leader("s2", "a"))
	b.SetEntries("e0", entries(8))
	require.Equal(t, map[string]int{"s1": 1, "s2": 3}, reserve(b, 4, start))
}

// An organisation with many waiting requests must not delay the requests of
// others.
func TestAQueueServesOrganisationsFairly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer(0, leader("s1", "a"))
		queues := dispatch.NewQueues(64, time.Now)
		queue := queues.Queue("notes", "large")
		held := make([]*dispatch.Reservation, 0, slots+1)
		for range slots + 1 {
			held = append(held, b.Reserve(time.Now(), notes))
		}
		var mu sync.Mutex
		var served []string
		for i := range 6 {
			organisation := "large"
			if i == 5 {
				organisation = "small"
			}
			go func() {
				reservation := queue.Wait(t.Context(), dispatch.QueuedRequest{Organisation: organisation, Cost: 10}, func(now time.Time) *dispatch.Reservation {
					return b.Reserve(now, notes)
				})
				mu.Lock()
				served = append(served, organisation)
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
				reservation.Release(time.Now(), dispatch.Served)
				queues.Dispatch()
			}()
			synctest.Wait()
		}
		held[0].Release(time.Now(), dispatch.Served)
		queues.Dispatch()
		time.Sleep(2 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		require.Len(t, served, 6)
		require.Contains(t, served[:2], "small")
	})
}

func TestAWaitEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		queue := dispatch.NewQueues(1, time.Now).Queue("notes", "large")
		none := func(time.Time) *dispatch.Reservation { return nil }
		require.Nil(t, queue.Wait(ctx, dispatch.QueuedRequest{}, none))
		require.Zero(t, queue.Length())
	})
}

func ExampleBalancer_Reserve() {
	b := balancer(0, leader("s1", "a"))
	reservation := b.Reserve(start, notes)
	fmt.Println(reservation.Server.ID)
	reservation.Release(start, dispatch.Served)
	// Output: s1
}

// During a burst far beyond the capacity, the estimated wait must be known
// before a request is queued, so that it can be rejected at once. It must be 0
// for an organisation without waiting requests.
func TestTheWaitOfABurstIsEstimated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := dispatch.NewQueues(64, time.Now).Queue("notes", "large")
		var free atomic.Int64
		reserve := func(time.Time) *dispatch.Reservation {
			if free.Load() == 0 {
				return nil
			}
			free.Add(-1)
			return &dispatch.Reservation{}
		}
		require.Zero(t, queue.EstimateWait("large"), "estimate for an empty queue")
		for range 20 {
			go queue.Wait(t.Context(), dispatch.QueuedRequest{Organisation: "large"}, reserve)
		}
		synctest.Wait()
		for range 5 { // five reservations a second
			time.Sleep(200 * time.Millisecond)
			free.Store(1)
			queue.Dispatch()
		}
		require.InDelta(t, 3, queue.EstimateWait("large").Seconds(), 0.5)
		require.Zero(t, queue.EstimateWait("small"))
		free.Store(20)
		queue.Dispatch()
		synctest.Wait()
		require.Zero(t, queue.EstimateWait("large"))
	})
}

// Overdue requests leave a part of each group's slots to requests that can still
// meet their objectives, at other entries too.
func TestOverdueRequestsLeaveSlotsFree(t *testing.T) {
	b := balancer(0, leader("s1", "a"))
	overdue := notes
	overdue.Overdue = true
	taken := 0
	for range 10 {
		if b.Reserve(start, overdue) != nil {
			taken++
		}
	}
	require.Equal(t, slots-1, taken)
	require.Equal(t, map[string]int{"s1": 2}, reserve(b, 10, start), "the last slot and one that waits at the server")
}

// Guards against one entry that keeps a server from all others: it once failed to reach
// the server and then has no request of its own to try it with.
func TestAServerIsNotListedAsStalledForLongWithoutATrial(t *testing.T) {
	b := balancer(0, leader("g1", "a"))
	r := b.Reserve(start, notes)
	require.NotNil(t, r)
	r.Release(start, dispatch.Unresponsive)
	require.Len(t, b.Stalled(start.Add(500*time.Millisecond)), 1)
	require.Nil(t, b.Reserve(start.Add(500*time.Millisecond), notes))
	require.Empty(t, b.Stalled(start.Add(3*time.Second)))
	// During a trial, and after a further failure, it is listed again.
	trial := b.Reserve(start.Add(3*time.Second), notes)
	require.NotNil(t, trial)
	require.Len(t, b.Stalled(start.Add(3*time.Second)), 1)
	trial.Release(start.Add(3*time.Second), dispatch.Unresponsive)
	require.Len(t, b.Stalled(start.Add(4*time.Second)), 1)
}
