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
	// waitResolution is by how much a wait must grow to count as changed. Times are
	// passed on in milliseconds, and take some to arrive.
	waitResolution = 50 * time.Millisecond
)

// Statement is what one incarnation of a server has said of itself.
type Statement struct {
	Server registry.Incarnation
	// Rate is the number of requests per second that the server takes from all
	// entries together; 0 means that it names no limit any more.
	Rate float64
	// Age is how long ago the response arrived that named the rate.
	Age time.Duration
	// Leaving is set if a response has said that the server leaves. It holds for
	// the rest of the incarnation.
	Leaving bool
	// Wait is for how much longer the server wants no requests.
	Wait time.Duration
}

// Book holds what the servers have said of themselves, as this entry's responses and
// the other entries tell. It is safe for concurrent use.
type Book struct {
	mu      sync.Mutex
	records map[registry.Incarnation]*record
	// limited is the number of servers that have a limit. It changes with mu held.
	limited atomic.Int64
	// lastWait is the latest end of a wait. It changes with mu held. It keeps the
	// monotonic clock's reading, since the time of day may jump.
	lastWait atomic.Pointer[time.Time]
}

type record struct {
	rate float64
	// observedAt is when the response arrived that named the rate.
	observedAt time.Time
	// reportUntil is until when the record is reported to the other entries.
	reportUntil time.Time
	// leavingSince is when it was first known that the server leaves.
	leavingSince time.Time
	// waitUntil is until when the server wants no requests.
	waitUntil time.Time
}

// Change is a statement that has changed.
type Change struct {
	Server         registry.Incarnation
	Rate, Previous float64
	// Leaving is set if the server was not known to leave before.
	Leaving bool
	// Wait is for how long the server wants no requests, if that has grown.
	Wait time.Duration
}

// NewBook returns an empty Book.
func NewBook() *Book {
	return &Book{records: make(map[registry.Incarnation]*record)}
}

// Observe records the rate that a response names, or 0 if it names none. It reports
// whether the rate has changed.
func (b *Book) Observe(now time.Time, server registry.Incarnation, rate float64) (Change, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.records[server] == nil && rate == 0 {
		return Change{}, false
	}
	return b.observe(now, now, server, rate)
}

// ObserveLeaving records that a response has said that the server leaves. It reports
// whether that is new.
func (b *Book) ObserveLeaving(now time.Time, server registry.Incarnation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.observeLeaving(now, server)
}

func (b *Book) observeLeaving(now time.Time, server registry.Incarnation) bool {
	r := b.record(server)
	if !r.leavingSince.IsZero() {
		return false
	}
	r.leavingSince, r.reportUntil = now, now.Add(reportPeriod)
	return true
}

// ObserveWait records that a response has asked for no requests for some time. It
// reports whether that is longer than before. A wait never gets shorter: each such
// response counts by itself.
func (b *Book) ObserveWait(now time.Time, server registry.Incarnation, wait time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.observeWait(now, server, wait)
}

func (b *Book) observeWait(now time.Time, server registry.Incarnation, wait time.Duration) bool {
	until := now.Add(wait)
	r := b.record(server)
	if until.Sub(r.waitUntil) < waitResolution {
		return false
	}
	r.waitUntil, r.reportUntil = until, now.Add(reportPeriod)
	if last := b.lastWait.Load(); last == nil || until.After(*last) {
		b.lastWait.Store(&until)
	}
	return true
}

// WaitUntil returns until when the server wants or last wanted no requests. It is zero
// if no server waits or waited lately.
func (b *Book) WaitUntil(now time.Time, server registry.Incarnation) time.Time {
	if last := b.lastWait.Load(); last == nil || now.Sub(*last) > unlistedTTL {
		return time.Time{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.records[server]; r != nil {
		return r.waitUntil
	}
	return time.Time{}
}

// record returns the server's record and adds one if there is none. The caller holds
// b.mu.
func (b *Book) record(server registry.Incarnation) *record {
	r := b.records[server]
	if r == nil {
		r = &record{}
		b.records[server] = r
	}
	return r
}

// Merge takes over what another entry reports and returns the changes. Of two
// observations of a server the later one holds. If the report is older than what is
// known here and differs, the book reports its own once more, so that the other entry
// learns it.
func (b *Book) Merge(now time.Time, statements []Statement) []Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	var changes []Change
	for _, s := range statements {
		change, changed := b.observe(now, now.Add(-s.Age), s.Server, s.Rate)
		if s.Leaving && b.observeLeaving(now, s.Server) {
			change.Server, change.Leaving, changed = s.Server, true, true
		}
		if s.Wait > 0 && b.observeWait(now, s.Server, s.Wait) {
			change.Server, change.Wait, changed = s.Server, s.Wait, true
		}
		if changed {
			changes = append(changes, change)
		}
	}
	return changes
}

// observe records a rate that was observed at a time. The caller holds b.mu.
func (b *Book) observe(now, at time.Time, server registry.Incarnation, rate float64) (Change, bool) {
	r := b.record(server)
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
// everything that holds.
func (b *Book) Report(now time.Time, all bool) []Statement {
	b.mu.Lock()
	defer b.mu.Unlock()
	var statements []Statement
	for server, r := range b.records {
		leaving, wait := !r.leavingSince.IsZero(), max(r.waitUntil.Sub(now), 0)
		if now.Before(r.reportUntil) || (all && (r.rate > 0 || leaving || wait > 0)) {
			statements = append(statements, Statement{
				Server: server, Rate: r.rate, Age: now.Sub(r.observedAt), Leaving: leaving, Wait: wait,
			})
		}
	}
	return statements
}

// Rate returns the server's limit in requests per second, or 0 if it has none.
func (b *Book) Rate(server registry.Incarnation) float64 {
	if b.limited.Load() == 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.records[server]; r != nil {
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
	for server, r := range b.records {
		if now.Sub(r.observedAt) > unlistedTTL && now.Sub(r.leavingSince) > unlistedTTL && now.After(r.waitUntil) && !listed(server) {
			if r.rate > 0 {
				b.limited.Add(-1)
			}
			delete(b.records, server)
		}
	}
}
