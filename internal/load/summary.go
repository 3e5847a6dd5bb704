package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Percentiles are the quantiles of one measure.
type Percentiles struct {
	P50, P95, P99, Max time.Duration
}

// Summary sums answers up. It is safe for concurrent use.
type Summary struct {
	mu                sync.Mutex
	Requests          int
	CompleteResponses int
	RejectedNotRun    int
	Failed            int
	Tokens            int
	firstToken        *hdrhistogram.Histogram
	between           *hdrhistogram.Histogram
	total             *hdrhistogram.Histogram
	series            []Point
	startedAt         time.Time
}

// Point is one answer in a time series.
type Point struct {
	// At is when the answer ended, from the summary's start.
	At         time.Duration
	FirstToken time.Duration
	Total      time.Duration
}

// NewSummary returns an empty Summary that starts now.
func NewSummary() *Summary {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, highestMicros, significantDigits)
	}
	return &Summary{
		firstToken: histogram(), between: histogram(), total: histogram(), startedAt: time.Now(),
	}
}

// Add takes in one answer.
func (s *Summary) Add(a Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Requests++
	s.Tokens += a.Tokens
	switch {
	case a.Complete:
		s.CompleteResponses++
		record(s.firstToken, a.FirstToken)
		record(s.total, a.Total)
		for _, gap := range a.TokenGaps {
			record(s.between, gap)
		}
		s.series = append(s.series, Point{
			At: time.Since(s.startedAt), FirstToken: a.FirstToken, Total: a.Total,
		})
	case a.Rejected():
		s.RejectedNotRun++
	default:
		s.Failed++
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(1, min(d.Microseconds(), highestMicros)))
}

// Counts returns the numbers of requests by outcome.
func (s *Summary) Counts() (requests, whole, refused, failed, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Requests, s.CompleteResponses, s.RejectedNotRun, s.Failed, s.Tokens
}

// FirstToken returns the times to the first token.
func (s *Summary) FirstToken() Percentiles { return s.percentiles(s.firstToken) }

// BetweenTokens returns the times between tokens.
func (s *Summary) BetweenTokens() Percentiles { return s.percentiles(s.between) }

// Total returns the times to the end of the answer.
func (s *Summary) Total() Percentiles { return s.percentiles(s.total) }

// Series returns the whole answers in the order in which they ended.
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
