package connlimit

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"net"
	"time"

	"github.com/pkg/errors"
)

const (
	// tlsBytes is what TLS takes for an idle connection: its keys, and a record that
	// has arrived.
	tlsBytes = 20 << 10
	// freeSealedBytes is the size of the records that tlsBytes covers.
	freeSealedBytes = 18 << 10
	// sealedCopies is how many times TLS holds a message that spans several records: its
	// buffer grows by doubling, and the smaller one before is still in memory.
	sealedCopies = 3
)

// sealedConn is the connection below TLS. It charges what TLS has read without
// delivering any of it: messages of a handshake may span many records.
type sealedConn struct {
	net.Conn
	owner *conn
}

// useTLS makes c serve TLS.
func (c *conn) useTLS(cfg *tls.Config) {
	below := c.Conn
	t := tls.Server(&sealedConn{Conn: below, owner: c}, cfg)
	c.Conn = t
	c.handshake = func() error {
		// The server's messages must not wait for a client that takes none.
		if err := below.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		err := t.HandshakeContext(context.Background()) // until the read deadline of the head
		if err != nil {
			reportHandshakeError(c, below, err)
		}
		c.releaseSealed()
		return err
	}
}

// reportHandshakeError does what net/http does after a handshake has failed. net/http
// can't do it, since it does not know that a conn uses TLS.
func reportHandshakeError(c *conn, below net.Conn, err error) {
	var record tls.RecordHeaderError
	if errors.As(err, &record) && record.Conn != nil && looksLikeHTTP(record.RecordHeader) {
		_, _ = io.WriteString(below, "HTTP/1.0 400 Bad Request\r\n\r\nClient sent an HTTP request to an HTTPS server.\n")
		err = errors.New("client sent an HTTP request to an HTTPS server")
	}
	log.Printf("http: TLS handshake error from %s: %v", c.RemoteAddr(), err)
}

// looksLikeHTTP reports whether the start of a connection is that of an HTTP request
// without TLS.
func looksLikeHTTP(start [5]byte) bool {
	switch string(start[:]) {
	case "GET /", "HEAD ", "POST ", "PUT /", "OPTIO":
		return true
	}
	return false
}

// releaseSealed releases what TLS has read: it has delivered it, or used it up.
func (c *conn) releaseSealed() {
	c.limiter.release(c, c.sealedCharged)
	c.sealed, c.sealedCharged = 0, 0
}

// Read implements net.Conn. It fails if there is no memory for what TLS buffers.
func (s *sealedConn) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	c := s.owner
	c.sealed += int64(n)
	if due := sealedCopies*(c.sealed-freeSealedBytes) - c.sealedCharged; due > 0 {
		due = (due + headStep - 1) / headStep * headStep
		if chargeErr := c.limiter.reserve(context.Background(), c, due); chargeErr != nil {
			return 0, chargeErr
		}
		c.sealedCharged += due
	}
	return n, err
}

// closeBelowTLS closes the connection at once. The Close of TLS may wait for a client
// that takes no alert.
func (c *conn) closeBelowTLS() error {
	if t, ok := c.Conn.(*tls.Conn); ok {
		return t.NetConn().Close()
	}
	return c.Conn.Close()
}
