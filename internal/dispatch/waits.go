package dispatch

import (
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

// waits reports whether the server must get no request of this entry now because it
// has asked for time. After that time it gets one request at a time until one has made
// progress, so that all entries together don't fill it at once.
func (b *Balancer) waits(now time.Time, s *registry.Server, l *load) bool {
	until := b.grants.WaitUntil(now, s.Incarnation())
	return now.Before(until) || (l.inFlight > 0 && l.provenAt.Before(until))
}

// ClosedFor returns after what time the first of the servers for the request takes
// requests again, if all of them have asked for time, and otherwise 0. Servers that
// were tried count too.
func (b *Balancer) ClosedFor(now time.Time, r Requirements) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.table == nil {
		return 0
	}
	service := b.table.Service(r.Service)
	if service == nil {
		return 0
	}
	shortest := time.Duration(0)
	for s := range b.candidates(now) {
		if s.Service != r.Service || s.Leaving || b.excluded[s.Zone] || (service.Engine != nil && !s.LeadsOpenGroup(r.Model)) {
			continue
		}
		wait := b.grants.WaitUntil(now, s.Incarnation()).Sub(now)
		if wait <= 0 {
			return 0
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}
