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

// entries returns n entries, in two zones by turns.
func entries(n int) []dispatch.Entry {
	var list []dispatch.Entry
	for i := range n {
		list = append(list, dispatch.Entry{Name: fmt.Sprintf("e%d", i), Zone: []string{"a", "b"}[i%2]})
	}
	return list
}

var notes = dispatch.Requirements{Service: "notes", Model: "large"}

// take takes n places and returns how many went to each server.
func take(b *dispatch.Balancer, n int, at time.Time) map[string]int {
	counts := map[string]int{}
	for range n {
		if t := b.Reserve(at, notes); t != nil {
			counts[t.Server.ID]++
		}
	}
	return counts
}

func TestRequestsGoWhereTheLeastIsInFlight(t *testing.T) {
	b := balancer(0, leader("s1", "a"), leader("s2", "a"))
	b.SetPeerLoads(map[registry.Incarnation]dispatch.PeerLoad{{ID: "s1", StartTime: 1}: {InFlight: 2}})
	require.Equal(t, map[string]int{"s1": 1, "s2": 3}, take(b, 4, start))
}

// A burst beyond the slots waits at the entry instead of queueing at a server.
func TestAGroupIsNotFilledBeyondItsSlots(t *testing.T) {
	b := balancer(0, leader("s1", "a"))
	b.SetPeerLoads(map[registry.Incarnation]dispatch.PeerLoad{{ID: "s1", StartTime: 1}: {InFlight: 3}})
	require.Equal(t, map[string]int{"s1": 2}, take(b, 10, start))
}

func TestOnlyOpenLeadersOfTheModelServe(t *testing.T) {
	ready, other, leaving := leader("s1", "a"), leader("s2", "a"), leader("s3", "a")
	ready.Member.State, other.Member.Model, leaving.Leaving = registry.Ready, "small", true
	b := balancer(0, ready, other, leaving, &registry.Server{ID: "s4", Service: "notes", Zone: "a"})
	require.Empty(t, take(b, 4, start))
}

func TestAZoneThatIsOutGetsNothing(t *testing.T) {
	b := balancer(0, leader("s1", "a"), leader("s2", "b"))
	b.SetExcludedZones(map[string]bool{"a": true})
	require.NotContains(t, take(b, 20, start), "s1")
}

// Half of the zone's groups are gone: other zones help with a part of theirs.
func TestOtherZonesHelpWhenTheOwnIsFull(t *testing.T) {
	b := balancer(0, leader("s1", "a"), leader("s2", "b"))
	require.Equal(t, map[string]int{"s1": slots + 1, "s2": 1}, take(b, 20, start))
}

// Operators took the own zone out: its callers get more of the others' places.
func TestAZoneThatIsOutSendsMoreElsewhere(t *testing.T) {
	b := balancer(0, leader("s1", "a"), leader("s2", "b"))
	b.SetExcludedZones(map[string]bool{"a": true})
	require.Equal(t, map[string]int{"s2": 3}, take(b, 20, start))
}

// A member falls silent: the leader goes on taking requests and nothing moves.
// The group gets no new ones, then a single trial, until an event comes.
func TestAGroupThatStandsStillGetsOneTrialAtATime(t *testing.T) {
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
	require.Nil(t, b.Reserve(at, notes), "a second request goes along with the trial")
	trial.RecordProgress(at.Add(100 * time.Millisecond))
	require.NotNil(t, b.Reserve(at.Add(100*time.Millisecond), notes))
}

func TestANeighboursStandstillCounts(t *testing.T) {
	b := balancer(0, leader("s1", "a"))
	b.SetPeerLoads(map[registry.Incarnation]dispatch.PeerLoad{{ID: "s1", StartTime: 1}: {InFlight: 1, Stalled: true}})
	require.Nil(t, b.Reserve(start, notes))
}

// A server fails part of its requests while its health is good.
func TestAServerThatFailsRequestsIsAvoided(t *testing.T) {
	b := balancer(0, leader("s1", "a"), leader("s2", "a"))
	for range 3 {
		for _, ticket := range []*dispatch.Reservation{b.Reserve(start, notes), b.Reserve(start, notes)} {
			result := dispatch.Served
			if ticket.Server.ID == "s1" {
				result = dispatch.Failed
			}
			ticket.Release(start, result)
		}
	}
	require.Equal(t, map[string]int{"s2": 3}, take(b, 3, start))
}

