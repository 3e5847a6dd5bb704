package membership

import (
	"sync"
	"time"
)

// Timing configures the session protocol.
type Timing struct {
	// RenewInterval is the interval between two renewals.
	RenewInterval time.Duration
	// Term is how long the session is valid after a renewal was sent.
	Term time.Duration
	// Grace is how much longer than Term a contender waits, because clocks may
	// run at different speeds.
	Grace time.Duration
}

// DefaultTiming returns the default timing of entries.
func DefaultTiming() Timing {
	return Timing{RenewInterval: 2 * time.Second, Term: 6 * time.Second, Grace: time.Second}
}

// Holder tracks the session that this process holds. It is safe for concurrent
// use.
type Holder struct {
	timing Timing

	mu      sync.Mutex
	session Session
	// version is the version of the row that was last confirmed or adopted.
	version int64
	open    bool
	// sentAt is the time just before the last confirmed write was sent. The term
	// starts then.
	sentAt time.Time
}

// NewHolder returns a Holder without an open session. The identity's Entry,
// Zone, Address and Incarnation describe this run of the process.
func NewHolder(identity Session, timing Timing) *Holder {
	return &Holder{session: identity, timing: timing}
}

// Opening returns the row that opens a new session and replaces the existing row,
// which has version 0 if there is none. It returns false while the existing row
// belongs to a live session, because that session must lapse or be closed first.
func (h *Holder) Opening(existing Row, writeID string) (Session, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if existing.Version != 0 && existing.State == Live {
		return Session{}, false
	}
	next := h.session
	next.Epoch = existing.Epoch + 1
	next.Counter = 1
	next.State = Live
	next.WriteID = writeID
	return next, true
}

// Renewal returns the row that renews the session and the row version that it
// replaces. It returns false if no session is open.
func (h *Holder) Renewal(writeID string) (Session, int64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.open {
		return Session{}, 0, false
	}
	next := h.session
	next.Counter++
	next.WriteID = writeID
	return next, h.version, true
}

// Closing returns the row that closes the session and the row version that it
// replaces. It returns false, and a row that must not be used, if no session is
// open.
func (h *Holder) Closing(writeID string) (Session, int64, bool) {
	next, version, ok := h.Renewal(writeID)
	next.State = Closed
	return next, version, ok
}

// Confirm records that a row of this holder was written. The term starts at
// sentAt, the time before the write was sent. It never moves back.
func (h *Holder) Confirm(s Session, version int64, sentAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.session = s
	h.version = version
	h.open = s.State == Live
	if sentAt.After(h.sentAt) {
		h.sentAt = sentAt
	}
}

// Observe compares the row in the table with the last confirmed one and reports
// whether the session is still open. A newer row of the same session comes from
// a write whose response was lost. Observe adopts its version and counter, but
// does not extend the term. A row of another session, or one that is not live,
// means that the session is lost. Without an open session Observe returns false.
func (h *Holder) Observe(row Row) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.open {
		return false
	}
	sameSession := row.Incarnation == h.session.Incarnation && row.Epoch == h.session.Epoch
	if !sameSession || row.State != Live {
		h.open = false
		return false
	}
	if row.Version > h.version {
		h.version = row.Version
		h.session.Counter = row.Counter
	}
	return true
}

// ValidFor reports whether the session is open and stays valid for longer than d
// after now without a further renewal.
func (h *Holder) ValidFor(now time.Time, d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.open && now.Add(d).Before(h.sentAt.Add(h.timing.Term))
}

// Current returns the last confirmed session and whether it is open. Before the
// first one it returns the identity. The session may be open after its term has
// ended; see ValidFor.
func (h *Holder) Current() (Session, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.session, h.open
}
