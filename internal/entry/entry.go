package entry

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/admission"
	"github.com/hibiscuspulley/hibiscuspulley/internal/burn"
	"github.com/hibiscuspulley/hibiscuspulley/internal/config"
	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/grouping"
	"github.com/hibiscuspulley/hibiscuspulley/internal/membership"
	"github.com/hibiscuspulley/hibiscuspulley/internal/peer"
	"github.com/hibiscuspulley/hibiscuspulley/internal/permit"
	"github.com/hibiscuspulley/hibiscuspulley/internal/settings"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/engine"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

const (
	viewInterval = 2 * time.Second
	keepInterval = 500 * time.Millisecond
	// configInterval is how often the configuration's head is read.
	configInterval = time.Second
	// expiryInterval is how often permits that ran out are looked for.
	expiryInterval = 100 * time.Millisecond
	// closeTimeout bounds the platform calls of a shutdown.
	closeTimeout = 5 * time.Second
)

// Entry is a running entry instance.
type Entry struct {
	settings settings.Settings
	logger   *logrus.Logger

	platform  *platform.Client
	engines   *engine.Client
	health    *platformHealth
	config    *config.Log
	holder    *membership.Holder
	permits   *permit.Holder
	session   *sessionKeeper
	views     *viewKeeper
	watches   *watches
	groups    *groupKeeper
	configure *configurer
	peers     *peers
	router    *router
	plain     *plainProxy
	callers   *callerAPI
	operators *operatorAPI
	exchange  *peer.Server

	callerListener   *httpListener
	operatorListener *httpListener
	peerListener     *httpListener

	stopping atomic.Bool
	cancel   context.CancelFunc
	loops    sync.WaitGroup
}

// New starts an entry. It fails when a key can't be read or an address can't
// be opened.
func New(s settings.Settings, opts ...Option) (*Entry, error) {
	o := defaultOptions()
	for _, opt := range opts {
		opt(&o)
	}
	operatorKey, err := settings.ReadSecret(s.Operator.KeyFile)
	if err != nil {
		return nil, err
	}
	peerKey, err := settings.ReadSecret(s.Peer.KeyFile)
	if err != nil {
		return nil, err
	}
	e := &Entry{settings: s, logger: o.logger}
	if err := e.listen(o); err != nil {
		return nil, err
	}
	e.build(o, operatorKey, peerKey)
	e.start()
	return e, nil
}

// listen opens the three addresses.
func (e *Entry) listen(o options) error {
	for _, open := range []struct {
		cfg  settings.Listener
		into **httpListener
	}{
		{e.settings.Caller, &e.callerListener},
		{e.settings.Operator, &e.operatorListener},
		{e.settings.Peer, &e.peerListener},
	} {
		l, err := newListener(open.cfg, e.settings.Limits, o.listen)
		if err != nil {
			e.closeListeners()
			return err
		}
		*open.into = l
	}
	return nil
}

func (e *Entry) closeListeners() {
	for _, l := range []*httpListener{e.callerListener, e.operatorListener, e.peerListener} {
		if l != nil {
			_ = l.listener.Close()
		}
	}
}

// identity returns this run of the process as a session without an epoch.
func (e *Entry) identity() membership.Session {
	address := e.settings.Peer.Advertise
	if address == "" {
		address = e.peerListener.address()
	}
	return membership.Session{
		Entry: e.settings.Name, Zone: e.settings.Zone, Address: address, Incarnation: newIdentifier(),
	}
}

// build connects the parts.
func (e *Entry) build(o options, operatorKey, peerKey string) {
	identity := e.identity()
	e.buildState(o, identity)
	e.buildGroups(o, identity)
	e.buildPeers(o, identity, peerKey)
	e.buildCallers(o, peerKey)
	e.operators = &operatorAPI{
		key: operatorKey, identity: identity, config: e.config, configurer: e.configure,
		platform: e.platform, health: e.health, holder: e.holder, views: e.views,
		watches: e.watches, permits: e.permits, peers: e.peers, counts: e.callers.counts,
		burn:  e.callers.burn,
		ready: e.Ready,
	}
}

func (e *Entry) buildState(o options, identity membership.Session) {
	p := e.settings.Platform
	e.platform = platform.NewClient(p.TableURL,
		platform.WithObjects(p.ObjectsURL), platform.WithInstances(p.InstancesURL),
		platform.WithTimeout(p.Timeout), platform.WithDial(o.dial))
	e.engines = engine.NewClient(engine.WithDial(o.dial), engine.WithTLS(peerTLS()))
	e.health = &platformHealth{logger: e.logger}
	e.config = config.NewLog()
	e.holder = membership.NewHolder(identity, o.timing)
	e.permits = permit.NewHolder()
	e.views = newViewKeeper(e.logger, e.settings.Zone, e.platform, e.health, o.timing)
	e.configure = &configurer{
		logger: e.logger, platform: e.platform, health: e.health, log: e.config,
		onChange: e.configChanged, turn: newTurn(),
	}
	e.session = &sessionKeeper{
		logger: e.logger, platform: e.platform, health: e.health, holder: e.holder,
		timing: o.timing, identity: identity, turn: newTurn(),
		relay: func(ctx context.Context, r peer.Relay) (peer.RelayReply, bool) {
			return e.peers.relay(ctx, r)
		},
	}
}

