package dispatch_test

import (
	"context"
	"fmt"
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
)

const (
	patternTime = 26 * time.Second
	callTimeout = 6 * time.Second
	// patternCapacity is the number of ordinary requests that the groups of a pattern
	// serve in a second: two groups with one more request than their slots.
	patternCapacity = 2 * (slots + 1) / 0.4
)

// request is one call of a pattern. Its urgency is its class.
type request struct {
	organisation string
	urgency      admission.Urgency
	// holds is how long it occupies a slot, cost its size in tokens, and objective the
	// time within which it must start.
	holds, objective time.Duration
	cost             float64
	// impatient callers send a rejected request again at once, three times as often.
	impatient bool
}

// pattern is a load: its demand as a multiple of the capacity, and what arrives.
type pattern struct {
	demand func(at time.Duration) float64
	next   func(rng *rand.Rand, at time.Duration) request
}

// tally counts the requests of one class or organisation by their outcome.
type tally struct{ inTime, late, rejected int }

func (c tally) served() float64 { return float64(c.inTime+c.late) / float64(c.inTime+c.late+c.rejected) }
func (c tally) met() float64    { return float64(c.inTime) / float64(c.inTime+c.late+c.rejected) }

// played is a pattern as it was played by two entries under one policy.
type played struct {
	byUrgency bool
	entries   []*dispatch.Balancer
	queues    []*dispatch.Queues

	mu      sync.Mutex
	tallies map[string]tally
}

func play(t *testing.T, p pattern, byUrgency bool) map[string]tally {
	o := &played{byUrgency: byUrgency, tallies: map[string]tally{}}
	synctest.Test(t, func(t *testing.T) {
		for range 2 {
			o.entries = append(o.entries, balancer(0, leader("s1", "a"), leader("s2", "a")))
			queues := dispatch.NewQueues(64, time.Now)
			queues.SetByUrgency(byUrgency)
			o.queues = append(o.queues, queues)
		}
		exchange := overload{entries: o.entries, queues: o.queues}
		ctx, cancel := context.WithCancel(t.Context())
		var wg, exchanges sync.WaitGroup
		exchanges.Go(func() { exchange.exchangeLoads(ctx) })
		rng := rand.New(rand.NewPCG(7, 0))
		for began := time.Now(); time.Since(began) < patternTime; {
			r, seed := p.next(rng, time.Since(began)), rng.Uint64()
			wg.Go(func() { o.call(ctx, r, rand.New(rand.NewPCG(seed, 0))) })
			time.Sleep(time.Duration(rng.ExpFloat64() / patternCapacity / p.demand(time.Since(began)) * float64(time.Second)))
		}
		wg.Wait()
		cancel()
		exchanges.Wait()
	})
	return o.tallies
}

// call sends a request until it runs or its caller gives up: after three attempts, or
// nine of an impatient caller.
func (o *played) call(ctx context.Context, r request, rng *rand.Rand) {
	attempts := 3
	if r.impatient {
		attempts = 9
	}
	early := false
	for range attempts {
		started, due, retryAfter := o.attempt(ctx, r, rng, early)
		if !started.IsZero() {
			o.count(r, func(c *tally) {
				if started.After(due) {
					c.late++
				} else {
					c.inTime++
				}
			})
			return
		}
		early = r.impatient
		if r.impatient {
			retryAfter = 10 * time.Millisecond
		}
		time.Sleep(retryAfter)
	}
	o.count(r, func(c *tally) { c.rejected++ })
}

func (o *played) count(r request, add func(c *tally)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, key := range []string{"class " + r.urgency.String(), r.organisation} {
		c := o.tallies[key]
		add(&c)
		o.tallies[key] = c
	}
}

// attempt sends a request to one entry, which works as the gateway does. It returns when
// the request started, or the Retry-After.
func (o *played) attempt(ctx context.Context, r request, rng *rand.Rand, early bool) (started, due time.Time, retryAfter time.Duration) {
	entry := rng.IntN(len(o.entries))
	due = time.Now().Add(r.objective)
	queue := o.queues[entry].Queue("notes", "large")
	queued := dispatch.QueuedRequest{
		Organisation: r.organisation, Priority: r.urgency.Organisation, Urgency: r.urgency, Cost: r.cost, DueAt: due,
		MaxWait: dispatch.MaxWait(callTimeout), Early: early,
	}
	expected := queue.EstimateWait(r.organisation)
	if o.byUrgency {
		queued.MaxWait = dispatch.MaxWaitByUrgency(callTimeout, r.objective, 100*time.Millisecond)
		expected = queue.Predict(queued, func() float64 { return patternCapacity / 2 }).Wait
	}
	var res *dispatch.Reservation
	if expected <= queued.MaxWait {
		queued.ReserveAny = func(now time.Time) *dispatch.Reservation { return o.entries[entry].Reserve(now, notes) }
		ctx, cancel := context.WithTimeout(ctx, queued.MaxWait)
		defer cancel()
		res = queue.Wait(ctx, queued, func(now time.Time) *dispatch.Reservation {
			requirements := notes
			requirements.Overdue = now.After(due)
			return o.entries[entry].Reserve(now, requirements)
		})
	}
	if res == nil {
		if !o.byUrgency {
			return time.Time{}, due, min(max(expected, 400*time.Millisecond), 1500*time.Millisecond)
		}
		return time.Time{}, due, dispatch.RetryAfter(max(expected, 400*time.Millisecond), callTimeout, rng.Float64())
	}
	started = time.Now()
	for range 4 {
		time.Sleep(r.holds / 4)
		res.RecordProgress(time.Now())
	}
	res.Release(time.Now(), dispatch.Served)
	queue.Dispatch()
	return started, due, 0
}

