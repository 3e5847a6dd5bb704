package burn

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Objective names one thing that a service promises of a request.
type Objective string

const (
	// FirstToken is the time to the first token.
	FirstToken Objective = "first-token"
	// BetweenTokens is the mean time between two tokens.
	BetweenTokens Objective = "between-tokens"
	// Availability is that the answer came whole.
	Availability Objective = "availability"
)

const (
	bucketTime = time.Minute
	// buckets cover the longest window.
	buckets = 360
)

// Windows returns the windows over which burn is reported, the shortest first.
func Windows() []time.Duration {
	return []time.Duration{5 * time.Minute, time.Hour, buckets * bucketTime}
}

// Key names one count.
type Key struct {
	Service      string
	Organisation string
	Objective    Objective
}

// bucket counts the requests of one minute.
type bucket struct {
	minute    int64
	good, bad int64
}

// Recorder counts requests by objective. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	counts map[Key]*[buckets]bucket
}

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder {
	return &Recorder{counts: make(map[Key]*[buckets]bucket)}
}

// Add counts one request at now.
func (r *Recorder) Add(now time.Time, k Key, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ring := r.counts[k]
	if ring == nil {
		ring = &[buckets]bucket{}
		r.counts[k] = ring
	}
	minute := now.Unix() / int64(bucketTime/time.Second)
	b := &ring[minute%buckets]
	if b.minute != minute {
		*b = bucket{minute: minute}
	}
	if good {
		b.good++
	} else {
		b.bad++
	}
}

// Sum is a count over one window.
type Sum struct {
	Key
	Window time.Duration
	Good   int64
	Bad    int64
}

// Sums returns all counts over all windows up to now.
func (r *Recorder) Sums(now time.Time) []Sum {
	r.mu.Lock()
	defer r.mu.Unlock()
	minute := now.Unix() / int64(bucketTime/time.Second)
	var sums []Sum
	for k, ring := range r.counts {
		for _, window := range Windows() {
			sums = append(sums, sumOf(k, ring, minute, window))
		}
	}
	slices.SortFunc(sums, compareSums)
	return sums
}

func sumOf(k Key, ring *[buckets]bucket, minute int64, window time.Duration) Sum {
	s := Sum{Key: k, Window: window}
	oldest := minute - int64(window/bucketTime)
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

// Rate returns how many times faster than allowed the error budget burns: 1
// uses it up exactly, for a target share of good requests such as 0.95.
func Rate(good, bad int64, target float64) float64 {
	if good+bad == 0 || target >= 1 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - target)
}
