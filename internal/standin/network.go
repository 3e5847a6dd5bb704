package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// locationPair holds the locations of the two ends of a connection.
type locationPair struct {
	from string
	to   string
}

// Network connects processes and injects faults between locations: partitions,
// delays and connections that drop all data. A location is a zone or a single
// process in a zone.
type Network struct {
	listen func(address string) (net.Listener, error)
	dial   func(ctx context.Context, address string) (net.Conn, error)

	mu sync.Mutex
	// locations maps listener addresses to the locations that they belong to.
	locations map[string]string
	// zones maps processes to their zones.
	zones       map[string]string
	partitioned map[locationPair]bool
	// delays return the delay of the next write between two zones.
	delays map[locationPair]func() time.Duration
	// byteCounts counts the bytes that each location has sent and received.
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

// NewMemory returns a Network within the process, for tests in virtual time.
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

// AssignZone makes a process a location of its own within a zone, so that it can
// be partitioned separately.
func (n *Network) AssignZone(process, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[process] = zone
}

// Listener returns a listen function for processes at the location.
func (n *Network) Listener(location string) func(network, address string) (net.Listener, error) {
	return func(_, address string) (net.Listener, error) {
		l, err := n.listen(address)
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.locations[l.Addr().String()] = location
		return l, nil
	}
}

// Dialer returns a dial function for processes at the location. Across a
// partition a dial blocks until its context ends.
func (n *Network) Dialer(location string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to := n.locationOf(address)
		if n.isPartitioned(location, to) {
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
		}
		conn, err := n.dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return n.track(conn, location, to), nil
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

// partitionedBetween reports whether the locations, or the zones that contain
// them, are partitioned from each other.
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

// Partition separates two locations. Connections that are open between them drop
// all data from now on, also after EndPartition; new connections can't be opened.
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

// EndPartition lets two locations open new connections to each other.
func (n *Network) EndPartition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.partitioned, locationPair{a, b})
	delete(n.partitioned, locationPair{b, a})
}

// Delay delays each write between two zones by the duration that f returns, as
// retransmissions on a lossy link do. A nil f removes the delay.
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

// Blackhole makes all open connections to an address drop all data from now on.
// New connections work.
func (n *Network) Blackhole(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.RemoteAddr().String() == address {
			c.blackholed.Store(true)
		}
	}
}

// faultyConn is a connection that can be blackholed: it then drops the data that
// it sends and receives, without an error.
type faultyConn struct {
	net.Conn
	network    *Network
	ends       locationPair
	blackholed atomic.Bool
}

// Bytes returns how many bytes the location has sent and received so far.
func (n *Network) Bytes(location string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.byteCounts[location]
}

// countBytes adds bytes that a connection carried to the counts of both ends.
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
