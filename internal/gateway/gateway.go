package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/backend"
	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/retry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
	"github.com/hibiscuspulley/hibiscuspulley/internal/settings"
	"github.com/hibiscuspulley/hibiscuspulley/internal/store"
)

const (
	// lineLength bounds how many requests of a service and model wait.
	lineLength = 64
	// readyEvidence is the part of the revocation bound that evidence may be
	// old while the entry says that it is ready.
	readyEvidence = 0.55
	// operatorWait is how long the store may hold the call for operators'
	// rows: its answers are the evidence that keys are still valid.
	operatorWait = time.Second
	// serverWait is the same for servers' entries, which change often.
	// While the store is silent, a call is given up only after this time and
	// some more.
	serverWait = 1500 * time.Millisecond
	// serverPace and stewardPace batch changes of servers' entries; each call
	// is paid for. The zone's steward repairs by them.
	serverPace  = 300 * time.Millisecond
	stewardPace = 100 * time.Millisecond
	// leadPace is that of entries that wait for the fleet's first request.
	leadPace = time.Second
	// idleMargin is how much longer than the configuration's limit idle
	// connections are kept, so that callers' requests don't cross a close.
	idleMargin = 2 * time.Second
	// sweepEvery is how often idle connections to servers are looked at.
	sweepEvery = time.Second
	// maxHeaderBytes bounds a request's head until a configuration is known.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds the time to read a request's head.
	headerTimeout = 10 * time.Second
	// serveWhileStopping is how long after SIGTERM requests are still taken: the
	// balancer sends new connections for two more questions, and a stream that
	// begins later would not end in time.
	serveWhileStopping = 3 * time.Second
	// idleCheck is how often a stopping entry looks whether it may end.
	idleCheck = 100 * time.Millisecond
	// graceUsed is the part of the grace time after which requests in progress
	// are cut.
	graceUsed = 5.0 / 6
)

// Bounds are the settings' bounds in the types of the packages that keep them.
type bounds struct {
	Revocation time.Duration
	Grace      time.Duration
	Repeats    retry.Bound
}

// Gateway is a running entry.
type Gateway struct {
	settings struct {
		settings.Gateway
		Bounds bounds
	}
	options
	platform Platform
	logger   *logrus.Logger
	metrics  *metrics
	beliefs  *beliefs
	registry *registry.Registry
	balancer *dispatch.Balancer
	lines    *dispatch.Lines
	pool     *backend.Pool
	steward  *stewardship
	members  *members
	// neighbours are the zone's other entries.
	neighbours *neighbours
	stopping   atomic.Bool
	// stoppedAt is when stopping began, in Unix nanoseconds.
	stoppedAt atomic.Int64
	inFlight  atomic.Int64
	server    *http.Server
	servers   []*http.Server
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	mu      sync.Mutex
	budgets map[string]*retry.Window
}

// New starts an entry.
func New(s settings.Gateway, p Platform, logger *logrus.Logger, opts ...Option) (*Gateway, error) {
	o := newOptions(opts)
	var poolOptions []backend.Option
	if o.dial != nil {
		poolOptions = append(poolOptions, backend.WithDial(o.dial))
	}
	g := &Gateway{
		options:  o,
		platform: p, logger: logger, metrics: newMetrics(),
		balancer: dispatch.NewBalancer(s.Zone), lines: dispatch.NewLines(lineLength, time.Now),
		pool: backend.NewPool(poolOptions...), budgets: make(map[string]*retry.Window),
	}
	g.settings.Gateway = s
	g.settings.Bounds = bounds{
		Revocation: s.Bounds.Revocation, Grace: s.Bounds.Grace,
		Repeats: retry.Bound{
			Span: s.Bounds.RepeatSpan, Ratio: s.Bounds.RepeatRatio * repeatMargin, Slack: s.Bounds.RepeatSlack * repeatMargin,
		},
	}
	g.registry = registry.New(func(known, dropped *registry.Server) {
		event.ServerEntryStale.Log(logger, logrus.Fields{
			"server": known.ID, "born": known.Born, "orders": known.Orders,
			"dropped-born": dropped.Born, "dropped-orders": dropped.Orders,
		})
	})
	g.beliefs = &beliefs{
		platform: p, logger: logger,
		onTable: func(t *routes.Table) { g.balancer.SetTable(t); g.lines.Pump() },
		onOut:   func(out map[string]bool) { g.balancer.SetOut(out); g.lines.Pump() },
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.members = newMembers(g)
	g.neighbours = newNeighbours(g)
	g.steward = newStewardship(g)
	if err := g.listenAll(); err != nil {
		cancel()
		return nil, err
	}
	event.Started.Log(logger, logrus.Fields{"name": s.Name, "zone": s.Zone, "caller-address": s.CallerAddress})
	g.loop(func() { g.follow(ctx) })
	g.loop(func() { g.followServers(ctx) })
	g.loop(func() { g.members.run(ctx) })
	g.loop(func() { g.steward.run(ctx) })
	g.loop(func() { g.neighbours.run(ctx) })
	g.loop(func() { g.sweep(ctx) })
	return g, nil
}

// repeatMargin keeps repeats below their bound: windows of entries that start
// anew forget, and requests still under way count later.
const repeatMargin = 0.85

func (g *Gateway) loop(f func()) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		f()
	}()
}

