package gateway

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/admission"
	"github.com/hibiscuspulley/hibiscuspulley/internal/backend"
	"github.com/hibiscuspulley/hibiscuspulley/internal/connlimit"
	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/retry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
	"github.com/hibiscuspulley/hibiscuspulley/internal/settings"
	"github.com/hibiscuspulley/hibiscuspulley/internal/store"
)

const (
	// maxQueueLength limits the requests that are queued per service and model.
	// Retries are queued even above this limit.
	maxQueueLength = 64
	// readyAgeFraction is a fraction of the revocation bound. An entry reports ready
	// only while its configuration is younger than that. A bound of 0 means no
	// limit.
	readyAgeFraction = 0.55
	// operatorPollWait is how long the store may hold a feed call for
	// operators' rows. Each response, also one without rows, confirms that the
	// cached configuration and its keys are still valid.
	operatorPollWait = time.Second
	// serverPollWait is how long the store may hold a feed call for server
	// records, which change often. If the store doesn't respond, a call is
	// cancelled only after this time plus a margin.
	serverPollWait = 1500 * time.Millisecond
	// serverPollInterval is the minimum time between two feed calls for server
	// records. It batches changes, because each call is billed.
	// controllerPollInterval applies to the entry that runs the zone controller.
	// It is shorter because the controller repairs groups based on these
	// records.
	serverPollInterval     = 300 * time.Millisecond
	controllerPollInterval = 100 * time.Millisecond
	// idlePollInterval replaces serverPollInterval at the first start of the
	// whole fleet, until this entry receives its first request. The entry that
	// runs the zone controller uses controllerPollInterval instead.
	idlePollInterval = time.Second
	// idleMargin is added to the one minute for which an idle connection of a
	// caller is kept open, to avoid closing it while the caller sends a request.
	idleMargin = 2 * time.Second
	// sweepInterval is the time between two checks of the idle connections to
	// servers.
	sweepInterval = time.Second
	// maxHeaderBytes limits the size of a request's header. It is a fixed limit:
	// the gateway does not apply HeaderBytes of routes.Limits.
	maxHeaderBytes = 64 << 10
	// headerTimeout limits the time to read a request's header.
	headerTimeout = 10 * time.Second
	// shutdownAcceptPeriod is how long after the start of Shutdown the entry
	// still accepts requests. The load balancer sends new connections until two
	// readiness checks have failed. acceptFraction is the fraction of the grace time
	// after which it stops to in any case: a stream that begins later could not end
	// within that time.
	shutdownAcceptPeriod = 3 * time.Second
	acceptFraction       = 3.0 / 8
	// idleCheckInterval is how often a stopping entry checks whether it is
	// idle.
	idleCheckInterval = 100 * time.Millisecond
	// graceFraction is the fraction of the grace time after which Shutdown ends the
	// requests that are still in flight, and endFraction that for which it waits then
	// until they are answered.
	graceFraction = 5.0 / 6
	endFraction   = 1.0 / 16
)

// bounds holds the bounds from the settings. Only Retries differs from its
// settings.
type bounds struct {
	Revocation  time.Duration
	Grace       time.Duration
	BrokenAfter time.Duration
	Drain       time.Duration
	// Retries is the configured limit with its ratio and slack multiplied by
	// retryFactor.
	Retries retry.Limit
}

// Gateway is a running entry instance.
type Gateway struct {
	settings struct {
		settings.Gateway
		Bounds bounds // hides Gateway.Bounds
	}
	options
	platform    Platform
	logger      *logrus.Logger
	metrics     *metrics
	configCache *configCache
	registry    *registry.Registry
	// viewMu makes the balancer get the registry's views in their order.
	viewMu    sync.Mutex
	balancer  *dispatch.Balancer
	queues    *dispatch.Queues
	pool      *backend.Pool
	control   *controlLoop
	members   *members
	crashes   *crashDetector
	isolation *isolation
	limits    *limits
	demands   *demands
	// returns holds when rejected callers may return.
	returns *admission.Returns
	// clients bounds what callers and other clients can make the entry hold.
	clients *connlimit.Limiter
	// peers exchanges in-flight loads with the other entries.
	peers  *peers
	relays *relays
	tables []*followedTable
	// shutdownBeganAt is when Shutdown began; it is not set before that.
	shutdownBeganAt atomic.Pointer[time.Time]
	// graceOver ends the requests that are still in flight at the end of the grace time.
	graceOver    context.Context //nolint:containedctx // it belongs to the process, not to a call
	endGraceTime context.CancelFunc
	// inFlight counts the requests of callers.
	inFlight atomic.Int64
	// server serves callers. servers also holds the HTTP servers for readiness,
	// peers and metrics.
	server         *http.Server
	servers        []*http.Server
	callerListener net.Listener
	// callersAccepted is closed when no connection is accepted from callerListener any more,
	// and callerConns holds all that were.
	callersAccepted <-chan struct{}
	callerConns     connStates
	cancel          context.CancelFunc
	// spawnMu keeps spawn from adding to wg once Shutdown waits for it, which ended
	// tells.
	spawnMu sync.Mutex
	ended   bool
	wg      sync.WaitGroup

	mu      sync.Mutex
	budgets map[string]*retry.SlidingWindow
	// unrecordedLogged holds, by server, since when the record was gone that a request
	// without a record was last logged for.
	unrecordedLogged map[string]time.Time
	// earlyLoggedAt is when early returns of an organisation's callers were last
	// logged.
	earlyLoggedAt map[string]time.Time
}

