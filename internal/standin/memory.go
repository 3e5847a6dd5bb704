package standin

import (
	"context"
	"net"
	"strconv"
	"sync"
	"syscall"
)

// memoryNetwork connects clients and listeners of one process with net.Pipe.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	lastPort  int
}

type memoryAddr string

// Network implements net.Addr.
func (a memoryAddr) Network() string { return "memory" }

// String implements net.Addr.
func (a memoryAddr) String() string { return string(a) }

// memoryListener accepts connections of a memoryNetwork.
type memoryListener struct {
	memory  *memoryNetwork
	address memoryAddr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// memoryConn is the client's end of a pipe, with the listener's address.
type memoryConn struct {
	net.Conn
	remote memoryAddr
}

// RemoteAddr implements net.Conn.
func (c memoryConn) RemoteAddr() net.Addr { return c.remote }

// listen opens a listener at the address. Port 0 selects a free port.
func (m *memoryNetwork) listen(address string) (net.Listener, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	if port == "0" {
		m.lastPort++
		address = net.JoinHostPort(host, strconv.Itoa(m.lastPort))
	}
	if m.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "memory", Addr: memoryAddr(address), Err: net.ErrClosed}
	}
	l := &memoryListener{
		memory: m, address: memoryAddr(address),
		conns: make(chan net.Conn), closed: make(chan struct{}),
	}
	m.listeners[address] = l
	return l, nil
}

func (m *memoryNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	m.mu.Lock()
	l := m.listeners[address]
	m.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: "memory", Addr: memoryAddr(address), Err: syscall.ECONNREFUSED}
	if l == nil {
		return nil, refused
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return memoryConn{Conn: near, remote: l.address}, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "memory", Addr: l.address, Err: ctx.Err()}
	}
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.memory.mu.Lock()
		defer l.memory.mu.Unlock()
		delete(l.memory.listeners, string(l.address))
	})
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return l.address }