// compare plays the pattern under both policies and logs the outcomes side by side.
func compare(t *testing.T, p pattern) (was, now map[string]tally) {
	was, now = play(t, p, false), play(t, p, true)
	var keys []string
	for key := range now {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	var b strings.Builder
	for _, key := range keys {
		fmt.Fprintf(&b, "\n%-10s in time %4d -> %4d  late %4d -> %4d  rejected %4d -> %4d", key,
			was[key].inTime, now[key].inTime, was[key].late, now[key].late, was[key].rejected, now[key].rejected)
	}
	t.Log(b.String())
	return was, now
}

func steady(demand float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return demand }
}

// ordinary returns a request of an organisation and a route's priority.
func ordinary(organisation, route int) request {
	return request{
		organisation: fmt.Sprint("o", organisation), urgency: admission.Urgency{Route: route},
		holds: 400 * time.Millisecond, objective: 200 * time.Millisecond, cost: 100,
	}
}

// Pattern: for 7 s, the least urgent class sends 2.5 times the demand, all with the
// longest prompts. The other classes must not notice.
func TestABurstOfTheLeastUrgentClassDelaysNoOther(t *testing.T) {
	burst := func(at time.Duration) bool { return at > 8*time.Second && at < 15*time.Second }
	_, now := compare(t, pattern{
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
			r.holds, r.cost, r.objective = 800*time.Millisecond, 900, 800*time.Millisecond
			return r
		},
	})
	require.Greater(t, now["class 0/0"].met(), 0.95)
	require.Greater(t, now["class 0/1"].met(), 0.9)
	require.Greater(t, now["class 0/2"].served(), 0.05)
}

// Pattern: 82% of the requests are of the most urgent class, and more arrive than can be
// served. The others must neither be served more often nor starve.
func TestMostRequestsInTheMostUrgentClass(t *testing.T) {
	was, now := compare(t, pattern{
		demand: steady(1.4),
		next: func(rng *rand.Rand, _ time.Duration) request {
			if rng.Float64() < 0.82 {
				return ordinary(rng.IntN(6), 0)
			}
			return ordinary(rng.IntN(6), 1+rng.IntN(2))
		},
	})
	require.Greater(t, now["class 0/0"].met(), was["class 0/0"].met())
	for _, class := range []string{"class 0/1", "class 0/2"} {
		require.Less(t, now[class].served(), now["class 0/0"].served())
		require.NotZero(t, now[class].inTime+now[class].late, class)
	}
}

// Pattern: traffic swings three to one every 13 s. In the high phase the most urgent
// class keeps its objective.
func TestTrafficThatSwings(t *testing.T) {
	_, now := compare(t, pattern{
		demand: func(at time.Duration) float64 {
			if at%(13*time.Second) < 13*time.Second/2 {
				return 0.5
			}
			return 1.5
		},
		next: func(rng *rand.Rand, _ time.Duration) request { return ordinary(rng.IntN(6), rng.IntN(3)) },
	})
	require.Greater(t, now["class 0/0"].met(), 0.95)
	require.Greater(t, now["class 0/0"].served(), now["class 0/1"].served())
	require.Greater(t, now["class 0/1"].served(), now["class 0/2"].served())
}

// Pattern: three of ten callers send a rejected request again at once, and three times as
// often. That must not gain them a higher share than that of the patient ones.
func TestCallersThatDontWait(t *testing.T) {
	_, now := compare(t, pattern{
		demand: steady(1.3),
		next: func(rng *rand.Rand, _ time.Duration) request {
			organisation := rng.IntN(10)
			r := ordinary(organisation, 0)
			r.impatient = organisation < 3
			if r.impatient {
				r.organisation = "impatient " + r.organisation
			}
			return r
		},
	})
	patient, impatient := tally{}, tally{}
	for name, c := range now {
		sum := &patient
		switch {
		case strings.HasPrefix(name, "class"):
			continue
		case strings.HasPrefix(name, "impatient"):
			sum = &impatient
		}
		sum.inTime, sum.late, sum.rejected = sum.inTime+c.inTime, sum.late+c.late, sum.rejected+c.rejected
	}
	require.Greater(t, patient.served(), impatient.served())
}

// Pattern: one organisation sends a third of the traffic. The others have their share.
func TestOneLargeOrganisation(t *testing.T) {
	_, now := compare(t, pattern{
		demand: steady(1.3),
		next: func(rng *rand.Rand, _ time.Duration) request {
			if rng.Float64() < 1.0/3 {
				return ordinary(0, rng.IntN(2))
			}
			return ordinary(1+rng.IntN(8), rng.IntN(2))
		},
	})
	for n := 1; n <= 8; n++ {
		name := fmt.Sprint("o", n)
		require.Greater(t, now[name].served(), now["o0"].served(), name)
	}
	require.Greater(t, now["class 0/0"].met(), 0.95)
	require.Greater(t, now["o0"].served(), 0.3)
}
