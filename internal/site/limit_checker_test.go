package site_test

import (
	"net/http"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
)

const (
	// limitSettles is how long after a server named its limit it may still get any
	// number of requests. In each limitWindow after that it may get limitOvershoot
	// times what the limit allows and limitSlack requests more.
	limitSettles   = 3 * time.Second
	limitWindow    = 4 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5
	// minLimitUse is the share of its limit that a server must get while more
	// requests wait than all servers together take.
	minLimitUse = 0.8
)

// limitedServer holds the requests to a server that names a request limit.
type limitedServer struct {
	limit float64
	// namedAt is when the server named a limit after it had none, or a lower one.
	namedAt  time.Time
	arrivals []time.Time
}

// limitNamed records that a server begins to name a limit, or another one, or none.
// Each lower limit has its own settling time.
func (c *checker) limitNamed(host *standin.Host, limit float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.limited[host.ID]
	if l == nil {
		l = &limitedServer{}
		c.limited[host.ID] = l
	}
	if limit > 0 && (l.limit == 0 || limit < l.limit) {
		l.namedAt = time.Now()
	}
	l.limit = limit
}

// limitArrival checks a request that reaches a server against its limit, whichever
// entry it comes from. The caller holds c.mu.
func (c *checker) limitArrival(id string, now time.Time) {
	l := c.limited[id]
	if l == nil || l.limit == 0 {
		return
	}
	l.arrivals = append(l.arrivals, now)
	from := l.namedAt.Add(limitSettles)
	n := 0
	for _, at := range l.arrivals {
		if at.After(from) && now.Sub(at) < limitWindow {
			n++
		}
	}
	if allowed := limitOvershoot*l.limit*limitWindow.Seconds() + limitSlack; float64(n) > allowed {
		c.addViolation("LIMIT: %d requests in %s at server %s, which named %.1f a second; allowed %.0f", n, limitWindow, id, l.limit, allowed)
	}
}

// limitUse returns the requests that the servers got in [from, to), as a share of
// what their present limits allow.
func (c *checker) limitUse(from, to time.Time, ids []string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	got, allowed := 0.0, 0.0
	for _, id := range ids {
		l := c.limited[id]
		allowed += l.limit * to.Sub(from).Seconds()
		for _, at := range l.arrivals {
			if !at.Before(from) && at.Before(to) {
				got++
			}
		}
	}
	return got / allowed
}

// refusedWithin returns the share of the refused streams sent in [from, to) whose
// refusal came within d.
func (c *callers) refusedWithin(from, to time.Time, d time.Duration) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	refused, soon := 0.0, 0.0
	for _, r := range c.results {
		if r.at.Before(from) || !r.at.Before(to) || r.status != http.StatusServiceUnavailable || serviceOf(r.path) != streamService {
			continue
		}
		refused++
		if r.took <= d {
			soon++
		}
	}
	return soon / refused
}
