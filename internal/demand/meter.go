package demand

import (
	"cmp"
	"hash/maphash"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

const (
	// ShortSpan is the time over which a Meter measures short rates.
	ShortSpan = 2 * time.Second
	// LongSpan is the time over which a Meter measures long rates.
	LongSpan = 10 * time.Second
	// bucketSpan is the resolution of a Meter.
	bucketSpan  = 100 * time.Millisecond
	bucketCount = int64(LongSpan/bucketSpan) + 1
	// maxContents limits the requests that a Meter remembers to recognise their
	// repetitions. Further ones count as new.
	maxContents = 8192
	// pruneInterval is the minimum time between two removals of remembered requests
	// whose callers have given up.
	pruneInterval = time.Second
)

// Request is a model request that has arrived.
type Request struct {
	Model        string
	PromptTokens int
	// ResponseTokens is the expected length of the response.
	ResponseTokens int
	// Content identifies the request across the retries of its caller. Empty if it
	// is not known.
	Content string
	// Timeout is how long the caller waits for the whole response.
	Timeout time.Duration
}

// Rate is the work that the requests of a model bring.
type Rate struct {
	Model string
	// Short and Long are the group-seconds per second over the last ShortSpan and
	// LongSpan.
	Short, Long float64
	// Age is how long ago the oldest part of the rate was measured.
	Age time.Duration
}

// Meter measures the rates of the requests that arrive at an entry. It is safe for
// concurrent use.
type Meter struct {
	mu sync.Mutex
	// start is when the first request arrived.
	start  time.Time
	models map[string]*window
	// contents holds until when the repetitions of a request are not counted, by a hash
	// of its content's ID, which may be as long as a request's head.
	contents map[uint64]time.Time
	seed     maphash.Seed
	prunedAt time.Time
}

// window holds the work that arrived in each bucketSpan of the last LongSpan.
type window struct {
	work [bucketCount]float64
	// last is the number of the newest bucket, counted from the meter's start.
	last int64
}

// NewMeter returns a Meter without requests.
func NewMeter() *Meter {
	return &Meter{models: make(map[string]*window), contents: make(map[uint64]time.Time), seed: maphash.MakeSeed()}
}

// Record counts a request that arrives at now, whether or not it is served. The retry
// of a caller is not counted within the timeout of its first request. Requests of
// models that the engine does not have are ignored.
func (m *Meter) Record(now time.Time, e *routes.Engine, r Request) {
	// A request can't keep a group busy for longer than its caller waits, whatever
	// lengths the caller states.
	work := min(e.Work(r.Model, r.PromptTokens, r.ResponseTokens), r.Timeout.Seconds())
	if work <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.start.IsZero() {
		m.start = now
	}
	if m.repeated(now, r) {
		return
	}
	w := m.models[r.Model]
	if w == nil {
		w = &window{}
		m.models[r.Model] = w
	}
	bucket := m.bucket(now)
	w.advance(bucket)
	w.work[bucket%bucketCount] += work
}

// repeated reports whether the request was counted less than its timeout ago, and
// remembers it otherwise.
func (m *Meter) repeated(now time.Time, r Request) bool {
	if r.Content == "" {
		return false
	}
	content := maphash.String(m.seed, r.Content)
	if until, found := m.contents[content]; found && now.Before(until) {
		return true
	}
	if len(m.contents) >= maxContents && now.Sub(m.prunedAt) >= pruneInterval {
		m.prunedAt = now
		maps.DeleteFunc(m.contents, func(_ uint64, until time.Time) bool { return !now.Before(until) })
	}
	if len(m.contents) < maxContents {
		m.contents[content] = now.Add(r.Timeout)
	}
	return false
}

func (m *Meter) bucket(now time.Time) int64 { return max(int64(now.Sub(m.start)/bucketSpan), 0) }

// advance clears the buckets that have become older than LongSpan.
func (w *window) advance(bucket int64) {
	for b := max(w.last+1, bucket-bucketCount+1); b <= bucket; b++ {
		w.work[b%bucketCount] = 0
	}
	w.last = max(w.last, bucket)
}

// sum returns the work of the bucket and of the n buckets before it.
func (w *window) sum(bucket, n int64) float64 {
	total := 0.0
	for b := max(bucket-n, 0); b <= bucket; b++ {
		total += w.work[b%bucketCount]
	}
	return total
}

// Rates returns the rates of the models with requests in the last LongSpan, by name.
// Until requests have arrived for as long as a span, a rate is that of the time since
// the first one, which counts as ShortSpan at least.
func (m *Meter) Rates(now time.Time) []Rate {
	m.mu.Lock()
	defer m.mu.Unlock()
	bucket := m.bucket(now)
	elapsed := now.Sub(m.start)
	partial := elapsed - time.Duration(bucket)*bucketSpan
	rate := func(w *window, span time.Duration) float64 {
		measured := max(min(span+partial, elapsed), ShortSpan)
		return w.sum(bucket, int64(span/bucketSpan)) / measured.Seconds()
	}
	var rates []Rate
	for model, w := range m.models {
		w.advance(bucket)
		r := Rate{Model: model, Short: rate(w, ShortSpan), Long: rate(w, LongSpan)}
		if r.Long <= 0 {
			delete(m.models, model)
			continue
		}
		rates = append(rates, r)
	}
	sortRates(rates)
	return rates
}

func sortRates(rates []Rate) {
	slices.SortFunc(rates, func(a, b Rate) int { return cmp.Compare(a.Model, b.Model) })
}

// valid reports whether a value can be a rate.
func valid(rate float64) bool { return !math.IsNaN(rate) && rate >= 0 && rate <= maxRate }
