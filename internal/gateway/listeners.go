package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/settings"
)

const (
	// callerConnShare, peerConnShare and otherConnShare are the shares of the process's
	// descriptors that the connections to a listener may take: of callers, of other
	// entries, and for readiness and metrics. backendConnShare is that of the connections
	// to backend servers, of which each caller's connection uses one at a time. The rest
	// is for the store, probes, orders and the connections that this entry opens to others.
	callerConnShare  = 3.0 / 8
	backendConnShare = callerConnShare
	peerConnShare    = 1.0 / 8
	otherConnShare   = 1.0 / 32
	// smallHeaderBytes limits the size of a request's header on the listeners for other
	// clients than callers.
	smallHeaderBytes = 8 << 10
	// smallIdleTimeout is how long an idle connection of such a client is kept open.
	smallIdleTimeout = time.Minute
)

// listenAll starts the HTTP servers for callers, readiness, peers and metrics. It
// starts the last two only if the settings have an address for them.
func (g *Gateway) listenAll() error {
	g.server = &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: time.Minute + idleMargin,
	}
	g.clients.Install(g.server, g.callerConns.set)
	var err error
	if g.callerListener, g.callersAccepted, err = g.serve(g.server, g.settings.CallerAddress, callerConnShare); err != nil {
		return err
	}
	ready := http.NewServeMux()
	ready.HandleFunc(g.settings.ReadinessPath, g.handleReadiness)
	if err := g.serveSmall(ready, g.settings.ReadinessAddress, otherConnShare); err != nil {
		return err
	}
	if g.settings.PeerAddress != "" {
		exchange := http.NewServeMux()
		exchange.Handle(exchangePath, g.peers.server)
		if err := g.serveSmall(exchange, g.settings.PeerAddress, peerConnShare); err != nil {
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
	return g.serveSmall(counters, g.settings.MetricsAddress, otherConnShare)
}

// serveSmall serves requests that have small headers and no body.
func (g *Gateway) serveSmall(handler http.Handler, address string, connShare float64) error {
	s := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: smallHeaderBytes, IdleTimeout: smallIdleTimeout,
	}
	g.clients.Install(s, nil)
	_, _, err := g.serve(s, address, connShare)
	return err
}

// serve opens a listener and serves it in the background. connShare is the share of the
// process's descriptors that its connections may take. done is closed when the server has
// taken over the last connection from the listener.
func (g *Gateway) serve(s *http.Server, address string, connShare float64) (l net.Listener, done <-chan struct{}, err error) {
	l, err = g.listen("tcp", address)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "listen on %s", address)
	}
	ended := make(chan struct{})
	l = g.clients.Listen(l, connLimit(g.settings.Limits, connShare))
	g.servers = append(g.servers, s)
	g.spawn(func() {
		defer close(ended)
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !g.stopping() {
			event.ListenerFailed.Log(g.logger, logrus.Fields{"address": address, "error": err})
		}
	})
	return l, ended, nil
}

// connLimit returns how many connections a share of the process's descriptors allows.
func connLimit(l settings.GatewayLimits, share float64) int {
	return int(share * float64(l.Descriptors))
}

// Ready reports whether the load balancer should send new connections to the
// entry. It needs server records, the quarantine and a recently confirmed
// configuration, and is false during shutdown.
func (g *Gateway) Ready() bool {
	if g.stopping() || g.configCache.table.Load() == nil || g.registry.View().Version == 0 || !g.isolation.ready() {
		return false
	}
	bound := g.settings.Bounds.Revocation
	return bound == 0 || g.bootClock().Sub(g.configCache.confirmedAt()) < time.Duration(float64(bound)*readyAgeFraction)
}

func (g *Gateway) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
