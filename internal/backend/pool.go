package backend

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout limits the time to open a connection. A round trip takes
	// under 10 ms and the server's handshake 1 ms.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is the longest time that an idle connection is kept, also if
	// the server states no timeout. It is short because a recently used
	// connection is unlikely to be dead.
	idleTimeout = 4 * time.Second
	// keepAliveFraction is the fraction of the server's keep-alive timeout that
	// an idle connection is kept. It is below 1 to avoid sending a request while
	// the server closes the connection.
	keepAliveFraction = 0.6
	// userTimeout is the TCP user timeout: how long sent bytes may stay
	// unacknowledged.
	userTimeout     = 1500 * time.Millisecond
	readBufferBytes = 4 << 10
)

// ErrConnectionLimit is returned if this entry's connection limit for a server
// is reached and none of the connections is idle.
var ErrConnectionLimit = errors.New("connection limit for the server reached")

// Server is one incarnation of a backend server. A Pool counts and reuses
// connections only under an equal Server: with another value of Connections, it
// starts from none.
type Server struct {
	ID        string
	StartTime int64
	Address   string
	// Connections limits this entry's connections to the server; 0 means no
	// limit.
	Connections int
}

// Pool is a pool of connections to backend servers. It is safe for concurrent
// use.
type Pool struct {
	dial DialFunc
	now  func() time.Time

	mu sync.Mutex
	// idle holds the idle connections, the least recently used first.
	idle map[Server][]*conn
	// open is the number of open connections, idle or not, including those that
	// are being opened.
	open map[Server]int
	// total is the sum of open. From maxTotal on, idle connections make room for new
	// ones; 0 means no limit.
	total, maxTotal int
	// opened counts the attempts to open a connection.
	opened int64
}

// Option configures a Pool.
type Option func(*Pool)

// WithDial replaces the function that opens connections.
func WithDial(dial DialFunc) Option {
	return func(p *Pool) { p.dial = dial }
}

// WithNow replaces the clock that idle connections expire by.
func WithNow(now func() time.Time) Option {
	return func(p *Pool) { p.now = now }
}

// WithMaxTotal sets the number of connections to all servers from which an idle one is
// closed for each new one. It does not limit those in use.
func WithMaxTotal(n int) Option {
	return func(p *Pool) { p.maxTotal = n }
}

// NewPool returns an empty Pool.
func NewPool(opts ...Option) *Pool {
	p := &Pool{
		dial: ResetOnClose(Dialer(userTimeout).DialContext), now: time.Now,
		idle: make(map[Server][]*conn), open: make(map[Server]int),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Dialer returns a dialer whose connections fail when sent bytes stay
// unacknowledged for ackTimeout. This detects peers that can't send a
// reset, such as a machine that lost power. A connection must be opened within
// dialTimeout.
func Dialer(ackTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			controlErr := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
			if controlErr != nil {
				return errors.Wrap(controlErr, "access the socket")
			}
			return errors.Wrap(err, "set TCP_USER_TIMEOUT")
		},
	}
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ResetOnClose returns a function that opens connections which are reset when they are
// closed, or when the process ends. What the peer has not received by then is dropped. Without
// a reset it would arrive later, if the network holds it back: requests that were given up and
// have been served elsewhere, perhaps at a server that must get none any more.
func ResetOnClose(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only if the connection has ended
		}
		return c, nil
	}
}

// get returns an idle connection to the server, unless fresh is set, or opens
// one. At the connection limit it first closes an idle connection, or fails with
// ErrConnectionLimit if there is none.
func (p *Pool) get(ctx context.Context, s Server, fresh bool) (*conn, error) {
	p.mu.Lock()
	if !fresh {
		if c := p.takeIdle(s); c != nil {
			p.mu.Unlock()
			return c, nil
		}
	}
	if s.Connections > 0 && p.open[s] >= s.Connections && !p.evictIdle(s) {
		p.mu.Unlock()
		return nil, ErrConnectionLimit
	}
	if p.maxTotal > 0 && p.total >= p.maxTotal {
		p.evictOldest()
	}
	p.open[s]++
	p.total++
	p.opened++
	p.mu.Unlock()
	raw, err := p.dial(ctx, "tcp", s.Address)
	if err != nil {
		p.mu.Lock()
		p.decrement(s)
		p.mu.Unlock()
		return nil, errors.Wrap(err, "open connection")
	}
	limit := &readLimit{r: raw}
	return &conn{Conn: raw, server: s, limit: limit, reader: bufio.NewReaderSize(limit, readBufferBytes)}, nil
}

// takeIdle returns the most recently used idle connection that has not expired,
// and closes the expired ones that were used after it. It returns nil if all
// have expired. The caller holds p.mu.
func (p *Pool) takeIdle(s Server) *conn {
	list := p.idle[s]
	now := p.now()
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		if now.Before(c.idleUntil) {
			p.idle[s] = list
			return c
		}
		c.closeIdle()
		p.decrement(s)
	}
	delete(p.idle, s)
	return nil
}

// evictIdle closes the least recently used idle connection to the server. It
// returns false if there is none. The caller holds p.mu.
func (p *Pool) evictIdle(s Server) bool {
	list := p.idle[s]
	if len(list) == 0 {
		return false
	}
	list[0].closeIdle()
	p.idle[s] = list[1:]
	p.decrement(s)
	return true
}

// evictOldest closes the idle connection that expires first, if there is one. The caller
// holds p.mu.
func (p *Pool) evictOldest() {
	var oldest *conn
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].idleUntil.Before(oldest.idleUntil)) {
			oldest = list[0]
		}
	}
	if oldest != nil {
		p.evictIdle(oldest.server)
	}
}

// put adds a connection to the idle ones. serverTimeout is the server's
// keep-alive timeout, or 0 if it is unknown.
func (p *Pool) put(c *conn, serverTimeout time.Duration) {
	keep := idleTimeout
	if serverTimeout > 0 {
		keep = min(keep, time.Duration(float64(serverTimeout)*keepAliveFraction))
	}
	c.idleUntil = p.now().Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.server] = append(p.idle[c.server], c)
}

// remove counts a connection that is not idle as closed. The caller closes it.
func (p *Pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decrement(c.server)
}

// decrement counts one connection to the server as closed. The caller holds p.mu.
func (p *Pool) decrement(s Server) {
	p.total--
	if p.open[s] > 1 {
		p.open[s]--
		return
	}
	delete(p.open, s)
}

// CloseIdle closes the idle connections to all incarnations of a server, for
// example after a reused connection failed.
func (p *Pool) CloseIdle(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s, list := range p.idle {
		if s.ID != id {
			continue
		}
		for _, c := range list {
			c.closeIdle()
			p.decrement(s)
		}
		delete(p.idle, s)
	}
}

// CloseExpired closes the idle connections that have expired.
func (p *Pool) CloseExpired() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for s, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
				continue
			}
			c.closeIdle()
			p.decrement(s)
		}
		if len(kept) == 0 {
			delete(p.idle, s)
			continue
		}
		p.idle[s] = kept
	}
}

// Opened returns how many connections the pool has tried to open.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}
