package permit_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hibiscuspulley/hibiscuspulley/internal/permit"
	"github.com/hibiscuspulley/hibiscuspulley/internal/seeded"
)

func TestMain(m *testing.M) { os.Exit(seeded.Main(m, 2000)) }

const (
	term = 2 * time.Second
	// takeover is how long a new lender waits; see entry's takeoverWait.
	takeover = 3 * time.Second
)

// answer is a grant on its way to an entry.
type answer struct {
	askedAt time.Time
	grant   permit.Grant
}

// entry is one entry with the requests that it has at the engine.
type entry struct {
	name    string
	holder  *permit.Holder
	tickets map[*permit.Ticket]bool
	answers []answer
}

func newEntry(n int) *entry {
	return &entry{name: fmt.Sprintf("e%d", n), holder: permit.NewHolder(), tickets: make(map[*permit.Ticket]bool)}
}

func (e *entry) acquire(now time.Time) {
	t, ok := e.holder.Acquire("g", now)
	if !ok {
		return
	}
	e.tickets[t] = true
	t.OnAbort(func() { delete(e.tickets, t) })
}

// drawPause returns a time between two steps: mostly short, at times longer
// than a term.
func drawPause(rng *rand.Rand) time.Duration {
	if rng.IntN(12) == 0 {
		return time.Duration(1000+rng.IntN(2500)) * time.Millisecond
	}
	return time.Duration(rng.IntN(300)) * time.Millisecond
}

func (e *entry) finishOne() {
	for t := range e.tickets {
		t.Release()
		delete(e.tickets, t)
		return
	}
}

// TestPromiseColdServerBearsItsLoad: the entries' requests at a cold group
// never pass its limit, whatever answers are late or lost, entries are cut off
// or die, and owners are replaced.
func TestPromiseColdServerBearsItsLoad(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// Steps are drawn evenly, which rapid's own ranges are not.
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		limit := 1 + rng.IntN(3)
		now := time.Unix(1000, 0)
		lender := permit.NewLender(now)
		entries := []*entry{newEntry(0), newEntry(1), newEntry(2)}
		for range 150 {
			now = now.Add(drawPause(rng))
			for _, e := range entries {
				e.holder.Expire(now)
			}
			e := entries[rng.IntN(len(entries))]
			switch rng.IntN(10) {
			case 0, 1, 2: // the entry asks, and the lender answers
				status := e.holder.Status("g", now)
				grant := lender.Ask(now, permit.Demand{
					Entry: e.name, Group: "g", Want: 1 + rng.IntN(4),
					InFlight: status.InFlight, Applied: status.Applied,
				}, permit.Terms{Limit: limit, Remaining: term, Cold: true})
				grant.Generation = 1
				e.answers = append(e.answers, answer{now, grant})
			case 3, 4: // an answer arrives late, or is lost
				if len(e.answers) > 0 {
					a := e.answers[0]
					e.answers = e.answers[1:]
					if rng.IntN(4) > 0 {
						e.holder.Apply(a.askedAt, a.grant)
					}
				}
			case 5, 6, 7:
				e.acquire(now)
				e.acquire(now)
			case 8:
				e.finishOne()
			default: // another owner, which knows nothing of the loans
				if rng.IntN(4) == 0 {
					lender = permit.NewLender(now.Add(takeover))
				}
			}
			sum := 0
			for _, e := range entries {
				sum += len(e.tickets)
			}
			require.LessOrEqual(rt, sum, limit)
		}
	})
}

func TestAskSharesByDemandAndLeavesNothingIdle(t *testing.T) {
	now := time.Unix(1000, 0)
	lender := permit.NewLender(now)
	ask := func(entry string, want int) int {
		return lender.Ask(now, permit.Demand{Entry: entry, Want: want}, permit.Terms{Limit: 10, Remaining: term}).Credits
	}
	require.Equal(t, 10, ask("a", 20), "alone, an entry gets all")
	require.Equal(t, 0, ask("b", 4), "what is lent stays lent")
	now = now.Add(term + time.Second)
	ask("a", 20)
	now = now.Add(term / 2)
	ask("b", 4)
	seq := uint64(0)
	var a, b int
	for range 4 {
		now = now.Add(term / 4)
		ga := lender.Ask(now, permit.Demand{Entry: "a", Want: 20, Applied: seq}, permit.Terms{Limit: 10, Remaining: term})
		gb := lender.Ask(now, permit.Demand{Entry: "b", Want: 4, Applied: seq}, permit.Terms{Limit: 10, Remaining: term})
		seq, a, b = 1000, ga.Credits, gb.Credits
	}
	require.Equal(t, 6, a)
	require.Equal(t, 4, b)
}

func TestLoadBeyondTheLoansCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	lender := permit.NewLender(now)
	g := lender.Ask(now, permit.Demand{Entry: "a", Want: 9}, permit.Terms{Limit: 5, Load: 3, Remaining: term})
	require.Equal(t, 2, g.Credits)
}

func TestRevokeEndsAPermitAndMovesRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	holder := permit.NewHolder()
	holder.Apply(now, permit.Grant{Group: "g", Generation: 3, Credits: 2, Remaining: term})
	ticket, ok := holder.Acquire("g", now)
	require.True(t, ok)
	aborted := 0
	ticket.OnAbort(func() { aborted++ })
	holder.Revoke(permit.Revocation{Group: "g", Generation: 3})
	_, ok = holder.Acquire("g", now)
	require.False(t, ok, "no new work after a revocation")
	require.Zero(t, aborted, "a drain lets requests finish")
	holder.Revoke(permit.Revocation{Group: "g", Generation: 3, Abort: true})
	require.Equal(t, 1, aborted)
	holder.Apply(now, permit.Grant{Group: "g", Generation: 2, Credits: 9, Remaining: term})
	_, ok = holder.Acquire("g", now)
	require.False(t, ok, "a lower generation is passed over")
}

func TestAStalledGroupWaitsForAFreshPermit(t *testing.T) {
	now := time.Unix(1000, 0)
	holder := permit.NewHolder()
	grant := permit.Grant{Group: "g", Generation: 1, Credits: 9, Remaining: 10 * time.Second}
	holder.Apply(now, grant)
	_, ok := holder.Acquire("g", now)
	require.True(t, ok)
	now = now.Add(3 * time.Second) // no token came
	_, ok = holder.Acquire("g", now)
	require.False(t, ok)
	holder.Apply(now, grant)
	_, ok = holder.Acquire("g", now)
	require.True(t, ok)
}

func TestAGrantInForceCountsUntilItIsReplaced(t *testing.T) {
	now := time.Unix(1000, 0)
	lender := permit.NewLender(now)
	terms := permit.Terms{Limit: 3, Remaining: term, Cold: true}
	first := lender.Ask(now, permit.Demand{Entry: "a", Want: 3}, terms)
	require.Equal(t, 3, first.Credits)
	require.Zero(t, lender.Ask(now, permit.Demand{Entry: "b", Want: 3}, terms).Credits)
	// The answer to the next demand is lost, so that the first grant stays in
	// force at a.
	second := lender.Ask(now, permit.Demand{Entry: "a", Want: 3, Applied: first.Seq}, terms)
	require.Less(t, second.Credits, 3)
	require.Zero(t, lender.Ask(now, permit.Demand{Entry: "b", Want: 3}, terms).Credits)
	// Once a has taken a lower grant over, b gets the rest.
	lender.Ask(now, permit.Demand{Entry: "a", Want: 3, Applied: second.Seq}, terms)
	require.Positive(t, lender.Ask(now, permit.Demand{Entry: "b", Want: 3}, terms).Credits)
}
