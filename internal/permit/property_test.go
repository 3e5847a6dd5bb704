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
	// grantTTL is the validity of every grant.
	grantTTL = 2 * time.Second
	// takeoverWait is how long a new Lender grants no cold credits. Package
	// entry uses the same value.
	takeoverWait = 3 * time.Second
)

// response is a grant in transit to an entry.
type response struct {
	requestedAt time.Time
	grant       permit.Grant
}

// entry is one entry with its requests in flight at the group.
type entry struct {
	name         string
	holder       *permit.Holder
	reservations map[*permit.Reservation]bool
	responses    []response
}

func newEntry(n int) *entry {
	return &entry{name: fmt.Sprintf("e%d", n), holder: permit.NewHolder(), reservations: make(map[*permit.Reservation]bool)}
}

func (e *entry) acquire(now time.Time) {
	r, ok := e.holder.Acquire("g", now)
	if !ok {
		return
	}
	e.reservations[r] = true
	r.OnAbort(func() { delete(e.reservations, r) })
}

// randomPause returns the time between two steps. Most pauses are short, and a
// few are longer than grantTTL.
func randomPause(rng *rand.Rand) time.Duration {
	if rng.IntN(12) == 0 {
		return time.Duration(1000+rng.IntN(2500)) * time.Millisecond
	}
	return time.Duration(rng.IntN(300)) * time.Millisecond
}

func (e *entry) finishOne() {
	for r := range e.reservations {
		r.Release()
		delete(e.reservations, r)
		return
	}
}

// TestPromiseColdServerStaysWithinItsLimit checks that the number of requests at
// a cold group never exceeds its limit. Responses arrive late or are lost,
// entries are cut off or stop, and the owner of the group is replaced.
func TestPromiseColdServerStaysWithinItsLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// rapid draws from a range unevenly, so the steps come from a uniform
		// generator.
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		limit := 1 + rng.IntN(3)
		now := time.Unix(1000, 0)
		lender := permit.NewLender(now)
		entries := []*entry{newEntry(0), newEntry(1), newEntry(2)}
		for range 150 {
			now = now.Add(randomPause(rng))
			for _, e := range entries {
				e.holder.AbortExpired(now)
			}
			e := entries[rng.IntN(len(entries))]
			switch rng.IntN(10) {
			case 0, 1, 2: // the entry requests credits and the lender responds
				status := e.holder.Status("g", now)
				grant := lender.Grant(now, permit.CreditRequest{
					Entry: e.name, Group: "g", Want: 1 + rng.IntN(4),
					InFlight: status.InFlight, AppliedSeq: status.AppliedSeq,
				}, permit.GrantTerms{Limit: limit, TTL: grantTTL, Cold: true})
				grant.Generation = 1
				e.responses = append(e.responses, response{now, grant})
			case 3, 4: // a response arrives late or is lost
				if len(e.responses) > 0 {
					r := e.responses[0]
					e.responses = e.responses[1:]
					if rng.IntN(4) > 0 {
						e.holder.Apply(r.requestedAt, r.grant)
					}
				}
			case 5, 6, 7:
				e.acquire(now)
				e.acquire(now)
			case 8:
				e.finishOne()
			default: // a new owner, which has no record of the outstanding grants
				if rng.IntN(4) == 0 {
					lender = permit.NewLender(now.Add(takeoverWait))
				}
			}
			sum := 0
			for _, e := range entries {
				sum += len(e.reservations)
			}
			require.LessOrEqual(rt, sum, limit)
		}
	})
}