func (e *Entry) buildGroups(o options, identity membership.Session) {
	e.groups = &groupKeeper{
		logger: e.logger, zone: e.settings.Zone, platform: e.platform, health: e.health,
		config: e.config, holder: e.holder, views: e.views,
		planner: o.planner(grouping.Weights{
			Downtime: e.settings.Grouping.DowntimeWeight,
			Stranded: e.settings.Grouping.StrandedWeight,
			Spares:   e.settings.Grouping.SparesPerDomain,
		}),
		quarantine: o.timing.Term + orderTimeout,
		suspects:   make(map[string]time.Time),
		turn:       newTurn(),
	}
	seams := watchSeams{
		logger: e.logger, engines: e.engines, config: e.config,
		owns:    e.groups.owns,
		leaving: func(instance string) bool { return e.views.current().Instances[instance].Leaving },
		revoke:  e.revoke,
	}
	e.watches = newWatches(identity.Entry, seams, e.views.current)
	e.groups.watches = e.watches
}

// revoke ends a group's permits here and at all peers.
func (e *Entry) revoke(r permit.Revocation) {
	e.permits.Revoke(r)
	e.exchange.Push(r)
}

func (e *Entry) buildPeers(o options, identity membership.Session, peerKey string) {
	scheme, httpScheme := "ws", "http"
	if e.settings.Peer.CertificateFile != "" {
		scheme, httpScheme = "wss", "https"
	}
	transport := o.plainTransport()
	transport.TLSClientConfig = peerTLS()
	e.router = &router{
		zone: e.settings.Zone, queueLimit: e.settings.Limits.QueueLength, config: e.config,
		view: e.views.current, permits: e.permits,
		peerHeader: http.Header{"Authorization": {"Bearer " + peerKey}}, peerScheme: httpScheme,
		moreCredits: newKicker(),
		otherZones:  func(out func(string) bool) []string { return e.peers.otherZones(out) },
		queues:      make(map[string]*admission.Queue), inFlight: make(map[string]int),
		usage: make(map[usageKey]int64),
	}
	e.peers = &peers{
		logger: e.logger, identity: identity, key: peerKey, scheme: scheme,
		seeds: e.settings.Seeds, client: &http.Client{Transport: transport},
		view: e.views.current, permits: e.permits,
		revision:   func() uint64 { return e.config.State().Revision() },
		demands:    e.router.demands,
		grantLocal: e.watches.ask, usage: e.router.takeUsage,
		orders:  func() []peer.Order { return ordersFor(e.config.Provisional()) },
		provide: func(orders []peer.Order) { e.configure.provide(ordersFrom(orders)) },
		pull:    e.configure.takePull, granted: e.router.pump,
		links: make(map[string]*peerState),
	}
	e.exchange = peer.NewServer(peerKey, e.answerPeer, func(address string) {
		event.PeerRefused.Log(e.logger, logrus.Fields{"address": address})
	})
}

// peerTLS returns the TLS settings towards peers. The peer key, which both
// sides hold, admits; certificates encrypt, and are often made by hand.
func peerTLS() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12}
}

func (e *Entry) buildCallers(o options, peerKey string) {
	b := newBudgets()
	e.plain = newPlainProxy(e.settings.Zone, e.config, e.views.current, b, o)
	e.callers = &callerAPI{
		logger: e.logger, config: e.config, limits: e.settings.Limits, engines: e.engines,
		router: e.router, plain: e.plain, budgets: b, counts: newCounts(),
		burn:    &burnGatherer{zone: e.settings.Zone, recorder: burn.NewRecorder(), peers: e.peers},
		peerKey: peerKey, ready: e.Ready,
	}
}

// start serves the listeners and runs the loops.
func (e *Entry) start() {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.callerListener.serve(e.logger, e.callers.callerHandler())
	e.operatorListener.serve(e.logger, e.operators.handler())
	e.peerListener.serve(e.logger, e.peerHandler())
	e.loop(ctx, e.session.timing.Renew, nil, e.session.step)
	e.loop(ctx, viewInterval, nil, e.views.step)
	e.loop(ctx, configInterval, nil, e.configure.step)
	e.loop(ctx, keepInterval, nil, e.groups.step)
	e.loop(ctx, exchangeInterval, e.router.moreCredits, e.peers.step)
	e.loop(ctx, expiryInterval, nil, func(context.Context) { e.permits.Expire(time.Now()) })
	event.Started.Log(e.logger, logrus.Fields{
		"entry": e.settings.Name, "zone": e.settings.Zone, "callers": e.callerListener.address(),
		"operators": e.operatorListener.address(), "peers": e.peerListener.address(),
	})
}

