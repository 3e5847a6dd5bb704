package site_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/gateway"
	"github.com/hibiscuspulley/hibiscuspulley/internal/settings"
)

const (
	revocation  = 5 * time.Second
	grace       = 8 * time.Second
	brokenAfter = 6 * time.Second
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	retrySlack  = 5
	maxAttempts = 2
	leaseTable  = "stewards"
)

// machine is the instance that runs an entry. The entry's process can be killed
// and restarted.
type machine struct {
	site *site
	name string
	zone string
	host string

	mu      sync.Mutex
	process *process
	starts  int
	// afterLeaseWrite runs once, after the store has committed the process's
	// lease or group records and before the process receives the response.
	afterLeaseWrite func()
	// clockOffset is added to the boot clock, which counts suspended time.
	clockOffset atomic.Int64
}

// process is one run of an entry.
type process struct {
	machine  *machine
	endpoint string
	gateway  *gateway.Gateway
	dead     chan struct{}

	mu        sync.Mutex
	closed    bool
	conns     map[net.Conn]struct{}
	listeners []net.Listener
	// thawed is closed while the process runs and open while it is frozen.
	thawed chan struct{}
}

func (s *site) newMachine(name, zone string) *machine {
	return &machine{site: s, name: name, zone: zone, host: fmt.Sprintf("10.0.%d.1", len(s.machines)+1)}
}

func (m *machine) address() string { return m.host + ":80" }

// start starts the machine's process unless it is running.
func (s *site) start(m *machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		return // another fault case has started it
	}
	m.starts++
	thawed := make(chan struct{})
	close(thawed)
	p := &process{
		machine: m, endpoint: fmt.Sprintf("%s#%d", m.name, m.starts), dead: make(chan struct{}),
		conns: map[net.Conn]struct{}{}, thawed: thawed,
	}
	s.network.AssignZone(p.endpoint, m.zone)
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{})
	logger.SetOutput(s.checker.logWriter(p.endpoint))
	entry, err := gateway.New(settings.Gateway{
		Name: m.name, Zone: m.zone, Zones: zones, FirstStart: m.starts == 1,
		CallerAddress: m.address(), ReadinessAddress: m.host + ":81", ReadinessPath: "/ready",
		PeerAddress: m.host + ":82", PeerKey: "between entries",
		Bounds: settings.GatewayBounds{
			Revocation: revocation, Grace: grace, BrokenAfter: brokenAfter, Drain: s.drain, RetrySpan: retryWindow, RetryRatio: retryRatio, RetrySlack: retrySlack,
		},
	}, s.platform(p), logger,
		gateway.WithListen(p.listen), gateway.WithDial(p.dial), gateway.WithBootClock(m.bootClock))
	require.NoError(s.t, err)
	p.gateway = entry
	m.process = p
}

func (m *machine) bootClock() time.Time {
	return time.Now().Add(time.Duration(m.clockOffset.Load()))
}

func (m *machine) current() *process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process
}

// ready reports whether a load balancer would send requests to the machine.
func (m *machine) ready() bool {
	p := m.current()
	return p != nil && p.gateway.Ready()
}

// kill ends the process at once. After a power loss its connections become
// silent; otherwise they are closed.
func (s *site) kill(m *machine, powerLoss bool) {
	m.mu.Lock()
	p := m.process
	m.process = nil
	m.mu.Unlock()
	if p != nil {
		p.kill(powerLoss)
	}
}

func (p *process) kill(powerLoss bool) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.closed = true
	close(p.dead)
	if powerLoss {
		p.machine.site.isolate(p.endpoint)
	}
	for _, l := range p.listeners {
		_ = l.Close()
	}
	if !powerLoss {
		for c := range p.conns {
			_ = c.Close()
		}
	}
	p.mu.Unlock()
	// The goroutines of the dead gateway can no longer reach anything.
	p.machine.site.wg.Go(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		p.gateway.Shutdown(ctx)
	})
}

// freeze suspends the process for d. Its outgoing messages are delayed until it
// resumes.
func (s *site) freeze(m *machine, d time.Duration) {
	p := m.current()
	if p == nil {
		return
	}
	p.mu.Lock()
	thawed := make(chan struct{})
	p.thawed = thawed
	p.mu.Unlock()
	s.isolate(p.endpoint)
	s.wg.Go(func() {
		time.Sleep(d)
		s.reconnect(p.endpoint)
		close(thawed)
	})
}

// awaitThaw blocks while the process is frozen. It returns false if the process
// is dead.
func (p *process) awaitThaw() bool {
	p.mu.Lock()
	thawed := p.thawed
	p.mu.Unlock()
	select {
	case <-p.dead:
		return false
	case <-thawed:
		return true
	}
}

// shutDown stops the process gracefully.
func (s *site) shutDown(m *machine) {
	p := m.current()
	if p == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	p.gateway.Shutdown(ctx)
	p.kill(false)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == p {
		m.process = nil
	}
}

func (p *process) listen(network, address string) (net.Listener, error) {
	l, err := p.machine.site.network.Listener(p.endpoint)(network, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners = append(p.listeners, l)
	return &processListener{Listener: l, process: p}, nil
}

type processListener struct {
	net.Listener
	process *process
}

func (l *processListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.process.track(c)
}

func (p *process) dial(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case <-p.dead:
		return nil, errors.New("the process has ended")
	default:
	}
	c, err := p.machine.site.dial(ctx, p.endpoint, network, address)
	if err != nil {
		return nil, err
	}
	return p.track(c)
}

func (p *process) track(c net.Conn) (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return nil, errors.New("the process has ended")
	}
	t := &trackedConn{Conn: c, process: p}
	p.conns[t] = struct{}{}
	return t, nil
}

type trackedConn struct {
	net.Conn
	process *process
}

func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	go func() { // kill closes connections with the lock held
		c.process.mu.Lock()
		defer c.process.mu.Unlock()
		delete(c.process.conns, c)
	}()
	return err
}

// allMachines returns a copy of the list of machines.
func (s *site) allMachines() []*machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.machines)
}
