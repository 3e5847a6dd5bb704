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
	repeatSpan  = 10 * time.Second
	repeatRatio = 0.2
	repeatSlack = 5
	maxAttempts = 2
	leaseTable  = "stewards"
)

// machine is the instance of an entry. Its process may be killed and start
// again.
type machine struct {
	site *site
	name string
	zone string
	host string

	mu      sync.Mutex
	process *process
	starts  int
	// afterLease runs once, right after the process has written its lease or
	// the records of groups, before it learns that.
	afterLease func()
	// jumped is how far the clock that counts suspended time went ahead.
	jumped atomic.Int64
}

// process is one life of an entry.
type process struct {
	machine *machine
	place   string
	gateway *gateway.Gateway
	dead    chan struct{}

	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]struct{}
	lists  []net.Listener
	// thawed is closed while the process runs, and open while it is frozen.
	thawed chan struct{}
}

func (s *site) newMachine(name, zone string) *machine {
	return &machine{site: s, name: name, zone: zone, host: fmt.Sprintf("10.0.%d.1", len(s.machines)+1)}
}

func (m *machine) address() string { return m.host + ":80" }

// start runs the machine's process.
func (s *site) start(m *machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		return // another trouble has started it
	}
	m.starts++
	thawed := make(chan struct{})
	close(thawed)
	p := &process{
		machine: m, place: fmt.Sprintf("%s#%d", m.name, m.starts), dead: make(chan struct{}),
		conns: map[net.Conn]struct{}{}, thawed: thawed,
	}
	s.network.AssignZone(p.place, m.zone)
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{})
	logger.SetOutput(s.witness.log(p.place))
	entry, err := gateway.New(settings.Gateway{
		Name: m.name, Zone: m.zone, Zones: zones, FirstStart: m.starts == 1,
		CallerAddress: m.address(), ReadinessAddress: m.host + ":81", ReadinessPath: "/ready",
		PeerAddress: m.host + ":82", PeerKey: "between entries",
		Bounds: settings.GatewayBounds{
			Revocation: revocation, Grace: grace, BrokenAfter: brokenAfter, RetrySpan: repeatSpan, RetryRatio: repeatRatio, RetrySlack: repeatSlack,
		},
	}, s.platform(p), logger,
		gateway.WithListen(p.listen), gateway.WithDial(p.dial), gateway.WithBootClock(m.bootClock))
	require.NoError(s.t, err)
	p.gateway = entry
	m.process = p
}

func (m *machine) bootClock() time.Time {
	return time.Now().Add(time.Duration(m.jumped.Load()))
}

func (m *machine) current() *process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process
}

// ready reports whether a balancer would send callers here.
func (m *machine) ready() bool {
	p := m.current()
	return p != nil && p.gateway.Ready()
}

// kill ends the process at once. Without power its connections fall silent.
func (s *site) kill(m *machine, power bool) {
	m.mu.Lock()
	p := m.process
	m.process = nil
	m.mu.Unlock()
	if p != nil {
		p.kill(power)
	}
}

func (p *process) kill(power bool) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.closed = true
	close(p.dead)
	if power {
		p.machine.site.cutOff(p.place)
	}
	for _, l := range p.lists {
		_ = l.Close()
	}
	if !power {
		for c := range p.conns {
			_ = c.Close()
		}
	}
	p.mu.Unlock()
	// What is left of the process reaches nothing any more.
	p.machine.site.wg.Go(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		p.gateway.Shutdown(ctx)
	})
}

// freeze stops the process for a while: what it was about to send leaves when
// it goes on.
func (s *site) freeze(m *machine, d time.Duration) {
	p := m.current()
	if p == nil {
		return
	}
	p.mu.Lock()
	thawed := make(chan struct{})
	p.thawed = thawed
	p.mu.Unlock()
	s.cutOff(p.place)
	s.wg.Go(func() {
		time.Sleep(d)
		s.bringBack(p.place)
		close(thawed)
	})
}

// await blocks while the process is frozen, and for ever once it is dead.
func (p *process) await() bool {
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

// end stops the process in an orderly way.
func (s *site) end(m *machine) {
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
	l, err := p.machine.site.network.Listener(p.place)(network, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, l)
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
	c, err := p.machine.site.dial(ctx, p.place, network, address)
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

// allMachines returns the machines of this moment.
func (s *site) allMachines() []*machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.machines)
}
