package dispatch

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routing"
)

const (
	// AssumedEntries is how many entries share the servers' bounds until they
	// are known: more than the 6 to 8 of a small site.
	DefaultEntryCount = 12
	// coldSenders is how many entries send to a cold server for each request a
	// second that it bears. Each of them may send one at any time, so that in
	// one second at most 1.3 times the rate arrives; the bound is 1.5 times.
	coldSenders = 0.3
)

// Entry is one of the entries that send to the same servers.
type Entry struct {
	Name string
	Zone string
}

// SetEntries says which entries send to the same servers, self among them.
// None means that they are not known yet.
func (b *Balancer) SetEntries(self string, entries []Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.self, b.entries = self, slices.Clone(entries)
}

// coldShare returns the part of a cold server's rate that this entry may use;
// 0 means that others send to it.
func (b *Balancer) coldShare(s *registry.Server, perSecond float64) float64 {
	if len(b.entries) == 0 {
		return perSecond / DefaultEntryCount
	}
	senders := max(int(perSecond*coldSenders), 1)
	if len(b.entries) <= senders {
		return perSecond / float64(len(b.entries))
	}
	if slices.Index(b.sendersTo(s), b.self) >= senders {
		return 0
	}
	return perSecond / float64(senders)
}

// sendersTo orders the entries by how much they should send to a server: those
// of its zone first.
func (b *Balancer) sendersTo(s *registry.Server) []string {
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

// coldAllows reports whether a server that is cold may get a request now.
func (b *Balancer) coldAllows(now time.Time, s *registry.Server, l *load, perSecond float64) bool {
	if perSecond <= 0 || !s.Cold(now) {
		return true
	}
	share := rate.Limit(b.coldShare(s, perSecond))
	if share <= 0 {
		return false
	}
	if l.cold == nil {
		l.cold = rate.NewLimiter(share, 1)
	}
	if l.cold.Limit() != share {
		l.cold.SetLimitAt(now, share)
	}
	return l.cold.TokensAt(now) >= 1
}

// tookCold takes a request out of a cold server's rate.
func (l *load) tookCold(now time.Time) {
	if l.cold != nil {
		l.cold.AllowN(now, 1)
	}
}
