package gateway

import (
	"net"
	"net/http"
	"slices"
	"sync"
)

// connStates holds the callers' connections on which a request is awaited for the
// first time or in progress. It is safe for concurrent use.
type connStates struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// set records the state of a connection, as a hook of http.Server.
func (c *connStates) set(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		if c.conns == nil {
			c.conns = make(map[net.Conn]struct{})
		}
		c.conns[conn] = struct{}{}
	case http.StateIdle, http.StateHijacked, http.StateClosed:
		delete(c.conns, conn)
	}
}

func (c *connStates) busy() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// addresses returns the callers' addresses of the connections that are busy.
func (c *connStates) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	addresses := make([]string, 0, len(c.conns))
	for conn := range c.conns {
		addresses = append(addresses, conn.RemoteAddr().String())
	}
	slices.Sort(addresses)
	return addresses
}
