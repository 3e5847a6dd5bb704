package quota

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

const (
	// reportPeriod is how long a change is reported to the other entries. They
	// exchange several times in this time.
	reportPeriod = 2 * time.Second
	// unlistedTTL is how long the limit of a server is kept that the registry does
	// not list. Its record may arrive later than its limit.
	unlistedTTL = 10 * time.Second
)

// Limit is what one incarnation of a server last said about its limit.
type Limit struct {
	Server registry.Incarnation
	// Rate is the number of requests per second that the server takes from all
	// entries together; 0 means that it names no limit any more.
	Rate float64
	// Age is how long ago the response arrived that said so.
	Age time.Duration
}

// Book holds the limits of the servers, as this entry's responses and the other
// entries named them. It is safe for concurrent use.
type Book struct {
	mu     sync.Mutex
	limits map[registry.Incarnation]*record
	// limited is the number of servers that have a limit. It changes with mu held.
	limited atomic.Int64
}

type record struct {
	rate float64
	// observedAt is when the response arrived that named the rate.
	observedAt time.Time
	// reportUntil is until when the record is reported to the other entries.
	reportUntil time.Time
}

// Change is a limit that has changed.
type Change struct {
	Server         registry.Incarnation
	Rate, Previous float64
}

// NewBook returns an empty Book.
func NewBook() *Book {
	return &Book{limits: make(map[registry.Incarnation]*record)}
}

// Observe records the rate that a response names, or 0 if it names none. It reports
// whether the rate has changed.
func (b *Book) Observe(now time.Time, server registry.Incarnation, rate float64) (Change, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limits[server] == nil && rate == 0 {
		return Change{}, false
	}
	return b.observe(now, now, server, rate)
}

// Merge takes over what another entry reports and returns the changes. Of two
// observations of a server the later one holds. If the report is older than what is
// known here and differs, the book reports its own once more, so that the other entry
// learns it.
func (b *Book) Merge(now time.Time, limits []Limit) []Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	var changes []Change
	for _, l := range limits {
		if change, changed := b.observe(now, now.Add(-l.Age), l.Server, l.Rate); changed {
			changes = append(changes, change)
		}
	}
	return changes
}

// observe records a rate that was observed at a time. The caller holds b.mu.
func (b *Book) observe(now, at time.Time, server registry.Incarnation, rate float64) (Change, bool) {
	r := b.limits[server]
	if r == nil {
		r = &record{}
		b.limits[server] = r
	}
	if at.Before(r.observedAt) {
		if rate != r.rate {
			r.reportUntil = now.Add(reportPeriod)
		}
		return Change{}, false
	}
	r.observedAt = at
	if rate == r.rate {
		return Change{}, false
	}
	change := Change{Server: server, Rate: rate, Previous: r.rate}
	if r.rate == 0 {
		b.limited.Add(1)
	}
	if rate == 0 {
		b.limited.Add(-1)
	}
	r.rate, r.reportUntil = rate, now.Add(reportPeriod)
	return change, true
}

// Report returns what to tell the other entries: the recent changes, or with all set
// every limit too.
func (b *Book) Report(now time.Time, all bool) []Limit {
	b.mu.Lock()
	defer b.mu.Unlock()
	var limits []Limit
	for server, r := range b.limits {
		if now.Before(r.reportUntil) || (all && r.rate > 0) {
			limits = append(limits, Limit{Server: server, Rate: r.rate, Age: now.Sub(r.observedAt)})
		}
	}
	return limits
}

// Rate returns the server's limit in requests per second, or 0 if it has none.
func (b *Book) Rate(server registry.Incarnation) float64 {
	if b.limited.Load() == 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.limits[server]; r != nil {
		return r.rate
	}
	return 0
}

// Limited returns the number of servers that have a limit.
func (b *Book) Limited() int { return int(b.limited.Load()) }

// Retain forgets the servers that are not listed for some time.
func (b *Book) Retain(now time.Time, listed func(registry.Incarnation) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for server, r := range b.limits {
		if now.Sub(r.observedAt) > unlistedTTL && !listed(server) {
			if r.rate > 0 {
				b.limited.Add(-1)
			}
			delete(b.limits, server)
		}
	}
}
