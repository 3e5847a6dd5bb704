package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// locationPair names the two ends of a connection, in either order.
type locationPair struct {
	from string
	to   string
}

// Network connects processes in places and can cut places off from each other.
// A place is a zone, or a process in one.
type Network struct {
	listen func(address string) (net.Listener, error)
	dial   func(ctx context.Context, address string) (net.Conn, error)

	mu          sync.Mutex
	locations   map[string]string
	zones       map[string]string
	partitioned map[locationPair]bool
	// delays hold up what is sent between two places.
	delays map[locationPair]func() time.Duration
	// byteCounts counts what each place has sent and received.
	byteCounts map[string]int64
	conns      map[*faultyConn]struct{}
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
	m := &memoryNetwork{listeners: make(map[string]*memoryListener)}
	return newNetwork(m.listen, m.dial)
}

func newNetwork(listen func(string) (net.Listener, error), dial func(context.Context, string) (net.Conn, error)) *Network {
	return &Network{
		listen: listen, dial: dial,
		locations: make(map[string]string), zones: make(map[string]string), partitioned: make(map[locationPair]bool),
		delays:     make(map[locationPair]func() time.Duration),
		byteCounts: make(map[string]int64),
		conns:      make(map[*faultyConn]struct{}),
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
		n.locations[l.Addr().String()] = place
		return l, nil
	}
}

// Dialer returns a dial function for processes of the place.
func (n *Network) Dialer(place string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to := n.locationOf(address)
		if n.isPartitioned(place, to) {
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

func (n *Network) locationOf(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.locations[address]
}

func (n *Network) isPartitioned(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitionedBetween(locationPair{a, b})
}

// partitionedBetween reports whether the places, or the zones that they are in, are
// cut off from each other.
func (n *Network) partitionedBetween(ends locationPair) bool {
	for _, from := range []string{ends.from, n.zones[ends.from]} {
		for _, to := range []string{ends.to, n.zones[ends.to]} {
			if n.partitioned[locationPair{from, to}] {
				return true
			}
		}
	}
	return false
}

func (n *Network) track(conn net.Conn, from, to string) net.Conn {
	c := &faultyConn{Conn: conn, network: n, ends: locationPair{from, to}}
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
	n.partitioned[locationPair{a, b}] = true
	n.partitioned[locationPair{b, a}] = true
	for c := range n.conns {
		if n.partitionedBetween(c.ends) {
			c.blackholed.Store(true)
		}
	}
}

// EndPartition lets two places open connections to each other again.
func (n *Network) EndPartition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.partitioned, locationPair{a, b})
	delete(n.partitioned, locationPair{b, a})
}

// Delay holds up each write between two places for as long as f says, as links
// do that lose packets; nil ends that.
func (n *Network) Delay(a, b string, f func() time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[locationPair{a, b}], n.delays[locationPair{b, a}] = f, f
}

func (n *Network) delayBetween(ends locationPair) time.Duration {
	n.mu.Lock()
	f := n.delays[locationPair{n.zones[ends.from], n.zones[ends.to]}]
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
			c.blackholed.Store(true)
		}
	}
}

// faultyConn is a connection that can go silent: what it sends is lost, and
// nothing arrives any more.
type faultyConn struct {
	net.Conn
	network    *Network
	ends       locationPair
	blackholed atomic.Bool
}

// Bytes returns how many bytes the place has sent and received so far.
func (n *Network) Bytes(place string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.byteCounts[place]
}

// countBytes notes bytes that went over a connection.
func (n *Network) countBytes(ends locationPair, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.byteCounts[ends.from] += int64(bytes)
	n.byteCounts[ends.to] += int64(bytes)
}

// Read implements net.Conn.
func (c *faultyConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.blackholed.Load() {
			c.network.countBytes(c.ends, n)
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *faultyConn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	if d := c.network.delayBetween(c.ends); d > 0 {
		time.Sleep(d)
	}
	c.network.countBytes(c.ends, len(p))
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *faultyConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
