package connlimit

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// headLineBytes is what a header line takes once parsed, beside its own bytes: its
	// entry in the map, its slice of values, and the copy of the map for each attempt.
	headLineBytes = 200
	// headItemBytes is what an item of a list in a header takes once parsed: its entry in
	// a slice that grows by doubling, and a copy of the item.
	headItemBytes = 48
	// freeHeadBytes is the size of a parsed head that connBytes covers.
	freeHeadBytes = 8 << 10
	// headStep is how many bytes of a head are charged at a time.
	headStep = 16 << 10
	// progressBytes is how much a client must send to count as making progress. A
	// client that sends single bytes to stay open makes none.
	progressBytes = 1 << 10
	// writeStep is how many bytes are written at a time, so that a slow reader is
	// seen to make progress.
	writeStep = 32 << 10
)

// writeTimeout is how long a client may take no byte of its response before its
// connection is closed, also while memory is not short. A write deadline that the
// server sets replaces it.
const writeTimeout = 20 * time.Second

// conn is a connection whose memory is charged to a Limiter.
type conn struct {
	net.Conn
	limiter *Limiter
	// inHead is set while bytes that arrive belong to a request's head. Only the
	// goroutine that reads changes the fields up to headCharged, or the HTTP server
	// between two requests.
	inHead      bool
	headBytes   int64
	headCharged int64
	// unreported counts the bytes that were read since the last progress.
	unreported int64
	// sealed and sealedCharged are the bytes that TLS has read without delivering any,
	// and what is charged for them. Only the goroutine that reads changes them.
	sealed, sealedCharged int64
	// handshake runs the TLS handshake. It is nil without TLS, and once it has run.
	handshake func() error
	// writeDeadline is the write deadline that the server has set, in nanoseconds of
	// Unix time; 0 if there is none.
	writeDeadline atomic.Int64
	// readEndedAt is when the last read ended.
	readEndedAt time.Time
	// evicted is set once the connection is closed to make room. It is guarded by
	// limiter.mu.
	evicted bool
}

// setState follows the HTTP server's view of the connection.
func (c *conn) setState(state http.ConnState) {
	l := c.limiter
	switch state {
	case http.StateNew:
		c.inHead = true
	case http.StateActive:
		c.inHead = false
		l.setPhase(c, working)
	case http.StateIdle:
		l.release(c, c.headCharged)
		c.inHead, c.headBytes, c.headCharged, c.unreported = true, 0, 0, 0
		l.setPhase(c, waiting)
	case http.StateHijacked:
		c.inHead = false
		l.setPhase(c, hijacked)
	case http.StateClosed:
		l.forget(c)
	}
}

// forget closes the account of a connection.
func (l *Limiter) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.remove(c)
	l.notifyFreed()
}

// setPhase sets what the connection waits for, which counts as progress. It returns the
// previous phase.
func (l *Limiter) setPhase(c *conn, p phase) phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.ledger.accounts[c]
	if a == nil || c.evicted {
		return working
	}
	previous := a.phase
	a.phase, a.progressAt = p, time.Now()
	return previous
}

// Read implements net.Conn. It charges the heads of requests, and fails if there is no
// memory for one.
func (c *conn) Read(p []byte) (int, error) {
	if c.handshake != nil {
		if err := c.handshake(); err != nil {
			return 0, err
		}
		c.handshake = nil
	}
	n, err := c.readWaiting(p)
	c.releaseSealed()
	if n == 0 {
		return n, err
	}
	if c.inHead {
		if chargeErr := c.chargeHead(p[:n]); chargeErr != nil {
			_ = c.Conn.Close()
			return 0, chargeErr
		}
		return n, err
	}
	if c.unreported += int64(n); c.unreported >= progressBytes {
		c.unreported = 0
		c.limiter.progress(c)
	}
	return n, err
}

// readWaiting reads. Within a request, the server waits for the client's body
// meanwhile, also where no handler asks for it: net/http reads the rest of a body before
// it responds. It reads single bytes only to notice that a client disconnects.
func (c *conn) readWaiting(p []byte) (int, error) {
	if c.inHead || len(p) <= 1 {
		return c.Conn.Read(p)
	}
	// Bytes that are read one after the other are no progress, see progressBytes.
	c.limiter.setReading(c, true, time.Since(c.readEndedAt) >= evictAfter)
	n, err := c.Conn.Read(p)
	c.limiter.setReading(c, false, false)
	c.readEndedAt = time.Now()
	return n, err
}

// setReading sets whether the server waits for a part of the connection's body.
func (l *Limiter) setReading(c *conn, reading, progress bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.ledger.accounts[c]
	if a == nil || c.evicted {
		return
	}
	a.reading = reading
	if progress {
		a.progressAt = time.Now()
	}
}

// progress records that the client did its part.
func (l *Limiter) progress(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.ledger.accounts[c]; a != nil {
		a.progressAt = time.Now()
	}
}

// chargeHead charges a part of a request's head. Bytes of a body that arrive in the
// same read are charged as if they were a part of the head, except for commas.
func (c *conn) chargeHead(p []byte) error {
	if c.headBytes == 0 {
		c.limiter.setPhase(c, readingHead)
	}
	lines := bytes.Count(p, []byte("\n"))
	head, _, _ := bytes.Cut(p, []byte("\r\n\r\n"))
	items := bytes.Count(head, []byte(","))
	c.headBytes += int64(len(p) + lines*headLineBytes + items*headItemBytes)
	if c.headBytes <= freeHeadBytes+c.headCharged {
		return nil
	}
	n := (c.headBytes - freeHeadBytes - c.headCharged + headStep - 1) / headStep * headStep
	if err := c.limiter.reserve(context.Background(), c, n); err != nil {
		return err
	}
	c.headCharged += n
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() {
		c.writeDeadline.Store(0)
	} else {
		c.writeDeadline.Store(t.UnixNano())
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// Write implements net.Conn. It fails if the client takes nothing for writeTimeout, or
// at the write deadline.
func (c *conn) Write(p []byte) (int, error) {
	previous := c.limiter.setPhase(c, writing)
	defer c.limiter.setPhase(c, previous)
	written := 0
	for {
		chunk := p[written:min(len(p), written+writeStep)]
		if c.writeDeadline.Load() == 0 {
			if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
				return written, err
			}
		}
		n, err := c.Conn.Write(chunk)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
		c.limiter.progress(c)
	}
}

// CloseWrite closes the writing side of a TCP connection. net/http uses it to let a
// client read a response before the connection is reset.
func (c *conn) CloseWrite() error {
	inner, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.New("the connection has no separate writing side")
	}
	return inner.CloseWrite()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.limiter.forget(c)
	return err
}
