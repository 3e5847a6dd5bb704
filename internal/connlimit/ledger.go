package connlimit

import "time"

// phase is what a connection waits for.
type phase int

const (
	// waiting means that no byte of the next request has arrived.
	waiting phase = iota
	// readingHead means that a part of a request's head has arrived.
	readingHead
	// readingBody means that the handler reads the request's body.
	readingBody
	// working means that the server has the whole request.
	working
	// writing means that the client has not taken all of the response that was
	// written.
	writing
	// hijacked means that the connection no longer carries HTTP requests.
	hijacked
)

// evictAfter is how long a connection must have made no progress before it may be
// closed for the memory that it holds. Callers on sound links don't pause for longer
// within a request.
const evictAfter = 500 * time.Millisecond

// account is what one connection holds.
type account struct {
	held  int64
	phase phase
	// reading is set while the server waits for a part of a request's body.
	reading bool
	// progressAt is when the client last did its part.
	progressAt time.Time
	listener   *listenerCount
}

// blocked reports whether the connection waits for its client.
func (a *account) blocked() bool {
	return a.phase != hijacked && (a.phase != working || a.reading)
}

// listenerCount counts the open connections of one listener.
type listenerCount struct {
	open, limit int
}

// ledger holds the accounts of all connections. It is not safe for concurrent use.
type ledger[K comparable] struct {
	capacity int64
	used     int64
	accounts map[K]*account
}

const (
	// smallCharge is the size up to which a charge may use the whole capacity.
	smallCharge = 64 << 10
	// largeShare is the share of the capacity that larger charges may use, so that
	// ordinary requests find room beside many large ones.
	largeShare = 0.75
)

// charge adds n bytes to a connection's account. It returns false, without a change,
// if they don't fit. The first reservation that waits may use the whole capacity:
// otherwise connections that each hold a part of what they need could wait for one
// another.
func (l *ledger[K]) charge(key K, n int64, first bool) bool {
	capacity := l.capacity
	if n > smallCharge && !first {
		capacity = int64(largeShare * float64(capacity))
	}
	a := l.accounts[key]
	if a == nil || l.used+n > capacity {
		return false
	}
	a.held += n
	l.used += n
	return true
}

// release takes n bytes, or what is left, off a connection's account. It has no effect
// on a connection that was removed.
func (l *ledger[K]) release(key K, n int64) {
	if a := l.accounts[key]; a != nil {
		n = min(n, a.held)
		a.held -= n
		l.used -= n
	}
}

// remove closes a connection's account.
func (l *ledger[K]) remove(key K) {
	a := l.accounts[key]
	if a == nil {
		return
	}
	l.used -= a.held
	a.listener.open--
	delete(l.accounts, key)
}

// stalled returns the connection that has held most for longest without progress,
// other than one itself: the one with the largest product of bytes and time. Only
// connections that wait for their client, for evictAfter or longer, count.
func (l *ledger[K]) stalled(now time.Time, itself K) (key K, found bool) {
	var worst float64
	for k, a := range l.accounts {
		idle := now.Sub(a.progressAt)
		if k == itself || !a.blocked() || idle < evictAfter {
			continue
		}
		if weight := float64(a.held) * idle.Seconds(); !found || weight > worst {
			key, worst, found = k, weight, true
		}
	}
	return key, found
}

// longestIdle returns the connection of a listener that has waited longest for its
// client: one without a request if there is one, else one in the middle of a request
// that has made no progress for evictAfter.
func (l *ledger[K]) longestIdle(now time.Time, of *listenerCount) (key K, found bool) {
	var since time.Time
	var foundWaiting bool
	for k, a := range l.accounts {
		if a.listener != of || !a.blocked() {
			continue
		}
		isWaiting := a.phase == waiting
		if (foundWaiting && !isWaiting) || (!isWaiting && now.Sub(a.progressAt) < evictAfter) {
			continue
		}
		if !found || (isWaiting && !foundWaiting) || a.progressAt.Before(since) {
			key, since, found, foundWaiting = k, a.progressAt, true, isWaiting
		}
	}
	return key, found
}
