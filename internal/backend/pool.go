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
	// dialTimeout bounds opening a connection: a round trip takes under 10 ms
	// and the server's handshake 1 ms.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is how long a connection is kept whose server states no
	// time: one that was used a moment ago is not likely to have gone silent.
	idleTimeout = 4 * time.Second
	// idleShare is the part of the server's stated time that a connection is
	// kept, so that the server's close does not cross a request.
	idleShare = 0.6
	// userTimeout bounds how long sent bytes may stay unacknowledged.
	userTimeout = 1500 * time.Millisecond
	readBuffer  = 4 << 10
)

// ErrTooMany means that the server's connection limit is used up.
var ErrTooMany = errors.New("the server has no connection left for this entry")

// Server is one lifetime of a backend server.
type Server struct {
	ID        string
	StartTime int64
	Address   string
	// Connections bounds the entry's connections to the server; 0 is no bound.
	Connections int
}

// Pool keeps connections to backend servers. It is safe for concurrent use.
type Pool struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	now  func() time.Time

	mu    sync.Mutex
	idle  map[Server][]*conn
	count map[Server]int
	// opened counts connections opened so far.
	opened int64
}

// Option changes a Pool under construction.
type Option func(*Pool)

// WithDial replaces the function that opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(p *Pool) { p.dial = dial }
}

// WithNow replaces the clock.
func WithNow(now func() time.Time) Option {
	return func(p *Pool) { p.now = now }
}

// NewPool returns an empty Pool.
func NewPool(opts ...Option) *Pool {
	p := &Pool{
		dial: Dialer(userTimeout).DialContext, now: time.Now,
		idle: make(map[Server][]*conn), count: make(map[Server]int),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Dialer returns a dialer whose connections fail once bytes stay
// unacknowledged for the time; a machine without power sends no reset.
func Dialer(unacknowledged time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			controlErr := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
			})
			if controlErr != nil {
				return errors.Wrap(controlErr, "reach the socket")
			}
			return errors.Wrap(err, "set the user timeout")
		},
	}
}

func (p *Pool) get(ctx context.Context, s Server, fresh bool) (*conn, error) {
	p.mu.Lock()
	if !fresh {
		if c := p.takeIdle(s); c != nil {
			p.mu.Unlock()
			return c, nil
		}
	}
	if s.Connections > 0 && p.count[s] >= s.Connections && !p.evictIdle(s) {
		p.mu.Unlock()
		return nil, ErrTooMany
	}
	p.count[s]++
	p.opened++
	p.mu.Unlock()
	raw, err := p.dial(ctx, "tcp", s.Address)
	if err != nil {
		p.mu.Lock()
		p.release(s)
		p.mu.Unlock()
		return nil, errors.Wrap(err, "open a connection")
	}
	return &conn{Conn: raw, server: s, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// takeIdle returns the connection that was used last and is still good.
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
		_ = c.Close()
		p.release(s)
	}
	delete(p.idle, s)
	return nil
}

func (p *Pool) evictIdle(s Server) bool {
	list := p.idle[s]
	if len(list) == 0 {
		return false
	}
	_ = list[0].Close()
	p.idle[s] = list[1:]
	p.release(s)
	return true
}

func (p *Pool) put(c *conn, stated time.Duration) {
	keep := idleTimeout
	if stated > 0 {
		keep = min(keep, time.Duration(float64(stated)*idleShare))
	}
	c.idleUntil = p.now().Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.server] = append(p.idle[c.server], c)
}

func (p *Pool) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(c.server)
}

func (p *Pool) release(s Server) {
	if p.count[s] > 1 {
		p.count[s]--
		return
	}
	delete(p.count, s)
}

// CloseIdle closes the idle connections to a server, for example after one of
// them turned out silent.
func (p *Pool) CloseIdle(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s, list := range p.idle {
		if s.ID != id {
			continue
		}
		for _, c := range list {
			_ = c.Close()
			p.release(s)
		}
		delete(p.idle, s)
	}
}

// CloseExpired closes connections that have been idle for too long.
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
			_ = c.Close()
			p.release(s)
		}
		if len(kept) == 0 {
			delete(p.idle, s)
			continue
		}
		p.idle[s] = kept
	}
}

// Opened returns how many connections were opened so far.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}
