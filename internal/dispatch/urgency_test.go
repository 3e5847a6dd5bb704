package dispatch_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/admission"
	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

const (
	callTimeout = 6 * time.Second
	// patternEntries is the number of entries of a pattern, groupSlots that of the slots
	// of each of its two groups. An entry starts few requests in a second, as in a zone
	// of many entries.
	patternEntries = 8
	groupSlots     = 20
	// patternCapacity is the number of ordinary requests that the groups serve in a
	// second, with one more request than their slots.
	patternCapacity = 2 * (groupSlots + 1)
)

// request is one call of a pattern. Its urgency is its class.
type request struct {
	organisation string
	urgency      admission.Urgency
	// holds is how long it occupies a slot, and objective the time within which it must
	// start.
	holds, objective time.Duration
	// impatient callers send a rejected request again at once, three times as often.
	impatient bool
}

// ordinary returns a request of an organisation and a route's priority.
func ordinary(organisation, route int) request {
	return request{
		organisation: fmt.Sprint("o", organisation), urgency: admission.Urgency{Route: route},
		holds: time.Second, objective: 200 * time.Millisecond,
	}
}

// pattern is a load of 26 s: its demand as a multiple of the capacity, and what arrives.
type pattern struct {
	demand func(at time.Duration) float64
	next   func(rng *rand.Rand, at time.Duration) request
}

// tally counts requests by their outcome.
type tally struct{ inTime, late, rejected int }

func (c tally) add(o tally) tally {
	return tally{inTime: c.inTime + o.inTime, late: c.late + o.late, rejected: c.rejected + o.rejected}
}

func (c tally) met() float64    { return float64(c.inTime) / float64(c.inTime+c.late+c.rejected) }
func (c tally) served() float64 { return c.met() + float64(c.late)/float64(c.inTime+c.late+c.rejected) }

// played is a pattern as several entries play it under one order.
type played struct {
	overload
	byUrgency bool
	returns   []*admission.Returns
	// tallies has the outcomes by class, organisation and kind of caller.
	tallies map[string]tally
}

func (o *played) play(t *testing.T, p pattern, seed uint64) {
	ctx, cancel := context.WithCancel(t.Context())
	o.entries, o.queues, o.returns = nil, nil, nil
	for range patternEntries {
		b := balancer(0, leader("s1", "a"), leader("s2", "a"))
		b.SetTable(routes.NewTable(routes.Config{Services: []routes.Service{{Name: "notes", Engine: &routes.Engine{Slots: groupSlots}}}}))
		queues := dispatch.NewQueues(64, time.Now)
		queues.SetByUrgency(o.byUrgency)
		o.entries, o.queues, o.returns = append(o.entries, b), append(o.queues, queues), append(o.returns, admission.NewReturns())
	}
	var wg, exchanges sync.WaitGroup
	exchanges.Go(func() { o.exchangeLoads(ctx) })
	rng := rand.New(rand.NewPCG(seed, 0))
	for began := time.Now(); time.Since(began) < 26*time.Second; {
		r, seed := p.next(rng, time.Since(began)), rng.Uint64()
		wg.Go(func() { o.call(ctx, r, rand.New(rand.NewPCG(seed, 0))) })
		time.Sleep(time.Duration(rng.ExpFloat64() / patternCapacity / p.demand(time.Since(began)) * float64(time.Second)))
	}
	wg.Wait()
	cancel()
	exchanges.Wait()
}

// call sends a request until it starts, or three times; an impatient caller nine times.
// It keeps its connection to one entry.
func (o *played) call(ctx context.Context, r request, rng *rand.Rand) {
	attempts, kind, outcome := 3, "patient", tally{rejected: 1}
	if r.impatient {
		attempts, kind = 9, "impatient"
	}
	id, entry := fmt.Sprint(rng.Uint64()), rng.IntN(len(o.entries))
	for range attempts {
		arrived := time.Now()
		wait := o.attempt(ctx, r, id, entry, rng)
		if wait == 0 {
			outcome = tally{inTime: 1}
			if time.Since(arrived) > r.objective+r.holds {
				outcome = tally{late: 1}
			}
			break
		}
		if r.impatient {
			wait = 10 * time.Millisecond
		}
		time.Sleep(wait)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, key := range []string{"all", kind, "class " + r.urgency.String(), r.organisation} {
		o.tallies[key] = o.tallies[key].add(outcome)
	}
}

// attempt sends a request to one entry, which works as the gateway does. It returns the
// Retry-After, or 0 when the request has been served.
func (o *played) attempt(ctx context.Context, r request, id string, entry int, rng *rand.Rand) time.Duration {
	due := time.Now().Add(r.objective)
	reserve := func(now time.Time, overdue bool) *dispatch.Reservation {
		requirements := notes
		requirements.Overdue = overdue
		return o.entries[entry].Reserve(now, requirements)
	}
	queue, returns := o.queues[entry].Queue("notes", "large"), o.returns[entry]
	queued := dispatch.QueuedRequest{
		Organisation: r.organisation, Priority: r.urgency.Organisation, Urgency: r.urgency, Cost: r.holds.Seconds(), DueAt: due,
		MaxWait: dispatch.MaxWait(callTimeout), Early: returns.Early(time.Now(), id),
		ReserveAny: func(now time.Time) *dispatch.Reservation { return reserve(now, false) },
		HasSpare:   func(now time.Time) bool { return o.entries[entry].HasSpare(now, notes) },
	}
	expected := queue.EstimateWait(r.organisation)
	if o.byUrgency {
		queued.MaxWait = dispatch.MaxWaitByUrgency(callTimeout, r.objective)
		expected = queue.Predict(queued, func() float64 { return patternCapacity / patternEntries }).Wait
	}
	var res *dispatch.Reservation
	if expected <= queued.MaxWait {
		ctx, cancel := context.WithTimeout(ctx, queued.MaxWait)
		defer cancel()
		res = queue.Wait(ctx, queued, func(now time.Time) *dispatch.Reservation { return reserve(now, now.After(due)) })
	}
	expected = max(expected, 400*time.Millisecond)
	switch {
	case res == nil && o.byUrgency:
		wait := dispatch.RetryAfter(expected, callTimeout, rng.Float64())
		returns.Told(time.Now(), id, wait)
		return wait
	case res == nil:
		return min(expected, 1500*time.Millisecond)
	}
	for range 4 {
		time.Sleep(r.holds / 4)
		res.RecordProgress(time.Now())
	}
	res.Release(time.Now(), dispatch.Served)
	queue.Dispatch()
	return 0
}

// compare plays the pattern several times in both orders and logs the outcomes side by
// side.
func compare(t *testing.T, plays uint64, p pattern) (was, now map[string]tally) {
	orders := [2]played{{tallies: map[string]tally{}}, {byUrgency: true, tallies: map[string]tally{}}}
	for i := range orders {
		for seed := range plays {
			synctest.Test(t, func(t *testing.T) { orders[i].play(t, p, seed) })
		}
	}
	was, now = orders[0].tallies, orders[1].tallies
	var b strings.Builder
	for _, key := range slices.Sorted(maps.Keys(now)) {
		fmt.Fprintf(&b, "\n%-10s in time %4d -> %4d  late %4d -> %4d  rejected %4d -> %4d", key,
			was[key].inTime, now[key].inTime, was[key].late, now[key].late, was[key].rejected, now[key].rejected)
	}
	t.Log(b.String())
	return was, now
}

func steady(demand float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return demand }
}