func (g *Gateway) listenAll() error {
	g.server = &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		IdleTimeout: time.Minute + idleMargin,
	}
	if err := g.serve(g.server, g.settings.CallerAddress); err != nil {
		return err
	}
	ready := http.NewServeMux()
	ready.HandleFunc(g.settings.ReadinessPath, g.answerReadiness)
	if err := g.serve(&http.Server{Handler: ready, ReadHeaderTimeout: headerTimeout}, g.settings.ReadinessAddress); err != nil {
		return err
	}
	if g.settings.PeerAddress != "" {
		exchange := http.NewServeMux()
		exchange.Handle(exchangePath, g.neighbours.server)
		if err := g.serve(&http.Server{Handler: exchange, ReadHeaderTimeout: headerTimeout}, g.settings.PeerAddress); err != nil {
			return err
		}
	}
	if g.settings.MetricsAddress == "" {
		return nil
	}
	counters := http.NewServeMux()
	counters.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(g.metrics.vars.String()))
	})
	return g.serve(&http.Server{Handler: counters, ReadHeaderTimeout: headerTimeout}, g.settings.MetricsAddress)
}

func (g *Gateway) serve(s *http.Server, address string) error {
	l, err := g.listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	g.servers = append(g.servers, s)
	g.loop(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			event.ListenerFailed.Log(g.logger, logrus.Fields{"address": address, "error": err})
		}
	})
	return nil
}

// Ready reports whether the entry should get new connections.
func (g *Gateway) Ready() bool {
	if g.stopping.Load() || g.beliefs.table.Load() == nil || g.registry.View().Version == 0 {
		return false
	}
	bound := g.settings.Bounds.Revocation
	return bound == 0 || g.bootClock().Sub(g.beliefs.evidence()) < time.Duration(float64(bound)*readyEvidence)
}

func (g *Gateway) answerReadiness(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// entries returns how many entries may be sending to the same servers.
func (g *Gateway) entries() int {
	return g.members.count()
}

// follow keeps up with the operators' rows.
func (g *Gateway) follow(ctx context.Context) {
	f := g.follower(g.platform.OperatorTable, operatorWait)
	f.Pace = func() time.Duration { return 0 }
	f.Apply = g.beliefs.apply
	f.Run(ctx, g.platform.Store)
}

// followServers keeps up with the servers' entries.
func (g *Gateway) followServers(ctx context.Context) {
	f := g.follower(g.platform.ServerTable, serverWait)
	f.Pace = func() time.Duration {
		switch {
		case g.steward.leads.Load():
			return stewardPace
		case g.settings.FirstStart && g.metrics.requests.Value() == 0:
			return leadPace
		default:
			return serverPace
		}
	}
	f.Apply = g.applyServers
	f.Run(ctx, g.platform.Store)
}

func (g *Gateway) follower(table string, wait time.Duration) *store.Follower {
	return &store.Follower{
		Table: table, Wait: wait, Now: g.bootClock,
		Lost: func(err error) {
			event.PlatformLost.Log(g.logger, logrus.Fields{"table": table, "error": err})
		},
		Regained: func() { event.PlatformBack.Log(g.logger, logrus.Fields{"table": table}) },
	}
}

func (g *Gateway) applyServers(u store.Update) {
	now := time.Now()
	changes := make([]registry.Change, 0, len(u.Rows))
	for _, row := range u.Rows {
		c := registry.Change{ID: row.Key}
		if !row.Deleted {
			s, err := g.platform.DecodeServer(row.Key, row.Value, now)
			if err != nil {
				event.RowUnreadable.Log(g.logger, logrus.Fields{"table": g.platform.ServerTable, "key": row.Key, "error": err})
			}
			c.Server = s
		}
		changes = append(changes, c)
		g.logServer(c, row.Version)
	}
	v := g.registry.Apply(changes, u.Whole, u.Version, u.AsOf, now)
	g.balancer.SetView(v)
	g.lines.Pump()
	g.steward.kick()
}

func (g *Gateway) logServer(c registry.Change, version int64) {
	fields := logrus.Fields{"server": c.ID, "row-version": version}
	if s := c.Server; s != nil {
		fields["leaving"], fields["zone"], fields["born"] = s.Leaving, s.Zone, s.Born
		fields["domain"], fields["staged"], fields["loaded"] = s.Domain, s.Staged, s.Loaded
		if m := s.Member; m != nil {
			fields["group"], fields["rank"], fields["state"] = m.Group.Name, m.Rank, string(m.State)
		}
	} else {
		fields["gone"] = true
	}
	event.ServerEntry.Log(g.logger, fields)
}

func (g *Gateway) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.pool.Sweep()
		}
	}
}

func (g *Gateway) stopBegan() time.Time { return time.Unix(0, g.stoppedAt.Load()) }

// Shutdown takes the entry out of rotation, goes on serving open connections
// while callers use them, and ends within the grace time.
func (g *Gateway) Shutdown(ctx context.Context) {
	g.stoppedAt.Store(time.Now().UnixNano())
	g.stopping.Store(true)
	event.Stopping.Log(g.logger, logrus.Fields{})
	ctx, cancel := context.WithTimeout(ctx, time.Duration(float64(g.settings.Bounds.Grace)*graceUsed))
	defer cancel()
	g.steward.resign(ctx)
	g.awaitIdle(ctx)
	g.cancel()
	for _, s := range g.servers {
		_ = s.Close()
	}
	g.wg.Wait()
	event.Stopped.Log(g.logger, logrus.Fields{})
}

// awaitIdle returns once no request is served and none would be, or when ctx
// ends.
func (g *Gateway) awaitIdle(ctx context.Context) {
	ticker := time.NewTicker(idleCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			event.ShutdownTimedOut.Log(g.logger, logrus.Fields{"requests": g.inFlight.Load()})
			return
		case now := <-ticker.C:
			if g.inFlight.Load() == 0 && now.Sub(g.stopBegan()) > serveWhileStopping+idleCheck {
				return
			}
		}
	}
}

// lastAddress returns the address of a server that has no entry any more.
func (g *Gateway) lastAddress(id string) string {
	if s := g.registry.View().Former[id]; s != nil {
		return s.Address
	}
	return ""
}
