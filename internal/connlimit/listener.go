package connlimit

import (
	"crypto/tls"
	"net"
	"time"
)

// connBytes is what an idle connection takes: the stacks of its goroutines, the
// buffers of net/http and what the kernel buffers for it.
const connBytes = 16 << 10

// listener accepts connections that are charged to a Limiter.
type listener struct {
	net.Listener
	limiter *Limiter
	count   listenerCount
	// tls is nil without TLS.
	tls *tls.Config
}

// Listen returns a listener whose connections are charged to the Limiter. It holds up to
// maxConns of them; for one more, it closes the one that has waited longest for its
// client, or the new one if all are at work.
func (l *Limiter) Listen(inner net.Listener, maxConns int) net.Listener {
	return &listener{Listener: inner, limiter: l, count: listenerCount{limit: maxConns}}
}

// ListenTLS returns a listener as Listen does, whose connections use TLS. What TLS
// buffers is charged too.
func (l *Limiter) ListenTLS(inner net.Listener, maxConns int, cfg *tls.Config) net.Listener {
	return &listener{Listener: inner, limiter: l, count: listenerCount{limit: maxConns}, tls: cfg}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, limiter: l.limiter}
		if l.tls != nil {
			c.useTLS(l.tls)
		}
		if l.admit(c) {
			return c, nil
		}
		_ = inner.Close()
	}
}

// admit opens the account of a new connection. It returns false if there is no room
// and no other connection that could be closed for it.
func (l *listener) admit(c *conn) bool {
	now := time.Now()
	limiter := l.limiter
	size := int64(connBytes)
	if l.tls != nil {
		size += tlsBytes
	}
	limiter.mu.Lock()
	var victim *conn
	var e Eviction
	found := false
	if l.count.open >= l.count.limit {
		if victim, found = limiter.ledger.longestIdle(now, &l.count); found {
			e = limiter.detach(victim, now, "connections")
		}
	} else if limiter.ledger.used+size > limiter.ledger.capacity {
		if victim, found = limiter.ledger.stalled(now, nil); found {
			e = limiter.detach(victim, now, "memory")
		}
	}
	if found {
		// The victim's account is closed at once, since nothing waits here.
		limiter.ledger.remove(victim)
	}
	admitted := l.count.open < l.count.limit && limiter.ledger.used+size <= limiter.ledger.capacity
	if admitted {
		limiter.ledger.accounts[c] = &account{phase: waiting, progressAt: now, listener: &l.count}
		limiter.ledger.charge(c, size, true)
		l.count.open++
	}
	limiter.mu.Unlock()
	if found {
		limiter.closeEvicted(victim, e)
	}
	return admitted
}