func (e *Entry) loop(ctx context.Context, interval time.Duration, kick kicker, step func(context.Context)) {
	e.loops.Go(func() { every(ctx, interval, kick, step) })
}

// peerHandler returns the handler of the peer listener.
func (e *Entry) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+exchangePath, e.exchange)
	mux.HandleFunc("POST "+forwardPath+"/", e.callers.serveForward)
	mux.HandleFunc("GET "+revisionPath, e.forPeers(e.operators.serveRevision))
	mux.HandleFunc("GET "+burnPath, e.forPeers(e.operators.serveOwnBurn))
	return e.callers.guard(mux)
}

// forPeers admits holders of the peer key to a handler.
func (e *Entry) forPeers(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !peer.Authorized(r, e.peers.key) {
			unauthorised("wrong peer key").Write(w)
			return
		}
		next(w, r)
	}
}

// answerPeer answers one request of a peer.
func (e *Entry) answerPeer(ctx context.Context, r peer.Request) peer.Reply {
	var reply peer.Reply
	switch {
	case r.Exchange != nil:
		reply.Exchange = e.answerExchange(*r.Exchange)
	case r.ConfigPull != nil:
		answer := e.configure.answerPull(*r.ConfigPull)
		reply.Config = &answer
	case r.Relay != nil:
		answer := e.session.answerRelay(ctx, *r.Relay)
		reply.Relay = &answer
	}
	return reply
}

func (e *Entry) answerExchange(message peer.Exchange) *peer.ExchangeReply {
	e.router.noteUsage(message.Usage)
	e.configure.provide(ordersFrom(message.Orders))
	reply := &peer.ExchangeReply{
		Entry: e.settings.Name, Zone: e.settings.Zone,
		Revision: e.config.State().Revision(), Ready: e.Ready(),
		Orders: ordersFor(e.config.Provisional()),
	}
	now := time.Now()
	for _, d := range message.Demands {
		if grant, ok := e.watches.ask(now, d); ok {
			reply.Grants = append(reply.Grants, grant)
		}
	}
	return reply
}

// configChanged brings what depends on the configuration up to date at once.
func (e *Entry) configChanged() {
	if e.config.State().ZoneOut(e.settings.Zone) {
		for _, s := range e.permits.All(time.Now()) {
			e.permits.Revoke(permit.Revocation{Group: s.Group, Generation: s.Generation})
		}
	}
	e.router.moreCredits.kick()
}

// Ready reports whether the entry takes callers' requests: it has a
// configuration and does not stop.
func (e *Entry) Ready() bool {
	return !e.stopping.Load() && e.config.State().Revision() > 0
}

// Revision returns the configuration revision in force.
func (e *Entry) Revision() uint64 { return e.config.State().Revision() }

// OpenGroups returns the replica groups that the entry may send to now.
func (e *Entry) OpenGroups() []string {
	var open []string
	for _, s := range e.permits.All(time.Now()) {
		if s.Valid && s.Credits > 0 {
			open = append(open, s.Group)
		}
	}
	return open
}

// CallerAddress returns the address of the caller listener.
func (e *Entry) CallerAddress() string { return e.callerListener.address() }

// OperatorAddress returns the address of the operator listener.
func (e *Entry) OperatorAddress() string { return e.operatorListener.address() }

// PeerAddress returns the address of the peer listener.
func (e *Entry) PeerAddress() string { return e.peerListener.address() }

// Shutdown takes no new work, hands the entry's groups over, lets the
// requests in progress finish, and closes the session. It fails when requests
// had to be cut at the shutdown timeout or ctx ended.
func (e *Entry) Shutdown(ctx context.Context) error {
	event.Stopping.Log(e.logger, nil)
	e.stopping.Store(true)
	platformCtx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	_ = e.groups.handOver(platformCtx) // else the groups are taken over later
	waitCtx, cancelWait := context.WithTimeout(ctx, e.settings.Limits.ShutdownTimeout)
	defer cancelWait()
	err := e.callerListener.shutdown(waitCtx)
	if err != nil {
		event.ShutdownTimedOut.Log(e.logger, nil)
	}
	forwarded := e.waitForwarded(waitCtx)
	_ = e.session.close(context.WithoutCancel(platformCtx)) // else it lapses
	e.Close()
	if err == nil {
		err = forwarded
	}
	return errors.Wrap(err, "requests in progress were cut")
}

// waitForwarded waits for the requests that other entries sent here.
func (e *Entry) waitForwarded(ctx context.Context) error {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for e.router.busy() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// Close stops the entry at once, as a crash does: the session stays open
// until it lapses, and requests in progress are cut.
func (e *Entry) Close() {
	e.stopping.Store(true)
	e.cancel()
	e.callerListener.closeNow()
	e.operatorListener.closeNow()
	e.exchange.Close()
	e.peerListener.closeNow()
	e.loops.Wait()
	e.peers.close()
	e.watches.close()
	e.plain.close()
	e.engines.Close()
	e.platform.Close()
	e.peers.client.CloseIdleConnections()
	event.Stopped.Log(e.logger, nil)
}
