package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// placePair names the two ends of a connection, in either order.
type placePair struct {
	from string
	to   string
}

// Network connects processes in places and can cut places off from each other.
// A place is a zone, or a process in one.
type Network struct {
	listen func(address string) (net.Listener, error)
	dial   func(ctx context.Context, address string) (net.Conn, error)

	mu     sync.Mutex
	places map[string]string
	zones  map[string]string
	cut    map[placePair]bool
	// delays hold up what is sent between two places.
	delays map[placePair]func() time.Duration
	// bytes counts what each place has sent and received.
	bytes map[string]int64
	conns map[*silentConn]struct{}
}

// NewLoopback returns a Network over TCP on the loopback address.
func NewLoopback() *Network {
	var dialer net.Dialer
	return newNetwork(
		func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		})
}

// NewMemory returns a Network within the process, for virtual time.
func NewMemory() *Network {
	m := &memory{listeners: make(map[string]*memoryListener)}
	return newNetwork(m.listen, m.dial)
}

func newNetwork(listen func(string) (net.Listener, error), dial func(context.Context, string) (net.Conn, error)) *Network {
	return &Network{
		listen: listen, dial: dial,
		places: make(map[string]string), zones: make(map[string]string), cut: make(map[placePair]bool),
		delays: make(map[placePair]func() time.Duration),
		bytes:  make(map[string]int64),
		conns:  make(map[*silentConn]struct{}),
	}
}

// AssignZone says that a process is a place of its own in a zone.
func (n *Network) AssignZone(process, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[process] = zone
}

// Listener returns a listen function for processes of the place.
func (n *Network) Listener(place string) func(network, address string) (net.Listener, error) {
	return func(_, address string) (net.Listener, error) {
		l, err := n.listen(address)
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.places[l.Addr().String()] = place
		return l, nil
	}
}

// Dialer returns a dial function for processes of the place.
func (n *Network) Dialer(place string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to := n.placeOf(address)
		if n.isCut(place, to) {
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
		}
		conn, err := n.dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return n.track(conn, place, to), nil
	}
}

func (n *Network) placeOf(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.places[address]
}

func (n *Network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutBetween(placePair{a, b})
}

// cutBetween reports whether the places, or the zones that they are in, are
// cut off from each other.
func (n *Network) cutBetween(ends placePair) bool {
	for _, from := range []string{ends.from, n.zones[ends.from]} {
		for _, to := range []string{ends.to, n.zones[ends.to]} {
			if n.cut[placePair{from, to}] {
				return true
			}
		}
	}
	return false
}

func (n *Network) track(conn net.Conn, from, to string) net.Conn {
	c := &silentConn{Conn: conn, network: n, ends: placePair{from, to}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = struct{}{}
	return c
}

// Partition separates two places: open connections go silent for good, new ones
// can't be opened.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[placePair{a, b}] = true
	n.cut[placePair{b, a}] = true
	for c := range n.conns {
		if n.cutBetween(c.ends) {
			c.silent.Store(true)
		}
	}
}

// EndPartition lets two places open connections to each other again.
func (n *Network) EndPartition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, placePair{a, b})
	delete(n.cut, placePair{b, a})
}

// Delay holds up each write between two places for as long as f says, as links
// do that lose packets; nil ends that.
func (n *Network) Delay(a, b string, f func() time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[placePair{a, b}], n.delays[placePair{b, a}] = f, f
}

func (n *Network) delayBetween(ends placePair) time.Duration {
	n.mu.Lock()
	f := n.delays[placePair{n.zones[ends.from], n.zones[ends.to]}]
	n.mu.Unlock()
	if f == nil {
		return 0
	}
	return f()
}

// Blackhole makes all open connections to an address silent for good; new ones
// work.
func (n *Network) Blackhole(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.RemoteAddr().String() == address {
			c.silent.Store(true)
		}
	}
}

// silentConn is a connection that can go silent: what it sends is lost, and
// nothing arrives any more.
type silentConn struct {
	net.Conn
	network *Network
	ends    placePair
	silent  atomic.Bool
}

// Bytes returns how many bytes the place has sent and received so far.
func (n *Network) Bytes(place string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[place]
}

// count notes bytes that went over a connection.
func (n *Network) count(ends placePair, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes[ends.from] += int64(bytes)
	n.bytes[ends.to] += int64(bytes)
}

// Read implements net.Conn.
func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			c.network.count(c.ends, n)
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	if d := c.network.delayBetween(c.ends); d > 0 {
		time.Sleep(d)
	}
	c.network.count(c.ends, len(p))
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *silentConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
