package quarantine

import "time"

const (
	// successMemory is how long a success with a part is remembered at least,
	// unless there are more than maxSuccesses newer parts.
	successMemory = time.Minute
	maxSuccesses  = 4096
)

// successes remembers when responses with a part last began to arrive. It keeps
// two generations, so that its size is bounded whatever parts callers send.
type successes struct {
	recent    map[string]time.Time
	previous  map[string]time.Time
	rotatedAt time.Time
}

func (s *successes) record(part string, at, now time.Time) {
	if s.recent == nil || len(s.recent) >= maxSuccesses || now.Sub(s.rotatedAt) > successMemory {
		s.previous, s.recent, s.rotatedAt = s.recent, make(map[string]time.Time), now
	}
	if last, found := s.last(part); !found || at.After(last) {
		s.recent[part] = at
	}
}

func (s *successes) last(part string) (time.Time, bool) {
	if at, found := s.recent[part]; found {
		return at, true
	}
	at, found := s.previous[part]
	return at, found
}