// New starts an entry instance, which runs until Shutdown is called. It returns
// an error if a listener can't be opened; listeners that were opened before that
// stay open.
func New(s settings.Gateway, p Platform, logger *logrus.Logger, opts ...Option) (*Gateway, error) {
	o := newOptions(opts)
	metrics := newMetrics()
	clients := newClientLimits(&s.Limits, metrics, logger)
	poolOptions := []backend.Option{backend.WithMaxTotal(connLimit(s.Limits, backendConnShare))}
	if o.dial != nil {
		poolOptions = append(poolOptions, backend.WithDial(o.dial))
	}
	g := &Gateway{
		options:  o,
		platform: p, logger: logger, metrics: metrics, clients: clients,
		queues: dispatch.NewQueues(maxQueueLength, time.Now),
		pool:   backend.NewPool(poolOptions...), returns: admission.NewReturns(), budgets: make(map[string]*retry.SlidingWindow),
		unrecordedLogged: make(map[string]time.Time), earlyLoggedAt: make(map[string]time.Time),
	}
	g.graceOver, g.endGraceTime = context.WithCancel(context.Background())
	g.limits = newLimits(g)
	g.limits.publish(g.metrics.vars)
	g.balancer = dispatch.NewBalancer(s.Zone, dispatch.WithGrants(g.limits.holder), dispatch.WithDrainTime(s.Bounds.Drain))
	g.settings.Gateway = s
	g.settings.Bounds = bounds{
		Revocation: s.Bounds.Revocation, Grace: s.Bounds.Grace, BrokenAfter: s.Bounds.BrokenAfter,
		Drain: s.Bounds.Drain,
		Retries: retry.Limit{
			Span: s.Bounds.RetrySpan, Ratio: s.Bounds.RetryRatio * retryFactor, Slack: s.Bounds.RetrySlack * retryFactor,
		},
	}
	g.registry = registry.New(func(current, dropped *registry.Server) {
		event.ServerRecordStale.Log(logger, logrus.Fields{
			"server": current.ID, "born": current.StartTime, "orders": current.OrderCount,
			"dropped-born": dropped.StartTime, "dropped-orders": dropped.OrderCount,
		})
	})
	g.configCache = &configCache{
		platform: p, logger: logger,
		onTable:     func(t *routes.Table) { g.balancer.SetTable(t); g.orderQueues(t); g.queues.Dispatch() },
		onEvacuated: func(evacuated map[string]bool) { g.balancer.SetExcludedZones(evacuated); g.queues.Dispatch() },
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.members = newMembers(g)
	g.peers = newPeers(g)
	g.crashes = newCrashDetector(g)
	g.isolation = newIsolation(g)
	g.isolation.publish(g.metrics.vars)
	g.demands = newDemands(g)
	g.demands.publish(g.metrics.vars)
	g.tables = newTables(g)
	metrics.vars.Set("store-era", expvar.Func(func() any { return g.table(p.OperatorTable).cache.Era() }))
	g.relays = newRelays(g)
	g.control = newControlLoop(g)
	if err := g.listenAll(); err != nil {
		cancel()
		return nil, err
	}
	event.Started.Log(logger, logrus.Fields{"name": s.Name, "zone": s.Zone, "caller-address": s.CallerAddress})
	g.spawn(func() { g.followOperatorRows(ctx) })
	g.spawn(func() { g.followServers(ctx) })
	g.spawn(func() { g.members.run(ctx) })
	g.spawn(func() { g.control.run(ctx) })
	g.spawn(func() { g.peers.run(ctx) })
	g.spawn(func() { g.relays.run(ctx) })
	g.spawn(func() { g.sweep(ctx) })
	g.spawn(func() { g.isolation.follow(ctx) })
	g.spawn(func() { g.isolation.decide(ctx) })
	g.spawn(func() { g.isolation.record(ctx) })
	return g, nil
}

// retryFactor is multiplied with the configured retry limit to keep retries below
// it. Entries can exceed the limit that they apply: a restarted entry has lost the
// counts of its sliding windows, and in-flight requests are counted late.
const retryFactor = 0.85

// spawn runs f in a goroutine. Shutdown waits for it, unless Shutdown has already begun
// to wait: requests that it cut off may still be ending.
func (g *Gateway) spawn(f func()) {
	g.spawnMu.Lock()
	defer g.spawnMu.Unlock()
	if g.ended {
		go f()
		return
	}
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		f()
	}()
}

