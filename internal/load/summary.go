package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxTrackedMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Percentiles holds the percentiles and the maximum of a duration.
type Percentiles struct {
	P50, P95, P99, Max time.Duration
}

// Summary aggregates responses. Its methods are safe for concurrent use; the
// exported fields are read through Counts while responses are added.
type Summary struct {
	mu                sync.Mutex
	Requests          int
	CompleteResponses int
	RejectedNotRun    int
	Failed            int
	Tokens            int
	firstToken        *hdrhistogram.Histogram
	betweenTokens     *hdrhistogram.Histogram
	total             *hdrhistogram.Histogram
	series            []Point
	startedAt         time.Time
}

// Point is one complete response in a time series.
type Point struct {
	// At is the time from the summary's start until the response ended.
	At         time.Duration
	FirstToken time.Duration
	Total      time.Duration
}

// NewSummary returns an empty Summary that starts now.
func NewSummary() *Summary {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxTrackedMicros, significantDigits)
	}
	return &Summary{
		firstToken: histogram(), betweenTokens: histogram(), total: histogram(), startedAt: time.Now(),
	}
}

// Add adds a response.
func (s *Summary) Add(r Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Requests++
	s.Tokens += r.Tokens
	switch {
	case r.Complete:
		s.CompleteResponses++
		record(s.firstToken, r.FirstToken)
		record(s.total, r.Total)
		for _, gap := range r.TokenGaps {
			record(s.betweenTokens, gap)
		}
		s.series = append(s.series, Point{
			At: time.Since(s.startedAt), FirstToken: r.FirstToken, Total: r.Total,
		})
	case r.Rejected():
		s.RejectedNotRun++
	default:
		s.Failed++
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(1, min(d.Microseconds(), maxTrackedMicros)))
}

// Counts returns the numbers of requests by outcome, and the number of tokens.
func (s *Summary) Counts() (requests, complete, rejected, failed, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Requests, s.CompleteResponses, s.RejectedNotRun, s.Failed, s.Tokens
}

// FirstToken returns the percentiles of the time to the first token.
func (s *Summary) FirstToken() Percentiles { return s.percentiles(s.firstToken) }

// BetweenTokens returns the percentiles of the time between tokens.
func (s *Summary) BetweenTokens() Percentiles { return s.percentiles(s.betweenTokens) }

// Total returns the percentiles of the time to the end of the response.
func (s *Summary) Total() Percentiles { return s.percentiles(s.total) }

// Series returns the complete responses in the order in which they ended.
func (s *Summary) Series() []Point {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Point(nil), s.series...)
}

func (s *Summary) percentiles(h *hdrhistogram.Histogram) Percentiles {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := func(percent float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
	}
	return Percentiles{P50: at(50), P95: at(95), P99: at(99), Max: time.Duration(h.Max()) * time.Microsecond}
}
