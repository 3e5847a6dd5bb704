// Package loopback has addresses for the listeners of processes that tests start.
package loopback

import (
	"io"
	"net"

	"github.com/pkg/errors"
)

// anyPort is a free port of a loopback address that isn't the source of connections to
// 127.0.0.1. Otherwise such a connection could take a port before its listener opens.
const anyPort = "127.0.0.2:0"

// Unused returns n different addresses that no listener uses.
func Unused(n int) ([]string, error) {
	addresses := make([]string, n)
	for i := range addresses {
		l, err := net.Listen("tcp", anyPort)
		if err != nil {
			return nil, errors.Wrap(err, "find an unused loopback address")
		}
		defer l.Close() // only at the end: a closed port could be found again
		addresses[i] = l.Addr().String()
	}
	return addresses, nil
}

// ReadLate listens for one connection, of which it reads nothing before end is called. end
// returns the error with which the connection ends then, or nil if the peer has closed it.
func ReadLate() (address string, end func() error, err error) {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", nil, errors.Wrap(err, "listen")
	}
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			accepted <- c
		}
		close(accepted)
	}()
	return l.Addr().String(), func() error {
		defer l.Close()
		c, ok := <-accepted
		if !ok {
			return errors.New("no connection was accepted")
		}
		defer c.Close()
		_, err := io.Copy(io.Discard, c)
		return err
	}, nil
}
