package quota

import (
	"math"
	"sync"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

const (
	// grantTTL is how long a granted request may be sent. An entry asks several
	// times in this time.
	grantTTL = 500 * time.Millisecond
	// burstPeriod is for how long the requests that nobody asked for may be made up
	// for later, beside one request. With grantTTL, a server gets at most 5.2 times
	// its rate and one request in 4 s.
	burstPeriod = 500 * time.Millisecond
	// claimTTL is how long requests that wait at an entry keep their turn until it
	// asks again. Entries ask every 100 ms.
	claimTTL = 300 * time.Millisecond
	// turnPeriod is the time constant of the grants that an entry had, which decide
	// whose turn it is.
	turnPeriod = 2 * time.Second
)

// Pool identifies the requests that the same servers can take.
type Pool struct {
	Service string
	// Model is empty for services without models.
	Model string
}

// Demand is the number of requests of a pool that an entry could send to servers with
// limits, beyond the grants that it holds.
type Demand struct {
	Pool
	// Waiting requests are in a queue. Expected ones are likely to arrive before the
	// entry asks again.
	Waiting, Expected int
}

// Grant allows an entry to send a number of requests to a server.
type Grant struct {
	Server   registry.Incarnation
	Requests int
	// ValidFor is how long the requests may still be sent.
	ValidFor time.Duration
}

// Server is a server whose limit an Allocator shares out.
type Server struct {
	registry.Incarnation
	// Rate is the rate to share out, in requests per second.
	Rate float64
}

// Asker is an entry that asks for grants.
type Asker struct {
	Name string
	// Remote askers get what the zone's own entries leave.
	Remote bool
}

// Allocator grants the requests that servers allow to the entries that ask for them. It
// is safe for concurrent use.
type Allocator struct {
	mu      sync.Mutex
	buckets map[registry.Incarnation]*bucket
	askers  map[Pool]map[string]*claim
}

// bucket holds the requests that a server allows now.
type bucket struct {
	requests float64
	filledAt time.Time
}

// claim is what an entry of the zone last asked for and did not get.
type claim struct {
	waiting int
	askedAt time.Time
	// granted is the number of requests that the entry was granted lately, as of
	// countedAt.
	granted   float64
	countedAt time.Time
}

// NewAllocator returns an Allocator that has granted nothing.
func NewAllocator() *Allocator {
	return &Allocator{buckets: make(map[registry.Incarnation]*bucket), askers: make(map[Pool]map[string]*claim)}
}

// Grant grants requests to an entry, at the servers of the demand's pool. Waiting
// requests go before expected ones, those of the zone's entries before those of other
// zones, and those of entries that had fewer grants lately before the others.
func (a *Allocator) Grant(now time.Time, asker Asker, d Demand, servers []Server) []Grant {
	a.mu.Lock()
	defer a.mu.Unlock()
	free := 0
	for _, s := range servers {
		free += int(a.fill(now, s).requests)
	}
	if asker.Remote {
		n := 0
		if a.waiting(now, d.Pool, asker.Name) == 0 {
			n = min(d.Waiting, free)
		}
		return a.take(servers, n)
	}
	c := a.claimOf(now, d.Pool, asker.Name)
	n := min(d.Waiting, max(free-a.claimsBefore(now, d.Pool, asker.Name), 0))
	c.waiting, c.askedAt = d.Waiting-n, now
	if c.waiting == 0 && a.waiting(now, d.Pool, asker.Name) == 0 {
		n += min(d.Expected, free-n)
	}
	c.granted += float64(n)
	return a.take(servers, n)
}

// fill adds the requests that the server has allowed since the last call. The first
// call finds none: the server may just have got more than its limit.
func (a *Allocator) fill(now time.Time, s Server) *bucket {
	b := a.buckets[s.Incarnation]
	if b == nil {
		b = &bucket{filledAt: now}
		a.buckets[s.Incarnation] = b
	}
	if now.After(b.filledAt) {
		b.requests += s.Rate * now.Sub(b.filledAt).Seconds()
		b.filledAt = now
	}
	b.requests = min(b.requests, 1+s.Rate*burstPeriod.Seconds())
	return b
}

// take takes n requests, each from the server that allows most.
func (a *Allocator) take(servers []Server, n int) []Grant {
	taken := make(map[registry.Incarnation]int)
	for range n {
		var most *bucket
		var from registry.Incarnation
		for _, s := range servers {
			if b := a.buckets[s.Incarnation]; b.requests >= 1 && (most == nil || b.requests > most.requests) {
				most, from = b, s.Incarnation
			}
		}
		if most == nil {
			break
		}
		most.requests--
		taken[from]++
	}
	grants := make([]Grant, 0, len(taken))
	for server, requests := range taken {
		grants = append(grants, Grant{Server: server, Requests: requests, ValidFor: grantTTL})
	}
	return grants
}

// claimOf returns the claim of an entry and adds it if there is none. The caller holds
// a.mu.
func (a *Allocator) claimOf(now time.Time, p Pool, name string) *claim {
	if a.askers[p] == nil {
		a.askers[p] = make(map[string]*claim)
	}
	c := a.askers[p][name]
	if c == nil {
		c = &claim{askedAt: now, countedAt: now}
		a.askers[p][name] = c
	}
	c.granted *= math.Exp(-now.Sub(c.countedAt).Seconds() / turnPeriod.Seconds())
	c.countedAt = now
	return c
}

// claimsBefore returns the number of requests that wait at entries whose turn is
// before that of the named one. The caller holds a.mu.
func (a *Allocator) claimsBefore(now time.Time, p Pool, name string) int {
	n := 0
	for other, c := range a.askers[p] {
		if other != name && now.Sub(c.askedAt) < claimTTL && c.granted < a.askers[p][name].granted {
			n += c.waiting
		}
	}
	return n
}

// waiting returns the number of requests that wait at the zone's other entries. The
// caller holds a.mu.
func (a *Allocator) waiting(now time.Time, p Pool, except string) int {
	n := 0
	for name, c := range a.askers[p] {
		if name != except && now.Sub(c.askedAt) < claimTTL {
			n += c.waiting
		}
	}
	return n
}

// Waiting returns the number of requests of the pool that wait at the zone's entries,
// as far as they asked lately.
func (a *Allocator) Waiting(now time.Time, p Pool) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.waiting(now, p, "")
}

// HandedOver records that an entry got n requests from other grants.
func (a *Allocator) HandedOver(now time.Time, p Pool, name string, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.claimOf(now, p, name)
	c.waiting = max(c.waiting-n, 0)
	c.granted += float64(n)
}

// Retain forgets the servers that have no limit any more, and the entries that have
// not asked for a while.
func (a *Allocator) Retain(now time.Time, limited func(registry.Incarnation) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for server := range a.buckets {
		if !limited(server) {
			delete(a.buckets, server)
		}
	}
	for p, claims := range a.askers {
		for name, c := range claims {
			if now.Sub(c.askedAt) > 4*turnPeriod {
				delete(claims, name)
			}
		}
		if len(claims) == 0 {
			delete(a.askers, p)
		}
	}
}
