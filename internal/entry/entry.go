package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/config"
	"github.com/hibiscuspulley/hibiscuspulley/internal/connlimit"
	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/membership"
	"github.com/hibiscuspulley/hibiscuspulley/internal/peer"
	"github.com/hibiscuspulley/hibiscuspulley/internal/permit"
	"github.com/hibiscuspulley/hibiscuspulley/internal/settings"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/engine"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

const (
	// viewInterval is how often the zone's rows are read from the platform.
	viewInterval = 2 * time.Second
	// groupInterval is how often the entry's replica groups are reconciled.
	groupInterval = 500 * time.Millisecond
	// configInterval is how often the configuration head is read.
	configInterval = time.Second
	// expiryInterval is how often expired permits are processed.
	expiryInterval = 100 * time.Millisecond
	// closeTimeout bounds the handover of the entry's groups during shutdown.
	closeTimeout = 5 * time.Second
)

// Entry runs the listeners, the session and the periodic loops of one entry.
type Entry struct {
	settings settings.Settings
	logger   *logrus.Logger
	metrics  *metrics
	// clients bounds what the clients of all listeners can make the entry hold.
	clients *connlimit.Limiter

	platform   *platform.Client
	engines    *engine.Client
	health     *platformHealth
	config     *config.Log
	holder     *membership.Holder
	permits    *permit.Holder
	session    *sessionManager
	views      *viewCache
	watches    *watches
	groups     *groupReconciler
	configurer *configurer
	peers      *peers
	router     *router
	plain      *plainProxy
	callers    *callerAPI
	operators  *operatorAPI
	peerServer *peer.Server

	callerListener   *httpListener
	operatorListener *httpListener
	peerListener     *httpListener

	stopping atomic.Bool
	cancel   context.CancelFunc
	loops    sync.WaitGroup
}

// New starts an entry. It returns an error if a key file or a TLS certificate can't
// be read, or if an address can't be opened. The caller must call Shutdown or
// Close.
func New(s settings.Settings, opts ...Option) (*Entry, error) {
	o := defaultOptions()
	for _, opt := range opts {
		opt(&o)
	}
	o.dial = dialWithTimeout(o.dial)
	operatorKey, err := settings.ReadSecret(s.Operator.KeyFile)
	if err != nil {
		return nil, err
	}
	peerKey, err := settings.ReadSecret(s.Peer.KeyFile)
	if err != nil {
		return nil, err
	}
	e := &Entry{settings: s, logger: o.logger, metrics: newMetrics()}
	e.clients = newClientLimits(&e.settings.Limits.Clients, e.metrics, o.logger)
	if err := e.listen(o); err != nil {
		return nil, err
	}
	e.build(o, operatorKey, peerKey)
	e.start()
	return e, nil
}

// listen opens the listeners for callers, operators and peers. If one fails, it
// closes the others.
func (e *Entry) listen(o options) error {
	for _, open := range []struct {
		cfg       settings.Listener
		into      **httpListener
		connShare float64
	}{
		{e.settings.Caller, &e.callerListener, callerConnShare},
		{e.settings.Operator, &e.operatorListener, operatorConnShare},
		{e.settings.Peer, &e.peerListener, peerConnShare},
	} {
		maxConns := int(open.connShare * float64(e.settings.Limits.Clients.Descriptors))
		l, err := newListener(open.cfg, e.settings.Limits, o.listen, e.clients, maxConns)
		if err != nil {
			e.closeListeners()
			return err
		}
		*open.into = l
	}
	return nil
}

// closeListeners closes the listeners that were opened so far.
func (e *Entry) closeListeners() {
	for _, l := range []*httpListener{e.callerListener, e.operatorListener, e.peerListener} {
		if l != nil {
			_ = l.listener.Close()
		}
	}
}

// revoke revokes a group's permits at this entry and at all connected peers. It
// does not wait for the peers.
func (e *Entry) revoke(r permit.Revocation) {
	e.permits.Revoke(r)
	e.peerServer.Push(r)
}

// start serves the listeners and starts the periodic loops.
func (e *Entry) start() {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.callerListener.serve(e.logger, e.callers.callerHandler())
	e.operatorListener.serve(e.logger, e.operators.handler())
	e.peerListener.serve(e.logger, e.peerHandler())
	e.loop(ctx, e.session.timing.RenewInterval, nil, e.session.step)
	e.loop(ctx, viewInterval, nil, e.views.step)
	e.loop(ctx, configInterval, nil, e.configurer.step)
	e.loop(ctx, groupInterval, nil, e.groups.step)
	e.loop(ctx, exchangeInterval, e.router.moreCredits, e.peers.step)
	e.loop(ctx, expiryInterval, nil, func(context.Context) { e.permits.AbortExpired(time.Now()) })
	event.Started.Log(e.logger, logrus.Fields{
		"entry": e.settings.Name, "zone": e.settings.Zone, "callers": e.callerListener.address(),
		"operators": e.operatorListener.address(), "peers": e.peerListener.address(),
	})
}

// loop runs step periodically in a goroutine until ctx ends.
func (e *Entry) loop(ctx context.Context, interval time.Duration, wake wakeup, step func(context.Context)) {
	e.loops.Go(func() { runEvery(ctx, interval, wake, step) })
}

// configChanged applies a new configuration: it revokes all permits if the
// entry's zone was taken out of service, and requests credits without waiting
// for the next exchange. Requests in flight are not aborted.
func (e *Entry) configChanged() {
	if e.config.State().ZoneOut(e.settings.Zone) {
		for _, s := range e.permits.Statuses(time.Now()) {
			e.permits.Revoke(permit.Revocation{Group: s.Group, Generation: s.Generation})
		}
	}
	e.router.moreCredits.notify()
}

// Ready reports whether the entry accepts requests of callers: it has a
// configuration and is not shutting down.
func (e *Entry) Ready() bool {
	return !e.stopping.Load() && e.config.State().Revision() > 0
}

// Revision returns the configuration revision in force; 0 before the entry has a
// configuration.
func (e *Entry) Revision() uint64 { return e.config.State().Revision() }

// OpenGroups returns the replica groups for which the entry has a valid permit
// with credits.
func (e *Entry) OpenGroups() []string {
	var open []string
	for _, s := range e.permits.Statuses(time.Now()) {
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
