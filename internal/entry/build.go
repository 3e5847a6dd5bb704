package entry

import (
	"context"
	"crypto/tls"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/admission"
	"github.com/hibiscuspulley/hibiscuspulley/internal/backend"
	"github.com/hibiscuspulley/hibiscuspulley/internal/bodylimit"
	"github.com/hibiscuspulley/hibiscuspulley/internal/burn"
	"github.com/hibiscuspulley/hibiscuspulley/internal/config"
	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/grouping"
	"github.com/hibiscuspulley/hibiscuspulley/internal/membership"
	"github.com/hibiscuspulley/hibiscuspulley/internal/peer"
	"github.com/hibiscuspulley/hibiscuspulley/internal/permit"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/engine"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

// identity returns a session for a new incarnation of the entry. The session is
// not open and so has no epoch.
func (e *Entry) identity() membership.Session {
	address := e.settings.Peer.Advertise
	if address == "" {
		address = e.peerListener.address()
	}
	return membership.Session{
		Entry: e.settings.Name, Zone: e.settings.Zone, Address: address, Incarnation: newIdentifier(),
	}
}

// build creates and connects the entry's components. The listeners must be open.
func (e *Entry) build(o options, operatorKey, peerKey string) {
	identity := e.identity()
	e.buildState(o, identity)
	e.buildGroups(o, identity)
	e.buildPeers(o, identity, peerKey)
	e.buildCallers(o, peerKey)
	e.operators = &operatorAPI{
		key: operatorKey, identity: identity, config: e.config, configurer: e.configurer,
		platform: e.platform, health: e.health, holder: e.holder, views: e.views,
		watches: e.watches, permits: e.permits, peers: e.peers, metrics: e.metrics,
		burn:  e.callers.burn,
		ready: e.Ready, clients: e.clients, bodyTimeout: e.settings.Limits.BodyTimeout,
	}
}

// buildState creates the platform and engine clients, and the components that
// hold the configuration, the session, the permits and the view.
func (e *Entry) buildState(o options, identity membership.Session) {
	p := e.settings.Platform
	e.platform = platform.NewClient(p.TableURL,
		platform.WithObjects(p.ObjectsURL), platform.WithInstances(p.InstancesURL),
		platform.WithTimeout(p.Timeout), platform.WithDial(o.dial),
		platform.WithOnInvalidInstance(func(err error) { event.RowInvalid.Log(e.logger, logrus.Fields{"error": err}) }))
	e.engines = engine.NewClient(engine.WithDial(backend.ResetOnClose(backend.DialFunc(o.dial))), engine.WithTLS(peerTLS()))
	e.health = &platformHealth{logger: e.logger}
	e.config = config.NewLog()
	e.holder = membership.NewHolder(identity, o.timing)
	e.permits = permit.NewHolder()
	e.views = newViewCache(e.logger, e.settings.Zone, e.platform, e.health, o.timing)
	e.configurer = &configurer{
		logger: e.logger, platform: e.platform, health: e.health, log: e.config,
		onChange: e.configChanged, refreshMu: newContextMutex(),
	}
	e.session = &sessionManager{
		logger: e.logger, platform: e.platform, health: e.health, holder: e.holder,
		timing: o.timing, identity: identity, stepMu: newContextMutex(),
		relay: func(ctx context.Context, r peer.Relay) (peer.RelayReply, bool) {
			return e.peers.relay(ctx, r)
		},
	}
}

// buildGroups creates the components that manage and probe replica groups.
func (e *Entry) buildGroups(o options, identity membership.Session) {
	e.groups = &groupReconciler{
		logger: e.logger, zone: e.settings.Zone, platform: e.platform, health: e.health,
		config: e.config, holder: e.holder, views: e.views,
		planner: o.planner(grouping.PlacementWeights{
			Downtime:        e.settings.Grouping.DowntimeWeight,
			Stranded:        e.settings.Grouping.StrandedWeight,
			SparesPerDomain: e.settings.Grouping.SparesPerDomain,
		}),
		quarantineTime: o.timing.Term + orderTimeout,
		suspects:       make(map[string]time.Time),
		stepMu:         newContextMutex(),
	}
	deps := watchDependencies{
		logger: e.logger, engines: e.engines, config: e.config,
		owns:    e.groups.owns,
		leaving: func(instance string) bool { return e.views.current().Instances[instance].Leaving },
		revoke:  e.revoke,
	}
	e.watches = newWatches(identity.Entry, deps, e.views.current)
	e.groups.watches = e.watches
}

// buildPeers creates the router and the links to peers.
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
		moreCredits: newWakeup(),
		otherZones:  func(zoneOut func(string) bool) []string { return e.peers.otherZones(zoneOut) },
		queues:      make(map[string]*admission.Queue), inFlight: make(map[string]int),
		usage: make(map[usageKey]int64),
	}
	e.peers = &peers{
		logger: e.logger, identity: identity, key: peerKey, scheme: scheme,
		seeds: e.settings.Seeds, client: &http.Client{Transport: bodylimit.Transport{Next: transport, MaxBytes: maxPeerBytes}},
		view: e.views.current, permits: e.permits,
		revision:       func() uint64 { return e.config.State().Revision() },
		creditRequests: e.router.creditRequests,
		grantLocal:     e.watches.grant, takeUsage: e.router.takeUsage,
		provisionalOrders:    func() []peer.Order { return encodeOrders(e.config.ProvisionalOrders()) },
		addProvisionalOrders: func(orders []peer.Order) { e.configurer.addProvisionalOrders(decodeOrders(orders)) },
		applyConfig:          e.configurer.applyReply, onGrants: e.router.dispatchQueued,
		links: make(map[string]*peerState),
	}
	e.peerServer = peer.NewServer(peerKey, e.handlePeerRequest, func(address string) {
		event.PeerRejected.Log(e.logger, logrus.Fields{"address": address})
	})
}

// peerTLS returns the TLS settings of connections to peers. Peers authenticate
// with the shared peer key; TLS provides encryption. The certificates are often
// created by hand, but they must be trusted by the system of this entry.
func peerTLS() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12}
}

// buildCallers creates the API for callers.
func (e *Entry) buildCallers(o options, peerKey string) {
	b := newRetryBudgets()
	e.plain = newPlainProxy(e.settings.Zone, e.config, e.views.current, b, o)
	e.callers = &callerAPI{
		logger: e.logger, config: e.config, limits: e.settings.Limits, engines: e.engines,
		router: e.router, plain: e.plain, budgets: b, metrics: e.metrics, clients: e.clients,
		burn:    &burnCollector{zone: e.settings.Zone, recorder: burn.NewRecorder(), peers: e.peers},
		peerKey: peerKey, ready: e.Ready,
	}
}