func TestCreditsAreSharedFairlyAndFully(t *testing.T) {
	now := time.Unix(1000, 0)
	lender := permit.NewLender(now)
	request := func(entry string, want int) int {
		return lender.Grant(now, permit.CreditRequest{Entry: entry, Want: want}, permit.GrantTerms{Limit: 10, TTL: grantTTL}).Credits
	}
	require.Equal(t, 10, request("a", 20), "a single entry gets all credits")
	require.Equal(t, 0, request("b", 4), "granted credits stay with their entry until the grant expires")
	now = now.Add(grantTTL + time.Second)
	request("a", 20)
	now = now.Add(grantTTL / 2)
	request("b", 4)
	seq := uint64(0)
	var a, b int
	for range 4 {
		now = now.Add(grantTTL / 4)
		ga := lender.Grant(now, permit.CreditRequest{Entry: "a", Want: 20, AppliedSeq: seq}, permit.GrantTerms{Limit: 10, TTL: grantTTL})
		gb := lender.Grant(now, permit.CreditRequest{Entry: "b", Want: 4, AppliedSeq: seq}, permit.GrantTerms{Limit: 10, TTL: grantTTL})
		seq, a, b = 1000, ga.Credits, gb.Credits
	}
	require.Equal(t, 6, a)
	require.Equal(t, 4, b)
}

func TestLoadBeyondGrantedCreditsCountsAgainstTheLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	lender := permit.NewLender(now)
	g := lender.Grant(now, permit.CreditRequest{Entry: "a", Want: 9}, permit.GrantTerms{Limit: 5, Load: 3, TTL: grantTTL})
	require.Equal(t, 2, g.Credits)
}

func TestRevokeEndsAPermitAndAbortsRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	holder := permit.NewHolder()
	holder.Apply(now, permit.Grant{Group: "g", Generation: 3, Credits: 2, TTL: grantTTL})
	reservation, ok := holder.Acquire("g", now)
	require.True(t, ok)
	aborted := 0
	reservation.OnAbort(func() { aborted++ })
	holder.Revoke(permit.Revocation{Group: "g", Generation: 3})
	_, ok = holder.Acquire("g", now)
	require.False(t, ok, "a revoked permit must not admit new requests")
	require.Zero(t, aborted, "a revocation without Abort must let requests finish")
	holder.Revoke(permit.Revocation{Group: "g", Generation: 3, Abort: true})
	require.Equal(t, 1, aborted)
	holder.Apply(now, permit.Grant{Group: "g", Generation: 2, Credits: 9, TTL: grantTTL})
	_, ok = holder.Acquire("g", now)
	require.False(t, ok, "a grant of a lower generation must be ignored")
}

func TestAStalledGroupWaitsForAFreshPermit(t *testing.T) {
	now := time.Unix(1000, 0)
	holder := permit.NewHolder()
	grant := permit.Grant{Group: "g", Generation: 1, Credits: 9, TTL: 10 * time.Second}
	holder.Apply(now, grant)
	_, ok := holder.Acquire("g", now)
	require.True(t, ok)
	now = now.Add(3 * time.Second) // no token arrived
	_, ok = holder.Acquire("g", now)
	require.False(t, ok)
	holder.Apply(now, grant)
	_, ok = holder.Acquire("g", now)
	require.True(t, ok)
}

func TestAGrantCountsUntilTheEntryAppliesALaterOne(t *testing.T) {
	now := time.Unix(1000, 0)
	lender := permit.NewLender(now)
	terms := permit.GrantTerms{Limit: 3, TTL: grantTTL, Cold: true}
	first := lender.Grant(now, permit.CreditRequest{Entry: "a", Want: 3}, terms)
	require.Equal(t, 3, first.Credits)
	require.Zero(t, lender.Grant(now, permit.CreditRequest{Entry: "b", Want: 3}, terms).Credits)
	// The response to a's second request is lost, so a still uses the first
	// grant.
	second := lender.Grant(now, permit.CreditRequest{Entry: "a", Want: 3, AppliedSeq: first.Seq}, terms)
	require.Less(t, second.Credits, 3)
	require.Zero(t, lender.Grant(now, permit.CreditRequest{Entry: "b", Want: 3}, terms).Credits)
	// After a has applied the lower grant, b gets the rest.
	lender.Grant(now, permit.CreditRequest{Entry: "a", Want: 3, AppliedSeq: second.Seq}, terms)
	require.Positive(t, lender.Grant(now, permit.CreditRequest{Entry: "b", Want: 3}, terms).Credits)
}