// All entries together keep to what a cold server bears.
func TestColdServersGetTheirShareOfTheRate(t *testing.T) {
	cold := leader("s1", "a")
	cold.ColdUntil = start.Add(3 * time.Second)
	b := balancer(28, cold)
	b.SetEntries("e0", entries(8))
	taken := 0
	for i := range 300 {
		at := start.Add(time.Duration(i) * 10 * time.Millisecond)
		if ticket := b.Reserve(at, notes); ticket != nil {
			ticket.Release(at, dispatch.Served)
			taken++
		}
	}
	require.LessOrEqual(t, taken, 28*3/8+2)
	require.Positive(t, taken)
}

// More entries start while the server is cold: what it gets from this one
// shrinks at once.
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
		if ticket := b.Reserve(at, notes); ticket != nil {
			ticket.Release(at, dispatch.Served)
			taken++
		}
	}
	require.LessOrEqual(t, taken, 28/8+2)
	require.Positive(t, taken)
}

// Many entries, each with one request ready at any time, would send far more in
// one second than a cold server bears, if each had a small share of its own.
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
			if ticket := b.Reserve(at, notes); ticket != nil {
				ticket.Release(at, dispatch.Served)
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
	require.Greater(t, len(taken), 3*perSecond*3/4, "the rate is used")
}

// A cold server with nothing in flight has used its share; the request goes to
// a warm one, although that is busier.
func TestWarmServersTakeWhatAColdOneCannot(t *testing.T) {
	cold := leader("s1", "a")
	cold.ColdUntil = start.Add(3 * time.Second)
	b := balancer(28, cold, leader("s2", "a"))
	b.SetEntries("e0", entries(8))
	require.Equal(t, map[string]int{"s1": 1, "s2": 3}, take(b, 4, start))
}

// One organisation floods the line: the others still get their turn.
func TestALineServesOrganisationsInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer(0, leader("s1", "a"))
		lines := dispatch.NewQueues(64, time.Now)
		line := lines.Queue("notes", "large")
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
				ticket := line.Wait(t.Context(), dispatch.QueuedRequest{Organisation: organisation, Cost: 10}, func(now time.Time) *dispatch.Reservation {
					return b.Reserve(now, notes)
				})
				mu.Lock()
				served = append(served, organisation)
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
				ticket.Release(time.Now(), dispatch.Served)
				lines.Dispatch()
			}()
			synctest.Wait()
		}
		held[0].Release(time.Now(), dispatch.Served)
		lines.Dispatch()
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
		line := dispatch.NewQueues(1, time.Now).Queue("notes", "large")
		none := func(time.Time) *dispatch.Reservation { return nil }
		require.Nil(t, line.Wait(ctx, dispatch.QueuedRequest{}, none))
		require.Zero(t, line.Length())
	})
}

func ExampleBalancer_Take() {
	b := balancer(0, leader("s1", "a"))
	ticket := b.Reserve(start, notes)
	fmt.Println(ticket.Server.ID)
	ticket.Release(start, dispatch.Served)
	// Output: s1
}

// A burst far beyond the room: whoever could only wait too long learns it at
// once, and an organisation that has nothing waiting still gets in.
func TestABurstBeyondTheRoomIsToldHowLongItWouldWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		line := dispatch.NewQueues(64, time.Now).Queue("notes", "large")
		var room atomic.Int64
		take := func(time.Time) *dispatch.Reservation {
			if room.Load() == 0 {
				return nil
			}
			room.Add(-1)
			return &dispatch.Reservation{}
		}
		require.Zero(t, line.EstimateWait("large"), "an empty line")
		for range 20 {
			go line.Wait(t.Context(), dispatch.QueuedRequest{Organisation: "large"}, take)
		}
		synctest.Wait()
		for range 5 { // five places a second
			time.Sleep(200 * time.Millisecond)
			room.Store(1)
			line.Dispatch()
		}
		require.InDelta(t, 3, line.EstimateWait("large").Seconds(), 0.5)
		require.Zero(t, line.EstimateWait("small"))
		room.Store(20)
		line.Dispatch()
		synctest.Wait()
		require.Zero(t, line.EstimateWait("large"))
	})
}