// entries returns how many entries may be sending requests to the same servers,
// at least 1.
func (g *Gateway) entries() int {
	return g.members.count()
}

// followOperatorRows applies the operators' rows to the configuration cache as
// they change.
func (g *Gateway) followOperatorRows(ctx context.Context) {
	f := g.follower(g.platform.OperatorTable, operatorPollWait)
	f.MinInterval = func() time.Duration { return 0 }
	f.Paused = func() bool { return !g.relays.mayProbe() }
	f.Run(ctx, g.platform.Store)
}

// followServers applies the server records to the registry as they change.
func (g *Gateway) followServers(ctx context.Context) {
	f := g.follower(g.platform.ServerTable, serverPollWait)
	f.MinInterval = func() time.Duration {
		switch {
		case g.control.isHolder.Load():
			return controllerPollInterval
		case g.settings.FirstStart && g.metrics.requests.Value() == 0:
			return idlePollInterval
		default:
			return serverPollInterval
		}
	}
	f.Paused = func() bool { return !g.relays.readsStore() && !g.control.isHolder.Load() }
	f.Run(ctx, g.platform.Store)
}

func (g *Gateway) follower(table string, wait time.Duration) *store.Follower {
	followed := g.table(table)
	return &store.Follower{
		Table: table, PollWait: wait, Now: g.bootClock,
		Apply:    func(u store.Update) { followed.apply(g.bootClock(), u) },
		Position: followed.cache.Version,
		Settling: func() bool { return followed.cache.Held() > 0 },
		OnUnavailable: func(err error) {
			event.PlatformUnreachable.Log(g.logger, logrus.Fields{"table": table, "error": err})
		},
		OnRecovered: func() { event.PlatformReachable.Log(g.logger, logrus.Fields{"table": table}) },
	}
}

// applyServers applies an update of the server records to the registry. If
// DecodeServer returns nil for a row, the server's record counts as deleted.
func (g *Gateway) applyServers(u store.Update) {
	now := time.Now()
	changes := make([]registry.Change, 0, len(u.Rows))
	for _, row := range u.Rows {
		c := registry.Change{ID: row.Key}
		if !row.Deleted {
			s, err := g.platform.DecodeServer(row.Key, row.Value, now)
			if err != nil {
				event.RowInvalid.Log(g.logger, logrus.Fields{"table": g.platform.ServerTable, "key": row.Key, "error": err})
			}
			c.Server = s
		}
		changes = append(changes, c)
		if g.relays.readsStore() {
			g.logServer(c, row.Version)
		}
	}
	g.registry.Apply(changes, u.Full, u.Version, u.AsOf, now)
	g.viewChanged()
}

// viewChanged makes the balancer and the controller use the newest view of the
// registry.
func (g *Gateway) viewChanged() {
	g.viewMu.Lock()
	g.balancer.SetView(g.registry.View())
	g.viewMu.Unlock()
	g.queues.Dispatch()
	g.control.wake()
}

func (g *Gateway) logServer(c registry.Change, version int64) {
	fields := logrus.Fields{"server": c.ID, "row-version": version}
	if s := c.Server; s != nil {
		fields["leaving"], fields["zone"], fields["born"] = s.Leaving, s.Zone, s.StartTime
		fields["domain"], fields["staged"], fields["loaded"] = s.Domain, s.Staged, s.Loaded
		if m := s.Member; m != nil {
			fields["group"], fields["rank"], fields["state"] = m.Group.Name, m.Rank, string(m.State)
		}
	} else {
		fields["gone"] = true
	}
	event.ServerRecordChanged.Log(g.logger, fields)
}

func (g *Gateway) sweep(ctx context.Context) {
	every(ctx, sweepInterval, func() {
		g.pool.CloseExpired()
		g.limits.forgetUnlisted(time.Now(), g.registry.View())
		g.forgetUnrecorded(g.registry.View())
	})
}
