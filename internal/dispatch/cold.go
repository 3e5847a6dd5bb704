package dispatch

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routing"
)

const (
	// DefaultEntryCount is the assumed number of entries that share the servers'
	// limits, until the real number is known. It is above the 6 to 8 of a small
	// site.
	DefaultEntryCount = 12
	// coldSendersPerRate is the number of entries that send to a cold server,
	// for each request per second of its limit. Each of them has a burst of one
	// request, so at most 1.3 times the limit arrives in one second; 1.5 times
	// is allowed.
	coldSendersPerRate = 0.3
)

// Entry identifies an entry that sends to the same servers.
type Entry struct {
	Name string
	Zone string
}

// SetEntries replaces the list of entries that send to the same servers,
// including self. An empty list means that they are not known yet.
func (b *Balancer) SetEntries(self string, entries []Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.self, b.entries = self, slices.Clone(entries)
}

// coldShare returns the requests per second that this entry may send to a cold
// server; 0 means that only other entries send to it.
func (b *Balancer) coldShare(s *registry.Server, perSecond float64) float64 {
	if len(b.entries) == 0 {
		return perSecond / DefaultEntryCount
	}
	senders := max(int(perSecond*coldSendersPerRate), 1)
	if len(b.entries) <= senders {
		return perSecond / float64(len(b.entries))
	}
	if slices.Index(b.rankSenders(s), b.self) >= senders {
		return 0
	}
	return perSecond / float64(senders)
}

// rankSenders orders the entries by their preference as senders to a server:
// entries of its zone first, each zone in rendezvous order.
func (b *Balancer) rankSenders(s *registry.Server) []string {
	var local, remote []string
	for _, e := range b.entries {
		if e.Zone == s.Zone {
			local = append(local, e.Name)
		} else {
			remote = append(remote, e.Name)
		}
	}
	return append(routing.Rendezvous(s.ID, local), routing.Rendezvous(s.ID, remote)...)
}

// coldRateAllows reports whether this entry's share of the server's cold rate
// limit allows a request now. It takes no token. Warm servers have no limit. If
// perSecond is 0, cold servers have none either.
func (b *Balancer) coldRateAllows(now time.Time, s *registry.Server, l *load, perSecond float64) bool {
	if perSecond <= 0 || !s.Cold(now) {
		return true
	}
	share := rate.Limit(b.coldShare(s, perSecond))
	if share <= 0 {
		return false
	}
	if l.coldLimiter == nil {
		l.coldLimiter = rate.NewLimiter(share, 1)
	}
	if l.coldLimiter.Limit() != share {
		l.coldLimiter.SetLimitAt(now, share)
	}
	return l.coldLimiter.TokensAt(now) >= 1
}

// takeColdToken consumes one token of the server's cold rate limit, if it has
// one.
func (l *load) takeColdToken(now time.Time) {
	if l.coldLimiter != nil {
		l.coldLimiter.AllowN(now, 1)
	}
}
