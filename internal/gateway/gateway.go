package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

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

// bounds are the settings' bounds in the types of the packages that keep them.
type bounds struct {
	Revocation time.Duration
	Grace      time.Duration
	Broken     time.Duration
	Repeats    retry.Limit
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
	lines    *dispatch.Queues
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
	budgets map[string]*retry.SlidingWindow
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
		balancer: dispatch.NewBalancer(s.Zone), lines: dispatch.NewQueues(lineLength, time.Now),
		pool: backend.NewPool(poolOptions...), budgets: make(map[string]*retry.SlidingWindow),
	}
	g.settings.Gateway = s
	g.settings.Bounds = bounds{
		Revocation: s.Bounds.Revocation, Grace: s.Bounds.Grace, Broken: s.Bounds.Broken,
		Repeats: retry.Limit{
			Span: s.Bounds.RepeatSpan, Ratio: s.Bounds.RepeatRatio * repeatMargin, Slack: s.Bounds.RepeatSlack * repeatMargin,
		},
	}
	g.registry = registry.New(func(known, dropped *registry.Server) {
		event.ServerEntryStale.Log(logger, logrus.Fields{
			"server": known.ID, "born": known.StartTime, "orders": known.OrderCount,
			"dropped-born": dropped.StartTime, "dropped-orders": dropped.OrderCount,
		})
	})
	g.beliefs = &beliefs{
		platform: p, logger: logger,
		onTable: func(t *routes.Table) { g.balancer.SetTable(t); g.lines.Dispatch() },
		onOut:   func(out map[string]bool) { g.balancer.SetExcludedZones(out); g.lines.Dispatch() },
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

// entries returns how many entries may be sending to the same servers.
func (g *Gateway) entries() int {
	return g.members.count()
}

// follow keeps up with the operators' rows.
func (g *Gateway) follow(ctx context.Context) {
	f := g.follower(g.platform.OperatorTable, operatorWait)
	f.MinInterval = func() time.Duration { return 0 }
	f.Apply = g.beliefs.apply
	f.Run(ctx, g.platform.Store)
}

// followServers keeps up with the servers' entries.
func (g *Gateway) followServers(ctx context.Context) {
	f := g.follower(g.platform.ServerTable, serverWait)
	f.MinInterval = func() time.Duration {
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
		Table: table, PollWait: wait, Now: g.bootClock,
		OnUnavailable: func(err error) {
			event.PlatformLost.Log(g.logger, logrus.Fields{"table": table, "error": err})
		},
		OnRecovered: func() { event.PlatformBack.Log(g.logger, logrus.Fields{"table": table}) },
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
	v := g.registry.Apply(changes, u.Full, u.Version, u.AsOf, now)
	g.balancer.SetView(v)
	g.lines.Dispatch()
	g.steward.kick()
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
			g.pool.CloseExpired()
		}
	}
}

// lastAddress returns the address of a server that has no entry any more.
func (g *Gateway) lastAddress(id string) string {
	if s := g.registry.View().Removed[id]; s != nil {
		return s.Address
	}
	return ""
}
