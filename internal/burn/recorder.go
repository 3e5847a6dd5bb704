package burn

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Objective is the name of a service-level objective.
type Objective string

const (
	// FirstToken is the time to the first token.
	FirstToken Objective = "first-token"
	// BetweenTokens is the mean time between two tokens.
	BetweenTokens Objective = "between-tokens"
	// Availability is met by a request whose response was complete.
	Availability Objective = "availability"
)

const (
	bucketDuration = time.Minute
	// bucketCount buckets cover the longest window.
	bucketCount = 360
)

// Windows returns the windows over which burn rates are reported, shortest first.
func Windows() []time.Duration {
	return []time.Duration{5 * time.Minute, time.Hour, bucketCount * bucketDuration}
}

// Key identifies a counter.
type Key struct {
	Service      string
	Organisation string
	Objective    Objective
}

// bucket counts the requests of one minute since the Unix epoch.
type bucket struct {
	minute    int64
	good, bad int64
}

// Recorder counts requests by Key in a ring of one-minute buckets. It is safe
// for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	counts map[Key]*[bucketCount]bucket
}

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder {
	return &Recorder{counts: make(map[Key]*[bucketCount]bucket)}
}

// Add counts one request at time now; good reports whether it met the objective.
func (r *Recorder) Add(now time.Time, k Key, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ring := r.counts[k]
	if ring == nil {
		ring = &[bucketCount]bucket{}
		r.counts[k] = ring
	}
	minute := now.Unix() / int64(bucketDuration/time.Second)
	b := &ring[minute%bucketCount]
	if b.minute != minute {
		*b = bucket{minute: minute}
	}
	if good {
		b.good++
	} else {
		b.bad++
	}
}

// Sum holds the counts of a Key over one window.
type Sum struct {
	Key
	Window time.Duration
	Good   int64
	Bad    int64
}

// Sums returns the counts of every Key over every window that ends at now.
func (r *Recorder) Sums(now time.Time) []Sum {
	r.mu.Lock()
	defer r.mu.Unlock()
	minute := now.Unix() / int64(bucketDuration/time.Second)
	var sums []Sum
	for k, ring := range r.counts {
		for _, window := range Windows() {
			sums = append(sums, sumOf(k, ring, minute, window))
		}
	}
	slices.SortFunc(sums, compareSums)
	return sums
}

func sumOf(k Key, ring *[bucketCount]bucket, minute int64, window time.Duration) Sum {
	s := Sum{Key: k, Window: window}
	oldest := minute - int64(window/bucketDuration)
	for _, b := range ring {
		if b.minute > oldest && b.minute <= minute {
			s.Good += b.good
			s.Bad += b.bad
		}
	}
	return s
}

func compareSums(a, b Sum) int {
	if c := strings.Compare(a.Service, b.Service); c != 0 {
		return c
	}
	if c := strings.Compare(string(a.Objective), string(b.Objective)); c != 0 {
		return c
	}
	if c := strings.Compare(a.Organisation, b.Organisation); c != 0 {
		return c
	}
	return int(a.Window - b.Window)
}

// Rate returns the burn rate of the error budget for a target share of good
// requests such as 0.95. At a rate of 1 the budget is used up exactly; 2 burns
// it twice as fast as allowed.
func Rate(good, bad int64, target float64) float64 {
	if good+bad == 0 || target >= 1 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - target)
}
