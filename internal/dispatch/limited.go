package dispatch

import (
	"math"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/quota"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

// LimitedServer is a server in use that names a request limit.
type LimitedServer struct {
	*registry.Server
	Pool quota.Pool
	// Rate is the limit in requests per second.
	Rate float64
}

// LimitedServers returns the servers that take requests now and have a limit in the
// book.
func (b *Balancer) LimitedServers(book *quota.Book) []LimitedServer {
	if book.Limited() == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.table == nil {
		return nil
	}
	var list []LimitedServer
	for _, s := range b.view.Servers {
		rate := book.Rate(s.Incarnation())
		service := b.table.Service(s.Service)
		if rate == 0 || service == nil || s.Leaving || b.excluded[s.Zone] {
			continue
		}
		pool := quota.Pool{Service: s.Service}
		if service.Engine != nil {
			if s.Member == nil || !s.LeadsOpenGroup(s.Member.Model) {
				continue
			}
			pool.Model = s.Member.Model
		}
		list = append(list, LimitedServer{Server: s, Pool: pool, Rate: rate})
	}
	return list
}

// PrefersLimited reports whether a server of the zones would take the request before
// all that this entry may send to, if it had a grant for it.
func (b *Balancer) PrefersLimited(now time.Time, r Requirements, owned func(zone string) bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.table == nil {
		return false
	}
	service := b.table.Service(r.Service)
	if service == nil {
		return false
	}
	r.remoteShare = maxRemoteShare
	best, limited := math.Inf(1), math.Inf(1)
	for s := range b.candidates(now) {
		if s.Service != r.Service {
			continue
		}
		score, fits := b.score(now, s, service, r)
		switch {
		case !fits:
		case b.grants.Allows(now, s.Incarnation()):
			best = min(best, score)
		case owned(s.Zone):
			limited = min(limited, score)
		}
	}
	return limited < best
}

// AllLimited reports whether there are servers for the request and all of them have a
// limit. Those that are full or were tried count too.
func (b *Balancer) AllLimited(r Requirements) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.table == nil {
		return false
	}
	service := b.table.Service(r.Service)
	if service == nil {
		return false
	}
	found := false
	for _, s := range b.view.Servers {
		switch {
		case s.Service != r.Service || s.Leaving || b.excluded[s.Zone]:
		case service.Engine != nil && !s.LeadsOpenGroup(r.Model):
		case !b.grants.Limited(s.Incarnation()):
			return false
		default:
			found = true
		}
	}
	return found
}