// Pattern: for 7 s the least urgent class sends 2.5 times the demand, all of it with the
// longest prompts. The most urgent class must lose less than before.
func TestABurstOfTheLeastUrgentClass(t *testing.T) {
	burst := func(at time.Duration) bool { return at > 8*time.Second && at < 15*time.Second }
	was, now := compare(t, 2, pattern{
		demand: func(at time.Duration) float64 {
			if burst(at) {
				return 0.7 * 2.5
			}
			return 0.7
		},
		next: func(rng *rand.Rand, at time.Duration) request {
			if !burst(at) || rng.Float64() < 1/2.5 {
				return ordinary(rng.IntN(6), rng.IntN(3))
			}
			r := ordinary(rng.IntN(6), 2)
			r.holds, r.objective = 2*time.Second, 800*time.Millisecond
			return r
		},
	})
	require.Less(t, now["class 0/0"].rejected, was["class 0/0"].rejected*3/4)
	require.Greater(t, now["class 0/0"].met(), now["class 0/1"].met())
	require.Greater(t, now["class 0/1"].met(), now["class 0/2"].met())
}

// Pattern: 82% of the requests are of the most urgent class, and more arrive than can be
// served. The others must neither be served more often nor starve.
func TestMostRequestsInTheMostUrgentClass(t *testing.T) {
	was, now := compare(t, 2, pattern{
		demand: steady(1.4),
		next: func(rng *rand.Rand, _ time.Duration) request {
			return ordinary(rng.IntN(6), []int{0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 2}[rng.IntN(11)])
		},
	})
	require.Greater(t, now["class 0/0"].met(), was["class 0/0"].met())
	for _, class := range []string{"class 0/1", "class 0/2"} {
		require.Less(t, now[class].served(), now["class 0/0"].served())
		require.Greater(t, now[class].served(), 0.05)
	}
}

// Pattern: traffic swings three to one every 13 s. Each class is served as often as the
// less urgent ones, or more often.
func TestTrafficThatSwings(t *testing.T) {
	was, now := compare(t, 6, pattern{
		demand: func(at time.Duration) float64 {
			if at%(13*time.Second) < 13*time.Second/2 {
				return 0.5
			}
			return 1.5
		},
		next: func(rng *rand.Rand, _ time.Duration) request { return ordinary(rng.IntN(6), rng.IntN(3)) },
	})
	require.Greater(t, now["class 0/0"].met(), was["class 0/0"].met())
	require.Greater(t, now["class 0/0"].served(), now["class 0/1"].served())
	require.Greater(t, now["class 0/1"].served(), now["class 0/2"].served())
}

// Pattern: three of ten callers send a rejected request again at once, and three times as
// often. They must gain less by that than before.
func TestCallersThatDontWait(t *testing.T) {
	was, now := compare(t, 2, pattern{
		demand: steady(1.3),
		next: func(rng *rand.Rand, _ time.Duration) request {
			r := ordinary(rng.IntN(10), 0)
			r.impatient = rng.IntN(10) < 3
			return r
		},
	})
	gain := func(c map[string]tally) float64 { return c["impatient"].served() / c["patient"].served() }
	require.Less(t, gain(now), gain(was))
}

// Pattern: one organisation sends a third of the traffic. The others are served at least
// as often, and the urgent class before the other.
func TestOneLargeOrganisation(t *testing.T) {
	was, now := compare(t, 2, pattern{
		demand: steady(1.3),
		next: func(rng *rand.Rand, _ time.Duration) request {
			if rng.IntN(3) == 0 {
				return ordinary(0, rng.IntN(2))
			}
			return ordinary(1+rng.IntN(8), rng.IntN(2))
		},
	})
	var others tally
	for n := 1; n <= 8; n++ {
		others = others.add(now[fmt.Sprint("o", n)])
	}
	require.Greater(t, others.served(), now["o0"].served())
	require.Greater(t, now["class 0/0"].met(), was["class 0/0"].met())
}
