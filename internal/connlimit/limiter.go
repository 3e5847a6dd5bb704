package connlimit

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// reserveTimeout is how long a reservation waits for memory. It is longer than
// evictAfter, so that connections that have just stalled can be closed for it.
const reserveTimeout = time.Second

// ErrNoMemory is returned if the memory for clients is in use, by connections that
// make progress.
var ErrNoMemory = errors.New("the memory for clients is in use")

// Eviction describes a connection that was closed.
type Eviction struct {
	Address string
	// Held is the memory that was charged to the connection, in bytes.
	Held int64
	// Idle is how long the client had made no progress.
	Idle time.Duration
	// Reason says what was short.
	Reason string
}

// Limiter bounds what the clients of a process can make it hold. It is safe for
// concurrent use.
type Limiter struct {
	onEvict          func(Eviction)
	evicted, refused atomic.Int64

	mu     sync.Mutex
	ledger ledger[*conn]
	// waiting holds the connections whose reservation waits, in their order. freed is
	// closed and replaced when memory is released meanwhile.
	waiting []*conn
	freed   chan struct{}
}

// Option configures a Limiter.
type Option func(*Limiter)

// WithOnEvict sets a function that is called for each connection that is closed.
func WithOnEvict(f func(Eviction)) Option {
	return func(l *Limiter) { l.onEvict = f }
}

// New returns a Limiter that lets clients hold up to capacity bytes.
func New(capacity int64, opts ...Option) *Limiter {
	l := &Limiter{
		onEvict: func(Eviction) {}, freed: make(chan struct{}),
		ledger: ledger[*conn]{capacity: capacity, accounts: make(map[*conn]*account)},
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Used returns the memory that is charged to clients, in bytes.
func (l *Limiter) Used() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.used
}

// Connections returns the number of open connections.
func (l *Limiter) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.ledger.accounts)
}

// Evicted returns how many connections were closed to make room.
func (l *Limiter) Evicted() int64 { return l.evicted.Load() }

// Refused returns how many reservations found no memory.
func (l *Limiter) Refused() int64 { return l.refused.Load() }

// Install makes an HTTP server report its connections, which come from a listener of
// Listen, to the Limiter. next is the server's own hook, or nil.
func (l *Limiter) Install(s *http.Server, next func(net.Conn, http.ConnState)) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if limited, ok := c.(*conn); ok {
			limited.setState(state)
		}
		if next != nil {
			next(c, state)
		}
	}
}

type connKey struct{}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// Reserve charges n bytes to the connection of a request's context. If they don't fit,
// it closes stalled connections and waits for up to reserveTimeout. It returns
// ErrNoMemory, or the context's error, if nothing was charged. A context without a
// connection of the Limiter is not charged.
func (l *Limiter) Reserve(ctx context.Context, n int64) error {
	c := connOf(ctx)
	if c == nil {
		return nil
	}
	return l.reserve(ctx, c, n)
}

// Release takes n bytes off the account of a request's connection.
func (l *Limiter) Release(ctx context.Context, n int64) {
	if c := connOf(ctx); c != nil {
		l.release(c, n)
	}
}

func (l *Limiter) release(c *conn, n int64) {
	if n == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.release(c, n)
	l.notifyFreed()
}

// notifyFreed wakes the reservations that wait. The caller holds l.mu.
func (l *Limiter) notifyFreed() {
	if len(l.waiting) > 0 {
		close(l.freed)
		l.freed = make(chan struct{})
	}
}

func (l *Limiter) reserve(ctx context.Context, c *conn, n int64) error {
	if done, err := l.tryReserve(c, n); done {
		return err
	}
	defer l.leaveQueue(c)
	timeout := time.NewTimer(reserveTimeout)
	defer timeout.Stop()
	// A connection stalls without a signal, so the attempt is repeated.
	retry := time.NewTicker(evictAfter / 4)
	defer retry.Stop()
	for {
		freed := l.joinQueue(c)
		if done, err := l.tryReserve(c, n); done {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timeout.C:
			l.refused.Add(1)
			return ErrNoMemory
		case <-freed:
		case <-retry.C:
		}
	}
}

// joinQueue adds c to the reservations that wait, unless it is one of them. It returns a
// channel that is closed when memory is released.
func (l *Limiter) joinQueue(c *conn) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Contains(l.waiting, c) {
		l.waiting = append(l.waiting, c)
	}
	return l.freed
}

func (l *Limiter) leaveQueue(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = slices.DeleteFunc(l.waiting, func(other *conn) bool { return other == c })
	l.notifyFreed() // another reservation is the first one now
}

// tryReserve charges n bytes to c. If there is no room, it closes a stalled connection
// and returns false.
func (l *Limiter) tryReserve(c *conn, n int64) (done bool, err error) {
	l.mu.Lock()
	if l.ledger.accounts[c] == nil {
		l.mu.Unlock()
		return true, net.ErrClosed
	}
	if l.ledger.charge(c, n, len(l.waiting) > 0 && l.waiting[0] == c) {
		l.mu.Unlock()
		return true, nil
	}
	now := time.Now()
	victim, found := l.ledger.stalled(now, c)
	var e Eviction
	if found {
		e = l.detach(victim, now, "memory")
	}
	l.mu.Unlock()
	if found {
		l.closeEvicted(victim, e)
	}
	return false, nil
}

// detach marks a connection as evicted, so that it is chosen only once. Its memory stays
// charged until its handler has returned. The caller holds l.mu.
func (l *Limiter) detach(c *conn, now time.Time, reason string) Eviction {
	a := l.ledger.accounts[c]
	e := Eviction{Address: c.RemoteAddr().String(), Held: a.held, Idle: now.Sub(a.progressAt), Reason: reason}
	a.phase, a.reading = working, false
	c.evicted = true
	return e
}

func (l *Limiter) closeEvicted(c *conn, e Eviction) {
	l.evicted.Add(1)
	_ = c.closeBelowTLS() // reads and writes of the HTTP server fail, and it closes c
	l.onEvict(e)
}
