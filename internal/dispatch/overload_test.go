package dispatch_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

const (
	// serviceTime is how long a request occupies a slot.
	serviceTime = 400 * time.Millisecond
	// startObjective is the time within which a request must start.
	startObjective = 200 * time.Millisecond
	// maxWait is how long a request waits at most.
	maxWait = 1200 * time.Millisecond
	// exchangeEvery is the time between two exchanges of the entries' loads.
	exchangeEvery = 60 * time.Millisecond
)

// overload plays one replica group behind several entries for 20 s, under a demand
// that is a multiple of what the group serves with one more request than its slots.
type overload struct {
	entries []*dispatch.Balancer
	queues  []*dispatch.Queues

	mu             sync.Mutex
	arrived        int
	onTime, served int
}

func playOverload(ctx context.Context, entries int, demand float64) *overload {
	o := &overload{}
	for range entries {
		o.entries = append(o.entries, balancer(0, leader("s1", "a")))
		o.queues = append(o.queues, dispatch.NewQueues(64, time.Now))
	}
	var wg, exchange sync.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	exchange.Go(func() { o.exchangeLoads(ctx) })
	interval := time.Duration(float64(serviceTime) / (slots + 1) / demand)
	for n := range int(20 * time.Second / interval) {
		wg.Go(func() { o.request(ctx, n%entries) })
		time.Sleep(interval)
	}
	wg.Wait()
	cancel()
	exchange.Wait()
	return o
}

func (o *overload) exchangeLoads(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(exchangeEvery)
		for i, b := range o.entries {
			sums := map[registry.Incarnation]dispatch.PeerLoad{}
			for j, other := range o.entries {
				for inc, n := range other.InFlight() {
					if i != j {
						sums[inc] = dispatch.PeerLoad{InFlight: sums[inc].InFlight + n}
					}
				}
			}
			b.SetPeerLoads(sums)
			o.queues[i].Dispatch()
		}
	}
}

func (o *overload) request(ctx context.Context, entry int) {
	arrived := time.Now()
	due := arrived.Add(startObjective)
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	queue := o.queues[entry].Queue("notes", "large")
	res := queue.Wait(ctx, dispatch.QueuedRequest{Organisation: "north", Cost: 1, DueAt: due}, func(now time.Time) *dispatch.Reservation {
		r := notes
		r.Overdue = now.After(due)
		return o.entries[entry].Reserve(now, r)
	})
	o.mu.Lock()
	o.arrived++
	if res != nil {
		o.served++
		if time.Since(arrived) <= startObjective {
			o.onTime++
		}
	}
	o.mu.Unlock()
	if res == nil {
		return
	}
	for range 4 {
		time.Sleep(serviceTime / 4)
		res.RecordProgress(time.Now())
	}
	res.Release(time.Now(), dispatch.Served)
	queue.Dispatch()
}

// Pattern: sustained overload. While groups are missing, a little more arrives than
// the others serve. In the order of arrival every request waits until it is late; the
// requests that can still meet their objectives must go first, so that most of what
// the group serves is on time.
func TestUnderSustainedOverloadMostServedRequestsStartOnTime(t *testing.T) {
	for _, entries := range []int{1, 6} {
		for _, demand := range []float64{1.1, 1.3, 1.6} {
			synctest.Test(t, func(t *testing.T) {
				o := playOverload(t.Context(), entries, demand)
				require.GreaterOrEqual(t, float64(o.served), 0.85/demand*float64(o.arrived), "the group is kept busy")
				require.GreaterOrEqual(t, float64(o.onTime), 0.8*float64(o.served), "%d entries, %d served at demand %.1f", entries, o.served, demand)
			})
		}
	}
}

// Pattern: usual load. Below the capacity nothing is refused and next to nothing is
// late.
func TestUnderUsualLoadRequestsStartOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := playOverload(t.Context(), 6, 0.7)
		require.Equal(t, o.arrived, o.served)
		require.GreaterOrEqual(t, float64(o.onTime), 0.99*float64(o.served))
	})
}
