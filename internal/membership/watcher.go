package membership

import "time"

// observation is the last observed state of one session row.
type observation struct {
	epoch   uint64
	counter uint64
	writeID string
	// since is when the first of the reads that returned this state returned.
	since time.Time
	// unchangedFor is the time from since until the last read was sent.
	unchangedFor time.Duration
}

// Watcher detects, on the contender's side, sessions whose holders have stopped
// renewing them. It is not safe for concurrent use.
type Watcher struct {
	timing Timing
	// lastRead is when the last observed read was sent.
	lastRead time.Time
	// observations holds the rows of the last observed read, by entry.
	observations map[string]observation
}

// NewWatcher returns a Watcher without observations.
func NewWatcher(timing Timing) *Watcher {
	return &Watcher{timing: timing, observations: make(map[string]observation)}
}

// Observe records the session rows returned by a read that was sent at sentAt and
// returned at returnedAt. If more than half a term has passed between the sending
// of the last read and of this one, it resets all observations, so holders get the
// full term and grace time after an outage of the platform.
func (w *Watcher) Observe(sentAt, returnedAt time.Time, rows []Row) {
	if w.lastRead.IsZero() || sentAt.Sub(w.lastRead) > w.timing.Term/2 {
		w.observations = make(map[string]observation)
	}
	w.lastRead = sentAt
	next := make(map[string]observation, len(rows))
	for _, row := range rows {
		next[row.Entry] = w.observeRow(row, sentAt, returnedAt)
	}
	w.observations = next
}

// observeRow returns the new observation of a row. The store may have read a new
// state at any time until returnedAt, and an unchanged one at any time from sentAt
// on.
func (w *Watcher) observeRow(row Row, sentAt, returnedAt time.Time) observation {
	last, found := w.observations[row.Entry]
	if !found || !last.is(row) {
		return observation{epoch: row.Epoch, counter: row.Counter, writeID: row.WriteID, since: returnedAt}
	}
	last.unchangedFor = sentAt.Sub(last.since)
	return last
}

// is reports whether the row is in the observed state.
func (o observation) is(row Row) bool {
	return o.epoch == row.Epoch && o.counter == row.Counter && o.writeID == row.WriteID
}

// Expired reports whether a contender may end the live session, because its row
// has stayed unchanged for the term and the grace time. It returns false for a
// row that is not live.
func (w *Watcher) Expired(row Row) bool { return row.State == Live && w.Unchanged(row) }

// Unchanged reports whether the row has stayed unchanged for the term and the grace time.
// It returns false for a row that is not in the state of the last observed read.
func (w *Watcher) Unchanged(row Row) bool {
	last, found := w.observations[row.Entry]
	return found && last.is(row) && last.unchangedFor >= w.timing.Term+w.timing.Grace
}

// Lapse returns the row that marks an expired session as lapsed. It doesn't check
// that the session has expired. The write must replace row.Version.
func Lapse(row Row, writeID string) Session {
	next := row.Session
	next.State = Lapsed
	next.WriteID = writeID
	return next
}
