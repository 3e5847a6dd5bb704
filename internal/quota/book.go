package quota

import (
	"sync"
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
	// At is when the response arrived that said so.
	At time.Time
}

// Book holds the limits of the servers, as this entry's responses and the other
// entries named them. It is safe for concurrent use.
type Book struct {
	mu     sync.Mutex
	limits map[registry.Incarnation]*record
}

type record struct {
	Limit
	// reportUntil is until when the record is reported to the other entries.
	reportUntil time.Time
}

// NewBook returns an empty Book.
func NewBook() *Book {
	return &Book{limits: make(map[registry.Incarnation]*record)}
}

// Observe records the rate that a response names, or 0 if it names none. It returns
// the previous rate and whether the rate has changed.
func (b *Book) Observe(now time.Time, server registry.Incarnation, rate float64) (previous float64, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.limits[server]
	if r == nil {
		if rate == 0 {
			return 0, false
		}
		r = &record{Limit: Limit{Server: server}}
		b.limits[server] = r
	}
	previous, r.At = r.Rate, now
	if previous == rate {
		return previous, false
	}
	r.Rate, r.reportUntil = rate, now.Add(reportPeriod)
	return previous, true
}

// Rate returns the server's limit in requests per second, or 0 if it has none.
func (b *Book) Rate(server registry.Incarnation) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.limits[server]; r != nil {
		return r.Rate
	}
	return 0
}

// Limited returns the number of servers that have a limit.
func (b *Book) Limited() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, r := range b.limits {
		if r.Rate > 0 {
			n++
		}
	}
	return n
}

// Retain forgets the servers that are not listed for some time.
func (b *Book) Retain(now time.Time, listed func(registry.Incarnation) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for server, r := range b.limits {
		if now.Sub(r.At) > unlistedTTL && !listed(server) {
			delete(b.limits, server)
		}
	}
}
