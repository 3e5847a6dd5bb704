package membership

import "time"

// sighting is what a Watcher knows of one session.
type sighting struct {
	epoch   uint64
	counter uint64
	// silent is how long the row stayed unchanged while the platform answered.
	silent time.Duration
}

// Watcher is the contender's side: it tells which sessions have been silent
// for longer than their holder may act. It is not safe for concurrent use.
type Watcher struct {
	timing   Timing
	last     time.Time
	sessions map[string]sighting
}

// NewWatcher returns a Watcher that has seen nothing.
func NewWatcher(timing Timing) *Watcher {
	return &Watcher{timing: timing, sessions: make(map[string]sighting)}
}

// Observe takes in the session rows that a read, sent at sentAt, returned. A
// gap between two reads that is longer than the renewal interval starts every
// count anew, so that an outage ends in a full grace period.
func (w *Watcher) Observe(sentAt time.Time, rows []Row) {
	passed := sentAt.Sub(w.last)
	if passed > w.timing.Term/2 || w.last.IsZero() {
		w.sessions = make(map[string]sighting)
		passed = 0
	}
	w.last = sentAt
	next := make(map[string]sighting, len(rows))
	for _, row := range rows {
		next[row.Entry] = w.follow(row, passed)
	}
	w.sessions = next
}

func (w *Watcher) follow(row Row, passed time.Duration) sighting {
	seen, found := w.sessions[row.Entry]
	if !found || seen.epoch != row.Epoch || seen.counter != row.Counter {
		return sighting{epoch: row.Epoch, counter: row.Counter}
	}
	seen.silent += passed
	return seen
}

// Silent reports whether the live session may be lapsed: its row has stayed
// unchanged for the holder's term and the grace time.
func (w *Watcher) Silent(row Row) bool {
	seen, found := w.sessions[row.Entry]
	if !found || row.State != Live {
		return false
	}
	if seen.epoch != row.Epoch || seen.counter != row.Counter {
		return false
	}
	return seen.silent >= w.timing.Term+w.timing.Grace
}

// Lapse returns the row that ends a silent session.
func Lapse(row Row, attempt string) Session {
	next := row.Session
	next.State = Lapsed
	next.Attempt = attempt
	return next
}
